#!/usr/bin/env bash
# Fails if a tracked file contains an absolute path of the build machine, or if names
# of the users' platform are used outside platform/, tests and stand-ins.
set -euo pipefail
cd "$(dirname "$0")/.."
if git grep -nE '(^|[^a-zA-Z0-9._-])/(work|root|home)/' -- . ':!scripts/check-tree.sh'; then
  echo "tracked files contain a path of the build machine" >&2
  exit 1
fi
names='warmup_left_ms|max_concurrency|heartbeat_ms|latency_goal_ms|path_prefix|health_path|max_conns'
names+='|store_revision|has_more|wait_ms|allow_stale|datagram_addr|control_plane|internal_ports'
names+='|machine_class|node_name|config_apply_ms|BURDOCKRELAY_BOOT|Instance-Id|/objects/'
if git grep -nE "$names" -- '*.go' '*.proto' ':!platform' ':!*_test.go' ':!standins' ':!proto/*/*.pb.go'; then
  echo "names of the users' platform are used outside platform/" >&2
  exit 1
fi
