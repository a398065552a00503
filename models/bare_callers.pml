/* Connections of callers without tokens: the request runs at most once, and no
 * connection is reset while its back end holds it.
 *
 * An opening packet and its copies may reach both targets, and both back ends
 * may accept. The caller continues with one acceptance. An entry may send the
 * caller's data to either target, because entries can disagree about the owner
 * of a connection. Back ends and the targets in front of them may restart.
 *
 * An acceptance is identified by its back end and the back end's incarnation. A
 * back end returns data of a connection that it doesn't hold to its target.
 *
 * Rules, each of which is removed with -DNO_<rule>:
 *   early_rule    a target passes no data on before its back end has accepted,
 *                 unless the target has restarted and lost its records
 *   own_rule      a target passes data on only if it continues the acceptance
 *                 of its own back end
 *   return_rule   returned data shows that a back end has lost a connection
 *                 only if it continues this back end's acceptance
 *   trial_rule    when a restarted target passes data to its back end as a
 *                 trial, data that comes back shows nothing
 */

mtype = { none, opening, open, trial, foreign };

#define ACCEPTANCE(target) (2 * (target) + incarnation[target])
#define NO_ACCEPTANCE 9

byte incarnation[2] = 0;          /* of the back end; restarts once */
bit holds_connection[2] = 0;      /* at the back end, since its last start */
bit is_established[2] = 0;        /* the caller has continued it */
bit opening_in_flight[2] = 0;     /* to the back end */
bit data_in_flight[2] = 0;        /* to the back end */
bit acceptance_in_flight[2] = 0;  /* to the caller */
byte sent_acceptance[2] = NO_ACCEPTANCE;

mtype record[2] = none;  /* state of the connection at the target */
byte known_acceptance[2] = NO_ACCEPTANCE;
bit restarted[2] = 0;

/* The acceptance that the caller continues. */
byte chosen_acceptance = NO_ACCEPTANCE;
byte runs = 0;

/* A connection must not be reset while its back end holds it. */
inline reset() {
  assert(!(is_established[0] && holds_connection[0] &&
           chosen_acceptance == ACCEPTANCE(0)));
  assert(!(is_established[1] && holds_connection[1] &&
           chosen_acceptance == ACCEPTANCE(1)))
}

inline pass_data_on(t) {
  data_in_flight[t] = 1
}

proctype target(byte t) {
  do
  /* The opening packet, or a copy, from some entry. */
  :: atomic {
       chosen_acceptance == NO_ACCEPTANCE &&
       (record[t] == none || record[t] == opening || record[t] == open) ->
       if
       :: record[t] == none -> record[t] = opening
       :: else -> skip
       fi;
       opening_in_flight[t] = 1
     }
  /* Data of the caller, from some entry. */
  :: atomic {
       chosen_acceptance != NO_ACCEPTANCE ->
       if
       :: record[t] == none && restarted[t] ->
          record[t] = trial;
          pass_data_on(t)
       :: record[t] == trial -> pass_data_on(t)
#ifndef NO_early_rule
       :: record[t] == opening && restarted[t] -> pass_data_on(t)
#else
       :: record[t] == opening -> pass_data_on(t)
#endif
#ifndef NO_own_rule
       :: record[t] == open && known_acceptance[t] == chosen_acceptance ->
          pass_data_on(t)
#else
       :: record[t] == open -> pass_data_on(t)
#endif
       :: else -> skip
       fi
     }
  od
}

proctype back_end(byte t) {
  do
  :: atomic {
       opening_in_flight[t] ->
       opening_in_flight[t] = 0;
       if
       :: is_established[t] -> skip
       :: !is_established[t] ->
          holds_connection[t] = 1;
          sent_acceptance[t] = ACCEPTANCE(t);
          acceptance_in_flight[t] = 1;
          /* The acceptance passes through the target. */
          known_acceptance[t] = ACCEPTANCE(t);
          record[t] = open
       fi
     }
  :: atomic {
       data_in_flight[t] ->
       data_in_flight[t] = 0;
       if
       :: holds_connection[t] && chosen_acceptance == ACCEPTANCE(t) ->
          if
          :: !is_established[t] ->
             is_established[t] = 1;
             runs++;
             assert(runs <= 1)
          :: is_established[t] -> skip
          fi;
          /* The answer passes through the target. */
          known_acceptance[t] = ACCEPTANCE(t);
          record[t] = open
       :: else ->
          /* Only a target that has lost its records may pass on data of the
           * other back end. Data for an earlier incarnation of its own back
           * end is expected here. */
          assert(restarted[t] || chosen_acceptance / 2 == t);
          if
          :: record[t] == trial ->
#ifdef NO_trial_rule
             reset();
#endif
             record[t] = foreign
#ifndef NO_return_rule
          :: record[t] == open && known_acceptance[t] == chosen_acceptance ->
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

/* The caller continues the first acceptance that reaches it. */
active proctype caller() {
  if
  :: atomic {
       acceptance_in_flight[0] -> chosen_acceptance = sent_acceptance[0]
     }
  :: atomic {
       acceptance_in_flight[1] -> chosen_acceptance = sent_acceptance[1]
     }
  fi
}

active proctype back_end_restarts() {
  if
  :: atomic {
       holds_connection[0] = 0;
       is_established[0] = 0;
       incarnation[0] = 1
     }
  :: atomic {
       holds_connection[1] = 0;
       is_established[1] = 0;
       incarnation[1] = 1
     }
  :: skip
  fi
}

proctype target_restarts(byte t) {
  atomic {
    record[t] = none;
    known_acceptance[t] = NO_ACCEPTANCE;
    restarted[t] = 1
  }
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
