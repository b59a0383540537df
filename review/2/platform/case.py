"""A zone's evacuation is taken back while a controller is frozen, and ordered again; the frozen one wakes."""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "platform"))
from stand import (BOUNDS, NotRun, ZONES, ask, booking_route, configuration, history_route, play, status_of,  # noqa: E402
                   steady)

FREEZE_S = 4.0
"""The site's dose of node_freeze."""
TOUCH_S = BOUNDS["contact_ms"] / 1000
BOUND_S = BOUNDS["evacuation_ms"] / 1000


async def traffic(fleet, machines, until):
    """A booking each 50 ms, at one gateway after the other."""
    tries, step = [], 0
    while steady() < until[0]:
        machine = machines[step % len(machines)]
        step += 1
        tries.append(asyncio.ensure_future(ask(machine, "POST", "/booking/2f", b"one kiln")))
        await asyncio.sleep(0.05)
    return [await one for one in tries]


async def case(fleet, trouble):
    record = fleet.record
    for place in ZONES:
        for _ in range(2):
            await fleet.platform.add("ledger", place)
    await fleet.start()
    await fleet.order(fleet.machines, "PUT", "/limeramp/configuration", 0,
                      configuration(3, [booking_route(), history_route()], ["ledger"]), limit_s=30.0)
    await fleet.ready()
    primary = await fleet.primary()
    others = [machine for machine in fleet.machines if machine is not primary]
    frozen, calm = others[0], [primary, others[1]]
    # The frozen machine stands in the zone that is evacuated, so that no more than one zone is out of use.
    zone = frozen.zone
    path = f"/limeramp/evacuation/{zone}"
    record.say(f"machine {primary.index} leads, machine {frozen.index} will freeze")
    until = [steady() + 100]
    taking = list(fleet.machines)
    load = asyncio.ensure_future(traffic(fleet, taking, until))
    await asyncio.sleep(1.0)

    await fleet.order(calm, "POST", path)
    await asyncio.sleep(6.0)
    taking.remove(frozen)  # The clients of a frozen machine are no part of the case.
    await asyncio.sleep(0.5)
    thaw_at = steady() + FREEZE_S
    if trouble:
        record.say(f"machine {frozen.index} freezes")
        frozen.signal(signal.SIGSTOP)
    await asyncio.sleep(0.2)
    # The operator's order goes to the frozen machine; after a second of silence to another one, which takes it.
    await fleet.order([frozen, *calm], "DELETE", path)
    taken_back_at = steady()
    record.say("the taking back is acknowledged")
    await asyncio.sleep(0.5)
    got = await fleet.order(calm, "POST", path)
    evacuated_at = steady()
    if status_of(got) != 200:
        raise NotRun("the second evacuation was refused")
    record.say(f"the second evacuation is acknowledged, {evacuated_at - taken_back_at:.1f} s later")
    await asyncio.sleep(max(0.0, thaw_at - steady()))
    if trouble:
        record.say(f"machine {frozen.index} wakes")
        frozen.signal(signal.SIGCONT)
    # All machines are in touch again `contact` after the last event; the zone's bound is over as well by then.
    await asyncio.sleep(2.0)
    taking.append(frozen)
    counted_from = max(evacuated_at + BOUND_S, thaw_at + TOUCH_S) + 1.0
    until[0] = counted_from + 6.0
    answers = await load
    late = [run for run in fleet.platform.runs if run["zone"] == zone and run["arrived"] > counted_from]
    counted = [run for run in fleet.platform.runs if run["arrived"] > counted_from]
    served = sum(1 for _, answer in answers if status_of(answer) == 200)
    record.say(f"{served} of {len(answers)} requests served; of {len(counted)} that reached servers in the 6 s from "
               f"{counted_from - evacuated_at:.1f} s after the second acknowledgement on, {len(late)} reached {zone}")
    if not counted:
        raise NotRun("no request was served")
    return bool(late)


play(pathlib.Path(__file__).resolve().parents[1], case)
