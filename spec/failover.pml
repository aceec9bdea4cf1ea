/* Failover of one group of three members under two competing leaders.
 *
 * Checked: a newly confirmed primary holds every acknowledged write, no write is
 * acknowledged that a later confirmed primary lacks, and a term has at most
 * one primary.
 *
 * Deliberate mistakes: FENCE_ONE (promotes after fencing one member instead of
 * a majority), PICK_ANY (promotes any fenced member, not the most advanced),
 * POSITION_ONLY (compares log lengths without the terms of the last entries),
 * ACK_EARLY (acknowledges before a replica holds the write), SAME_TERM (a
 * leader continues an unfinished promotion in that promotion's term).
 */
#define MEMBERS 3
#define NONE 9
#define MAX_LENGTH 3
#define LAST_TERM 4

mtype = { primary_role, replica_role, fenced_role };

mtype role[MEMBERS];
byte promised[MEMBERS];
byte source[MEMBERS];
byte length[MEMBERS];
byte entries[9];              /* term of each entry, MAX_LENGTH a member */
bool acknowledged[16];        /* by term * MAX_LENGTH + position */
byte promoted[5];             /* member promoted in a term */
byte begun = 1;
byte confirmed = 1;
byte confirmed_member = 0;

#define ENTRY(m, p) entries[(m) * MAX_LENGTH + (p)]
#define KEY(t, p) ((t) * MAX_LENGTH + (p))
#define HOLDS(m, t, p) (length[m] > (p) && ENTRY(m, p) == (t))

inline check_held(member) {
  d_step {
    check_term = 1;
    do
    :: check_term < LAST_TERM ->
       check_position = 0;
       do
       :: check_position < MAX_LENGTH ->
          assert(!acknowledged[KEY(check_term, check_position)] ||
                 HOLDS(member, check_term, check_position));
          check_position++
       :: else -> break
       od;
       check_term++
    :: else -> break
    od;
    check_term = 0;
    check_position = 0
  }
}

/* Cuts the member's log to its common prefix with the new source. */
inline truncate(member, new_source) {
  common = 0;
  do
  :: common < length[member] && common < length[new_source] &&
     ENTRY(member, common) == ENTRY(new_source, common) -> common++
  :: else -> break
  od;
  do
  :: length[member] > common ->
     length[member]--;
     ENTRY(member, length[member]) = 0
  :: else -> break
  od;
  common = 0
}

proctype Leader() {
  byte term, member, fenced, count, candidate, common;
  byte check_term, check_position;
  byte seen_term[MEMBERS];
  byte seen_length[MEMBERS];

  atomic {
#ifdef SAME_TERM
    if
    :: begun > confirmed -> skip
    :: else -> begun++
    fi;
#else
    begun++;
#endif
    term = begun
  }
  do
#ifdef FENCE_ONE
  :: count >= 1 -> break
#else
  :: count >= 2 -> break
#endif
  :: count < MEMBERS -> atomic {
     if
     :: !(fenced & 1) -> member = 0
     :: !(fenced & 2) -> member = 1
     :: !(fenced & 4) -> member = 2
     fi;
     if
     :: promised[member] > term -> goto given_up
     :: promised[member] < term ->
        promised[member] = term;
        role[member] = fenced_role;
        source[member] = NONE
     :: promised[member] == term -> skip   /* term already promised: refused, status is read */
     fi;
     if
     :: true ->
        fenced = fenced | (1 << member);
        count++;
        seen_length[member] = length[member];
        if
        :: length[member] -> seen_term[member] = ENTRY(member, length[member] - 1)
        :: else -> seen_term[member] = 0
        fi
     :: count < 1 -> skip                   /* the answer is lost */
     fi;
     member = 0 }
  :: true -> goto given_up                  /* deposed */
  od;
  atomic {
    candidate = NONE;
    member = 0;
    do
    :: member < MEMBERS ->
       if
       :: !(fenced & (1 << member)) -> skip
       :: else ->
          if
          :: candidate == NONE -> candidate = member
#ifdef PICK_ANY
          :: candidate != NONE -> candidate = member
          :: candidate != NONE -> skip
#else
          :: candidate != NONE && (
#ifdef POSITION_ONLY
             seen_length[member] > seen_length[candidate]
#else
             seen_term[member] > seen_term[candidate] ||
             (seen_term[member] == seen_term[candidate] &&
              seen_length[member] > seen_length[candidate])
#endif
             ) -> candidate = member
          :: else -> skip
#endif
          fi
       fi;
       member++
    :: else -> break
    od;
    member = 0
  }
  atomic {
    if
    :: promised[candidate] != term -> goto given_up
    :: else ->
       assert(promoted[term] == NONE || promoted[term] == candidate);
       promoted[term] = candidate;
       role[candidate] = primary_role;
       source[candidate] = NONE
    fi
  }
  if
  :: true -> skip
  :: true -> goto given_up                  /* the answer is lost */
  fi;
  atomic {
    if
    :: term != begun || confirmed >= term -> goto given_up
    :: else ->
       confirmed = term;
       confirmed_member = candidate;
       check_held(candidate)
    fi
  }
  do
  :: member < MEMBERS -> atomic {
     if
     :: member != candidate && promised[member] <= term ->
        promised[member] = term;
        role[member] = replica_role;
        source[member] = candidate;
        truncate(member, candidate)
     :: true -> skip                        /* not reached */
     fi;
     member++ }
  :: else -> break
  od;
given_up: skip
}

