#!/usr/bin/env bash
# Crashes and pauses under load, on real processes: an entry and a target are
# killed, both kinds are stopped for 3 s and go on, the platform is down. A
# renewal runs at most once; what is told complete ran; what is told not run
# did not.
set -u
cd "$(dirname "$0")/../.."
. scripts/fleet.sh
. tests/processes/checks.sh
trap fleet_end EXIT
fleet_begin examples/tiskara.csv --drop 20 --repeat 20 --delay 20 --seed 4 || exit 1

start_load renewals --mix once-renewal:once:1:ms=30 --requests 300 --sessions 8 \
  --pause-ms 100 --deadline-ms 4000
sleep 0.5
kill -KILL "$(fleet_pid entry-1)"
sleep 0.5
kill -KILL "$(fleet_pid members-1)"
fleet_start_target members-1
curl -s "http://$FLEET_IP:8000/mode?set=down" >/dev/null
sleep 0.5
kill -STOP "$(fleet_pid entry-2)"
kill -STOP "$(fleet_pid members-4)"
fleet_start_entry entry-1
sleep 3
kill -CONT "$(fleet_pid entry-2)"
kill -CONT "$(fleet_pid members-4)"
wait_for_load renewals

complete=$(read_count renewals complete)
unknown=$(read_count renewals unknown)
runs=$(count_runs once-renewal)
expect_equal "every renewal has an outcome" 300 \
  "$((complete + unknown + $(read_count renewals not_run)))"
expect_equal "no renewal runs twice" "" "$(list_repeated_runs)"
expect_equal "no run is told not run" yes \
  "$([ "$runs" -le $((complete + unknown)) ] && echo yes)"
expect_equal "what is complete ran" yes "$([ "$runs" -ge "$complete" ] && echo yes)"

curl -s "http://$FLEET_IP:8000/mode?set=good" >/dev/null
fleet_wait 20 || fail "not every process came back"
fleet_call --service members --caller club-hajduk --path notice --idempotent \
  --body ms=20 >/dev/null
expect_equal "a notice after it all" 0 $?
report_and_exit
