"""The fleet, traffic and checks that the tests of a store that is restored from an older copy share."""

import asyncio
import os
import signal
import tempfile
import time
import unittest

from fleet import Fleet

DRAIN, APPLY = 2.0, 2.5  # Seconds.
RETURN = 2.2  # Seconds from the first response of the new era within which running servers have written again.
EVACUATE_AGAIN = 5.0  # Seconds within which the operator has written evacuations again.
HEARTBEAT = 0.5
AWAY = 1.3
MAX_GAP = 0.6  # Seconds between two requests to a server that is in use, with 4 servers and 5 calling nodes.


class RestoredStoreCase(unittest.IsolatedAsyncioTestCase):
    """Five nodes, four with servers of the service one, in two zones. Each server writes to the store, and requests are
    sent by all nodes from the time at which start_traffic() is called."""
    program = ""
    era = 7

    async def asyncSetUp(self):
        # The traces of all tasks in the debug mode take more time than the traffic does.
        asyncio.get_running_loop().set_debug(False)
        self.folder = tempfile.TemporaryDirectory()
        self.fleet = Fleet(self.program, self.folder.name, ["one", "one", "one", "one", "two"])
        self.nodes = self.fleet.nodes
        self.fleet.store.era = self.era
        self.routes = [Fleet.route("/s/", "safe", "one"), Fleet.route("/u/", "safe", "one")]
        await self.fleet.start()
        self.silent = set()  # Nodes whose servers don't write to the store.
        self.unavailable = set()  # Nodes that get no requests from callers.
        self.callers = {}  # Nodes by the ids of the requests that were sent to them.
        self.responses = []  # (time, node, status)
        self.tasks = [asyncio.ensure_future(self.write_heartbeats())]

    async def asyncTearDown(self):
        for task in self.tasks:
            task.cancel()
        for node in self.nodes:
            node.signal(signal.SIGCONT)
        await self.fleet.stop()
        self.folder.cleanup()

    async def write_heartbeats(self):
        while True:
            await asyncio.sleep(HEARTBEAT)
            for node in self.nodes:
                if self.fleet.store.mode == "ok" and node not in self.silent:
                    self.fleet.register(node, "draining" if node.backend.has_drained else "ready")

    def start_traffic(self):
        self.tasks.append(asyncio.ensure_future(self.send_traffic()))

    async def send_traffic(self):
        pending = set()
        while True:
            for node in self.nodes:
                if node not in self.unavailable:
                    pending.add(asyncio.ensure_future(self.send_counted(node)))
            await asyncio.sleep(0.05)
            pending = {request for request in pending if not request.done()}

    async def send_counted(self, node):
        request_id = self.fleet.new_id()
        self.callers[request_id] = node.index
        try:
            response = await self.fleet.send(node, "GET", "/s/x", request_id=request_id)
        except (OSError, asyncio.TimeoutError):
            response = None
        self.responses.append((time.monotonic(), node.index, response.status if response else None))

    async def restore(self, copy_age, write=lambda: None, lacks=(), during=None, written_at=0.1):
        """Restores the store from a copy of this age in seconds, and waits until it serves.

        write: makes a change, some seconds after the copy, that the store accepts and then loses. Nodes read the store
            every 0.7 s, so they have it after a second.
        lacks: nodes whose servers have registered after the copy.
        during: is awaited while the store is away.
        Returns the time of the change."""
        self.fleet.store.save_copy([self.key(node) for node in lacks])
        await asyncio.sleep(written_at)
        write()
        written = time.monotonic()
        await asyncio.sleep(copy_age - written_at)
        await asyncio.gather(self.fleet.store.restore_copy(AWAY), during() if during else asyncio.sleep(0))
        return written

    async def assert_never(self, end, path, status, fields=""):
        """Checks that no node responds with this status until this time."""
        while time.monotonic() < end:
            found = await self.statuses(path, fields)
            self.assertNotIn(status, found.values(), f"{path}: {found}")
            await asyncio.sleep(0.1)

    async def first_response(self):
        """Waits for the first response of the new era and returns its time."""
        while not self.fleet.store.first_response:
            await asyncio.sleep(0.01)
        return self.fleet.store.first_response

    @staticmethod
    async def sleep_until(end):
        await asyncio.sleep(max(0.0, end - time.monotonic()))

    @staticmethod
    def key(node):
        return f"servers/{node.backend.instance}"

    def write_again(self, node):
        """Writes the entry of a node's server again as it was."""
        self.fleet.store.put(self.key(node), node.backend.entry(node.ip, node.zone))

    def remove(self, node):
        """Removes the entry of a server that has left."""
        self.silent.add(node)
        self.fleet.store.remove(self.key(node))

    def drain(self, node):
        """Lets a server report that it drains, as the last that it writes."""
        self.silent.add(node)
        self.fleet.register(node, "draining")

    async def stop_node(self, node):
        self.unavailable.add(node)
        await asyncio.sleep(0.2)  # Lets requests end.
        node.signal(signal.SIGTERM)
        await node.process.wait()

    async def restart(self, node, store="pass"):
        """Restarts a node that has the first and the last node as seeds.

        store: mode of the proxy between the node and the store."""
        self.unavailable.add(node)
        await asyncio.sleep(0.2)  # Lets requests end.
        await node.kill()
        node.seeds = [self.nodes[0], self.nodes[-1]]
        node.store_proxy.set_mode(store)
        await node.start_process()
        end = time.monotonic() + 8
        while not await node.is_ready():
            self.assertLess(time.monotonic(), end, f"node {node.index} is not ready, log: {node.log_text()[-300:]}")
            await asyncio.sleep(0.02)
        self.unavailable.discard(node)

    @staticmethod
    def lead_to(store, *nodes):
        """Lets nodes reach another store from now on."""
        for node in nodes:
            node.store_proxy.target = (store.ip, 7309)
            node.store_proxy.reset_all()

    async def status(self, node, path, fields=""):
        response = await self.fleet.send(node, "GET", path, fields=fields)
        return response.status if response else None

    async def statuses(self, path, fields=""):
        """Returns the statuses at the nodes that get requests, by their indexes."""
        nodes = [node for node in self.nodes if node not in self.unavailable]
        return dict(zip((node.index for node in nodes),
                        await asyncio.gather(*(self.status(node, path, fields) for node in nodes))))

    async def assert_statuses(self, end, path, status, fields=""):
        """Checks that all nodes respond with this status until this time."""
        while True:
            found = await self.statuses(path, fields)
            self.assertEqual(found, dict.fromkeys(found, status), path)
            if time.monotonic() > end:
                return
            await asyncio.sleep(0.1)

    def assert_no_arrivals(self, node, begin):
        arrivals = [(round(time_ - begin, 2), self.callers.get(request_id))
                    for time_, request_id, _, _ in node.backend.arrivals if time_ > begin]
        self.assertEqual(len(arrivals), 0, f"server {node.index}, first (seconds too late, node): {arrivals[:5]}")

    def assert_steady_arrivals(self, node, begin):
        times = [begin] + [arrival[0] for arrival in node.backend.arrivals if arrival[0] > begin] + [time.monotonic()]
        gap, at = max((after - before, before - begin) for before, after in zip(times, times[1:]))
        self.assertLess(gap, MAX_GAP, f"server {node.index} got nothing {at:.2f} s after the begin")

    def assert_served(self):
        """Checks that no request of the traffic has failed."""
        failed = [(node, status) for _, node, status in self.responses if status != 200]
        self.assertGreater(len(self.responses), 100)
        self.assertEqual(failed[:5], [], f"{len(failed)} of {len(self.responses)} failed")