active proctype Replication() {
end:
  do
  :: atomic { role[0] == replica_role && source[0] != NONE &&
     length[source[0]] > length[0] && role[source[0]] != replica_role &&
     (length[0] == 0 || ENTRY(0, length[0] - 1) == ENTRY(source[0], length[0] - 1)) ->
     ENTRY(0, length[0]) = ENTRY(source[0], length[0]); length[0]++ }
  :: atomic { role[1] == replica_role && source[1] != NONE &&
     length[source[1]] > length[1] && role[source[1]] != replica_role &&
     (length[1] == 0 || ENTRY(1, length[1] - 1) == ENTRY(source[1], length[1] - 1)) ->
     ENTRY(1, length[1]) = ENTRY(source[1], length[1]); length[1]++ }
  :: atomic { role[2] == replica_role && source[2] != NONE &&
     length[source[2]] > length[2] && role[source[2]] != replica_role &&
     (length[2] == 0 || ENTRY(2, length[2] - 1) == ENTRY(source[2], length[2] - 1)) ->
     ENTRY(2, length[2]) = ENTRY(source[2], length[2]); length[2]++ }
  od
}

/* A proxy whose view of the primary may be stale. */
proctype Proxy() {
  byte view_term = 1, view_member = 0, position, writes;
  byte check_term, check_position;
  do
  :: writes < 2 ->
     if
     :: atomic { view_term = confirmed; view_member = confirmed_member }
     :: true -> skip
     fi;
     atomic {
       if
       :: role[view_member] == primary_role &&
          promised[view_member] == view_term &&
          length[view_member] < MAX_LENGTH ->
          position = length[view_member];
          ENTRY(view_member, position) = view_term;
          length[view_member]++;
          writes++
       :: else -> goto unknown
       fi
     }
     if
#ifdef ACK_EARLY
     :: atomic { true ->
#else
     :: atomic {
        (view_member != 0 && promised[0] == view_term && HOLDS(0, view_term, position)) ||
        (view_member != 1 && promised[1] == view_term && HOLDS(1, view_term, position)) ||
        (view_member != 2 && promised[2] == view_term && HOLDS(2, view_term, position)) ->
#endif
        acknowledged[KEY(view_term, position)] = true;
        if
        :: confirmed > view_term -> check_held(confirmed_member)
        :: else -> skip
        fi }
     :: true -> skip                        /* outcome unknown */
     fi
  :: else -> break
  :: true -> break
  od;
unknown: skip
}

init {
  byte index;
  atomic {
    do
    :: index < MEMBERS ->
       role[index] = replica_role;
       promised[index] = 1;
       source[index] = 0;
       index++
    :: else -> break
    od;
    role[0] = primary_role;
    source[0] = NONE;
    index = 0;
    do
    :: index < 5 -> promoted[index] = NONE; index++
    :: else -> break
    od;
    promoted[1] = 0;
    index = 0;
    run Proxy();
    run Leader();
    run Leader()
  }
}
