"""Starts a small deployment on loopback addresses for the script of a case.

The daemons run with the command of deploy/system.toml, from the root of the
repository, with settings as deploy/settings.json renders them.
"""

import http.client
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import traceback
import uuid

import store as stores

ROOT = pathlib.Path(__file__).resolve().parents[2]
LIB = pathlib.Path(__file__).resolve().parent
HOST = "rounds.example"
# Bounds of the deployment tulpar-rounds in SYSTEM.md.
GRACE_S = 6
CONFIG_APPLY_MS = 2000
HEARTBEAT_MS = 870
HELD, BROKEN, NOT_RUN = 0, 1, 2
# A case may take 120 s.
LONGEST_S = 105
FIRST_PORT, LAST_PORT = 12_000, 32_000
BLOCK = 100


class CannotRun(Exception):
    """The case can't run here."""


def take_ports():
    """Yields ports on which nobody listens now, each once.

    They lie below those that the system gives to connections, which might
    take one before the process that shall listen there. The first port of a
    block is kept, so that cases at the same time have blocks of their own.
    """
    blocks = list(range(FIRST_PORT, LAST_PORT, BLOCK))
    random.SystemRandom().shuffle(blocks)
    for block in blocks:
        try:
            guard = socket.create_server(("127.0.0.1", block))
        except OSError:
            continue
        for port in range(block + 1, block + BLOCK):
            try:
                socket.create_server(("127.0.0.1", port)).close()
            except OSError:
                continue
            yield port
        guard.close()
    raise CannotRun("no port is free")


def free_ports(count):
    """Returns some of these ports."""
    return [next(PORTS) for _ in range(count)]


PORTS = take_ports()


class Node:
    """A machine: a daemon and, if there is one, its instance."""

    def __init__(self, deployment, name, zone, service):
        self.deployment = deployment
        self.name = name
        callers, peers, ready, control, metrics, app = free_ports(6)
        self.app_port, self.callers_port, self.ready_port = app, callers, ready
        self.control = f"127.0.0.1:{control}"
        self.peers = f"127.0.0.1:{peers}"
        self.path = deployment.folder / f"{name}.json"
        self.process = None
        self.instances = []
        self.settings = {
            "node": name,
            "zone": zone,
            "service": service,
            "backend_address": f"127.0.0.1:{app}",
            "store_address": deployment.store_address,
            "listen": {
                "callers": f"127.0.0.1:{callers}",
                "peers": self.peers,
                "readiness": f"127.0.0.1:{ready}",
                "backend": self.control,
            },
            "metrics_port": metrics,
            "grace_s": GRACE_S,
            "announce_ms": HEARTBEAT_MS,
            "cores": 1,
            "core_share": 0.86,
            "first_start": True,
            "cold_over": 1.5,
            "cold_slack": 5,
            "config_apply_ms": CONFIG_APPLY_MS,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover",
                          "own", "places", "platform"],
            "link_mbps": 1000.0,
            "memory_mb": 300,
            "max_fds": 4100,
            "revoke_everywhere": None,
            "revoke_ms": None,
        }
        self.write_settings()

    def write_settings(self, **fields):
        """Puts the settings file into place, as a whole."""
        self.settings |= fields
        temporary = self.path.with_suffix(".new")
        temporary.write_text(json.dumps(self.settings), "utf-8")
        temporary.replace(self.path)

    def start(self):
        """Starts the daemon with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text("utf-8"))
        words = deploy["roles"]["router"]["run"].split()
        if words[0] == "python3":
            words[0] = sys.executable
        with (self.deployment.folder / f"{self.name}.log").open("ab") as output:
            self.process = subprocess.Popen(
                words,
                cwd=ROOT,
                env={
                    "PATH": os.environ.get("PATH", ""),
                    "HOME": os.environ.get("HOME", "/"),
                    "PYTHONPATH": str(ROOT / "target/deps"),
                    "PYTHONDONTWRITEBYTECODE": "1",
                    "WAXWINGLEVER_SETTINGS": str(self.path),
                },
                stdout=output,
                stderr=output,
            )
        self.write_settings(first_start=False)

    def start_instance(self, **options):
        """Starts an instance stand-in beside the daemon; returns its process."""
        options = {
            "id": f"i-{uuid.uuid4().hex[:8]}",
            "service": self.settings["service"],
            "port": self.app_port,
            "control": self.control,
            "heartbeat_ms": HEARTBEAT_MS,
            "journal": str(self.deployment.journal),
        } | options
        process = subprocess.Popen(
            [sys.executable, str(LIB / "instance.py"), json.dumps(options)]
        )
        process.instance_id = options["id"]
        self.instances.append(process)
        return process

    def is_ready(self):
        """Returns whether the daemon answers the readiness check with 200."""
        try:
            connection = http.client.HTTPConnection(
                "127.0.0.1", self.ready_port, timeout=1.0
            )
            connection.request("GET", "/v1/readiness")
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()

    def signal(self, number):
        """Sends a signal to the daemon."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def log_text(self):
        """Returns what the daemon has logged."""
        path = self.deployment.folder / f"{self.name}.log"
        return path.read_text("utf-8", "replace") if path.exists() else ""


