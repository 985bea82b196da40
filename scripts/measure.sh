#!/usr/bin/env bash
# Runs all measurements one after the other and updates docs/measurements*.md, docs/measured/ and docs/CAPACITY.md.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install.sh
scripts/build.sh
scripts/measure-routing.sh
scripts/measure-admission.sh
scripts/measure-membership.sh
scripts/measure-distribution.sh
python3 scripts/measure-data-path.py
python3 scripts/measure-real-nodes.py
python3 scripts/capacity.py --write
