#!/usr/bin/env bash
# Runs the case of a folder: 1 if the rule was broken, 0 if it held, 2 if the
# case could not run.
set -u
CASE="$(cd "$1" && pwd)"
export CASE
if ! command -v python3 >/dev/null; then
    echo "cannot run: there is no python3"
    exit 2
fi
# A signal goes on to the case, which ends all processes that it started.
python3 -B "$CASE/case.py" &
case_process=$!
trap 'kill -TERM "$case_process"' TERM INT
wait "$case_process"
code=$?
if kill -0 "$case_process" 2>/dev/null; then
    wait "$case_process"
    code=2
fi
case $code in
0 | 1) exit $code ;;
*) exit 2 ;;
esac
