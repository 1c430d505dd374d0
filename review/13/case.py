"""A consumer uses the port of a closed flow again, after the configuration has given the route to another service.

A small deployment: one zone with a balancer and two services with a target each. No machine or process is disturbed."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, ".."))
import standins3 as s

SERVICE = ("127.18.0.1", 8080)
FLOWS = 20
REUSE_S = 10.0  # from the close of a flow to the next one from the same port


class Target(s.Target):
    """A target that closes a flow after the consumer's FIN. On a flow that has ended it answers a FIN with an ACK."""

    def on_datagram(self, raw, addr):
        packet = s.Packet.decode(raw)
        key, ended = packet.flow(), self.__dict__.setdefault("ended", {})
        flow = self.flows.get(key)
        if packet.flags == s.SYN:
            ended.pop(key, None)
        elif packet.flags & s.FIN and (flow or key in ended):
            answer = s.ACK
            if flow:
                self.record(f"target {self.id} closes {packet.sport}")
                ended[key] = self.flows.pop(key)
                answer |= s.FIN
            self.send(s.Packet(packet.dst, packet.dport, packet.src, packet.sport, answer, ended[key].next_out,
                               packet.seq + 1))
            return
        elif key in ended:
            return  # the acknowledgement of the target's own FIN
        super().on_datagram(raw, addr)


class Flow(s.Flow):
    is_finished = False

    def on_packet(self, packet):
        if packet.flags & s.FIN and packet.is_genuine():
            self.is_finished = True
            self.send(self.packet(s.ACK, self.out, packet.seq + 1))
            self.event.set()
            return
        super().on_packet(packet)

    async def close(self):
        """Sends a FIN until the target's FIN arrives. Returns whether the flow is closed."""
        packet = self.packet(s.ACK | s.FIN, self.out, self.peer_next)
        self.out += 1
        for _ in range(5):
            self.send(packet)
            await asyncio.sleep(0.2)
            if self.is_finished:
                self.state = "closed"
                return True
        return False


async def exchange(consumer, name):
    """Opens a flow, sends a request, closes the flow."""
    flow = Flow(consumer, *SERVICE)
    if await flow.open():
        await flow.request(f"{name}-{flow.sport}")
        if not await flow.close():
            raise s.CannotRun("a flow was not closed")
    return flow


async def case(record, trouble, worlds):
    world = s.World(record, zones=("a",), fronts=1, sides=(("old", 1), ("new", 1)))
    worlds.append(world)
    world.routes["orders"] = (*SERVICE, "old")
    await world.start(targets=False)
    for side in world.sides:
        world.targets.append(await Target(world, side, f"i-{side.name}").start())
    for target in world.targets:
        await asyncio.wait_for(target.reported.wait(), 3)
    await asyncio.sleep(1)
    consumer = world.consumers[0]
    first = consumer.next_port
    await asyncio.gather(*[exchange(consumer, "first") for _ in range(FLOWS)])
    closed_at = time.monotonic()
    # Two versions: the route is removed, and added again for the other service.
    del world.routes["orders"]
    await world.put_config()
    await asyncio.sleep(1)
    world.routes["orders"] = (*SERVICE, "new" if trouble else "old")
    await world.put_config()
    confirmed_at = time.monotonic()
    await asyncio.sleep(closed_at + REUSE_S - time.monotonic())
    record("the consumer uses the same ports again")
    consumer.next_port = first
    again = await asyncio.gather(*[exchange(consumer, "again") for _ in range(FLOWS)])
    record("the consumer uses new ports")
    fresh = await asyncio.gather(*[exchange(consumer, "fresh") for _ in range(FLOWS)])
    breaks, services = [], {}
    for name, flows in (("again", again), ("fresh", fresh)):
        for flow in flows:
            late_s = flow.sent_at - confirmed_at - s.CONFIG_S
            for target in world.ran.get(f"{name}-{flow.sport}", []):
                services[name, target.service] = services.get((name, target.service), 0) + 1
                if target.service != world.routes["orders"][2] and late_s > 0:
                    breaks.append(f"CONFIG: request {name}-{flow.sport}, sent {late_s:.3f} s after config-apply-ms, was "
                                  f"run by the {target.service} service at {target.id}")
    record(f"requests by their ports and the service that ran them: {services}")
    return breaks + world.broken


s.main(FOLDER, case)
