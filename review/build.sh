#!/usr/bin/env bash
# Builds the stand-ins and checks of the review's scripts into target/review/.
# Run it after the build line of deploy/system.toml. It needs no network: the module has no dependency.
set -euo pipefail
cd "$(dirname "$0")/standin"
CGO_ENABLED=0 GOFLAGS= go build -trimpath -buildvcs=false -o ../../target/review/standin .
