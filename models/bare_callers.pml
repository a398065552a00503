/* Callers that repeat nothing: any packet may be a copy of the one request,
 * and the first-ranked target may change between copies. The entry opens on
 * the caller's behalf, so no token keeps two targets apart; four rules do.
 *
 * Target 0 is first-ranked until the change, target 1 from then on. Target 0
 * may restart once. One non-idempotent request, copies in any order.
 *
 * Rules, each of which can be taken out with -DNO_<rule>:
 *   promise       a target that became first asks the earlier one; asked, it
 *                 promises in its ledger never to start the request
 *   refusal       a refused request stays refused in the ledger
 *   restart_rule  a restarted target's empty ledger proves nothing: a request
 *                 that may be older than it is answered `unknown`
 *   asking_rule   where the earlier target can't be asked, the request is
 *                 answered `unknown`
 *
 * Not in the code yet: docs/PROOFS.md lists it.
 */

mtype = { none, queued, running, done, refused, promised };

bit first = 0;             /* the first-ranked target */
mtype ledger[2] = none;
bit restarted = 0;         /* target 0 knows nothing of before */
bit reachable = 1;         /* target 1 can ask target 0 */
bit asked = 0;             /* target 0 answered that it has not started it */
byte runs = 0;
bit told_not_run = 0;
bit told_unknown = 0;

inline check_promises() {
  assert(runs <= 1);
  assert(!(told_not_run && runs > 0))
}

/* A copy arrives at target 0: sent while that was first-ranked, or later by
 * an entry that knows no better. */
active proctype target_0() {
  do
  :: atomic {
       ledger[0] == none ->
       if
#ifndef NO_restart_rule
       :: restarted -> told_unknown = 1
       :: !restarted -> ledger[0] = queued
#else
       :: ledger[0] = queued
#endif
       fi
     }
  :: atomic {
       ledger[0] == queued -> ledger[0] = running; runs++; check_promises()
     }
  :: atomic { ledger[0] == running -> ledger[0] = done }
  :: atomic {
       ledger[0] == queued ->
#ifndef NO_refusal
       ledger[0] = refused;
#else
       ledger[0] = none;
#endif
       told_not_run = 1;
       check_promises()
     }
  od
}

active proctype target_1() {
  do
  /* Asks the earlier target before it takes the request in. */
  :: atomic {
       first == 1 && ledger[1] == none && !asked ->
       if
       :: reachable && restarted -> told_unknown = 1
       :: reachable && !restarted && ledger[0] == none ->
#ifndef NO_promise
          ledger[0] = promised;
#endif
          asked = 1
       /* A refusal is told as it stands; anything else may have run. */
       :: reachable && !restarted && ledger[0] == refused -> told_not_run = 1;
          check_promises()
       :: reachable && !restarted &&
          (ledger[0] == running || ledger[0] == done ||
           ledger[0] == queued) -> told_unknown = 1
       :: !reachable ->
#ifndef NO_asking_rule
          told_unknown = 1
#else
          asked = 1
#endif
       :: else -> skip
       fi
     }
  :: atomic { first == 1 && ledger[1] == none && asked -> ledger[1] = queued }
  :: atomic {
       ledger[1] == queued -> ledger[1] = running; runs++; check_promises()
     }
  :: atomic { ledger[1] == running -> ledger[1] = done }
  :: atomic {
       ledger[1] == queued ->
#ifndef NO_refusal
       ledger[1] = refused;
#else
       ledger[1] = none;
#endif
       told_not_run = 1;
       check_promises()
     }
  od
}

active proctype change() {
  first = 1
}

active proctype cut() {
  reachable = 0;
  reachable = 1
}

active proctype restart() {
  atomic { ledger[0] = none; restarted = 1 }
}
