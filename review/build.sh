#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into target/. It needs no network. The folder of
# their sources is named as the module that may use names of the platform's protocol.
set -euo pipefail
cd "$(dirname "$0")/1/platform"
mkdir -p ../../../target
GOWORK=off GOFLAGS= go build -o ../../../target/review-standin .
