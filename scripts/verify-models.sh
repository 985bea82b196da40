#!/usr/bin/env bash
# Verifies models/at_most_once.pml with spin. There must be no violation with all rules, and at least one with each rule
# disabled.
set -euo pipefail
source=$(cd "$(dirname "$0")/.." && pwd)/models/at_most_once.pml
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
cd "$work"

# verify NAME [MACRO]: prints the number of errors that the verifier found. NAME is the working folder; MACRO disables a
# rule.
verify() {
    mkdir "$1"
    (
        cd "$1"
        spin ${2:+-D"$2"} -a "$source" >spin.log
        gcc -O1 -DSAFETY -DCOLLAPSE -DMEMLIM=4096 -o pan pan.c 2>gcc.log
        ./pan -m200000 -E >pan.log 2>&1 || true
        # With all rules, the search must be complete: an incomplete search without errors proves nothing.
        if grep -qi "max search depth too small\|out of memory\|search not completed" pan.log && [ $# -eq 1 ]; then
            cat pan.log >&2
            exit 1
        fi
        sed -n 's/.*errors: \([0-9]*\).*/\1/p' pan.log
        sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1 states/p' pan.log >&2
    )
}

errors=$(verify all)
echo "all rules: $errors errors"
[ "$errors" = 0 ]
for macro in NO_INCARNATION_CHECK NO_LEDGER_ENTRY NO_SEAL RETURN_PROPOSED_SUCCESSOR \
    UNREACHABLE_SUCCESSOR_IS_NOT_RUN GIVE_UP_IS_NOT_RUN UNREACHABLE_REPEAT_IS_NOT_RUN OVERLAPPING_SENDS; do
    errors=$(verify "$macro" "$macro")
    echo "$macro: $errors errors"
    [ "${errors:-0}" -ge 1 ]
done
