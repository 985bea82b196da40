"""Tests which configuration, keys and evacuations hold after the store was restored from an older copy, with real node
processes.

Usage: test_restored_store_history.py PROGRAM [unittest arguments]"""

import asyncio
import os
import signal
import sys
import time
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from restored_store import APPLY, DRAIN, EVACUATE_AGAIN, RestoredStoreCase  # noqa: E402

RestoredStoreCase.program = sys.argv.pop(1) if len(sys.argv) > 1 else "build/bin/snipeweir-platform"
KEPT_KEY, REVOKED_KEY = "key-kept-c0ffee", "key-revoked-beef"


def authorization(key):
    return f"Authorization: Token {key}\r\n"


class RestoredConfigurationTest(RestoredStoreCase):
    def change_routes(self, *more):
        """Writes a configuration without the route /u/ and with the route /added/."""
        added = [self.fleet.route(f"/{name}/", "safe", "one") for name in ("added", *more)]
        self.fleet.configure([self.routes[0], *added])

    async def assert_changed(self, end):
        """Checks that the configuration of change_routes() holds at all nodes until this time."""
        while True:
            await self.assert_statuses(0, "/added/x", 200)
            await self.assert_statuses(0, "/u/x", 404)
            if time.monotonic() > end:
                return
            await asyncio.sleep(0.05)

    async def assert_taken_again(self):
        """Checks that the next version that the operator writes is in force in time."""
        self.change_routes("more")
        await asyncio.sleep(APPLY)
        await self.assert_statuses(0, "/more/x", 200)

    async def test_an_accepted_configuration_reverts(self):
        await self.restore(5.2, self.change_routes)
        await self.assert_changed(time.monotonic() + 3)
        await self.assert_taken_again()

    async def test_an_accepted_configuration_reverts_at_a_node_that_restarts(self):
        reads, has_only_peers = self.nodes[2:4]
        await self.restore(1.3, self.change_routes, during=lambda: asyncio.gather(
            self.restart(reads), self.restart(has_only_peers, "silent")))
        await self.assert_changed(time.monotonic() + 3)
        await self.assert_taken_again()

    async def test_an_accepted_configuration_reverts_at_a_node_that_starts_after_the_return(self):
        reads, has_only_peers = self.nodes[2:4]
        await self.restore(1.3, self.change_routes)
        await self.first_response()
        await asyncio.gather(self.restart(reads), self.restart(has_only_peers, "silent"))
        await self.assert_changed(time.monotonic() + 2)
        await self.assert_taken_again()

    async def test_an_accepted_configuration_reverts_when_the_store_is_restored_twice(self):
        await self.restore(1.3, self.change_routes)
        await asyncio.sleep(1)
        await self.fleet.store.restore_copy(0.5)
        await self.assert_changed(time.monotonic() + 3)
        await self.assert_taken_again()

    async def test_a_configuration_is_missed_by_nodes_that_were_apart(self):
        cut_off, paused, alone = self.nodes[1], self.nodes[2], self.nodes[4]
        paused.signal(signal.SIGSTOP)

        async def leave_one():
            for node in self.nodes[:4]:
                node.store_proxy.set_mode("reset")

        await self.restore(1.3, self.change_routes, during=leave_one)
        await asyncio.sleep(0.5)
        paused.signal(signal.SIGCONT)
        self.assertEqual((cut_off.store_proxy.mode, alone.store_proxy.mode), ("reset", "pass"))
        await asyncio.sleep(APPLY)
        await self.assert_changed(time.monotonic() + 1)
        await self.assert_taken_again()

    async def test_a_revoked_key_is_served_again(self):
        reads, has_only_peers = self.nodes[2:4]

        def configure(*keys):
            self.fleet.configure(self.routes, [self.fleet.organisation("acme", list(keys))])

        configure(KEPT_KEY, REVOKED_KEY)
        await asyncio.sleep(APPLY)
        await self.assert_statuses(0, "/s/x", 200, authorization(REVOKED_KEY))
        written = await self.restore(1.3, lambda: configure(KEPT_KEY), during=lambda: asyncio.gather(
            self.restart(reads), self.restart(has_only_peers, "silent")))
        # Keys are refused with 503 while no node has read the store for 2 s.
        await self.sleep_until(written + APPLY)
        await self.assert_never(await self.first_response() + 1, "/s/x", 200, authorization(REVOKED_KEY))
        await self.assert_statuses(time.monotonic() + 1, "/s/x", 401, authorization(REVOKED_KEY))
        await asyncio.gather(self.restart(reads), self.restart(has_only_peers, "silent"))  # After the return as well.
        await self.assert_statuses(time.monotonic() + 2, "/s/x", 401, authorization(REVOKED_KEY))
        await self.assert_statuses(0, "/s/x", 200, authorization(KEPT_KEY))

    async def test_an_evacuation_is_dropped_before_it_is_written_again(self):
        zone, has_only_peers = (self.nodes[1], self.nodes[3]), self.nodes[2]
        self.start_traffic()
        written = await self.restore(1.3, lambda: self.fleet.store.put("op/evacuate/b", b"{}"),
                                     during=lambda: self.restart(has_only_peers, "silent"))
        await self.sleep_until(await self.first_response() + EVACUATE_AGAIN - 0.3)
        self.fleet.store.put("op/evacuate/b", b"{}")
        await asyncio.sleep(1.5)
        for node in zone:
            self.assert_no_arrivals(node, written + DRAIN)
        self.assert_served()

    async def test_an_evacuation_holds_for_ever(self):
        zone = self.nodes[1], self.nodes[3]
        cut_off = self.nodes[2]
        self.fleet.store.put("op/evacuate/b", b"{}")
        self.start_traffic()
        await self.restore(1.3)
        cut_off.store_proxy.set_mode("reset")
        await asyncio.sleep(1)
        self.fleet.store.remove("op/evacuate/b")
        # Nodes prefer servers of their own zone, so the others leave.
        for node in self.nodes[0], cut_off:
            self.drain(node)
        await asyncio.sleep(APPLY)
        begin = time.monotonic()
        await self.assert_statuses(begin + 1.3, "/s/x", 200)
        for node in zone:
            self.assert_steady_arrivals(node, begin)
        self.assert_served()

    async def test_an_evacuation_that_is_not_written_again_holds_for_ever(self):
        zone = self.nodes[1], self.nodes[3]
        self.start_traffic()
        await self.restore(1.3, lambda: self.fleet.store.put("op/evacuate/b", b"{}"))
        await self.sleep_until(await self.first_response() + EVACUATE_AGAIN + APPLY)
        begin = time.monotonic()
        await asyncio.sleep(1)
        for node in zone:
            self.assert_steady_arrivals(node, begin)
        self.assert_served()

    async def test_a_replica_that_lags_in_the_old_era_reverts_the_configuration(self):
        lagging, restarted = self.nodes[1:3]
        replica = self.fleet.store.replica(f"{self.fleet.subnet}.9.10")
        await replica.start(7309)
        await self.restore(0.4)
        await self.first_response()
        await asyncio.sleep(0.1)
        self.lead_to(replica, lagging, restarted)
        self.change_routes()
        await asyncio.sleep(APPLY)
        await self.assert_changed(0)
        await self.restart(restarted)
        await self.assert_changed(time.monotonic() + 2)
        replica.server.close()

    async def test_an_era_that_cannot_be_read_is_used(self):
        self.start_traffic()
        self.fleet.store.change_head = lambda head: head.replace(b"Store-Era: 8\r\n", b"Store-Era: 8x\r\n")
        await self.restore(0.4)
        self.change_routes()
        await self.assert_statuses(time.monotonic() + APPLY, "/added/x", 404)
        self.assertTrue(any('"malformed_response"' in node.log_text() and "Store-Era" in node.log_text()
                            for node in self.nodes))
        self.fleet.store.change_head = bytes
        await asyncio.sleep(APPLY)
        await self.assert_changed(0)
        self.assert_served()


class StoreWithoutErasTest(RestoredStoreCase):
    era = None

    async def test_a_store_without_eras_is_not_followed(self):
        leaving = self.nodes[0]
        self.start_traffic()
        self.drain(leaving)
        self.fleet.configure(self.routes + [self.fleet.route("/added/", "safe", "one")])
        written = time.monotonic()
        await asyncio.sleep(APPLY)
        await self.assert_statuses(written + APPLY + 1, "/added/x", 200)
        self.assert_no_arrivals(leaving, written + DRAIN)
        self.assert_served()


if __name__ == "__main__":
    unittest.main()
