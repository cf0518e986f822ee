"""Stand-ins for the platform's store, instances and clients, and a fleet.

They follow PROTOCOL.md and use the standard library only. All addresses are
loopback addresses. The daemons are started with the command of the deploy file.
"""

import base64
import http.client
import http.server
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "mesh.example"
KEYED = "ledger"
UNKEYED = "intake"
KEYS = 65_536
ID = "Waxwinglever-Request-Id"
DEADLINE = "Waxwinglever-Deadline-Ms"
SHARD = "Waxwinglever-Shard-Key"
EXPECTED = "Waxwinglever-Expected-Instance"
SIGNATURE = "Waxwinglever-Response-Signature"
NOT_EXECUTED = "Waxwinglever-Not-Executed"
HANDOVER = "Waxwinglever-Handover"
PROMISES = (408, 421, 429, 503)
# Those of the site apra-mesh.
SLOTS = 12
QUEUE = 48
GRACE_S = 6.0
BEAT_S = 0.87
HOLD_MAX_MS = 10_000


def now():
    return time.monotonic()


class Record:
    """The file record.txt, and the time since the start of the script."""

    def __init__(self, folder):
        self.path = pathlib.Path(folder) / "record.txt"
        self.file = self.path.open("w", encoding="utf-8")
        self.lock = threading.Lock()
        self.began = now()

    def write(self, text):
        with self.lock:
            self.file.write(f"{now() - self.began:9.4f} {text}\n")

    def close(self):
        with self.lock:
            self.file.flush()


class Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256

    def __init__(self, *arguments):
        self.open = set()
        super().__init__(*arguments)

    def handle_error(self, request, client_address):
        """Ignores broken connections."""


def serve(host, respond, port=0, servers=None):
    """Starts an HTTP server and returns its address.

    `respond(connection, method, target, headers, body)` returns (status,
    headers, body), or None to give no answer; `connection` is a dict that is
    kept for the connection. An `extra` in it is sent at the point where the
    next answer is expected.
    """

    class Handler(http.server.BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"
        disable_nagle_algorithm = True
        wbufsize = -1

        def setup(self):
            super().setup()
            self.kept = {}
            self.server.open.add(self.connection)

        def finish(self):
            self.server.open.discard(self.connection)
            super().finish()

        def any_method(self):
            length = int(self.headers.get("Content-Length") or 0)
            body = self.rfile.read(length)
            if len(body) < length:
                self.close_connection = True
                return
            extra = self.kept.pop("extra", None)
            if extra is not None:
                self.wfile.write(extra)
                self.wfile.flush()
            answer = respond(
                self.kept, self.command, self.path, self.headers, body
            )
            if answer is None:
                self.close_connection = True
                self.connection.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
                )
                self.connection.close()
                return
            status, headers, data = answer
            lines = [f"HTTP/1.1 {status} Status"]
            lines += [f"{name}: {value}" for name, value in headers]
            lines += [f"Content-Length: {len(data)}", "", ""]
            whole = "\r\n".join(lines).encode("latin-1") + data
            if self.kept.pop("repeat", False):
                self.kept["extra"] = whole
            self.wfile.write(whole)
            self.wfile.flush()

        do_GET = do_POST = do_DELETE = do_PUT = any_method

        def handle(self):
            try:
                super().handle()
            except (OSError, ValueError):
                self.close_connection = True

        def log_message(self, format, *args):
            """Writes no access log."""

    server = Server((host, port), Handler)
    threading.Thread(
        target=server.serve_forever, args=(0.05,), daemon=True
    ).start()
    if servers is not None:
        servers.append(server)
    return f"{host}:{server.server_address[1]}"


def reset(sock):
    try:
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass


