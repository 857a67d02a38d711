#!/usr/bin/env bash
# Builds into build/ (or, with --sanitize, build-sanitize/).
set -euo pipefail
cd "$(dirname "$0")/.."

folder=build
sanitize=OFF
if [ "${1:-}" = --sanitize ]; then
    folder=build-sanitize
    sanitize=ON
fi
export CCACHE_BASEDIR="$PWD" CCACHE_NOHASHDIR=1
cmake -S . -B "$folder" -G Ninja -DVERBENACOVE_SANITIZE="$sanitize" >/dev/null
cmake --build "$folder"