class Deployment:
    """The store, the machines and the record of a case."""

    def __init__(self, case):
        self.case = pathlib.Path(case).resolve().parent
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="case-"))
        self.journal = self.folder / "journal.jsonl"
        self.journal.touch()
        self.store = stores.Store()
        self.server, self.store_address = stores.serve(self.store)
        self.nodes = []
        self.lines = []
        self.lock = threading.Lock()
        self.began_s = time.monotonic()

    def record(self, text, t=None):
        """Adds a line to the record."""
        t = time.monotonic() if t is None else t
        with self.lock:
            self.lines.append((t, text))

    def add_node(self, name, zone, service):
        """Adds a machine."""
        node = Node(self, name, zone, service)
        self.nodes.append(node)
        return node

    def add_fleet(self, machines, **options):
        """Starts machines with their instances and waits until all are ready.

        Args:
          machines: The name, the zone and the service of each.
          options: Options of the instances.
        """
        nodes = [self.add_node(*machine) for machine in machines]
        for node in nodes:
            node.start()
        for node in nodes:
            node.start_instance(**options)
        for node in nodes:
            self.wait_until(node.is_ready, 30, f"{node.name} is ready")
        return nodes

    def wait_until(self, condition, timeout_s, what):
        """Waits for a condition of the set-up; raises CannotRun."""
        end_s = time.monotonic() + timeout_s
        while not condition():
            if time.monotonic() > end_s:
                raise CannotRun(f"not within {timeout_s} s: {what}")
            time.sleep(0.05)

    def journal_entries(self):
        """Returns what the instances have done, in order."""
        lines = self.journal.read_text("utf-8").splitlines()
        return [json.loads(line) for line in lines if line.endswith("}")]

    def count(self, event, **fields):
        """Returns how many entries of the journal have an event and fields."""
        return sum(
            entry["event"] == event
            and all(entry.get(name) == value for name, value in fields.items())
            for entry in self.journal_entries()
        )

    def close(self):
        """Ends all processes and writes the record."""
        for node in self.nodes:
            for process in [*node.instances, node.process]:
                if process is not None and process.poll() is None:
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                    process.wait(5)
        for entry in self.journal_entries():
            fields = {k: v for k, v in entry.items() if k not in ("t", "event", "instance")}
            self.record(
                f"instance {entry['instance']} {entry['event']} {json.dumps(fields)}",
                entry["t"],
            )
        text = "".join(
            f"{t - self.began_s:9.3f}  {line}\n"
            for t, line in sorted(self.lines, key=lambda pair: pair[0])
        )
        (self.case / "record.txt").write_text(text, "utf-8")
        if os.environ.get("KEEP"):
            print(f"kept {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def wait_briefly(condition, what):
    """Waits up to 2 s for what lasts for some 50 ms only; raises CannotRun."""
    end_s = time.monotonic() + 2.0
    while not condition():
        if time.monotonic() > end_s:
            raise CannotRun(f"not seen: {what}")
        time.sleep(0.003)


def make_config(version, routes, services, limits=None):
    """Returns a configuration, as the operator writes it."""
    return {
        "version": f"r{version}",
        "services": services,
        "limits": limits or {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 67108864,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "virtualHosts": [{"host": HOST, "paths": routes}],
    }


def make_route(name, prefix, kind, service, timeout_ms=3000, target_ms=500):
    """Returns a route of a configuration."""
    return {
        "name": name, "pathPrefix": prefix, "type": kind, "service": service,
        "timeoutMs": timeout_ms, "targetLatencyMs": target_ms, "priority": 1,
        "maxAttempts": 2,
    }


def make_service(name, sharded=False):
    """Returns a service of a configuration."""
    service = {
        "name": name, "healthPath": "/health", "maxConnections": 110,
        "protocol": "h1", "tls": False, "coldStartS": 3.0, "coldPerS": 22.0,
    }
    if sharded:
        service |= {"sharded": True, "warmupS": 5.0, "grants": "invocation"}
    return service


class Answer:
    """What a client has seen of one attempt."""

    def __init__(self, request_id, status, headers, body, whole):
        self.request_id = request_id
        self.status = status
        self.headers = headers
        self.body = body
        self.whole = whole

    @property
    def signature(self):
        """The signature of an instance, or None."""
        return self.headers.get("Waxwinglever-Response-Signature")


def send(deployment, node, method, target, body=b"", deadline_ms=3000, shard=None,
         connection=None):
    """Sends one attempt of a client to a node and returns what it has seen."""
    request_id = uuid.uuid4().hex[:16]
    headers = {
        "Host": HOST,
        "Waxwinglever-Request-Id": request_id,
        "Waxwinglever-Deadline-Ms": str(deadline_ms),
    }
    if shard is not None:
        headers["Waxwinglever-Shard-Key"] = str(shard)
    own = connection is None
    if own:
        connection = http.client.HTTPConnection(
            "127.0.0.1", node.callers_port, timeout=deadline_ms / 1000 + 1.0
        )
    deployment.record(f"client sends {request_id} {method} {target} to {node.name}")
    status, answer_headers, data, whole = 0, {}, b"", False
    try:
        connection.request(method, target, body or None, headers)
        response = connection.getresponse()
        status = response.status
        answer_headers = {name.title(): value for name, value in response.getheaders()}
        data = response.read()
        whole = True
    except (OSError, http.client.HTTPException) as error:
        deployment.record(f"client fails on {request_id}: {error!r}")
    finally:
        if own:
            connection.close()
    deployment.record(
        f"client gets for {request_id}: status {status}, {len(data)} bytes,"
        f" signature {answer_headers.get('Waxwinglever-Response-Signature')},"
        f" {'whole' if whole else 'cut'}"
    )
    return Answer(request_id, status, answer_headers, data, whole)


def run_case(path, play):
    """Runs a case and exits with its result.

    `play` takes the deployment and whether there is the disruption; it returns
    what broke the rule, as text; none if it held.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    deployment = Deployment(path)

    def give_up(*_):
        raise CannotRun(f"stopped, or longer than {LONGEST_S} s")

    signal.signal(signal.SIGTERM, give_up)
    signal.signal(signal.SIGALRM, give_up)
    signal.alarm(LONGEST_S)
    result = NOT_RUN
    try:
        found = play(deployment, trouble)
        for text in found:
            deployment.record(f"BROKEN {text}")
            print(f"broken: {text}")
        result = BROKEN if found else HELD
    except CannotRun as error:
        deployment.record(f"can't run: {error}")
        print(f"can't run: {error}")
        for node in deployment.nodes:
            if node.process is not None and node.process.poll() is not None:
                print(f"{node.name} has ended: {node.log_text()[-300:]}")
    except Exception:  # An error of the script says nothing of the rule.
        traceback.print_exc()
    finally:
        signal.alarm(0)
        deployment.close()
    print(("held", "broken", "not run")[result])
    sys.stdout.flush()
    os._exit(result)


def expected_body(request_id, size):
    """Returns the whole body of the answer to a request; see instance.py."""
    unit = f"[{request_id}]".encode()
    return (unit * (size // len(unit) + 1))[:size]
