#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start, into target/. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
GOFLAGS= GOPROXY=off GOTOOLCHAIN=local go build -C review/standin -trimpath -buildvcs=false -o ../../target/review-standin .
