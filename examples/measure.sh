#!/usr/bin/env bash
# Measures an example as separate processes: examples/measure.sh STATE_DIR OUT_DIR
# Writes latency.json (one entry agent at 3,600 requests/s beside direct requests), shift.json with two plots
# (the hottest keys change), slow.json (one upstream 20 times slower) and plain.json (the same without) to OUT_DIR.
set -euo pipefail
[ $# -eq 2 ] || { echo "usage: $0 STATE_DIR OUT_DIR" >&2; exit 2; }
root=$(cd "$(dirname "$0")/.." && pwd)
mkdir -p "$1" "$2"
state=$(cd "$1" && pwd -P)
out=$(cd "$2" && pwd -P)
settings="$root/examples/rangsudhar/settings"

# listen NAME KEY: prints an address from a settings file.
listen() { sed -n "s/^$2 *= *\"\(.*\)\"/\1/p" "$settings/$1.toml" | head -1; }

# standins SERVICE FLAG: prints FLAG URL for each stand-in of a service.
standins() {
  local file
  for file in "$settings"/standin-"$1"*.toml; do
    printf -- '%s http://%s ' "$2" "$(listen "$(basename "$file" .toml)" listen)"
  done
}

"$root/examples/local.sh" start rangsudhar "$state"
trap '"$root/examples/local.sh" stop "$state"' EXIT
load() { "$state/siskinrill" load --mix rangsudhar "$@"; }

# shellcheck disable=SC2046
load --target "http://$(listen agent-checkout-1 caller_listen)" $(standins "" --standin) $(standins shadefinder --direct-target) \
  --only idempotent --rate 4000 --direct 0.1 --duration 20s --output "$out/latency.json"
load --settings "$settings" --rate 1000 --duration 90s --shift 30s \
  --output "$out/shift.json" --plot-latency "$out/shift-latency.svg" --plot-unavailable "$out/shift-unavailable.svg"
load --settings "$settings" --only idempotent --rate 400 --duration 15s --output "$out/plain.json"
slow="http://$(listen standin-shadefinder-1 listen)/standin/faults"
curl -fsS -X PUT -d '{"slow_factor":20}' "$slow" >/dev/null
load --settings "$settings" --only idempotent --rate 400 --duration 15s --output "$out/slow.json" || true
curl -fsS -X PUT -d '{}' "$slow" >/dev/null
