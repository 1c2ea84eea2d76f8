#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/11 to review/15 start. It needs nothing
# but the Go toolchain. The system's own program is built by the deploy file's command.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
mkdir -p "$root/target"
cd "$root/review/11/platform"
GOWORK=off GOFLAGS=-mod=mod go build -o "$root/target/review-stand3" .
