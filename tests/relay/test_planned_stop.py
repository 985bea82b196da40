"""Tests what callers get in the planned stop of a node, from the signal to the end of its process, with real processes.

Usage: test_planned_stop.py PROGRAM [unittest arguments]"""

import asyncio
import os
import signal
import sys
import tempfile
import time
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
from fleet import Fleet, PORTS, read_head  # noqa: E402

PROGRAM = sys.argv.pop(1) if len(sys.argv) > 1 else "build/bin/snipeweir-platform"
GRACE = 6.0  # Seconds.
KINDS = (("GET", "/s/x"), ("POST", "/u/x"), ("GET", "/d/x"))


class Sent:
    """One request and what its caller got."""

    def __init__(self, kind, is_kept, after):
        self.kind, self.is_kept, self.after = kind, is_kept, after
        self.request_id, self.status, self.is_complete, self.took = None, None, False, None
        self.was_written = False


class KeptConnection:
    """A caller's connection that stays open between requests, as long as the node keeps it."""

    def __init__(self, node):
        self.node = node

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection(self.node.ip, PORTS["callers"])

    async def send(self, sent, deadline):
        """Sends one request and reads its response."""
        begin = time.monotonic()
        method, path = sent.kind
        try:
            self.writer.write((f"{method} {path} HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {sent.request_id}\r\n"
                               f"Deadline-Ms: {deadline}\r\nContent-Length: 0\r\n\r\n").encode())
            sent.was_written = True
            head = await asyncio.wait_for(read_head(self.reader), deadline / 1000 + 3)
            if head:
                sent.status = int(head[0].split(" ")[1])
                await self.reader.readexactly(int(head[1].get("content-length", 0)))
                sent.is_complete = True
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            pass
        sent.took = time.monotonic() - begin

    def close(self):
        self.writer.close()


class PlannedStopTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.fleet = Fleet(PROGRAM, self.folder.name, ["one", "one", "one", "two"])
        for node in self.fleet.nodes:
            node.backend.slots = 400  # So that no request is refused for lack of a slot.
        await self.fleet.start()
        self.fleet.configure([self.fleet.route("/s/", "safe", "one", "0ms"),
                              self.fleet.route("/u/", "unsafe", "one", "0ms"),
                              self.fleet.route("/d/", "download", "one", "0ms")])
        await asyncio.sleep(2)
        self.stopped = self.fleet.nodes[3]  # The callers' node; its own backend server serves no request here.

    async def asyncTearDown(self):
        await self.fleet.stop()
        self.folder.cleanup()

    def runs(self, request_id):
        return sum(node.backend.started.count(request_id) for node in self.fleet.nodes)

    async def send(self, sent, deadline, connection=None):
        sent.request_id = self.fleet.new_id()
        try:
            if not connection:
                connection = KeptConnection(self.stopped)
                await asyncio.wait_for(connection.open(), 1)
        except (OSError, asyncio.TimeoutError):
            return  # Nobody listens any more.
        await connection.send(sent, deadline)
        connection.close()

    async def stop_while_requests_come(self, deadline, backend_mode):
        """Sends one request of each kind every 0.1 s, on new and on kept connections, until the process has ended."""
        steps = int(GRACE / 0.1)
        kept = []
        for _ in range(steps * len(KINDS)):
            kept.append(KeptConnection(self.stopped))
            await kept[-1].open()
        for node in self.fleet.nodes:
            node.backend.mode = backend_mode
        requests, sends = [], []
        begin = time.monotonic()
        self.stopped.signal(signal.SIGTERM)
        for step in range(steps):
            await asyncio.sleep(max(0, begin + step * 0.1 - time.monotonic()))
            for kind in KINDS:
                for connection in (None, kept.pop()):
                    requests.append(Sent(kind, connection is not None, time.monotonic() - begin))
                    sends.append(asyncio.ensure_future(self.send(requests[-1], deadline, connection)))
        self.assertEqual(await asyncio.wait_for(self.stopped.process.wait(), GRACE), 0)
        await asyncio.gather(*sends)
        return requests

    def assert_answered_or_never_run(self, requests):
        for sent in requests:
            case = f"{sent.kind}, kept {sent.is_kept}, {sent.after:.1f} s after the signal, status {sent.status}"
            if sent.status == 503:
                self.assertLess(sent.took, 0.5, case)
            if sent.status == 200:
                self.assertTrue(sent.is_complete, case)
            else:
                # Refused, or the connection ended without a response: nothing of it may have run, now or later.
                self.assertIn(sent.status, (503, None), case)
                self.assertEqual(self.runs(sent.request_id), 0, case)

    async def test_a_request_that_runs_as_long_as_its_deadline_allows_is_cut_at_the_end_of_the_grace(self):
        requests = await self.stop_while_requests_come(4000, "until_deadline")
        self.assert_answered_or_never_run(requests)

    async def test_a_request_with_a_short_deadline_is_cut_or_refused_late(self):
        requests = await self.stop_while_requests_come(1500, "until_deadline")
        self.assert_answered_or_never_run(requests)

    async def test_requests_of_callers_that_cannot_know_of_the_stop_are_refused(self):
        requests = await self.stop_while_requests_come(4000, "ok")
        self.assert_answered_or_never_run(requests)
        for sent in requests:
            if sent.after < 2.5:
                self.assertEqual(sent.status, 200, f"{sent.kind}, {sent.after:.1f} s after the signal")

    async def stop_while_another_node_sends(self, backend_mode, deadline):
        """Stops a node whose backend server goes on, while the caller's node sends requests. Returns these and the
        times after the signal at which requests arrived at that server."""
        # The caller prefers the server in its own zone.
        stopping, caller = self.fleet.nodes[1], self.stopped
        for node in self.fleet.nodes:
            node.backend.mode = backend_mode
        requests, sends = [], []
        begin = time.monotonic()
        stopping.signal(signal.SIGTERM)
        for step in range(int(GRACE / 0.1)):
            await asyncio.sleep(max(0, begin + step * 0.1 - time.monotonic()))
            for kind in KINDS:
                requests.append(Sent(kind, False, time.monotonic() - begin))
                connection = KeptConnection(caller)
                await connection.open()
                sends.append(asyncio.ensure_future(self.send(requests[-1], deadline, connection)))
        self.assertEqual(await asyncio.wait_for(stopping.process.wait(), GRACE), 0)
        await asyncio.gather(*sends)
        return requests, [arrival[0] - begin for arrival in stopping.backend.arrivals if arrival[0] > begin]

    async def test_a_server_whose_node_stops_is_out_of_use_for_longer_than_the_stop_needs(self):
        requests, arrivals = await self.stop_while_another_node_sends("ok", 2000)
        self.assertEqual([sent.status for sent in requests], [200] * len(requests))
        self.assertTrue([after for after in arrivals if 1.2 < after < 1.8])
        self.assertLess(max(arrivals), 2.2)

    async def test_a_request_of_another_node_is_cut_at_the_end_of_the_grace(self):
        requests, _ = await self.stop_while_another_node_sends("until_deadline", 4000)
        self.assert_answered_or_never_run(requests)

    async def stop_while_responses_arrive_slowly(self, stopping, kind, sent_after):
        """Sends requests, on new and on kept connections, whose server works until 4.8 s after the signal to a node; the
        responses arrive until 5.7 s after it.

        sent_after: seconds from the signal to the requests; negative if they come before."""
        for node in self.fleet.nodes:
            node.backend.mode, node.backend.service_time = "slow_link", 4.8 - sent_after
            node.backend.body = b"x" * 450_000
        connections = [KeptConnection(self.stopped) for _ in range(6)]
        for connection in connections[:3]:
            await connection.open()
        begin = time.monotonic() + max(0, -sent_after)
        asyncio.get_running_loop().call_later(max(0, -sent_after), stopping.signal, signal.SIGTERM)
        await asyncio.sleep(max(0, sent_after))
        for connection in connections[3:]:
            await connection.open()
        requests = [Sent(kind, i < 3, sent_after) for i in range(len(connections))]
        sends = [asyncio.ensure_future(self.send(sent, 8000, connection))
                 for sent, connection in zip(requests, connections)]
        self.assertEqual(await asyncio.wait_for(stopping.process.wait(), begin + GRACE - time.monotonic()), 0)
        await asyncio.gather(*sends)
        for sent in requests:
            self.assertTrue(sent.status == 200 and sent.is_complete, f"status {sent.status}, kept {sent.is_kept}")

    async def test_a_response_that_was_made_in_time_is_cut_at_the_node_that_took_the_request(self):
        await self.stop_while_responses_arrive_slowly(self.stopped, ("GET", "/d/x"), 2.4)

    async def test_a_response_that_was_made_in_time_is_cut_at_the_node_beside_its_server(self):
        for node in (self.fleet.nodes[0], self.fleet.nodes[2]):
            self.fleet.store.remove(f"servers/{node.backend.instance}")
        await asyncio.sleep(2)
        # After the signal the node would refuse a request whose deadline lies behind its end.
        await self.stop_while_responses_arrive_slowly(self.fleet.nodes[1], ("POST", "/u/x"), -0.2)
        self.assertGreater(len(self.fleet.nodes[1].backend.started), 0)

    async def test_a_request_that_still_runs_at_the_end_takes_the_responses_behind_it_along(self):
        self.fleet.configure([self.fleet.route("/s/", "safe", "one", "0ms"),
                              self.fleet.route("/t/", "safe", "two", "0ms")])
        await asyncio.sleep(2)
        for node in self.fleet.nodes[:3]:
            node.backend.mode = "hang"
        reader, writer = await asyncio.open_connection(self.stopped.ip, PORTS["callers"])
        ids = [self.fleet.new_id() for _ in range(3)]
        writer.write(b"".join(
            f"GET {path} HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {request_id}\r\nDeadline-Ms: 20000\r\n\r\n".encode()
            for path, request_id in zip(("/s/x", "/t/x", "/t/x"), ids)))
        await asyncio.sleep(0.5)
        self.assertEqual([self.runs(request_id) for request_id in ids[1:]], [1, 1])
        begin = time.monotonic()
        self.stopped.signal(signal.SIGTERM)
        exited = asyncio.ensure_future(self.stopped.process.wait())
        answers = []
        for _ in ids:
            head = await asyncio.wait_for(read_head(reader), GRACE)
            if not head:
                break
            await reader.readexactly(int(head[1].get("content-length", 0)))
            answers.append((int(head[0].split(" ")[1]), head[1].get("request-id")))
        self.assertEqual(answers, list(zip((504, 200, 200), ids)))
        self.assertEqual(await reader.read(), b"")  # The connection ends orderly.
        writer.close()
        self.assertEqual(await asyncio.wait_for(exited, begin + GRACE - time.monotonic()), 0)

    async def test_a_long_request_starts_at_a_node_that_ends_before_it(self):
        for node in self.fleet.nodes:
            node.backend.service_time = 3.6
        requests, _ = await self.stop_while_another_node_sends("ok", 5000)
        for sent in requests:
            self.assertEqual(sent.status, 200, f"{sent.kind}, {sent.after:.1f} s after the signal")

    async def test_a_process_that_stops_while_operations_are_pending_crashes(self):
        # Pending operations must not outlive the parts of the node that they use when they are destroyed.
        self.fleet.configure([self.fleet.route("/s/", "safe", "one", "0ms"),
                              self.fleet.route("/t/", "safe", "two", "0ms")])
        await asyncio.sleep(2)
        for node in self.fleet.nodes:
            node.signal(signal.SIGTERM)
        await asyncio.sleep(1)
        for node in self.fleet.nodes:
            node.backend.mode = "stall"
        connections = []
        for node in self.fleet.nodes:
            for path in ("/s/x", "/t/x") * 6:
                connections.append(KeptConnection(node))
                await connections[-1].open()
                # The second request of each connection waits for the response to the first.
                connections[-1].writer.write(b"".join(
                    f"GET {path} HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {self.fleet.new_id()}\r\n"
                    "Deadline-Ms: 9000\r\n\r\n".encode() for _ in range(2)))
        await asyncio.sleep(0.5)
        for node in self.fleet.nodes:
            node.backend.is_health_silent = True
        self.fleet.store.mode = "silent"
        running = sum(node.backend.running for node in self.fleet.nodes)
        codes = [await asyncio.wait_for(node.process.wait(), GRACE) for node in self.fleet.nodes]
        for connection in connections:
            connection.close()
        self.assertGreater(running, 2 * len(self.fleet.nodes))
        self.assertEqual(codes, [0] * len(self.fleet.nodes))

    @staticmethod
    async def change_settings(node, is_over):
        """Sends SIGHUP again and again. Popen.send_signal() would take the exit code from asyncio."""
        descriptor = os.pidfd_open(node.process.pid)
        while not is_over():
            try:
                signal.pidfd_send_signal(descriptor, signal.SIGHUP)
            except ProcessLookupError:
                pass
            await asyncio.sleep(0.0002)
        os.close(descriptor)

    async def test_a_change_of_the_settings_while_a_process_starts_or_ends_kills_it(self):
        node = self.stopped
        path = os.path.join(self.fleet.folder, f"node-{node.index}.log")
        for _ in range(5):
            node.signal(signal.SIGTERM)
            await asyncio.sleep(2.4)  # An idle process ends 2.6 s after SIGTERM.
            await self.change_settings(node, lambda: node.process.returncode is not None)
            self.assertEqual(node.process.returncode, 0)
            with open(path, encoding="utf-8") as log:
                log.seek(0, os.SEEK_END)
                await node.start_process()
                while '"event":"start"' not in log.read():
                    await asyncio.sleep(0)
            end = time.monotonic() + 0.2
            await self.change_settings(node, lambda: time.monotonic() > end)
            self.assertIsNone(node.process.returncode)
            await self.fleet.wait_ready()


if __name__ == "__main__":
    unittest.main()
