"""Stand-ins of the users' platform for the scripts of the third review: the store, the operator, routers,
consumers and targets, as ../given/kit/more/system/PROTOCOL.md and DEPLOY.md describe them. Standard library only.

All addresses are loopback addresses. Each machine has an address of its own in one random /16 of 127.0.0.0/8."""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import struct
import tempfile
import time
import traceback
import urllib.parse
import zlib

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(HERE)
PROGRAM = os.path.join(ROOT, "target", "release", "cranberrypitch-node")

SYN, ACK, FIN, RST, BOUNCED = 64, 8, 1, 16, 128
HEADER = struct.Struct(">IIH4sH4sIHIB")
# The bounds of the site sites/cvt-balanceio.toml.
CONTACT_S, HEARTBEAT_S, DRAIN_S, CONFIG_S, FLOW_LIFETIME_S = 4.0, 0.77, 3.0, 3.0, 60


class CannotRun(Exception):
    """The case could not run (exit code 2)."""


class Record:
    """Writes record.txt: what was sent, answered and run, with seconds since the start of the case."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, text):
        line = f"{self.now():9.3f} {text}"
        self.file.write(line + "\n")
        self.file.flush()
        print(line, flush=True)


# --- packets ---------------------------------------------------------------------------------------------------


class Packet:
    __slots__ = ("seq", "ack", "src", "sport", "dst", "dport", "echo", "data", "sum", "flags")

    def __init__(self, src, sport, dst, dport, flags, seq=0, ack=0, data=b"", echo=0, sum_=None):
        self.src, self.sport, self.dst, self.dport = src, sport, dst, dport
        self.flags, self.seq, self.ack, self.data, self.echo = flags, seq & 0xFFFFFFFF, ack & 0xFFFFFFFF, data, echo
        self.sum = self.keyed_sum() if sum_ is None else sum_

    def keyed_sum(self):
        """The keyed sum over all fields except echo, pad and BOUNCED. The key is the stand-ins' own."""
        fields = f"{self.seq},{self.ack},{self.src},{self.sport},{self.dst},{self.dport},{self.flags & ~BOUNCED}"
        return zlib.crc32(b"standins3" + fields.encode() + self.data) or 1

    def is_genuine(self):
        return self.sum == self.keyed_sum()

    def encode(self):
        ip = socket.inet_aton
        head = HEADER.pack(self.seq, self.ack, self.dport, ip(self.dst), self.sport, ip(self.src), self.echo,
                           len(self.data), self.sum, self.flags)
        return head + self.data

    @classmethod
    def decode(cls, raw):
        seq, ack, dport, dst, sport, src, echo, length, sum_, flags = HEADER.unpack(raw[:31])
        ntoa = socket.inet_ntoa
        packet = cls(ntoa(src), sport, ntoa(dst), dport, flags, seq, ack, raw[31:31 + length], echo, sum_)
        return packet

    def flow(self):
        return (self.src, self.sport, self.dst, self.dport)


class Udp(asyncio.DatagramProtocol):
    def __init__(self, on_packet):
        self.on_packet = on_packet

    def datagram_received(self, data, addr):
        self.on_packet(data, addr)

    def error_received(self, exc):
        pass


async def udp(address, on_packet):
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_datagram_endpoint(lambda: Udp(on_packet), local_addr=address)
    return transport


# --- HTTP ------------------------------------------------------------------------------------------------------


async def read_message(reader):
    """Returns the first line, the headers and the body of a message, or None at the end of the connection."""
    line = await reader.readline()
    if not line:
        return None
    headers = {}
    while True:
        header = await reader.readline()
        if header in (b"\r\n", b"\n", b""):
            break
        name, _, value = header.decode().partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return line.decode().strip(), headers, body


