#!/usr/bin/env bash
# Builds the stand-ins of the cases in review/11 to review/15. The gateway itself is built by
# the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/kit-3"
mkdir -p ../../target
GOWORK=off go test -c -o ../../target/review-kit-3 .
cd twice
GOWORK=off go test -c -o ../../../target/review-kit-3-twice .
