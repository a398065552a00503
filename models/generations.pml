/* Generations of the configuration: which one a process may adopt, and when it
 * may act on it.
 *
 * Two entries and one target. The platform publishes up to three generations
 * and may answer a read with any older one; peers exchange the generations that
 * they have. The target leaves from generation 2 on. Entry 0 may be replaced
 * once, by a process without a configuration. An open sent by an entry may
 * arrive at any later time.
 *
 * Guards, each of which is removed with -DNO_<guard>:
 *   newer_only     a process adopts only a later generation
 *   compare        a process that starts accepts no new flow before it has
 *                  compared its generation with a peer's and caught up, or a
 *                  bounded wait is over
 *   target_check   a target admits a flow only while its own configuration
 *                  lists it as serving
 *   entry_check    an entry routes only to targets that serve
 *
 * Steps named in the code: adopt, compare, may_open, admit.
 */

#define PROCESSES 3
#define TARGET 2
#define LAST 3
#define LEAVES_FROM 2

byte published = 1;
byte in_force[PROCESSES];
bit compared[PROCESSES];      /* with a peer, since the start */
bit wait_is_over[PROCESSES];  /* the bounded wait is over */
bit ready[PROCESSES];
/* The generation of entry 1 when entry 0 was replaced. */
byte peer_generation_at_start = 0;
bit was_replaced = 0;

/* Opens in flight, by the sender's generation. */
bit open_in_flight[LAST + 1];

#define SERVES(g) ((g) > 0 && (g) < LEAVES_FROM)

#ifndef NO_compare
#define MAY_OPEN(p) (compared[p] || wait_is_over[p])
#else
#define MAY_OPEN(p) true
#endif
#ifndef NO_entry_check
#define MAY_ROUTE(p) SERVES(in_force[p])
#else
#define MAY_ROUTE(p) true
#endif
#ifndef NO_target_check
#define MAY_ADMIT(p) SERVES(in_force[p])
#else
#define MAY_ADMIT(p) true
#endif

/* adopt */
inline adopt(p, g) {
#ifndef NO_newer_only
  if
  :: g > in_force[p] -> in_force[p] = g
  :: else -> skip
  fi
#else
  assert(g >= in_force[p]); /* must not go back */
  in_force[p] = g
#endif
}

/* may_open */
inline become_ready(p) {
  ready[p] = 1;
  assert(in_force[p] > 0);
  /* Unless the bounded wait has ended, a replaced entry doesn't act on a
   * generation older than its peer's at the time of the replacement. */
  assert(!(p == 0 && was_replaced && !wait_is_over[p] &&
           in_force[p] < peer_generation_at_start))
}

proctype member(byte p) {
  byte g;
  byte q;
  do
  /* Reads the platform, whose answer may be stale. */
  :: atomic {
       select(g : 1 .. LAST);
       if
       :: g <= published -> adopt(p, g)
       :: else -> skip
       fi;
       g = 0
     }
  /* compare: receives a peer's digest, and its changes if the peer is ahead. */
  :: atomic {
       select(q : 0 .. PROCESSES - 1);
       if
       :: q != p && in_force[q] > 0 ->
          if
          :: in_force[q] > in_force[p] -> adopt(p, in_force[q])
          :: else -> skip
          fi;
          if
          :: p != 0 || q == 1 -> compared[p] = 1
          :: else -> skip
          fi
       :: else -> skip
       fi;
       q = 0
     }
  :: atomic { !wait_is_over[p] && !ready[p] -> wait_is_over[p] = 1 }
  :: atomic {
       !ready[p] && in_force[p] > 0 && MAY_OPEN(p) -> become_ready(p)
     }
  /* An entry sends an open to the target. */
  :: atomic {
       p != TARGET && ready[p] && MAY_ROUTE(p) ->
       assert(SERVES(in_force[p]));
       open_in_flight[in_force[p]] = 1
     }
  /* admit */
  :: atomic {
       p == TARGET && ready[p] && MAY_ADMIT(p) &&
       (open_in_flight[1] || open_in_flight[2] || open_in_flight[3]) ->
       assert(SERVES(in_force[p]))
     }
  od
}

proctype publisher() {
  do
  :: atomic { published < LAST -> published++ }
  :: published == LAST -> break
  od
}

proctype replacement() {
  atomic {
    in_force[0] = 0;
    ready[0] = 0;
    compared[0] = 0;
    wait_is_over[0] = 0;
    peer_generation_at_start = in_force[1];
    was_replaced = 1
  }
}

init {
  atomic {
    run member(0);
    run member(1);
    run member(2);
    run publisher();
    run replacement()
  }
}
