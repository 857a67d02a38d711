#!/usr/bin/env bash
# Builds what the scripts of review/6 to review/10 start besides the project's
# own programs, into target/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."

mkdir -p target/review-2
for source in review/{6,7,8,9,10}/*.cpp; do
    [ -f "$source" ] || continue
    name=$(basename "${source%.cpp}")
    g++ -std=c++20 -O1 -Wall -Wextra -pthread \
        review/support-2/lab.cpp "$source" -o "target/review-2/$name"
done
