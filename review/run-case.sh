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
python3 -B "$CASE/case.py"
code=$?
case $code in
0 | 1) exit $code ;;
*) exit 2 ;;
esac
