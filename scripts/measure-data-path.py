"""Measures the added latency and the CPU and memory cost of the two nodes on a call's path, at several call rates.

All calls enter at the node of one VM (sender) and run at the backend server of another (receiver). Latency is measured
with pairs of the same lookup, one through the nodes and one directly to the backend server. Writes JSON lines to
docs/measured/data-path.json.
"""

import json
import os
import pathlib
import subprocess
import sys
import time

from deployment import BACKEND_PORT, DEPLOYMENTS, PROGRAMS, PUBLIC_PORT, ROOT, Deployment

RATES = [63, 210, 630]
SECONDS = 15
ADDED_P99_BUDGET_MS = 1.9

DEPLOYMENTS["data-path"] = {
    "region": "r1", "data_centres": ["dc-a"], "services": {"alpha": 1, "beta": 1}, "slots": 10,
    "configuration": "deployments/montevideo.json",
}


def cpu_seconds(pid):
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(") ", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def resident_bytes(pid):
    return int(pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE")


def measure(deployment, rate):
    sender, receiver = deployment.vms
    before = {vm.name: (cpu_seconds(vm.node.pid), vm.metrics()["snipeweir_control_cpu_seconds"]) for vm in deployment.vms}
    started_at = time.monotonic()
    output = subprocess.run([
        PROGRAMS / "snipeweir-load", "--nodes", f"{sender.ip}:{PUBLIC_PORT}", "--services", "beta", "--lookups-only",
        "--seconds", str(SECONDS), "--rate", str(rate), "--pairs", "40", "--threads", "16"],
        capture_output=True, text=True, check=True, timeout=SECONDS + 60).stdout
    elapsed = time.monotonic() - started_at
    result = json.loads(output)
    lines = []
    for role, vm in (("sender", sender), ("receiver", receiver)):
        total_cpu, control_cpu = before[vm.name]
        data_path_cpu = (cpu_seconds(vm.node.pid) - total_cpu
                         - (vm.metrics()["snipeweir_control_cpu_seconds"] - control_cpu))
        lines.append({
            "role": role, "nodes": 2, "calls_per_s": round((result["calls"] + 40 * SECONDS) / elapsed, 1),
            "cpu_percent": round(100 * data_path_cpu / elapsed, 3), "memory_bytes": resident_bytes(vm.node.pid)})
    latencies = {key: round(result[key], 3) for key in ("added_p99_ms", "pair_via_p50_ms", "pair_direct_p50_ms",
                                                        "pair_via_p99_ms", "pair_direct_p99_ms")}
    lines.append({"role": "latency", "offered_calls_per_s": rate, "pairs": result["pairs"], "ok": result["ok"],
                  "calls": result["calls"], **latencies})
    return lines


def main():
    deployment = Deployment("data-path")
    lines = []
    try:
        deployment.start()
        if not deployment.wait_ready():
            raise RuntimeError("the nodes did not become ready")
        for rate in RATES:
            lines += measure(deployment, rate)
            print(json.dumps(lines[-1]), flush=True)
    finally:
        deployment.stop()
    (ROOT / "docs" / "measured" / "data-path.json").write_text("".join(json.dumps(line) + "\n" for line in lines))
    missed = [line for line in lines if line["role"] == "latency" and line["added_p99_ms"] > ADDED_P99_BUDGET_MS]
    for line in missed:
        print(f"missed: {line['added_p99_ms']} ms added at p99 at {line['offered_calls_per_s']} calls/s, target {ADDED_P99_BUDGET_MS} ms")
    return 0


if __name__ == "__main__":
    sys.exit(main())
