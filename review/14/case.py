"""CONFIG: downloads are on their way when the machine beside their backend server freezes. The callers' machines, which
are in touch, give no final answer at the route's timeout, nor half a second later: they wait for the rest of the body
until five seconds after it."""

import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import harness3  # noqa: E402
from harness3 import BROKEN, HELD, TROUBLE, Fleet, standins  # noqa: E402

DOWNLOAD_BYTES = 250_000  # restauro-sur: mean 90,000, at most 540,000.
WORK_TIME = 0.4  # restauro-sur: scan-fetch takes 0.77 s at most.
PARTS = 10
ROUTE_TIMEOUT = 1.2
CALLER_DEADLINE = 2.5
LATE = 0.5  # "0.5 s after it"
FREEZES = (6.0, 15.0, 24.0, 33.0, 42.0, 51.0, 60.0)
FREEZE_TIME = 3.5  # node_freeze: for_s = 3.5, share = 0.11; this is one machine of 13.
END = 68.0
CALLERS_PER_NODE = 4


class Scans(standins.Backend):
    """A server that sends a scan while it reads it."""

    async def finish_run(self, reader, writer, fields, request_id):
        loop = asyncio.get_running_loop()
        deadline = loop.time() + int(fields["deadline-ms"]) / 1000
        writer.write((f"HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\nServer-Seal: seal-{self.instance}\r\n"
                      f"Server-Load: {self.running},0,{self.slots},100\r\n"
                      f"Content-Length: {DOWNLOAD_BYTES}\r\n\r\n").encode())
        for _ in range(PARTS):
            writer.write(b"s" * (DOWNLOAD_BYTES // PARTS))
            await asyncio.sleep(WORK_TIME / PARTS)
            await asyncio.wait_for(writer.drain(), max(0.01, deadline - loop.time()))
            if loop.time() >= deadline:
                raise ConnectionError  # A server stops work at the deadline that it was given.


class Request:
    def __init__(self, request_id, node, begin):
        self.id, self.node, self.begin = request_id, node, begin
        self.head_at = self.answered_at = None  # answered_at: whole answer, or the connection's end within it.
        self.result = "the caller left at its deadline"


async def send(fleet, node, requests):
    loop = asyncio.get_running_loop()
    reader, writer = await asyncio.open_connection(node.ip, standins.PORTS["callers"])
    request = Request(fleet.new_id(), node, loop.time())
    requests.append(request)

    async def answer():
        writer.write((f"GET /scan/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {request.id}\r\n"
                      f"Deadline-Ms: {int(CALLER_DEADLINE * 1000)}\r\n\r\n").encode())
        head = await standins.read_head(reader)
        request.head_at = loop.time()
        request.result = "closed without an answer"
        if head:
            request.result = f"{head[0].split(' ')[1]}, whole"
            try:
                await reader.readexactly(int(head[1].get("content-length", 0)))
            except (asyncio.IncompleteReadError, OSError):
                request.result = f"{head[0].split(' ')[1]}, broken off"
        request.answered_at = loop.time()

    try:
        await asyncio.wait_for(answer(), CALLER_DEADLINE)
    except asyncio.TimeoutError:
        request.result = "no final answer by the caller's deadline"
    writer.close()
    return request


async def run_caller(fleet, node, requests, end):
    loop = asyncio.get_running_loop()
    while loop.time() < end:
        request = await send(fleet, node, requests)
        if request.result.startswith("503"):
            await asyncio.sleep(0.2)  # Retry-After


async def case(record, folder):
    fleet = Fleet(folder, ["fichas"] * 6 + ["informes"] * 4 + ["depositos"] * 3)
    for node in fleet.services("depositos"):
        node.backend = Scans(node.backend.instance, "depositos")
        node.backend.slots = 9
    await fleet.start(with_config=False)
    fleet.configure([fleet.route("/scan/", "download", "depositos", f"{int(ROUTE_TIMEOUT * 1000)}ms")])
    await fleet.wait_ready()
    beats = asyncio.ensure_future(fleet.heartbeats())
    loop = asyncio.get_running_loop()
    begin = loop.time()
    requests = []
    callers = [asyncio.ensure_future(run_caller(fleet, node, requests, begin + END))
               for node in fleet.services("informes") for _ in range(CALLERS_PER_NODE)]
    frozen = fleet.services("depositos")[0]
    for at in FREEZES:
        await asyncio.sleep(begin + at - loop.time())
        if TROUBLE:
            record.add(f"{frozen.ip}, beside a server of depositos, freezes for {FREEZE_TIME} s")
            frozen.signal(signal.SIGSTOP)
        await asyncio.sleep(FREEZE_TIME)
        if TROUBLE:
            frozen.signal(signal.SIGCONT)
    await asyncio.gather(*callers)
    beats.cancel()
    outlasted, unanswered = [], []
    for request in requests:
        at = f"sent at {request.begin - begin:.3f} s to {request.node.ip}"
        took = "never" if request.answered_at is None else f"{request.answered_at - request.begin:.3f} s"
        head = "never" if request.head_at is None else f"{request.head_at - request.begin:.3f} s"
        if request.answered_at is None or request.answered_at - request.begin > ROUTE_TIMEOUT:
            outlasted.append(request)
            if request.answered_at is None or request.answered_at - request.begin > ROUTE_TIMEOUT + LATE:
                unanswered.append(request)
            record.add(f"past the timeout: {request.id} {at}, head after {head}, end after {took}: {request.result}")
    results = {}
    for request in requests:
        results[request.result] = results.get(request.result, 0) + 1
    record.add(f"{len(requests)} requests: {results}")
    record.add(f"{len(outlasted)} requests lasted longer than their route's timeout of {ROUTE_TIMEOUT} s; "
               f"{len(unanswered)} of them had no final answer {LATE} s after it")
    await fleet.stop()
    if not results.get("200, whole"):
        raise RuntimeError("no request was served")
    return BROKEN if len(unanswered) >= 8 and len(unanswered) > len(outlasted) / 4 else HELD


harness3.main(__file__, case)
