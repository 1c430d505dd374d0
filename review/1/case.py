"""The targets of a service are lost and their addresses go to another service: see claim.txt."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from standins import CannotRun, Deployment, Target, config, main, route  # noqa: E402

ORDERS, FILES = "matcher", "tracer"
ORDER = ("127.198.0.1", 8080)
FILE = ("127.198.0.1", 8443)
REUSE_S = 2.5  # `addr-reuse-s` is 2


async def case(record, trouble):
    deployment = Deployment(record, ["a", "b"], [(FILES, "a"), (FILES, "b"), (ORDERS, "a"), (ORDERS, "b")], ["a"] * 2)
    routes = [route(*ORDER, ORDERS), route(*FILE, FILES, "upload")]
    deployment.store.put("op/config", config(1, routes, [ORDERS, FILES]))
    record.write(f"operator: version 1 is confirmed: {FILE[0]}:{FILE[1]} goes to {FILES}, {ORDER[0]}:{ORDER[1]} to {ORDERS}")
    sent = {}  # request id -> the service of its route
    outcomes = []

    async def request(caller, to, service):
        flow = caller.flow(to)
        opened = await flow.open()
        outcomes.append(opened)
        if opened is True:
            name, result = await flow.request()
            sent[name] = service
            flow.close()

    try:
        await deployment.start()
        await asyncio.sleep(2.0)
        tasks = []

        async def traffic(seconds):
            end = record.now() + seconds
            while record.now() < end:
                for caller in deployment.callers:
                    tasks.append(asyncio.create_task(request(caller, FILE, FILES)))
                    tasks.append(asyncio.create_task(request(caller, ORDER, ORDERS)))
                    await asyncio.sleep(0.03)

        await traffic(2.0)
        await asyncio.gather(*tasks)
        if not all(outcome is True for outcome in outcomes):
            raise CannotRun("a flow did not open before the disruption")
        if trouble:
            lost = deployment.targets[:2]
            for index, target in enumerate(lost):
                record.write(f"the machine of {target.name} is lost, with the daemon beside it")
                deployment.processes[f"side-{index}"].kill()
                deployment.processes[f"side-{index}"].wait()
                target.reports.cancel()
                target.transport.close()
            waiting = asyncio.create_task(traffic(REUSE_S + 3.0))
            await asyncio.sleep(REUSE_S)
            for index, old in enumerate(lost):
                new = Target(record, f"i-new-{index}", ORDERS, old.app, old.outbound, old.control, old.beat_s)
                record.write(f"the address of {old.name} goes to {new.name} of {ORDERS}")
                deployment.targets[index] = new
                deployment.start_agent(index)
                await new.start()
            await waiting
            targets = [*deployment.targets, *lost]
        else:
            await traffic(REUSE_S + 3.0)
            targets = deployment.targets
        await asyncio.gather(*tasks)
        broken = []
        for target in targets:
            for at, name, to in target.runs:
                if sent.get(name, ORDERS if to == ORDER else FILES) != target.service:
                    broken.append(f"ROUTE: at {at:.3f} s {target.name} of {target.service} ran {name}, which was sent to "
                                  f"{to[0]}:{to[1]}, a route to {FILES if to == FILE else ORDERS} alone")
        for name in ("front-0", "side-0", "side-1"):
            for line in deployment.log_lines(name, "TargetChanged", "Refused")[:40]:
                record.write(f"log of {name}: {line}")
        return broken
    finally:
        deployment.close()


main(case, FOLDER)
