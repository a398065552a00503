/* A non-idempotent request on flows with tokens: it runs at most once, and the
 * outcome reported to the caller is true.
 *
 * One caller, several targets, two flows. The second flow is opened only after
 * the first has replied `not run`. Entries hold no state of a flow, so they are
 * modelled as part of the network. The network is a set: a message that was
 * sent may arrive at any time, any number of times, in any order, or never. A
 * paused process is one whose steps aren't scheduled.
 *
 * A target creates a flow again when a copy of the open packet arrives after
 * the flow was closed or the process restarted. Each creation has its own
 * token.
 *
 * Bounds: two targets (-DTARGETS=3 for three); each target restarts at most
 * once and creates each flow at most twice.
 *
 * -DNO_<guard> removes a guard of the protocol; an assertion must then fail
 * (see scripts/check-models).
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
bit incarnation[TARGETS];                         /* the epoch of the process */
byte creations[TARGETS * FLOWS];                  /* creations so far */
byte open_creation[TARGETS * FLOWS];              /* from 1; 0: closed */
bit created_in[TARGETS * FLOWS * MAX_CREATIONS];  /* the epoch in the token */
mtype record[TARGETS * FLOWS] = none;             /* in the request table */
bit below_watermark[TARGETS * FLOWS];             /* settled and forgotten */

/* The caller: a token for each flow, and whether it has sent a submit. */
byte flow = 0;
bit has_token[FLOWS];
byte token_target[FLOWS];
byte token_creation[FLOWS];
bit submit_sent[FLOWS];
mtype outcome = waiting;

/* Replies that may still arrive, each any number of times. */
bit reply_finished[FLOWS];
bit reply_not_run[FLOWS];
bit reply_unknown[FLOWS];

/* Runs at back ends, for the assertions. */
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

/* One flow at a target. */
proctype target(byte t; byte f) {
  do
  /* admit: an open, or any later copy of it, creates the flow. */
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
  /* finish, or lose the back end's answer */
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
  /* forget: settled, and acknowledged or abandoned by the caller */
  :: atomic {
       record[AT(t, f)] == finished || record[AT(t, f)] == refused ||
       record[AT(t, f)] == lost ->
       record[AT(t, f)] = none;
       below_watermark[AT(t, f)] = 1
     }
  /* close, also when idle for too long; only when all requests are settled */
  :: atomic {
       open_creation[AT(t, f)] != 0 && record[AT(t, f)] == none ->
       open_creation[AT(t, f)] = 0;
       below_watermark[AT(t, f)] = 0
     }
  od
}

/* A target is killed and replaced by a new process without any state. */
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
  /* The reply to an open arrives, from any creation, old or new. */
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
  /* Submits and retransmits, with this token only. */
  :: atomic { outcome == waiting && has_token[flow] -> submit_sent[flow] = 1 }
#ifdef NO_one_owner
  /* Moves the request to another flow although it may run on this one. */
  :: atomic {
       outcome == waiting && submit_sent[flow] && flow < FLOWS - 1 -> flow++
     }
#endif
  :: atomic {
       outcome == waiting && reply_finished[flow] ->
       outcome = complete;
       check_guarantees()
     }
  /* It did not run: reports so, or tries once more on another flow. */
  :: atomic {
       outcome == waiting && reply_not_run[flow] ->
       if
       :: flow < FLOWS - 1 -> flow++
       :: outcome = not_run; check_guarantees()
       fi
     }
  :: atomic { outcome == waiting && reply_unknown[flow] -> outcome = unknown }
  /* The deadline has passed. A request that was sent must not be reported as
   * `not run`. */
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
