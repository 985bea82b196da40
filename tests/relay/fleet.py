"""A fleet of real relay node processes on loopback addresses, for the rule tests and the soak test. The platform's
store and the backend servers are simulated, and fault-injecting proxies sit between each node and the store and between
each node and its backend server."""

import asyncio
import base64
import ctypes
import itertools
import json
import os
import signal
import socket
import struct
import time
import urllib.parse

PORTS = {"callers": 7304, "peers": 7300, "ready": 7302, "backend": 7301, "query": 7620, "metrics": 9102}
BOUNDS = {"retryBudgetRatio": 0.2, "retryBudgetExtra": 64, "budgetWindow": "10s", "grace": "6s"}


def reset(writer):
    """Closes a connection with a reset instead of an end of the stream."""
    connection = writer.get_extra_info("socket")
    if connection.fileno() >= 0:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


PR_SET_PDEATHSIG = 1


def end_with_parent():
    """Lets this process be killed when its parent ends, however that ends."""
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


def is_listening(address):
    """Whether a process listens on a TCP address of this machine."""
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind(address)
        except OSError:
            return True
    return False


def claim_subnet():
    """Returns the first two bytes of loopback addresses that no other test uses, and the socket that holds the claim.
    A node that outlived its test holds addresses without a claim."""
    for attempt in range(100):
        subnet = f"127.{100 + (os.getpid() + attempt) % 100}"
        claim = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            claim.bind((f"{subnet}.9.8", 7399))
            if not is_listening((f"{subnet}.0.1", PORTS["callers"])):
                return subnet, claim
        except OSError:
            pass
        claim.close()
    raise RuntimeError("tests of other processes use all subnets")


class Proxy:
    """Forwards TCP connections and injects faults. Modes: pass, delay (adds 200 ms in each direction), silent
    (connections stay open but no bytes pass), lose_answers (bytes pass only towards the server), reset (connections are
    reset)."""

    def __init__(self, listen, target):
        self.listen, self.target = listen, target
        self.mode = "pass"
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, *self.listen, backlog=512)

    async def stop(self):
        self.server.close()
        self.reset_all()

    def set_mode(self, mode):
        self.mode = mode
        if mode == "reset":
            self.reset_all()

    def reset_all(self):
        for writer in list(self.writers):
            reset(writer)

    async def serve(self, reader, writer):
        if self.mode == "reset":
            reset(writer)
            return
        try:
            server_reader, server_writer = await asyncio.open_connection(*self.target)
        except OSError:
            reset(writer)
            return
        self.writers |= {writer, server_writer}
        # A connection that went silent stays silent, as after a middlebox has lost its state.
        state = {"silent": False}
        await asyncio.gather(
            self.forward(reader, server_writer, False, state), self.forward(server_reader, writer, True, state))
        self.writers -= {writer, server_writer}

    async def forward(self, reader, writer, is_response, state):
        try:
            while data := await reader.read(65536):
                if self.mode == "delay":
                    await asyncio.sleep(0.2)
                state["silent"] |= self.mode == "silent" or (self.mode == "lose_answers" and is_response)
                if state["silent"]:
                    continue
                writer.write(data)
                await writer.drain()
            if not state["silent"]:
                writer.close()
        except (OSError, asyncio.CancelledError):
            reset(writer)


