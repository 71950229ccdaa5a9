#!/bin/sh
# Builds the stand-ins of the second review into target/review-2.
set -eu
cd "$(dirname "$0")/standin-2"
GOWORK=off go build -trimpath -o ../../target/review-2/standin .
