#!/usr/bin/env bash
# Planned changes under load, on real processes: entries are replaced one by
# one, a target leaves, another joins again. No request may fail, and no
# renewal may run twice.
set -u
cd "$(dirname "$0")/../.."
. scripts/fleet.sh
. tests/processes/checks.sh
trap fleet_end EXIT
fleet_begin examples/tiskara.csv --drop 10 --repeat 10 --seed 3 || exit 1

begin_load renewals --mix once-renewal:once:1:ms=20 --requests 400 --sessions 8 --pause-ms 100
begin_load notices --mix notice:idempotent:9:ms=20,bulletin:idempotent:1:"ms=300 bytes=300000" \
  --requests 400 --sessions 8 --pause-ms 100 --deadline-ms 30000

for entry in entry-1 entry-2 entry-3; do
  sleep 0.7
  kill -TERM "$(fleet_pid "$entry")"
  wait "$(fleet_pid "$entry")"
  same "$entry stops gracefully" 0 $?
  fleet_start_entry "$entry"
done
sed -i 's/\(target,members,members-2.*\)serving/\1leaving/' "$FLEET_DIR/sheet.csv"
fleet_publish >&2
fleet_wait || fail "the change is not in force"
sleep 5 # the time that a leaving target has
left=$(grep -c '^run' "$FLEET_DIR/back-members-2.out")
sed -i 's/\(target,members,members-3.*\)serving/\1leaving/' "$FLEET_DIR/sheet.csv"
fleet_publish >&2
fleet_wait || fail "the second change is not in force"
sleep 1
same "a leaving target starts nothing new" "$left" \
  "$(grep -c '^run' "$FLEET_DIR/back-members-2.out")"
kill -TERM "$(fleet_pid members-2)"
wait "$(fleet_pid members-2)"
same "members-2 stops gracefully" 0 $?

end_load renewals
same "renewals complete" 400 "$(count renewals complete)"
same "renewals run" 400 "$(runs_of once-renewal)"
same "no renewal runs twice" "" "$(doubled_runs)"
end_load notices
same "notices and bulletins complete" 400 "$(count notices complete)"
finish
