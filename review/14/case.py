"""A copy of a SYN goes to the service of an earlier configuration, after the same balancer has put a later one in force.

A small deployment: one zone with a balancer and two services with a target each. The process beside the target of one
service is killed and starts again, while a change of the configuration gives the address of its route to the other."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, ".."))
import standins3 as s

SERVICE = ("127.18.0.1", 8080)
RESTART_DELAY_S = 0.5  # from the kill of a process to its start
SLACK_S = 0.25          # rollback-slack-ms


class Flow(s.Flow):
    def send(self, packet):
        if packet.flags == s.SYN:
            self.syn_times.append(time.monotonic())
        super().send(packet)


class Target(s.Target):
    """A target that notes which transmission of a SYN it took: the acknowledgement number counts the earlier ones."""

    def on_datagram(self, raw, addr):
        packet = s.Packet.decode(raw)
        if packet.flags == s.SYN and packet.flow() not in self.flows:
            self.world.taken[packet.sport] = (self, packet.ack, time.monotonic())
        super().on_datagram(raw, addr)


async def case(record, trouble, worlds):
    world = s.World(record, zones=("a",), fronts=1, sides=(("old", 1), ("new", 1)))
    worlds.append(world)
    world.taken = {}
    world.routes["orders"] = (*SERVICE, "old")
    await world.start(targets=False)
    # The process that is killed is the last one that wrote to the store under a condition.
    for side in sorted(world.sides, key=lambda side: side.service == "old"):
        target = await Target(world, side, f"i-{side.name}").start()
        world.targets.append(target)
        await asyncio.wait_for(target.reported.wait(), 3)
        await asyncio.sleep(0.5)
    consumer = world.consumers[0]
    flows, tasks = [], []

    async def one():
        flow = Flow(consumer, *SERVICE)
        flow.syn_times = []
        flows.append(flow)
        if await flow.open():
            await flow.request(f"order-{flow.sport}")

    async def traffic():
        while True:
            tasks.append(asyncio.create_task(one()))
            await asyncio.sleep(0.02)

    stream = asyncio.create_task(traffic())
    await asyncio.sleep(5)  # all machines are in touch, the balancer watches the store
    side = next(m for m in world.sides if m.service == "old")
    killed_at = time.monotonic()
    if trouble:
        await side.kill()
    await asyncio.sleep(killed_at + 0.15 - time.monotonic())
    # One version: the route is removed, and one for the other service is added at its address.
    del world.routes["orders"]
    world.routes["orders-2"] = (*SERVICE, "new")
    await world.put_config()
    confirmed_at = time.monotonic()
    await asyncio.sleep(killed_at + RESTART_DELAY_S - time.monotonic())
    if trouble:
        await side.start()
    await asyncio.sleep(2)
    stream.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    # A target saw the effect of the last version when one of the new service took the first flow.
    effect_at = min((at for target, _, at in world.taken.values() if target.service == "new"), default=None)
    if effect_at is None:
        raise s.CannotRun("no target of the new service took a flow")
    record(f"the last version was seen in effect {effect_at - confirmed_at:.3f} s after its confirmation")
    breaks, services = [], {}
    for flow in flows:
        ran = world.ran.get(f"order-{flow.sport}", [])
        if not ran or flow.sport not in world.taken:
            continue
        target, number, _ = world.taken[flow.sport]
        late_s = flow.syn_times[number] - effect_at
        services[target.service, number] = services.get((target.service, number), 0) + 1
        if target.service == "old" and late_s > SLACK_S:
            breaks.append(f"CONFIG: request order-{flow.sport}, whose opening packet (transmission {number + 1}) was sent "
                          f"{late_s:.3f} s after the effect of the last version was seen, was run by the old service")
    record(f"requests by service and transmission that the target took: {services}")
    return breaks + world.broken


s.main(FOLDER, case)
