#!/usr/bin/env bash
# Builds the stand-ins of the cases in review/11 to review/15.
set -euo pipefail
cd "$(dirname "$0")/kit-3"
go test -c -o ../../target/review-kit-3 .