async def read_chunked(reader):
    """Returns the body in chunked coding, and whether it is complete."""
    body = b""
    try:
        while size := int((await reader.readline()).split(b";")[0] or b"x", 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readline()
        return body, True
    except (asyncio.IncompleteReadError, ValueError, OSError):
        return body, False


async def read_head(reader):
    """Returns the start line and the header fields by lower-case name, or None if the connection ended before."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, OSError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


class Store:
    """Simulates the platform's store: items with revisions, paged range reads and watches. It can be restored from a
    copy: what was written since the copy is gone, its revisions are given out again, and the era rises."""

    def __init__(self, ip):
        self.ip = ip
        self.items = {}
        self.revision = 1
        self.changes = []
        self.history_start = 0
        self.era = None  # The era that all responses name, if any.
        self.copy = None
        self.lost = {}  # key -> value, or None if removed: writes that restores have lost and nobody has repeated
        self.first_response = None  # Time of the first response since the store was restored.
        self.connections = set()
        self.mode = "ok"
        self.request_count = 0
        self.page_time = 0.0  # Seconds over which the body of a page is sent.
        self.change_head = bytes  # Changes the heads of responses.

    async def start(self, port):
        self.server = await asyncio.start_server(self.serve, self.ip, port, backlog=512)

    def put(self, key, value):
        self.lost.pop(key, None)
        if self.mode == "reset":
            self.lost[key] = value
            return
        self.revision += 1
        self.items[key] = (value, self.revision)
        self.changes.append((key, self.revision, value))

    def remove(self, key):
        self.lost.pop(key, None)
        if self.mode == "reset":
            self.lost[key] = None
        elif self.items.pop(key, None):
            self.revision += 1
            self.changes.append((key, self.revision, None))

    def compact_history(self):
        """Discards all changes so far; watches from an earlier revision get status 410 from now on."""
        self.changes.clear()
        self.history_start = self.revision

    def save_copy(self, lacks=()):
        """Saves the copy that restore_copy() goes back to, as if these keys had been written after it."""
        items = {key: item for key, item in self.items.items() if key not in lacks}
        changes = [change for change in self.changes if change[0] not in lacks]
        self.copy = (items, self.revision, changes, self.history_start)

    def replica(self, ip):
        """Returns a store with the same contents and era that gets no further writes."""
        replica = Store(ip)
        replica.items, replica.revision, replica.era = dict(self.items), self.revision, self.era
        replica.changes, replica.history_start = list(self.changes), self.history_start
        return replica

    async def restore_copy(self, away):
        """Resets all connections for some seconds, then serves the saved copy in the next era. Writes meanwhile are
        lost too."""
        self.mode = "reset"
        for writer in list(self.connections):
            reset(writer)
        items, revision, changes, self.history_start = self.copy
        self.lost |= {key: value for key, written_at, value in self.changes if written_at > revision}
        self.revision = revision
        self.items, self.changes = dict(items), list(changes)
        self.era = (self.era or 0) + 1
        self.first_response = None
        await asyncio.sleep(away)
        self.mode = "ok"

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while head := await read_head(reader):
                if self.mode == "reset":
                    reset(writer)
                    return
                self.request_count += 1
                path, _, query = head[0].split(" ")[1].partition("?")
                arguments = {name: urllib.parse.unquote(value)
                             for name, value in (part.split("=", 1) for part in query.split("&"))}
                while self.mode == "silent":
                    await asyncio.sleep(0.05)
                status, body = (503, {}) if self.mode == "refuse" else await self.respond(path, arguments)
                text = json.dumps(body).encode()
                era = f"Store-Era: {self.era}\r\n" if self.era is not None else ""
                writer.write(self.change_head(
                    f"HTTP/1.1 {status} X\r\n{era}Content-Length: {len(text)}\r\n\r\n".encode()))
                if path == "/v1/kv-range" and self.page_time:
                    for i in range(10):
                        await asyncio.sleep(self.page_time / 10)
                        writer.write(text[len(text) * i // 10:len(text) * (i + 1) // 10])
                else:
                    writer.write(text)
                await writer.drain()
                self.first_response = self.first_response or time.monotonic()
        except (OSError, ConnectionError):
            pass
        except asyncio.CancelledError:
            reset(writer)  # The fleet ends while a watch waits.
        finally:
            self.connections.discard(writer)
            writer.close()

    async def respond(self, path, arguments):
        prefix = arguments["prefix"]
        if path == "/v1/kv-range":
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > arguments.get("after", ""))
            items = [{"key": k, "value": base64.b64encode(self.items[k][0]).decode(), "revision": self.items[k][1]}
                     for k in keys[:5]]
            return 200, {"items": items, "hasMore": len(keys) > 5, "atRev": self.revision}
        end = time.monotonic() + int(arguments["waitMs"]) / 1000
        while True:
            if not self.history_start <= int(arguments["after"]) <= self.revision:
                return 410, {}
            events = [{"key": k, "revision": r} | (
                {"isGone": True} if v is None else {"value": base64.b64encode(v).decode()})
                for k, r, v in self.changes if r > int(arguments["after"]) and k.startswith(prefix)]
            # The events and the revision must be those of one moment, or the changes between are lost.
            if events or time.monotonic() >= end:
                return 200, {"events": events, "atRev": self.revision}
            await asyncio.sleep(0.02)


class Backend:
    """Simulates a backend server. Modes: ok, error (status 500), hang (runs for 30 s), until_deadline (responds 500
    ms before the deadline that it was given), reset_after_run (runs, then resets the connection), extra (sends a
    second response), cut (truncates the response), cut_head (truncates it within its head), no_seal (omits the
    signature), encoded (sets Content-Encoding), shed (refuses without running), shed_twice (refuses every other
    request, and sends each refusal once more later), endless (see endless), unframed (the response has no length
    and ends with its connection), unframed_reset (the same, reset within the body), stall (sends the first 100 KB of a
    response and then nothing), close_reused (closes a connection at its second request without a response), slow_link
    (runs as in the mode ok, then the response arrives with link_bytes_per_second)."""

    def __init__(self, instance, service, service_time=0.05):
        self.instance, self.service, self.service_time = instance, service, service_time
        self.born = 1700000000000
        self.has_drained = False  # Whether its last entry was draining.
        self.sequence = 0  # Increases with each write of the entry.
        self.slots = 10
        self.mode = "ok"
        self.cold_until = 0.0
        self.arrivals = []  # (time, id, path, fields)
        self.started = []  # ids of requests that ran
        self.aborted_runs = []  # (time, id) of runs whose connection the node closed
        self.health_checks = 0
        self.is_leaving = False  # Whether all responses say that the server leaves.
        self.rate_limit = None  # Requests per second that all responses name as the most that the server takes.
        self.is_health_silent = False  # Whether health checks get no response.
        self.health_delay = 0.0  # Seconds until a health check gets its response.
        self.change_health_head = bytes  # Changes the heads of responses to health checks.
        self.endless = None  # Bytes to send, and bytes to repeat after them until the node closes the connection.
        self.endless_ends = []  # (begin, end) of such responses, the end when the node closed the connection.
        self.body = b"x" * 300
        self.link_bytes_per_second = 500_000
        self.head_bytes = 0  # Length of the truncated head.
        self.refuses_with_id = True  # Whether refusals carry the request's id.
        self.repeat_delay = 0.03  # Seconds until a refusal or an extra response is sent.
        self.max_connections = None  # Connections beyond this number are reset.
        self.max_runs = None  # A request beyond this number of concurrent ones is not run, and its connection reset.
        self.connections = 0
        self.running = 0
        self.max_running = 0
        self.read_pause = 0.0  # Seconds from the head of a request until its body is read.
        self.closed_reused = 0  # Connections closed in the mode close_reused.
        self.echoes_request_id = False  # Whether the response's body contains the request's id.
        self.call = None  # Awaited by each run, for example to call a service; the run fails unless it returns True.

    async def start(self, ip, port):
        self.server = await asyncio.start_server(self.serve, ip, port, backlog=512)

    async def stop(self):
        self.server.close()

    def entry(self, ip, zone, state="ready"):
        return json.dumps({"service": self.service, "address": f"{ip}:{PORTS['backend']}", "zone": zone,
                           "version": "v1", "slots": self.slots, "state": state, "coldRemaining": "0ms",
                           "seq": self.sequence, "born": self.born}).encode()

    def notices(self):
        """Returns the header lines in which all responses say what the server needs."""
        leaving = "Server-Leaving: 1\r\n" if self.is_leaving else ""
        return leaving + (f"Server-Limit: {self.rate_limit}\r\n" if self.rate_limit is not None else "")

    async def serve(self, reader, writer):
        self.connections += 1
        try:
            if self.max_connections is not None and self.connections > self.max_connections:
                reset(writer)
                return
            for number in itertools.count():
                if not (head := await read_head(reader)):
                    break
                line, fields = head
                if number and self.mode == "close_reused" and line.split(" ")[1] != "/health":
                    self.closed_reused += 1
                    return
                if fields.get("content-length", "0") != "0":
                    await asyncio.sleep(self.read_pause)
                body = await reader.readexactly(int(fields.get("content-length", 0)))
                if line.split(" ")[1] == "/health":
                    self.health_checks += 1
                    if self.is_health_silent:
                        await reader.read()
                        return
                    await asyncio.sleep(self.health_delay)
                    cold = max(0, int((self.cold_until - time.monotonic()) * 1000))
                    extra = f"Cold-Ms: {cold}\r\n" if cold else ""
                    status = "503 X" if self.is_leaving else "200 OK"
                    writer.write(self.change_health_head((
                        f"HTTP/1.1 {status}\r\nInstance-Id: {self.instance}\r\nServer-Load: 0,0,10,100\r\n"
                        f"{self.notices()}{extra}Content-Length: 0\r\n\r\n").encode()))
                    await writer.drain()
                    continue
                await self.run(reader, writer, line, fields, body)
        except (OSError, ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.connections -= 1
            writer.close()

    async def write_endlessly(self, writer, request_id):
        """Sends the bytes of self.endless, in the first of which {id} is replaced by the request's id."""
        begin = time.monotonic()
        first, repeated = self.endless
        try:
            writer.write(first.replace(b"{id}", request_id.encode()))
            while not writer.is_closing():
                writer.write(repeated)
                await writer.drain()
                await asyncio.sleep(0.001)
        finally:
            self.endless_ends.append((begin, time.monotonic()))

    async def write_slowly(self, writer, response):
        """Sends a response in parts, one every 20 ms."""
        begin, part = time.monotonic(), int(self.link_bytes_per_second * 0.02)
        for number, position in enumerate(range(0, len(response), part)):
            await asyncio.sleep(max(0, begin + number * 0.02 - time.monotonic()))
            writer.write(response[position:position + part])
            await writer.drain()

    async def run(self, reader, writer, line, fields, body):
        request_id = fields.get("request-id", "")
        if fields.get("expected-instance", self.instance) != self.instance:
            writer.write(f"HTTP/1.1 421 X\r\nInstance-Id: {self.instance}\r\nRequest-Id: {request_id}\r\n"
                         f"{self.notices()}Content-Length: 0\r\n\r\n".encode())
            return
        self.arrivals.append((time.monotonic(), request_id, line, fields))
        if self.mode == "shed" or (self.mode == "shed_twice" and len(self.arrivals) % 2):
            echo = f"Request-Id: {request_id}\r\n" if self.refuses_with_id else ""
            refusal = f"HTTP/1.1 503 X\r\nNot-Executed: 1\r\n{echo}{self.notices()}Content-Length: 0\r\n\r\n".encode()
            writer.write(refusal)
            if self.mode == "shed_twice":
                asyncio.get_running_loop().call_later(self.repeat_delay, writer.write, refusal)
            return
        if self.max_runs is not None and self.running >= self.max_runs:
            reset(writer)
            raise ConnectionError
        self.started.append(request_id)
        self.running += 1
        self.max_running = max(self.max_running, self.running)
        try:
            await self.finish_run(reader, writer, fields, request_id)
        finally:
            self.running -= 1

    async def finish_run(self, reader, writer, fields, request_id):
        mode = self.mode
        if mode == "endless":
            await self.write_endlessly(writer, request_id)
        if mode == "stall":
            writer.write((f"HTTP/1.1 200 X\r\nRequest-Id: {request_id}\r\nServer-Seal: seal-{self.instance}\r\n"
                          "Content-Length: 200000\r\n\r\n").encode() + b"x" * 100_000)
            await reader.read(1)
            self.aborted_runs.append((time.monotonic(), request_id))
            raise ConnectionError
        closed = asyncio.ensure_future(reader.read(1))
        service_time = 30 if mode == "hang" else self.service_time
        if mode == "until_deadline":
            service_time = max(0, int(fields["deadline-ms"]) / 1000 - 0.5)
        done, _ = await asyncio.wait({closed}, timeout=service_time)
        if done and not closed.result():
            self.aborted_runs.append((time.monotonic(), request_id))
            raise ConnectionError
        closed.cancel()
        await asyncio.sleep(0)
        if mode == "reset_after_run":
            reset(writer)
            raise ConnectionError
        has_called = self.call is None or await self.call()
        status = 500 if mode == "error" or not has_called else 200
        seal = "" if mode == "no_seal" else f"Server-Seal: seal-{self.instance}\r\n"
        encoded = "Content-Encoding: gzip\r\n" if mode == "encoded" else ""
        text = (request_id * 20).encode() if self.echoes_request_id else self.body
        response = (f"HTTP/1.1 {status} X\r\nRequest-Id: {request_id}\r\n{seal}{encoded}{self.notices()}"
                    f"Server-Load: 1,0,10,100\r\nContent-Length: {len(text)}\r\n\r\n").encode() + text
        if mode == "cut_head":
            writer.write(response[:self.head_bytes])
            raise ConnectionError
        if mode == "cut":
            writer.write(response[:-20])
            raise ConnectionError
        if mode in ("unframed", "unframed_reset"):
            response = response.replace(f"Content-Length: {len(text)}\r\n".encode(), b"Connection: close\r\n")
            writer.write(response[:-20] if mode == "unframed_reset" else response)
            await writer.drain()
            if mode == "unframed_reset":
                await asyncio.sleep(0.05)  # So that the bytes arrive before the reset.
                reset(writer)
            raise ConnectionError
        if mode == "slow_link":
            await self.write_slowly(writer, response)
            return
        writer.write(response)
        if mode == "extra":
            extra = response.replace(b"x", b"y")
            if self.repeat_delay:
                asyncio.get_running_loop().call_later(self.repeat_delay, writer.write, extra)
            else:
                writer.write(extra)
        await writer.drain()


class Response:
    def __init__(self, status, fields, body, is_complete):
        self.status, self.fields, self.body, self.is_complete = status, fields, body, is_complete


class Node:
    def __init__(self, fleet, index, service, zone):
        self.fleet, self.index, self.service, self.zone = fleet, index, service, zone
        self.ip = f"{fleet.subnet}.0.{index + 1}"
        self.backend = Backend(f"i-{index}", service)
        self.backend_proxy = Proxy((self.ip, PORTS["backend"]), (self.ip, PORTS["backend"] + 100))
        self.store_proxy = Proxy((fleet.store.ip, 7400 + index), (fleet.store.ip, 7309))
        self.store_port = 7400 + index
        self.process = None
        self.seeds = []  # Nodes

    def settings(self):
        return {"vm": f"node-{self.index}", "data_centre": self.zone, "service": self.service,
                "backend_address": f"{self.ip}:{PORTS['backend']}", "callers_address": f"{self.ip}:{PORTS['callers']}",
                "peers_address": f"{self.ip}:{PORTS['peers']}", "readiness_address": f"{self.ip}:{PORTS['ready']}",
                "query_port": PORTS["query"], "store_address": f"{self.fleet.store.ip}:{self.store_port}",
                "seeds": [f"{seed.ip}:7399" for seed in self.seeds], "bounds": BOUNDS | self.fleet.more_bounds}

    def write_settings(self):
        """Writes the settings file and returns its path."""
        path = os.path.join(self.fleet.folder, f"node-{self.index}.json")
        with open(path, "w") as file:
            json.dump(self.settings(), file)
        return path

    async def start_process(self):
        path = self.write_settings()
        log = open(os.path.join(self.fleet.folder, f"node-{self.index}.log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            self.fleet.program, "--settings", path, stdout=log, stderr=log, preexec_fn=end_with_parent)
        log.close()

    def signal(self, number):
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self):
        self.signal(signal.SIGKILL)
        await self.process.wait()

    def memory(self):
        """Returns the resident memory of the process in bytes."""
        with open(f"/proc/{self.process.pid}/statm", encoding="ascii") as statm:
            return int(statm.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")

    def log_text(self):
        """Returns the logs of all processes of the node."""
        with open(os.path.join(self.fleet.folder, f"node-{self.index}.log"), encoding="utf-8", errors="replace") as log:
            return log.read()

    def has_checked_backend(self):
        """Whether the process has received a health check response. Until then it treats the server as cold."""
        return '"event":"server_instance"' in self.log_text().rpartition('"event":"start"')[2]

    async def is_ready(self):
        try:
            response = await self.fleet.send(self, "GET", "/v1/ready", port=PORTS["ready"], deadline=1000)
            return response is not None and response.status == 200
        except OSError:
            return False


def cbor_item(value):
    """Encodes an unsigned number, a text or a byte string."""
    major, number = (0, value) if isinstance(value, int) else (3 if isinstance(value, str) else 2, len(value))
    head = bytes([major << 5 | 27]) + number.to_bytes(8, "big")
    return head if isinstance(value, int) else head + (value.encode() if isinstance(value, str) else value)


def zstd_frame(text):
    """Returns a zstd frame that holds the text uncompressed, in one block."""
    assert len(text) < 128 << 10
    return (b"\x28\xb5\x2f\xfd\xa0" + len(text).to_bytes(4, "little") + (len(text) << 3 | 1).to_bytes(3, "little")
            + text)


class Announcer:
    """Simulates a node that announces the backend entries of the store and lets other nodes fetch them."""

    def __init__(self, ip, store):
        self.ip, self.store, self.sequence = ip, store, 0
        self.revision, self.document = 0, b""
        self.response_delay = 0.0  # Seconds.
        self.change_head = bytes  # Changes the heads of responses.
        self.connections = 0
        self.silent_connections = 0  # Connections up to this number get no responses.

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, PORTS["peers"])
        self.socket, _ = await asyncio.get_running_loop().create_datagram_endpoint(
            asyncio.DatagramProtocol, (self.ip, PORTS["query"]))

    async def stop(self):
        self.server.close()
        self.socket.close()

    def read(self):
        self.revision = self.store.revision
        self.document = b"".join(cbor_item(key.encode()) + cbor_item(value)
                                 for key, (value, _) in self.store.items.items() if key.startswith("servers/"))

    def announce(self, node, age_ms):
        self.sequence += 1
        message = [3, self.revision, hash(self.document) & 0xffffffff, 0, 0, age_ms, self.ip, 1, self.sequence, 0, 0]
        self.socket.sendto(b"".join(cbor_item(item) for item in message), (node.ip, PORTS["query"]))

    def silence_connections(self):
        """Leaves the connections that are open without responses from now on; new ones work."""
        self.silent_connections = self.connections

    async def serve(self, reader, writer):
        self.connections += 1
        number = self.connections
        while await read_head(reader):
            if number <= self.silent_connections:
                continue
            await asyncio.sleep(self.response_delay)
            body = zstd_frame(self.document)
            writer.write(self.change_head((f"HTTP/1.1 200 OK\r\nSnipeweir-Revision: {self.revision}\r\n"
                                           f"Content-Length: {len(body)}\r\n\r\n").encode()) + body)
        writer.close()


class Fleet:
    """Nodes 0..n-1 with their backend servers, alternating between the zones a and b."""

    def __init__(self, program, folder, services, subnet=None):
        """subnet: first two bytes of the loopback addresses; fleets with different subnets can run at the same time. By
        default one that no other fleet uses."""
        self.claim = None
        if subnet is None:
            subnet, self.claim = claim_subnet()
        self.program, self.folder, self.subnet = program, folder, subnet
        self.store = Store(f"{subnet}.9.9")
        self.nodes = [Node(self, i, service, "ab"[i % 2]) for i, service in enumerate(services)]
        self.version = 1
        self.more_bounds = {}  # Bounds of the settings beside BOUNDS.
        self.max_body = 1048576
        self.idle_timeout = "15000ms"
        self.next_id = 0

    async def start(self, with_config=True):
        await self.store.start(7309)
        for node in self.nodes:
            await node.backend.start(node.ip, PORTS["backend"] + 100)
            await node.backend_proxy.start()
            await node.store_proxy.start()
            self.register(node)
        if with_config:
            self.configure([self.route("/s/", "safe", "one"), self.route("/u/", "unsafe", "one")])
        for node in self.nodes:
            await node.start_process()
        if with_config:
            try:
                await self.wait_ready()
            except AssertionError:
                # A test whose set-up fails is not torn down.
                await self.stop()
                raise

    async def wait_ready(self, timeout=8.0):
        end = time.monotonic() + timeout
        for node in self.nodes:
            while not await node.is_ready() or not node.has_checked_backend():
                if time.monotonic() > end:
                    raise AssertionError(f"node {node.index} is not ready after {timeout} s, log: {node.log_text()[-300:]}")
                await asyncio.sleep(0.05)
        # Nodes know each other once the reading node has read all entries and announced them.
        await asyncio.sleep(0.3)

    async def stop(self):
        for node in self.nodes:
            if node.process and node.process.returncode is None:
                await node.kill()
            await node.backend.stop()
            await node.backend_proxy.stop()
            await node.store_proxy.stop()
        self.store.server.close()
        if self.claim:
            self.claim.close()

    def register(self, node, state="ready"):
        """Writes the entry of a node's backend server. Draining is final for an incarnation, so a server that is ready
        after it has started anew."""
        backend = node.backend
        backend.sequence += 1
        if backend.has_drained and state == "ready":
            backend.born += 1
        backend.has_drained = state == "draining"
        self.store.put(f"servers/{node.backend.instance}", node.backend.entry(node.ip, node.zone, state))

    @staticmethod
    def route(prefix, kind, service, timeout="2000ms"):
        return {"typeUrl": "routes", "metadata": {"name": f"r{prefix}"},
                "spec": {"host": "h.example", "prefix": prefix, "kind": kind, "timeout": timeout,
                         "targetLatency": "500ms", "priority": 1, "service": service, "maxAttempts": 2}}

    @staticmethod
    def organisation(name, keys, **more):
        return {"typeUrl": "tenants", "metadata": {"name": name}, "spec": {"apiKeys": keys} | more}

    def configure(self, routes, organisations=()):
        self.version += 3
        services = [{"typeUrl": "services", "metadata": {"name": name},
                     "spec": {"healthPath": "/health", "maxConnections": 250, "coldStart": "3s", "coldPerS": 11.0}}
                    for name in sorted({node.service for node in self.nodes})]
        limits = [{"typeUrl": "limits", "metadata": {},
                   "spec": {"maxHeaderBytes": 16384, "maxBodyBytes": self.max_body, "headerTimeout": "3000ms",
                            "idleTimeout": self.idle_timeout}}]
        self.store.put("op/config", json.dumps(
            {"version": f"{self.version:08x}", "resources": routes + services + limits + list(organisations)}).encode())

    def new_id(self):
        self.next_id += 1
        return f"id{self.next_id:08d}"

    async def metric(self, node, name):
        """Returns the value of a metric without labels."""
        response = await self.send(node, "GET", "/metrics", port=PORTS["metrics"])
        values = dict(line.rsplit(" ", 1) for line in response.body.decode().splitlines() if " " in line)
        return float(values[name])

    async def send(self, node, method, path, deadline=2000, request_id=None, fields="", disconnect_after=None,
                   port=None, body=b"", reads_chunks=False):
        """Returns a Response, or None if the connection ended before the end of the head or the client disconnected.

        Unless reads_chunks is set, the client disconnects after the head of a response in chunked coding."""
        request_id = request_id or self.new_id()
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(node.ip, port or PORTS["callers"]), 1.0)
        try:
            writer.write((f"{method} {path} HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {request_id}\r\n"
                          f"Deadline-Ms: {deadline}\r\nContent-Length: {len(body)}\r\n{fields}\r\n").encode() + body)
            if disconnect_after is not None:
                await asyncio.sleep(disconnect_after)
                return None
            head = await asyncio.wait_for(read_head(reader), deadline / 1000 + 5)
            if not head:
                return None
            status, response_fields = int(head[0].split(" ")[1]), head[1]
            if reads_chunks and response_fields.get("transfer-encoding", "").lower() == "chunked":
                return Response(status, response_fields, *await asyncio.wait_for(read_chunked(reader), 10))
            length = int(response_fields.get("content-length", 0))
            try:
                response_body = await asyncio.wait_for(reader.readexactly(length), 10)
            except asyncio.IncompleteReadError as cut:
                return Response(status, response_fields, cut.partial, False)
            return Response(status, response_fields, response_body, True)
        except (OSError, asyncio.TimeoutError):
            return None
        finally:
            writer.close()
