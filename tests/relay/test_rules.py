"""Tests each guarantee of the relay with real node processes and a simulated store and simulated backend servers.

Usage: test_rules.py PROGRAM [unittest arguments]"""

import asyncio
import os
import signal
import sys
import tempfile
import time
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from fleet import Announcer, Backend, Fleet, PORTS, Proxy  # noqa: E402

PROGRAM = sys.argv.pop(1) if len(sys.argv) > 1 else "build/bin/snipeweir-platform"


class FleetTest(unittest.IsolatedAsyncioTestCase):
    services = ["one", "one", "one", "two"]

    async def asyncSetUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.fleet = Fleet(PROGRAM, self.folder.name, self.services)
        await self.fleet.start(with_config=self.id().find("before_configuration") < 0)

    async def asyncTearDown(self):
        await self.fleet.stop()
        self.folder.cleanup()


class RuleTest(FleetTest):
    def backends(self, service="one"):
        return [node.backend for node in self.fleet.nodes if node.service == service]

    def runs(self, request_id):
        return sum(backend.started.count(request_id) for node in self.fleet.nodes for backend in [node.backend])

    def set_mode(self, mode, service="one"):
        for backend in self.backends(service):
            backend.mode = mode

    async def burst(self, count, path="/s/x", method="GET", **more):
        nodes = self.fleet.nodes
        return await asyncio.gather(
            *(self.fleet.send(nodes[i % len(nodes)], method, path, **more) for i in range(count)))

    async def burst_within_slots(self, count, usable_slots=8):
        """Sends the requests in bursts that one server can run without a queue. Larger ones are refused, rightly, when
        the simulated servers get too little processor time to run them in the time that they name."""
        responses = []
        while len(responses) < count:
            responses += await self.burst(min(usable_slots, count - len(responses)))
        return responses

    async def assert_no_arrivals_after_two_seconds(self, backend):
        await asyncio.sleep(2)
        end = time.monotonic()
        await self.burst(40)
        self.assertFalse([a for a in backend.arrivals if a[0] > end])

    # Responses to callers.

    async def test_requests_of_all_nodes_get_complete_responses(self):
        for response in await self.burst_within_slots(40):
            self.assertEqual((response.status, response.is_complete, response.body), (200, True, b"x" * 300))
            self.assertIn("server-seal", response.fields)

    async def test_at_most_once_request_with_a_lost_response_ran_once_and_is_not_reported_as_refused(self):
        self.set_mode("reset_after_run")
        for _ in range(6):
            request_id = self.fleet.new_id()
            response = await self.fleet.send(self.fleet.nodes[3], "POST", "/u/x", request_id=request_id)
            self.assertEqual(response.status, 502)
            self.assertEqual(self.runs(request_id), 1)

    async def test_at_most_once_request_at_a_killed_node_is_not_reported_as_refused(self):
        self.set_mode("hang")
        ids = [self.fleet.new_id() for _ in range(4)]
        sends = [asyncio.ensure_future(self.fleet.send(self.fleet.nodes[3], "POST", "/u/x", request_id=i)) for i in ids]
        await asyncio.sleep(0.4)
        for node in self.fleet.nodes[:3]:
            await node.kill()
        for request_id, response in zip(ids, await asyncio.gather(*sends)):
            self.assertEqual(self.runs(request_id), 1)
            self.assertIn(response.status, (502, 504))

    async def test_refused_at_most_once_requests_did_not_run(self):
        self.set_mode("shed")
        ids = [self.fleet.new_id() for _ in range(10)]
        responses = await asyncio.gather(*(
            self.fleet.send(self.fleet.nodes[3], "POST", "/u/x", request_id=i) for i in ids))
        for request_id, response in zip(ids, responses):
            self.assertEqual((response.status, self.runs(request_id)), (503, 0))
            self.assertIn("retry-after", response.fields)

    async def test_truncated_unsigned_or_encoded_responses_are_never_forwarded_as_success(self):
        for mode in ("cut", "no_seal", "encoded"):
            self.set_mode(mode)
            for path, method in (("/s/x", "GET"), ("/u/x", "POST")):
                response = await self.fleet.send(self.fleet.nodes[3], method, path)
                self.assertEqual(response.status, 502, mode)

    async def test_an_extra_response_never_reaches_another_request(self):
        self.set_mode("extra")
        for delay in (0, 0, 0.005, 0.02, 0.05, 0.1):
            for backend in self.backends():
                backend.repeat_delay = delay
            for response in await self.burst(12) + await self.burst(12, "/u/x", "POST"):
                self.assertIn(response.status, (200, 502))
                if response.status == 200:
                    self.assertEqual(response.body, b"x" * 300)

    async def test_a_failed_idempotent_request_is_retried_at_another_server_within_the_budget(self):
        self.backends()[0].mode = "reset_after_run"
        responses = [response for _ in range(4) for response in await self.burst(15)]  # 24 requests can run at once.
        served = sum(response.status == 200 for response in responses)
        arrivals = sum(len(backend.arrivals) for backend in self.backends())
        self.assertGreaterEqual(served, 55)
        self.assertLessEqual(arrivals - 60, 0.2 * 60 + 64)

    async def test_retries_stay_within_the_budget_while_every_server_fails(self):
        self.set_mode("error")
        for _ in range(10):
            await self.burst(40)
        arrivals = sum(len(backend.arrivals) for backend in self.backends())
        self.assertLessEqual(arrivals - 400, 0.2 * 400 + 64)

    async def test_no_server_gets_a_deadline_later_than_the_callers(self):
        await self.burst(8, deadline=700)
        for backend in self.backends():
            for _, _, _, fields in backend.arrivals:
                self.assertLessEqual(int(fields["deadline-ms"]), 700)

    async def test_the_routes_timeout_ends_a_request(self):
        self.fleet.configure([self.fleet.route("/s/", "safe", "one", "600ms")])
        await asyncio.sleep(1.5)
        self.set_mode("hang")
        start = time.monotonic()
        response = await self.fleet.send(self.fleet.nodes[3], "GET", "/s/x", deadline=3000)
        self.assertEqual(response.status, 504)
        self.assertLess(time.monotonic() - start, 0.85)

    async def test_a_disconnected_caller_cancels_its_request(self):
        self.set_mode("hang")
        request_id = self.fleet.new_id()
        await self.fleet.send(self.fleet.nodes[3], "GET", "/s/x", request_id=request_id, disconnect_after=0.15)
        left = time.monotonic()
        await asyncio.sleep(0.5)
        aborted = [at for backend in self.backends() for at, i in backend.aborted_runs if i == request_id]
        self.assertTrue(aborted)
        self.assertLess(max(aborted) - left, 0.5)

    async def test_the_callers_service_is_set_by_the_node(self):
        await self.fleet.send(self.fleet.nodes[3], "GET", "/s/x", fields="Caller-Service: forged\r\n")
        seen = {fields["caller-service"] for b in self.backends() for _, _, _, fields in b.arrivals}
        self.assertEqual(seen, {"two"})

    async def test_ambiguous_requests_are_rejected_and_reach_no_server(self):
        response = await self.fleet.send(self.fleet.nodes[0], "POST", "/u/x", fields="Transfer-Encoding: chunked\r\n",
                                      body=b"0\r\n\r\nGET /s/smuggled HTTP/1.1\r\n\r\n")
        self.assertTrue(response is None or response.status == 400)
        self.assertEqual(sum(len(backend.arrivals) for backend in self.backends()), 0)

    async def test_bodies_beyond_the_memory_limit_are_refused_and_others_served(self):
        self.fleet.max_body = 64 << 20
        self.fleet.configure([self.fleet.route("/s/", "safe", "one"), self.fleet.route("/u/", "unsafe", "one")])
        await asyncio.sleep(2)
        node = self.fleet.nodes[0]
        request = (f"POST /u/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: large\r\nDeadline-Ms: 2000\r\n"
                   f"Content-Length: {60 << 20}\r\n\r\nbegin").encode()
        _, first = await asyncio.open_connection(node.ip, PORTS["callers"])
        first.write(request)
        await asyncio.sleep(0.2)
        reader, second = await asyncio.open_connection(node.ip, PORTS["callers"])
        second.write(request)
        self.assertIn(b" 503 ", await asyncio.wait_for(reader.readline(), 1))
        self.assertEqual((await self.fleet.send(node, "POST", "/u/x", body=b"small")).status, 200)
        first.close()
        second.close()
        await asyncio.sleep(0.2)
        reader, third = await asyncio.open_connection(node.ip, PORTS["callers"])
        third.write(request)
        with self.assertRaises(asyncio.TimeoutError):
            await asyncio.wait_for(reader.readline(), 0.5)
        third.close()
        self.assertEqual(self.runs("large"), 0)

    # Configuration, draining and evacuation.

    async def test_before_configuration_requests_are_refused_as_unavailable(self):
        response = await self.fleet.send(self.fleet.nodes[0], "GET", "/s/x")
        self.assertEqual(response.status, 503)
        self.assertFalse(await self.fleet.nodes[0].is_ready())

    async def test_a_new_configuration_is_in_force_everywhere_within_two_seconds_and_never_reverts(self):
        self.assertEqual((await self.fleet.send(self.fleet.nodes[0], "GET", "/n/x")).status, 404)
        self.fleet.configure([self.fleet.route("/n/", "safe", "two")])
        await asyncio.sleep(2)
        for _ in range(5):
            for response in await self.burst(8, "/n/x"):
                self.assertEqual(response.status, 200)
            for response in await self.burst(4, "/s/x"):
                self.assertEqual(response.status, 404)

    async def test_a_draining_server_gets_no_requests_after_two_seconds(self):
        leaving = self.fleet.nodes[0]
        self.fleet.register(leaving, "draining")
        await self.assert_no_arrivals_after_two_seconds(leaving.backend)

    async def test_a_server_whose_entry_is_removed_gets_no_requests_after_two_seconds(self):
        leaving = self.fleet.nodes[1]
        self.fleet.store.remove(f"servers/{leaving.backend.instance}")
        await self.assert_no_arrivals_after_two_seconds(leaving.backend)

    async def test_a_change_is_in_force_within_two_seconds_of_a_history_compaction(self):
        leaving = self.fleet.nodes[0]
        self.fleet.register(leaving, "draining")
        self.fleet.store.compact_history()
        await self.assert_no_arrivals_after_two_seconds(leaving.backend)

    async def test_a_change_is_in_force_within_two_seconds_after_connections_to_the_store_went_silent(self):
        for node in self.fleet.nodes:
            node.store_proxy.set_mode("silent")
        await asyncio.sleep(1.2)
        for node in self.fleet.nodes:
            node.store_proxy.set_mode("pass")
        leaving = self.fleet.nodes[0]
        self.fleet.register(leaving, "draining")
        await self.assert_no_arrivals_after_two_seconds(leaving.backend)

    async def test_a_change_is_in_force_within_two_seconds_while_pages_of_the_store_arrive_slowly(self):
        self.fleet.store.page_time = 1.5  # As a page of 1 MB over a link of 5 Mbit/s.
        await asyncio.sleep(6)  # Until a read of all entries has begun.
        for leaving in self.fleet.nodes[:2]:
            self.fleet.register(leaving, "draining")
            await self.assert_no_arrivals_after_two_seconds(leaving.backend)
            self.fleet.register(leaving)
            await asyncio.sleep(1.3)

    async def test_nodes_start_while_pages_of_the_store_arrive_slowly(self):
        self.fleet.store.page_time = 1.5
        await asyncio.gather(*(node.kill() for node in self.fleet.nodes))
        for node in self.fleet.nodes:
            await node.start_process()
        await self.fleet.wait_ready(8)

    async def test_an_idle_fleet_calls_the_store_at_most_twice_a_second(self):
        await asyncio.sleep(3)  # Nodes that have just started read the store more often.
        before = self.fleet.store.request_count
        await asyncio.sleep(5)
        self.assertLessEqual(self.fleet.store.request_count - before, 10)

    async def test_an_evacuated_data_centre_gets_no_requests_and_comes_back(self):
        self.fleet.store.put("op/evacuate/a", b"{}")
        await asyncio.sleep(2)
        end = time.monotonic()
        for response in await self.burst_within_slots(20):
            self.assertEqual(response.status, 200)
        in_a = [n.backend for n in self.fleet.nodes if n.zone == "a"]
        self.assertFalse([a for backend in in_a for a in backend.arrivals if a[0] > end])
        self.fleet.store.remove("op/evacuate/a")
        await asyncio.sleep(2)
        await self.burst(40)
        self.assertTrue([a for backend in in_a for a in backend.arrivals if a[0] > end])

    async def test_a_reused_address_never_runs_a_request_of_its_old_service(self):
        node = self.fleet.nodes[0]
        node.backend.instance = "i-other"
        responses = await self.burst(20)
        self.assertEqual(node.backend.arrivals, [])
        self.assertGreaterEqual(sum(response.status == 200 for response in responses), 15)

    # Planned stops, settings reloads, cold servers, and an unavailable store or node.

    async def test_a_planned_stop_interrupts_no_request(self):
        for backend in self.backends():
            backend.service_time = 1.0
        sends = [asyncio.ensure_future(self.fleet.send(node, "POST", "/u/x", deadline=4000))
                 for node in self.fleet.nodes for _ in range(3)]
        await asyncio.sleep(0.3)
        self.fleet.nodes[0].signal(signal.SIGTERM)
        self.fleet.nodes[3].signal(signal.SIGTERM)
        await asyncio.sleep(0.1)
        self.assertFalse(await self.fleet.nodes[0].is_ready())
        for response in await asyncio.gather(*sends):
            self.assertEqual(response.status, 200)
        for node in (self.fleet.nodes[0], self.fleet.nodes[3]):
            self.assertEqual(await asyncio.wait_for(node.process.wait(), 6), 0)

    async def test_a_reload_with_faulty_settings_leaves_the_node_serving(self):
        node = self.fleet.nodes[0]
        path = os.path.join(self.folder.name, "node-0.json")
        for text in ("not json", "{}"):
            with open(path, "w") as file:
                file.write(text)
            node.signal(signal.SIGHUP)
            await asyncio.sleep(0.3)
            self.assertEqual((await self.fleet.send(node, "GET", "/s/x")).status, 200)

    async def test_requests_carry_the_service_before_a_change_of_the_settings(self):
        # The address of a server that has ended goes to a server of another service.
        node = self.fleet.nodes[0]
        self.fleet.configure([self.fleet.route("/s/", "safe", "one"), self.fleet.route("/t/", "safe", "two")])
        self.fleet.register(node, "draining")
        await asyncio.sleep(1)
        self.fleet.store.remove(f"servers/{node.backend.instance}")
        await node.backend.stop()
        node.backend_proxy.reset_all()
        await asyncio.sleep(1)
        born = node.backend.born + 60_000
        node.service, node.backend = "two", Backend("i-new", "two")
        node.backend.born = born
        await node.backend.start(node.ip, PORTS["backend"] + 100)
        self.fleet.register(node)
        node.write_settings()
        node.signal(signal.SIGHUP)
        await asyncio.sleep(2)
        begin = time.monotonic()
        responses = [await self.fleet.send(node, "GET", "/s/x") for _ in range(10)]
        responses += [await self.fleet.send(other, "GET", "/t/x") for other in self.fleet.nodes for _ in range(8)]
        self.assertEqual({response.status for response in responses}, {200})
        services = {fields["caller-service"] for other in self.fleet.nodes if other is not node
                    for at, _, line, fields in other.backend.arrivals if at > begin and "/s/x" in line}
        self.assertEqual(services, {"two"})
        self.assertGreater(len(node.backend.arrivals), 0)

    async def test_nodes_stay_at_the_store_before_a_change_of_the_settings(self):
        proxies = []
        for node in self.fleet.nodes:
            node.store_port += 50
            proxies.append(Proxy((self.fleet.store.ip, node.store_port), (self.fleet.store.ip, 7309)))
            await proxies[-1].start()
            node.store_proxy.set_mode("reset")
            node.write_settings()
            node.signal(signal.SIGHUP)
        self.fleet.configure([self.fleet.route("/new/", "safe", "one")])
        await asyncio.sleep(3)
        for node in self.fleet.nodes:
            self.assertEqual((await self.fleet.send(node, "GET", "/new/x")).status, 200)
        for proxy in proxies:
            await proxy.stop()

    async def test_settings_that_change_without_a_signal_are_in_force_within_two_seconds(self):
        node = self.fleet.nodes[0]
        path = os.path.join(self.folder.name, "node-0.json")
        with open(path, "a") as file:
            file.write("\n")
        await asyncio.sleep(2)
        with open(os.path.join(self.folder.name, "node-0.log")) as log:
            self.assertEqual(log.read().count('"event":"reload"'), 1)
        self.assertEqual((await self.fleet.send(node, "GET", "/s/x")).status, 200)

    async def test_a_cold_server_stays_within_its_request_rate(self):
        for backend in self.backends():
            backend.cold_until = time.monotonic() + 4
        await asyncio.sleep(0.4)
        for _ in range(8):
            await self.burst(30)
        for backend in self.backends():
            times = [a[0] for a in backend.arrivals]
            for first in times:
                self.assertLessEqual(sum(first <= t < first + 1 for t in times), 11 * 1.5 + 5)

    async def test_requests_are_served_while_the_store_is_silent(self):
        self.fleet.store.mode = "silent"
        await asyncio.sleep(4)
        for response in await self.burst_within_slots(20):
            self.assertEqual(response.status, 200)

    async def test_a_node_rejected_by_the_store_gets_documents_from_other_nodes(self):
        node = self.fleet.nodes[2]
        node.store_proxy.set_mode("reset")
        await node.kill()
        await node.start_process()
        await self.fleet.wait_ready(6)
        self.assertEqual((await self.fleet.send(node, "GET", "/s/x")).status, 200)

    async def test_a_starting_node_gets_the_documents_from_a_seed_before_its_server_is_registered(self):
        node = self.fleet.nodes[2]
        await node.kill()
        self.fleet.store.remove(f"servers/{node.backend.instance}")
        node.store_proxy.set_mode("reset")
        node.seeds = [self.fleet.nodes[0], node]
        await asyncio.sleep(1.5)  # Until the other nodes have dropped it from their views.
        await node.start_process()
        end = time.monotonic() + 1.5
        while time.monotonic() < end and not await node.is_ready():
            await asyncio.sleep(0.05)
        self.assertEqual((await self.fleet.send(node, "GET", "/s/x")).status, 200)
        # It also receives later changes.
        self.fleet.configure([self.fleet.route("/n/", "safe", "two")])
        await asyncio.sleep(2)
        self.assertEqual((await self.fleet.send(node, "GET", "/n/x")).status, 200)

    async def test_a_fetched_document_does_not_count_as_newer_than_its_announcer_read_it(self):
        node = self.fleet.nodes[2]
        announcer = Announcer(f"{self.fleet.subnet}.0.100", self.fleet.store)
        await announcer.start()
        for other in self.fleet.nodes:
            other.store_proxy.set_mode("reset")
        await asyncio.sleep(1)
        self.fleet.store.remove(f"servers/{self.fleet.nodes[0].backend.instance}")
        announcer.read()
        announcer.announce(node, 900)
        await asyncio.sleep(0.2)
        backends = await self.fleet.metric(node, "snipeweir_backends")
        age = await self.fleet.metric(node, "snipeweir_view_age_milliseconds")
        await announcer.stop()
        self.assertEqual(backends, 3)
        self.assertGreaterEqual(age, 900)

    async def test_requests_are_served_after_all_nodes_restart_at_once(self):
        await asyncio.gather(*(node.kill() for node in self.fleet.nodes))
        for node in self.fleet.nodes:
            await node.start_process()
        await self.fleet.wait_ready(6)
        await asyncio.sleep(0.5)
        responses = await self.burst(20)
        self.assertGreaterEqual(sum(response.status == 200 for response in responses), 18)

    async def test_silent_connections_are_replaced(self):
        await self.burst(20)
        for node in self.fleet.nodes[:2]:
            node.backend_proxy.set_mode("silent")
        await asyncio.sleep(0.1)
        await self.burst(6, deadline=1000)
        for node in self.fleet.nodes[:2]:
            node.backend_proxy.set_mode("pass")
        await asyncio.sleep(2.5)
        responses = await self.burst(20)
        self.assertGreaterEqual(sum(response.status == 200 for response in responses), 19)

    async def test_a_suspended_node_runs_nothing_whose_deadline_has_passed(self):
        for node in self.fleet.nodes[:3]:
            node.signal(signal.SIGSTOP)
        ids = [self.fleet.new_id() for _ in range(4)]
        await asyncio.gather(*(self.fleet.send(self.fleet.nodes[3], "POST", "/u/x", deadline=500, request_id=i)
                               for i in ids))
        # Nodes log suspensions of 1 s or more, and measure them short by up to one health check interval.
        await asyncio.sleep(2)
        before = [self.runs(i) for i in ids]
        for node in self.fleet.nodes[:3]:
            node.signal(signal.SIGCONT)
        await asyncio.sleep(1)
        self.assertEqual([self.runs(i) for i in ids], before)
        self.assertEqual(sum(before), 0)
        with open(os.path.join(self.folder.name, "node-0.log")) as log:
            self.assertEqual(log.read().count('"event":"suspended"'), 1)

    async def test_a_suspension_during_a_health_check_is_noticed(self):
        suspended = self.fleet.nodes[:3]
        for node in suspended:
            node.backend.health_delay = 0.3  # Most of the time a health check is under way.
        await asyncio.sleep(0.5)
        for node in suspended:
            node.signal(signal.SIGSTOP)
        await asyncio.sleep(2)
        for node in suspended:
            node.signal(signal.SIGCONT)
        await asyncio.sleep(1)
        for node in suspended:
            with open(os.path.join(self.folder.name, f"node-{node.index}.log")) as log:
                self.assertEqual(log.read().count('"event":"suspended"'), 1)


