"""A route is added while a balancer stops and another balancer does not know the route yet: see claim.txt."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from standins import CannotRun, Deployment, config, main, route  # noqa: E402

SERVICE = "matcher"
ORDER = ("127.198.0.1", 8080)
ADDED = ("127.198.0.1", 8443)
# The time since its last read from which on agents no longer count the quiet balancer among those to which they relay
# checks, and before which it does not read again by itself. Any other moment may come too; this one shows the fault.
QUIET_S = 9.1
ZONES = ["a", "b", "c", "d"]


async def case(record, trouble):
    deployment = Deployment(record, ZONES, [(SERVICE, "a"), (SERVICE, "b"), (SERVICE, "c")], ["a"] * 2)
    deployment.router.nearest = {"a": ["d", "b", "c"]}
    store = deployment.store
    reads = [0.0]  # the times at which the quiet balancer read the configuration

    def on_answer(daemon, path, query, status):
        if daemon == "front-3" and "op/config" in query:
            reads.append(time.monotonic())
            record.write(f"store answers front-3: {path} {query} with status {status}")

    store.on_answer = on_answer
    store.put("op/config", config(1, [route(*ORDER, SERVICE)], [SERVICE]))
    record.write("operator: version 1 is confirmed")
    broken = []
    stop = asyncio.Event()

    async def orders(caller):
        while not stop.is_set():
            flow = caller.flow(ORDER)
            if await flow.open() is True:
                await flow.request()
                flow.close()
            await asyncio.sleep(0.1)

    try:
        await deployment.start()
        traffic = [asyncio.create_task(orders(c)) for c in deployment.callers]
        end = time.monotonic() + 60
        while not (reads[-1] and time.monotonic() - reads[-1] > QUIET_S):
            if time.monotonic() > end:
                raise CannotRun("the quiet balancer read the configuration all the time")
            await asyncio.sleep(0.02)
        if trouble:
            roll = asyncio.create_task(deployment.stop_process("front-0"))
            while deployment.router.misses[0] < 1:
                await asyncio.sleep(0.01)
        store.put("op/config", config(2, [route(*ORDER, SERVICE), route(*ADDED, SERVICE)], [SERVICE]))
        confirmed_at = record.now()
        record.write(f"operator: version 2 is confirmed, with the new route {ADDED[0]}:{ADDED[1]}")
        await asyncio.sleep(0.1)
        flows = [caller.flow(ADDED) for caller in deployment.callers for _ in range(5)]
        opened = await asyncio.gather(*[flow.open() for flow in flows])
        flows = [flow for flow, result in zip(flows, opened) if result is True]
        results = await asyncio.gather(*[flow.request() for flow in flows])
        flows = [flow for flow, result in zip(flows, results) if result[1] == "answered"]
        record.write(f"{len(flows)} flows on the new route are open and have been served, {record.now() - confirmed_at:.3f} s after the confirmation")
        if not flows:
            raise CannotRun("no flow was served on the new route")
        while trouble and deployment.router.misses[0] < 2:
            await asyncio.sleep(0.01)
        stop.set()

        async def next_order(flow):
            return flow, *(await flow.request())

        for flow, request, result in await asyncio.gather(*[next_order(f) for f in flows]):
            if flow.reset_by is not None:
                holder = next((t for t in deployment.targets if t.holds(flow)), None)
                if holder is not None:
                    broken.append(f"FLOW: {request}: the flow {flow}, which {holder.name} holds and serves, was reset by {flow.reset_by}")
        await asyncio.gather(*traffic)
        if trouble:
            await roll
        await asyncio.sleep(2.0)
        for line in deployment.log_lines("front-3", "Reset", "ConfigurationInForce"):
            record.write(f"log of front-3: {line}")
        return broken
    finally:
        deployment.close()


main(case, FOLDER)
