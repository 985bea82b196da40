"""Tests what callers and backend servers see after the store was restored from an older copy, with real node processes.

Usage: test_restored_store.py PROGRAM [unittest arguments]"""

import asyncio
import os
import sys
import tempfile
import time
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from fleet import Fleet  # noqa: E402

PROGRAM = sys.argv.pop(1) if len(sys.argv) > 1 else "build/bin/snipeweir-platform"
DRAIN, APPLY = 2.0, 2.5  # Seconds.
HEARTBEAT = 0.5
AWAY = 1.3


class RestoredStoreTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.fleet = Fleet(PROGRAM, self.folder.name, ["one", "one", "one", "one", "two"])
        self.fleet.store.era = 7
        await self.fleet.start()
        self.silent = set()  # Nodes whose servers don't write to the store.
        self.heartbeats = asyncio.ensure_future(self.write_heartbeats())

    async def asyncTearDown(self):
        self.heartbeats.cancel()
        await self.fleet.stop()
        self.folder.cleanup()

    async def write_heartbeats(self):
        while True:
            await asyncio.sleep(HEARTBEAT)
            for node in self.fleet.nodes:
                if self.fleet.store.mode == "ok" and node not in self.silent:
                    self.fleet.register(node, "draining" if node.backend.has_drained else "ready")

    async def restore(self, copy_age, write=lambda: None):
        """Restores the store from a copy of this age in seconds, and waits until it serves.

        write: makes a change that the store accepts and then loses."""
        self.fleet.store.save_copy()
        await asyncio.sleep(copy_age / 2)
        write()
        await asyncio.sleep(copy_age / 2)
        await self.fleet.store.restore_copy(AWAY)

    async def burst(self, count=20, path="/s/x", nodes=None):
        nodes = nodes or self.fleet.nodes
        return await asyncio.gather(
            *(self.fleet.send(nodes[i % len(nodes)], "GET", path) for i in range(count)))

    async def assert_no_arrivals_after_drain(self, server):
        await asyncio.sleep(DRAIN)
        begin = time.monotonic()
        responses = []
        for _ in range(8):
            responses += await self.burst()
            await asyncio.sleep(0.1)
        self.assertEqual([a for a in server.arrivals if a[0] > begin], [])
        self.assertGreaterEqual(sum(response.status == 200 for response in responses), 144)

    async def assert_route_served(self, path):
        await asyncio.sleep(APPLY)
        for node in self.fleet.nodes:
            self.assertEqual((await self.fleet.send(node, "GET", path)).status, 200, f"node {node.index}")

    async def test_requests_reach_a_server_that_left_after_the_store_was_restored(self):
        leaving = self.fleet.nodes[0]
        await self.restore(copy_age=2.5)
        self.fleet.register(leaving, "draining")
        self.silent.add(leaving)
        await self.assert_no_arrivals_after_drain(leaving.backend)

    async def test_requests_reach_a_server_whose_entry_was_removed_after_the_store_was_restored(self):
        leaving = self.fleet.nodes[0]
        await self.restore(copy_age=2.5)
        self.silent.add(leaving)
        await asyncio.sleep(1)
        self.fleet.store.remove(f"servers/{leaving.backend.instance}")
        await self.assert_no_arrivals_after_drain(leaving.backend)

    async def test_no_node_serves_a_route_that_was_added_after_the_store_was_restored(self):
        routes = [self.fleet.route("/s/", "safe", "one"), self.fleet.route("/lost/", "safe", "one")]
        await self.restore(7.5, lambda: self.fleet.configure(routes))
        self.fleet.configure(routes + [self.fleet.route("/added/", "safe", "one")])
        await self.assert_route_served("/added/x")


if __name__ == "__main__":
    unittest.main()
