/* Compare-and-set of the settings by two operators at the same version, with
 * lost answers, resends and changes of leader.
 *
 * Checked: a change is applied at most once, an answer that a change was
 * accepted or refused is correct and remains so, and each accepted change was
 * applied to the version that its operator had read.
 *
 * Deliberate mistakes: NO_DEDUPLICATION (a resend is applied again),
 * NO_COMPARISON (any base version is accepted), EARLY_ANSWER (answers before
 * the commit), FORGET_ANSWERS (a new leader lacks earlier answers).
 */
#define NO_ANSWER 0
#define ACCEPTED 1
#define REFUSED 2
#define NO_CHANGE 9
#define MAX_LEADERS 3

byte version;
byte answers[2];       /* part of the replicated state */
byte applied[2];
byte base_of[2];
byte version_before[2];
byte leader = 1;
byte pending = NO_CHANGE;       /* appended by the leader, not committed */
byte reply[2];

inline apply(operation) {
  if
#ifndef NO_DEDUPLICATION
  :: answers[operation] != NO_ANSWER -> skip
#endif
#ifdef NO_DEDUPLICATION
  :: true ->
#else
  :: else ->
#endif
     if
#ifdef NO_COMPARISON
     :: true ->
#else
     :: base_of[operation] == version ->
#endif
        version_before[operation] = version;
        version++;
        applied[operation]++;
        answers[operation] = ACCEPTED
#ifndef NO_COMPARISON
     :: else -> answers[operation] = REFUSED
#endif
     fi
  fi
}

active proctype Log() {
end:
  do
  :: atomic { pending != NO_CHANGE ->
     apply(pending);
     if
     :: reply[pending] = answers[pending]
     :: true -> skip                       /* the answer is lost */
     fi;
     pending = NO_CHANGE }
  :: atomic { leader < MAX_LEADERS ->
     leader++;
#ifdef FORGET_ANSWERS
     answers[0] = NO_ANSWER;
     answers[1] = NO_ANSWER;
#endif
     if
     :: pending = NO_CHANGE                /* the new leader lacks it */
     :: true -> skip
     fi }
  od
}

proctype Operator(byte id) {
  byte sent;
  base_of[id] = version;
  do
  :: atomic { sent < 3 && reply[id] == NO_ANSWER && pending == NO_CHANGE ->
     pending = id;
     sent++;
#ifdef EARLY_ANSWER
     reply[id] = ACCEPTED
#endif
     }
  :: atomic { reply[id] != NO_ANSWER ->
     assert(applied[id] <= 1);
     assert(reply[id] != ACCEPTED || applied[id] == 1);
     assert(reply[id] != REFUSED || applied[id] == 0);
     assert(applied[id] == 0 || version_before[id] == base_of[id]);
     assert(version == applied[0] + applied[1]);
     break }
  :: sent == 3 -> break
  od
}

init {
  atomic {
    run Operator(0);
    run Operator(1)
  }
}
