#!/usr/bin/env bash
# Measures the rangsudhar example, run as separate processes: examples/measure.sh STATE_DIR OUT_DIR
# Writes these files to OUT_DIR:
#   latency.json  one entry agent at 3,600 requests/s, beside direct requests
#   shift.json    the hottest keys change; with two plots
#   slow.json     one upstream is 20 times slower
#   plain.json    the same load with no upstream slowed
set -euo pipefail
[ $# -eq 2 ] || { echo "usage: $0 STATE_DIR OUT_DIR" >&2; exit 2; }
root=$(cd "$(dirname "$0")/.." && pwd)
mkdir -p "$1" "$2"
state=$(cd "$1" && pwd -P)
out=$(cd "$2" && pwd -P)
settings="$root/examples/rangsudhar/settings"

# address NAME KEY: prints the value of KEY in the settings file NAME.toml.
address() { sed -n "s/^$2 *= *\"\(.*\)\"/\1/p" "$settings/$1.toml" | head -1; }

# standin_flags SERVICE FLAG: prints FLAG URL for each stand-in of a service, or of all services if SERVICE is empty.
standin_flags() {
  local file
  for file in "$settings"/standin-"$1"*.toml; do
    printf -- '%s http://%s ' "$2" "$(address "$(basename "$file" .toml)" listen)"
  done
}

"$root/examples/local.sh" start rangsudhar "$state"
trap '"$root/examples/local.sh" stop "$state"' EXIT
run_load() { "$state/siskinrill" load --mix rangsudhar "$@"; }

# shellcheck disable=SC2046
run_load --target "http://$(address agent-checkout-1 caller_listen)" $(standin_flags "" --standin) $(standin_flags shadefinder --direct-target) \
  --only idempotent --rate 4000 --direct 0.1 --duration 20s --output "$out/latency.json"
run_load --settings "$settings" --rate 1000 --duration 90s --shift 30s \
  --output "$out/shift.json" --plot-latency "$out/shift-latency.svg" --plot-unavailable "$out/shift-unavailable.svg"
run_load --settings "$settings" --only idempotent --rate 400 --duration 15s --output "$out/plain.json"
slow="http://$(address standin-shadefinder-1 listen)/standin/faults"
curl -fsS -X PUT -d '{"slow_factor":20}' "$slow" >/dev/null
run_load --settings "$settings" --only idempotent --rate 400 --duration 15s --output "$out/slow.json" || true
curl -fsS -X PUT -d '{}' "$slow" >/dev/null
