#!/usr/bin/env bash
# Builds the stand-ins of cases 11 to 15 into target/review-3/, with the
# compiler that the build of the deploy file needs.
set -euo pipefail
cd "$(dirname "$0")/.."

mkdir -p target/review-3
for source in review/support-3/*_case.cpp; do
    name=$(basename "$source" _case.cpp)
    g++ -std=c++20 -O1 -pthread -o "target/review-3/$name" \
        "$source" review/support-3/harness.cpp
done
