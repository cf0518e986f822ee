"""Starts and stops a fleet of real processes on loopback addresses.

Each VM of the fleet has its own loopback address, one backend server and one
daemon. The bench ends only processes that it started, by their process id.
"""

import contextlib
import json
import os
import pathlib
import signal
import subprocess
import sys
import time
from collections.abc import Iterable
from collections.abc import Iterator

import attrs
import urllib3

from waxwinglever_framing import client as framing_client

STORE_PORT = 7000
HTTP_PORT = 8080
PEER_PORT = 8081
BACKEND_PORT = 9000
STORE_HOST = "127.90.0.1"
READY_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.05
STOP_TIMEOUT_S = 25.0


@attrs.frozen
class Vm:
    """One VM, with a backend server and a daemon.

    Attributes:
      name: Name of the node.
      host: Loopback address of the VM.
      zone: Availability zone.
      tenant: Tenant of the backend server.
      service: Service of the backend server.
    """

    name: str
    host: str
    zone: str
    tenant: str
    service: str

    @property
    def http_address(self) -> str:
        return f"{self.host}:{HTTP_PORT}"

    @property
    def peer_address(self) -> str:
        return f"{self.host}:{PEER_PORT}"

    @property
    def backend_address(self) -> str:
        return f"{self.host}:{BACKEND_PORT}"


def new_pool() -> urllib3.PoolManager:
    """Returns a connection pool for the requests of the bench."""
    return framing_client.new_pool_manager(
        framing_client.FramedConnectionPool,
        num_pools=256,
        maxsize=64,
        retries=False,
    )


@attrs.define(eq=False)
class Fleet:
    """A fleet of VMs, its store and their processes.

    Attributes:
      folder: Folder for the settings and logs of the processes.
      vms: VMs by node name.
      processes: Started processes by name: `daemon/<node>`, `backend/<node>` or
        `store`.
      backend_options: Further options of the stand-in backend servers.
      store_host: Loopback address of the store.
      http: Connection pool for the bench's own requests.
    """

    folder: pathlib.Path
    vms: dict[str, Vm]
    processes: dict[str, subprocess.Popen] = attrs.Factory(dict)
    backend_options: tuple[str, ...] = ()
    store_host: str = STORE_HOST
    http: urllib3.PoolManager = attrs.field(factory=new_pool)

    @property
    def store_address(self) -> str:
        return f"{self.store_host}:{STORE_PORT}"


def make_vms(
    tenant: str,
    zones: Iterable[str],
    services: dict[str, int],
    network: int,
) -> list[Vm]:
    """Returns VMs for a tenant, spread evenly over its zones.

    Args:
      tenant: Name of the tenant.
      zones: Its zones.
      services: Number of VMs by service.
      network: Second byte of their loopback addresses, 1 to 89.
    """
    zones = list(zones)
    vms = []
    for service, count in services.items():
        for index in range(count):
            number = len(vms) + 1
            vms.append(
                Vm(
                    name=f"{service}-{index}",
                    host=f"127.{network}.{number // 250}.{number % 250 + 1}",
                    zone=zones[index % len(zones)],
                    tenant=tenant,
                    service=service,
                )
            )
    return vms


def make_document(
    tenant: str,
    region: str,
    zones: Iterable[str],
    keyed: Iterable[str],
    unkeyed: Iterable[str],
    cold_start_s: float = 0.0,
) -> dict:
    """Returns a configuration document of schema version 2.

    Args:
      tenant: Name of the tenant.
      region: Region of all zones.
      zones: Zones of the tenant.
      keyed: Names of the services whose requests are routed by key.
      unkeyed: Names of the services without keys.
      cold_start_s: Length of the cold start of each service.
    """

    def service(name: str, kind: str) -> dict:
        return {
            "name": name,
            "kind": kind,
            "instances_min": 1,
            "slots": 10,
            "cold_start": {"initial_slots": 2, "seconds": cold_start_s},
            "classes": [
                {"name": "default", "weight": 4},
                {"name": "photos", "weight": 1},
            ],
            "timeout_ms": 5000,
            "checks_fences": True,
        }

    return {
        "schema_version": 2,
        "tenant": tenant,
        "zones": [
            {"name": name, "region": region, "state": "in"} for name in zones
        ],
        "services": [
            *(service(name, "keyed") for name in keyed),
            *(service(name, "any") for name in unkeyed),
        ],
        "placement": {"move_cost": 0.05, "max_moves": 4, "rules": []},
        "retired": [],
    }


