"""Stand-ins of the platform, of backend servers and of callers, and a runner of the project's own programs.

All of them live in one event loop on loopback addresses. The daemons are the programs of the deploy file, as
separate processes, with a settings file made from the template in deploy/settings.json.
"""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
NODE = os.path.join(ROOT, "target", "release", "cranberrypitch-node")

# The time that the platform's store takes for an answer, and a target for a request.
ANSWER_S = 0.004
WORK_S = 0.039

FIN, ACK, RST, SYN, BOUNCED = 1, 8, 16, 64, 128
HEADER = struct.Struct(">IIH4sH4sIHIB")


class CannotRun(Exception):
    """The case could not run; it says nothing about the rule."""


class Record:
    """Writes what was sent, answered and run to a file, with seconds since the start."""

    def __init__(self, path):
        self.started_at = time.monotonic()
        self.file = open(path, "w")

    def now(self):
        return time.monotonic() - self.started_at

    def write(self, text):
        self.file.write(f"{self.now():9.3f}  {text}\n")
        self.file.flush()


# ---------------------------------------------------------------------------------------------- packets


def pack(src, dst, flags, seq, ack, data=b""):
    return HEADER.pack(
        seq & 0xFFFFFFFF, ack & 0xFFFFFFFF, dst[1], socket.inet_aton(dst[0]), src[1], socket.inet_aton(src[0]),
        0, len(data), 0xA1B2C3D5, flags) + data


class Packet:
    def __init__(self, raw):
        self.raw = raw
        (self.seq, self.ack, dport, dst, sport, src, _echo, _len, _sum, self.flags) = HEADER.unpack_from(raw)
        self.src = (socket.inet_ntoa(src), sport)
        self.dst = (socket.inet_ntoa(dst), dport)
        self.data = raw[HEADER.size:]


# ------------------------------------------------------------------------------------------------ store