async def http(address, method, path, body=None, timeout=1.0):
    """Returns the status and body of a call on a connection of its own, or None without an answer in time."""

    async def call():
        reader, writer = await asyncio.open_connection(*address)
        try:
            data = b"" if body is None else json.dumps(body).encode()
            writer.write((f"{method} {path} HTTP/1.1\r\nHost: {address[0]}\r\nContent-Type: application/json\r\n"
                          f"Content-Length: {len(data)}\r\nConnection: close\r\n\r\n").encode() + data)
            message = await read_message(reader)
            return None if message is None else (int(message[0].split()[1]), message[2])
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(call(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError, IndexError):
        return None


# --- the store -------------------------------------------------------------------------------------------------


class Store:
    """The platform's metadata store. `refuse` returns how a call fails now, or None, by the address at which the
    machine reaches the store, and the path."""

    def __init__(self, record):
        self.record, self.items, self.history, self.leases = record, {}, [], {}
        self.rev, self.next_lease, self.era = 100, 5000, 1
        self.changed = asyncio.Condition()
        self.refuse = lambda ip, path: None
        self.calls = 0
        self.on_empty_watch = None  # called with the machine's address, the prefix and the wait of an empty answer

    async def serve(self, addresses):
        """Serves at one address for each machine, which tells the machines apart: a loopback client has no other."""
        self.servers = [await asyncio.start_server(self.connection, *address) for address in addresses]
        self.expiry = asyncio.create_task(self.expire())

    async def expire(self):
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for lease in [l for l, (_, end) in self.leases.items() if end <= now]:
                await self.end_lease(lease)

    async def end_lease(self, lease):
        self.leases.pop(lease, None)
        keys = [k for k, item in self.items.items() if item["lease"] == lease]
        if keys:
            await self.commit([], keys)

    async def commit(self, writes, removes):
        async with self.changed:
            self.rev += 1
            for key, value, lease in writes:
                old = self.items.get(key)
                item = {"key": key, "value": value, "revision": self.rev,
                        "create-rev": old["create-rev"] if old else self.rev, "lease": lease}
                self.items[key] = item
                self.history.append((self.rev, dict(item)))
            for key in removes:
                if self.items.pop(key, None) is not None:
                    self.history.append((self.rev, {"key": key, "revision": self.rev, "deleted": True}))
            self.changed.notify_all()
            return self.rev

    async def operator_put(self, key, value):
        """A write of the operator; its return is the confirmation."""
        rev = await self.commit([(key, base64.b64encode(json.dumps(value).encode()).decode(), 0)], [])
        self.record(f"operator: {key} written, confirmed at revision {rev}")

    async def connection(self, reader, writer):
        ip = writer.get_extra_info("sockname")[0]
        try:
            while (message := await read_message(reader)) is not None:
                method, target, _ = message[0].split()
                url = urllib.parse.urlsplit(target)
                query = {k: v[0] for k, v in urllib.parse.parse_qs(url.query).items()}
                self.calls += 1
                how = self.refuse(ip, url.path)
                if how == "reset":
                    writer.transport.abort()
                    return
                if how == "silent":
                    await asyncio.sleep(3600)
                if how in ("busy", "many"):
                    status, body = (503 if how == "busy" else 429), {}
                else:
                    status, body = await self.answer(ip, url.path, query, message[2])
                data = json.dumps(body).encode()
                writer.write((f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nStore-Era: {self.era}\r\n"
                              f"Content-Length: {len(data)}\r\n\r\n").encode() + data)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError):
            pass
        finally:
            writer.close()

    async def answer(self, ip, path, query, body):
        if path == "/kv-key":
            item = self.items.get(query["key"])
            return (200, dict(item, **{"current-rev": self.rev})) if item else (404, {})
        if path == "/kv-range":
            keys = sorted(k for k in self.items if k.startswith(query["prefix"]) and k > query.get("after", ""))
            return 200, {"items": [self.items[k] for k in keys[:500]], "has-more": len(keys) > 500,
                         "current-rev": self.rev}
        if path == "/kv-watch":
            after, until = int(query["after"]), time.monotonic() + int(query["wait-ms"]) / 1000
            if after > self.rev:
                return 410, {}
            while True:
                events = [e for r, e in self.history if r > after and e["key"].startswith(query["prefix"])]
                left = until - time.monotonic()
                if not events and left <= 0 and self.on_empty_watch:
                    self.on_empty_watch(ip, query["prefix"], int(query["wait-ms"]))
                if events or left <= 0:
                    return 200, {"events": events, "current-rev": self.rev}
                async with self.changed:
                    try:
                        await asyncio.wait_for(self.changed.wait(), left)
                    except asyncio.TimeoutError:
                        pass
        if path == "/kv-txn":
            txn = json.loads(body)
            rows = txn.get("precondition", [])
            current = lambda key: self.items.get(key, {}).get("revision", 0)
            if any(current(row["key"]) != row["revision"] for row in rows):
                return 412, {"items": [self.items.get(r["key"], {"key": r["key"], "revision": 0}) for r in rows]}
            writes = [(w["key"], w["value"], w.get("lease", 0)) for w in txn.get("writes", [])]
            if any(lease and lease not in self.leases for _, _, lease in writes):
                return 404, {}
            if any(k.startswith(("op/", "servers/")) for k, _, _ in writes):
                return 403, {}
            return 200, {"revision": await self.commit(writes, txn.get("remove", []))}
        if path == "/kv-lease":
            self.next_lease += 1
            ttl = json.loads(body)["ttl-ms"]
            self.leases[self.next_lease] = (ttl / 1000, time.monotonic() + ttl / 1000)
            return 200, {"lease": self.next_lease, "ttl-ms": ttl}
        if path.startswith("/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][0]
            self.leases[lease] = (ttl, time.monotonic() + ttl)
            return 200, {"ttl-ms": int(ttl * 1000)}
        if path.startswith("/kv-lease-end/"):
            await self.end_lease(int(path.rsplit("/", 1)[1]))
            return 200, {}
        return 404, {}


# --- targets ---------------------------------------------------------------------------------------------------


class TargetFlow:
    def __init__(self, seq, caller_seq):
        self.seq = seq                       # the number of the SYN+ACK
        self.next_out = seq + 1              # the next number that the target sends
        self.next_in = caller_seq + 1        # the next number of the consumer's data
        self.is_open, self.opened_at, self.is_over = False, None, False
        self.unacked = {}                    # seq -> (packet, due, tries)
        self.input = b""


class Target:
    """A target beside an agent: it holds flows, bounces packets of flows that it does not hold, reports its status.
    `clock_s` is how far the time of day of its machine is ahead when it starts."""

    def __init__(self, world, side, id_, service=None, clock_s=0.0, work_s=0.02, slots=4):
        self.world, self.side, self.id, self.record = world, side, id_, world.record
        self.service = service or side.service
        self.work_s, self.slots = work_s, slots
        self.born = int((time.time() + clock_s) * 1000)
        self.started_at = time.monotonic()
        self.sequence, self.state, self.flows, self.is_alive = 0, "ready", {}, True
        self.draining_acked_at, self.reported = None, asyncio.Event()
        self.tasks = []

    async def start(self):
        self.socket = await udp(self.side.app, self.on_datagram)
        self.health = await asyncio.start_server(self.serve_health, *self.side.app)
        self.tasks = [asyncio.create_task(self.beat()), asyncio.create_task(self.retransmit())]
        self.record(f"target {self.id} started on {self.side.name}, born {self.born}, service {self.service}")
        return self

    def end(self):
        """Ends like a crash: nothing is sent any more."""
        self.is_alive = False
        for task in self.tasks:
            task.cancel()
        self.socket.close()
        self.health.close()
        self.record(f"target {self.id} ended")

    async def serve_health(self, reader, writer):
        try:
            while await read_message(reader) is not None:
                status = 200 if self.state == "ready" else 503
                writer.write(f"HTTP/1.1 {status} X\r\nX-Target-Id: {self.id}\r\nContent-Length: 0\r\n\r\n".encode())
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError):
            pass
        finally:
            writer.close()

    async def beat_once(self):
        self.sequence += 1
        state = self.state
        body = {"service": self.service, "address": f"{self.side.app[0]}:{self.side.app[1]}", "zone": self.side.zone,
                "version": "v1", "slots": self.slots, "state": state, "warmup-left-ms": 0, "sequence": self.sequence,
                "born": self.born}
        answer = await http(self.side.control, "PUT", f"/targets/{self.id}", body)
        if answer and 200 <= answer[0] < 300 and len(answer[1]) <= 4096:
            if not self.reported.is_set():
                self.record(f"target {self.id}: first status report confirmed")
                self.reported.set()
            if state == "draining" and self.draining_acked_at is None:
                self.draining_acked_at = time.monotonic()
                self.record(f"target {self.id}: draining confirmed")

    async def beat(self):
        while True:
            await self.beat_once()
            await asyncio.sleep(HEARTBEAT_S)

    async def drain_and_exit(self, extra_s=1.0):
        """A planned shutdown: reports draining, serves on for drain-ms and a little longer, takes its leave."""
        self.state = "draining"
        await self.beat_once()
        await asyncio.sleep(DRAIN_S + extra_s)
        answer = await http(self.side.control, "DELETE", f"/targets/{self.id}")
        self.record(f"target {self.id}: DELETE answered {answer[0] if answer else None}")
        self.end()

    def send(self, packet):
        self.socket.sendto(packet.encode(), self.side.outbound)

    def on_datagram(self, raw, addr):
        if not self.is_alive:
            return
        packet = Packet.decode(raw)
        if not packet.is_genuine():
            self.record(f"UNASKED target {self.id} got a packet that its sender did not write so: {raw.hex()}")
            self.world.broken.append("UNASKED")
            return
        key = packet.flow()
        flow = self.flows.get(key)
        if packet.flags == SYN:
            if flow is None:
                flow = self.flows[key] = TargetFlow(random.getrandbits(31), packet.seq)
                self.record(f"target {self.id} accepts {key[1]}")
            self.send(Packet(packet.dst, packet.dport, packet.src, packet.sport, SYN | ACK, flow.seq, packet.seq + 1))
            return
        if flow is None or not 0 <= (packet.ack - flow.seq) & 0xFFFFFFFF <= 1 << 24:
            bounced = Packet.decode(raw)
            bounced.flags |= BOUNCED
            self.record(f"target {self.id} bounces a packet of {key[1]}")
            self.world.seen(self, key, False)
            self.send(bounced)
            return
        self.world.seen(self, key, True)
        if not flow.is_open:
            flow.is_open, flow.opened_at = True, time.monotonic()
            self.record(f"target {self.id} has the end of the handshake of {key[1]}")
        if packet.flags & RST:
            del self.flows[key]
            return
        for seq in [s for s in flow.unacked if (packet.ack - s) & 0xFFFFFFFF > 0 and packet.ack > s]:
            del flow.unacked[seq]
        if packet.data:
            if packet.seq == flow.next_in:
                flow.next_in += len(packet.data)
                flow.input += packet.data
                while b"\r\n\r\n" in flow.input:
                    head, _, flow.input = flow.input.partition(b"\r\n\r\n")
                    request_id = head.split(b"X-Request-Id: ")[1].split(b"\r\n")[0].decode()
                    asyncio.create_task(self.run(key, flow, request_id))
            else:
                self.send(Packet(packet.dst, packet.dport, packet.src, packet.sport, ACK, flow.next_out, flow.next_in))

    async def run(self, key, flow, request_id):
        self.record(f"target {self.id} of {self.service} runs {request_id}")
        self.world.ran.setdefault(request_id, []).append(self)
        await asyncio.sleep(self.work_s)
        body = f"{request_id} by {self.id}".encode()
        data = (f"HTTP/1.1 200 OK\r\nX-Response-Signature: s-{request_id}\r\n"
                f"Content-Length: {len(body)}\r\n\r\n").encode() + body
        src, sport, dst, dport = key
        packet = Packet(dst, dport, src, sport, ACK, flow.next_out, flow.next_in, data)
        flow.next_out += len(data)
        flow.unacked[packet.seq] = [packet, time.monotonic() + 0.2, 0]
        self.send(packet)

    async def retransmit(self):
        while True:
            await asyncio.sleep(0.02)
            for flow in list(self.flows.values()):
                for entry in list(flow.unacked.values()):
                    if time.monotonic() >= entry[1] and entry[2] < 8:
                        entry[2] += 1
                        entry[1] = time.monotonic() + min(1.6, 0.2 * 2 ** entry[2])
                        self.send(entry[0])


