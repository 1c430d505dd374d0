"""Stand-ins of the platform's store, of targets and of consumers, for the scripts of review 2.

They follow `PROTOCOL.md`: the store's calls, the status reports of targets, and the packets of flows.
Everything runs on loopback addresses. The keyed sum of packets is not checked, as its key is not
disclosed: it is a fixed value here, and a packet whose sum differs is reported as altered.
"""

import base64
import http.client
import itertools
import json
import os
import random
import signal
import socket
import socketserver
import struct
import subprocess
import sys
import threading
import time
from http.server import BaseHTTPRequestHandler
from urllib.parse import parse_qs, urlsplit

SYN, ACK, FIN, RST, BOUNCED = 64, 8, 1, 16, 128
HEADER = struct.Struct(">IIH4sH4sIHIB")
SUM = 0xA1B2C3D5

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PROGRAM = os.path.join(ROOT, "target", "release", "cranberrypitch-node")


def ip_bytes(ip):
    return socket.inet_aton(ip)


class Packet:
    """A packet of a flow."""

    def __init__(self, src, sport, dst, dport, flags, seq, ack, data=b"", echo=0, total=SUM):
        self.src, self.sport, self.dst, self.dport = src, sport, dst, dport
        self.flags, self.seq, self.ack = flags, seq & 0xFFFFFFFF, ack & 0xFFFFFFFF
        self.data, self.echo, self.sum = data, echo, total

    def encode(self):
        return HEADER.pack(self.seq, self.ack, self.dport, ip_bytes(self.dst), self.sport,
                           ip_bytes(self.src), self.echo, len(self.data), self.sum, self.flags) + self.data

    @classmethod
    def decode(cls, raw):
        seq, ack, dport, dst, sport, src, echo, length, total, flags = HEADER.unpack(raw[:HEADER.size])
        data = raw[HEADER.size:]
        assert length == len(data)
        return cls(socket.inet_ntoa(src), sport, socket.inet_ntoa(dst), dport, flags, seq, ack, data, echo, total)