class Store:
    """The platform's store, linearizable, with leases and watches."""

    def __init__(self, host):
        self.changed = threading.Condition()
        self.revision = 10
        self.items = {}
        self.events = []
        self.leases = {}
        self.next_lease = 100
        self.address = serve(host, self.respond)
        self.on_write = lambda keys: None
        threading.Thread(target=self.expire, daemon=True).start()

    def expire(self):
        while True:
            time.sleep(0.05)
            with self.changed:
                for lease in [
                    k for k, (end, _) in self.leases.items() if end <= now()
                ]:
                    self.end_lease(lease)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        gone = [k for k, item in self.items.items() if item["lease"] == lease]
        if gone:
            self.revision += 1
            for key in gone:
                self.remove(key)
            self.changed.notify_all()

    def remove(self, key):
        if self.items.pop(key, None) is not None:
            self.events.append(
                {"key": key, "revision": self.revision, "removed": True}
            )

    def put(self, key, value, lease=0):
        known = self.items.get(key)
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "creation": known["creation"] if known else self.revision,
            "lease": lease,
        }
        self.items[key] = item
        self.events.append(item)

    def operator_put(self, key, document):
        """A write of the operator; its return is the acknowledgement."""
        with self.changed:
            self.revision += 1
            self.put(key, json.dumps(document).encode())
            self.changed.notify_all()

    def operator_remove(self, key):
        with self.changed:
            self.revision += 1
            self.remove(key)
            self.changed.notify_all()

    def answer(self, status, document=None):
        data = b"" if document is None else json.dumps(document).encode()
        return status, [("Content-Type", "application/json")], data

    def respond(self, _, method, target, headers, body):
        time.sleep(0.004)
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        data = json.loads(body) if body else {}
        name = url.path.split("/")[2]
        with self.changed:
            if name == "kv-key":
                item = self.items.get(query["key"])
                if item is None:
                    return self.answer(404)
                return self.answer(200, {**item, "storeRevision": self.revision})
            if name == "kv-range":
                found = sorted(
                    key
                    for key in self.items
                    if key.startswith(query["pathPrefix"])
                    and key > query.get("after", "")
                )
                return self.answer(
                    200,
                    {
                        "items": [self.items[key] for key in found[:500]],
                        "hasMore": len(found) > 500,
                        "storeRevision": self.revision,
                    },
                )
            if name == "kv-watch":
                return self.watch(query)
            if name == "kv-txn":
                return self.transact(data)
            if name == "kv-lease":
                self.next_lease += 1
                ttl = data["ttlMs"] / 1000
                self.leases[self.next_lease] = (now() + ttl, ttl)
                return self.answer(
                    200, {"lease": self.next_lease, "ttlMs": data["ttlMs"]}
                )
            lease = int(url.path.rpartition("/")[2])
            if name == "kv-keep":
                if lease not in self.leases:
                    return self.answer(404)
                ttl = self.leases[lease][1]
                self.leases[lease] = (now() + ttl, ttl)
                return self.answer(200, {"ttlMs": int(ttl * 1000)})
            if name == "kv-lease-end":
                self.end_lease(lease)
                return self.answer(200, {})
        return self.answer(404)

    def watch(self, query):
        prefix, after = query["pathPrefix"], int(query["after"])
        end = now() + int(query["waitMs"]) / 1000
        while True:
            found = [
                event
                for event in self.events
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            left = end - now()
            if found or left <= 0:
                return self.answer(
                    200, {"events": found, "storeRevision": self.revision}
                )
            self.changed.wait(left)

    def transact(self, data):
        for row in data["precondition"]:
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                items = [
                    self.items[r["key"]]
                    for r in data["precondition"]
                    if r["key"] in self.items
                ]
                return self.answer(412, {"items": items})
        for row in data["puts"]:
            if row["lease"] and row["lease"] not in self.leases:
                return self.answer(404)
            if row["key"].startswith(("op/", "servers/")):
                return self.answer(403)
        self.revision += 1
        for row in data["puts"]:
            self.put(row["key"], base64.b64decode(row["value"]), row["lease"])
        for key in data["remove"]:
            self.remove(key)
        self.changed.notify_all()
        return self.answer(200, {"revision": self.revision})


class Instance:
    """One application instance; `world` is the state that all share."""

    def __init__(self, world, name, host, zone, service, control):
        self.world = world
        self.name = name
        self.zone = zone
        self.service = service
        self.control = control
        self.id = f"i-{name}"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.beats = True
        self.alive = True
        self.lock = threading.Condition()
        self.running = 0
        self.waiting = 0
        self.hold_end = [0.0] * KEYS
        # When the hold would have run out without a release.
        self.hold_due = [0.0] * KEYS
        self.fences = [0] * KEYS
        self.working = {}
        # Called with the kind of each answer; returns whether it is repeated.
        self.repeats = lambda kind: False
        # Returns whether a request is rejected as by a failing instance.
        self.sheds = lambda: False
        self.work_s = lambda target: 0.1
        self.cold_until = 0.0
        self.life = 1
        self.servers = []
        self.address = serve(host, self.respond, 0, self.servers)
        threading.Thread(target=self.run_beats, daemon=True).start()

    def cold_ms(self):
        return max(0, int((self.cold_until - now()) * 1000))

    def crash(self, down_s):
        """Ends the process, with its connections; it is back as a new life."""
        with self.lock:
            if not self.alive:
                return
            self.alive = False
            self.life += 1
            lost = sorted(self.working)
            self.working.clear()
            self.running = 0
            self.hold_end = [0.0] * KEYS
            self.hold_due = [0.0] * KEYS
        self.world.record.write(f"{self.name} crashes; at work on {lost}")
        with self.world.lock:
            self.world.lost += lost
        server = self.servers.pop()
        server.shutdown()
        server.server_close()
        for sock in list(server.open):
            reset(sock)
        threading.Timer(down_s, self.restart).start()

    def restart(self):
        with self.lock:
            self.id = f"i-{self.name}-{self.life}"
            self.born = int(time.time() * 1000)
            self.sequence = 0
            self.fences = [0] * KEYS
            self.alive = True
        host, _, port = self.address.rpartition(":")
        serve(host, self.respond, int(port), self.servers)
        self.world.record.write(f"{self.name} is back as {self.id}")
        self.send_beat()

    def run_beats(self):
        while True:
            if self.beats and self.alive:
                self.send_beat()
            time.sleep(BEAT_S)

    def beat_body(self):
        self.sequence += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": SLOTS,
            "state": self.state,
            "coldRemainingMs": self.cold_ms(),
            "sequence": self.sequence,
            "born": self.born,
        }

    def send_beat(self, body=None):
        return self.say("heartbeat", body or self.beat_body())

    def say(self, path, body):
        host, _, port = self.control.rpartition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=1.0)
        try:
            connection.request(
                "POST",
                f"/v1/instances/{self.id}/{path}",
                json.dumps(body),
                {"Content-Type": "application/json"},
            )
            answer = connection.getresponse()
            answer.read()
            return answer.status
        except (OSError, http.client.HTTPException):
            return 0
        finally:
            connection.close()

    def respond(self, connection, method, target, headers, body):
        if target == "/v1/grant":
            answer = self.grant(json.loads(body))
            kind = "grant"
        elif target == "/v1/release":
            answer = self.release(json.loads(body))
            kind = "release"
        elif target == "/health":
            cold = [("Waxwinglever-Cold-Ms", str(self.cold_ms()))]
            return 200, [("Waxwinglever-Instance-Id", self.id), *cold], b""
        else:
            answer = self.run(method, target, headers, body)
            kind = "request"
        if answer is not None and self.repeats(kind):
            connection["repeat"] = True
            self.world.record.write(
                f"{self.name} will repeat its answer {answer[0]} to a {kind}"
                f" {headers.get(ID, '')} at the point of the next answer"
            )
        return answer

    def grant(self, data):
        first, last, fence = data["from"], data["to"], data["fence"]
        if max(self.fences[first : last + 1]) > fence:
            return 409, [], b""
        count = last + 1 - first
        with self.lock:
            ends = [now() + min(data["holdMs"], HOLD_MAX_MS) / 1000] * count
            self.fences[first : last + 1] = [fence] * count
            self.hold_end[first : last + 1] = ends
            self.hold_due[first : last + 1] = ends
        self.world.granted(self, first, last, fence)
        return 200, [("Content-Type", "application/json")], b"{}"

    def release(self, data):
        first, last = data["from"], data["to"]
        with self.lock:
            self.hold_end[first : last + 1] = [0.0] * (last + 1 - first)
            self.world.record.write(
                f"{self.name} gets release {first}-{last} fence {data['fence']}"
            )
            self.lock.wait_for(lambda: not self.busy(first, last), 5.0)
        token = f"{random.getrandbits(64):016x}"
        return 200, [(HANDOVER, token)], b""

    def busy(self, first, last):
        """Ids of the requests at work on some keys; needs the lock."""
        return [
            request
            for request, (key, _) in self.working.items()
            if first <= key <= last
        ]

    def holds(self, key):
        return self.hold_end[key] > now()

    def reject(self, request, status):
        self.world.record.write(f"{self.name} rejects {request} with {status}")
        return status, [(ID, request), (NOT_EXECUTED, "1")], b""

    def run(self, method, target, headers, body):
        request = headers.get(ID, "")
        self.world.arrived(self, request)
        if not request:
            return 400, [(NOT_EXECUTED, "1")], b""
        if headers.get(EXPECTED, self.id) != self.id:
            return self.reject(request, 421)
        key = int(headers.get(SHARD, -1))
        keyed = self.service == KEYED
        if keyed and not self.holds(key):
            return self.reject(request, 421)
        if self.sheds():
            return self.reject(request, 503)
        deadline = now() + int(headers.get(DEADLINE, "1000")) / 1000
        with self.lock:
            if self.running >= SLOTS:
                if self.waiting >= QUEUE:
                    return self.reject(request, 503)
                self.waiting += 1
                self.lock.wait_for(
                    lambda: self.running < SLOTS, max(0.0, deadline - now())
                )
                self.waiting -= 1
                if self.running >= SLOTS:
                    return self.reject(request, 503)
            if keyed and not self.holds(key):
                return self.reject(request, 421)
            self.running += 1
            end = self.hold_end[key] if keyed else float("inf")
            self.working[request] = (key, end)
            life = self.life
        self.world.ran(self, request, method, target, body)
        time.sleep(max(0.0, min(self.work_s(target), deadline - now())))
        with self.lock:
            if self.life != life:
                return None
            self.running -= 1
            del self.working[request]
            self.lock.notify_all()
        self.world.record.write(f"{self.name} ends {request}")
        signature = f"{request}.{self.id}"
        return (
            200,
            [
                (ID, request),
                (SIGNATURE, signature),
                ("Waxwinglever-Server-Load", f"{self.running},{self.waiting},12"),
            ],
            f"{request} done by {self.id}".encode(),
        )