# --- consumers -------------------------------------------------------------------------------------------------


class Flow:
    """A flow of a consumer. It carries one request at a time, each in one packet."""

    def __init__(self, consumer, dst, dport):
        consumer.next_port += 1
        self.consumer, self.dst, self.dport, self.sport = consumer, dst, dport, consumer.next_port
        self.isn = random.getrandbits(30)
        self.out, self.peer_next, self.state = self.isn + 1, None, "opening"
        self.event, self.response, self.input = asyncio.Event(), None, b""
        self.sent_at = self.opened_at = self.reset_at = None
        consumer.flows[self.sport] = self

    def packet(self, flags, seq, ack, data=b""):
        return Packet(self.consumer.ip, self.sport, self.dst, self.dport, flags, seq, ack, data)

    def send(self, packet):
        self.consumer.route(packet)

    async def open(self):
        """Opens the flow. Returns whether it is open; a consumer gives an attempt up after 1.4 s."""
        start = self.sent_at = time.monotonic()
        for copy, until in enumerate((0.2, 0.6, 1.4)):
            self.send(self.packet(SYN, self.isn, copy))
            while self.state == "opening" and (left := start + until - time.monotonic()) > 0:
                self.event.clear()
                try:
                    await asyncio.wait_for(self.event.wait(), left)
                except asyncio.TimeoutError:
                    pass
            if self.state != "opening":
                break
        if self.state == "opening":
            self.state = "closed"
        return self.state == "open"

    async def request(self, request_id, deadline_s=1.2):
        """Sends a request. Returns 'ok', 'reset' or 'silence'."""
        data = f"POST /order HTTP/1.1\r\nHost: x\r\nX-Request-Id: {request_id}\r\n\r\n".encode()
        packet = self.packet(ACK, self.out, self.peer_next, data)
        self.out += len(data)
        self.response, start, wait = None, time.monotonic(), 0.2
        while self.state == "open" and self.response is None and time.monotonic() < start + deadline_s:
            self.send(packet)
            due = min(time.monotonic() + wait, start + deadline_s)
            wait = min(1.6, wait * 2)
            while self.state == "open" and self.response is None and (left := due - time.monotonic()) > 0:
                self.event.clear()
                try:
                    await asyncio.wait_for(self.event.wait(), left)
                except asyncio.TimeoutError:
                    pass
        result = "ok" if self.response else "reset" if self.state == "reset" else "silence"
        self.consumer.world.record(f"consumer {self.sport}: {request_id} {result}")
        return result

    def on_packet(self, packet):
        world = self.consumer.world
        if packet.flags & RST:
            is_own = packet.sum == 0
            world.record(f"consumer {self.sport}: reset, {'of the system' if is_own else 'of the target'}, "
                         f"flow {self.state}")
            if self.state in ("open", "opening"):
                if self.state == "open" and is_own:
                    world.resets.append((self, time.monotonic()))
                self.state, self.reset_at = "reset", time.monotonic()
            self.event.set()
            return
        if not packet.is_genuine():
            world.record(f"MIXED consumer {self.sport} got a packet that its sender did not write so")
            world.broken.append("MIXED")
            return
        if packet.flags == SYN | ACK:
            if self.state == "opening":
                self.peer_next, self.state, self.opened_at = packet.seq + 1, "open", time.monotonic()
                world.record(f"consumer {self.sport}: flow open")
            if self.state == "open" and packet.seq + 1 == self.peer_next:
                self.send(self.packet(ACK, self.out, self.peer_next))
            self.event.set()
            return
        if packet.data and self.state == "open":
            if packet.seq == self.peer_next:
                self.peer_next += len(packet.data)
                self.input += packet.data
                self.response, self.input = self.input, b""
            self.send(self.packet(ACK, self.out, self.peer_next))
        self.event.set()


