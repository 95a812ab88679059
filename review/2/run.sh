#!/usr/bin/env bash
# Plays the case; review/build.sh and the build of the deploy file come first. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/pollencroft ] || [ ! -x target/review-standin ]; then
	echo "run the build of deploy/system.toml and review/build.sh first" >&2
	exit 2
fi
exec target/review-standin refused target/pollencroft review/2/record.txt
