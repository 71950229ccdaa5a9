#!/usr/bin/env bash
# Starts every process of an example separately on loopback, or stops them.
#   examples/local.sh start NAME STATE_DIR
#   examples/local.sh stop STATE_DIR
# STATE_DIR receives the binary, PROCESS.pid and PROCESS.log of each process, and the data directories.
# SISKINRILL_EXAMPLES names another directory of examples than the one of this script, with other ports for instance.
set -euo pipefail

usage() {
  echo "usage: $0 start NAME STATE_DIR | $0 stop STATE_DIR" >&2
  exit 2
}

root=$(cd "$(dirname "$0")/.." && pwd)
examples=${SISKINRILL_EXAMPLES:-$root/examples}
ready_seconds=10
stop_seconds=20

# admin FILE: prints the admin address of a settings file.
admin() {
  sed -n '/^\[admin\]/,/^\[/s/^listen *= *"\(.*\)".*/\1/p' "$1"
}

# ours PID: succeeds if the process runs the binary of STATE_DIR, because a pid may have been used again.
ours() {
  [ "$(readlink "/proc/$1/exe" 2>/dev/null | sed 's/ (deleted)$//')" = "$state/siskinrill" ]
}

running() {
  local file pid
  for file in "$state"/*.pid; do
    [ -e "$file" ] || continue
    pid=$(cat "$file")
    if ours "$pid"; then basename "$file" .pid; fi
  done
}

# launch FILE: starts the process of a settings file named ROLE-NAME.toml.
launch() {
  local name role
  name=$(basename "$1" .toml)
  role=${name%%-*}
  (
    cd "$state"
    nohup ./siskinrill "$role" --settings "$1" >"$state/$name.log" 2>&1 </dev/null &
    echo $! >"$state/$name.pid"
  )
}

fail() {
  echo "$1; the logs are in $state" >&2
  stop >&2 || true
  exit 1
}

start() {
  local settings="$examples/$1/settings" config="$examples/$1/config" file first
  [ -d "$settings" ] || { echo "no example $1" >&2; exit 1; }
  mkdir -p "$state"
  state=$(cd "$state" && pwd -P)
  [ -z "$(running)" ] || { echo "already running in $state: $(running | tr '\n' ' ')" >&2; exit 1; }
  rm -f "$state"/*.pid
  (cd "$root" && go build -o "$state/siskinrill" ./cmd/siskinrill)
  local controls=() agents=()
  for file in "$settings"/*.toml; do
    launch "$file"
    case $(basename "$file") in
      control-*) controls+=("$(admin "$file")") ;;
      agent-*) agents+=("$(admin "$file")") ;;
    esac
  done
  first=${controls[0]}
  local all=("${controls[@]}" "${agents[@]}")
  "$state/siskinrill" ready "${all[@]}" --timeout "${ready_seconds}s" >/dev/null || fail "not ready"
  "$state/siskinrill" config apply "$config" --wait --admin "$first" >"$state/apply.log" 2>&1 || fail "the configuration was not applied"
  "$state/siskinrill" ready "${all[@]}" --owners --timeout "${ready_seconds}s" >/dev/null || fail "not ready"
  echo "ready processes=$(running | wc -l) listen=$(sed -n 's/^caller_listen *= *"\(.*\)".*/\1/p' "$settings"/agent-*.toml | head -1) admin=$first"
}

stop() {
  local file pid left
  for file in "$state"/*.pid; do
    [ -e "$file" ] || continue
    pid=$(cat "$file")
    if ours "$pid"; then kill -TERM "$pid"; fi
  done
  for _ in $(seq $((stop_seconds * 20))); do
    [ -n "$(running)" ] || break
    sleep 0.05
  done
  left=$(running)
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
