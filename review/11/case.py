"""An agent is stopped and started as planned, and later its target is taken away while a balancer is stopped: open flows
of another target are reset.

A small deployment: two zones, each with two balancers. Zone b has seven targets; one is added in zone a, and taken away
again. Consumers of zone a use flows that they opened before, at the targets of zone b, which live all the while."""

import asyncio
import os
import random
import sys
import time
import zlib

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, ".."))
import standins3 as s

SERVICE = ("127.18.0.1", 8080)
FLOWS = 32
RESTART_DELAY_S = 0.3
PLATFORM_DELAY_S = 2.0  # from the exit of a target to the SIGTERM of its daemon


def busiest(world, flows):
    """Returns the balancer of zone a to which the router sends most of the flows."""
    fronts = world.rotation("a")
    keys = [flow.packet(s.ACK, 0, 0).flow() for flow in flows]
    number = lambda n: sum(zlib.crc32(repr(key).encode()) % len(fronts) == n for key in keys)
    return fronts[max(range(len(fronts)), key=number)]


async def use(flow, results):
    """Sends a request on an open flow every 0.3 to 0.5 s."""
    number = 0
    while flow.state == "open":
        number += 1
        result = await flow.request(f"feed-{flow.sport}-{number}")
        results[result] = results.get(result, 0) + 1
        await asyncio.sleep(random.uniform(0.3, 0.5))


async def case(record, trouble, worlds):
    world = s.World(record, zones=("a", "b"), fronts=2, sides=(("matcher", 7),))
    worlds.append(world)
    late = world.sides[0]  # the machine in zone a, which is added below
    world.sides = [side for side in world.sides if side.zone == "b"]
    world.routes["feed"] = (*SERVICE, "matcher")
    await world.start()
    old = list(world.targets)
    consumer = world.consumers[0]
    flows = []
    while len(flows) < FLOWS:
        flow = await consumer.ready_flow(*SERVICE)
        if await flow.request(f"first-{flow.sport}") == "ok":
            flows.append(flow)
    holder = lambda flow: next((target for target in old if any(
        key[1] == flow.sport and hosted.is_open for key, hosted in target.flows.items())), None)
    if not all(holder(flow) for flow in flows):
        raise s.CannotRun("not all flows are at the targets of zone b")
    results = {}
    tasks = [asyncio.create_task(use(flow, results)) for flow in flows]
    # A target is added in zone a, with its machine.
    world.sides.append(late)
    world.store.servers.append(await asyncio.start_server(world.store.connection, *late.store_address))
    await late.start()
    new = await s.Target(world, late, "i-new").start()
    await asyncio.wait_for(new.reported.wait(), 3)
    await asyncio.sleep(2)
    if trouble:
        await late.stop()
        await asyncio.sleep(RESTART_DELAY_S)
        await late.start()
    await asyncio.sleep(s.CONTACT_S + 1)
    # The target of zone a is taken away. Meanwhile a balancer of the zone is stopped and started.
    new.state = "draining"
    await new.beat_once()
    await asyncio.sleep(s.DRAIN_S + 0.5)
    front = busiest(world, flows)
    rolled = asyncio.create_task(front.stop())
    while front.misses == 0:
        await asyncio.sleep(0.005)
    await asyncio.sleep(0.3)
    answer = await s.http(late.control, "DELETE", f"/targets/{new.id}")
    record(f"target {new.id}: DELETE answered {answer[0] if answer else None}")
    new.end()
    ended_at = time.monotonic()
    await rolled
    await asyncio.sleep(ended_at + PLATFORM_DELAY_S - time.monotonic())
    await late.stop()
    await front.start()
    await asyncio.sleep(3)
    for task in tasks:
        task.cancel()
    record(f"requests on the flows of zone b: {results}")
    breaks = [f"FLOW (a): flow {flow.sport} was reset by the system; its target {holder(flow).id} lives and holds it"
              for flow, _ in world.resets if flow in flows and holder(flow)]
    return breaks + world.broken


s.main(FOLDER, case)