class LargeFleetTest(FleetTest):
    """Tests a fleet with more nodes than fetch a document from the announcer, so that the tree has several levels."""

    services = ["one"] * 13 + ["two"]

    async def test_a_configuration_reaches_the_nodes_of_every_level_within_two_seconds(self):
        for prefix in ("/a/", "/b/"):
            self.fleet.configure([self.fleet.route(prefix, "safe", "two")])
            await asyncio.sleep(2)
            for node in self.fleet.nodes:
                self.assertEqual((await self.fleet.send(node, "GET", prefix + "x")).status, 200)
        for node in self.fleet.nodes:
            self.assertIsNone(node.process.returncode)

    async def test_a_configuration_is_in_force_within_two_seconds_while_inner_nodes_of_the_tree_are_suspended(self):
        # Stop each half in turn, since the node from which most others fetch is in one of them.
        for prefix, stopped in (("/a/", self.fleet.nodes[:7]), ("/b/", self.fleet.nodes[7:13])):
            for node in stopped:
                node.signal(signal.SIGSTOP)
            await asyncio.sleep(2.5)  # Until another node has taken over reading the store.
            self.fleet.configure([self.fleet.route(prefix, "safe", "two")])
            await asyncio.sleep(2)
            others = [node for node in self.fleet.nodes if node not in stopped]
            responses = await asyncio.gather(*(self.fleet.send(node, "GET", f"{prefix}x") for node in others))
            for node in stopped:
                node.signal(signal.SIGCONT)
            self.assertNotIn(404, [response.status for response in responses])
            await asyncio.sleep(2)


if __name__ == "__main__":
    unittest.main()
