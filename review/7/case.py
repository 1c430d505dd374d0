"""A live flow is reset after its agent was restarted and a copy of its SYN arrived late.

Balancers A and B and eight machines beside targets, two of them in the zone of A and B. A's machine stands still.
Callers whose SYNs it holds open their flows with a copy of the SYN through B, and use them. The processes beside two
targets are restarted in turn as planned. A's machine wakes and forwards the SYNs that it holds. Later the callers go on with their
flows.
"""

import os
import shutil
import signal
import sys
import tempfile
import threading
import time
import traceback

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from standins2 import (Consumer, Deployment, Place, Record, Router, Store, Target, config, free_ports,
                       machine_ports, wait_until)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
FLOWS = 140
FREEZE_S = 3.4
CONTACT_S = 4.0
ROUTE = ("127.9.0.1", 8443)


def main(folder):
    record = Record(os.path.join(os.path.dirname(os.path.abspath(__file__)), "record.txt"))
    ports = machine_ports()
    store = Store(("127.0.0.1", free_ports(1)[0]))
    store.operator_write("op/config", config(5, [ROUTE], "matcher"))
    front = [Place("front-a", "127.0.11.1", "norte", ports), Place("front-b", "127.0.11.2", "norte", ports)]
    side = [Place("side-a", "127.0.11.10", "norte", ports, "matcher"),
            Place("side-b", "127.0.11.11", "norte", ports, "matcher")]
    # Ten machines in all, so that one is a share of 0.1. The others belong to a service without traffic.
    side += [Place(f"side-{i}", f"127.0.12.{10 + i}", "sul", ports, "tracer") for i in range(6)]
    system = Deployment(folder, store.address, ports, {"norte", "sul"})
    system.seeds = [f"{place.ip}:{place.control}" for place in front]
    a, b = front
    try:
        for place in front + side:
            system.start(place)
        targets = [Target(place, place.service, record) for place in side]
        wait_until(lambda: all(system.ready(place) for place in front), 15, "balancers are not ready")
        wait_until(lambda: all(target.acknowledged >= 3 for target in targets), 15, "no status report acknowledged")
        consumer = Consumer("127.0.30.1", ports[0], record)
        router = Router(front, record)
        wait_until(lambda: len(router.in_rotation()) == 2, 5, "balancers are not in rotation")
        time.sleep(1)

        if TROUBLE:
            system.processes[a.name].send_signal(signal.SIGSTOP)
            record.write("platform: front-a stands still")
        froze_at = time.monotonic()
        # Until front-a has missed two readiness probes, the routers send half of the SYNs there. Later copies of
        # these SYNs go to front-b.
        flows = [consumer.flow(*ROUTE, router) for _ in range(FLOWS)]
        states = [None] * FLOWS

        def use(index):
            flow = flows[index]
            states[index] = flow.open()
            if states[index] == "open":
                flow.request()

        def restart(place, at):
            time.sleep(max(0.0, at - time.monotonic()))
            record.write(f"platform: SIGTERM to the process of {place.name} (planned restart)")
            process = system.processes[place.name]
            process.send_signal(signal.SIGTERM)
            process.wait(8)
            system.start(place)
            record.write(f"platform: the process of {place.name} is started again")

        users = [threading.Thread(target=use, args=(index,)) for index in range(FLOWS)]
        # A planned restart of two of the daemons beside targets, 1.3 s apart, once the flows are open.
        restarts = [threading.Thread(target=restart, args=(place, froze_at + 1.75 + 1.3 * index))
                    for index, place in enumerate(side[:2])]
        time.sleep(0.25)
        for thread in users:
            thread.start()
            time.sleep(0.005)
        for thread in restarts:
            thread.start()
        for thread in users + restarts:
            thread.join()
        record.write(f"consumer: {states.count('open')} of {FLOWS} flows are open")
        if states.count("open") < FLOWS // 2:
            raise RuntimeError("too few flows are open")
        restarted_at = time.monotonic()
        time.sleep(max(0.0, froze_at + FREEZE_S - time.monotonic()))
        if TROUBLE:
            system.processes[a.name].send_signal(signal.SIGCONT)
            record.write(f"platform: front-a wakes after {time.monotonic() - froze_at:.2f} s")
        woke_at = time.monotonic()
        time.sleep(max(restarted_at, woke_at) + CONTACT_S + 1.0 - time.monotonic())
        record.write(f"all machines are in touch again: nothing has happened for {CONTACT_S} s and more")

        reset, answered = [], 0
        for index, flow in enumerate(flows):
            if states[index] != "open":
                continue
            outcome = flow.request()[1]
            answered += outcome == "answered"
            if outcome == "reset" and flow.own_reset:
                reset.append(flow)
        record.write(f"consumer: {answered} requests answered, {len(reset)} flows reset")
        # A flow whose target no longer holds it may be reset.
        held = {key for target in targets for key, state in target.flows.items() if state["open"]}
        wrong = [flow for flow in reset if (consumer.ip, flow.sport, flow.host, flow.port) in held]
        for place in front:
            for line in system.log_lines(place, '"Reset"'):
                record.write(f"{place.name} log: " + line)
        if wrong:
            record.write(f"FLOW broken: {len(wrong)} open flows reset by the system while their targets hold them")
            return 1
        record.write("FLOW held")
        return 0
    finally:
        system.stop_all()


if __name__ == "__main__":
    folder = tempfile.mkdtemp(prefix="review-7-")
    try:
        status = main(folder)
    except Exception:
        traceback.print_exc()
        status = 2
    finally:
        shutil.rmtree(folder, ignore_errors=True)
    sys.stdout.flush()
    os._exit(status)