class Store:
    """The platform's store: revisions, watches with a history, transactions with preconditions, leases."""

    def __init__(self, record, history_s=20.0):
        self.record = record
        self.history_s = history_s
        self.revision = 1
        self.items = {}
        self.events = []  # (time, revision, event as JSON text, key)
        self.leases = {}  # id -> [ttl_s, expiry]
        self.changed = asyncio.Event()
        self.oldest = 0  # the latest revision whose history is forgotten
        self.refused = set()  # the daemons that the store turns away
        self.longest_answer = 0
        self.on_answer = lambda daemon, path, query, status: None

    async def serve(self, daemon, address):
        """Serves one daemon at an address of its own, by which the store tells the machines apart."""

        async def connection(reader, writer):
            await self.connection(daemon, reader, writer)

        await asyncio.start_server(connection, *address)

    def put(self, key, value, lease=0):
        self.revision += 1
        old = self.items.get(key)
        item = {"key": key, "value": base64.b64encode(value).decode(), "revision": self.revision,
                "create-rev": old["create-rev"] if old else self.revision, "lease": lease}
        self.items[key] = item
        self._event(key, json.dumps(item))
        return self.revision

    def remove(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._event(key, json.dumps({"key": key, "revision": self.revision, "deleted": True}))

    def _event(self, key, text):
        self.events.append((time.monotonic(), self.revision, text, key))
        self.changed.set()
        self.changed = asyncio.Event()

    def _expire(self):
        now = time.monotonic()
        for lease in [i for i, (_, expiry) in self.leases.items() if expiry <= now]:
            self._end_lease(lease)

    def _end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, i in self.items.items() if i["lease"] == lease]:
            self.remove(key)

    def _forget_history(self):
        limit = time.monotonic() - self.history_s
        while self.events and self.events[0][0] < limit:
            self.oldest = self.events.pop(0)[1]

    async def connection(self, daemon, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode().split("\r\n")
                method, target, _ = lines[0].split(" ")
                fields = dict(l.lower().split(": ", 1) for l in lines[1:] if ": " in l)
                body = await reader.readexactly(int(fields.get("content-length", 0)))
                if daemon in self.refused:
                    status, text = 503, "{}"
                else:
                    status, text = await self.call(method, target, body)
                self.on_answer(daemon, target.partition("?")[0], target.partition("?")[2], status)
                await asyncio.sleep(ANSWER_S)
                payload = text.encode()
                self.longest_answer = max(self.longest_answer, len(payload))
                writer.write(
                    f"HTTP/1.1 {status} x\r\nContent-Type: application/json\r\nStore-Era: 1\r\n"
                    f"Content-Length: {len(payload)}\r\n\r\n".encode() + payload)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        finally:
            writer.close()

    async def call(self, method, target, body):
        self._expire()
        path, _, query = target.partition("?")
        query = dict(p.split("=", 1) for p in query.split("&") if "=" in p)
        query = {k: re.sub("%(..)", lambda m: chr(int(m[1], 16)), v) for k, v in query.items()}
        if (method, path) == ("GET", "/kv-key"):
            item = self.items.get(query["key"])
            return (200, json.dumps(item)) if item else (404, "{}")
        if (method, path) == ("GET", "/kv-range"):
            items = [json.dumps(i) for k, i in sorted(self.items.items())
                     if k.startswith(query["prefix"]) and k > query.get("after", "")]
            more = len(items) > 500
            return 200, '{"items":[%s],"has-more":%s,"current-rev":%d}' % (
                ",".join(items[:500]), "true" if more else "false", self.revision)
        if (method, path) == ("GET", "/kv-watch"):
            return await self._watch(query["prefix"], int(query["after"]), int(query["wait-ms"]) / 1000)
        if (method, path) == ("POST", "/kv-txn"):
            return self._transact(json.loads(body))
        if (method, path) == ("POST", "/kv-lease"):
            self.revision += 1
            ttl_ms = json.loads(body)["ttl-ms"]
            self.leases[self.revision] = [ttl_ms / 1000, time.monotonic() + ttl_ms / 1000]
            return 200, json.dumps({"lease": self.revision, "ttl-ms": ttl_ms})
        verb, _, lease = path.rpartition("/")
        if not lease.isdigit() or int(lease) not in self.leases:
            return 404, "{}"
        if (method, verb) == ("POST", "/kv-keep"):
            self.leases[int(lease)][1] = time.monotonic() + self.leases[int(lease)][0]
            return 200, "{}"
        if (method, verb) == ("DELETE", "/kv-lease-end"):
            self._end_lease(int(lease))
            return 200, "{}"
        return 404, "{}"

    async def _watch(self, prefix, after, wait_s):
        deadline = time.monotonic() + wait_s
        self._forget_history()
        if after < self.oldest or after > self.revision:
            return 410, "{}"
        while True:
            self._expire()
            events = [t for _, revision, t, key in self.events if revision > after and key.startswith(prefix)]
            left = deadline - time.monotonic()
            if events or left <= 0:
                return 200, '{"events":[%s],"current-rev":%d}' % (",".join(events), self.revision)
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def _transact(self, body):
        for row in body.get("precondition", []):
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                return 412, json.dumps({"items": [item] if item else []})
        for write in body.get("writes", []):
            if write["key"].startswith(("op/", "servers/")):
                return 403, "{}"
            if write.get("lease") and write["lease"] not in self.leases:
                return 404, "{}"
        for write in body.get("writes", []):
            self.put(write["key"], base64.b64decode(write["value"]), write.get("lease", 0))
        for key in body.get("remove", []):
            self.remove(key)
        return 200, json.dumps({"revision": self.revision})


# ----------------------------------------------------------------------------------------------- target


class Target(asyncio.DatagramProtocol):
    """A backend server: accepts flows, runs requests, returns packets of unknown flows, reports its status."""

    def __init__(self, record, name, service, app, outbound, control, beat_s=0.77, slots=4):
        self.record, self.name, self.service = record, name, service
        self.app, self.outbound, self.control, self.beat_s, self.slots = app, outbound, control, beat_s, slots
        self.flows = {}  # (caller, route) -> state
        self.runs = []  # (time, request id, route)
        self.state, self.sequence = "ready", 0
        self.born = int(time.time() * 1000)

    async def start(self):
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=self.app)
        self.reports = asyncio.create_task(self._report())

    async def _report(self):
        while True:
            self.sequence += 1
            await self.call("PUT", {
                "service": self.service, "address": "%s:%d" % self.app, "zone": "a", "version": "v1",
                "slots": self.slots, "state": self.state, "warmup-left-ms": 0, "sequence": self.sequence,
                "born": self.born})
            await asyncio.sleep(self.beat_s)

    async def call(self, method, body):
        """Calls the agent. Returns whether it confirmed within a second."""
        try:
            return await asyncio.wait_for(self._call(method, json.dumps(body).encode()), 1.0)
        except (asyncio.TimeoutError, OSError, asyncio.IncompleteReadError):
            return False

    async def _call(self, method, body):
        reader, writer = await asyncio.open_connection(*self.control)
        try:
            writer.write(f"{method} /targets/{self.name} HTTP/1.1\r\nHost: agent\r\nContent-Type: application/json\r\n"
                         f"Content-Length: {len(body)}\r\n\r\n".encode() + body)
            head = await reader.readuntil(b"\r\n\r\n")
            return head.split(b" ")[1].startswith(b"2")
        finally:
            writer.close()

    def send(self, raw):
        self.transport.sendto(raw, self.outbound)

    def datagram_received(self, raw, _):
        packet = Packet(raw)
        key = (packet.src, packet.dst)
        flow = self.flows.get(key)
        if packet.flags & SYN:
            if flow is None:
                first = random.getrandbits(32)
                flow = self.flows[key] = {"first": first, "next": first + 1, "expected": packet.seq + 1, "unacked": None}
                self.record.write(f"{self.name} accepts flow {packet.src[0]}:{packet.src[1]}")
            return self.send(pack(packet.dst, packet.src, SYN | ACK, flow["first"], flow["expected"]))
        if flow is None or (packet.ack - flow["first"]) & 0xFFFFFFFF > 1 << 30:
            bounced = bytearray(raw)
            bounced[30] |= BOUNCED
            return self.send(bytes(bounced))
        if packet.flags & RST:
            return self.flows.pop(key, None)
        if flow["unacked"] and packet.ack == flow["next"] & 0xFFFFFFFF:
            flow["unacked"] = None
        if packet.data and packet.seq == flow["expected"] & 0xFFFFFFFF:
            flow["expected"] += len(packet.data)
            self._run(key, flow, packet)
        elif packet.data and flow["unacked"]:
            self.send(flow["unacked"])
        elif packet.data:
            self.send(pack(packet.dst, packet.src, ACK, flow["next"], flow["expected"]))
        if packet.flags & FIN:
            flow["closed"] = True
            self.send(pack(packet.dst, packet.src, ACK | FIN, flow["next"], flow["expected"] + 1))

    def holds(self, flow):
        """Returns whether a caller's flow is open here."""
        state = self.flows.get((flow.src, flow.route))
        return state is not None and not state.get("closed")

    def _run(self, key, flow, packet):
        match = re.search(rb"\r\nX-Request-Id: (\S+)\r\n", packet.data)
        request = match[1].decode() if match else "?"
        self.runs.append((self.record.now(), request, packet.dst))
        self.record.write(f"{self.name} runs {request}, sent to {packet.dst[0]}:{packet.dst[1]}")
        asyncio.create_task(self._answer(key, flow, request))

    async def _answer(self, key, flow, request):
        await asyncio.sleep(WORK_S)
        (src, dst) = key
        body = f"{request} by {self.name}".encode()
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
        raw = pack(dst, src, ACK, flow["next"], flow["expected"], answer)
        flow["next"] += len(answer)
        flow["unacked"] = raw
        self.send(raw)
        await self._retransmit(key, raw)

    async def _retransmit(self, key, raw):
        pause = 0.2
        for _ in range(8):
            await asyncio.sleep(pause)
            flow = self.flows.get(key)
            if flow is None or flow["unacked"] is not raw:
                return
            self.send(raw)
            pause = min(pause * 2, 1.6)


