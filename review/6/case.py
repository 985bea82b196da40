"""A machine is stopped as planned (SIGTERM) while clients with kept connections fetch responses of 300 KB over a link of
10 Mbit/s and 3 ms. Each client sends a further safe request before the first one has been answered. The first request has
been read and passed on, so its connection must not end before its response is complete."""

import asyncio
import os
import random
import signal
import socket
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
from standins2 import base, has_trouble, run_case  # noqa: E402

CLIENTS = 120
SPREAD = 2.2  # Seconds over which the clients start; the node takes requests for 3 s after SIGTERM.
RESPONSE_BYTES = 300_000
SERVICE_TIME = 0.05
DELAY = 0.003  # One way, "3 ms to clients".
BYTES_PER_SECOND = 10e6 / 8  # A machine's link of 10 Mbit/s.
WINDOW = 16_384  # Receive buffer of the link: "small windows".


class Link:
    """The link between one client and the node: delays the bytes in both directions, and carries 10 Mbit/s to the client.
    A reset by the node is passed on as the end of the connection."""

    async def open(self, ip):
        connection = socket.socket()
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW)
        connection.setblocking(False)
        await asyncio.get_running_loop().sock_connect(connection, (ip, base.PORTS["callers"]))
        self.connection = connection
        self.received = asyncio.Queue()
        self.reader = asyncio.ensure_future(self.carry())

    def send(self, data):
        asyncio.get_running_loop().call_later(DELAY, self.deliver, data)

    def deliver(self, data):
        try:
            self.connection.send(data)
        except OSError:
            pass  # The node has closed the connection; the reading side sees it.

    async def carry(self):
        loop = asyncio.get_running_loop()
        while True:
            try:
                data = await loop.sock_recv(self.connection, 8192)
                end = "closed"
            except OSError as error:
                data, end = b"", f"reset ({error.strerror})"
            loop.call_later(DELAY, self.received.put_nowait, data or end)
            if not data:
                return
            await asyncio.sleep(len(data) / BYTES_PER_SECOND)

    def close(self):
        self.reader.cancel()
        self.connection.close()


def request(request_id):
    return (f"GET /s/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {request_id}\r\nDeadline-Ms: 2500\r\n\r\n").encode()


async def fetch(fleet, node, rng, delay, outcomes):
    await asyncio.sleep(delay)
    link = Link()
    await link.open(node.ip)
    first, second = fleet.new_id(), fleet.new_id()
    sent_at = time.monotonic()
    link.send(request(first))
    # The further request is sent at some time around that of the first response, unless the client has seen by then that
    # the connection will be closed.
    pause = rng.uniform(SERVICE_TIME - 0.01, SERVICE_TIME + 0.03)
    data, end, has_sent_second = b"", None, False
    while end is None:
        left = sent_at + pause - time.monotonic()
        if not has_sent_second and left <= 0:
            has_sent_second = True
            if b"\r\n\r\n" not in data:
                link.send(request(second))
            else:
                second = None
            continue
        try:
            item = await asyncio.wait_for(link.received.get(), left if not has_sent_second else 4)
        except asyncio.TimeoutError:
            if has_sent_second:
                end = "silent"
            continue
        if isinstance(item, str):
            end = item
        else:
            data += item
            head, _, body = data.partition(b"\r\n\r\n")
            if b" 200 " in head[:15] and len(body) >= RESPONSE_BYTES:
                end = "complete"
            elif head and b" 200 " not in head[:15]:
                end = "refused"
    link.close()
    outcomes.append((first, second, sent_at, pause, end, len(data.partition(b"\r\n\r\n")[2]), b"Connection: close" in data))


async def case(fleet, record):
    rng = random.Random(1)
    node = fleet.nodes[0]
    for other in fleet.nodes:
        other.backend.body = b"x" * RESPONSE_BYTES
        other.backend.service_time = SERVICE_TIME
    outcomes = []
    clients = [asyncio.ensure_future(fetch(fleet, node, rng, 0.3 + SPREAD * i / CLIENTS, outcomes))
               for i in range(CLIENTS)]
    stopped_at = time.monotonic()
    if has_trouble():
        node.signal(signal.SIGTERM)
        record.write("SIGTERM to the process of machine 0")
    await asyncio.gather(*clients)
    started = [request_id for other in fleet.nodes for request_id in other.backend.started]
    lost = 0
    for first, second, sent_at, pause, end, size, says_close in outcomes:
        ran = first in started
        lost += ran and end not in ("complete", "refused")
        record.write(f"{first} sent {sent_at - stopped_at:.3f} s after the stop, ran: {ran}; "
                     f"{second or 'nothing'} sent {pause * 1000:.0f} ms later; connection: {end} after {size} of "
                     f"{RESPONSE_BYTES} bytes, says close: {says_close}")
    complete = sum(outcome[4] == "complete" for outcome in outcomes)
    record.write(f"{complete} of {len(outcomes)} responses were complete, {lost} of requests that ran were not")
    if complete < CLIENTS // 3:
        raise RuntimeError("too few requests were served")
    return lost == 0


sys.exit(run_case(os.path.dirname(os.path.abspath(__file__)), case, ["one", "one", "one", "one"]))
