#!/usr/bin/env bash
# Plays the regression runs on the users' bench; see scripts/regression.py for the options and the exit codes.
set -euo pipefail
cd "$(dirname "$0")/.."
exec python3 scripts/regression.py "$@"
