#!/usr/bin/env bash
# Plays the case on real processes. 1: the rule was broken, 0: it held, 2: the case could not run.
# TROUBLE=0 leaves the disruption out. Build first: the build of the deploy file, then review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/release/standin2 ] && [ -x target/release/hub ] && [ -x target/release/spoke ] || exit 2
target/review-2/release/standin2 evacuated "$PWD" "$PWD/review/8/record.txt" &
standin=$!
# Stopped from outside, it still ends what it started.
trap 'pkill -KILL -P "$standin"; kill -KILL "$standin"; rm -rf "${TMPDIR:-/tmp}/portspoke-review-$standin"; exit 2' TERM INT HUP
wait "$standin"
