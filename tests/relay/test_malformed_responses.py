"""Tests with real node processes what callers get when a backend server, the store or another node sends a response that
is not valid in HTTP/1.1 (RFC 9110, RFC 9112).

Usage: test_malformed_responses.py PROGRAM [unittest arguments]"""

import asyncio
import json
import os
import sys
import tempfile
import time
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from fleet import PORTS, Announcer, Fleet, read_head  # noqa: E402

PROGRAM = sys.argv.pop(1) if len(sys.argv) > 1 else "build/bin/snipeweir-platform"
OWN = b"Request-Id: {id}\r\nServer-Seal: s\r\n"
BODY = b"Content-Length: 5\r\n\r\nhello"

def head(fields, status=b"200 OK", version=b"HTTP/1.1"):
    """Returns a response to the request {id} with more fields; these end with the body."""
    return version + b" " + status + b"\r\n" + OWN + fields

def with_line(line):
    return head(line + b"\r\n" + BODY)

def chunked(chunks):
    return head(b"Transfer-Encoding: chunked\r\n\r\n" + chunks)

# Responses that no caller may get.
MALFORMED = {
    **{f"status {status}": head(BODY, status.encode()) for status in (
        "000 X", "001 X", "099 X", "600 X", "999 X", "20 X", "2000 X", "2x0 X", "+20 X", "-20 X", " 200 X", "", "200\tX")},
    **{f"status {status} of a refusal": head(b"Not-Executed: 1\r\n" + BODY, status.encode())
       for status in ("000 X", "099 X", "600 X", "999 X")},
    **{f"version {version}": head(BODY, version=version) for version in (
        b"HTTP/0.9", b"HTTP/1.2", b"HTTP/1.9", b"HTTP/2.0", b"HTTP/2", b"HTTP/11", b"HTTP/1.10", b"http/1.1", b"HTTP /1.1",
        b"ICY", b"HTTP", b" HTTP/1.1", b"\r\nHTTP/1.1")},
    **{f"reason {reason}": head(BODY, b"200 " + reason) for reason in (b"a\0b", b"a\x01b", b"a\x7fb", b"a\rb", b"a\nb")},
    **{f"name {name}": with_line(name + b": x") for name in (
        b"", b" ", b"X ", b"X\t", b" X", b"\tX", b"X Y", b"X\tY", b"X\0", b"\x01X", b"X\x1f", b"X\x7f", b"X\x0b", b"X\r", b"X\n",
        b"X(", b"X/Y", b"X,Y", b"X;Y", b"X=Y", b"X?", b"X@", b"[X]", b"{X}", b"X\\", b'"X"', b"X\x80", b"X\xe9", b"X\xfc",
        b"X\xfd", b"X\xfe", b"X\xff")},
    "a length whose name ends with a blank": head(b"Content-Length : 5\r\n\r\nhello"),
    "a length whose name begins with a control byte": head(b"\x01Content-Length: 5\r\n\r\nhello"),
    "a refusal whose name ends with a blank": head(b"Not-Executed : 1\r\n" + BODY, b"503 X"),
    "an identifier whose name ends with a blank":
        b"HTTP/1.1 200 OK\r\nRequest-Id : {id}\r\nServer-Seal: s\r\n" + BODY,
    "a line without a colon": with_line(b"X"),
    "a status line among the fields": with_line(b"HTTP/1.1 200 OK"),
    "a first line that continues none": b"HTTP/1.1 200 OK\r\n X: y\r\n" + OWN + BODY,
    "lines that end with LF": head(BODY).replace(b"\r\n", b"\n"),
    "a line that ends with CR": head(b"X: y\rZ: y\r\n" + BODY),
    "a head that ends with LF": head(b"Content-Length: 5\r\n\nhello"),
    **{f"continued line {line}": with_line(line) for line in (b"X: a\r\n b", b"X: a\r\n\tb", b"X:\r\n a", b"X: a\r\n ")},
    "a refusal in a line that continues one": head(b" Not-Executed: 1\r\n" + BODY, b"503 X"),
    **{f"value {value}": with_line(b"X: a" + value + b"b") for value in (
        b"\0", b"\x01", b"\x08", b"\x0b", b"\x1f", b"\x7f", b"\r", b"\n")},
    **{f"length {length}": head(b"Content-Length: " + length + b"\r\n\r\nhello") for length in (
        b"", b"-5", b"+5", b"5x", b"0x5", b"5.0", b"5 5", b"5;5", b"5,6", b"5,", b",", b"\x01", b"18446744073709551616",
        b"99999999999999999999999", b"5\r\n 5")},
    "two lengths": head(b"Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello!"),
    "a length and a coding": head(b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"),
    "a coding and a length": head(b"Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n5\r\nhello\r\n0\r\n\r\n"),
    **{f"coding {coding}": head(b"Transfer-Encoding: " + coding + b"\r\n\r\n5\r\nhello\r\n0\r\n\r\n") for coding in (
        b"", b"gzip", b"identity", b"chunked, identity", b"gzip, chunked", b"chunked, chunked", b"chunked;q=1", b"xchunked",
        b"chunked x", b"chunked\r\nTransfer-Encoding: chunked", b"gzip\r\nTransfer-Encoding: chunked")},
    "a coding in HTTP/1.0": head(b"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", version=b"HTTP/1.0"),
    **{f"chunk {chunk}": chunked(chunk + b"\r\n0\r\n\r\n") for chunk in (
        b"\r\nhello", b"x\r\nhello", b"-5\r\nhello", b"+5\r\nhello", b" 5\r\nhello", b"0x5\r\nhello", b"5 5\r\nhello",
        b"5x\r\nhello", b"5\nhello", b"5\rhello", b"5\r\nhello!", b"5\r\nhell", b"10000000000000005\r\nhello",
        b"FFFFFFFFFFFFFFFFF\r\nhello", b"5;\x01\r\nhello", b"5;=\r\nhello", b"5\r\nhello\n")},
    **{f"trailer {line}": chunked(b"5\r\nhello\r\n0\r\n" + line + b"\r\n\r\n") for line in (
        b"X : y", b"X\x01: y", b": y", b"X", b"X: \0", b"X: \x7f", b" X: y", b"X: y\nZ: y", b"Content-Length: 5",
        b"Transfer-Encoding: chunked")},
    "an upgrade that was not asked for":
        head(b"Upgrade: x\r\nConnection: upgrade\r\n\r\n", b"101 Switching Protocols") + head(BODY),
    "content in a response without content": head(BODY, b"204 No Content"),
    "a coding in a response without content":
        head(b"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", b"204 No Content"),
    "content in an interim response": b"HTTP/1.1 103 X\r\nContent-Length: 5\r\n\r\nhello" + head(BODY),
    "a coding in an interim response": b"HTTP/1.1 103 X\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + head(BODY),
    "a name of an interim response": b"HTTP/1.1 100 X\r\nX : y\r\n\r\n" + head(BODY),
    "a value of an interim response": b"HTTP/1.1 100 X\r\nX: \0\r\n\r\n" + head(BODY),
    "status 000 of an interim response": b"HTTP/1.1 000 X\r\n\r\n" + head(BODY),
    "two identifiers": head(b"Request-Id: other\r\n" + BODY),
    "two signatures": head(b"Server-Seal: other\r\n" + BODY),
    "two types": head(b"Content-Type: text/plain\r\nContent-Type: text/html\r\n" + BODY),
}
HELLO = (200, b"hello")
# Valid responses, and what callers get.
VALID = {
    **{f"status {status}": (head(BODY, f"{status} X".encode()), (status, b"hello"))
       for status in (200, 299, 300, 399, 400, 499, 500, 599)},
    **{f"interim response {status}": (f"HTTP/1.1 {status} X\r\nX: y\r\n\r\n".encode() + head(BODY), HELLO)
       for status in (100, 102, 103, 199)},
    "an interim response of length 0": (b"HTTP/1.1 103 X\r\nContent-Length: 0\r\n\r\n" + head(BODY), HELLO),
    **{f"reason {reason}": (head(BODY, b"200 " + reason), HELLO) for reason in (b"", b" ", b"\t", b"\x80\xff", b"a: b")},
    "version 1.0": (head(BODY, version=b"HTTP/1.0"), HELLO),
    "all characters of names": (with_line(b"X!#$%&'*+-.^_`|~09az: y"), HELLO),
    "all kinds of values": (with_line(b"X:\t \x80\xff a\tb \t"), HELLO),
    "an empty value": (with_line(b"X:"), HELLO),
    **{f"length {length}": (head(b"Content-Length: " + length + b"\r\n\r\nhello"), HELLO)
       for length in (b" 5 ", b"05", b"5, 5", b"5\r\nContent-Length: 5")},
    "length 0": (head(b"Content-Length: 0\r\n\r\n"), (200, b"")),
    "a coding in capitals": (head(b"Transfer-Encoding: CHUNKED\r\n\r\n5\r\nhello\r\n0\r\n\r\n"), HELLO),
    **{f"chunks {chunks}": (chunked(chunks), HELLO) for chunks in (
        b"5\r\nhello\r\n0\r\n\r\n", b"0000000000000000005\r\nhello\r\n000\r\n\r\n", b"1;a\r\nh\r\n4;a=b;c=\"d;e\"\r\nello\r\n0;f\r\n\r\n",
        b"5\r\nhello\r\n0\r\nX: y\r\nZ: z\r\n\r\n")},
    "a response without content": (head(b"\r\n", b"204 No Content"), (204, b"")),
    "a response without content of length 0": (head(b"Content-Length: 0\r\n\r\n", b"204 No Content"), (204, b"")),
    "status 304 with the length of what was not modified": (head(b"Content-Length: 5\r\n\r\n", b"304 X"), (304, b"")),
    "status 205": (head(b"Content-Length: 0\r\n\r\n", b"205 X"), (205, b"")),
    "a type sent twice": (head(b"Content-Type: text/plain\r\nContent-Type: text/plain\r\n" + BODY), HELLO),
}

def with_more(lines):
    """Returns a function that adds header lines to a head."""
    return lambda whole: whole[:-2] + lines + b"\r\n\r\n"


# Functions that make a valid head malformed.
CHANGES = {
    "status 000": lambda whole: whole.replace(b" 200 ", b" 000 "),
    "status 600": lambda whole: whole.replace(b" 200 ", b" 600 "),
    "a name that ends with a blank": with_more(b"X : y"),
    "a name with a control byte": with_more(b"X\x01: y"),
    "a continued line": with_more(b" X: y"),
    "a value with a control byte": with_more(b"X: \x01"),
    "another length": with_more(b"Content-Length: 1"),
    "another type": with_more(b"Content-Type: a/b\r\nContent-Type: a/c"),
    "an upgrade": lambda whole: b"HTTP/1.1 101 X\r\n\r\n" + whole,
}


class MalformedResponseTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.folder = tempfile.TemporaryDirectory()
        # All requests run at the first node: those sent there without a hop, those sent to the second with one.
        self.fleet = Fleet(PROGRAM, self.folder.name, ["one", "two"])
        await self.fleet.start()
        self.server = self.fleet.nodes[0]
        self.backend = self.server.backend
        self.backend.service_time = 0
        self.response = None

        async def finish_run(reader, writer, fields, request_id):
            if self.response is not None:
                writer.write(self.response.replace(b"{id}", request_id.encode()))
                raise ConnectionError
            await finish_valid_run(reader, writer, fields, request_id)

        finish_valid_run, self.backend.finish_run = self.backend.finish_run, finish_run

    async def asyncTearDown(self):
        await self.fleet.stop()
        self.folder.cleanup()

    async def send(self, node, response, method="POST", path="/u/x"):
        """Lets the backend server send the bytes. Returns what the caller gets, and how often the request ran."""
        self.response = response
        request_id = self.fleet.new_id()
        received = await self.fleet.send(node, method, path, request_id=request_id, reads_chunks=True)
        self.response = None
        return received, self.backend.started.count(request_id)

    async def test_a_malformed_response_reaches_the_caller_as_an_answer(self):
        for name, response in MALFORMED.items():
            for node in self.fleet.nodes:
                with self.subTest(name, hop=node is not self.server):
                    received, runs = await self.send(node, response)
                    self.assertIsNotNone(received)
                    # It may have run.
                    self.assertEqual((received.status, received.body, runs), (502, b"", 1))
                    received, _ = await self.send(node, None)
                    self.assertEqual(received.status, 200)

    async def test_a_valid_response_is_refused_or_changed(self):
        for name, (response, expected) in VALID.items():
            for node in self.fleet.nodes:
                with self.subTest(name, hop=node is not self.server):
                    received, _ = await self.send(node, response)
                    self.assertIsNotNone(received)
                    self.assertEqual((received.status, received.body, received.is_complete), (*expected, True))

    async def test_a_length_that_the_body_does_not_have_counts_as_the_usual_size(self):
        # Nodes hold later requests of a caller back while the responses to earlier ones could be too large to keep.
        for length in (b"9223372036854775807", b"18446744073709551615"):
            await self.send(self.server, head(b"Content-Length: " + length + b"\r\n\r\n" + b"x" * 300_000), "GET", "/s/x")
        self.backend.service_time = 0.3
        reader, writer = await asyncio.open_connection(self.server.ip, PORTS["callers"])
        begin = time.monotonic()
        for _ in range(4):
            writer.write(f"GET /s/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {self.fleet.new_id()}\r\n"
                         "Deadline-Ms: 5000\r\n\r\n".encode())
        for _ in range(4):
            status, fields = await read_head(reader)
            self.assertEqual(status.split(" ")[1], "200")
            await reader.readexactly(int(fields["content-length"]))
        writer.close()
        self.assertLess(time.monotonic() - begin, 0.9)

    async def test_a_response_whose_body_becomes_malformed_looks_complete(self):
        size = 300_000
        valid = b"%x\r\n" % size + b"x" * size + b"\r\n"
        for rest in (b"5x\r\nhello\r\n0\r\n\r\n", b"x\r\n", b"0\r\nX : y\r\n\r\n", b"0\r\nX: \0\r\n\r\n"):
            for node in self.fleet.nodes:
                with self.subTest(rest, hop=node is not self.server):
                    received, _ = await self.send(node, chunked(valid + rest))
                    self.assertEqual((received.status, received.is_complete), (200, False))

    async def test_a_refusal_with_a_malformed_body_is_not_taken(self):
        for body in (b"x\r\n", b"5\r\nhello!\r\n0\r\n\r\n"):
            for node in self.fleet.nodes:
                with self.subTest(body, hop=node is not self.server):
                    fields = b"Not-Executed: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
                    received, _ = await self.send(node, head(fields + body, b"503 X"))
                    self.assertEqual(received.status, 503)

    async def test_a_malformed_response_to_a_head_request_reaches_the_caller(self):
        for name in ("status 000 X", "status 600 X", "name b'X '", "two lengths", "coding b'gzip'", "two identifiers"):
            for node in self.fleet.nodes:
                with self.subTest(name, hop=node is not self.server):
                    received, _ = await self.send(node, MALFORMED[name], "HEAD", "/s/x")
                    self.assertEqual(received.status, 502)
        received, _ = await self.send(self.server, head(BODY[:-5]), "HEAD", "/s/x")
        self.assertEqual(received.status, 200)

    async def test_a_backend_server_speaks_in_the_name_of_a_node(self):
        for fields in (b"Snipeweir-Outcome: 1 backend_shed 1\r\n", b"snipeweir-outcome: 1 backend_shed 1\r\n",
                       b"Snipeweir-Outcome: 2 none 1\r\n", b"Snipeweir-Retry: 1 100 100\r\n"):
            for node in self.fleet.nodes:
                with self.subTest(fields, hop=node is not self.server):
                    received, runs = await self.send(node, head(fields + BODY))
                    self.assertEqual((received.status, received.body, runs), (200, b"hello", 1))
                    self.assertFalse([name for name in received.fields if name.startswith("snipeweir-")])

    async def test_a_field_for_one_connection_is_passed_on(self):
        fields = b"Connection: close, X-Hop\r\nConnection: x-other, Server-Seal\r\nX-Other: y\r\nX-Hop: y\r\nX-End: y\r\nKeep-Alive: timeout=5\r\n"
        for node in self.fleet.nodes:
            with self.subTest(hop=node is not self.server):
                received, _ = await self.send(node, head(fields + BODY))
                self.assertEqual((received.status, received.body), (200, b"hello"))
                names = ("x-end", "server-seal", "x-hop", "x-other")
                self.assertEqual([received.fields.get(name) for name in names], ["y", "s", None, None])

    async def test_a_connection_is_used_again_after_a_malformed_response(self):
        async def finish_run(reader, writer, fields, request_id):
            # The connection stays open, and the rest of it belongs to nobody.
            writer.write(with_line(b"X : y").replace(b"{id}", request_id.encode()))
            reuses.append(await reader.read(1))
            raise ConnectionError

        reuses = []
        self.backend.finish_run = finish_run
        for node in self.fleet.nodes:
            received, _ = await self.send(node, None)
            self.assertEqual(received.status, 502)
        await asyncio.sleep(0.1)
        self.assertEqual(reuses, [b"", b""])

    async def test_a_malformed_response_is_not_explained(self):
        for node in self.fleet.nodes:
            received, _ = await self.send(node, head(BODY, b"000 X"))
            self.assertEqual(received.fields["snipeweir-reason"], "answer_malformed")
        await asyncio.sleep(0.5)  # The log is written every 250 ms.
        events = [json.loads(line) for line in self.server.log_text().splitlines()]
        self.assertEqual(
            [event["fault"] for event in events if event["event"] == "malformed_response"], ["status", "status"])
        self.assertEqual([event["fault"] for event in events if event["event"] == "ran"], ["status", "status"])


class OtherReadersTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.fleet = Fleet(PROGRAM, self.folder.name, ["one"])
        await self.fleet.start()
        self.node = self.fleet.nodes[0]

    async def asyncTearDown(self):
        await self.fleet.stop()
        self.folder.cleanup()

    def events(self, name):
        return [event for event in map(json.loads, self.node.log_text().splitlines()) if event["event"] == name]

    async def wait_for(self, condition, timeout=6.0):
        """Waits until a condition holds. Returns whether it does."""
        for _ in range(int(timeout / 0.05)):
            if condition():
                return True
            await asyncio.sleep(0.05)
        return False

    async def wait_for_refusal(self):
        """Waits until the node has logged one more malformed response."""
        count = len(self.events("malformed_response"))
        self.assertTrue(await self.wait_for(lambda: len(self.events("malformed_response")) > count))

    async def test_a_malformed_response_to_a_health_check_says_which_instance_runs(self):
        body = b"Transfer-Encoding: chunked\r\n\r\nx\r\n"
        changes = CHANGES | {"a chunk without size": lambda whole: whole.replace(b"Content-Length: 0\r\n\r\n", body)}
        for name, change in changes.items():
            with self.subTest(name):
                self.node.backend.change_health_head = lambda whole: change(whole.replace(b"i-0", b"i-9"))
                await self.wait_for_refusal()
                self.assertEqual({event["instance"] for event in self.events("server_instance")}, {"i-0"})
        self.assertEqual(self.events("server_health")[-1]["healthy"], "false")
        self.node.backend.change_health_head = bytes
        self.assertTrue(await self.wait_for(lambda: self.events("server_health")[-1]["healthy"] == "true"))

    async def test_a_malformed_response_of_the_store_changes_the_configuration(self):
        routes = [self.fleet.route("/u/", "unsafe", "one")]
        for number, (name, change) in enumerate(CHANGES.items()):
            with self.subTest(name):
                taken = len(self.events("configuration_taken"))
                self.fleet.store.change_head = change
                routes.append(self.fleet.route(f"/{number}/", "safe", "one"))
                self.fleet.configure(routes)
                await self.wait_for_refusal()
                self.assertEqual(len(self.events("configuration_taken")), taken)
                self.fleet.store.change_head = bytes
                self.assertTrue(await self.wait_for(lambda: len(self.events("configuration_taken")) > taken))

    async def test_a_malformed_response_of_another_node_changes_the_view(self):
        announcer = Announcer(f"{self.fleet.subnet}.0.100", self.fleet.store)
        await announcer.start()
        # From now on the node gets documents from the simulated node only.
        self.node.store_proxy.set_mode("reset")
        await asyncio.sleep(0.5)
        changes = CHANGES | {"another revision": with_more(b"Snipeweir-Revision: 999999")}
        for number, (name, change) in enumerate(changes.items()):
            with self.subTest(name):
                self.fleet.store.put(f"servers/i-{50 + number}",
                                     self.node.backend.entry(f"{self.fleet.subnet}.0.{50 + number}", "a"))
                announcer.read()
                before = await self.fleet.metric(self.node, "snipeweir_backends")
                announcer.change_head = change
                announcer.announce(self.node, 0)
                await self.wait_for_refusal()
                self.assertEqual(await self.fleet.metric(self.node, "snipeweir_backends"), before)
                announcer.change_head = bytes
                await asyncio.sleep(1.6)  # Attempts at this version have ended.
                announcer.announce(self.node, 0)
                await asyncio.sleep(0.5)
                self.assertEqual(await self.fleet.metric(self.node, "snipeweir_backends"), before + 1)
        await announcer.stop()


class TwoServersTest(unittest.IsolatedAsyncioTestCase):
    async def test_an_idempotent_request_is_lost_or_another_one_sent_again_after_a_malformed_response(self):
        async def finish_run(reader, writer, fields, request_id):
            sent.append(request_id)
            status = b"000 X" if sent.count(request_id) == 1 else b"200 OK"
            writer.write(head(BODY, status).replace(b"{id}", request_id.encode()))
            raise ConnectionError

        sent = []
        with tempfile.TemporaryDirectory() as folder:
            fleet = Fleet(PROGRAM, folder, ["one", "one"])
            await fleet.start()
            for node in fleet.nodes:
                node.backend.finish_run = finish_run
            for method, path, status, runs in (("GET", "/s/x", 200, 2), ("POST", "/u/x", 502, 1)):
                request_id = fleet.new_id()
                received = await fleet.send(fleet.nodes[0], method, path, request_id=request_id)
                self.assertEqual((received.status, sent.count(request_id)), (status, runs))
            await fleet.stop()


if __name__ == "__main__":
    unittest.main()
