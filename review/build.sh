#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/ start.
set -euo pipefail
cd "$(dirname "$0")/standin"
GOFLAGS=-mod=mod GOWORK=off go test -c -o ../../target/review-standin .
