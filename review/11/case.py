"""An agent is killed soon after its target started, at a moment when the time of day of their machine was ahead.

A small deployment: two zones, each with a balancer and a target with its agent, and a target that is added. Clients keep flows open, each with one request before the restart of the agent and one after a pause."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, ".."))
import standins3 as s

CLOCK_AHEAD_S = 2.4  # the largest step of the site file, there for 6 s
RESTART_DELAY_S = 0.2
SERVICE = ("198.18.0.1", 8080)


async def use(world, count):
    """Opens flows in both zones, each with a request. Returns those that are answered."""
    flows = []
    for n in range(count):
        flow = await world.consumers[n % len(world.consumers)].ready_flow(*SERVICE)
        if await flow.request(f"first-{flow.sport}") == "ok":
            flows.append(flow)
    return flows


async def case(record, trouble, worlds):
    world = s.World(record, zones=("a", "b"), fronts=1, sides=(("matcher", 1),))
    worlds.append(world)
    world.routes["orders"] = (*SERVICE, "matcher")
    await world.start()
    await use(world, 4)
    # A target is added, with its machine.
    side = s.Machine(world, "agent", "side-a-2", f"{world.net}.1.42", "a", "matcher")
    world.sides.append(side)
    world.store.servers.append(await asyncio.start_server(world.store.connection, *side.store_address))
    await side.start()
    new = await s.Target(world, side, "i-new", clock_s=CLOCK_AHEAD_S if trouble else 0.0).start()
    if trouble:
        record(f"the time of day of {side.name} is {CLOCK_AHEAD_S} s ahead")
    await asyncio.wait_for(new.reported.wait(), 3)
    await asyncio.sleep(0.05)
    flows = await use(world, 16)
    mine = [flow for flow in flows if any(key[1] == flow.sport and hosted.is_open for key, hosted in new.flows.items())]
    record(f"{len(flows)} flows are open, {len(mine)} of them at {new.id}")
    if not mine:
        raise s.CannotRun("the new target holds no flow")
    if trouble:
        record(f"the time of day of {side.name} is right again")
        await side.kill()
        await asyncio.sleep(RESTART_DELAY_S)
        await side.start()
    # All machines are in touch contact-ms after the start of the process.
    in_touch_from = time.monotonic() + s.CONTACT_S
    await asyncio.sleep(s.CONTACT_S + 1.0)
    results = [await flow.request(f"second-{flow.sport}") for flow in mine]
    record(f"second requests on the flows of {new.id}: "
           f"{ {result: results.count(result) for result in sorted(set(results))} }")
    held = {key[1] for key in new.flows}
    breaks = [f"FLOW (a): flow {flow.sport} was reset by the system; its target {new.id} lives and holds it"
              for flow, at in world.resets if flow in mine and flow.sport in held and at >= in_touch_from]
    return breaks + world.broken


s.main(FOLDER, case)
