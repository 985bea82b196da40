"""The platform's store gets another address. The settings file of each machine then names the new address, and each node
gets SIGHUP; both addresses serve the same items for a while, then the old one is closed. A later configuration drops a
route, and an endpoint reports draining: both must be in force within two seconds of the store's acknowledgement."""

import asyncio
import os
import signal
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
from standins2 import CONFIG_APPLY, DRAIN, STABLE_WINDOW, STORE_PORT, has_trouble, run_case  # noqa: E402

NEW_PORT = 7319
OVERLAP = 4.0  # Seconds for which both addresses serve.
WATCHED = 4.0  # Seconds for which requests are sent after the bounds have passed.


async def move_store(fleet, record):
    moved = await asyncio.start_server(fleet.store.serve, fleet.store.ip, NEW_PORT, backlog=512)
    record.write(f"the store also serves {fleet.store.ip}:{NEW_PORT}")
    for node in fleet.nodes:
        node.store_address = f"{fleet.store.ip}:{NEW_PORT}"
        node.write_settings()
        node.signal(signal.SIGHUP)
    record.write("the settings files of all machines name the new address; SIGHUP to each process")
    await asyncio.sleep(OVERLAP)
    fleet.store.server.close()
    fleet.store.close_connections(STORE_PORT)
    record.write("the old address is closed")
    return moved


async def case(fleet, record):
    routes = [fleet.route("/s/", "safe", "one"), fleet.route("/u/", "unsafe", "one"), fleet.route("/old/", "safe", "one")]
    fleet.configure(routes)
    await asyncio.sleep(CONFIG_APPLY + 0.5)
    before = await fleet.send(fleet.nodes[0], "GET", "/old/x")
    record.write(f"GET /old/x at machine 0 before: {before.status if before else 'closed'}")
    if not before or before.status != 200:
        raise RuntimeError("the route is not served")
    if has_trouble():
        await move_store(fleet, record)
    await asyncio.sleep(STABLE_WINDOW + 1)

    # The operator and the endpoint write to the store, which acknowledges at once.
    fleet.configure(routes[:2])
    leaving = fleet.nodes[2]
    fleet.register(leaving, "draining")
    acknowledged_at = time.monotonic()
    record.write(f"the store acknowledges version {fleet.version:08x} without /old/ and that {leaving.backend.instance} drains")
    await asyncio.sleep(max(CONFIG_APPLY, DRAIN) + 0.3)
    begin, stale, sent, served = time.monotonic(), 0, 0, 0
    while time.monotonic() < begin + WATCHED:
        for node in fleet.nodes:
            old = await fleet.send(node, "GET", "/old/x")
            new = await fleet.send(node, "POST", "/u/x")
            sent += 1
            stale += old is not None and old.status == 200
            served += new is not None and new.status == 200
            record.write(f"{time.monotonic() - acknowledged_at:.2f} s after the acknowledgement, machine {node.index}: "
                         f"/old/ {old.status if old else 'closed'}, /u/ {new.status if new else 'closed'}")
        await asyncio.sleep(0.2)
    late = [a for a in leaving.backend.arrivals if a[0] > begin]
    for arrival in late:
        record.write(f"{arrival[1]} ({arrival[2]}) reached {leaving.backend.instance} "
                     f"{arrival[0] - acknowledged_at:.2f} s after it reported draining")
    if served < sent // 2:
        raise RuntimeError(f"only {served} of {sent} requests on a route that stays were served")
    record.write(f"CONFIG: {stale} of {sent} requests ran on the dropped route; DRAIN: {len(late)} requests reached the "
                 "leaving endpoint")
    return stale == 0 and not late


sys.exit(run_case(os.path.dirname(os.path.abspath(__file__)), case, ["one", "one", "one", "two"]))
