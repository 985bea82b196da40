"""Runs a whole deployment under load and faults and checks the promises made to callers and operators."""

import argparse
import json
import signal
import subprocess
import sys
import threading
import time

from deployment import BACKEND_PORT, DEPLOYMENTS, PROGRAMS, PUBLIC_PORT, Deployment, http_request, wait_for

OUT_OF_SERVICE_BOUND_S = 3.0
KILL_WINDOW_MS = 500


def log(text):
    print(text, file=sys.stderr, flush=True)


class Demo:
    def __init__(self, options):
        self.options = options
        self.deployment = Deployment(options.deployment)
        self.started_at = 0.0
        self.observations = {}
        self.broken_promises = []
        self.stop_progress = threading.Event()

    def vm(self, service_index, number):
        service = list(self.deployment.spec["services"])[service_index]
        return next(vm for vm in self.deployment.vms if vm.name == f"{service}-{number}")

    def sleep_until_share(self, share):
        """Sleeps until the given share (0 to 1) of the run time has passed."""
        time.sleep(max(0.0, self.started_at + share * self.options.seconds - time.monotonic()))

    def log_step(self, text):
        log(f"\n[{time.monotonic() - self.started_at:5.1f} s] {text}")

    def run_faults(self):
        deployment = self.deployment
        slow, cold, killed = self.vm(0, 1), self.vm(0, 2), self.vm(1, 1)
        leaving, data_centre = self.vm(0, 6), deployment.spec["data_centres"][1]

        self.sleep_until_share(0.08)
        self.log_step("the platform stand-in stops answering")
        deployment.set_platform_fault("dead")
        self.sleep_until_share(0.12)
        self.log_step(f"{slow.name} becomes ten times slower")
        slow.set_faults(slow_factor=10)
        self.sleep_until_share(0.25)
        self.log_step(f"{cold.name} turns cold without notice")
        cold.set_faults(cold=True)
        self.sleep_until_share(0.32)
        self.log_step(f"the node of {killed.name} is killed")
        killed.node.send_signal(signal.SIGKILL)
        killed.node.wait()
        self.observations["killed_vm"], self.observations["killed_ip"] = killed.name, killed.ip
        self.observations["killed_at_ms"] = time.time() * 1000
        self.sleep_until_share(0.36)
        self.log_step(f"the node of {killed.name} starts again; {slow.name} recovers; the platform answers again")
        deployment.start_node(killed)
        slow.set_faults(slow_factor=1)
        deployment.set_platform_fault("none")
        self.sleep_until_share(0.45)
        self.log_step(f"{leaving.name} leaves gracefully")
        leaving.node.send_signal(signal.SIGTERM)
        leave_thread = threading.Thread(target=self.watch_leave, args=(leaving,))
        leave_thread.start()
        self.sleep_until_share(0.60)
        self.log_step(f"data centre {data_centre} is taken out of service")
        revision = deployment.set_data_centre(data_centre, False, "Planned work on the power supply, change 4711.")
        self.observations["out_at_ms"] = time.time() * 1000
        self.observations["config_in_force_ms"] = deployment.wait_revision("configuration", revision, 10)
        self.sleep_until_share(0.80)
        self.log_step(f"data centre {data_centre} is brought back")
        self.observations["back_at_ms"] = time.time() * 1000
        revision = deployment.set_data_centre(data_centre, True, "Work on the power supply has ended.")
        self.observations["config_back_in_force_ms"] = deployment.wait_revision("configuration", revision, 10)
        leave_thread.join()

    def watch_leave(self, vm):
        vm.is_leaving = True
        self.deployment.publish_vms()
        try:
            self.observations["leave_exit"] = vm.node.wait(timeout=15)
        except subprocess.TimeoutExpired:
            self.observations["leave_exit"] = None

    def run_progress(self):
        """Prints the outcomes counted by the nodes once a second until the run ends."""
        while not self.stop_progress.wait(1.0):
            done = refused = unknown = 0
            for vm in self.deployment.vms_with_running_nodes():
                try:
                    values = vm.metrics()
                except (OSError, ValueError):
                    continue
                done += values.get('snipeweir_outcomes_total{outcome="done"}', 0)
                refused += values.get('snipeweir_outcomes_total{outcome="not_run"}', 0)
                unknown += values.get('snipeweir_outcomes_total{outcome="unknown"}', 0)
            print(f"\r[{time.monotonic() - self.started_at:5.1f} s] seen by nodes: done {done:.0f}, refused {refused:.0f}, "
                  f"unknown {unknown:.0f}   ", end="", file=sys.stderr, flush=True)

    def control_totals(self):
        totals = {}
        for vm in self.deployment.vms_with_running_nodes():
            values = vm.metrics()
            totals[vm.name] = {key: values.get(key, 0.0) for key in
                               ("snipeweir_control_bytes", "snipeweir_control_cpu_seconds", "snipeweir_load_probes_sent")}
            totals[vm.name]["pid"] = vm.node.pid
        return totals

    def run(self):
        deployment = self.deployment
        deployment.start()
        if not deployment.wait_ready():
            states = {vm.name: vm.node.poll() for vm in deployment.vms}
            raise RuntimeError(f"the nodes did not become ready within 20 s; exit states {states}")
        log(f"{len(deployment.vms)} nodes of {self.options.deployment} are ready.")
        before, self.started_at = self.control_totals(), time.monotonic()
        load = subprocess.Popen([
            PROGRAMS / "snipeweir-load", "--nodes", ",".join(f"{vm.ip}:{PUBLIC_PORT}" for vm in deployment.vms),
            "--backends", ",".join(f"{vm.ip}:{BACKEND_PORT}" for vm in deployment.vms),
            "--services", ",".join(deployment.spec["services"]), "--seconds", str(self.options.seconds),
            "--seed", str(self.options.seed), "--rate", str(self.options.rate)], stdout=subprocess.PIPE, text=True)
        progress = threading.Thread(target=self.run_progress)
        progress.start()
        try:
            self.run_faults()
            output = load.communicate(timeout=self.options.seconds + 90)[0]
        finally:
            self.stop_progress.set()
            progress.join()
            if load.poll() is None:
                load.kill()
        log("")
        after, elapsed = self.control_totals(), time.monotonic() - self.started_at
        result = json.loads(output)
        self.add_control_cost(result, before, after, elapsed)
        self.add_operator_outcomes(result)
        self.classify_cut_downloads(result)
        self.check_promises(result)
        return result

    def add_control_cost(self, result, before, after, elapsed):
        """Adds the cost of control traffic, measured on the nodes that did not restart, because a restart resets counters."""
        unrestarted = [name for name in after if name in before and after[name]["pid"] == before[name]["pid"]]

        def rate(key):
            return sum(after[n][key] - before[n][key] for n in unrestarted) / len(unrestarted) / elapsed

        result["control_bytes_per_s_per_node"] = round(rate("snipeweir_control_bytes"), 1)
        result["control_cpu_percent_per_node"] = round(rate("snipeweir_control_cpu_seconds") * 100, 3)
        probes = sum(after[n]["snipeweir_load_probes_sent"] - before[n]["snipeweir_load_probes_sent"]
                     for n in unrestarted)
        result["probe_share_percent"] = round(100.0 * probes / max(1, result["calls"]), 2)
        result["most_control_bytes_per_s"] = round(max(
            (after[n]["snipeweir_control_bytes"] - before[n]["snipeweir_control_bytes"]) / elapsed
            for n in unrestarted), 1)

    def add_operator_outcomes(self, result):
        data_centre = self.deployment.spec["data_centres"][1]
        first, last = self.observations["out_at_ms"] + OUT_OF_SERVICE_BOUND_S * 1000, self.observations["back_at_ms"]
        starts = 0
        for vm in self.deployment.vms:
            if vm.data_centre == data_centre:
                statistics = json.loads(http_request(vm.ip, BACKEND_PORT, "GET", "/control/stats", timeout=10)[1])
                starts += sum(1 for start in statistics["starts_ms"] if first <= start < last)
        result["calls_into_out_data_centre_after_3s"] = starts
        result["config_in_force_ms"] = self.observations["config_in_force_ms"]
        result["config_back_in_force_ms"] = self.observations["config_back_in_force_ms"]
        result["leave_exit_status"] = self.observations["leave_exit"]
        result["platform"] = json.loads(http_request(self.deployment.platform_ip, 7300, "GET", "/control/stats")[1])

    def classify_cut_downloads(self, result):
        """Counts cut downloads separately by cause.

        Downloads through the killed node are expected to be cut: their callers see an error and repeat them. All others
        break a promise.
        """
        def is_caused_by_kill(cut):
            is_on_path = self.observations["killed_ip"] in (cut["node"].split(":")[0], cut["served_by"].split(":")[0])
            return is_on_path and abs(cut["at_ms"] - self.observations["killed_at_ms"]) < KILL_WINDOW_MS

        cuts = result.pop("cut_download_list")
        result["downloads_cut_by_killed_node"] = sum(1 for cut in cuts if is_caused_by_kill(cut))
        result["cut_downloads"] = len(cuts) - result["downloads_cut_by_killed_node"]
        result["cut_download_causes"] = [cut for cut in cuts if not is_caused_by_kill(cut)]

    def check_promises(self, result):
        for key, promise in {
            "double_runs": "a keyed request ran twice",
            "acknowledged_but_not_run": "a request was acknowledged and not run",
            "refused_but_run": "a request was refused as not run and ran",
            "wrong_or_partial_answers": "a caller received a wrong or partial answer",
            "cut_downloads": "a download was cut off",
            "calls_into_out_data_centre_after_3s": "a data centre that is out received new work after 3 s",
            "starts_over_slots": "a backend server received more than its slots",
        }.items():
            if result[key] != 0:
                self.broken_promises.append(f"{promise} ({key} = {result[key]})")
        if result["config_in_force_ms"] is None or result["config_in_force_ms"] > 3000:
            self.broken_promises.append(f"a configuration was not in force within 3 s ({result['config_in_force_ms']} ms)")
        if result["leave_exit_status"] != 0:
            self.broken_promises.append(f"the planned stop ended with status {result['leave_exit_status']}")
        if result["backends_not_read"]:
            self.broken_promises.append(f"backend servers could not be asked what they ran: {result['backends_not_read']}")
        if result["calls"] == 0 or result["ok"] == 0:
            self.broken_promises.append("no call succeeded")
        result["broken_promises"] = self.broken_promises


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=int, default=20)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--rate", type=float, default=300)
    parser.add_argument("--deployment", choices=sorted(DEPLOYMENTS), default="montevideo")
    demo = Demo(parser.parse_args())
    try:
        result = demo.run()
    finally:
        demo.deployment.stop()
    log("")
    for key, value in result.items():
        if isinstance(value, (int, float)) or value is None:
            log(f"  {key:<42}{value if not isinstance(value, float) else round(value, 3)}")
    for line in demo.broken_promises:
        log(f"broken: {line}")
    print(json.dumps(result))
    return 1 if demo.broken_promises else 0


if __name__ == "__main__":
    sys.exit(main())