@contextlib.contextmanager
def running_fleet(
    folder: pathlib.Path,
    vms: Iterable[Vm],
    backend_options: tuple[str, ...] = (),
    store_host: str = STORE_HOST,
) -> Iterator[Fleet]:
    """Yields a fleet with a running store, and ends all its processes."""
    folder.mkdir(parents=True, exist_ok=True)
    fleet = Fleet(
        folder,
        {vm.name: vm for vm in vms},
        backend_options=backend_options,
        store_host=store_host,
    )
    try:
        start_store(fleet)
        yield fleet
    finally:
        for name in list(fleet.processes):
            kill(fleet, name)
        fleet.http.clear()


def spawn(fleet: Fleet, name: str, module: str, *options: str) -> None:
    """Starts a program of this workspace, with its output in a log file."""
    log = fleet.folder / (name.replace("/", "-") + ".log")
    with log.open("ab") as output:
        # pylint: disable-next=consider-using-with
        fleet.processes[name] = subprocess.Popen(
            [sys.executable, "-m", module, *options],
            stdout=output,
            stderr=output,
            stdin=subprocess.DEVNULL,
        )


def start_store(fleet: Fleet) -> None:
    """Starts the stand-in store."""
    spawn(
        fleet,
        "store",
        "waxwinglever_standins.store_main",
        "--listen",
        fleet.store_address,
    )
    wait_for(lambda: is_open(fleet, fleet.store_address, "/faults"), "store")


def start_vm(fleet: Fleet, name: str) -> None:
    """Starts the daemon and the backend server of a VM."""
    start_daemon(fleet, name)
    start_backend(fleet, name)


def start_daemon(fleet: Fleet, name: str) -> None:
    """Starts the daemon of a VM."""
    vm = fleet.vms[name]
    settings = {
        "node": vm.name,
        "zone": vm.zone,
        "http_address": vm.http_address,
        "peer_address": vm.peer_address,
        "store_address": fleet.store_address,
        "fault_injection": True,
    }
    path = fleet.folder / f"{name}.json"
    path.write_text(json.dumps(settings), encoding="utf-8")
    spawn(
        fleet,
        f"daemon/{name}",
        "waxwinglever_daemon.main",
        "--settings",
        str(path),
    )


def start_backend(fleet: Fleet, name: str) -> None:
    """Starts the backend server of a VM."""
    vm = fleet.vms[name]
    spawn(
        fleet,
        f"backend/{name}",
        "waxwinglever_standins.backend_main",
        "--listen",
        vm.backend_address,
        "--daemon",
        vm.http_address,
        "--tenant",
        vm.tenant,
        "--service",
        vm.service,
        *fleet.backend_options,
    )


def send_signal(fleet: Fleet, name: str, number: int) -> None:
    """Sends a signal to a process of the fleet if it is running."""
    process = fleet.processes.get(name)
    if process is not None and process.poll() is None:
        os.kill(process.pid, number)


def kill(fleet: Fleet, name: str) -> None:
    """Kills a process, if it is running, and waits until it has ended."""
    process = fleet.processes.pop(name, None)
    if process is not None:
        if process.poll() is None:
            process.kill()
        process.wait()


def terminate(fleet: Fleet, name: str) -> int:
    """Sends SIGTERM to a process and returns its exit code.

    The process is killed if it has not ended after STOP_TIMEOUT_S.
    """
    process = fleet.processes.pop(name)
    process.send_signal(signal.SIGTERM)
    try:
        return process.wait(STOP_TIMEOUT_S)
    except subprocess.TimeoutExpired:
        process.kill()
        return process.wait()


def is_open(fleet: Fleet, address: str, path: str) -> bool:
    """Returns whether a GET of a page returns status 200."""
    try:
        response = fleet.http.request(
            "GET", f"http://{address}{path}", timeout=1.0
        )
    except urllib3.exceptions.HTTPError:
        return False
    return response.status == 200