class World:
    """What clients and instances have seen, and the broken rules."""

    def __init__(self, record):
        self.record = record
        self.lock = threading.Lock()
        self.broken = []
        self.lost = []
        self.runs = {}
        self.sent = {}
        self.safe = set()
        self.counts = {}
        self.instances = {}
        self.on_grant = lambda instance, first, last, fence: None
        self.on_arrival = lambda instance, request: None

    def find(self, text):
        with self.lock:
            self.broken.append(text)
        self.record.write(f"BROKEN {text}")

    def granted(self, instance, first, last, fence):
        self.on_grant(instance, first, last, fence)

    def arrived(self, instance, request):
        self.on_arrival(instance, request)

    def ran(self, instance, request, method, target, body):
        self.record.write(f"{instance.name} runs {request} {method} {target}")
        with self.lock:
            self.runs.setdefault(request, []).append((instance.name, now()))
            twice = len(self.runs[request]) > 1 and request not in self.safe
            asked = self.sent.get(request) == (method, target, body)
        if twice:
            self.find(f"TWICE {request} has run {len(self.runs[request])} times")
        if not asked:
            self.find(f"UNASKED {request}")

    def count(self, label):
        with self.lock:
            self.counts[label] = self.counts.get(label, 0) + 1


class Node:
    def __init__(self, fleet, name, host, zone, service, store_address):
        ports = free_ports(host, 5)
        self.fleet = fleet
        self.name = name
        self.host = host
        self.zone = zone
        self.service = service
        self.listen = {
            part: f"{host}:{port}"
            for part, port in zip(
                ("callers", "peers", "readiness", "backend"), ports
            )
        }
        self.process = None
        self.starts = 0
        self.started_s = float("-inf")
        self.instance = Instance(
            fleet.world, name, host, zone, service, self.listen["backend"]
        )
        self.settings = {
            "node": name,
            "zone": zone,
            "service": service,
            "backend_address": self.instance.address,
            "store_address": store_address,
            "listen": self.listen,
            "metrics_port": ports[4],
            "grace_s": GRACE_S,
            "announce_ms": BEAT_S * 1000,
            "cores": 1,
            "core_share": 0.86,
            "first_start": True,
        }

    def start(self):
        """Starts the daemon with the command of the deploy file."""
        path = self.fleet.folder / f"{self.name}.json"
        settings = {**self.settings, "first_start": self.starts == 0}
        path.write_text(json.dumps(settings), "utf-8")
        self.starts += 1
        self.started_s = now()
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["WAXWINGLEVER_SETTINGS"] = str(path)
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        with (self.fleet.folder / f"{self.name}.log").open("ab") as output:
            self.process = subprocess.Popen(
                ["python3", "-S", "-m", "waxwinglever_platform"],
                cwd=ROOT,
                env=environment,
                stdout=output,
                stderr=output,
            )
        self.fleet.world.record.write(f"{self.name} daemon started")

    def send(self, number):
        self.fleet.world.record.write(
            f"{self.name} daemon gets {signal.Signals(number).name}"
        )
        self.process.send_signal(number)

    def kill(self):
        self.send(signal.SIGKILL)
        self.process.wait()

    def ready(self):
        host, _, port = self.listen["readiness"].rpartition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=1.0)
        try:
            connection.request("GET", "/v1/readiness")
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()


