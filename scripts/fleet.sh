# Functions that run a small fleet on loopback; sourced by the demo, the process
# tests and the benchmarks. Each run has its own loopback address, so that
# several runs on one machine don't disturb each other.
#
#   fleet_begin SHEET [FABRIC OPTIONS]   start all processes, wait until ready
#   fleet_end                            stop all processes, remove FLEET_DIR
#   fleet_call ARGUMENTS                 lagoon-call through the fabric
#
# Variables: BUILD (build folder), FLEET_DIR (temporary files), FLEET_IP (loopback
# address), FLEET_PIDS (all processes); PID_<name> holds the id of each process,
# with '_' for '-'. FLEET_NO_BACK_ENDS, if set, starts targets without back ends.

BUILD=${BUILD:-build}
FLEET_PIDS=
FLEET_DIR=

fleet_log() {
  echo "fleet: $*" >&2
}

# Picks an address 127.a.b.c on which nothing listens at the platform's port. It
# depends on the shell's process id, so that simultaneous runs differ.
fleet_pick_ip() {
  local try
  for try in 1 2 3 4 5 6 7 8 9 10; do
    FLEET_IP=127.$(($$ % 200 + 10)).$(($$ / 200 % 250 + 1)).$((RANDOM % 250 + 1))
    if ! (exec 3<>"/dev/tcp/$FLEET_IP/8000") 2>/dev/null; then
      return 0
    fi
  done
  fleet_log "no free loopback address"
  return 1
}

# fleet_start NAME COMMAND...: runs it in the background and stores its id.
fleet_start() {
  local name=$1
  shift
  "$@" >"$FLEET_DIR/$name.out" 2>"$FLEET_DIR/$name.log" &
  local pid=$!
  printf -v "PID_${name//-/_}" '%s' "$pid"
  FLEET_PIDS="$FLEET_PIDS $pid"
}

fleet_pid() {
  local name=PID_${1//-/_}
  echo "${!name-}"
}

# fleet_shift_port ADDRESS N: prints the address with N added to its port.
fleet_shift_port() {
  echo "${1%:*}:$((${1##*:} + $2))"
}

# Writes the settings of each process from the rows of the sheet.
fleet_write_settings() {
  local kind service name data_centre address control slots state
  while IFS=, read -r kind service name data_centre address control slots state; do
    case $kind in
    entry)
      cat >"$FLEET_DIR/$name.json" <<JSON
// settings of $name
{
  "name": "$name", "data_centre": "$data_centre",
  "callers": "$(fleet_shift_port "$address" -100)", // packets of callers
  "exchange": "$address", "control": "$control",
  "platform": "$FLEET_IP:8000", "seeds": [], "log_level": "info"
}
JSON
      ;;
    target)
      cat >"$FLEET_DIR/$name.json" <<JSON
// settings of $name
{
  "name": "$name", "data_centre": "$data_centre",
  "packets": "$address", "control": "$control",
  "back_end": "$(fleet_shift_port "$address" 1000)", "slots": $slots,
  "platform": "$FLEET_IP:8000", "seeds": ["$FLEET_IP:6101", "$FLEET_IP:6102"],
  "log_level": "info"
}
JSON
      ;;
    esac
  done <"$FLEET_DIR/sheet.csv"
}

fleet_start_entry() {
  fleet_start "$1" "$BUILD/lagoon-entry" --settings "$FLEET_DIR/$1.json"
}

fleet_start_target() {
  fleet_start "$1" "$BUILD/lagoon-target" --settings "$FLEET_DIR/$1.json"
}

fleet_start_all() {
  local kind service name data_centre address control slots state
  while IFS=, read -r kind service name data_centre address control slots state; do
    case $kind in
    entry) fleet_start_entry "$name" ;;
    target)
      [ -n "$(fleet_pid "$name")" ] && continue
      [ -n "${FLEET_NO_BACK_ENDS:-}" ] || fleet_start "back-$name" "$BUILD/stand-in-back_end" \
        --listen "$(fleet_shift_port "$address" 1000)" --slots "$slots"
      fleet_start_target "$name"
      ;;
    esac
  done <"$FLEET_DIR/sheet.csv"
}

# Prints the addresses for callers of all entries, separated by commas.
fleet_entries() {
  awk -F, '$1 == "entry" { split($5, a, ":"); printf "%s%s:%d", s, a[1], a[2] - 100; s = "," }' \
    "$FLEET_DIR/sheet.csv"
}

fleet_publish() {
  "$BUILD/lagoon-sheet" compile --sheet "$FLEET_DIR/sheet.csv" \
    --documents "$FLEET_DIR/documents"
}

# fleet_wait [SECONDS]: waits until every process has the published sheet.
fleet_wait() {
  "$BUILD/lagoon-sheet" wait --documents "$FLEET_DIR/documents" --timeout-s "${1:-15}"
}

fleet_begin() {
  local sheet=$1
  shift
  FLEET_DIR=$(mktemp -d)
  FLEET_PIDS=
  unset "${!PID_@}"
  fleet_pick_ip || return 1
  sed "s/127\.0\.0\.1/$FLEET_IP/g" "$sheet" >"$FLEET_DIR/sheet.csv"
  fleet_write_settings
  fleet_publish >&2 || return 1
  fleet_start platform "$BUILD/stand-in-platform" --listen "$FLEET_IP:8000" \
    --folder "$FLEET_DIR/documents"
  fleet_start fabric "$BUILD/stand-in-fabric" --listen "$FLEET_IP:6000" \
    --entries "$(fleet_entries)" "$@"
  fleet_start_all
  if ! fleet_wait >&2; then
    fleet_end
    return 1
  fi
}

fleet_call() {
  "$BUILD/lagoon-call" --to "$FLEET_IP:6000" --from "$FLEET_IP:1" "$@"
}

fleet_status() {
  "$BUILD/lagoon-sheet" status --documents "$FLEET_DIR/documents"
}

fleet_end() {
  local pid
  for pid in $FLEET_PIDS; do
    kill -KILL "$pid" 2>/dev/null
    wait "$pid" 2>/dev/null
  done
  FLEET_PIDS=
  [ -n "$FLEET_DIR" ] && rm -rf "$FLEET_DIR"
  return 0
}
