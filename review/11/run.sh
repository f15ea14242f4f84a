#!/usr/bin/env bash
# One lost answer to an opening packet, then a rolling restart. Exits with 1 if a flow broke,
# 0 if none did, 2 if the case could not run. TROUBLE=0 loses no packet; the restart stays.
set -u
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
[ -x target/burdock-relayd ] && [ -x target/review3 ] || { echo "build first: deploy file, review/build-3.sh"; exit 2; }
TROUBLE=${TROUBLE:-1} exec timeout -k 5 110 target/review3 -case late-label -record "$here/record.txt"