def free_ports(host, count):
    """Returns free ports outside the range of ephemeral ones."""
    found = []
    while len(found) < count:
        port = random.randrange(7_000, 30_000)
        with socket.socket() as probe:
            try:
                probe.bind((host, port))
            except OSError:
                continue
        if port not in found:
            found.append(port)
    return found


class Fleet:
    """Daemons with their instances, and the store.

    `plan` has (zone, service) of each node.
    """

    def __init__(self, case, plan):
        self.record = Record(case)
        self.world = World(self.record)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="waxwinglever-review-"))
        number = os.getpid()
        prefix = f"127.{40 + number // 250 % 150}.{number % 250}"
        self.store = Store(f"{prefix}.250")
        self.version = 0
        self.write_config()
        self.nodes = []
        FLEETS.append(self)
        for index, (zone, service) in enumerate(plan):
            name = f"n{index}"
            host = f"{prefix}.{index + 1}"
            self.nodes.append(
                Node(self, name, host, zone, service, self.store.address)
            )

    def write_config(self, without=()):
        """Writes the next version; routes named in `without` are dropped."""
        self.version += 1

        def route(name, kind, service, priority):
            return {
                "name": name,
                "pathPrefix": f"/{name}/",
                "type": kind,
                "service": service,
                "timeoutMs": 1200,
                "targetLatencyMs": 500,
                "priority": priority,
                "maxAttempts": 2,
            }

        self.store.operator_put(
            "op/config",
            {
                "version": f"r{self.version}",
                "services": [
                    {
                        "name": KEYED,
                        "healthPath": "/health",
                        "maxConnections": 110,
                        "protocol": "h1",
                        "tls": False,
                        "coldStartS": 3.0,
                        "coldPerS": 22.0,
                        "sharded": True,
                        "warmupS": 5.0,
                    },
                    {
                        "name": UNKEYED,
                        "healthPath": "/health",
                        "maxConnections": 110,
                        "protocol": "h1",
                        "tls": False,
                        "coldStartS": 3.0,
                        "coldPerS": 22.0,
                    },
                ],
                "limits": {
                    "maxHeaderBytes": 16384,
                    "maxBodyBytes": 67108864,
                    "headerTimeoutMs": 3000,
                    "idleTimeoutMs": 15000,
                },
                "virtualHosts": [
                    {
                        "host": HOST,
                        "paths": [
                            item
                            for item in (
                                route("price", "safe", KEYED, 2),
                                route("buy", "unsafe", KEYED, 1),
                                route("hand", "unsafe", UNKEYED, 2),
                                route("photo", "upload", UNKEYED, 1),
                                route("scan", "upload", UNKEYED, 1),
                            )
                            if item["name"] not in without
                        ],
                    }
                ],
            },
        )

    def start(self, timeout_s=25.0):
        """Starts all daemons; returns whether they serve all routes."""
        for node in self.nodes:
            node.start()
        end = now() + timeout_s
        while now() < end:
            if all(node.ready() for node in self.nodes) and all(
                self.call(node, path, key)[0] == 200
                for node in self.nodes
                for path in ("/price/", "/buy/", "/hand/")
                for key in range(1000, KEYS, 16_000)
            ):
                self.record.write("all daemons serve")
                return True
            time.sleep(0.2)
        return False

    def call(self, node, path, key, method="POST", safe=None, body=b"x" * 600,
             deadline_ms=1200, on_send=lambda request: None):
        """Sends one request on a new connection, as a client does.

        Returns (status, request id, whether signed); status 0: no answer.
        """
        request = f"{random.getrandbits(64):016x}"
        target = f"{path}{request}"
        if safe is None:
            safe = path == "/price/"
        if safe:
            method, body = "GET", b""
        with self.world.lock:
            self.world.sent[request] = (method, target, body)
            if safe:
                self.world.safe.add(request)
        host, _, port = node.listen["callers"].rpartition(":")
        connection = http.client.HTTPConnection(
            host, int(port), timeout=deadline_ms / 1000 + 0.3
        )
        self.record.write(f"client sends {request} {method} {path} key {key} to {node.name}")
        on_send(request)
        try:
            connection.request(
                method,
                target,
                body or None,
                {
                    "Host": HOST,
                    ID: request,
                    DEADLINE: str(deadline_ms),
                    SHARD: str(key),
                },
            )
            answer = connection.getresponse()
            data = answer.read()
            status = answer.status
            signed = answer.getheader(SIGNATURE) is not None
        except (OSError, http.client.HTTPException):
            status, signed, data = 0, False, b""
        finally:
            connection.close()
        self.record.write(f"client gets {status} for {request}{' signed' if signed else ''}")
        self.world.count(f"{path} {status}")
        if 200 <= status < 300 and not (
            signed and data.startswith(f"{request} done".encode())
        ):
            self.world.find(f"MIXED {request}: {data[:60]!r}")
        return status, request, signed

    def stop(self):
        for node in self.nodes:
            if node.process is not None and node.process.poll() is None:
                node.process.send_signal(signal.SIGCONT)
                node.process.kill()
                node.process.wait()
        self.record.write(f"answers {dict(sorted(self.world.counts.items()))}")
        self.record.close()
        if os.environ.get("KEEP"):
            print("logs in", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


FLEETS = []
# A script may run for 120 seconds.
LIMIT_S = 116.0


def run(main):
    """Runs a case; exits with 2 if it fails for another reason."""

    def give_up(why):
        for fleet in FLEETS:
            fleet.stop()
        print("the case could not run:", why)
        sys.stdout.flush()
        os._exit(2)

    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: give_up("it was stopped"))
    watchdog = threading.Timer(LIMIT_S, give_up, ("it took too long",))
    watchdog.daemon = True
    watchdog.start()
    try:
        main()
    except BaseException as error:  # pylint: disable=broad-exception-caught
        give_up(repr(error))


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def finish(fleet, rule, summary):
    """Ends all processes and exits with 1 if the rule was broken."""
    fleet.stop()
    broken = [text for text in fleet.world.broken if text.startswith(rule)]
    other = [text for text in fleet.world.broken if not text.startswith(rule)]
    print(summary)
    for text in broken[:10]:
        print("broken:", text)
    if other:
        print("also:", other[:5])
    print(f"{rule}: {'broken ' + str(len(broken)) + ' times' if broken else 'held'}")
    sys.stdout.flush()
    os._exit(1 if broken else 0)


class CannotRun(Exception):
    """The case could not run."""
