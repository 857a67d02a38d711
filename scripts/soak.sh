#!/usr/bin/env bash
# Runs the fault soak: --seeds N plays seeds 1 to N, --minutes M plays fresh
# seeds for that time, --seconds S sets how long each one lasts.
set -euo pipefail
cd "$(dirname "$0")/.."

seeds=0
minutes=0
seconds=15
while [ $# -gt 0 ]; do
    case "$1" in
    --seeds) seeds=$2 ;;
    --minutes) minutes=$2 ;;
    --seconds) seconds=$2 ;;
    *)
        echo "usage: scripts/soak.sh [--seeds N] [--minutes M] [--seconds S]" >&2
        exit 2
        ;;
    esac
    shift 2
done

scripts/build.sh >/dev/null
failed=0
play() {
    if ! VERBENACOVE_SEED=$1 VERBENACOVE_SECONDS=$seconds \
        build/tests/platform_soak >build/soak-$1.log 2>&1; then
        echo "seed $1 failed: build/soak-$1.log"
        failed=1
        return
    fi
    grep '^seed ' "build/soak-$1.log"
    rm "build/soak-$1.log"
}
for ((seed = 1; seed <= seeds; ++seed)); do
    play "$seed"
done
deadline=$((SECONDS + minutes * 60))
while [ "$SECONDS" -lt "$deadline" ]; do
    play $((RANDOM * 32768 + RANDOM))
done
exit "$failed"
