"""Two of 13 machines are stopped as planned (SIGTERM), several times in the run. At that time connections to the endpoints
beside them have gone silent in the middle of an answer, and their clients are still within their deadlines. The processes have
to end in an orderly way, as they do without the silent connections; the platform's stand-in looks at how each one ends."""

import asyncio
import os
import signal
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
from standins2 import STABLE_WINDOW, base, has_trouble, run_case  # noqa: E402

STOPS = 7  # At most; the run ends once both processes have crashed three times.
CRASHES = 3
GRACE = 6.0
SENT_AFTER = 1.6  # Seconds from SIGTERM until the requests are sent; the nodes take them for 3 s.
REQUESTS = 6  # At each of the two machines.
DEADLINE_MS = 4000  # As that of report-sign in SYSTEM.md.
RESPONSE_BYTES = 200_000  # The silent connections carry half of it.


class Endpoint(base.Backend):
    """An endpoint whose connection goes silent in the middle of an answer while is_silent is set."""

    is_silent = False

    async def finish_run(self, reader, writer, fields, request_id):
        if not self.is_silent:
            await super().finish_run(reader, writer, fields, request_id)
            return
        writer.write((f"HTTP/1.1 200 X\r\nRequest-Id: {request_id}\r\nServer-Seal: seal-{self.instance}\r\n"
                      f"Content-Length: {RESPONSE_BYTES}\r\n\r\n").encode() + self.body[:RESPONSE_BYTES // 2])
        await writer.drain()
        await reader.read(1)  # Until the node closes the connection.
        raise ConnectionError


async def stop(node, record):
    """Returns the exit code of the process of a machine."""
    begin = time.monotonic()
    node.signal(signal.SIGTERM)
    try:
        await asyncio.wait_for(node.process.wait(), GRACE)
    except asyncio.TimeoutError:
        record.write(f"machine {node.index}: killed at the end of the grace")
        await node.kill()
    code = node.process.returncode
    text = f"signal {signal.Signals(-code).name}" if code < 0 else f"exit code {code}"
    record.write(f"machine {node.index}: the process ended {time.monotonic() - begin:.2f} s after SIGTERM, {text}")
    return code


async def case(fleet, record):
    stopped = fleet.nodes[-2:]
    for node in stopped:
        await node.backend.stop()
        node.backend = Endpoint(node.backend.instance, node.service)
        node.backend.body = b"x" * RESPONSE_BYTES
        await node.backend.start(node.ip, base.PORTS["backend"] + 100)
    fleet.configure([fleet.route("/s/", "safe", "one"), fleet.route("/t/", "safe", "two")])
    crashes = {node.index: 0 for node in stopped}
    for _ in range(STOPS):
        await asyncio.sleep(STABLE_WINDOW + 1)
        ends = [asyncio.ensure_future(stop(node, record)) for node in stopped]
        await asyncio.sleep(SENT_AFTER)
        for node in stopped:
            node.backend.is_silent = has_trouble()
        requests = [asyncio.ensure_future(fleet.send(node, "GET", "/t/x", deadline=DEADLINE_MS))
                    for node in stopped for _ in range(REQUESTS)]
        for node, code in zip(stopped, await asyncio.gather(*ends)):
            crashes[node.index] += code not in (0, -signal.SIGKILL)
        answers = [(response.status, len(response.body)) if response else None for response in await asyncio.gather(*requests)]
        record.write(f"answers: {answers}")
        if not any(answers):
            raise RuntimeError("no request was passed on")
        for node in stopped:
            node.backend.is_silent = False
            await node.start_process()
        await fleet.wait_ready()
        if min(crashes.values()) >= CRASHES:
            break
    record.write(f"processes that ended by a crash, by machine: {crashes}")
    # "on a tenth of the machines in use (two at least) processes end by themselves three times in the day"
    return sum(count >= CRASHES for count in crashes.values()) < 2


sys.exit(run_case(os.path.dirname(os.path.abspath(__file__)), case, ["one"] * 11 + ["two"] * 2))
