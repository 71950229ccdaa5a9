#!/bin/bash
# Builds the stand-ins and the player of the script cases of the third review, with the standard library only.
set -eu
cd "$(dirname "$0")/standin-3"
export GOFLAGS=-mod=mod GOWORK=off GOTOOLCHAIN=local
go build -buildvcs=false -o bin/review3 .