class Record:
    """The record of a run: what was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.file = open(path, "w")
        self.lock = threading.Lock()

    def at(self, moment=None):
        return (time.monotonic() if moment is None else moment) - self.start

    def write(self, text, moment=None):
        with self.lock:
            self.file.write(f"{self.at(moment):9.3f} {text}\n")
            self.file.flush()


class Store:
    """The platform's store: items, leases and watches."""

    HISTORY = 5000

    def __init__(self, address):
        self.address = address
        self.items, self.leases, self.events = {}, {}, []
        self.revision = 100
        self.dropped_before = 100
        self.next_lease = itertools.count(7000)
        self.changed = threading.Condition()
        self.watch_calls = []
        self.on_call = None
        store = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *args):
                pass

            def answer(self, status, body):
                raw = json.dumps(body).encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(raw)))
                self.send_header("Store-Era", "1")
                self.end_headers()
                self.wfile.write(raw)

            def handle_call(self):
                length = int(self.headers.get("Content-Length") or 0)
                body = self.rfile.read(length) if length else b""
                url = urlsplit(self.path)
                query = {k: v[0] for k, v in parse_qs(url.query).items()}
                try:
                    refusal = store.on_call(self.command, url.path, query, body) if store.on_call else None
                    if refusal is not None:
                        self.answer(refusal, {})
                        return
                    self.answer(*store.call(self.command, url.path, query, body))
                except (BrokenPipeError, ConnectionResetError):
                    pass

            do_GET = do_POST = do_DELETE = handle_call

        class Server(socketserver.ThreadingTCPServer):
            allow_reuse_address = True
            daemon_threads = True
            request_queue_size = 128

            def handle_error(self, request, client_address):
                pass  # A process that ends breaks its connections.

        self.server = Server(address, Handler)
        threading.Thread(target=self.server.serve_forever, daemon=True).start()
        threading.Thread(target=self.expire_leases, daemon=True).start()

    def expire_leases(self):
        while True:
            time.sleep(0.05)
            with self.changed:
                now = time.monotonic()
                for lease in [l for l, (until, _) in self.leases.items() if until <= now]:
                    self.end_lease(lease)

    def end_lease(self, lease):
        del self.leases[lease]
        for key in [k for k, item in self.items.items() if item["lease"] == lease]:
            self.remove(key)

    def remove(self, key):
        self.revision += 1
        del self.items[key]
        self.events.append({"key": key, "revision": self.revision, "deleted": True})
        self.changed.notify_all()

    def write(self, key, value, lease=0):
        """Writes an item and returns its revision. `changed` is held."""
        self.revision += 1
        created = self.items[key]["create-rev"] if key in self.items else self.revision
        item = {"key": key, "value": value, "revision": self.revision, "create-rev": created, "lease": lease}
        self.items[key] = item
        self.events.append(dict(item))
        self.changed.notify_all()
        return self.revision

    def operator_write(self, key, body):
        """Writes an item as the operator does. Returns the moment of the confirmation."""
        with self.changed:
            self.write(key, base64.b64encode(json.dumps(body).encode()).decode())
            return time.monotonic()

    def call(self, method, path, query, body):
        if method == "GET" and path == "/kv-key":
            with self.changed:
                item = self.items.get(query["key"])
                return (200, {**item, "current-rev": self.revision}) if item else (404, {"current-rev": self.revision})
        if method == "GET" and path == "/kv-range":
            with self.changed:
                after = query.get("after", "")
                keys = sorted(k for k in self.items if k.startswith(query["prefix"]) and k > after)
                items = [self.items[k] for k in keys[:500]]
                return 200, {"items": items, "has-more": len(keys) > 500, "current-rev": self.revision}
        if method == "GET" and path == "/kv-watch":
            return self.watch(query["prefix"], int(query["after"]), int(query["wait-ms"]) / 1000)
        if method == "POST" and path == "/kv-lease":
            ttl = max(1000, json.loads(body)["ttl-ms"])
            with self.changed:
                lease = next(self.next_lease)
                self.leases[lease] = (time.monotonic() + ttl / 1000, ttl)
                return 200, {"lease": lease, "ttl-ms": ttl}
        if method == "POST" and path.startswith("/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            with self.changed:
                if lease not in self.leases:
                    return 404, {}
                ttl = self.leases[lease][1]
                self.leases[lease] = (time.monotonic() + ttl / 1000, ttl)
                return 200, {"ttl-ms": ttl}
        if method == "DELETE" and path.startswith("/kv-lease-end/"):
            lease = int(path.rsplit("/", 1)[1])
            with self.changed:
                if lease not in self.leases:
                    return 404, {}
                self.end_lease(lease)
                return 200, {}
        if method == "POST" and path == "/kv-txn":
            return self.commit(json.loads(body))
        return 404, {}

    def commit(self, body):
        with self.changed:
            rows = body.get("precondition", [])
            held = all(self.items.get(r["key"], {"revision": 0})["revision"] == r["revision"] for r in rows)
            if not held:
                empty = lambda key: {"key": key, "revision": 0}
                return 412, {"items": [self.items.get(r["key"], empty(r["key"])) for r in rows]}
            writes = body.get("writes", [])
            if any((w.get("lease") or 0) and w["lease"] not in self.leases for w in writes):
                return 404, {}
            for w in writes:
                self.write(w["key"], w["value"], w.get("lease") or 0)
            for key in body.get("remove", []):
                if key in self.items:
                    self.remove(key)
            return 200, {"revision": self.revision}

    def watch(self, prefix, after, wait_s):
        deadline = time.monotonic() + wait_s
        with self.changed:
            self.watch_calls.append((time.monotonic(), prefix, wait_s))
            while True:
                found = [e for e in self.events if e["revision"] > after and e["key"].startswith(prefix)]
                left = deadline - time.monotonic()
                if found or left <= 0:
                    return 200, {"events": found, "current-rev": self.revision}
                self.changed.wait(left)


class Target:
    """A target: holds flows, answers requests, returns packets of flows that it does not hold."""

    def __init__(self, place, service, record, work_s=0.02, clock_ahead_s=0.0, beat_s=0.77):
        self.place, self.service, self.record = place, service, record
        self.work_s, self.beat_s = work_s, beat_s
        self.id = f"i-{random.randrange(16**10):010x}"
        self.born = int((time.time() + clock_ahead_s) * 1000)
        self.state, self.sequence = "ready", 0
        self.flows, self.ran = {}, []
        self.lock = threading.Lock()
        self.udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.udp.bind((place.ip, place.app))
        self.tcp = socket.socket()
        self.tcp.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.tcp.bind((place.ip, place.app))
        self.tcp.listen(32)
        self.acknowledged = 0
        self.stands_still = False
        for work in (self.serve_packets, self.serve_health, self.report):
            threading.Thread(target=work, daemon=True).start()

    def report(self):
        """Reports at steady intervals. Time for which the machine is suspended doesn't count."""
        while True:
            left = self.beat_s
            if not self.stands_still:
                began = time.monotonic()
                self.send_report()
                left -= time.monotonic() - began
            while left > 0 or self.stands_still:
                time.sleep(0.01)
                if not self.stands_still:
                    left -= 0.01

    def send_report(self):
        self.sequence += 1
        body = {"service": self.service, "address": f"{self.place.ip}:{self.place.app}",
                "zone": self.place.zone, "version": "v1", "slots": 4, "state": self.state,
                "warmup-left-ms": 0, "sequence": self.sequence, "born": self.born}
        try:
            connection = http.client.HTTPConnection(self.place.ip, self.place.control, timeout=1.0)
            connection.request("PUT", f"/targets/{self.id}", json.dumps(body),
                               {"Content-Type": "application/json"})
            answer = connection.getresponse()
            answer.read()
            connection.close()
            if 200 <= answer.status < 300:
                self.acknowledged += 1
        except OSError:
            pass

    def serve_health(self):
        while True:
            connection, _ = self.tcp.accept()
            threading.Thread(target=self.answer_health, args=(connection,), daemon=True).start()

    def answer_health(self, connection):
        try:
            connection.settimeout(2.0)
            if connection.recv(2000):
                status = b"200 OK" if self.state == "ready" else b"503 Service Unavailable"
                connection.sendall(b"HTTP/1.1 " + status + b"\r\nContent-Length: 0\r\n\r\n")
        except OSError:
            pass
        finally:
            connection.close()

    def send(self, packet):
        self.udp.sendto(packet.encode(), (self.place.ip, self.place.outbound))

    def serve_packets(self):
        while True:
            raw, _ = self.udp.recvfrom(4096)
            packet = Packet.decode(raw)
            if packet.sum != SUM:
                self.record.write(f"target {self.place.name}: altered packet")
            with self.lock:
                self.on_packet(packet, raw)

    def on_packet(self, packet, raw):
        key = (packet.src, packet.sport, packet.dst, packet.dport)
        flow = self.flows.get(key)
        if packet.flags & SYN:
            if flow is None:
                first = random.getrandbits(32)
                flow = self.flows[key] = {"first": first, "seq": first, "next": packet.seq + 1, "open": False}
            # A copy of the SYN of a flow that the target has is answered as the first one was.
            self.reply(key, SYN | ACK, flow["first"], (packet.seq + 1))
            return
        if flow is None:
            self.bounce(raw)
            return
        if not flow["open"]:
            if packet.ack != (flow["seq"] + 1) & 0xFFFFFFFF:
                self.bounce(raw)
                return
            flow["open"] = True
            flow["seq"] += 1
            self.record.write(f"target {self.place.name}: flow {key[0]}:{key[1]} is open")
        if packet.flags & RST:
            del self.flows[key]
            return
        if packet.data:
            if packet.seq == flow["next"] & 0xFFFFFFFF:
                flow["next"] += len(packet.data)
                threading.Timer(self.work_s, self.respond, (key, packet.data)).start()
            self.reply(key, ACK, flow["seq"], flow["next"])
        if packet.flags & FIN:
            flow["next"] += 1
            self.reply(key, FIN | ACK, flow["seq"], flow["next"])
            del self.flows[key]

    def bounce(self, raw):
        """Returns a packet: `echo` unchanged, `pad` 0, BOUNCED set. The header has no other padding."""
        raw = bytearray(raw)
        raw[30] |= BOUNCED
        self.udp.sendto(bytes(raw), (self.place.ip, self.place.outbound))

    def respond(self, key, request):
        with self.lock:
            flow = self.flows.get(key)
            if flow is None:
                return
            request_id = request.split(b"X-Request-Id: ")[1].split(b"\r\n")[0]
            body = b"ran " + request_id
            data = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body
            self.ran.append((request_id.decode(), key[2]))
            self.record.write(f"target {self.place.name}: ran {request_id.decode()} of {key[0]}:{key[1]}")
            self.reply(key, ACK, flow["seq"], flow["next"], data)
            flow["seq"] += len(data)

    def reply(self, key, flags, seq, ack, data=b""):
        src, sport, dst, dport = key
        self.send(Packet(dst, dport, src, sport, flags, seq, ack, data))


class Router:
    """The platform's routers: each packet goes to one of the daemons that are in rotation, by a hash of its flow.

    A daemon is probed twice a second, and is out of rotation after two misses until it answers 200 again.
    """

    def __init__(self, places, record):
        self.places, self.record = places, record
        self.misses = {place.name: 2 for place in places}
        for place in places:
            threading.Thread(target=self.probe, args=(place,), daemon=True).start()

    def probe(self, place):
        while True:
            began = time.monotonic()
            is_ready = False
            try:
                connection = http.client.HTTPConnection(place.ip, place.ready, timeout=0.45)
                connection.request("GET", "/readiness")
                is_ready = connection.getresponse().status == 200
                connection.close()
            except OSError:
                pass
            before = self.misses[place.name]
            self.misses[place.name] = 0 if is_ready else before + 1
            if (before < 2) != (self.misses[place.name] < 2):
                self.record.write(f"router: {place.name} is {'in' if is_ready else 'out of'} rotation")
            time.sleep(max(0.0, began + 0.5 - time.monotonic()))

    def in_rotation(self):
        return [place for place in self.places if self.misses[place.name] < 2]

    def select(self, sport):
        """Returns where a packet from a consumer's port goes now (`hash-mode` is `mod`)."""
        ready = self.in_rotation()
        if 2 * len(ready) < len(self.places):
            ready = self.places
        place = ready[sport % len(ready)]
        return place.ip, place.datagram


class Consumer:
    """A consumer at one address, with many flows."""

    def __init__(self, ip, port, record):
        self.ip, self.record = ip, record
        self.udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.udp.bind((ip, port))
        self.flows, self.lock = {}, threading.Lock()
        self.ports = itertools.count(20001)
        threading.Thread(target=self.receive, daemon=True).start()

    def receive(self):
        while True:
            raw, _ = self.udp.recvfrom(4096)
            moment = time.monotonic()
            packet = Packet.decode(raw)
            flow = self.flows.get(packet.dport)
            if flow and packet.src == flow.host and packet.sport == flow.port:
                flow.on_packet(packet, moment)

    def flow(self, host, port, balancer):
        with self.lock:
            flow = Flow(self, next(self.ports), host, port, balancer)
            self.flows[flow.sport] = flow
        return flow


class Flow:
    """A flow of a consumer. `balancer` is the address of a daemon, or the routers that select one for each packet."""

    def __init__(self, consumer, sport, host, port, balancer):
        self.consumer, self.sport, self.host, self.port, self.balancer = consumer, sport, host, port, balancer
        self.seq, self.ack = random.getrandbits(32), 0
        self.state, self.changed = "new", threading.Condition()
        self.received, self.reset_at, self.target_seq, self.own_reset = b"", None, None, False
        self.next_request = itertools.count(1)

    def send(self, flags, seq, ack, data=b""):
        packet = Packet(self.consumer.ip, self.sport, self.host, self.port, flags, seq, ack, data)
        to = self.balancer.select(self.sport) if isinstance(self.balancer, Router) else self.balancer
        self.consumer.udp.sendto(packet.encode(), to)

    def on_packet(self, packet, moment):
        with self.changed:
            if packet.flags & RST:
                near = (packet.seq - self.ack + 76800) & 0xFFFFFFFF <= 153600
                if self.state == "opening" or near:
                    self.own_reset = packet.sum == 0
                    self.reset_at = moment
                    self.state = "reset"
                    self.changed.notify_all()
                return
            if packet.flags & SYN:
                if self.state == "opening":
                    self.target_seq = packet.seq
                    self.ack = (packet.seq + 1) & 0xFFFFFFFF
                    self.seq = (self.seq + 1) & 0xFFFFFFFF
                    self.state = "open"
                    self.send(ACK, self.seq, self.ack)
                    self.changed.notify_all()
                return
            if packet.data and packet.seq == self.ack:
                self.ack = (self.ack + len(packet.data)) & 0xFFFFFFFF
                self.received += packet.data
                self.send(ACK, self.seq, self.ack)
                self.changed.notify_all()

    def open(self):
        """Sends a SYN with copies after 200 and 600 ms. Returns the state after at most 1.4 s."""
        began = time.monotonic()
        with self.changed:
            self.state = "opening"
            for copy, at in enumerate((0.0, 0.2, 0.6)):
                self.changed.wait_for(lambda: self.state != "opening", max(0.0, began + at - time.monotonic()))
                if self.state != "opening":
                    return self.state
                self.send(SYN, self.seq, copy)
            self.changed.wait_for(lambda: self.state != "opening", max(0.0, began + 1.4 - time.monotonic()))
            if self.state == "opening":
                self.state = "failed"
            return self.state

    def request(self, deadline_s=1.0):
        """Sends a request, repeats its packet after 200 ms and doubled times. Returns the request's id and outcome."""
        request_id = f"{self.consumer.ip}-{self.sport}-{next(self.next_request)}"
        data = (f"GET / HTTP/1.1\r\nHost: x\r\nX-Request-Id: {request_id}\r\n\r\n").encode()
        self.consumer.record.write(f"consumer: sends {request_id}")
        with self.changed:
            before = len(self.received)
            seq = self.seq
            self.seq = (self.seq + len(data)) & 0xFFFFFFFF
            began, pause = time.monotonic(), 0.2
            done = lambda: self.state != "open" or request_id.encode() in self.received[before:]
            while not done() and time.monotonic() < began + deadline_s:
                self.send(ACK, seq, self.ack, data)
                self.changed.wait_for(done, min(pause, began + deadline_s - time.monotonic()))
                pause = min(pause * 2, 1.6)
            if self.state == "reset":
                outcome = "reset"
            elif request_id.encode() in self.received[before:]:
                outcome = "answered"
            else:
                outcome = "no answer"
        self.consumer.record.write(f"consumer: {request_id} {outcome}")
        return request_id, outcome

    def close(self):
        with self.changed:
            if self.state == "open":
                self.send(FIN | ACK, self.seq, self.ack)
            self.state = "closed"


class Place:
    """The addresses of a machine."""

    def __init__(self, name, ip, zone, ports, service=None):
        self.name, self.ip, self.zone, self.service = name, ip, zone, service
        (self.datagram, self.ready, self.control, self.outbound, self.app, self.metrics, self.internal) = ports


class Deployment:
    """The system's own programs, with settings as the template of the deploy file has them."""

    def __init__(self, folder, store_address, ports, zones):
        self.folder, self.store_address, self.ports, self.zones = folder, store_address, ports, zones
        self.processes, self.logs = {}, {}
        self.seeds = []

    def settings(self, place):
        target = None
        if place.service:
            target = {"status_address": f"{place.ip}:{place.control}",
                      "outbound_address": f"{place.ip}:{place.outbound}",
                      "backend_address": f"{place.ip}:{place.app}", "service": place.service}
        return {"vm": place.name, "failure_domain": place.zone,
                "datagram_address": f"{place.ip}:{place.datagram}",
                "readiness_address": f"{place.ip}:{place.ready}",
                "peer_ports": [place.internal, place.internal + 15],
                "store_address": "%s:%d" % self.store_address,
                "metrics_address": f"{place.ip}:{place.metrics}",
                "snapshot_address": None if target else f"{place.ip}:{place.control}",
                "seed_addresses": self.seeds, "lease_min_ms": 1000, "stop_grace_s": 6,
                "flow_lifetime_s": 60, "address_reuse_s": 2, "status_interval_ms": 770, "target": target}

    def start(self, place):
        role = "agent" if place.service else "balancer"
        path = os.path.join(self.folder, place.name + ".json")
        with open(path, "w") as file:
            json.dump(self.settings(place), file)
        log = open(os.path.join(self.folder, place.name + ".log"), "ab")
        environment = {"PATH": os.environ.get("PATH", ""), "CRANBERRYPITCH_NODE_FILE": path}
        process = subprocess.Popen([PROGRAM, role], cwd=ROOT, env=environment, stdout=log,
                                   stderr=subprocess.STDOUT, stdin=subprocess.DEVNULL)
        log.close()
        self.processes[place.name] = process
        return process

    def ready(self, place):
        try:
            connection = http.client.HTTPConnection(place.ip, place.ready, timeout=1.0)
            connection.request("GET", "/readiness")
            status = connection.getresponse().status
            connection.close()
            return status == 200
        except OSError:
            return False

    def log_lines(self, place, word):
        with open(os.path.join(self.folder, place.name + ".log"), errors="replace") as file:
            return [line.rstrip() for line in file if word in line]

    def stop_all(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()


def free_ports(count):
    """Returns successive port numbers that are free now."""
    found = []
    start = random.randrange(20000, 30000)
    for port in itertools.count(start):
        try:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                probe = socket.socket(socket.AF_INET, kind)
                probe.bind(("127.0.0.1", port))
                probe.close()
        except OSError:
            found = []
            continue
        found.append(port)
        if len(found) == count:
            return found


def machine_ports():
    """Returns the ports that all machines of a run share: datagram, ready, control, outbound, app, metrics, internal."""
    ports = free_ports(24)
    return (*ports[:6], ports[6])


def config(version, routes, service):
    """Returns a configuration in which each route, an address and port, sends its flows to one service."""
    return {"version": version, "limits": {"idle-timeout-ms": 20000},
            "services": [{"name": service, "health-path": "/health", "max-conns": 2000}],
            "routes": [{"name": f"r-{host}-{port}", "host": host, "prefix": f"/{port}/", "kind": "safe",
                        "timeout-ms": 1000, "aim-ms": 200, "priority": 2, "service": service, "attempts": 2}
                       for host, port in routes]}


def wait_until(condition, limit_s, what):
    deadline = time.monotonic() + limit_s
    while not condition():
        if time.monotonic() > deadline:
            raise TimeoutError(what)
        time.sleep(0.02)
