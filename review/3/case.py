"""A target joins and a balancer restarts while another balancer's list of agents is old: see claim.txt."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from standins import CannotRun, Deployment, config, main, route  # noqa: E402

SERVICE = "matcher"
FEED = ("127.198.0.1", 8443)
ORDER = ("127.198.0.1", 8080)
ZONES = ["a", "b", "c", "d"]
HISTORY_S = 20.0


async def case(record, trouble):
    # One balancer a zone, three of them seeds, as on the users' sites. Callers are in zone a only, so that the
    # balancer of zone d has no traffic until that of zone a leaves the rotation.
    new = 4  # one more than four: a share of 0.25
    deployment = Deployment(
        record, ZONES, [(SERVICE, "a"), (SERVICE, "b"), (SERVICE, "c"), (SERVICE, "b"), (SERVICE, "a")], ["a"] * 2, history_s=HISTORY_S)
    deployment.router.nearest = {"a": ["d", "b", "c"]}
    store = deployment.store
    watches = []  # the times at which the store answered watches of the quiet balancer on the list of agents

    def on_answer(daemon, path, query, status):
        if daemon == "front-3" and "agents" in query and path in ("/kv-watch", "/kv-range"):
            watches.append(time.monotonic())
            record.write(f"store answers front-3: {path} {query} with status {status}")

    store.on_answer = on_answer
    services = [SERVICE]
    store.put("op/config", config(1, [route(*FEED, SERVICE, "safe"), route(*ORDER, SERVICE)], services))
    record.write("operator: version 1 is confirmed")
    broken = []
    stop = asyncio.Event()

    async def orders(caller):
        """Short flows in zone a, so that its balancer and all agents have traffic."""
        while not stop.is_set():
            flow = caller.flow(ORDER)
            if await flow.open() is True:
                await flow.request()
                flow.close()
            await asyncio.sleep(0.1)

    try:
        await deployment.start(later=[new])
        traffic = [asyncio.create_task(orders(c)) for c in deployment.callers]
        # A planned change of a time-out. Its revision follows that of the last change of the list of agents.
        await asyncio.sleep(4.0)
        store.put("op/config", config(2, [route(*FEED, SERVICE, "safe"), route(*ORDER, SERVICE) | {"timeout-ms": 3000}], services))
        changed_at = time.monotonic()
        record.write("operator: version 2 is confirmed")
        # The store keeps 20 s of history. The quiet balancer watches the list for up to 20 s and pauses for 8 s.
        end = time.monotonic() + 60
        while not (watches and watches[-1] > changed_at + HISTORY_S and time.monotonic() > watches[-1] + 0.3):
            if time.monotonic() > end:
                raise CannotRun("the quiet balancer did not end a watch in time")
            await asyncio.sleep(0.05)

        record.write("a target joins (scale_out)")
        target = deployment.targets[new]
        deployment.start_agent(new)
        await target.start()
        await asyncio.sleep(4.3)  # contact-ms: the machine of the new target is in touch

        stop.set()
        await asyncio.gather(*traffic)
        feeds = [caller.flow(FEED) for caller in deployment.callers for _ in range(16)]
        if not all(result is True for result in await asyncio.gather(*[f.open() for f in feeds])):
            raise CannotRun("a feed did not open")
        if any(result[1] != "answered" for result in await asyncio.gather(*[f.request(method="GET") for f in feeds])):
            raise CannotRun("the first request of a feed was not answered")
        on_new = [f for f in feeds if target.holds(f)]
        record.write(f"{len(feeds)} feeds are open, {len(on_new)} of them at the new target")
        if not on_new:
            raise CannotRun("no feed is at the new target")

        if trouble:
            roll = asyncio.create_task(deployment.stop_process("front-0"))
            while deployment.router.misses[0] < 2:
                await asyncio.sleep(0.05)

        async def next_request(flow):
            return flow, *(await flow.request(method="GET"))

        results = await asyncio.gather(*[next_request(f) for f in feeds])
        record.write(f"last answers of the store to front-3 were {time.monotonic() - watches[-1]:.3f} s ago")
        for flow, request, result in results:
            if flow.reset_by is not None:
                holder = next((t for t in deployment.targets if t.holds(flow)), None)
                if holder is not None:
                    broken.append(f"FLOW: {request}: the flow {flow}, which {holder.name} holds and serves, was reset by {flow.reset_by}")
        if trouble:
            await roll
        for line in deployment.log_lines("front-3", "NotLocated", "Reset", "TargetChanged", "Located")[-80:]:
            record.write(f"log of front-3: {line}")
        return broken
    finally:
        deployment.close()


main(case, FOLDER)
