/* A non-idempotent request under tokens: at most one run, and no lie.
 *
 * One caller, some targets, two flows (the second is opened only after a
 * truthful `not run`). Entries hold no state of a flow, so any number of them
 * is part of the network. The network is a set: what was once sent may arrive
 * at any time, any number of times, in any order, or never. A pause of a
 * process is a step that doesn't come.
 *
 * A target makes a flow anew when it was closed or its process restarted, and
 * a copy of the open packet comes. Each making has its own token.
 *
 * Bounds: two targets (-DTARGETS=3 for three); each target restarts at most
 * once and makes each flow at most twice.
 *
 * Each guard of the protocol can be taken out with -DNO_<guard>; the check
 * must then fail (scripts/check-models).
 *
 * Steps named in the code: accept, start, refuse, finish, forget, admit.
 */

#ifndef TARGETS
#define TARGETS 2
#endif
#define FLOWS 2
#define MAX_CREATIONS 2

#define AT(t, f) ((t) * FLOWS + (f))
#define CREATION(t, f, n) (((t) * FLOWS + (f)) * MAX_CREATIONS + (n))

mtype = { none, queued, running, finished, lost, refused };
mtype = { waiting, complete, not_run, unknown };

/* Targets. */
bit incarnation[TARGETS];                       /* epoch */
byte creations[TARGETS * FLOWS];           /* how often the flow was made */
byte open_creation[TARGETS * FLOWS];           /* the making now open; 0: closed */
bit created_in[TARGETS * FLOWS * MAX_CREATIONS];  /* the epoch in the token */
mtype record[TARGETS * FLOWS] = none;    /* the run ledger's record */
bit below_watermark[TARGETS * FLOWS];            /* settled and forgotten */

/* The caller: a token for each flow, and whether a submit went out. */
byte flow = 0;
bit has_token[FLOWS];
byte token_target[FLOWS];
byte token_creation[FLOWS];
bit submit_sent[FLOWS];
mtype outcome = waiting;

/* Answers that may still arrive, each any number of times. */
bit reply_finished[FLOWS];
bit reply_not_run[FLOWS];
bit reply_unknown[FLOWS];

/* What the proofs look at. */
byte runs = 0;

inline check_guarantees() {
  assert(runs <= 1);
  assert(!(outcome == not_run && runs > 0));
  assert(!(outcome == complete && runs != 1))
}

/* A copy of the submit of flow f arrives at its target t. */
inline receive_submit(t, f, n) {
  if
#ifndef NO_epoch_check
  :: created_in[CREATION(t, f, n)] != incarnation[t] ->
#ifndef NO_unknown_after_restart
     reply_unknown[f] = 1
#else
     reply_not_run[f] = 1
#endif
#endif
#ifndef NO_issue_check
  :: created_in[CREATION(t, f, n)] == incarnation[t] &&
     open_creation[AT(t, f)] != n + 1 ->
     reply_unknown[f] = 1
#endif
  :: (open_creation[AT(t, f)] != 0
#ifndef NO_epoch_check
      && created_in[CREATION(t, f, n)] == incarnation[t]
#endif
#ifndef NO_issue_check
      && (open_creation[AT(t, f)] == n + 1 ||
          created_in[CREATION(t, f, n)] != incarnation[t])
#endif
     ) ->
     if
#ifndef NO_floor
     :: below_watermark[AT(t, f)] -> reply_unknown[f] = 1
     :: !below_watermark[AT(t, f)] && record[AT(t, f)] == none ->
        record[AT(t, f)] = queued /* accept */
#else
     :: record[AT(t, f)] == none -> record[AT(t, f)] = queued
#endif
     :: record[AT(t, f)] == queued || record[AT(t, f)] == running -> skip
     :: record[AT(t, f)] == finished -> reply_finished[f] = 1
     :: record[AT(t, f)] == lost -> reply_unknown[f] = 1
     :: record[AT(t, f)] == refused -> reply_not_run[f] = 1
     fi
  :: else -> skip
  fi
}

