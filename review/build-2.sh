#!/usr/bin/env bash
# The scripts of the second review start only Python stand-ins (review/standins2.py, which builds on tests/relay/fleet.py)
# beside the program of the deploy file, so nothing has to be compiled. This checks that all of it is there.
set -euo pipefail
cd "$(dirname "$0")/.."
command -v python3 >/dev/null
python3 -c 'import sys; sys.exit(sys.version_info < (3, 9))'
test -f tests/relay/fleet.py
test -x target/bin/snipeweir-platform
echo "stand-ins need no build"
