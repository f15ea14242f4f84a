#!/usr/bin/env bash
# Refuses tracked files that name an absolute path of the build machine.
set -euo pipefail
cd "$(dirname "$0")/.."
if git grep -nE '(^|[^a-zA-Z0-9._-])/(work|root|home)/' -- . ':!scripts/check-tree.sh'; then
  echo "tracked files name a path of the build machine" >&2
  exit 1
fi
