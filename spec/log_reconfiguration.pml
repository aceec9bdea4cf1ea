/* Single-server change of the voters of the replicated log, with a host that
 * returns with an empty disk.
 *
 * Hosts 0, 1 and 2 are the first voters; host 3 is the new identity of a host
 * that lost its disk. At the start one entry is committed; hosts 0 and 1 hold
 * it, a majority.
 *
 * Checked: an elected leader holds every committed entry.
 *
 * Deliberate mistakes: SAME_IDENTITY (a host votes under its former identity
 * after it lost its disk), TWO_AT_ONCE (two voters are removed and one is
 * added at once), VOTE_ANY (votes regardless of the candidate's log),
 * COUNT_LEARNER (a learner counts towards the commit majority).
 */
#define HOSTS 4
#define MAX_LENGTH 4
#define NO_HOST 9
#define MAX_TERM 3

byte terms[16];               /* term of each entry, MAX_LENGTH a host */
byte voters[16];              /* configuration as of each entry, a bit set */
byte length[HOSTS];
byte term[HOSTS];
byte leader_of[4];
bool is_gone[HOSTS];
byte committed;
byte committed_terms[MAX_LENGTH];

#define TERM_AT(h, p) terms[(h) * MAX_LENGTH + (p)]
#define VOTERS_AT(h, p) voters[(h) * MAX_LENGTH + (p)]
#define LAST_TERM(h) (length[h] -> TERM_AT(h, length[h] - 1) : 0)
#define CONFIGURATION(h) (length[h] -> VOTERS_AT(h, length[h] - 1) : 7)
#define IS_IN(set, h) (((set) >> (h)) & 1)
#define SIZE(set) (IS_IN(set, 0) + IS_IN(set, 1) + IS_IN(set, 2) + IS_IN(set, 3))

inline append(host, new_voters) {
  TERM_AT(host, length[host]) = term[host];
  VOTERS_AT(host, length[host]) = new_voters;
  length[host]++
}

inline count_vote(voter) {
  if
  :: !is_gone[voter] && term[voter] < new_term &&
     (voter == self || IS_IN(set, voter)) &&
#ifdef VOTE_ANY
     true ->
#else
     (LAST_TERM(voter) < LAST_TERM(self) ||
      (LAST_TERM(voter) == LAST_TERM(self) && length[voter] <= length[self])) ->
#endif
     if
     :: granted = granted | (1 << voter)
     :: voter != self -> skip
     fi
  :: else -> skip
  fi
}

inline check_committed(host) {
  position = 0;
  do
  :: position < committed ->
     assert(length[host] > position &&
            TERM_AT(host, position) == committed_terms[position]);
     position++
  :: else -> break
  od;
  position = 0
}

inline copy_log(from, to) {
  position = 0;
  do
  :: position < MAX_LENGTH ->
     TERM_AT(to, position) = TERM_AT(from, position);
     VOTERS_AT(to, position) = VOTERS_AT(from, position);
     position++
  :: else -> break
  od;
  length[to] = length[from];
  term[to] = term[from];
  position = 0
}

#define HAS_LAST(h) (!is_gone[h] && length[h] >= length[self] && \
  TERM_AT(h, length[self] - 1) == term[self])
#ifdef COUNT_LEARNER
#define COUNTS(h) (HAS_LAST(h))
#else
#define COUNTS(h) (IS_IN(set, h) && HAS_LAST(h))
#endif

proctype Host(byte self) {
  byte set, granted, new_term, other, position;
end:
  do
  /* Election by a majority of the candidate's own configuration. */
  :: atomic { !is_gone[self] && term[self] < MAX_TERM &&
     IS_IN(CONFIGURATION(self), self) ->
     new_term = term[self] + 1;
     set = CONFIGURATION(self);
     granted = 0;
     count_vote(0);
     count_vote(1);
     count_vote(2);
     count_vote(3);
     granted = granted & set;
     if
     :: SIZE(granted) * 2 > SIZE(set) && leader_of[new_term] == NO_HOST ->
        leader_of[new_term] = self;
        other = 0;
        do
        :: other < HOSTS ->
           if
           :: IS_IN(granted, other) -> term[other] = new_term
           :: else -> skip
           fi;
           other++
        :: else -> break
        od;
        check_committed(self);
        if
        :: length[self] < MAX_LENGTH -> append(self, set)
        :: else -> skip
        fi
     :: else -> skip
     fi;
     other = 0; granted = 0; new_term = 0; set = 0 }
  /* The leader sends its whole log. */
  :: atomic { !is_gone[self] && term[self] > 0 && leader_of[term[self]] == self ->
     if
     :: other = 0
     :: other = 1
     :: other = 2
     :: other = 3
     fi;
     if
     :: other != self && !is_gone[other] && term[other] <= term[self] &&
        (length[other] != length[self] || LAST_TERM(other) != LAST_TERM(self)) ->
        copy_log(self, other)
     :: else -> skip
     fi;
     other = 0 }
  /* Commit of the last entry, which is of the leader's own term. */
  :: atomic { !is_gone[self] && term[self] > 0 && leader_of[term[self]] == self &&
     length[self] > committed && LAST_TERM(self) == term[self] ->
     set = CONFIGURATION(self);
     if
     :: (COUNTS(0) + COUNTS(1) + COUNTS(2) + COUNTS(3)) * 2 > SIZE(set) ->
        do
        :: committed < length[self] ->
           committed_terms[committed] = TERM_AT(self, committed);
           committed++
        :: else -> break
        od
     :: else -> skip
     fi;
     set = 0 }
  /* Change of one voter, after all earlier entries are committed. */
  :: atomic { !is_gone[self] && term[self] > 0 && leader_of[term[self]] == self &&
     committed == length[self] && length[self] < MAX_LENGTH &&
     committed_terms[length[self] - 1] == term[self] &&
     LAST_TERM(self) == term[self] ->
     set = CONFIGURATION(self);
     if
#ifdef TWO_AT_ONCE
     :: set == 7 -> append(self, (1 << self) | 8)
#else
     :: !IS_IN(set, 3) -> append(self, set | 8)
     :: IS_IN(set, 3) && IS_IN(set, 1) -> append(self, set & 13)
#endif
     :: else -> skip
     fi;
     set = 0 }
  od
}

/* Host 1 loses its disk once. */
active proctype DiskLoss() {
  byte position;
  atomic {
    length[1] = 0;
    term[1] = 0;
    position = 0;
    do
    :: position < MAX_LENGTH ->
       TERM_AT(1, position) = 0;
       VOTERS_AT(1, position) = 0;
       position++
    :: else -> break
    od;
    position = 0;
#ifndef SAME_IDENTITY
    is_gone[1] = true
#endif
  }
}

init {
  byte index;
  atomic {
    do
    :: index <= MAX_TERM -> leader_of[index] = NO_HOST; index++
    :: else -> break
    od;
    leader_of[1] = 0;
    term[0] = 1;
    term[1] = 1;
    term[2] = 1;
    TERM_AT(0, 0) = 1;
    VOTERS_AT(0, 0) = 7;
    length[0] = 1;
    TERM_AT(1, 0) = 1;
    VOTERS_AT(1, 0) = 7;
    length[1] = 1;
    committed = 1;
    committed_terms[0] = 1;
    index = 0;
    run Host(0);
    run Host(1);
    run Host(2);
    run Host(3)
  }
}
