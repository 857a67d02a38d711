#!/usr/bin/env bash
# The stand-ins of the cases are Python programs, which need no build; checks
# that they can be read.
set -euo pipefail
cd "$(dirname "$0")"
for file in common/*.py [1-5]/*.py; do
    python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' \
        "$file"
done
