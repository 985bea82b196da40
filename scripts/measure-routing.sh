#!/usr/bin/env bash
# Runs the routing measurement and replaces the tables below the marker line of docs/measurements-routing.md.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh RoutingMeasurement >/dev/null
page=docs/measurements-routing.md
marker='<!-- Tables written by scripts/measure-routing.sh -->'
tables=$(build/bin/RoutingMeasurement)
head=$(sed "\|^$marker\$|q" "$page")
printf '%s\n%s\n' "$head" "$tables" >"$page"
