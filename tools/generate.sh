#!/usr/bin/env bash
# Regenerates the Go code of the protocol. Needs protoc; the plugins are pinned in tools/go.mod.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
(cd tools && go build -o "$bin" connectrpc.com/connect/cmd/protoc-gen-connect-go google.golang.org/protobuf/cmd/protoc-gen-go)
PATH="$bin:$PATH" protoc -I rpc --go_out=rpc --go_opt=paths=source_relative \
  --connect-go_out=rpc --connect-go_opt=paths=source_relative rpc/magnoliausher/v1/magnoliausher.proto
