#!/usr/bin/env bash
# Builds the stand-ins of all cases.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-standin ./review/standin
