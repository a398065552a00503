#!/usr/bin/env bash
# Crashes and pauses of real processes under load, on a lossy network: an entry
# and a target are killed and restarted, another of each is paused for 3 s, and
# the platform is down. A renewal isn't idempotent and must run at most once, a
# request reported complete must have run, and one reported not run must not.
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
expect_equal "no request that ran is reported not run" yes \
  "$([ "$runs" -le $((complete + unknown)) ] && echo yes)"
expect_equal "every complete request ran" yes "$([ "$runs" -ge "$complete" ] && echo yes)"

curl -s "http://$FLEET_IP:8000/mode?set=good" >/dev/null
fleet_wait 20 || fail "not every process is ready again"
fleet_call --service members --caller club-hajduk --path notice --idempotent \
  --body ms=20 >/dev/null
expect_equal "a notice completes after recovery" 0 $?
report_and_exit