class Consumer:
    """A consumer's machine with the router of its zone, which hashes flows over the daemons in rotation (`mod`)."""

    def __init__(self, world, ip, zone):
        self.world, self.ip, self.zone, self.flows = world, ip, zone, {}
        self.next_port = 40000 + random.randrange(1000)

    async def start(self):
        self.socket = await udp((self.ip, self.world.port["datagram"]), self.on_datagram)
        return self

    def on_datagram(self, raw, addr):
        packet = Packet.decode(raw)
        flow = self.flows.get(packet.dport)
        if flow and packet.src == flow.dst and packet.sport == flow.dport:
            flow.on_packet(packet)

    def route(self, packet):
        fronts = self.world.rotation(self.zone)
        if fronts:
            key = zlib.crc32(repr(packet.flow()).encode())
            self.socket.sendto(packet.encode(), fronts[key % len(fronts)].datagram)

    async def ready_flow(self, dst, dport, attempts=10):
        for _ in range(attempts):
            flow = Flow(self, dst, dport)
            if await flow.open():
                return flow
            await asyncio.sleep(0.05)
        raise CannotRun("no flow opened")


# --- machines and processes ------------------------------------------------------------------------------------


class Machine:
    """A machine of the system with one daemon."""

    def __init__(self, world, role, name, ip, zone, service=None):
        self.world, self.role, self.name, self.ip, self.zone, self.service = world, role, name, ip, zone, service
        port = world.port
        self.datagram, self.ready = (ip, port["datagram"]), (ip, port["ready"])
        self.control, self.outbound, self.app = (ip, port["control"]), (ip, port["outbound"]), (ip, port["app"])
        zone_and_number = ip.split(".", 2)[2]
        self.store_address = (f"{world.net}.{200 + int(zone_and_number.split('.')[0])}.{zone_and_number.split('.')[1]}",
                              port["store"])
        self.process, self.is_ready, self.misses, self.starts = None, False, 0, 0
        self.file = os.path.join(world.folder, f"{name}.json")
        self.log = os.path.join(world.folder, f"{name}.log")

    def settings(self):
        addr = lambda a: f"{a[0]}:{a[1]}"
        bounds = self.world.bounds
        # deploy/settings.json, filled in as the platform does.
        return {
            "vm": self.name, "failure_domain": self.zone, "datagram_address": addr(self.datagram),
            "readiness_address": addr(self.ready), "peer_ports": list(self.world.peer_ports),
            "store_address": addr(self.store_address), "metrics_address": f"{self.ip}:{self.world.port['metrics']}",
            "snapshot_address": addr(self.control) if self.role == "balancer" else None,
            "seed_addresses": [addr(m.control) for m in self.world.fronts[:3]],
            "lease_min_ms": 1000, "stop_grace_s": 6, "flow_lifetime_s": bounds["flow-lifetime-s"],
            "address_reuse_s": bounds["addr-reuse-s"], "status_interval_ms": int(HEARTBEAT_S * 1000),
            "target": None if self.role == "balancer" else {
                "status_address": addr(self.control), "outbound_address": addr(self.outbound),
                "backend_address": addr(self.app), "service": self.service},
        }

    async def start(self):
        with open(self.file, "w", encoding="utf-8") as file:
            json.dump(self.settings(), file)
        env = {"PATH": os.environ.get("PATH", "/usr/bin:/bin"), "HOME": "/tmp",
               "CRANBERRYPITCH_NODE_FILE": self.file}
        log = open(self.log, "ab")
        self.process = await asyncio.create_subprocess_exec(PROGRAM, self.role, env=env, cwd=ROOT, stdout=log, stderr=log)
        log.close()
        self.starts += 1
        self.world.record(f"{self.name}: process started")

    def signal(self, number):
        self.world.record(f"{self.name}: {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def kill(self):
        self.signal(signal.SIGKILL)
        await self.process.wait()

    async def stop(self, grace_s=6):
        """A planned stop: SIGTERM, and SIGKILL after grace-s."""
        self.signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(self.process.wait(), grace_s)
        except asyncio.TimeoutError:
            await self.kill()
        self.world.record(f"{self.name}: process ended")


class World:
    def __init__(self, record, zones=("a", "b"), fronts=1, sides=(("matcher", 2),), bounds=None):
        self.record, self.folder = record, tempfile.mkdtemp(prefix="review3-")
        self.net = f"127.{random.randrange(20, 250)}"
        self.bounds = {"flow-lifetime-s": FLOW_LIFETIME_S, "addr-reuse-s": 2, **(bounds or {})}
        first = random.randrange(20000, 28000, 40)
        names = ("datagram", "ready", "control", "outbound", "app", "store", "metrics")
        self.port = {name: first + n for n, name in enumerate(names)}
        self.peer_ports = (first + 20, first + 35)
        self.fronts, self.sides, self.consumers, self.targets = [], [], [], []
        self.broken, self.resets, self.ran, self.sightings = [], [], {}, []
        for z, zone in enumerate(zones):
            for n in range(fronts):
                name = f"front-{zone}-{n + 1}"
                self.fronts.append(Machine(self, "balancer", name, f"{self.net}.{z + 1}.{10 + n}", zone))
            number = 0
            for service, count in sides:
                for _ in range(count):
                    number += 1
                    ip = f"{self.net}.{z + 1}.{40 + number}"
                    self.sides.append(Machine(self, "agent", f"side-{zone}-{number}", ip, zone, service))
        self.zones = zones
        self.store = Store(record)
        self.version = 0
        self.routes = {}

    def seen(self, target, key, is_own):
        self.sightings.append((time.monotonic(), target, key, is_own))

    def rotation(self, zone):
        mine = [m for m in self.fronts if m.zone == zone]
        ready = [m for m in mine if m.is_ready]
        if ready:
            return ready if 2 * len(ready) >= len(mine) else mine
        return [m for m in self.fronts if m.is_ready]

    async def probe(self, machine):
        while True:
            answer = await http(machine.ready, "GET", "/readiness", timeout=0.45)
            if answer and answer[0] == 200:
                machine.misses = 0
                if not machine.is_ready:
                    self.record(f"{machine.name} is in rotation")
                machine.is_ready = True
            else:
                machine.misses += 1
                if machine.misses >= 2 and machine.is_ready:
                    self.record(f"{machine.name} is out of rotation")
                    machine.is_ready = False
            await asyncio.sleep(0.5)

    async def put_config(self):
        """Writes the configuration with the routes of `self.routes`: name -> (host, port, service)."""
        self.version += 7
        routes = [{"name": name, "host": host, "prefix": f"/{port}/", "kind": "unsafe", "timeout-ms": 1200,
                   "aim-ms": 250, "priority": 1, "service": service, "attempts": 2}
                  for name, (host, port, service) in self.routes.items()]
        services = [{"name": s, "health-path": "/health", "max-conns": 2000, "protocol": "h1", "tls": False}
                    for s in sorted({m.service for m in self.sides})]
        await self.store.operator_put("op/config", {
            "version": self.version, "routes": routes, "services": services,
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000,
                       "idle-timeout-ms": 15000}})

    async def start(self, targets=True):
        if not os.access(PROGRAM, os.X_OK):
            raise CannotRun("target/release/cranberrypitch-node is missing: run the build of deploy/system.toml")
        await self.store.serve([m.store_address for m in self.fronts + self.sides])
        self.probes = []
        for machine in self.fronts + self.sides:
            await machine.start()
        if targets:
            for side in self.sides:
                self.targets.append(await Target(self, side, f"i-{side.name}").start())
        self.probes = [asyncio.create_task(self.probe(m)) for m in self.fronts]
        await self.put_config()
        for z, zone in enumerate(self.zones):
            self.consumers.append(await Consumer(self, f"{self.net}.{100 + z}.7", zone).start())
        end = time.monotonic() + 15
        while not all(m.is_ready for m in self.fronts):
            if time.monotonic() > end:
                raise CannotRun("the balancers are not ready")
            await asyncio.sleep(0.1)

    def end(self):
        for machine in self.fronts + self.sides:
            process = machine.process
            if process and process.returncode is None:
                try:
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                except ProcessLookupError:
                    pass

    def keep_logs(self, folder):
        for machine in self.fronts + self.sides:
            if os.path.exists(machine.log):
                shutil.copy(machine.log, os.path.join(folder, f"{machine.name}.log"))


