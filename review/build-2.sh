#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts into target/. It needs no network:
# the module has no dependencies. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
GOWORK=off GOFLAGS=-mod=mod GOTOOLCHAIN=local go -C review/6/platform build -buildvcs=false -o ../../../target/standin2 .