# ----------------------------------------------------------------------------------------------- callers


class Router:
    """The platform's routers: each flow goes to a balancer of its zone by a hash over those in rotation."""

    def __init__(self, record, balancers, zones):
        self.record = record
        self.balancers = balancers  # list of (datagram address, readiness address)
        self.zones = zones  # the zone of each balancer
        self.nearest = {}  # the order of the other zones, by zone; else any order
        self.misses = [2] * len(balancers)

    async def start(self):
        for index in range(len(self.balancers)):
            asyncio.create_task(self._probe(index))

    async def _probe(self, index):
        while True:
            ready = await self._is_ready(self.balancers[index][1])
            was = self.misses[index] < 2
            self.misses[index] = 0 if ready else self.misses[index] + 1
            if was != (self.misses[index] < 2):
                self.record.write(f"balancer {index} is {'in' if not was else 'out of'} rotation")
            await asyncio.sleep(0.5)

    async def _is_ready(self, address):
        try:
            async with asyncio.timeout(0.4):
                reader, writer = await asyncio.open_connection(*address)
                writer.write(b"GET /readiness HTTP/1.1\r\nHost: daemon\r\nContent-Length: 0\r\n\r\n")
                head = await reader.readuntil(b"\r\n\r\n")
                writer.close()
                return head.split(b" ")[1] == b"200"
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False

    def in_rotation(self, zone):
        """The balancers of a zone in rotation; with fewer than half of them, all; with none, those of the nearest zone."""
        for near in [zone] + self.nearest.get(zone, sorted(set(self.zones) - {zone})):
            of_zone = [i for i, z in enumerate(self.zones) if z == near]
            ready = [i for i in of_zone if self.misses[i] < 2]
            if ready:
                return ready if 2 * len(ready) >= len(of_zone) else of_zone
        return list(range(len(self.balancers)))

    def balancer(self, zone, src, dst):
        used = self.in_rotation(zone)
        number = sum(socket.inet_aton(src[0])) * 31 + src[1] * 7 + sum(socket.inet_aton(dst[0])) + dst[1]
        return used[number % len(used)]


