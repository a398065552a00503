/* Connections whose back end is gone: an entry resets one only with a proof that
 * no living back end holds it.
 *
 * Two back ends, each with a target, and one connection. The entry has just
 * started and knows nothing. It gets a packet of the connection, reads the list
 * of targets from the platform, and asks the listed targets. Back ends restart
 * and lose their connections, alone or with their targets; targets restart alone
 * and lose their tables. The platform may be away once: keys lapse, and those of
 * living back ends are back some time after its return. Back end 1 starts late.
 *
 * Guards, each of which is removed with -DNO_<guard>:
 *   after_packet   the list was read after the packet had arrived
 *   settled        the list was read when the platform had been back long enough
 *                  for every living back end to be listed again
 *   all_targets    every listed target has denied the connection
 *   ask_after      targets are asked after the packet has arrived
 *   complete       a target denies only if its process was running when its back
 *                  end started; else it is unsure
 */

#define BACK_ENDS 2

mtype = { unknown, denied, held, unsure };
mtype = { platform_up, platform_down, platform_returned };

mtype platform = platform_up;
bit was_down = 0;
bit is_running[BACK_ENDS];  /* the back end */
bit is_listed[BACK_ENDS];
bit holds[BACK_ENDS];       /* the connection, at the back end */
bit has_record[BACK_ENDS];  /* the connection, in the target's table */
bit is_complete[BACK_ENDS]; /* the target's table */
byte restarts[BACK_ENDS];

bit was_opened = 0;
bit packet_arrived = 0;

bit has_list = 0;
bit list[BACK_ENDS];
bit list_is_after_packet = 0;
bit list_is_settled = 0;
mtype verdict[BACK_ENDS] = unknown;

/* Entries place new connections on listed targets only. */
proctype back_end(byte b) {
  do
  :: atomic {
       is_running[b] && is_listed[b] && !was_opened ->
       was_opened = 1;
       holds[b] = 1;
       has_record[b] = 1
     }
  /* The back end restarts; its target goes on, or restarts with it. */
  :: atomic {
       is_running[b] && restarts[b] < 2 ->
       restarts[b]++;
       holds[b] = 0;
       if
       :: has_record[b] = 0
       :: skip  /* the record is removed when the back end returns a packet */
       fi;
       is_complete[b] = 1
     }
  /* The target restarts alone. */
  :: atomic {
       is_running[b] && restarts[b] < 2 ->
       restarts[b]++;
       has_record[b] = 0;
       is_complete[b] = 0
     }
  :: atomic {
       !is_running[b] && platform != platform_down ->
       is_running[b] = 1;
       is_complete[b] = 1;
       is_listed[b] = 1
     }
  :: atomic {
       is_running[b] && !is_listed[b] && platform != platform_down ->
       is_listed[b] = 1
     }
  od
}

proctype the_platform() {
  atomic { !was_down -> platform = platform_down; was_down = 1 };
  do
  :: atomic { is_listed[0] -> is_listed[0] = 0 }
  :: atomic { is_listed[1] -> is_listed[1] = 0 }
  :: break
  od;
  platform = platform_returned;
  /* Long enough for every living back end to be listed again. */
  atomic {
    (!is_running[0] || is_listed[0]) && (!is_running[1] || is_listed[1]) ->
    platform = platform_up
  }
}

proctype caller() {
  atomic { was_opened -> packet_arrived = 1 }
}

inline ask(t) {
  if
  :: has_record[t] -> verdict[t] = held
#ifndef NO_complete
  :: !has_record[t] && !is_complete[t] -> verdict[t] = unsure
  :: !has_record[t] && is_complete[t] -> verdict[t] = denied
#else
  :: !has_record[t] -> verdict[t] = denied
#endif
  fi
}

#ifndef NO_ask_after
#define MAY_ASK packet_arrived
#else
#define MAY_ASK true
#endif
#ifndef NO_all_targets
#define IS_DENIED ((!list[0] || verdict[0] == denied) && (!list[1] || verdict[1] == denied))
#else
#define IS_DENIED (verdict[0] == denied || verdict[1] == denied)
#endif
#ifndef NO_after_packet
#define IS_CURRENT list_is_after_packet
#else
#define IS_CURRENT true
#endif
#ifndef NO_settled
#define IS_SETTLED list_is_settled
#else
#define IS_SETTLED true
#endif

proctype entry() {
  do
  :: atomic {
       platform != platform_down ->
       has_list = 1;
       list[0] = is_listed[0];
       list[1] = is_listed[1];
       list_is_after_packet = packet_arrived;
       list_is_settled = (platform == platform_up)
     }
  :: atomic { has_list && list[0] && MAY_ASK -> ask(0) }
  :: atomic { has_list && list[1] && MAY_ASK -> ask(1) }
  :: atomic {
       has_list && packet_arrived && (list[0] || list[1]) && IS_DENIED &&
       IS_CURRENT && IS_SETTLED ->
       assert(!holds[0] && !holds[1])
     }
  od
}

init {
  atomic {
    is_running[0] = 1;
    is_listed[0] = 1;
    is_complete[0] = 1;
    run back_end(0);
    run back_end(1);
    run the_platform();
    run caller();
    run entry()
  }
}
