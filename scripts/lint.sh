#!/usr/bin/env bash
# Runs clang-format and clang-tidy. Usage: scripts/lint.sh [file ...]; checks all sources if no file is given.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh >/dev/null
if [ $# -gt 0 ]; then
    files=("$@")
else
    mapfile -t files < <(git ls-files -co --exclude-standard -- '*.cpp' '*.h' '*.inl')
fi
clang-format --dry-run --Werror "${files[@]}"
mapfile -t sources < <(printf '%s\n' "${files[@]}" | grep '\.cpp$' || true)
[ ${#sources[@]} -eq 0 ] || printf '%s\n' "${sources[@]}" | xargs -P 8 -n 2 clang-tidy -p build --quiet
echo "lint clean: ${#files[@]} files"
