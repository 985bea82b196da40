"""Tests that a node follows the fleet's documents while the paths to other nodes are slow or silent, with a real node
process and simulated other nodes.

Usage: test_slow_nodes.py PROGRAM [unittest arguments]"""

import asyncio
import os
import sys
import tempfile
import time
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from fleet import Announcer, Fleet  # noqa: E402

PROGRAM = sys.argv.pop(1) if len(sys.argv) > 1 else "build/bin/snipeweir-platform"
APPLY = 2.0  # Seconds within which a change is in force.


class SlowNodeTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.fleet = Fleet(PROGRAM, self.folder.name, ["one", "one", "two"])
        self.announcers = [Announcer(f"{self.fleet.subnet}.0.{100 + i}", self.fleet.store) for i in range(3)]
        await self.fleet.start()
        for announcer in self.announcers:
            await announcer.start()
        # From now on the nodes get documents from the simulated nodes only.
        for node in self.fleet.nodes:
            node.store_proxy.set_mode("reset")
        self.node = self.fleet.nodes[2]
        await asyncio.sleep(0.5)

    async def asyncTearDown(self):
        for announcer in self.announcers:
            await announcer.stop()
        await self.fleet.stop()
        self.folder.cleanup()

    async def assert_followed(self):
        """Removes an entry; the node must have followed within APPLY while every 0.7 s an announcement comes."""
        self.fleet.store.remove(f"servers/{self.fleet.nodes[0].backend.instance}")
        begin = time.monotonic()
        for announcer in self.announcers:
            announcer.read()
        sent = 0
        while time.monotonic() - begin < APPLY:
            if time.monotonic() - begin >= 0.7 * sent:
                self.announcers[sent % len(self.announcers)].announce(self.node, 0)
                sent += 1
            await asyncio.sleep(0.02)
        self.assertEqual(await self.fleet.metric(self.node, "snipeweir_backends"), 2)

    async def test_a_document_is_never_taken_over_a_link_that_delays_each_response(self):
        for announcer in self.announcers:
            announcer.response_delay = 0.9
        await self.assert_followed()

    async def test_a_document_is_taken_late_because_the_connection_to_its_announcer_went_silent(self):
        announcer, *others = self.announcers
        for other in others:
            await other.stop()
        self.announcers = [announcer]
        self.fleet.store.remove(f"servers/{self.fleet.nodes[1].backend.instance}")
        announcer.read()
        announcer.announce(self.node, 0)
        await asyncio.sleep(0.5)
        self.assertEqual(await self.fleet.metric(self.node, "snipeweir_backends"), 2)
        announcer.silence_connections()
        self.fleet.store.remove(f"servers/{self.fleet.nodes[0].backend.instance}")
        announcer.read()
        announcer.announce(self.node, 0)
        await asyncio.sleep(1)
        self.assertEqual(await self.fleet.metric(self.node, "snipeweir_backends"), 1)

    async def test_a_document_is_taken_late_because_the_first_announcer_is_silent(self):
        self.announcers[0].response_delay = 60
        await self.assert_followed()

    async def test_a_document_is_taken_late_because_two_announcers_are_silent(self):
        self.announcers[0].response_delay = self.announcers[1].response_delay = 60
        await self.assert_followed()


if __name__ == "__main__":
    unittest.main()