def main(folder, case):
    """Runs `case(record, trouble, worlds)`, which returns a list of breaks. Exits with 1, 0 or 2."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder)
    record(f"trouble: {'on' if trouble else 'off'}")
    worlds = []

    def finish(code):
        for world in worlds:
            world.end()
            if os.environ.get("KEEP_LOGS"):
                os.makedirs(os.environ["KEEP_LOGS"], exist_ok=True)
                world.keep_logs(os.environ["KEEP_LOGS"])
            shutil.rmtree(world.folder, ignore_errors=True)
        record(f"exit {code}")
        # Tasks of the stand-ins that still wait are of no use any more.
        os._exit(code)

    def on_alarm(*_):
        record("the case could not run: it took too long")
        finish(2)

    async def run():
        try:
            breaks = await asyncio.wait_for(case(record, trouble, worlds), 105)
            for line in breaks:
                record(f"BROKEN {line}")
            finish(1 if breaks else 0)
        except (CannotRun, OSError, asyncio.TimeoutError) as error:
            record(f"the case could not run: {error!r}")
        except Exception:  # a fault of the case itself
            record("the case could not run: " + traceback.format_exc())
        finish(2)

    signal.signal(signal.SIGALRM, on_alarm)
    signal.alarm(112)
    asyncio.run(run())
