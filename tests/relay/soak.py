"""Randomized soak test: injects faults into a fleet of real relay nodes and checks the relay's guarantees from what
callers and backend servers observe. The seed determines the series of faults; how the processes react may differ.

Usage: soak.py [--seed N] [--seconds S] [--processes P] [--program FILE] [--keep FOLDER]"""

import argparse
import asyncio
import os
import random
import signal
import sys
import tempfile
import time

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from fleet import Fleet, read_head, PORTS  # noqa: E402
from odd_entries import odd_values  # noqa: E402

# Time limits of the simulated deployment, in seconds. They are not checked until SETTLE after the end of a fault.
DRAIN, EVACUATE, APPLY, SETTLE, GRACE = 2.0, 5.0, 2.5, 3.0, 6.0
COLD_PER_SECOND = 11 * 1.5 + 5
# Seconds from the first response with a rate limit until it binds, and the window in which requests are counted.
LIMIT_SETTLE, LIMIT_WINDOW = 3.0, 4.0
NOT_RUN_STATUSES = (408, 421, 429, 503)
# Seconds between writes of a server's entry, and after a restore until lost writes are repeated; an entry that was
# removed stays until its lease has ended.
HEARTBEAT, REPEAT_WRITES, LEASE = (1.0, 1.5), (0.2, 2.0), 4.5


