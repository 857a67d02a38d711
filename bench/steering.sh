#!/usr/bin/env bash
# Builds and runs the steering benchmark: every scenario, all variants
# interleaved; each figure is the median of the repeats, [lowest-highest].
set -euo pipefail
cd "$(dirname "$0")/.."

scripts/build.sh >&2
repeats=5
first_seed=1
echo "Command: build/bench/steering_bench --repeats $repeats --seed $first_seed $*"
echo "Seeds: $first_seed to $((first_seed + repeats - 1)), the same for each variant"
build/bench/steering_bench --repeats "$repeats" --seed "$first_seed" "$@"
