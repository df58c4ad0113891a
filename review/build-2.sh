#!/usr/bin/env bash
# Builds the stand-ins and callers of the cases 6 to 10, a test binary that needs the
# standard library only. The gateway itself is built by the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/kit-2"
mkdir -p ../../target
GOFLAGS=-mod=mod GOWORK=off go test -c -o ../../target/review-2 .
