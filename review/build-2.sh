#!/bin/sh
# Builds the stand-in of the second review into target/review-2. It uses the standard library only and needs no network.
set -eu
cd "$(dirname "$0")/standin-2"
GOFLAGS= GOWORK=off GOPROXY=off GOTOOLCHAIN=local go build -trimpath -buildvcs=false -o ../../target/review-2/standin .
