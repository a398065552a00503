/* Connections without tokens, as they are built. An opening packet and its
 * copies may reach both targets, and both back ends may accept. The caller goes
 * on with one acceptance; its data may come to either target, since an entry
 * may believe anything. Back ends and the processes beside them restart.
 *
 * An acceptance is named by its back end and that one's life. What a back end
 * doesn't hold it returns to its target.
 *
 * Rules, each of which can be taken out with -DNO_<rule>:
 *   early_rule    before its back end has accepted, a target passes no data on,
 *                 unless it has restarted and can't know
 *   own_rule      a target passes on only what goes on with the acceptance of
 *                 its own back end
 *   return_rule   a returned packet proves that a back end has lost a
 *                 connection only if it goes on with that one's acceptance
 *   trial_rule    what a restarted target had its back end try proves nothing
 *                 when it comes back
 */

mtype = { none, opening, open, trial, foreign };

#define ACCEPTANCE(target) (2 * (target) + life[target])
#define NO_ACCEPTANCE 9

byte life[2] = 0;            /* of the back end; restarts once */
bit held[2] = 0;             /* the back end holds a connection of this life */
bit opened[2] = 0;           /* and has seen the caller go on with it */
bit given[2] = 0;            /* an opening packet is on its way to it */
bit passed[2] = 0;           /* data is on its way to it */
bit accepted[2] = 0;         /* its acceptance is on its way to the caller */
byte accepts_as[2] = NO_ACCEPTANCE;

mtype record[2] = none;      /* what the process beside it knows */
byte known_as[2] = NO_ACCEPTANCE;
bit restarted[2] = 0;

byte chosen = NO_ACCEPTANCE; /* the acceptance that the caller goes on with */
byte runs = 0;

/* No connection may be reset while its back end holds it. */
inline reset() {
  assert(!(opened[0] && held[0] && chosen == ACCEPTANCE(0)));
  assert(!(opened[1] && held[1] && chosen == ACCEPTANCE(1)))
}

inline deliver(t) {
  passed[t] = 1
}

proctype target(byte t) {
  do
  /* The opening packet, or a copy, from some entry. */
  :: atomic {
       chosen == NO_ACCEPTANCE && (record[t] == none || record[t] == opening ||
                                   record[t] == open) ->
       if
       :: record[t] == none -> record[t] = opening
       :: else -> skip
       fi;
       given[t] = 1
     }
  /* Data of the caller, from some entry. */
  :: atomic {
       chosen != NO_ACCEPTANCE ->
       if
       :: record[t] == none && restarted[t] -> record[t] = trial; deliver(t)
       :: record[t] == trial -> deliver(t)
#ifndef NO_early_rule
       :: record[t] == opening && restarted[t] -> deliver(t)
#else
       :: record[t] == opening -> deliver(t)
#endif
#ifndef NO_own_rule
       :: record[t] == open && known_as[t] == chosen -> deliver(t)
#else
       :: record[t] == open -> deliver(t)
#endif
       :: else -> skip
       fi
     }
  od
}

proctype back_end(byte t) {
  do
  :: atomic {
       given[t] ->
       given[t] = 0;
       if
       :: opened[t] -> skip
       :: !opened[t] ->
          held[t] = 1;
          accepts_as[t] = ACCEPTANCE(t);
          accepted[t] = 1;
          /* It passes the target. */
          known_as[t] = ACCEPTANCE(t);
          record[t] = open
       fi
     }
  :: atomic {
       passed[t] ->
       passed[t] = 0;
       if
       :: held[t] && chosen == ACCEPTANCE(t) ->
          if
          :: !opened[t] -> opened[t] = 1; runs++; assert(runs <= 1)
          :: opened[t] -> skip
          fi;
          /* What it answers passes the target. */
          known_as[t] = ACCEPTANCE(t);
          record[t] = open
       :: else ->
          /* Only a target that can't know passes on what is another's, or
           * what its back end had in its life before. */
          assert(restarted[t] || chosen / 2 == t);
          if
          :: record[t] == trial ->
#ifdef NO_trial_rule
             reset();
#endif
             record[t] = foreign
#ifndef NO_return_rule
          :: record[t] == open && known_as[t] == chosen ->
#else
          :: record[t] == open ->
#endif
             reset();
             record[t] = none
          :: else -> record[t] = foreign
          fi
       fi
     }
  od
}

/* The caller goes on with the first acceptance that reaches it. */
active proctype caller() {
  if
  :: atomic { accepted[0] -> chosen = accepts_as[0] }
  :: atomic { accepted[1] -> chosen = accepts_as[1] }
  fi
}

active proctype back_end_restarts() {
  if
  :: atomic { held[0] = 0; opened[0] = 0; life[0] = 1 }
  :: atomic { held[1] = 0; opened[1] = 0; life[1] = 1 }
  :: skip
  fi
}

proctype target_restarts(byte t) {
  atomic { record[t] = none; known_as[t] = NO_ACCEPTANCE; restarted[t] = 1 }
}

init {
  atomic {
    run target(0);
    run target(1);
    run back_end(0);
    run back_end(1);
    run target_restarts(0);
    run target_restarts(1)
  }
}
