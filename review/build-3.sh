#!/bin/sh
# Checks that the stand-ins of the cases 11 to 15 can start. They are Python programs and need no build.
set -e
cd "$(dirname "$0")/.."
for file in tests/relay/fleet.py review/harness3.py review/1[1-5]/case.py; do
    [ ! -f "$file" ] || python3 -B -c "import ast, sys; ast.parse(open(sys.argv[1], encoding='utf-8').read())" "$file"
done
