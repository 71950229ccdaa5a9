#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
set -uo pipefail
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
test -x target/siskinrill && test -x target/review-standin || { echo "build the deploy file and run review/build.sh first" >&2; exit 2; }
exec target/review-standin -case leaving-cut -record "$here/record.txt"
