# Checks and loads for the process tests; sourced after scripts/fleet.sh.

FAILURES=0

fail() {
  echo "FAILED: $*"
  FAILURES=$((FAILURES + 1))
}

# expect_equal WHAT EXPECTED ACTUAL
expect_equal() {
  if [ "$2" = "$3" ]; then
    echo "good: $1 ($2)"
  else
    fail "$1: expected '$2', got '$3'"
  fi
}

# start_load NAME ARGUMENTS: runs lagoon-call as club-hajduk in the background;
# its report goes to NAME.json.
start_load() {
  local name=$1
  shift
  fleet_call --service members --caller club-hajduk "$@" \
    >"$FLEET_DIR/$name.json" 2>"$FLEET_DIR/$name.err" &
  printf -v "LOAD_$name" '%s' "$!"
}

# wait_for_load NAME: waits for its end and prints its report and errors.
wait_for_load() {
  local name=LOAD_$1
  wait "${!name}"
  cat "$FLEET_DIR/$1.json"
  cat "$FLEET_DIR/$1.err"
}

# read_count NAME FIELD: prints a number from the load's report.
read_count() {
  sed "s/.*\"$2\": \([0-9]*\).*/\1/" "$FLEET_DIR/$1.json"
}

# count_runs PATH: prints how many runs of it the back ends have recorded.
count_runs() {
  cat "$FLEET_DIR"/back-*.out | grep -c "^run members/$1 "
}

# Prints flow and number of each non-idempotent request that ran more than once.
list_repeated_runs() {
  cat "$FLEET_DIR"/back-*.out | grep '^run .*/once-' |
    awk '{ print $3, $4 }' | sort | uniq -d
}

# Exits with status 1 if a check has failed.
report_and_exit() {
  [ "$FAILURES" = 0 ] && echo "good" || echo "$FAILURES failed"
  exit "$((FAILURES > 0))"
}
