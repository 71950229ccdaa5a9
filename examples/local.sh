#!/usr/bin/env bash
# Starts every process of an example as a separate process on loopback, or stops all of them.
#   examples/local.sh start NAME STATE_DIR
#   examples/local.sh stop STATE_DIR
# STATE_DIR receives the binary, the files PROCESS.pid and PROCESS.log of each process, and the data directories.
# SISKINRILL_EXAMPLES names another directory of examples to use, for instance a copy with other ports.
set -euo pipefail

usage() {
  echo "usage: $0 start NAME STATE_DIR | $0 stop STATE_DIR" >&2
  exit 2
}

root=$(cd "$(dirname "$0")/.." && pwd)
examples=${SISKINRILL_EXAMPLES:-$root/examples}
ready_seconds=10
stop_seconds=20

# admin_address FILE: prints the address of the admin API in a settings file.
admin_address() {
  sed -n '/^\[admin\]/,/^\[/s/^listen *= *"\(.*\)".*/\1/p' "$1"
}

# runs_binary PID: succeeds if the process runs the binary of STATE_DIR, because the system may have reused the pid.
runs_binary() {
  [ "$(readlink "/proc/$1/exe" 2>/dev/null | sed 's/ (deleted)$//')" = "$state/siskinrill" ]
}

# list_running: prints the names of the processes of STATE_DIR that are running.
list_running() {
  local file pid
  for file in "$state"/*.pid; do
    [ -e "$file" ] || continue
    pid=$(cat "$file")
    if runs_binary "$pid"; then basename "$file" .pid; fi
  done
}

# start_process FILE: starts the process of a settings file named ROLE-NAME.toml.
start_process() {
  local name role
  name=$(basename "$1" .toml)
  role=${name%%-*}
  (
    cd "$state"
    nohup ./siskinrill "$role" --settings "$1" >"$state/$name.log" 2>&1 </dev/null &
    echo $! >"$state/$name.pid"
  )
}

# abort MESSAGE: stops all processes and exits with status 1.
abort() {
  echo "$1; the logs are in $state" >&2
  stop >&2 || true
  exit 1
}

start() {
  local settings="$examples/$1/settings" config="$examples/$1/config" file first
  [ -d "$settings" ] || { echo "no example $1" >&2; exit 1; }
  mkdir -p "$state"
  state=$(cd "$state" && pwd -P)
  [ -z "$(list_running)" ] || { echo "already running in $state: $(list_running | tr '\n' ' ')" >&2; exit 1; }
  rm -f "$state"/*.pid
  (cd "$root" && go build -o "$state/siskinrill" ./cmd/siskinrill)
  local controls=() agents=()
  for file in "$settings"/*.toml; do
    start_process "$file"
    case $(basename "$file") in
      control-*) controls+=("$(admin_address "$file")") ;;
      agent-*) agents+=("$(admin_address "$file")") ;;
    esac
  done
  first=${controls[0]}
  local all=("${controls[@]}" "${agents[@]}")
  "$state/siskinrill" ready "${all[@]}" --timeout "${ready_seconds}s" >/dev/null || abort "not ready"
  "$state/siskinrill" config apply "$config" --wait --admin "$first" >"$state/apply.log" 2>&1 || abort "the configuration was not applied"
  "$state/siskinrill" ready "${all[@]}" --owners --timeout "${ready_seconds}s" >/dev/null || abort "not ready"
  echo "ready processes=$(list_running | wc -l) listen=$(sed -n 's/^caller_listen *= *"\(.*\)".*/\1/p' "$settings"/agent-*.toml | head -1) admin=$first"
}

stop() {
  local file pid left
  for file in "$state"/*.pid; do
    [ -e "$file" ] || continue
    pid=$(cat "$file")
    if runs_binary "$pid"; then kill -TERM "$pid"; fi
  done
  for _ in $(seq $((stop_seconds * 20))); do
    [ -n "$(list_running)" ] || break
    sleep 0.05
  done
  left=$(list_running)
  if [ -n "$left" ]; then
    echo "still running after $stop_seconds s: $(echo "$left" | tr '\n' ' ')" >&2
    return 1
  fi
  rm -f "$state"/*.pid
}

case ${1:-} in
  start)
    [ $# -eq 3 ] || usage
    state=$3
    start "$2"
    ;;
  stop)
    [ $# -eq 2 ] && [ -d "$2" ] || usage
    state=$(cd "$2" && pwd -P)
    stop
    ;;
  *) usage ;;
esac