class Soak:
    def __init__(self, fleet, seed, seconds):
        self.fleet, self.random, self.seconds = fleet, random.Random(seed), seconds
        self.violations = []
        self.responses = []  # (id, is_unsafe, status)
        self.origins = {}  # id -> index of the node that took the request from its caller
        self.faulted_until = {node.index: 0.0 for node in fleet.nodes}
        self.store_faulted_until = 0.0
        self.backend_cut_until = {node.index: 0.0 for node in fleet.nodes}
        self.evacuated = None  # The zone that is evacuated.
        self.configurations_seen = {}  # (node, pid) -> number of the latest configuration whose effect was seen
        self.routes = 0  # Configurations so far; each adds the route of its number.
        self.removed_routes = {}  # Route number -> number of the configuration that removed it
        self.left = set()  # Nodes whose servers write no entry.
        self.store_faults = asyncio.Lock()
        self.restores = 0
        self.repeats = []  # Tasks that write again what restores have lost.
        self.requests = 0
        self.ended_on_purpose = set()  # Processes that this test has ended, or told to stop.

    def report_violation(self, text):
        self.violations.append(text)
        print(f"VIOLATION at {time.monotonic() - self.start:.2f} s: {text}", flush=True)

    # Load.

    async def caller(self, node, number):
        """Sends requests on persistent connections, each until the node closes it or an error occurs."""
        rng = random.Random(number * 7919)
        while time.monotonic() < self.end:
            try:
                reader, writer = await asyncio.wait_for(
                    asyncio.open_connection(node.ip, PORTS["callers"]), 1)
            except (OSError, asyncio.TimeoutError):
                await asyncio.sleep(0.2)
                continue
            try:
                while time.monotonic() < self.end and await self.one_request(rng, reader, writer, node):
                    await asyncio.sleep(rng.uniform(0.01, 0.1))
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                pass
            writer.close()

    async def one_request(self, rng, reader, writer, node):
        is_unsafe = rng.random() < 0.4
        request_id = self.fleet.new_id()
        self.origins[request_id] = node.index
        self.requests += 1
        method, path = ("POST", "/u/x") if is_unsafe else ("GET", "/s/x")
        writer.write(f"{method} {path} HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {request_id}\r\n"
                     f"Deadline-Ms: 1500\r\nContent-Length: 0\r\n\r\n".encode())
        if rng.random() < 0.02:
            return False  # The caller disconnects.
        head = await asyncio.wait_for(read_head(reader), 4)
        if not head:
            return False
        status, fields = int(head[0].split(" ")[1]), head[1]
        body = await asyncio.wait_for(reader.readexactly(int(fields.get("content-length", 0))), 4)
        if fields.get("request-id") not in (request_id, None):
            self.report_violation(f"{request_id} got the answer of {fields['request-id']}")
        if status == 200 and ("server-seal" not in fields or body != (request_id * 20).encode()):
            self.report_violation(f"{request_id} got a success without its server's complete answer")
        self.responses.append((request_id, is_unsafe, status))
        return fields.get("connection", "").lower() != "close"

    async def check_routes(self, node):
        """Requests routes added by new configurations. A process must not send 404 for a route that it has served."""
        while time.monotonic() < self.end:
            await asyncio.sleep(0.3)
            if node.process.returncode is not None and node.process not in self.ended_on_purpose:
                self.report_violation(f"node {node.index} ended by itself with {node.process.returncode}")
                await node.start_process()
            if not self.routes:
                continue
            number = self.random.randint(1, self.routes)
            await self.ask_for_route(node, number)

    async def ask_for_route(self, node, number):
        """Returns the status of a request to a route, or None, and checks that the process doesn't go back to a
        configuration before one whose effect was seen."""
        process = node.process
        key = (node.index, process.pid)
        seen = self.configurations_seen.get(key, 0)
        try:
            response = await self.fleet.send(node, "GET", f"/v{number}/x", deadline=1000)
        except (OSError, asyncio.TimeoutError):
            return None
        if response is None or node.process is not process:
            return None
        removed_by = self.removed_routes.get(number)
        effect = 0
        if response.status == 200:
            effect = number
            if removed_by and seen >= removed_by:
                self.report_violation(f"node {node.index} served route {number} again after it had been removed")
        elif response.status == 404 and seen >= number:
            effect = removed_by or 0
            if not removed_by:
                self.report_violation(
                    f"node {node.index} answered 404 for route {number} that it had served, or a later one")
        self.configurations_seen[key] = max(self.configurations_seen.get(key, 0), effect)
        return response.status

    # Faults.

    def mark_faulted(self, node, seconds=0.0):
        self.faulted_until[node.index] = max(
            self.faulted_until[node.index], time.monotonic() + seconds + SETTLE)

    async def backend_mode(self, node):
        mode = self.random.choice(["error", "hang", "reset_after_run", "extra", "cut", "no_seal", "shed"])
        node.backend.mode = mode
        await asyncio.sleep(self.random.uniform(0.3, 2))
        node.backend.mode = "ok"

    async def proxy_mode(self, node):
        proxy = self.random.choice([node.backend_proxy, node.store_proxy])
        seconds = self.random.uniform(0.3, 2)
        self.mark_faulted(node, seconds)
        if proxy is node.backend_proxy:
            self.backend_cut_until[node.index] = time.monotonic() + seconds + SETTLE
        proxy.set_mode(self.random.choice(["delay", "silent", "lose_answers", "reset"]))
        await asyncio.sleep(seconds)
        proxy.set_mode("pass")

    async def store_mode(self, _):
        seconds = self.random.uniform(0.3, 3)
        mode = self.random.choice(["silent", "refuse"])
        async with self.store_faults:
            self.store_faulted_until = time.monotonic() + seconds + SETTLE
            self.fleet.store.mode = mode
            await asyncio.sleep(seconds)
            self.fleet.store.mode = "ok"

    async def restore(self, _):
        """The store is restored from a copy, at times twice in a row, from the same copy or a new one."""
        self.fleet.store.save_copy()
        saved_at = time.monotonic()
        await asyncio.sleep(self.random.uniform(0.1, 8))
        await self.restore_copy(saved_at)
        if self.random.random() < 0.3:
            if self.random.random() < 0.5:
                self.fleet.store.save_copy()
                saved_at = time.monotonic()
            await asyncio.sleep(self.random.uniform(0.1, 3))
            await self.restore_copy(saved_at)

    async def restore_copy(self, saved_at):
        away = self.random.uniform(0.3, 2)
        async with self.store_faults:
            self.restores += 1
            begin = time.monotonic()
            revision = self.fleet.store.revision
            self.store_faulted_until = begin + away + SETTLE
            await self.fleet.store.restore_copy(away)
            self.store_faulted_until = time.monotonic() + SETTLE
        print(f"{time.monotonic() - self.start:6.2f} s restored from a copy of {begin - saved_at:.2f} s before, away "
              f"{away:.2f} s, era {self.fleet.store.era}, revision {revision} to {self.fleet.store.revision}, lost "
              f"{', '.join(sorted(self.fleet.store.lost))}", flush=True)
        for key, value in list(self.fleet.store.lost.items()):
            is_removed_entry = key.startswith("servers/") and value is None
            delay = self.random.uniform(REPEAT_WRITES[0], LEASE if is_removed_entry else REPEAT_WRITES[1])
            self.repeats.append(asyncio.ensure_future(self.repeat_write(key, delay)))

    async def repeat_write(self, key, delay):
        """Writes again what a restore has lost, unless its writer has written the key since."""
        await asyncio.sleep(delay)
        if key not in self.fleet.store.lost or self.fleet.store.mode == "reset":
            return
        value = self.fleet.store.lost[key]
        if value is None:
            self.fleet.store.remove(key)
        else:
            self.fleet.store.put(key, value)

    async def write_heartbeats(self, node):
        rng = random.Random(node.index)
        while True:
            await asyncio.sleep(rng.uniform(*HEARTBEAT))
            if node not in self.left and self.fleet.store.mode != "reset":
                self.fleet.register(node, "draining" if node.backend.has_drained else "ready")

    async def pause(self, node):
        seconds = self.random.uniform(0.2, 2)
        self.mark_faulted(node, seconds)
        node.signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        node.signal(signal.SIGCONT)

    async def kill(self, node):
        self.mark_faulted(node, 2)
        self.ended_on_purpose.add(node.process)
        await node.kill()
        await asyncio.sleep(self.random.uniform(0, 1))
        await node.start_process()

    async def stop(self, node):
        self.mark_faulted(node, GRACE)
        process = node.process
        self.ended_on_purpose.add(process)
        node.signal(signal.SIGTERM)
        if self.random.random() < 0.3:
            node.signal(signal.SIGHUP)
        try:
            code = await asyncio.wait_for(process.wait(), GRACE + 0.5)
            if code not in (0, -signal.SIGKILL):
                self.report_violation(f"node {node.index} exited with {code} after SIGTERM")
        except asyncio.TimeoutError:
            self.report_violation(f"node {node.index} had not exited {GRACE} s after SIGTERM")
            await node.kill()
        await node.start_process()

    async def reload(self, node):
        node.signal(signal.SIGHUP)

    async def drain(self, node):
        self.fleet.register(node, "draining")
        await self.check_no_arrivals([node], DRAIN, lambda: self.fleet.register(node))

    async def deregister(self, node):
        """The entry of a server is removed without a report that it drains, and the server starts anew later."""
        self.left.add(node)
        self.fleet.store.remove(f"servers/{node.backend.instance}")

        def start_anew():
            self.left.discard(node)
            node.backend.born += 1
            self.fleet.register(node)

        await self.check_no_arrivals([node], DRAIN, start_anew)

    async def evacuate(self, node):
        if self.evacuated:
            return
        self.evacuated = node.zone
        self.fleet.store.put(f"op/evacuate/{node.zone}", b"{}")
        nodes = [other for other in self.fleet.nodes if other.zone == node.zone]
        await self.check_no_arrivals(nodes, EVACUATE, lambda: self.fleet.store.remove(f"op/evacuate/{node.zone}"))
        self.evacuated = None

    async def check_no_arrivals(self, nodes, bound, reopen):
        """Checks that no request arrives from the time limit on, unless the store or a node on its way was faulty
        meanwhile."""
        requested_at = time.monotonic()
        await asyncio.sleep(bound + 1)
        until = time.monotonic()
        faulted = {index for index, faulted_until in self.faulted_until.items() if faulted_until >= requested_at}
        for node in nodes:
            late = [a for a in node.backend.arrivals if requested_at + bound < a[0] < until
                    and not faulted & {node.index, *([self.origins[a[1]]] if a[1] in self.origins else faulted)}]
            if late and self.store_faulted_until < requested_at:
                self.report_violation(
                    f"{len(late)} requests reached {node.backend.instance} {bound} s after it was taken out of service")
        reopen()

    def add_route(self):
        """Adds a route and removes another one at times. Returns the number of the route that was added."""
        self.routes += 1
        if self.routes > 1 and self.random.random() < 0.3:
            self.removed_routes.setdefault(self.random.randint(1, self.routes - 1), self.routes)
        routes = [self.fleet.route("/s/", "safe", "one"), self.fleet.route("/u/", "unsafe", "one")]
        routes += [self.fleet.route(f"/v{number}/", "safe", "one") for number in range(1, self.routes + 1)
                   if number not in self.removed_routes]
        self.fleet.configure(routes)
        return self.routes

    async def configure(self, _):
        number = self.add_route()
        requested_at = time.monotonic()
        await asyncio.sleep(APPLY)
        for node in self.fleet.nodes:
            status = await self.ask_for_route(node, number)
            is_undisturbed = max(self.store_faulted_until, self.faulted_until[node.index]) < requested_at
            if status == 404 and number not in self.removed_routes and is_undisturbed:
                self.report_violation(f"node {node.index} answered 404 for route {number} {APPLY} s after it was added")

    async def cold(self, node):
        node.backend.cold_until = time.monotonic() + 2
        # The node learns it from a health check; 0.4 s is enough for two of them.
        begin, end = time.monotonic() + 0.4, time.monotonic() + 2
        await asyncio.sleep(2.1)
        if self.faulted_until[node.index] > begin:
            return
        times = [a[0] for a in node.backend.arrivals if begin < a[0] < end]
        worst = max((sum(first <= t < first + 1 for t in times) for first in times), default=0)
        if worst > COLD_PER_SECOND:
            self.report_violation(f"{node.backend.instance} got {worst} requests in a second while cold")

    async def leave(self, node):
        """The server says only in its responses that it leaves, and starts anew later. Its node may be killed or
        suspended meanwhile, which excuses nothing."""
        begin = time.monotonic()
        node.backend.is_leaving = True
        await asyncio.sleep(0.5)
        fault = self.random.choice([None, None, self.kill, self.pause])
        if fault:
            await fault(node)
        await asyncio.sleep(max(0, begin + DRAIN + 1 - time.monotonic()))
        late = [a for a in node.backend.arrivals if a[0] > begin + DRAIN]
        if late and self.backend_cut_until[node.index] < begin:
            self.report_violation(
                f"{len(late)} requests reached {node.backend.instance} {DRAIN} s after it said that it leaves")
        node.backend.is_leaving = False
        node.backend.born += 1
        self.fleet.register(node)

    async def limit(self, node):
        """The server names a rate limit in its responses. Other faults of its node may overlap; only one that keeps
        the responses from the node excuses anything."""
        limit = self.random.choice([0.4, 2.0, 6.5])
        begin = time.monotonic()
        node.backend.rate_limit = limit
        await asyncio.sleep(LIMIT_SETTLE + LIMIT_WINDOW + 1)
        node.backend.rate_limit = None
        times = [a[0] for a in node.backend.arrivals if a[0] > begin + LIMIT_SETTLE]
        most = max((sum(first <= t < first + LIMIT_WINDOW for t in times) for first in times), default=0)
        if most > 1.5 * limit * LIMIT_WINDOW + 5 and self.backend_cut_until[node.index] < begin:
            self.report_violation(
                f"{node.backend.instance} got {most} requests in {LIMIT_WINDOW} s with a limit of {limit} a second")

    async def odd_entry(self, node):
        """Another writer leaves an odd entry, which excuses nothing."""
        key = f"servers/odd {self.random.randint(0, 3)}"
        self.fleet.store.put(key, self.random.choice(odd_values(node.backend.entry(node.ip, node.zone))))
        await asyncio.sleep(self.random.uniform(0.1, 3))
        self.fleet.store.remove(key)

    async def inject_faults(self):
        kinds = [self.backend_mode, self.proxy_mode, self.store_mode, self.pause, self.kill, self.stop, self.reload,
                 self.drain, self.evacuate, self.configure, self.cold, self.leave, self.limit,
                 self.odd_entry, self.restore, self.deregister]
        busy, limited, restoring, tasks = set(), set(), set(), []
        while time.monotonic() < self.end - 1:
            await asyncio.sleep(self.random.uniform(0.05, 0.8))
            kind, node = self.random.choice(kinds), self.random.choice(self.fleet.nodes)
            # Faults of one node follow each other, except that they may fall into the time of a rate limit or into that
            # of a restore, of which there is one at a time.
            group = limited if kind == self.limit else restoring if kind == self.restore else busy
            if node.index in group or (group is restoring and restoring):
                continue
            group.add(node.index)
            print(f"{time.monotonic() - self.start:6.2f} s {kind.__name__} node {node.index}", flush=True)
            task = asyncio.ensure_future(kind(node))
            task.add_done_callback(lambda _, group=group, index=node.index: group.discard(index))
            tasks.append(task)
        await asyncio.gather(*tasks)

    # Checks after the last fault.

    def check_runs(self):
        runs = {}
        for node in self.fleet.nodes:
            for request_id in node.backend.started:
                runs[request_id] = runs.get(request_id, 0) + 1
        for request_id, is_unsafe, status in self.responses:
            if is_unsafe and status in NOT_RUN_STATUSES and runs.get(request_id, 0):
                self.report_violation(f"{request_id} was refused with {status} but ran")
        unsafe = {line for node in self.fleet.nodes for _, line, text, _ in node.backend.arrivals
                  if text.startswith("POST")}
        for request_id in unsafe:
            if runs.get(request_id, 0) > 1:
                self.report_violation(f"{request_id} must run at most once but ran {runs[request_id]} times")
        arrivals = sum(len(node.backend.arrivals) for node in self.fleet.nodes)
        if arrivals - self.requests > 0.2 * self.requests + 64 * max(1, self.seconds / 10):
            self.report_violation(f"{arrivals} arrivals for {self.requests} requests exceed the retry budget")

    async def run(self):
        self.fleet.store.era = self.random.randint(1, 9)
        await self.fleet.start()
        for node in self.fleet.nodes:
            node.backend.echoes_request_id = True
        heartbeats = [asyncio.ensure_future(self.write_heartbeats(node)) for node in self.fleet.nodes]
        self.start = time.monotonic()
        self.end = self.start + self.seconds
        callers = [self.caller(node, node.index * 10 + i) for node in self.fleet.nodes for i in range(3)]
        await asyncio.gather(self.inject_faults(), *callers, *(self.check_routes(node) for node in self.fleet.nodes))
        await asyncio.sleep(1.6)  # Longer than the deadline of all requests, so that none still runs.
        self.check_runs()
        await self.recover()
        await self.check_changes()
        for task in heartbeats:
            task.cancel()
        served = sum(status == 200 for _, _, status in self.responses)
        print(f"{self.requests} requests, {served} served, {self.restores} restores, {len(self.violations)} guarantees "
              "violated", flush=True)

    async def recover(self):
        try:
            await self.fleet.wait_ready(8)
        except AssertionError as error:
            self.report_violation(str(error))
            return
        responses = [await self.fleet.send(node, "GET", "/s/x") for node in self.fleet.nodes for _ in range(3)]
        served = sum(response is not None and response.status == 200 for response in responses)
        if served * 2 < len(responses):
            self.report_violation(f"after all faults only {served} of {len(responses)} requests are served")

    async def check_changes(self):
        """Restores the store a last time and checks that later changes take effect in time. No other fault overlaps."""
        await self.settle()
        restore = asyncio.ensure_future(self.restore(None))
        await asyncio.sleep(0.05)
        lost = self.add_route()
        while not restore.done():
            await asyncio.gather(*(self.ask_for_route(node, lost) for node in self.fleet.nodes), asyncio.sleep(0.2))
        await restore
        await self.check_added_route()
        await asyncio.gather(*self.repeats)
        await self.settle()
        await self.check_drained_server()

    async def settle(self):
        settled_at = max(self.store_faulted_until, *self.faulted_until.values())
        await asyncio.sleep(max(0.0, settled_at - time.monotonic()))

    async def check_added_route(self):
        number = self.add_route()
        await asyncio.sleep(APPLY)
        await self.settle()
        for node in self.fleet.nodes:
            status = await self.ask_for_route(node, number)
            if status != 200:
                self.report_violation(f"after all faults node {node.index} answered {status} for an added route")
            for other in set(range(1, number)) - self.removed_routes.keys():
                await self.ask_for_route(node, other)

    async def check_drained_server(self):
        drained = self.fleet.nodes[0]
        self.fleet.register(drained, "draining")
        await asyncio.sleep(DRAIN)
        begin = time.monotonic()
        for _ in range(4):
            await asyncio.gather(*(self.fleet.send(node, "GET", "/s/x") for node in self.fleet.nodes for _ in range(4)))
        late = [arrival for arrival in drained.backend.arrivals if arrival[0] > begin]
        if late:
            self.report_violation(f"after all faults {len(late)} requests reached a drained server")


async def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=15)
    parser.add_argument("--processes", type=int, default=5)
    parser.add_argument("--program", default="build/bin/snipeweir-platform")
    parser.add_argument("--keep", help="folder for the nodes' logs")
    options = parser.parse_args()
    services = ["two" if i % 5 == 4 else "one" for i in range(options.processes)]
    with tempfile.TemporaryDirectory() as folder:
        if options.keep:
            os.makedirs(options.keep, exist_ok=True)
        fleet = Fleet(options.program, options.keep or folder, services, f"127.{20 + options.seed % 80}")
        soak = Soak(fleet, options.seed, options.seconds)
        try:
            await soak.run()
        finally:
            await fleet.stop()
    print(f"seed {options.seed}: {'FAILED' if soak.violations else 'ok'}")
    return 1 if soak.violations else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
