#!/usr/bin/env bash
# Measures admission control and the key ledger and writes docs/measurements-admission.md. Fails if a target is missed.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh AdmissionMeasurement >/dev/null
page=docs/measurements-admission.md
status=0
figures=$(build/bin/AdmissionMeasurement) || status=$?
{
    cat <<'PAGE'
# Measurements: admission and idempotency keys

Written by `scripts/measure-admission.sh`; the program is `performance/AdmissionMeasurement.cpp`. Figures are as measured.

## Method

A discrete-event model of one backend server drives the real `AdmissionController` in virtual time. Calls arrive at random
(Poisson) with a deadline of 2 s. Service times are exponential with a mean of 5 ms, so capacity is slots / 5 ms. The queue
has 10 places and a timeout of 50 ms; a timer expires it every 5 ms. The seed is fixed; the last column is a hash of all
decisions and is the same in each run.

The cold server starts with a capacity of one call at a time and five times the service time. Both improve with each call
that it completes; it is warm after 1,000. A call that starts beyond the present capacity fails and warms nothing. With a
limit that always equals the capacity, the model needs 4.7 s until it is warm (integrated from its equations). The baseline
is a fixed limit of 10 with the same queue; for it, "until full limit" is the time until the server is warm.

Targets: goodput of at least 95% of the reachable capacity at twice the capacity, refusals within 5 ms at the 99th
percentile, never more calls than slots. Reachable is the whole capacity, less the reserved slots for which there are no
internal calls: those stay free by design.

The ledger's times are wall clock times on the measuring machine; its bytes are what the allocator counts.

PAGE
    echo "$figures"
    echo
    [ "$status" -eq 0 ] && echo "All targets were met in this run." || echo "A target was missed in this run."
} >"$page"
echo "written: $page"
exit "$status"
