#!/usr/bin/env bash
# Regenerates the committed protobuf and Twirp code. Needs protoc, protoc-gen-go
# v1.36.12 and protoc-gen-twirp v8.1.3. The build does not need them.
set -euo pipefail
cd "$(dirname "$0")"
module=burdockrelay.example/burdockrelay
# protoc-gen-twirp generates one Go package per run.
for file in entry.proto peer.proto admin.proto sync.proto; do
  protoc -I . --go_out=.. --go_opt="module=$module" \
    --twirp_out=.. --twirp_opt="module=$module" "$file"
done
