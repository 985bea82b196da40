#!/usr/bin/env bash
# Installs the needed packages, builds, and runs a deployment on loopback addresses under load and faults.
# Usage: scripts/demo.sh [--seconds N] [--seed S] [--deployment montevideo|dar-es-salaam]
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install.sh >&2
scripts/build.sh >/dev/null
exec python3 scripts/demo.py "$@"
