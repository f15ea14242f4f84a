#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2. Needs only Go, no network.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
CGO_ENABLED=0 GOPROXY=off GOFLAGS=-mod=mod go build -o ../../target/review-2/rig .
