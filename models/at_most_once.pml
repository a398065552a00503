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
#define MAKINGS 2

#define AT(t, f) ((t) * FLOWS + (f))
#define MADE(t, f, n) (((t) * FLOWS + (f)) * MAKINGS + (n))

mtype = { none, queued, running, finished, lost, refused };
mtype = { waiting, complete, not_run, unknown };

/* Targets. */
bit life[TARGETS];                       /* epoch */
byte makings[TARGETS * FLOWS];           /* how often the flow was made */
byte open_as[TARGETS * FLOWS];           /* the making now open; 0: closed */
bit made_in[TARGETS * FLOWS * MAKINGS];  /* the epoch in the token */
mtype ledger[TARGETS * FLOWS] = none;    /* the run ledger's record */
bit floored[TARGETS * FLOWS];            /* settled and forgotten */

/* The caller: a token for each flow, and whether a submit went out. */
byte flow = 0;
bit has_token[FLOWS];
byte token_target[FLOWS];
byte token_making[FLOWS];
bit sent[FLOWS];
mtype told = waiting;

/* Answers that may still arrive, each any number of times. */
bit says_finished[FLOWS];
bit says_not_run[FLOWS];
bit says_unknown[FLOWS];

/* What the proofs look at. */
byte runs = 0;

inline check_promises() {
  assert(runs <= 1);
  assert(!(told == not_run && runs > 0));
  assert(!(told == complete && runs != 1))
}

/* A copy of the submit of flow f arrives at its target t. */
inline take_submit(t, f, n) {
  if
#ifndef NO_epoch_check
  :: made_in[MADE(t, f, n)] != life[t] ->
#ifndef NO_unknown_after_restart
     says_unknown[f] = 1
#else
     says_not_run[f] = 1
#endif
#endif
#ifndef NO_issue_check
  :: made_in[MADE(t, f, n)] == life[t] && open_as[AT(t, f)] != n + 1 ->
     says_unknown[f] = 1
#endif
  :: (open_as[AT(t, f)] != 0
#ifndef NO_epoch_check
      && made_in[MADE(t, f, n)] == life[t]
#endif
#ifndef NO_issue_check
      && (open_as[AT(t, f)] == n + 1 || made_in[MADE(t, f, n)] != life[t])
#endif
     ) ->
     if
#ifndef NO_floor
     :: floored[AT(t, f)] -> says_unknown[f] = 1
     :: !floored[AT(t, f)] && ledger[AT(t, f)] == none ->
        ledger[AT(t, f)] = queued /* accept */
#else
     :: ledger[AT(t, f)] == none -> ledger[AT(t, f)] = queued
#endif
     :: ledger[AT(t, f)] == queued || ledger[AT(t, f)] == running -> skip
     :: ledger[AT(t, f)] == finished -> says_finished[f] = 1
     :: ledger[AT(t, f)] == lost -> says_unknown[f] = 1
     :: ledger[AT(t, f)] == refused -> says_not_run[f] = 1
     fi
  :: else -> skip
  fi
}

/* What a target does with one flow. */
proctype target(byte t; byte f) {
  do
  /* admit: an open, or any later copy of it, makes the flow. */
  :: atomic {
       f <= flow && open_as[AT(t, f)] == 0 && makings[AT(t, f)] < MAKINGS ->
       made_in[MADE(t, f, makings[AT(t, f)])] = life[t];
       makings[AT(t, f)]++;
       open_as[AT(t, f)] = makings[AT(t, f)]
     }
  :: atomic {
       sent[f] && token_target[f] == t ->
       take_submit(t, f, token_making[f])
     }
  /* start */
  :: atomic {
       ledger[AT(t, f)] == queued ->
       ledger[AT(t, f)] = running;
       runs++;
       check_promises()
     }
#ifdef NO_start_once
  :: atomic {
       ledger[AT(t, f)] == running && runs < 3 -> runs++; check_promises()
     }
#endif
  /* refuse: overload, a deadline, leaving, a cancellation */
  :: atomic {
       ledger[AT(t, f)] == queued ->
#ifndef NO_refusal_record
       ledger[AT(t, f)] = refused;
#else
       ledger[AT(t, f)] = none;
#endif
       says_not_run[f] = 1
     }
  /* finish, or the back end's answer is lost */
  :: atomic {
       ledger[AT(t, f)] == running ->
       ledger[AT(t, f)] = finished;
       says_finished[f] = 1
     }
  :: atomic {
       ledger[AT(t, f)] == running ->
#ifndef NO_lost_is_unknown
       ledger[AT(t, f)] = lost;
       says_unknown[f] = 1
#else
       ledger[AT(t, f)] = refused;
       says_not_run[f] = 1
#endif
     }
  /* forget: settled, and acknowledged or abandoned */
  :: atomic {
       ledger[AT(t, f)] == finished || ledger[AT(t, f)] == refused ||
       ledger[AT(t, f)] == lost ->
       ledger[AT(t, f)] = none;
       floored[AT(t, f)] = 1
     }
  /* close, or the flow was idle for too long; only when all is settled */
  :: atomic {
       open_as[AT(t, f)] != 0 && ledger[AT(t, f)] == none ->
       open_as[AT(t, f)] = 0;
       floored[AT(t, f)] = 0
     }
  od
}

/* The process is killed and another takes its place, knowing nothing. */
proctype restart(byte t) {
  byte f = 0;
  atomic {
    life[t] = 1;
    do
    :: f < FLOWS ->
       open_as[AT(t, f)] = 0;
       ledger[AT(t, f)] = none;
       floored[AT(t, f)] = 0;
       f++
    :: else -> break
    od;
    f = 0
  }
}

proctype caller() {
  byte t;
  do
  :: told != waiting -> break
  /* The answer to an open arrives: any making's, old or new. */
  :: atomic {
       told == waiting && !has_token[flow] ->
       select(t : 0 .. TARGETS - 1);
       if
       :: makings[AT(t, flow)] > 0 ->
          has_token[flow] = 1;
          token_target[flow] = t;
          if
          :: token_making[flow] = makings[AT(t, flow)] - 1
          :: token_making[flow] = 0
          fi
       :: else -> skip
       fi;
       t = 0
     }
  /* Submits, and repeats it, under this token alone. */
  :: atomic { told == waiting && has_token[flow] -> sent[flow] = 1 }
#ifdef NO_one_owner
  /* Moves a request on although it may run where it was sent. */
  :: atomic { told == waiting && sent[flow] && flow < FLOWS - 1 -> flow++ }
#endif
  :: atomic {
       told == waiting && says_finished[flow] ->
       told = complete;
       check_promises()
     }
  /* It did not run: told so, or tried once more on another flow. */
  :: atomic {
       told == waiting && says_not_run[flow] ->
       if
       :: flow < FLOWS - 1 -> flow++
       :: told = not_run; check_promises()
       fi
     }
  :: atomic { told == waiting && says_unknown[flow] -> told = unknown }
  /* The deadline. Nothing that was sent can be told `not run`. */
  :: atomic {
       told == waiting ->
       if
#ifndef NO_sent_is_unknown
       :: sent[flow] -> told = unknown
#else
       :: sent[flow] -> told = not_run; check_promises()
#endif
       :: !sent[flow] -> told = not_run; check_promises()
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
