#!/usr/bin/env bash
# Builds the stand-ins of the cases review/6 to review/10 into target/, beside the gateway.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
CGO_ENABLED=1 go build -trimpath -ldflags=-linkmode=external -o target/stand2 ./review/_stand2
