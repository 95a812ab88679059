#!/usr/bin/env bash
# Builds the program of the scripted cases, which has all stand-ins in it. The build of the deploy
# file comes before it.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -o target/review-2/bed ./review/bed
