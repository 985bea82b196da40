#!/usr/bin/env bash
# The stand-ins are Python programs of this repository, which need no build; checks that they and the node are there.
set -euo pipefail
cd "$(dirname "$(realpath "$0")")/.."
python3 - tests/relay/fleet.py review/*.py review/[1-5]/*.py <<'PYTHON'
import ast
import sys
import tomllib  # noqa: F401
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        ast.parse(file.read(), path)
PYTHON
test -x target/bin/snipeweir-platform || { echo "build the node first, as deploy/system.toml says" >&2; exit 1; }
