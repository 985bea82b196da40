"""Tests what callers get from backend servers that send bytes that are no response, with real node processes.

Usage: test_faulty_servers.py PROGRAM [unittest arguments]"""

import asyncio
import os
import sys
import tempfile
import time
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from fleet import Fleet, PORTS  # noqa: E402

PROGRAM = sys.argv.pop(1) if len(sys.argv) > 1 else "build/bin/snipeweir-platform"
DEADLINE = 1.0  # Seconds.
MAX_GROWTH = 32 << 20  # Bytes of memory.
FILLER = b"x" * 500_000
RUN_HEAD = b"HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Seal: s\r\n"
REFUSAL_HEAD = b"HTTP/1.1 503 X\r\nNot-Executed: 1\r\nRequest-Id: {id}\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
CHUNK = b"%x\r\n" % len(FILLER) + FILLER + b"\r\n"
# First bytes, repeated bytes, and the statuses that callers may get; None: the connection is closed.
ENDLESS = {
    "interim responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 20_000, (502, 504)),
    "bytes that are no head": (b"", b"\x00\xff" * 250_000, (502, 504)),
    "a status line": (b"HTTP/1.1 200 ", FILLER, (502, 504)),
    "a field": (RUN_HEAD + b"X-Filler: ", FILLER, (502, 504)),
    "fields": (RUN_HEAD, b"X-Filler: x\r\n" * 40_000, (502, 504)),
    "a chunk's extension": (RUN_HEAD + CHUNKED + b"5;", FILLER, (502, 504)),
    "a chunk's size": (RUN_HEAD + CHUNKED, b"0" * 500_000, (502, 504)),
    "trailer fields": (RUN_HEAD + CHUNKED + b"1\r\nx\r\n0\r\n", b"X-Filler: x\r\n" * 40_000, (502, 504)),
    "a trailer field": (RUN_HEAD + CHUNKED + b"1\r\nx\r\n0\r\nX-Filler: ", FILLER, (502, 504)),
    "a body without a signature": (b"HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\n" + CHUNKED, CHUNK, (502, 504)),
    "the body of another response": (b"HTTP/1.1 200 OK\r\nRequest-Id: other\r\n" + CHUNKED, CHUNK, (502, 504)),
    "responses to other requests":
        (b"", b"HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 0\r\n\r\n" * 8000, (502, 504)),
    "the body of a refusal": (REFUSAL_HEAD + CHUNKED, CHUNK, (503,)),
    "bytes after a refusal": (REFUSAL_HEAD + b"Content-Length: 0\r\n\r\n", FILLER, (503,)),
    "bytes after a response": (RUN_HEAD + b"Content-Length: 1\r\n\r\nx", FILLER, (200,)),
    "a body": (RUN_HEAD + CHUNKED, CHUNK, (200, None)),
    "a body without length": (RUN_HEAD + b"\r\n", FILLER, (200, None)),
}


def processor_seconds(node):
    with open(f"/proc/{node.process.pid}/stat") as stat:
        fields = stat.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


class FaultyServerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.folder = tempfile.TemporaryDirectory()
        # All requests run at the node of the faulty server; the caller's node has another service.
        self.fleet = Fleet(PROGRAM, self.folder.name, ["one", "two"])
        await self.fleet.start()
        self.server, self.caller = self.fleet.nodes
        self.backend = self.server.backend

    async def asyncTearDown(self):
        await self.fleet.stop()
        self.folder.cleanup()

    async def send(self, request_id=None, deadline=DEADLINE, method="POST", path="/u/x", **more):
        return await self.fleet.send(
            self.caller, method, path, deadline=int(deadline * 1000), request_id=request_id, **more)

    async def test_bytes_without_end_hold_a_caller_a_connection_or_memory(self):
        for name, (first, repeated, statuses) in ENDLESS.items():
            with self.subTest(name):
                self.backend.endless, self.backend.mode = (first, repeated), "endless"
                self.backend.endless_ends.clear()
                before, peak, begin = self.server.memory(), 0, time.monotonic()
                send = asyncio.ensure_future(self.send())
                while not send.done():
                    await asyncio.sleep(0.02)
                    peak = max(peak, self.server.memory() - before)
                took, response = time.monotonic() - begin, await send
                status = response.status if response and response.is_complete else None
                await asyncio.sleep(0.3)
                ends = [end - begin for _, end in self.backend.endless_ends]
                busy = processor_seconds(self.server)
                await asyncio.sleep(0.5)
                busy = processor_seconds(self.server) - busy
                self.backend.mode = "ok"
                self.assertEqual((await self.send(deadline=2)).status, 200)
                self.assertIn(status, statuses)
                # The caller learns at once that its request was not run.
                self.assertLess(took, DEADLINE / 2 if status == 503 else DEADLINE + 0.3)
                self.assertLess(peak, MAX_GROWTH)
                self.assertEqual(len(ends), 1)
                self.assertLess(ends[0], DEADLINE + 0.3)
                self.assertLess(busy, 0.25)

    async def test_a_body_in_an_unknown_coding_is_passed_on_as_the_servers_body(self):
        for coding in ("gzip, chunked", "chunked, identity", "xchunked"):
            async def finish_run(reader, writer, fields, request_id, coding=coding):
                head = RUN_HEAD + b"Transfer-Encoding: %s\r\n\r\n" % coding.encode()
                writer.write(head.replace(b"{id}", request_id.encode()) + b"1\r\nx\r\n0\r\n\r\n")
                raise ConnectionError

            self.backend.finish_run = finish_run
            with self.subTest(coding):
                self.assertEqual((await self.send(deadline=2)).status, 502)

    async def test_a_caller_that_sends_a_body_without_end_takes_the_nodes_memory(self):
        head = b"POST /u/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: endless\r\nTransfer-Encoding: chunked\r\n\r\n"
        for first, repeated in ((b"5;", FILLER), (b"", b"0" * 500_000), (b"1\r\nx\r\n0\r\nX-Filler: ", FILLER),
                                (b"1\r\nx\r\n0\r\n", b"X-Filler: x\r\n" * 40_000), (b"", CHUNK)):
            with self.subTest(first):
                before = self.caller.memory()
                reader, writer = await asyncio.open_connection(self.caller.ip, PORTS["callers"])
                writer.write(head + first)
                end = time.monotonic() + 2
                try:
                    while time.monotonic() < end:
                        writer.write(repeated)
                        await writer.drain()
                        await asyncio.sleep(0.001)
                        self.assertLess(self.caller.memory() - before, MAX_GROWTH)
                    self.fail("the connection stays open")
                except OSError:
                    pass
                writer.close()
                self.assertEqual((await self.send(deadline=2)).status, 200)

    async def test_a_refusal_sent_twice_is_taken_for_that_of_a_later_request(self):
        for has_id in (True, False):
            self.backend.refuses_with_id = has_id
            for delay in (0.0, 0.005, 0.02, 0.06):
                self.backend.repeat_delay, self.backend.mode = delay, "shed_twice"
                for _ in range(10):
                    request_id = self.fleet.new_id()
                    response = await self.send(request_id, 2)
                    runs = self.backend.started.count(request_id)
                    self.assertLessEqual(runs, 1)
                    if response.status == 503:
                        self.assertEqual(runs, 0)
                    elif response.status == 200:
                        self.assertEqual(response.fields["request-id"], request_id)
                self.backend.mode = "ok"
                await asyncio.sleep(0.1)

    async def burst_at_a_full_server(self, count):
        """Sends requests of both kinds at once. Returns the number of those served and of unsafe ones with status 502."""
        self.backend.service_time = 0.2
        sends = []
        for number in range(count):
            request_id = self.fleet.new_id()
            kind = ("POST", "/u/x") if number % 2 else ("GET", "/s/x")
            sends.append((request_id, kind, asyncio.ensure_future(
                self.send(request_id, deadline=2, method=kind[0], path=kind[1]))))
        served = unknown = 0
        for request_id, kind, send in sends:
            response = await send
            runs = self.backend.started.count(request_id)
            if kind[0] == "POST":
                self.assertLessEqual(runs, 1)
                unknown += response.status == 502
            if response.status == 503:
                self.assertEqual(runs, 0)
            served += response.status == 200
        return served, unknown

    async def test_a_request_that_ran_is_reported_as_refused_by_a_server_that_resets_connections_when_full(self):
        # Room for two requests and a health check, while the gate admits eight requests.
        self.backend.max_connections = 3
        for _ in range(4):
            served, _ = await self.burst_at_a_full_server(16)
            self.assertGreaterEqual(served, 1)
            await asyncio.sleep(0.3)

    async def test_a_reset_of_a_request_that_was_sent_is_reported_as_refused(self):
        self.backend.max_runs = 2
        unknown = 0
        for _ in range(4):
            unknown += (await self.burst_at_a_full_server(16))[1]
            await asyncio.sleep(0.3)
        # The node cannot know that the server had not begun to run them.
        self.assertGreater(unknown, 0)

    async def test_a_response_without_length_is_lost_or_one_that_is_reset_looks_complete(self):
        for size in (300, 200_000):
            self.backend.body = b"x" * size
            for method, path in (("GET", "/s/x"), ("POST", "/u/x")):
                self.backend.mode = "unframed"
                response = await self.send(method=method, path=path, deadline=2, reads_chunks=True)
                self.assertEqual((response.status, response.is_complete, len(response.body)), (200, True, size))
                self.backend.mode = "unframed_reset"
                response = await self.send(method=method, path=path, deadline=2, reads_chunks=True)
                self.assertTrue(response.status == 502 or not response.is_complete)

    async def test_a_truncated_head_becomes_a_success(self):
        self.backend.mode = "cut_head"
        head = f"HTTP/1.1 200 X\r\nRequest-Id: id00000001\r\nServer-Seal: seal-i-0\r\nServer-Load: 1,0,10,100\r\n"
        for length in list(range(1, len(head), 7)) + [len(head) - 2, len(head) - 1, len(head), len(head) + 20]:
            self.backend.head_bytes = length
            for method, path in (("GET", "/s/x"), ("POST", "/u/x")):
                response = await self.send(method=method, path=path, deadline=2)
                self.assertEqual(response.status, 502, length)
                self.assertEqual((response.is_complete, response.body), (True, b""))


if __name__ == "__main__":
    unittest.main()
