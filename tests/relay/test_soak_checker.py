"""Tests that each check of the soak test detects a violation, using fake nodes that record or send what a faulty node
would.

Usage: test_soak_checker.py [unittest arguments]"""

import asyncio
import os
import random
import socket
import sys
import time
import types
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import soak as soak_module  # noqa: E402
from fleet import Backend, PORTS, Response, Store, claim_subnet  # noqa: E402


class FakeProcess:
    def __init__(self, code, seconds=0.0):
        self.code, self.seconds, self.pid, self.returncode = code, seconds, 1, None

    async def wait(self):
        await asyncio.sleep(self.seconds)
        return self.code


class FakeNode:
    def __init__(self, index):
        self.index, self.zone, self.ip = index, "a", "127.0.0.1"
        self.backend = Backend(f"i-{index}", "one")
        self.process = FakeProcess(0)

    def signal(self, _):
        pass

    async def kill(self):
        pass

    async def start_process(self):
        pass


class FakeFleet:
    def __init__(self):
        self.nodes = [FakeNode(0), FakeNode(1)]
        self.store = Store("127.0.0.1")
        self.responses = []
        self.count = 0

    def register(self, *_):
        pass

    @staticmethod
    def route(prefix, *_):
        return prefix

    def configure(self, routes):
        self.store.put("op/config", " ".join(routes).encode())

    def new_id(self):
        self.count += 1
        return f"id{self.count:08d}"

    async def send(self, *_, **__):
        return self.responses.pop(0) if self.responses else None

    async def wait_ready(self, _):
        pass


class CheckerTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.fleet = FakeFleet()
        self.soak = soak_module.Soak(self.fleet, 1, 10)
        self.soak.start = time.monotonic()
        self.soak.end = self.soak.start + 10
        self.node = self.fleet.nodes[0]

    def assertViolation(self, text):
        self.assertEqual(len(self.soak.violations), 1, self.soak.violations)
        self.assertIn(text, self.soak.violations[0])

    def ran(self, node, request_id):
        node.backend.started.append(request_id)
        node.backend.arrivals.append((time.monotonic(), request_id, "POST /u/x HTTP/1.1", {}))

    async def ask(self, response):
        """Sends one request to a server that returns this response, in which {id} is replaced by the request's id."""

        async def serve(reader, writer):
            head = await soak_module.read_head(reader)
            writer.write(response.replace("{id}", head[1]["request-id"]).encode())

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        reader, writer = await asyncio.open_connection(*server.sockets[0].getsockname())
        await self.soak.one_request(random.Random(5), reader, writer, self.node)
        writer.close()
        server.close()

    async def test_a_correct_run_violates_nothing(self):
        self.soak.requests = 2
        self.ran(self.node, "x")
        self.soak.responses = [("x", True, 502), ("y", True, 503)]
        self.soak.check_runs()
        body = "{id}" * 20
        await self.ask(f"HTTP/1.1 200 X\r\nRequest-Id: {{id}}\r\nServer-Seal: s\r\nContent-Length: 200\r\n\r\n{body}")
        self.assertEqual(self.soak.violations, [])

    async def test_a_refusal_of_a_request_that_ran(self):
        self.soak.requests = 1
        self.ran(self.node, "x")
        self.soak.responses = [("x", True, 503)]
        self.soak.check_runs()
        self.assertViolation("was refused with 503 but ran")

    async def test_a_second_run_of_an_at_most_once_request(self):
        self.soak.requests = 2
        for node in self.fleet.nodes:
            self.ran(node, "x")
        self.soak.check_runs()
        self.assertViolation("ran 2 times")

    async def test_retries_beyond_the_budget(self):
        self.soak.requests = 100
        for number in range(200):
            self.node.backend.arrivals.append((0.0, f"s{number}", "GET /s/x HTTP/1.1", {}))
        self.soak.check_runs()
        self.assertViolation("exceed the retry budget")

    async def test_the_response_of_another_request(self):
        await self.ask("HTTP/1.1 500 X\r\nRequest-Id: other\r\nContent-Length: 0\r\n\r\n")
        self.assertViolation("got the answer of other")

    async def test_a_success_with_an_incomplete_or_foreign_response(self):
        await self.ask("HTTP/1.1 200 X\r\nRequest-Id: {id}\r\nServer-Seal: s\r\nContent-Length: 3\r\n\r\nabc")
        self.assertViolation("without its server's complete answer")

    async def test_requests_at_a_server_taken_out_of_service(self):
        for step, bound in (("drain", "DRAIN"), ("evacuate", "EVACUATE")):
            self.soak.violations.clear()
            self.node.backend.arrivals.clear()
            saved = getattr(soak_module, bound)
            setattr(soak_module, bound, 0.1)
            task = asyncio.ensure_future(getattr(self.soak, step)(self.node))
            await asyncio.sleep(0.5)
            self.ran(self.node, "late")
            await task
            setattr(soak_module, bound, saved)
            self.assertViolation("after it was taken out of service")

    async def test_a_cold_server_that_exceeds_its_rate(self):
        task = asyncio.ensure_future(self.soak.cold(self.node))
        await asyncio.sleep(0.6)
        for number in range(30):
            self.ran(self.node, f"c{number}")
        await task
        self.assertViolation("while cold")

    async def test_requests_at_a_server_that_said_that_it_leaves(self):
        saved, soak_module.DRAIN = soak_module.DRAIN, 0.1
        self.soak.random = types.SimpleNamespace(choice=lambda options: options[0])
        task = asyncio.ensure_future(self.soak.leave(self.node))
        await asyncio.sleep(0.6)
        self.assertTrue(self.node.backend.is_leaving)
        self.ran(self.node, "late")
        await task
        soak_module.DRAIN = saved
        self.assertViolation("after it said that it leaves")

    async def test_a_server_that_gets_more_requests_than_its_rate_limit(self):
        saved = soak_module.LIMIT_SETTLE, soak_module.LIMIT_WINDOW
        soak_module.LIMIT_SETTLE, soak_module.LIMIT_WINDOW = 0.1, 0.3
        self.soak.random = types.SimpleNamespace(choice=lambda options: options[-1])
        task = asyncio.ensure_future(self.soak.limit(self.node))
        await asyncio.sleep(0.2)
        limit = self.node.backend.rate_limit
        for number in range(int(1.5 * limit * 0.3 + 5) + 1):
            self.ran(self.node, f"l{number}")
        await task
        soak_module.LIMIT_SETTLE, soak_module.LIMIT_WINDOW = saved
        self.assertViolation("with a limit of")

    async def test_a_planned_stop_that_fails(self):
        self.node.process = FakeProcess(1)
        await self.soak.stop(self.node)
        self.assertViolation("exited with 1 after SIGTERM")

    async def test_a_planned_stop_that_takes_too_long(self):
        self.node.process = FakeProcess(0, 30)
        saved, soak_module.GRACE = soak_module.GRACE, 0.1
        await self.soak.stop(self.node)
        soak_module.GRACE = saved
        self.assertViolation("had not exited")

    async def test_a_route_that_is_forgotten(self):
        self.soak.routes = 1
        self.fleet.responses = [Response(200, {}, b"", True), Response(404, {}, b"", True)]
        self.soak.end = time.monotonic() + 0.8
        await self.soak.check_routes(self.node)
        self.assertViolation("answered 404 for route 1")

    async def test_a_return_to_an_earlier_configuration(self):
        self.soak.routes = 2
        self.fleet.responses = [Response(200, {}, b"", True), Response(404, {}, b"", True)]
        await self.soak.ask_for_route(self.node, 2)
        await self.soak.ask_for_route(self.node, 1)
        self.assertViolation("answered 404 for route 1 that it had served, or a later one")

    async def test_a_removed_route_that_comes_back(self):
        self.soak.routes, self.soak.removed_routes = 2, {1: 2}
        self.fleet.responses = [Response(status, {}, b"", True) for status in (404, 200, 404, 200)]
        for _ in range(3):
            await self.soak.ask_for_route(self.node, 1)
            self.assertEqual(self.soak.violations, [])
        await self.soak.ask_for_route(self.node, 1)
        self.assertViolation("served route 1 again after it had been removed")

    async def test_a_removed_route_that_comes_back_after_a_later_one_was_served(self):
        self.soak.routes, self.soak.removed_routes = 2, {1: 2}
        self.fleet.responses = [Response(200, {}, b"", True), Response(200, {}, b"", True)]
        await self.soak.ask_for_route(self.node, 2)
        await self.soak.ask_for_route(self.node, 1)
        self.assertViolation("served route 1 again after it had been removed")

    async def test_a_route_that_is_served_late(self):
        saved, soak_module.APPLY = soak_module.APPLY, 0.1
        self.fleet.responses = [Response(404, {}, b"", True), Response(200, {}, b"", True)]
        await self.soak.configure(self.node)
        soak_module.APPLY = saved
        self.assertViolation("node 0 answered 404 for route 1 0.1 s after it was added")

    async def test_a_server_that_gets_requests_after_its_entry_was_removed(self):
        saved, soak_module.DRAIN = soak_module.DRAIN, 0.1
        task = asyncio.ensure_future(self.soak.deregister(self.node))
        await asyncio.sleep(0.5)
        self.assertIn(self.node, self.soak.left)
        self.ran(self.node, "late")
        await task
        soak_module.DRAIN = saved
        self.assertNotIn(self.node, self.soak.left)
        self.assertViolation("after it was taken out of service")

    async def test_requests_at_a_drained_server_are_excused_by_faults_of_nodes_on_their_way_only(self):
        saved, soak_module.DRAIN = soak_module.DRAIN, 0.1
        other = self.fleet.nodes[1]
        for faulted, origin, is_excused in ((other, other, True), (other, self.node, False), (self.node, other, True)):
            self.soak.violations.clear()
            self.soak.faulted_until = {node.index: 0.0 for node in self.fleet.nodes}
            self.soak.mark_faulted(faulted)
            self.soak.origins = {"late": origin.index}
            task = asyncio.ensure_future(self.soak.drain(self.node))
            await asyncio.sleep(0.5)
            self.ran(self.node, "late")
            await task
            self.assertEqual(self.soak.violations == [], is_excused)
        soak_module.DRAIN = saved

    async def test_a_server_that_says_that_it_leaves_while_the_store_is_restored(self):
        saved, soak_module.DRAIN = soak_module.DRAIN, 0.1
        self.soak.random = types.SimpleNamespace(choice=lambda options: options[0], uniform=lambda low, _: low)
        self.fleet.store.save_copy()
        task = asyncio.ensure_future(self.soak.leave(self.node))
        await self.soak.restore_copy(time.monotonic())
        await asyncio.sleep(0.3)
        self.ran(self.node, "late")
        await task
        soak_module.DRAIN = saved
        self.assertViolation("after it said that it leaves")

    async def test_an_added_route_that_is_not_served_after_all_faults(self):
        saved, soak_module.APPLY = soak_module.APPLY, 0.1
        self.fleet.responses = [Response(200, {}, b"", True), Response(404, {}, b"", True)]
        await self.soak.check_added_route()
        soak_module.APPLY = saved
        self.assertViolation("after all faults node 1 answered 404 for an added route")

    async def test_requests_at_a_drained_server_after_all_faults(self):
        saved, soak_module.DRAIN = soak_module.DRAIN, 0.1

        async def send(*_):
            self.ran(self.node, "late")

        self.fleet.send = send
        await self.soak.check_drained_server()
        soak_module.DRAIN = saved
        self.assertViolation("after all faults 32 requests reached a drained server")

    async def test_what_the_simulated_store_loses_is_written_again(self):
        store = self.fleet.store
        self.soak.random = types.SimpleNamespace(uniform=lambda low, _: low)
        store.put("kept", b"1")
        store.put("removed", b"1")
        store.save_copy()
        store.put("changed", b"1")
        store.remove("removed")
        store.put("renewed", b"1")
        restore = asyncio.ensure_future(self.soak.restore_copy(time.monotonic()))
        await asyncio.sleep(0.1)
        store.put("written while away", b"1")
        await restore
        self.assertEqual((sorted(store.items), store.revision, store.era), (["kept", "removed"], 3, 1))
        store.put("renewed", b"2")
        await asyncio.gather(*self.soak.repeats)
        self.assertEqual(
            {key: value for key, (value, _) in store.items.items()},
            {"kept": b"1", "changed": b"1", "renewed": b"2", "written while away": b"1"})
        self.assertEqual(store.lost, {})

    async def test_a_process_that_ends_by_itself(self):
        self.soak.end = time.monotonic() + 0.2
        self.node.process.returncode = -6
        await self.soak.check_routes(self.node)
        self.assertViolation("ended by itself with -6")

    async def test_a_fleet_that_does_not_recover(self):
        await self.soak.recover()
        self.assertViolation("after all faults only 0 of 6")

    async def test_a_change_made_while_a_watch_of_the_simulated_store_ends_is_lost(self):
        store = Store("127.0.0.1")
        watch = asyncio.ensure_future(store.respond("/v1/kv-watch", {"prefix": "a", "after": "1", "waitMs": "1"}))
        await asyncio.sleep(0.005)
        store.put("a", b"x")
        _, first = await watch
        _, second = await store.respond(
            "/v1/kv-watch", {"prefix": "a", "after": str(first["atRev"]), "waitMs": "1"})
        self.assertEqual([event["key"] for event in first["events"] + second["events"]], ["a"])

    async def test_two_fleets_get_the_same_addresses(self):
        first, first_claim = claim_subnet()
        second, second_claim = claim_subnet()
        first_claim.close()
        second_claim.close()
        self.assertNotEqual(first, second)

    async def test_a_fleet_gets_the_addresses_of_a_node_that_outlived_its_test(self):
        subnet, claim = claim_subnet()
        with socket.create_server((f"{subnet}.0.1", PORTS["callers"])):
            claim.close()
            other, claim = claim_subnet()
            claim.close()
        self.assertNotEqual(subnet, other)

    async def test_a_node_outlives_a_test_that_is_killed(self):
        folder = os.path.dirname(os.path.abspath(__file__))
        child = "import time; print('started', flush=True); time.sleep(60)"
        parent = (f"import subprocess, sys; sys.path.insert(0, {folder!r}); from fleet import end_with_parent; "
                  f"subprocess.run([sys.executable, '-c', {child!r}], preexec_fn=end_with_parent)")
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-c", parent, stdout=asyncio.subprocess.PIPE)
        self.assertEqual(await process.stdout.readline(), b"started\n")
        process.kill()
        # The child holds the other end of the pipe as long as it runs.
        self.assertEqual(await asyncio.wait_for(process.stdout.read(), 5), b"")


if __name__ == "__main__":
    unittest.main()
