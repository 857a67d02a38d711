#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
set -uo pipefail
cd "$(dirname "$0")/../.."

folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout --signal=TERM --kill-after=2 115 \
    target/review-2/stalled_log_reader "$folder" review/7/record.txt &
case_process=$!
# The processes that the case has started end with it.
trap 'kill -TERM "$case_process"' TERM INT
wait "$case_process"
code=$?
[ "$code" -le 2 ] && exit "$code"
exit 2
