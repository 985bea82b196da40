"""Tests which servers get requests after the store was restored from an older copy, with real node processes.

Usage: test_restored_store.py PROGRAM [unittest arguments]"""

import asyncio
import os
import signal
import sys
import time
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from restored_store import APPLY, DRAIN, RETURN, RestoredStoreCase  # noqa: E402

RestoredStoreCase.program = sys.argv.pop(1) if len(sys.argv) > 1 else "build/bin/snipeweir-platform"


class RestoredStoreTest(RestoredStoreCase):
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

    async def assert_stay_gone(self, written, *servers):
        """Checks that servers that have left get no requests, and that no request has failed."""
        for server in servers:
            self.assert_no_arrivals(server, written + DRAIN)
        self.assert_served()

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
        await self.restore(7.5, lambda: self.fleet.configure(routes), written_at=3.75)
        self.fleet.configure(routes + [self.fleet.route("/added/", "safe", "one")])
        await self.assert_route_served("/added/x")

    async def test_a_running_server_that_the_copy_does_not_have_is_dropped(self):
        same, higher = self.nodes[:2]
        self.silent |= {same, higher}
        self.start_traffic()
        await asyncio.sleep(0.3)
        begin = time.monotonic()
        await self.restore(1.3, lacks=[same, higher])
        await asyncio.sleep(1.8)
        self.write_again(same)  # The other one is written with a higher sequence number.
        self.silent.clear()
        self.fleet.register(higher)
        await asyncio.sleep(2)
        self.assert_steady_arrivals(same, begin)
        self.assert_steady_arrivals(higher, begin)
        self.assert_served()

    async def test_a_server_that_left_before_the_store_was_restored_gets_requests_again(self):
        removed, drained, _, has_only_peers, reads = self.nodes
        self.start_traffic()

        def leave():
            self.remove(removed)
            self.drain(drained)

        async def restart():
            await asyncio.gather(self.restart(reads), self.restart(has_only_peers, "silent"))

        written = await self.restore(1.3, leave, during=restart)
        await asyncio.sleep(4)
        await self.assert_stay_gone(written, removed, drained)

    async def test_a_server_that_left_gets_requests_from_a_node_that_starts_after_the_return(self):
        removed, drained, _, has_only_peers, reads = self.nodes
        self.start_traffic()

        def leave():
            self.remove(removed)
            self.drain(drained)

        written = await self.restore(1.3, leave)
        await self.first_response()
        await asyncio.gather(self.restart(reads), self.restart(has_only_peers, "silent"))
        await asyncio.sleep(3)
        await self.assert_stay_gone(written, removed, drained)

    async def test_a_server_that_is_never_written_again_keeps_its_requests(self):
        missing, cut_off = self.nodes[0], self.nodes[3]
        self.silent.add(missing)
        self.start_traffic()
        await self.restore(1.3, lacks=[missing])
        cut_off.store_proxy.set_mode("reset")
        end = await self.first_response() + RETURN + DRAIN
        await self.sleep_until(end + 1.5)
        self.assert_no_arrivals(missing, end)
        self.assert_served()

    async def test_the_incarnation_before_counts_again(self):
        started, ended = self.nodes[:2]
        self.drain(started)  # Its entry in the copy.
        self.silent.add(ended)
        self.start_traffic()
        await asyncio.sleep(0.3)

        def start_anew():
            for node, state in (started, "ready"), (ended, "draining"):
                node.backend.born += 1000
                node.backend.sequence = 0
                node.backend.has_drained = False
                self.fleet.register(node, state)

        written = await self.restore(1.3, start_anew)
        await asyncio.sleep(1.8)
        self.write_again(started)
        await asyncio.sleep(1.5)
        self.assert_steady_arrivals(started, written + 0.5)
        await self.assert_stay_gone(written, ended)

    async def test_a_server_that_says_that_it_leaves_gets_requests_since_its_entry_says_ready(self):
        leaving = self.nodes[0]
        self.start_traffic()
        said = []

        async def say():
            await asyncio.sleep(0.6)
            leaving.backend.is_leaving = True
            said.append(time.monotonic())

        await self.restore(1.3, during=say)
        await asyncio.sleep(4)
        # All nodes pass on a response that says so within the first 0.5 s.
        self.assert_no_arrivals(leaving, said[0] + 0.5 + DRAIN)
        self.assert_served()

    async def test_a_server_comes_back_when_the_store_is_restored_twice(self):
        removed, drained = self.nodes[:2]
        self.start_traffic()

        def leave():
            self.remove(removed)
            self.drain(drained)

        written = await self.restore(1.3, leave)
        await asyncio.sleep(1)
        await self.fleet.store.restore_copy(0.5)
        await asyncio.sleep(3)
        await self.assert_stay_gone(written, removed, drained)

    async def test_a_server_comes_back_when_a_single_revision_was_lost(self):
        removed = self.nodes[0]
        self.silent |= set(self.nodes)
        self.start_traffic()
        await asyncio.sleep(0.5)
        revision = self.fleet.store.revision
        written = await self.restore(1.3, lambda: self.remove(removed))
        self.assertEqual(self.fleet.store.revision, revision)
        self.fleet.register(self.nodes[1])  # Gets the revision that the removal had.
        await asyncio.sleep(3.5)
        await self.assert_stay_gone(written, removed)

    async def test_a_server_comes_back_when_hundreds_of_revisions_were_lost(self):
        removed, drained, other, *_ = self.nodes
        self.start_traffic()

        def write():
            for i in range(200):
                self.fleet.register(other)
                if i == 100:
                    self.remove(removed)
                    self.drain(drained)

        written = await self.restore(1.3, write)
        await asyncio.sleep(4)
        await self.assert_stay_gone(written, removed, drained)

    async def test_a_server_gets_requests_from_a_node_that_was_apart(self):
        removed, cut_off, paused, restarted, _ = self.nodes
        self.start_traffic()
        cut_off.store_proxy.set_mode("silent")
        self.unavailable.add(paused)
        await asyncio.sleep(0.2)
        paused.signal(signal.SIGSTOP)
        written = await self.restore(1.3, lambda: self.remove(removed), during=lambda: self.restart(restarted))
        await asyncio.sleep(1)
        paused.signal(signal.SIGCONT)
        resumed = time.monotonic()
        await asyncio.sleep(DRAIN)
        self.unavailable.discard(paused)
        await self.sleep_until(resumed + DRAIN + 1.5)
        await self.assert_stay_gone(written, removed)

    async def test_a_server_comes_back_when_a_single_node_reaches_the_store(self):
        removed, running, *_ = self.nodes
        self.start_traffic()

        async def cut_off():
            for node in self.nodes[:4]:
                node.store_proxy.set_mode("reset")

        self.silent.add(running)
        begin = time.monotonic()
        written = await self.restore(1.3, lambda: self.remove(removed), lacks=[running], during=cut_off)
        await asyncio.sleep(1.8)
        self.write_again(running)
        await asyncio.sleep(2.5)
        self.assert_steady_arrivals(running, begin + 0.5)
        await self.assert_stay_gone(written, removed)

    async def test_a_replica_that_lags_in_the_old_era_brings_a_server_back(self):
        removed, drained, lagging, restarted, _ = self.nodes
        self.start_traffic()
        replica = self.fleet.store.replica(f"{self.fleet.subnet}.9.10")
        await replica.start(7309)

        def leave():
            self.remove(removed)
            self.drain(drained)

        written = await self.restore(1.3, leave)
        await self.first_response()
        await asyncio.sleep(0.1)
        self.lead_to(replica, lagging, restarted)
        await self.restart(restarted)
        await asyncio.sleep(3)
        replica.server.close()
        await self.assert_stay_gone(written, removed, drained)

    async def test_an_evacuated_server_gets_requests_after_the_return(self):
        self.start_traffic()
        self.fleet.store.put("op/evacuate/b", b"{}")
        evacuated = time.monotonic()
        removed = self.nodes[0]
        written = await self.restore(1.3, lambda: self.remove(removed))
        await asyncio.sleep(3.5)
        for node in self.nodes[1], self.nodes[3]:
            self.assert_no_arrivals(node, evacuated + DRAIN)
        await self.assert_stay_gone(written, removed)

    async def test_requests_fail_or_go_astray_in_a_rolling_stop(self):
        first, second, third, *_ = self.nodes
        self.start_traffic()
        left = {}

        async def leave(node, go):
            go(node)
            left[node] = time.monotonic()
            await asyncio.sleep(0.4)
            self.fleet.store.remove(self.key(node))
            await self.stop_node(node)

        async def say_and_stop():
            second.backend.is_leaving = True
            self.silent.add(second)
            await asyncio.sleep(0.4)
            left[second] = time.monotonic()
            await self.stop_node(second)

        self.fleet.store.save_copy()
        await leave(first, self.drain)
        await asyncio.sleep(0.6)
        await asyncio.gather(self.fleet.store.restore_copy(1.3), say_and_stop())
        await asyncio.sleep(0.2)
        await leave(third, self.drain)
        await asyncio.sleep(DRAIN + 1.5)
        for node, time_ in left.items():
            self.assert_no_arrivals(node, time_ + DRAIN)
        self.assert_served()


if __name__ == "__main__":
    unittest.main()
