"""The configuration grows by changes that each add a hundred routes, until the controllers' disks can't hold it."""

import asyncio
import json
import os
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "platform"))
from stand import (BOUNDS, NotRun, ZONES, ask, booking_route, call, configuration, history_route, play,  # noqa: E402
                   status_of, steady)

CHANGES = 24
GROUPS = 25
"""Each change holds so many groups of the deployment's four routes."""
SHARDS = ["finder0", "finder1", "finder2", "finder3"]
ACK_S = BOUNDS["order_ack_ms"] / 1000 + 0.003 * 4 * GROUPS * CHANGES
"""The bound on the acknowledgement of an order, with 3 ms more for each route."""
READ_S = 40.0
"""Much longer than the contact bound (4 s), its stretch (12 s) and the time to recover (12 s) together."""


def routes_of(first):
    routes = []
    for number in range(first, first + GROUPS):
        for name, timeout_ms, target_ms, priority, size, share in (("all", 1200, 120, 1, 20, 0.75),
                                                                   ("few", 600, 60, 2, 5, 0.5)):
            routes.append({"name": f"r-{name}{number:04d}", "host": "find.example",
                           "path_prefix": f"/{name}{number:04d}/", "route_type": "idempotent",
                           "timeout_ms": timeout_ms, "target_ms": target_ms, "priority": priority,
                           "fanout_services": SHARDS, "max_attempts": 2, "result_size": size,
                           "min_shard_ratio": share})
        for route in (booking_route(), history_route()):
            route["name"] += f"{number:04d}"
            route["path_prefix"] = route["path_prefix"][:-1] + f"{number:04d}/"
            routes.append(route)
    return routes


async def change(fleet, version, first):
    """One change, sent as it is to one machine after the other until it is acknowledged or its time is over."""
    body = json.dumps({"config_version": version, "upsert": {"routes": routes_of(first)}}).encode()
    headers = {"If-Match": str(version - 1), "Content-Type": "application/json"}
    begun, step = steady(), 0
    while steady() < begun + ACK_S:
        machine = fleet.machines[step % len(fleet.machines)]
        step += 1
        got = await call(machine.address("management"), "PATCH", "/limeramp/configuration", headers, body, 2.0)
        fleet.record.write(f"operator: version {version}, {len(body)} bytes, to machine {machine.index}: "
                           f"{status_of(got) or got}")
        if status_of(got) == 200:
            return True
        if 400 <= status_of(got) < 500:
            raise NotRun(f"version {version} was refused: {got.body[:200]}")
        await asyncio.sleep(0.3)
    return False


async def read_all(fleet):
    """One read at each machine. Returns the newest version that came, and how long its document is."""
    best = (0, 0)
    for machine in fleet.machines:
        got = await call(machine.address("management"), "GET", "/limeramp/configuration", wait_s=2.0)
        version = json.loads(got.body)["config_version"] if status_of(got) == 200 else 0
        said = f"200, version {version}" if version else status_of(got) or got
        fleet.record.write(f"operator: GET /limeramp/configuration at machine {machine.index}: {said}")
        best = max(best, (version, len(got.body) if version else 0))
    return best


async def kill_all(fleet):
    """All processes are killed at the same moment and return, with their disks, within a second."""
    struck = [(machine, role) for machine in fleet.machines for role in ("controller", "gateway")]
    for machine, role in struck:
        machine.processes[role].signal(signal.SIGKILL)
    for machine, role in struck:
        await machine.processes[role].child.wait()
    await asyncio.sleep(0.5)
    for machine, role in struck:
        await machine.start(role)
    fleet.record.say("all processes were killed and started again")


async def case(fleet, trouble):
    record = fleet.record
    for zone in ZONES:
        for service in ("ledger", *SHARDS):
            await fleet.platform.add(service, zone)
    await fleet.start()
    await fleet.order(fleet.machines, "PUT", "/limeramp/configuration", 0,
                      configuration(1, [booking_route()], ["ledger", *SHARDS]), limit_s=30.0)
    await fleet.ready()
    acknowledged, length = 1, 0
    for number in range(CHANGES):
        # Without the trouble each change brings the same hundred routes again.
        if not await change(fleet, acknowledged + 1, GROUPS * number if trouble else 0):
            record.say(f"version {acknowledged + 1} was not acknowledged within {ACK_S:.1f} s")
            break
        acknowledged += 1
        length = (await read_all(fleet))[1] or length
        await asyncio.sleep(0.2)
    record.say(f"version {acknowledged} is acknowledged; the last document that was read has {length} bytes")
    if os.environ.get("KILL") == "all":
        await kill_all(fleet)
    begun, newest = steady(), 0
    while newest < acknowledged and steady() < begun + READ_S:
        await asyncio.sleep(1.0)
        newest = (await read_all(fleet))[0]
    took = steady() - begun
    _, got = await ask(fleet.machines[1], "GET", "/history0000/2f")
    record.say(f"a client's request is answered with {status_of(got) or got}")
    if newest >= acknowledged:
        record.say(f"version {newest} is read back within {took:.1f} s")
        return False
    record.say(f"no machine gave version {acknowledged} or a newer one in {took:.1f} s of asking")
    return True


play(pathlib.Path(__file__).resolve().parents[1], case)
