"""Starts a deployment of nodes, backend servers and a platform stand-in on loopback addresses."""

import http.client
import json
import os
import pathlib
import signal
import subprocess
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
PROGRAMS = ROOT / "build" / "bin"
PUBLIC_PORT, INTERNAL_PORT, CONTROL_PORT, BACKEND_PORT, PLATFORM_PORT = 7400, 7401, 7402, 7410, 7300
SECRET = "6d5f0a3c4b1e9f8877665544332211000f1e2d3c4b5a69788796a5b4c3d2e1f0"

DEPLOYMENTS = {
    "montevideo": {
        "region": "montevideo",
        "data_centres": ["mvd-a", "mvd-b", "mvd-c"],
        "services": {"fichas": 6, "informes": 4, "depositos": 3},
        "slots": 10,
        "configuration": "deployments/montevideo.json",
    },
    "dar-es-salaam": {
        "region": "dar-es-salaam",
        "data_centres": ["dar-kariakoo", "dar-ubungo", "dar-kigamboni"],
        "services": {"hakiki": 6, "toa-namba": 4, "nyaraka": 3},
        "slots": 20,
        "configuration": "deployments/dar-es-salaam.json",
    },
}


def http_request(ip, port, method, path, body=None, timeout=5.0):
    """Sends one HTTP request and returns status and body. Raises OSError if there is no valid answer in time."""
    connection = http.client.HTTPConnection(ip, port, timeout=timeout)
    try:
        connection.request(method, path, body=body)
        response = connection.getresponse()
        return response.status, response.read().decode()
    except http.client.HTTPException as error:
        raise OSError(str(error)) from error
    finally:
        connection.close()


class Vm:
    """One VM: a backend server and its node, on their own loopback address."""

    def __init__(self, name, data_centre, region, service, ip):
        self.name, self.data_centre, self.region, self.service, self.ip = name, data_centre, region, service, ip
        self.node = None
        self.backend = None
        self.is_leaving = False

    def vm_list_entry(self):
        """Returns the VM's entry in the VM list document."""
        return {
            "vm": self.name, "data_centre": self.data_centre, "region": self.region, "service": self.service,
            "address": self.ip, "public_port": PUBLIC_PORT, "internal_port": INTERNAL_PORT,
            "control_port": CONTROL_PORT, "state": "leaving" if self.is_leaving else "live",
        }

    def status(self):
        return json.loads(http_request(self.ip, PUBLIC_PORT, "GET", "/admin/status", timeout=2.0)[1])

    def metrics(self):
        """Returns the node's metrics as numbers by name, labels included."""
        values = {}
        for line in http_request(self.ip, PUBLIC_PORT, "GET", "/metrics", timeout=2.0)[1].splitlines():
            if line and not line.startswith("#"):
                name, _, value = line.rpartition(" ")
                values[name] = float(value)
        return values

    def set_faults(self, **faults):
        """Sets fault switches of the backend server; the others keep their values."""
        http_request(self.ip, BACKEND_PORT, "POST", "/control/faults", json.dumps(faults))


