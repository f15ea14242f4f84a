#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start. The deploy file's build builds
# the program under review.
set -euo pipefail
cd "$(dirname "$0")/standin"
go build -o ../../target/review-standin .