/* What a target does with one flow. */
proctype target(byte t; byte f) {
  do
  /* admit: an open, or any later copy of it, makes the flow. */
  :: atomic {
       f <= flow && open_creation[AT(t, f)] == 0 &&
       creations[AT(t, f)] < MAX_CREATIONS ->
       created_in[CREATION(t, f, creations[AT(t, f)])] = incarnation[t];
       creations[AT(t, f)]++;
       open_creation[AT(t, f)] = creations[AT(t, f)]
     }
  :: atomic {
       submit_sent[f] && token_target[f] == t ->
       receive_submit(t, f, token_creation[f])
     }
  /* start */
  :: atomic {
       record[AT(t, f)] == queued ->
       record[AT(t, f)] = running;
       runs++;
       check_guarantees()
     }
#ifdef NO_start_once
  :: atomic {
       record[AT(t, f)] == running && runs < 3 -> runs++; check_guarantees()
     }
#endif
  /* refuse: overload, a deadline, leaving, a cancellation */
  :: atomic {
       record[AT(t, f)] == queued ->
#ifndef NO_refusal_record
       record[AT(t, f)] = refused;
#else
       record[AT(t, f)] = none;
#endif
       reply_not_run[f] = 1
     }
  /* finish, or the back end's answer is lost */
  :: atomic {
       record[AT(t, f)] == running ->
       record[AT(t, f)] = finished;
       reply_finished[f] = 1
     }
  :: atomic {
       record[AT(t, f)] == running ->
#ifndef NO_lost_is_unknown
       record[AT(t, f)] = lost;
       reply_unknown[f] = 1
#else
       record[AT(t, f)] = refused;
       reply_not_run[f] = 1
#endif
     }
  /* forget: settled, and acknowledged or abandoned */
  :: atomic {
       record[AT(t, f)] == finished || record[AT(t, f)] == refused ||
       record[AT(t, f)] == lost ->
       record[AT(t, f)] = none;
       below_watermark[AT(t, f)] = 1
     }
  /* close, or the flow was idle for too long; only when all is settled */
  :: atomic {
       open_creation[AT(t, f)] != 0 && record[AT(t, f)] == none ->
       open_creation[AT(t, f)] = 0;
       below_watermark[AT(t, f)] = 0
     }
  od
}

/* The process is killed and another takes its place, knowing nothing. */
proctype restart(byte t) {
  byte f = 0;
  atomic {
    incarnation[t] = 1;
    do
    :: f < FLOWS ->
       open_creation[AT(t, f)] = 0;
       record[AT(t, f)] = none;
       below_watermark[AT(t, f)] = 0;
       f++
    :: else -> break
    od;
    f = 0
  }
}

proctype caller() {
  byte t;
  do
  :: outcome != waiting -> break
  /* The answer to an open arrives: any making's, old or new. */
  :: atomic {
       outcome == waiting && !has_token[flow] ->
       select(t : 0 .. TARGETS - 1);
       if
       :: creations[AT(t, flow)] > 0 ->
          has_token[flow] = 1;
          token_target[flow] = t;
          if
          :: token_creation[flow] = creations[AT(t, flow)] - 1
          :: token_creation[flow] = 0
          fi
       :: else -> skip
       fi;
       t = 0
     }
  /* Submits, and repeats it, under this token alone. */
  :: atomic { outcome == waiting && has_token[flow] -> submit_sent[flow] = 1 }
#ifdef NO_one_owner
  /* Moves a request on although it may run where it was sent. */
  :: atomic {
       outcome == waiting && submit_sent[flow] && flow < FLOWS - 1 -> flow++
     }
#endif
  :: atomic {
       outcome == waiting && reply_finished[flow] ->
       outcome = complete;
       check_guarantees()
     }
  /* It did not run: told so, or tried once more on another flow. */
  :: atomic {
       outcome == waiting && reply_not_run[flow] ->
       if
       :: flow < FLOWS - 1 -> flow++
       :: outcome = not_run; check_guarantees()
       fi
     }
  :: atomic { outcome == waiting && reply_unknown[flow] -> outcome = unknown }
  /* The deadline. Nothing that was sent can be told `not run`. */
  :: atomic {
       outcome == waiting ->
       if
#ifndef NO_sent_is_unknown
       :: submit_sent[flow] -> outcome = unknown
#else
       :: submit_sent[flow] -> outcome = not_run; check_guarantees()
#endif
       :: !submit_sent[flow] -> outcome = not_run; check_guarantees()
       fi
     }
  od
}

init {
  byte n = 0;
  byte m = 0;
  atomic {
    do
    :: n < TARGETS ->
       m = 0;
       do
       :: m < FLOWS -> run target(n, m); m++
       :: else -> break
       od;
       run restart(n);
       n++
    :: else -> break
    od;
    run caller();
    n = 0;
    m = 0
  }
}
