#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/11 to review/15 start. Needs only Go; run it
# after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/standin-3"
GOFLAGS=-mod=mod GOWORK=off go build -o ../../target/review3 .