class Caller(asyncio.DatagramProtocol):
    """A caller's machine, with any number of flows."""

    def __init__(self, record, router, address, zone):
        self.record, self.router, self.address, self.zone = record, router, address, zone
        self.flows = {}
        self.next_port = 20000

    async def start(self):
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=self.address)

    def datagram_received(self, raw, sender):
        packet = Packet(raw)
        flow = self.flows.get((packet.dst[1], packet.src))
        if flow is not None:
            flow.on_packet(packet, sender)

    def flow(self, route, balancer=None):
        self.next_port += 1
        flow = Flow(self, (self.address[0], self.next_port), route, balancer)
        self.flows[(self.next_port, route)] = flow
        return flow


class Flow:
    """One flow of a caller. `balancer` is the only one that it uses, if given."""

    numbers = iter(range(1, 1 << 30))

    def __init__(self, caller, src, route, balancer):
        self.caller, self.src, self.route, self.balancer = caller, src, route, balancer
        self.record = caller.record
        self.seq = random.getrandbits(31)
        self.ack = None
        self.reset_by = None
        self.answers = asyncio.Queue()
        self.wake = asyncio.Event()
        self.body = b""

    def __str__(self):
        return f"{self.src[0]}:{self.src[1]}"

    def _send(self, flags, seq, ack, data=b""):
        router = self.caller.router
        index = self.balancer if self.balancer is not None else router.balancer(self.caller.zone, self.src, self.route)
        self.caller.transport.sendto(pack(self.src, self.route, flags, seq, ack, data), router.balancers[index][0])

    def on_packet(self, packet, sender):
        if packet.flags & RST:
            is_near = self.ack is None or (packet.seq - self.ack + 76800) & 0xFFFFFFFF <= 2 * 76800
            if is_near and self.reset_by is None:
                self.reset_by = sender[0]
                self.record.write(f"flow {self} is reset by {sender[0]}")
                self.wake.set()
            return
        if packet.flags & SYN:
            if self.ack is None:
                self.ack = (packet.seq + 1) & 0xFFFFFFFF
                self.wake.set()
            return
        if packet.data and packet.seq == self.ack:
            self.ack = (self.ack + len(packet.data)) & 0xFFFFFFFF
            self.body += packet.data
            self.wake.set()
        if packet.data and self.ack is not None:
            self._send(ACK, self.seq, self.ack)

    async def _wait(self, pause):
        self.wake.clear()
        try:
            await asyncio.wait_for(self.wake.wait(), pause)
        except asyncio.TimeoutError:
            pass

    async def open(self):
        """Returns whether the flow opened, or 'reset' if it was reset."""
        for copy, pause in enumerate((0.2, 0.4, 0.8)):
            self._send(SYN, self.seq, copy)
            await self._wait(pause)
            if self.ack is not None:
                self.seq += 1
                return True
            if self.reset_by is not None:
                return "reset"
        return False

    async def request(self, deadline_s=4.0, method="POST"):
        """Sends a request. Returns its id and how it ended: 'answered', 'reset' or 'no answer'."""
        request = f"q{next(Flow.numbers):06d}"
        data = f"{method} /x HTTP/1.1\r\nHost: s\r\nX-Request-Id: {request}\r\nContent-Length: 0\r\n\r\n".encode()
        self.record.write(f"request {request} on flow {self} to {self.route[0]}:{self.route[1]}")
        end = time.monotonic() + deadline_s
        self.body, pause, seq = b"", 0.2, self.seq
        self.seq += len(data)
        result = "no answer"
        while time.monotonic() < end:
            self._send(ACK, seq, self.ack, data)
            until = min(time.monotonic() + pause, end)
            while time.monotonic() < until and not self.body and self.reset_by is None:
                await self._wait(until - time.monotonic())
            if self.body:
                result = "answered" if request.encode() in self.body else "foreign answer"
                break
            if self.reset_by is not None:
                result = "reset"
                break
            pause = min(pause * 2, 1.6)
        self.record.write(f"request {request} {result}")
        return request, result

    def close(self):
        if self.reset_by is None and self.ack is not None:
            self._send(ACK | FIN, self.seq, self.ack)


