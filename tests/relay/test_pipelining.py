"""Tests with real node processes what callers get that send requests before the response to an earlier one.

Usage: test_pipelining.py PROGRAM [unittest arguments]"""

import asyncio
import os
import random
import signal
import sys
import tempfile
import time
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from fleet import Fleet, PORTS, read_head  # noqa: E402

PROGRAM = sys.argv.pop(1) if len(sys.argv) > 1 else "build/bin/snipeweir-platform"
MAX_IN_PROGRESS = 8


class PipelinedCaller:
    """A caller's connection on which requests are sent without waiting for responses."""

    def __init__(self, fleet, node):
        self.fleet, self.node = fleet, node

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection(self.node.ip, PORTS["callers"])
        return self

    def send(self, method="GET", path="/s/x", fields="", deadline=4000, body=b""):
        """Returns the request's id."""
        request_id = self.fleet.new_id()
        length = f"Content-Length: {len(body)}\r\n" if body else ""
        self.writer.write((f"{method} {path} HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {request_id}\r\n"
                           f"Deadline-Ms: {deadline}\r\n{length}{fields}\r\n").encode() + body)
        return request_id

    async def receive(self):
        """Returns (status, fields, body) of the next response, or None if the connection has ended."""
        head = await asyncio.wait_for(read_head(self.reader), 8)
        if not head:
            return None
        body = await self.reader.readexactly(int(head[1].get("content-length", 0)))
        return int(head[0].split(" ")[1]), head[1], body

    async def receive_all(self, ids):
        """Returns the statuses of the responses, each of which must carry the id of its request."""
        responses = [await self.receive() for _ in ids]
        for request_id, response in zip(ids, responses):
            assert response and response[1].get("request-id") == request_id, (request_id, response)
        return [response[0] for response in responses]


class PipeliningTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.fleet = Fleet(PROGRAM, self.folder.name, ["one", "one", "two"])
        for node in self.fleet.nodes:
            node.backend.slots = 100  # So that no request is refused for lack of a slot.
        await self.fleet.start(with_config=False)
        self.configure()
        await self.fleet.wait_ready()
        self.caller = await PipelinedCaller(self.fleet, self.fleet.nodes[2]).open()

    async def asyncTearDown(self):
        self.caller.writer.close()
        await self.fleet.stop()
        self.folder.cleanup()

    def configure(self, *more):
        """Requests of /q/ are served by a server of another service, so that their times differ."""
        self.fleet.configure([self.fleet.route("/s/", "safe", "one", "6000ms"),
                              self.fleet.route("/u/", "unsafe", "one", "6000ms"),
                              self.fleet.route("/q/", "safe", "two", "6000ms"), *more])

    def servers(self):
        return [node.backend for node in self.fleet.nodes]

    def set_time(self, seconds, service="one"):
        for backend in self.servers():
            if backend.service == service:
                backend.service_time = seconds

    def arrivals(self, request_id=None):
        return sorted(a for backend in self.servers() for a in backend.arrivals if request_id in (None, a[1]))

    def runs(self, request_id):
        return sum(backend.started.count(request_id) for backend in self.servers())

    def aborted(self):
        return {request_id for backend in self.servers() for _, request_id in backend.aborted_runs}

    async def test_idempotent_requests_run_at_the_same_time(self):
        self.set_time(0.4)
        begin = time.monotonic()
        ids = [self.caller.send(path="/s/x" if i % 2 else "/s/y") for i in range(4)]
        self.assertEqual(await self.caller.receive_all(ids), [200] * 4)
        self.assertLess(time.monotonic() - begin, 0.8)  # One after the other takes 1.6 s.

    async def test_responses_keep_the_order_of_the_requests_under_random_service_times(self):
        seed = int(os.environ.get("SEED", random.randrange(1 << 32)))
        choice = random.Random(seed)
        for round_number in range(6):
            with self.subTest(seed=seed, round=round_number):
                self.set_time(choice.uniform(0, 0.2), "one")
                self.set_time(choice.uniform(0, 0.2), "two")
                requests = [choice.choice([("GET", "/s/x"), ("GET", "/q/x"), ("POST", "/u/x"), ("GET", "/none")])
                            for _ in range(choice.randrange(2, 16))]
                ids = []
                for method, path in requests:
                    ids.append(self.caller.send(method, path, body=b"b" * choice.choice([0, 100])))
                    if choice.random() < 0.3:
                        await asyncio.sleep(choice.uniform(0, 0.1))
                expected = [404 if path == "/none" else 200 for _, path in requests]
                self.assertEqual(await self.caller.receive_all(ids), expected)

    async def test_an_at_most_once_request_runs_alone(self):
        self.set_time(0.3)
        ids = [self.caller.send(*kind) for kind in (("GET", "/s/x"), ("POST", "/u/x"), ("GET", "/q/x"))]
        written = []
        for _ in ids:
            self.assertEqual((await self.caller.receive())[0], 200)
            written.append(time.monotonic())
        arrived = [self.arrivals(request_id)[0][0] for request_id in ids]
        # The time of the arrival is taken after the response before it was written, that of the response after it.
        self.assertGreater(arrived[1] - arrived[0], 0.3)
        self.assertGreater(arrived[2] - arrived[1], 0.3)
        self.assertLess(arrived[1] - written[0], 0.2)

    async def test_a_slow_response_frees_the_slots_of_those_behind_it(self):
        self.set_time(2.0, "one")
        for backend in self.servers():
            backend.body = b"x" * 300_000  # More than is buffered of every response.
        ids = [self.caller.send(path="/s/x"), self.caller.send(path="/q/x")]
        await asyncio.sleep(1.0)
        self.assertEqual(self.runs(ids[1]), 1)
        other = await PipelinedCaller(self.fleet, self.fleet.nodes[2]).open()
        self.assertEqual(self.fleet.nodes[2].backend.running, 0)
        self.assertEqual(await other.receive_all([other.send(path="/q/x")]), [200])
        other.writer.close()
        self.assertEqual(await self.caller.receive_all(ids), [200] * 2)

    async def test_each_request_keeps_its_own_deadline(self):
        self.set_time(1.0, "one")
        self.set_time(3.0, "two")
        begin = time.monotonic()
        ids = [self.caller.send(path="/s/x"), self.caller.send(path="/q/x", deadline=300),
               self.caller.send(path="/s/x")]
        self.assertEqual(await self.caller.receive_all(ids), [200, 504, 200])
        self.assertLess(time.monotonic() - begin, 1.6)
        # A request whose deadline passes before it may start never runs.
        ids = [self.caller.send(path="/s/x"), self.caller.send("POST", "/u/x", deadline=300)]
        self.assertEqual(await self.caller.receive_all(ids), [200, 503])
        self.assertEqual(self.runs(ids[1]), 0)

    async def test_a_smuggled_request_reaches_no_server(self):
        # A body whose length can be understood in two ways must not become a request of its own.
        inner = b"GET /s/smuggled HTTP/1.1\r\nHost: h.example\r\nRequest-Id: inner\r\n\r\n"
        both = "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n"
        twice = f"Content-Length: 0\r\nContent-Length: {len(inner)}\r\n"
        for fields, body in ((both, b"0\r\n\r\n" + inner), (twice, inner)):
            self.set_time(0.2)
            caller = await PipelinedCaller(self.fleet, self.fleet.nodes[2]).open()
            first = caller.send()
            caller.send("POST", "/u/x", fields=fields)
            caller.writer.write(body)
            self.assertEqual((await caller.receive())[0], 200)
            response = await caller.receive()
            self.assertEqual((response[0], response[1].get("connection")), (400, "close"))
            self.assertIsNone(await caller.receive())
            self.assertEqual([a[1] for a in self.arrivals()][-1], first)
            self.assertNotIn("inner", [a[1] for a in self.arrivals()])
            caller.writer.close()

    async def test_a_request_within_a_body_of_another_coding_runs(self):
        # The end of a body is unknown if its last coding is not chunked; with further codings its content is.
        inner = b"POST /u/smuggled HTTP/1.1\r\nHost: h.example\r\nRequest-Id: inner\r\nContent-Length: 0\r\n\r\n"
        chunked = b"%x\r\n%s\r\n0\r\n\r\n" % (len(inner), inner)
        for coding, status in (("xchunked", 400), ("identity", 400), ("gzip", 400), ("chunked, identity", 400),
                               ("chunked, chunked", 400), ("chunked;a=b", 400), ("chunked,", 400), ("", 400),
                               ("gzip, chunked", 501), ("gzip\r\nTransfer-Encoding: chunked", 501),
                               ("chunked\r\nTransfer-Encoding: identity", 400)):
            for body in (inner, chunked):
                with self.subTest(f"{coding} {body[:4]}"):
                    caller = await PipelinedCaller(self.fleet, self.fleet.nodes[2]).open()
                    outer = caller.send("POST", "/u/x", fields=f"Transfer-Encoding: {coding}\r\n")
                    caller.writer.write(body)
                    response = await caller.receive()
                    self.assertEqual((response[0], response[1].get("connection")), (status, "close"))
                    self.assertIsNone(await caller.receive())
                    self.assertFalse({outer, "inner"} & {arrival[1] for arrival in self.arrivals()})
                    caller.writer.close()

    async def test_a_chunked_body_in_http_1_0_runs(self):
        # HTTP/1.0 knows no Transfer-Encoding, so such a body has two possible ends.
        self.caller.writer.write(b"POST /u/x HTTP/1.0\r\nHost: h.example\r\nRequest-Id: old\r\n"
                                 b"Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n")
        response = await self.caller.receive()
        self.assertEqual((response[0], response[1].get("connection")), (400, "close"))
        self.assertIsNone(await self.caller.receive())
        self.assertNotIn("old", [arrival[1] for arrival in self.arrivals()])

    async def test_a_chunked_body_of_any_spelling_is_rejected(self):
        for coding in ("chunked", "Chunked", " chunked\t"):
            request_id = self.caller.send("POST", "/u/x", fields=f"Transfer-Encoding: {coding}\r\n")
            self.caller.writer.write(b"1\r\nx\r\n0\r\n\r\n")
            self.assertEqual(await self.caller.receive_all([request_id]), [200])

    async def test_a_malformed_second_request_leaves_the_first_its_response(self):
        self.set_time(0.3)
        first = self.caller.send()
        await asyncio.sleep(0.1)
        self.caller.writer.write(b"this is no request\r\n\r\n")
        self.assertEqual(await self.caller.receive_all([first]), [200])
        response = await self.caller.receive()
        self.assertEqual((response[0], response[1]["connection"]), (400, "close"))
        self.assertIsNone(await self.caller.receive())

    async def test_an_incomplete_second_request_is_timed_out_after_the_first_response(self):
        self.set_time(3.5)
        first = self.caller.send()
        self.caller.writer.write(b"GET /s/x HTTP/1.1\r\n")
        self.assertEqual(await self.caller.receive_all([first]), [200])  # Later than headerTimeout, 3 s.
        begin = time.monotonic()
        self.assertIsNone(await self.caller.receive())
        self.assertGreater(time.monotonic() - begin, 2.5)

    async def test_a_response_that_closes_the_connection_cancels_what_is_behind_it(self):
        # The first response breaks off while it is streamed, so the connection cannot be used further. It comes before
        # a hedge would be sent, and is too large to be held.
        self.set_time(0.2, "one")
        self.set_time(3.0, "two")
        for backend in self.servers():
            backend.body = b"x" * 3_000_000
            backend.mode = "cut" if backend.service == "one" else "ok"
        self.caller.send(path="/s/x")
        behind = [self.caller.send(path="/q/x"), self.caller.send("POST", "/u/x"), self.caller.send(path="/s/x")]
        with self.assertRaises(asyncio.IncompleteReadError):
            await self.caller.receive()
        await asyncio.sleep(0.5)
        self.assertEqual([self.runs(request_id) for request_id in behind], [1, 0, 0])
        self.assertEqual(self.aborted(), {behind[0]})
        self.assertEqual(await self.fleet.metric(self.fleet.nodes[2], "snipeweir_pipelined_unanswered_total"), 3)

    async def test_a_response_that_breaks_off_takes_those_behind_it_along(self):
        self.set_time(0.2, "one")
        self.set_time(0.4, "two")
        for backend in self.servers():
            backend.body = b"x" * 300_000
            backend.mode = "cut" if backend.service == "one" else "ok"
        ids = [self.caller.send(path=path) for path in ("/s/x", "/q/x", "/q/x")]
        self.assertEqual(await self.caller.receive_all(ids), [502, 200, 200])
        self.assertEqual([self.runs(request_id) for request_id in ids[1:]], [1, 1])

    async def test_requests_behind_leave_no_room_to_hold_a_response_that_breaks_off(self):
        # Their responses are small; those that wait first, and then those that still run when the first response arrives.
        self.set_time(0.3, "one")
        for behind_time in (0.05, 0.6):
            self.set_time(behind_time, "two")
            for backend in self.servers():
                backend.body = b"x" * 250_000 if backend.service == "one" else b"x" * 400
                backend.mode = "ok"
            # Once the size of the responses is known.
            self.assertEqual(await self.caller.receive_all([self.caller.send(path="/s/x")]), [200])
            for backend in self.servers():
                backend.mode = "cut" if backend.service == "one" else "ok"
            ids = [self.caller.send(path=path) for path in ["/s/x"] + ["/q/x"] * 7]
            self.assertEqual(await self.caller.receive_all(ids), [502] + [200] * 7)

    async def test_a_request_starts_behind_a_response_that_is_being_streamed(self):
        # It would lose its response if that one broke off.
        self.set_time(0.1)
        for backend in self.servers():
            backend.body = b"x" * 3_000_000
        first = self.caller.send(path="/s/x")
        head = await read_head(self.caller.reader)
        behind = self.caller.send(path="/q/x")
        await asyncio.sleep(0.5)
        self.assertEqual(self.runs(behind), 0)
        await self.caller.reader.readexactly(int(head[1]["content-length"]))
        self.assertEqual(head[1]["request-id"], first)
        self.assertEqual(await self.caller.receive_all([behind]), [200])

    async def test_nothing_behind_a_request_that_closes_the_connection_runs(self):
        self.set_time(0.2)
        first = self.caller.send(fields="Connection: close\r\n")
        behind = [self.caller.send(), self.caller.send("POST", "/u/x")]
        self.assertEqual(await self.caller.receive_all([first]), [200])
        self.assertIsNone(await self.caller.receive())
        self.assertEqual([self.runs(request_id) for request_id in behind], [0, 0])

    async def test_a_stopping_node_answers_what_it_has_forwarded_and_closes(self):
        self.set_time(0.8)
        ids = [self.caller.send(), self.caller.send(), self.caller.send("POST", "/u/x"), self.caller.send()]
        await asyncio.sleep(0.3)
        self.fleet.nodes[2].signal(signal.SIGTERM)
        await asyncio.sleep(0.1)
        late = self.caller.send()
        responses = [await self.caller.receive() for _ in range(2)]
        self.assertEqual([(r[0], r[1]["request-id"], r[1].get("connection")) for r in responses],
                         [(200, ids[0], None), (200, ids[1], "close")])
        self.assertIsNone(await self.caller.receive())
        self.assertEqual([self.runs(request_id) for request_id in (*ids[2:], late)], [0, 0, 0])
        self.assertEqual(await asyncio.wait_for(self.fleet.nodes[2].process.wait(), 6), 0)

    async def test_a_route_that_changes_between_two_requests_applies_to_the_second(self):
        self.set_time(3.5, "one")
        first = self.caller.send("POST", "/u/x", deadline=6000)
        second = self.caller.send("GET", "/c/x", deadline=6000)  # No route has this prefix yet.
        await asyncio.sleep(0.2)
        self.configure(self.fleet.route("/c/", "safe", "two", "6000ms"))
        self.assertEqual(await self.caller.receive_all([first, second]), [200, 200])
        self.assertEqual([a[1] for a in self.fleet.nodes[2].backend.arrivals], [second])

    async def test_a_route_that_becomes_at_most_once_makes_its_waiting_requests_run_alone(self):
        self.set_time(3.0, "one")
        self.set_time(0.5, "two")
        ids = [self.caller.send("POST", "/u/x", deadline=6000), self.caller.send(path="/q/x", deadline=6000),
               self.caller.send(path="/q/y", deadline=6000)]
        await asyncio.sleep(0.2)
        self.fleet.configure([self.fleet.route("/u/", "unsafe", "one", "6000ms"),
                              self.fleet.route("/q/", "unsafe", "two", "6000ms")])
        self.assertEqual(await self.caller.receive_all(ids), [200] * 3)
        arrived = [self.arrivals(request_id)[0][0] for request_id in ids]
        self.assertGreater(arrived[2] - arrived[1], 0.45)

    async def test_reading_ahead_stops_at_the_limit(self):
        for backend in self.servers():
            backend.mode = "hang"
        ids = [self.caller.send() for _ in range(30)]
        await asyncio.sleep(1.0)
        self.assertEqual({a[1] for a in self.arrivals()}, set(ids[:MAX_IN_PROGRESS]))
        self.assertEqual(await self.fleet.metric(self.fleet.nodes[2], "snipeweir_pipelined_requests_total"),
                         MAX_IN_PROGRESS - 1)

    async def test_bodies_behind_a_request_are_not_read_beyond_the_memory_limit(self):
        self.set_time(1.0)
        first = self.caller.send()
        body = b"b" * 600_000
        ids = [self.caller.send("POST", "/q/x", body=body) for _ in range(4)]  # 1 MiB holds one of them.
        await asyncio.sleep(0.6)
        self.assertLessEqual(await self.fleet.metric(self.fleet.nodes[2], "snipeweir_pipelined_requests_total"), 1)
        self.assertEqual(await self.caller.receive_all([first, *ids]), [200] * 5)

    async def test_an_interim_response_waits_for_its_turn(self):
        # Among the bytes of an earlier response it would be taken for a part of that response.
        self.set_time(0.4)
        ids = [self.caller.send(), self.caller.send("POST", "/u/x", "Expect: 100-continue\r\nContent-Length: 4\r\n")]
        self.assertEqual(await self.caller.receive_all(ids[:1]), [200])
        self.assertEqual((await self.caller.receive())[0], 100)
        self.caller.writer.write(b"body")
        self.assertEqual(await self.caller.receive_all(ids[1:]), [200])

    async def test_a_disconnect_cancels_all_requests_within_half_a_second(self):
        for extra in (0, 30):  # With requests that are not read, the end of the connection lies behind their bytes.
            for backend in self.servers():
                backend.mode = "hang"
                backend.aborted_runs.clear()
            caller = await PipelinedCaller(self.fleet, self.fleet.nodes[2]).open()
            ids = [caller.send(path="/s/x") for _ in range(5)]
            await asyncio.sleep(0.2)
            ids += [caller.send(path="/q/x") for _ in range(3 + extra)]
            await asyncio.sleep(0.4)
            caller.writer.close()
            await asyncio.sleep(0.5)
            self.assertEqual(self.aborted(), set(ids[:MAX_IN_PROGRESS]), f"{extra} unread")
            self.assertEqual(sum(backend.running for backend in self.servers()), 0)
            self.assertEqual(sum(self.runs(request_id) for request_id in ids[MAX_IN_PROGRESS:]), 0)

    async def test_a_disconnect_cancels_a_response_that_is_streamed_and_one_that_waits(self):
        head = b"HTTP/1.1 200 X\r\nRequest-Id: {id}\r\nServer-Seal: s\r\nContent-Length: 9000000\r\n\r\n"
        for repeated, expected in ((b"x", 2), (b"", 4)):  # Servers that go on slowly, and servers that send no more.
            for backend in self.servers():
                backend.mode = "endless"
                backend.endless = (head + b"x" * 200_000, repeated)
            caller = await PipelinedCaller(self.fleet, self.fleet.nodes[2]).open()
            for path in ("/s/x", "/q/x"):
                caller.send(path=path)
            await asyncio.sleep(0.5)
            caller.writer.transport.abort()
            await asyncio.sleep(0.5)
            left = await self.fleet.metric(self.fleet.nodes[2], "snipeweir_callers_left_total")
            self.assertEqual(left, expected)
            if repeated:  # A simulated server notices the end of its connection only when it writes.
                self.assertEqual(sum(len(backend.endless_ends) for backend in self.servers()), 2)


if __name__ == "__main__":
    unittest.main()
