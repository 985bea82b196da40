"""Tests with real node processes that responses without end, many at once and from every kind of peer, leave a node its
memory.

Usage: test_response_memory.py PROGRAM [unittest arguments]"""

import asyncio
import base64
import json
import os
import socket
import sys
import tempfile
import time
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from fleet import Announcer, Fleet, PORTS, read_head  # noqa: E402

PROGRAM = sys.argv.pop(1) if len(sys.argv) > 1 else "build/bin/snipeweir-platform"
MEMORY = 160 << 20  # Memory of a VM whose settings do not name it.
UNREAD = 24 << 20  # What the kernel may hold unread.
MAX_GROWTH = 48 << 20  # Bytes of memory for one endless response that is no caller's.
SERVERS = 6
RESPONSES = 1000
DEADLINE = 5.0  # Seconds.
FILLER = b"x" * 250_000
HEAD = b"HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Seal: s\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
# What the servers send before they send no more, too little for the callers' nodes to notice that it is too much.
INCOMPLETE = {
    "a field": HEAD + b"X-Filler: " + b"x" * 31_000,
    "a body behind many fields": HEAD + b"X-Filler: x\r\n" * 2350 + b"Content-Length: 9000000\r\n\r\n" + b"x" * 60_000,
    "a body": HEAD + b"Content-Length: 9000000\r\n\r\n" + b"x" * 100_000,
    "a chunk's extension": CHUNKED + b"5;" + b"x" * 100_000,
    "a trailer field": CHUNKED + b"1\r\nx\r\n0\r\nX-Filler: " + b"x" * 100_000,
}


async def write_endlessly(writer, first, repeated):
    """Sends bytes until the peer closes the connection. Returns the number of bytes sent."""
    sent = 0
    try:
        writer.write(first)
        while not writer.is_closing():
            writer.write(repeated)
            await writer.drain()
            sent += len(repeated)
            await asyncio.sleep(0)
    except OSError:
        pass
    return sent


def unacknowledged_bytes(ip, port):
    """Returns the number of bytes that the kernel holds in the send buffers of an address."""
    local = f"{int.from_bytes(socket.inet_aton(ip), sys.byteorder):08X}:{port:04X}"
    with open("/proc/net/tcp", encoding="ascii") as table:
        rows = [line.split() for line in table]
    return sum(int(row[4].split(":")[0], 16) for row in rows if row[1] == local)


class ResponseMemoryTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.folder = tempfile.TemporaryDirectory()
        # The servers of the first service are faulty; that of the last is not, and its node is the callers' node.
        self.fleet = Fleet(PROGRAM, self.folder.name, ["one"] * SERVERS + ["two"])
        for node in self.fleet.nodes:
            node.backend.slots = RESPONSES
        await self.fleet.start()
        self.fleet.configure([self.fleet.route("/s/", "safe", "one", "9000ms"),
                              self.fleet.route("/t/", "safe", "two", "9000ms")])
        await asyncio.sleep(2)
        self.caller = self.fleet.nodes[-1]

    async def asyncTearDown(self):
        await self.fleet.stop()
        self.folder.cleanup()

    def send_incomplete(self, text):
        async def finish_run(reader, writer, fields, request_id):
            writer.write(text.replace(b"{id}", request_id.encode()))
            await reader.read(1)
            raise ConnectionError

        for node in self.fleet.nodes[:-1]:
            node.backend.finish_run = finish_run

    def send_endlessly(self):
        for node in self.fleet.nodes[:-1]:
            node.backend.mode, node.backend.endless = "endless", (CHUNKED, b"10000\r\n" + b"x" * 65_536 + b"\r\n")

    async def assert_room_for_bodies(self, case):
        """What the node holds, also in its kernel for its callers, and what request bodies may take besides, must fit
        into the memory."""
        for node in self.fleet.nodes:
            limit = await self.fleet.metric(node, "snipeweir_body_memory_limit_bytes")
            used = await self.fleet.metric(node, "snipeweir_body_memory_used_bytes")
            held = node.memory() + unacknowledged_bytes(node.ip, PORTS["callers"])
            self.assertLess(held + limit - used + UNREAD, MEMORY, f"{case}, node {node.index}")

    async def open_callers(self, count, window=None):
        """Sends a request on each of many connections and reads nothing. Returns the connections."""
        loop, callers = asyncio.get_running_loop(), []
        for number in range(count):
            connection = socket.socket()
            if window:
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, window)
            connection.setblocking(False)
            await loop.sock_connect(connection, (self.caller.ip, PORTS["callers"]))
            connection.send((f"GET /s/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {self.fleet.new_id()}\r\n"
                             f"Deadline-Ms: {int(DEADLINE * 1000)}\r\n\r\n").encode())
            callers.append(connection)
            if number % 20 == 0:
                await asyncio.sleep(0.01)
        return callers

    async def test_many_incomplete_responses_at_once_take_the_nodes_memory(self):
        for name, text in INCOMPLETE.items():
            with self.subTest(name):
                self.send_incomplete(text)
                before = sum(len(node.backend.started) for node in self.fleet.nodes)
                callers = await self.open_callers(RESPONSES)
                await asyncio.sleep(1.5)
                runs = sum(len(node.backend.started) for node in self.fleet.nodes) - before
                await self.assert_room_for_bodies(name)
                response = await self.fleet.send(self.caller, "GET", "/t/x")
                self.assertEqual((response.status, response.is_complete), (200, True))
                self.assertGreater(runs, RESPONSES * 3 // 4)
                for connection in callers:
                    connection.close()
                await asyncio.sleep(2)

    async def test_responses_without_end_to_slow_callers_take_the_nodes_memory(self):
        self.send_endlessly()
        callers = await self.open_callers(200, window=4096)
        for _ in range(3):
            await asyncio.sleep(0.7)
            await self.assert_room_for_bodies("slow callers")
        for connection in callers:
            connection.close()

    async def test_bytes_for_callers_that_stop_reading_take_the_nodes_memory(self):
        self.send_endlessly()
        callers = await self.open_callers(60)

        async def read(connection):
            # As long as a caller reads, the kernel lets its send buffer grow.
            size = 0
            while size < 600_000 and (data := await asyncio.get_running_loop().sock_recv(connection, 65_536)):
                size += len(data)
            return size

        sizes = await asyncio.gather(*(read(connection) for connection in callers), return_exceptions=True)
        self.assertGreater(sum(isinstance(size, int) and size >= 600_000 for size in sizes), 30)
        for _ in range(4):
            await self.assert_room_for_bodies("callers that stop reading")
            await asyncio.sleep(0.25)
        for connection in callers:
            connection.close()

    async def watch_memory(self, node, seconds):
        """Returns the largest growth of the memory of a node."""
        before, peak, end = node.memory(), 0, time.monotonic() + seconds
        while time.monotonic() < end:
            await asyncio.sleep(0.02)
            peak = max(peak, node.memory() - before)
        return peak

    async def test_health_responses_without_end_take_the_nodes_memory(self):
        head = b"HTTP/1.1 200 OK\r\nInstance-Id: i\r\n"
        for first, repeated in ((head + b"X-Filler: ", FILLER), (head, b"X-Filler: x\r\n" * 20_000),
                                (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 10_000),
                                (head + b"Transfer-Encoding: chunked\r\n\r\n", b"%x\r\n%s\r\n" % (len(FILLER), FILLER)),
                                (head + b"\r\n", FILLER)):
            async def serve(reader, writer, first=first, repeated=repeated):
                await read_head(reader)
                await write_endlessly(writer, first, repeated)
                writer.close()

            node = self.fleet.nodes[0]
            await node.backend.stop()
            node.backend.server = await asyncio.start_server(serve, node.ip, PORTS["backend"] + 100)
            node.backend_proxy.reset_all()
            with self.subTest(first + repeated[:20]):
                self.assertLess(await self.watch_memory(node, 1.5), MAX_GROWTH)

    async def test_a_response_of_the_store_without_end_takes_the_nodes_memory(self):
        item = base64.b64encode(b"x" * 700).decode()
        page = json.dumps({"items": [{"key": "servers/x", "value": item, "revision": 1}] * 300}).encode()[:-2]
        sent = []
        for first, repeated in ((b"Transfer-Encoding: chunked\r\n\r\n", b"%x\r\n%s\r\n" % (len(page), page)),
                                (b"\r\n", b"[" * 250_000), (b"\r\n" + page, page[10:]),
                                (b"X-Filler: ", FILLER)):
            async def serve(reader, writer, first=b"HTTP/1.1 200 OK\r\n" + first, repeated=repeated):
                while await read_head(reader) and not writer.is_closing():
                    sent.append(await write_endlessly(writer, first, repeated))
                writer.close()

            self.fleet.store.server.close()
            self.fleet.store.server = await asyncio.start_server(serve, self.fleet.store.ip, 7309)
            for node in self.fleet.nodes:
                node.store_proxy.reset_all()
            sent.clear()
            with self.subTest(first + repeated[:20]):
                peaks = await asyncio.gather(*(self.watch_memory(node, 3) for node in self.fleet.nodes))
                self.assertLess(max(peaks), MAX_GROWTH)
                self.assertTrue(sent)
                self.assertEqual((await self.fleet.send(self.caller, "GET", "/t/x")).status, 200)

    async def test_pages_of_the_store_without_end_take_the_nodes_memory(self):
        value, pages = base64.b64encode(b"x" * 1_000_000).decode(), []

        async def respond(path, arguments):
            if path == "/v1/kv-watch":
                return 410, {}
            pages.append(arguments["prefix"])
            key = f"{arguments['prefix']}{len(pages):09}"
            return 200, {"items": [{"key": key, "value": value, "revision": 1}], "hasMore": True, "atRev": 9}

        self.fleet.store.respond = respond
        for node in self.fleet.nodes:
            node.store_proxy.reset_all()
        peaks = await asyncio.gather(*(self.watch_memory(node, 6) for node in self.fleet.nodes))
        self.assertGreater(pages.count("op/"), 16)
        self.assertLess(max(peaks), MAX_GROWTH)

    async def test_a_document_of_another_node_without_end_takes_the_nodes_memory(self):
        announcer = Announcer(f"{self.fleet.subnet}.7.7", self.fleet.store)
        sent = []

        async def serve(reader, writer):
            await read_head(reader)
            first = b"HTTP/1.1 200 OK\r\nSnipeweir-Revision: 1000000\r\nTransfer-Encoding: chunked\r\n\r\n"
            sent.append(await write_endlessly(writer, first, b"%x\r\n%s\r\n" % (len(FILLER), FILLER)))
            writer.close()

        announcer.serve = serve
        await announcer.start()
        announcer.read()
        announcer.revision = 1_000_000
        for _ in range(4):
            announcer.announce(self.caller, 0)
            await asyncio.sleep(0.01)
        self.assertLess(await self.watch_memory(self.caller, 3), MAX_GROWTH)
        self.assertTrue(sent)
        self.assertEqual((await self.fleet.send(self.caller, "GET", "/t/x")).status, 200)
        await announcer.stop()


if __name__ == "__main__":
    unittest.main()