# ------------------------------------------------------------------------------------------- deployment


class Deployment:
    """The project's own programs on loopback addresses, with the stand-ins around them."""

    def __init__(self, record, balancer_zones, targets, callers, bounds=None, seeds=3, beat_ms=770, history_s=20.0):
        """`balancer_zones` has the zone of each balancer, `targets` the service and zone of each target, and `callers`
        the zone of each caller's machine. `seeds` is the number of balancers whose addresses the settings name."""
        balancers = len(balancer_zones)
        services = [service for service, _ in targets]
        self.balancer_zones, self.target_zones, self.caller_zones = balancer_zones, [z for _, z in targets], callers
        self.record = record
        self.net = self._free_net()
        self.ports = {"datagram": 8172, "ready": 8167, "control": 8166, "outbound": 8162, "app": 8360, "store": 8169}
        self.directory = tempfile.mkdtemp(prefix="cranberrypitch-review-")
        self.beat_ms = beat_ms
        self.processes = {}
        self.settings = {}
        self.store = Store(record, history_s)
        self.bounds = {"grace-s": 6, "flow-lifetime-s": 60, "addr-reuse-s": 2} | (bounds or {})
        self.balancer_ips = [f"127.{self.net}.1.{10 + i}" for i in range(balancers)]
        self.agent_ips = [f"127.{self.net}.2.{10 + i}" for i in range(len(services))]
        self.seeds = [f"{ip}:{self.ports['control']}" for ip in self.balancer_ips[:seeds]]
        self.targets = []
        for index, service in enumerate(services):
            ip = self.agent_ips[index]
            self.targets.append(Target(
                record, f"i-{index}-{random.getrandbits(24):06x}", service, (ip, self.ports["app"]),
                (ip, self.ports["outbound"]), (ip, self.ports["control"]), beat_ms / 1000))
        self.router = Router(record, [((ip, self.ports["datagram"]), (ip, self.ports["ready"])) for ip in self.balancer_ips], balancer_zones)
        self.callers = []

    @staticmethod
    def _free_net():
        for net in random.sample(range(20, 250), 200):
            try:
                with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
                    probe.bind((f"127.{net}.1.10", 8172))
                with socket.socket() as probe:
                    probe.bind((f"127.{net}.3.10", 8169))
                return net
            except OSError:
                continue
        raise CannotRun("no free loopback addresses")

    def caller_address(self, index):
        return (f"127.{self.net}.9.{10 + index}", self.ports["datagram"])

    def store_address(self, name):
        number = list(self.names()).index(name)
        return (f"127.{self.net}.3.{10 + number}", self.ports["store"])

    def names(self):
        return [f"front-{i}" for i in range(len(self.balancer_ips))] + [f"side-{i}" for i in range(len(self.agent_ips))]

    async def start(self, later=()):
        """Starts the daemons, the targets but for those in `later`, and the callers."""
        if not os.path.exists(NODE):
            raise CannotRun("target/release/cranberrypitch-node is missing: run the build of the deploy file")
        for name in self.names():
            await self.store.serve(name, self.store_address(name))
        first = [i for i in range(len(self.targets)) if i not in later]
        for index in first:
            self.start_agent(index)
            await self.targets[index].start()
        for index in range(len(self.balancer_ips)):
            self.start_balancer(index)
        for index, zone in enumerate(self.caller_zones):
            caller = Caller(self.record, self.router, self.caller_address(index), zone)
            await caller.start()
            self.callers.append(caller)
        await self.router.start()
        end = time.monotonic() + 20
        while time.monotonic() < end:
            listed = sum(key.startswith("agents/") for key in self.store.items)
            if all(m < 2 for m in self.router.misses) and listed == len(first):
                break
            await asyncio.sleep(0.1)
        else:
            raise CannotRun("the daemons were not ready in time")
        # Balancers read the changes of the agent list 1.5 s after their first list.
        await asyncio.sleep(3.0)

    def _base_settings(self, name, ip, zone):
        return {
            "vm": name, "failure_domain": zone, "datagram_address": f"{ip}:{self.ports['datagram']}",
            "readiness_address": f"{ip}:{self.ports['ready']}", "peer_ports": [7720, 7735],
            "store_address": "%s:%d" % self.store_address(name), "metrics_address": f"{ip}:9464",
            "snapshot_address": None, "seed_addresses": self.seeds, "lease_min_ms": 1000,
            "stop_grace_s": self.bounds["grace-s"], "flow_lifetime_s": self.bounds["flow-lifetime-s"],
            "address_reuse_s": self.bounds["addr-reuse-s"], "status_interval_ms": self.beat_ms, "target": None}

    def start_balancer(self, index):
        ip = self.balancer_ips[index]
        settings = self._base_settings(f"front-{index}", ip, self.balancer_zones[index])
        settings["snapshot_address"] = f"{ip}:{self.ports['control']}"
        self._spawn(f"front-{index}", "balancer", settings)

    def start_agent(self, index):
        ip, target = self.agent_ips[index], self.targets[index]
        settings = self._base_settings(f"side-{index}", ip, self.target_zones[index])
        settings["target"] = {
            "status_address": f"{ip}:{self.ports['control']}", "outbound_address": f"{ip}:{self.ports['outbound']}",
            "backend_address": f"{ip}:{self.ports['app']}", "service": target.service}
        self._spawn(f"side-{index}", "agent", settings)

    def _spawn(self, name, role, settings):
        import subprocess
        path = os.path.join(self.directory, name + ".json")
        with open(path, "w") as file:
            json.dump(settings, file)
        log = open(os.path.join(self.directory, name + ".log"), "a")
        self.processes[name] = subprocess.Popen(
            [NODE, role], cwd=ROOT, stdout=log, stderr=subprocess.DEVNULL, stdin=subprocess.DEVNULL,
            env={"PATH": os.environ.get("PATH", ""), "CRANBERRYPITCH_NODE_FILE": path})
        self.record.write(f"{name} starts")

    async def stop_process(self, name):
        """SIGTERM, and SIGKILL after the grace time, as the platform stops a process."""
        process = self.processes[name]
        self.record.write(f"{name} gets SIGTERM")
        process.send_signal(signal.SIGTERM)
        end = time.monotonic() + self.bounds["grace-s"]
        while process.poll() is None and time.monotonic() < end:
            await asyncio.sleep(0.02)
        if process.poll() is None:
            process.kill()
            self.record.write(f"{name} gets SIGKILL")
        process.wait()
        self.record.write(f"{name} has ended")

    def log_lines(self, name, *events):
        with open(os.path.join(self.directory, name + ".log")) as file:
            lines = [json.loads(line) for line in file if line.startswith("{")]
        return [line for line in lines if line.get("event") in events]

    def close(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()
        if os.environ.get("KEEP_LOGS"):
            print("logs:", self.directory)
        else:
            shutil.rmtree(self.directory, ignore_errors=True)


def route(host, port, service, kind="unsafe"):
    return {"name": f"r-{host}-{port}", "host": host, "prefix": f"/{port}/", "service": service, "kind": kind,
            "timeout-ms": 4000, "aim-ms": 250, "priority": 1, "attempts": 2}


def config(version, routes, services):
    return json.dumps({
        "version": version, "routes": routes, "services": [{"name": s, "health-path": "/health"} for s in services],
        "limits": {"idle-timeout-ms": 12000}}).encode()


def main(case, folder):
    """Runs a case, and exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run."""
    record = Record(os.path.join(folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"TROUBLE={int(trouble)}")

    async def run():
        async with asyncio.timeout(115):
            return await case(record, trouble)

    try:
        broken = asyncio.run(run())
    except Exception as error:  # Also a fault of a stand-in says nothing about the rule.
        record.write(f"the case could not run: {error!r}")
        print("could not run:", repr(error))
        raise SystemExit(2)
    for line in broken:
        record.write(f"BROKEN: {line}")
        print("broken:", line)
    record.write("the rule was broken" if broken else "the rule held")
    print("the rule was broken" if broken else "the rule held")
    raise SystemExit(1 if broken else 0)
