#!/usr/bin/env bash
# Prints the slopes that docs/CAPACITY.md works from. Run scripts/build.sh
# first; takes under 4 minutes and stays on the loopback interface.
set -euo pipefail
cd "$(dirname "$0")/.."

readonly build="$PWD/build"
date -u '+%Y-%m-%d %H:%M UTC'
echo "$(nproc) cores, load $(cut -d' ' -f1-3 /proc/loadavg), at" \
    "$(git rev-parse --short HEAD)"
for bench in lookup spread state mesh control traffic; do
    echo
    echo "== capacity_${bench}_bench"
    case "$bench" in
    lookup | spread | state) timeout 60 "$build/bench/capacity_${bench}_bench" ;;
    *) timeout 120 "$build/bench/capacity_${bench}_bench" "$build" ;;
    esac
done