def wait_for(condition, what: str, timeout_s: float = READY_TIMEOUT_S) -> float:
    """Polls a condition until it holds.

    Args:
      condition: Function that returns whether the condition holds.
      what: Name of what is awaited, for the error message.
      timeout_s: Time to wait at most.

    Returns:
      How long it took, in seconds.

    Raises:
      TimeoutError: The condition did not hold in time.
    """
    began_s = time.monotonic()
    while not condition():
        if time.monotonic() - began_s > timeout_s:
            raise TimeoutError(
                f"waiting for {what} timed out after {timeout_s} s"
            )
        time.sleep(POLL_INTERVAL_S)
    return time.monotonic() - began_s


def is_ready(fleet: Fleet, name: str) -> bool:
    """Returns whether the daemon of a VM can route requests."""
    return is_open(fleet, fleet.vms[name].http_address, "/readyz")


def wait_ready(fleet: Fleet, names: Iterable[str]) -> None:
    """Waits until the daemons of the VMs can route requests."""
    for name in names:
        wait_for(lambda name=name: is_ready(fleet, name), f"daemon {name}")


def fetch_status(fleet: Fleet, name: str) -> dict:
    """Returns the status page of a daemon, or {} if it does not respond."""
    address = fleet.vms[name].http_address
    try:
        response = fleet.http.request(
            "GET", f"http://{address}/status", timeout=1.0
        )
    except urllib3.exceptions.HTTPError:
        return {}
    return json.loads(response.data) if response.status == 200 else {}


def set_store_faults(fleet: Fleet, **faults) -> None:
    """Sets the fault switches of the stand-in store."""
    fleet.http.request(
        "PUT",
        f"http://{fleet.store_address}/faults",
        json=faults,
        timeout=2.0,
    )


def set_cuts(fleet: Fleet, name: str, addresses: Iterable[str]) -> None:
    """Cuts the calls of a daemon to exactly the given addresses."""
    fleet.http.request(
        "PUT",
        f"http://{fleet.vms[name].http_address}/faults/",
        json={"requests": list(addresses), "replies": []},
        timeout=2.0,
    )


def set_delays(fleet: Fleet, name: str, delays_ms: dict[str, float]) -> None:
    """Sets the emulated one-way latency of a daemon's calls, by address."""
    fleet.http.request(
        "PUT",
        f"http://{fleet.vms[name].http_address}/faults/",
        json={"delays_ms": delays_ms},
        timeout=2.0,
    )


def set_backend_faults(fleet: Fleet, name: str, **faults) -> None:
    """Sets the fault switches of a VM's stand-in backend server."""
    fleet.http.request(
        "PUT",
        f"http://{fleet.vms[name].backend_address}/_backend/faults",
        json=faults,
        timeout=2.0,
    )


def execution_log(fleet: Fleet, name: str) -> list[dict]:
    """Returns a backend server's log of executions, ended ones first."""
    response = fleet.http.request(
        "GET",
        f"http://{fleet.vms[name].backend_address}/_backend/log",
        timeout=5.0,
    )
    log = response.json()
    return log["executions"] + log["running"]


def run_cli(fleet: Fleet, *arguments: str) -> subprocess.CompletedProcess:
    """Runs the command-line tool against the fleet's store."""
    return subprocess.run(
        [
            sys.executable,
            "-m",
            "waxwinglever_cli.main",
            "--store",
            fleet.store_address,
            *arguments,
        ],
        capture_output=True,
        text=True,
        check=False,
        timeout=30,
    )


def apply_document(fleet: Fleet, document: dict) -> None:
    """Applies a configuration document with the command-line tool.

    Raises:
      RuntimeError: The tool failed.
    """
    path = fleet.folder / f"{document['tenant']}-record.json"
    path.write_text(json.dumps(document), encoding="utf-8")
    result = run_cli(fleet, "--tenant", document["tenant"], "apply", str(path))
    if result.returncode:
        raise RuntimeError(f"apply failed: {result.stdout}{result.stderr}")
