"""Tests that a backend server that says in its responses that it leaves gets no more requests, with real node processes.

Usage: test_leaving_servers.py PROGRAM [unittest arguments]"""

import asyncio
import os
import sys
import tempfile
import time
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from fleet import Fleet  # noqa: E402

PROGRAM = sys.argv.pop(1) if len(sys.argv) > 1 else "build/bin/snipeweir-platform"
DRAIN = 2.0  # Seconds.


class LeavingServerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.fleet = Fleet(PROGRAM, self.folder.name, ["one", "one", "one", "two"])
        await self.fleet.start()
        self.leaving = self.fleet.nodes[0]
        self.caller = self.fleet.nodes[3]

    async def asyncTearDown(self):
        await self.fleet.stop()
        self.folder.cleanup()

    async def burst(self, nodes, count):
        return await asyncio.gather(
            *(self.fleet.send(nodes[i % len(nodes)], "GET", "/s/x") for i in range(count)))

    async def pass_on_a_notice(self, node):
        """Sends requests from the node until it has passed on a response that says that the server leaves."""
        self.leaving.backend.service_time = 0.2  # Shorter than the time to a hedge, which would win.
        sends = asyncio.ensure_future(self.burst([node], 12))
        await asyncio.sleep(0.1)
        self.leaving.backend.is_leaving = True
        responses = await sends
        self.assertTrue(any("server-leaving" in response.fields for response in responses))

    def arrivals_since(self, moment):
        return [arrival for arrival in self.leaving.backend.arrivals if arrival[0] > moment]

    async def assert_no_arrivals_after_drain(self, nodes, served_at_least=36):
        await asyncio.sleep(DRAIN)
        begin = time.monotonic()
        responses = []
        for _ in range(4):
            responses += await self.burst(nodes, 10)
        self.assertEqual(self.arrivals_since(begin), [])
        self.assertGreaterEqual(sum(response.status == 200 for response in responses), served_at_least)

    async def test_requests_reach_a_server_that_says_in_its_responses_that_it_leaves(self):
        await self.pass_on_a_notice(self.caller)
        await self.assert_no_arrivals_after_drain(self.fleet.nodes)

    async def test_requests_reach_a_server_that_says_so_while_no_node_can_read_the_store(self):
        self.fleet.store.mode = "silent"
        await self.pass_on_a_notice(self.caller)
        await self.assert_no_arrivals_after_drain(self.fleet.nodes)

    async def test_requests_reach_a_server_that_says_so_only_in_its_health_responses(self):
        self.fleet.store.mode = "refuse"
        self.leaving.backend.is_leaving = True
        await self.assert_no_arrivals_after_drain(self.fleet.nodes)

    async def test_requests_reach_a_leaving_server_through_its_restarted_node(self):
        await self.pass_on_a_notice(self.caller)
        # The restarted node learns nothing about its server before a request reaches the server.
        self.leaving.backend.is_health_silent = True
        await self.leaving.kill()
        await self.leaving.start_process()
        await asyncio.sleep(1)
        await self.assert_no_arrivals_after_drain([self.caller])

    async def test_requests_reach_a_server_whose_entry_was_removed_after_an_outage_of_the_store(self):
        self.fleet.store.mode = "refuse"
        await asyncio.sleep(4.6)
        self.fleet.store.mode = "ok"
        await asyncio.sleep(3)
        self.fleet.store.remove(f"servers/{self.leaving.backend.instance}")
        await self.assert_no_arrivals_after_drain(self.fleet.nodes)

    async def test_requests_reach_a_server_whose_entry_was_removed_from_its_node_that_cannot_read_the_store(self):
        self.leaving.store_proxy.set_mode("silent")
        await asyncio.sleep(1)
        self.fleet.store.remove(f"servers/{self.leaving.backend.instance}")
        await self.assert_no_arrivals_after_drain([self.leaving])

    async def test_requests_reach_a_leaving_server_whose_entry_is_read_late(self):
        # While the store is unavailable, its node knows only the incarnation before, which has drained.
        self.fleet.register(self.leaving, "draining")
        await asyncio.sleep(1.5)
        self.fleet.store.mode = "refuse"
        self.fleet.register(self.leaving)
        self.leaving.backend.is_leaving = True
        self.leaving.backend.health_delay = 0.2  # So that requests come before the first notice after the read.
        await asyncio.sleep(DRAIN)
        begin = time.monotonic()
        self.fleet.store.mode = "ok"
        while time.monotonic() < begin + 4:
            responses = await self.burst(self.fleet.nodes, 24)
            self.assertGreaterEqual(sum(response.status == 200 for response in responses), 12)
        self.assertEqual(self.arrivals_since(begin), [])

    async def test_a_server_that_started_anew_under_its_instance_stays_avoided(self):
        await self.pass_on_a_notice(self.caller)
        self.leaving.backend.is_leaving = False
        self.leaving.backend.born += 60_000
        self.fleet.register(self.leaving)
        await asyncio.sleep(DRAIN)
        begin = time.monotonic()
        for _ in range(4):
            await self.burst(self.fleet.nodes, 12)
        self.assertNotEqual(self.arrivals_since(begin), [])


if __name__ == "__main__":
    unittest.main()
