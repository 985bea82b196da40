"""Measures the control plane of real node processes: idle at several sizes, and with load probes while calls run.

Writes JSON lines to docs/measured/real-nodes.json. Bytes are in and out together, with 28 bytes of IP and UDP header for
each datagram. CPU is that of the control thread and the receive thread, including system calls and MAC.
"""

import json
import pathlib
import subprocess
import sys
import time

from deployment import DEPLOYMENTS, PROGRAMS, PUBLIC_PORT, ROOT, Deployment

# A node and its backend server have about 800 threads together. 52 pairs did not become ready within 60 s on 10 cores.
SIZES = [13, 26]
IDLE_SECONDS = 10
LOAD_SECONDS = 10
CALLS_PER_S_AND_NODE = 63


def mean_metrics(deployment):
    """Returns the control plane's counters, as means over all nodes."""
    values = [vm.metrics() for vm in deployment.vms]
    return {key: sum(value[key] for value in values) / len(values) for key in
            ("snipeweir_control_bytes", "snipeweir_control_datagrams", "snipeweir_control_cpu_seconds",
             "snipeweir_load_probes_sent")}


def resident_bytes(vm):
    return int(pathlib.Path(f"/proc/{vm.node.pid}/statm").read_text().split()[1]) * 4096


def rates(deployment, action):
    """Returns the increase per second of each mean counter while the action runs."""
    before, started_at = mean_metrics(deployment), time.monotonic()
    action()
    after, elapsed = mean_metrics(deployment), time.monotonic() - started_at
    return {key: (after[key] - before[key]) / elapsed for key in before}


def measure(size):
    DEPLOYMENTS["real-nodes"] = {
        "region": "r1", "data_centres": ["dc-a", "dc-b", "dc-c"], "services": {"alpha": size}, "slots": 10,
        "configuration": "deployments/montevideo.json",
    }
    deployment = Deployment("real-nodes")
    lines = []
    try:
        deployment.start()
        if not deployment.wait_ready(60):
            raise RuntimeError(f"{size} nodes did not become ready within 60 s")
        time.sleep(5)
        idle = rates(deployment, lambda: time.sleep(IDLE_SECONDS))
        lines.append({"role": "node", "kind": "idle", "nodes": size,
                      "bytes_per_s": round(idle["snipeweir_control_bytes"], 1),
                      "messages_per_s": round(idle["snipeweir_control_datagrams"], 2),
                      "cpu_percent": round(100 * idle["snipeweir_control_cpu_seconds"], 3),
                      "memory_bytes": sum(resident_bytes(vm) for vm in deployment.vms) // size})
        if size == SIZES[0]:
            load = rates(deployment, lambda: subprocess.run([
                PROGRAMS / "snipeweir-load", "--nodes", ",".join(f"{vm.ip}:{PUBLIC_PORT}" for vm in deployment.vms),
                "--services", "alpha", "--lookups-only", "--seconds", str(LOAD_SECONDS), "--pairs", "0",
                "--rate", str(CALLS_PER_S_AND_NODE * size)], capture_output=True, check=True, timeout=90))
            probes = load["snipeweir_load_probes_sent"]
            probe_bytes = load["snipeweir_control_bytes"] - idle["snipeweir_control_bytes"]
            lines.append({"role": "node", "kind": "probing", "nodes": size, "probes_per_s": round(probes, 2),
                          "bytes_per_s": round(load["snipeweir_control_bytes"], 1),
                          "messages_per_s": round(load["snipeweir_control_datagrams"], 2),
                          "bytes_per_probe": round(probe_bytes / probes, 1) if probes > 0 else None,
                          "cpu_percent": round(100 * load["snipeweir_control_cpu_seconds"], 3)})
    finally:
        deployment.stop()
    return lines


def main():
    lines = []
    for size in SIZES:
        lines += measure(size)
        print("\n".join(json.dumps(line) for line in lines[-2:]), flush=True)
    (ROOT / "docs" / "measured" / "real-nodes.json").write_text("".join(json.dumps(line) + "\n" for line in lines))
    return 0


if __name__ == "__main__":
    sys.exit(main())