class Deployment:
    """All processes of a deployment. Ends only processes that it started.

    The octet is the second octet of all loopback addresses; it keeps concurrent deployments apart.
    """

    def __init__(self, name, octet=None, log_level="warn"):
        self.spec = DEPLOYMENTS[name]
        self.octet = octet or 20 + os.getpid() % 200
        self.log_level = log_level
        self.folder = tempfile.TemporaryDirectory(prefix="snipeweir-")
        self.platform_ip = f"127.{self.octet}.0.1"
        self.platform = None
        self.vms = []
        self.revisions = {"configuration": 0, "vms": 0}
        self.configuration = json.loads((ROOT / self.spec["configuration"]).read_text())
        for number, (service, count) in enumerate(self.spec["services"].items(), start=1):
            for i in range(count):
                data_centre = self.spec["data_centres"][i % len(self.spec["data_centres"])]
                ip = f"127.{self.octet}.{number}.{i + 1}"
                self.vms.append(Vm(f"{service}-{i + 1}", data_centre, self.spec["region"], service, ip))

    def start(self):
        self.start_platform()
        self.publish_vms()
        self.publish_configuration()
        for vm in self.vms:
            self.start_backend(vm)
            self.start_node(vm)

    def spawn(self, name, arguments):
        log = open(pathlib.Path(self.folder.name) / f"{name}.log", "ab")
        return subprocess.Popen(arguments, stdout=log, stderr=log, stdin=subprocess.DEVNULL)

    def start_platform(self):
        self.platform = self.spawn("platform", [PROGRAMS / "standin-platform", "--listen", f"{self.platform_ip}:{PLATFORM_PORT}"])
        wait_for(lambda: http_request(self.platform_ip, PLATFORM_PORT, "GET", "/control/stats")[0] == 200, 5)

    def start_backend(self, vm):
        vm.backend = self.spawn(f"{vm.name}-backend", [
            PROGRAMS / "standin-backend", "--listen", f"{vm.ip}:{BACKEND_PORT}", "--node", f"{vm.ip}:{PUBLIC_PORT}",
            "--slots", str(self.spec["slots"])])

    def start_node(self, vm):
        seeds = [f"{other.ip}:{CONTROL_PORT}" for other in self.vms if other is not vm][:3]
        settings = {
            "vm": vm.name, "data_centre": vm.data_centre, "region": vm.region, "service": vm.service,
            "address": vm.ip, "public_port": PUBLIC_PORT, "internal_port": INTERNAL_PORT,
            "control_port": CONTROL_PORT, "backend_port": BACKEND_PORT,
            "platform": [f"{self.platform_ip}:{PLATFORM_PORT}"], "seeds": seeds,
            "control_keys": [{"id": 1, "secret_hex": SECRET}], "log_level": self.log_level,
            "called_services": list(self.spec["services"]),
        }
        path = pathlib.Path(self.folder.name) / f"{vm.name}.json"
        path.write_text(json.dumps(settings))
        vm.node = self.spawn(f"{vm.name}-node", [PROGRAMS / "snipeweird", "--settings", path])

    def publish(self, document, value):
        """Publishes the document on the platform stand-in with the next revision. Returns the revision."""
        self.revisions[document] += 1
        value["revision"] = self.revisions[document]
        status, text = http_request(self.platform_ip, PLATFORM_PORT, "PUT", f"/control/documents/{document}",
                                    json.dumps(value))
        if status != 204:
            raise RuntimeError(f"the platform stand-in refused {document}: {status} {text}")
        return self.revisions[document]

    def publish_configuration(self):
        return self.publish("configuration", self.configuration)

    def publish_vms(self):
        return self.publish("vms", {"vms": [vm.vm_list_entry() for vm in self.vms]})

    def set_data_centre(self, name, in_service, reason):
        self.configuration.setdefault("data_centres", {})[name] = {"in_service": in_service, "reason": reason}
        return self.publish_configuration()

    def set_platform_fault(self, mode):
        http_request(self.platform_ip, PLATFORM_PORT, "POST", "/control/fault", json.dumps({"mode": mode}))

    def vms_with_running_nodes(self):
        return [vm for vm in self.vms if vm.node and vm.node.poll() is None]

    def wait_ready(self, seconds=20):
        """Waits until all nodes have a fresh view. Returns whether they had one within the time."""
        return wait_for(lambda: all(vm.status()["is_view_fresh"] for vm in self.vms), seconds)

    def wait_revision(self, document, revision, seconds):
        """Returns the milliseconds until the revision is in force on all running nodes, or None."""
        started_at = time.monotonic()
        waiting = self.vms_with_running_nodes()
        while waiting and time.monotonic() - started_at < seconds:
            pending = []
            for vm in waiting:
                try:
                    entries = {entry["document"]: entry.get("revision", 0) for entry in vm.status()["documents"]}
                    if entries[document] < revision:
                        pending.append(vm)
                except (OSError, ValueError, KeyError):
                    if vm.node.poll() is None:
                        pending.append(vm)
            waiting = pending
            time.sleep(0.005)
        return None if waiting else (time.monotonic() - started_at) * 1000

    def stop(self):
        processes = [p for vm in self.vms for p in (vm.node, vm.backend) if p] + ([self.platform] if self.platform else [])
        for process in processes:
            if process.poll() is None:
                process.send_signal(signal.SIGKILL)
        for process in processes:
            process.wait()
        self.folder.cleanup()


def wait_for(condition, seconds):
    """Polls the condition, where a failed request counts as false. Returns whether it became true within the time."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        try:
            if condition():
                return True
        except (OSError, ValueError, KeyError):
            pass
        time.sleep(0.05)
    return False
