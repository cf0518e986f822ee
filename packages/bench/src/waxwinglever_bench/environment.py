"""Emulated tenants on a running fleet, for the experiments."""

import contextlib
import pathlib
import time
from collections.abc import Iterator
from concurrent import futures

import attrs

from waxwinglever_bench import callers
from waxwinglever_bench import fleet as fleets
from waxwinglever_bench import load
from waxwinglever_bench import results as results_module
from waxwinglever_model import clock

# Differs from the addresses of the demo and of soak runs, so that these can run
# at the same time.
STORE_HOST = "127.91.0.1"
RESTORE_TIMEOUT_S = 40.0
SLOTS = 10
# Ratio of the configured cold start to that of the stand-in, which can handle
# only 2 requests at once until its cold start ends. The gate's limit rises
# linearly from 2 to 10 in the configured time, so this must be 8 times as long
# for the limit to stay below 3; the rest is margin.
COLD_START_FACTOR = 10
KEYS = 1000


@attrs.frozen
class Tenant:
    """An emulated tenant.

    Attributes:
      name: Name of the tenant.
      region: Region of the zones.
      zones: Availability zones of the tenant.
      keyed_service: Service whose requests are routed by key.
      keyed_count: Number of backend servers of the keyed service.
      unkeyed_service: Service without keys.
      unkeyed_count: Number of backend servers of the service without keys.
      between_zones_ms: Emulated one-way latency between zones.
      to_clients_ms: Emulated one-way latency to clients.
      network: Second byte of the VMs' loopback addresses.
    """

    name: str
    region: str
    zones: tuple[str, ...]
    keyed_service: str
    keyed_count: int
    unkeyed_service: str
    unkeyed_count: int
    between_zones_ms: float
    to_clients_ms: float
    network: int


TULPAR = Tenant(
    name="tulpar",
    region="kz-south",
    zones=("almaty-a", "almaty-b", "shymkent", "taraz"),
    keyed_service="dispatch",
    keyed_count=6,
    unkeyed_service="workshop",
    unkeyed_count=4,
    between_zones_ms=1.5,
    to_clients_ms=1.0,
    network=31,
)
ASSOCIATION = Tenant(
    name="association",
    region="addis",
    zones=("bole", "merkato", "piassa"),
    keyed_service="ledger",
    keyed_count=6,
    unkeyed_service="intake",
    unkeyed_count=3,
    between_zones_ms=1.0,
    to_clients_ms=1.0,
    network=32,
)


@attrs.frozen
class FleetSetup:
    """Parameters with which a fleet is started.

    Attributes:
      tenant: The tenant.
      service_ms: Service time of the stand-in backend servers.
      cold_start_s: Duration of their cold start, in which too many concurrent
        requests crash them; 0 for none.
    """

    tenant: Tenant
    service_ms: float = 5.0
    cold_start_s: float = 0.0


@attrs.define(eq=False)
class Environment:
    """A running fleet and the resources of its experiments.

    Attributes:
      setup: Parameters with which the fleet was started.
      fleet: The processes under test.
      document: The configuration document that was applied.
      executor: Executor of the sender processes.
      results: Results to which the measurements are added.
      folder: Folder for plots.
      seed: Seed of the run.
    """

    setup: FleetSetup
    fleet: fleets.Fleet
    document: dict
    executor: futures.Executor
    results: results_module.Results
    folder: pathlib.Path
    seed: int

    @property
    def tenant(self) -> Tenant:
        return self.setup.tenant

    @property
    def keyed_nodes(self) -> list[str]:
        """Names of the nodes of the keyed service."""
        return self.nodes_of(self.tenant.keyed_service)

    @property
    def unkeyed_nodes(self) -> list[str]:
        """Names of the nodes of the service without keys."""
        return self.nodes_of(self.tenant.unkeyed_service)

    def nodes_of(self, service: str) -> list[str]:
        """Returns the names of a service's nodes."""
        vms = self.fleet.vms
        return [name for name, vm in vms.items() if vm.service == service]

    def http_address(self, name: str) -> str:
        """Returns the HTTP address of a node's daemon."""
        return self.fleet.vms[name].http_address

    def load_plan(self, service: str, rate: float, seconds: float, **more):
        """Returns a plan for load on a service, sent to all its daemons.

        Args:
          service: Name of the service.
          rate: Requests per second.
          seconds: Duration of the load.
          **more: Further fields of load.Plan, which override the defaults here.
        """
        names = self.nodes_of(service)
        values = {
            "addresses": tuple(self.http_address(name) for name in names),
            "tenant": self.tenant.name,
            "service": service,
            "rate_per_s": rate,
            "seconds": seconds,
            "seed": self.seed,
            "keys": KEYS if service == self.tenant.keyed_service else 0,
            "client_ms": self.tenant.to_clients_ms,
        }
        return load.Plan(**{**values, **more})

    def add_measurement(
        self, key: str, value: float, bound: float | None = None
    ) -> None:
        """Adds a measurement whose key is prefixed by the tenant's name."""
        self.results.add(f"{self.tenant.name}_{key}", value, bound)

    def add_counts(self, prefix: str, summary: load.Summary) -> None:
        """Adds the numbers of requests, errors and incorrect responses."""
        self.add_measurement(f"{prefix}_requests_count", summary.count)
        self.add_measurement(f"{prefix}_errors_count", summary.errors)
        for kind, count in sorted(summary.kinds.items()):
            if kind not in (load.CORRECT, load.INCORRECT):
                name = kind.replace("-", "_")
                self.add_measurement(f"{prefix}_errors_{name}_count", count)
        incorrect = summary.kinds.get(load.INCORRECT, 0)
        self.add_measurement(f"{prefix}_wrong_replies_count", incorrect, 0)


@contextlib.contextmanager
def running_environment(
    setup: FleetSetup,
    executor: futures.Executor,
    results: results_module.Results,
    folder: pathlib.Path,
    seed: int,
) -> Iterator[Environment]:
    """Yields a running fleet with emulated latency.

    Each node of the keyed service owns some slices, and each slice is leased.
    """
    tenant = setup.tenant
    vms = fleets.make_vms(
        tenant.name,
        tenant.zones,
        {
            tenant.keyed_service: tenant.keyed_count,
            tenant.unkeyed_service: tenant.unkeyed_count,
        },
        tenant.network,
    )
    options = ["--service-ms", str(setup.service_ms)]
    if setup.cold_start_s:
        options += ["--cold-start-s", str(setup.cold_start_s), "--cold-crash"]
    with fleets.running_fleet(
        folder / "fleet", vms, tuple(options), STORE_HOST
    ) as fleet:
        document = fleets.make_document(
            tenant.name,
            tenant.region,
            tenant.zones,
            [tenant.keyed_service],
            [tenant.unkeyed_service],
            COLD_START_FACTOR * setup.cold_start_s,
        )
        environment = Environment(
            setup, fleet, document, executor, results, folder, seed
        )
        fleets.apply_document(fleet, document)
        for name in fleet.vms:
            fleets.start_vm(fleet, name)
        restore(environment)
        fleets.wait_for(
            lambda: min(owned_slice_counts(environment).values()) > 0,
            "a slice for each node",
        )
        yield environment


def restore(environment: Environment) -> None:
    """Restores the fleet after an experiment.

    Ends store and backend faults, starts missing processes and waits until
    each slice is leased.
    """
    fleet = environment.fleet
    fleets.set_store_faults(fleet, down=False)
    for name in fleet.vms:
        start_missing_processes(environment, name)
    for name in fleet.vms:
        fleets.wait_for(
            lambda name=name: fleets.is_ready(fleet, name),
            f"daemon {name}",
            RESTORE_TIMEOUT_S,
        )
        emulate_latency(environment, name)
        backend = fleet.vms[name].backend_address
        fleets.wait_for(
            lambda backend=backend: fleets.is_open(
                fleet, backend, "/_backend/health"
            ),
            f"backend server {name}",
        )
        fleets.set_backend_faults(fleet, name, slow_factor=1.0)
    fleets.wait_for(
        lambda: all_slices_leased(environment),
        "leases on all slices",
        RESTORE_TIMEOUT_S,
    )


def start_missing_processes(environment: Environment, name: str) -> None:
    """Starts the processes of a VM that aren't running."""
    for kind, start in (
        ("daemon", fleets.start_daemon),
        ("backend", fleets.start_backend),
    ):
        process = environment.fleet.processes.get(f"{kind}/{name}")
        if process is None or process.poll() is not None:
            start(environment.fleet, name)


def emulate_latency(environment: Environment, name: str) -> None:
    """Sets the emulated latency of a daemon's calls to other zones."""
    zone = environment.fleet.vms[name].zone
    vms_of_other_zones = [
        vm for vm in environment.fleet.vms.values() if vm.zone != zone
    ]
    fleets.set_delays(
        environment.fleet,
        name,
        {
            address: environment.tenant.between_zones_ms
            for vm in vms_of_other_zones
            for address in (vm.http_address, vm.peer_address)
        },
    )


def owned_slice_counts(environment: Environment) -> dict[str, int]:
    """Returns how many slices each keyed node holds a lease for."""
    cells = {
        name: fleets.fetch_status(environment.fleet, name).get("cell")
        for name in environment.keyed_nodes
    }
    return {name: cell["owned"] if cell else 0 for name, cell in cells.items()}


def all_slices_leased(environment: Environment) -> bool:
    """Returns whether each slice is leased.

    A restarted node may own no slice, as under little load none is moved to it.
    """
    counts = owned_slice_counts(environment)
    name = max(counts, key=counts.get)
    cell = fleets.fetch_status(environment.fleet, name).get("cell")
    return bool(cell) and sum(counts.values()) == cell["slices"] > 0


def find_leader(environment: Environment) -> str:
    """Returns the node that leads the keyed service's cell.

    Raises:
      LookupError: No daemon reports that it leads the cell.
    """
    for name in environment.keyed_nodes:
        cell = fleets.fetch_status(environment.fleet, name).get("cell")
        if cell and cell["is_leader"]:
            return name
    raise LookupError("the cell has no leader")


def find_key_owned_by(environment: Environment, owner: str) -> str:
    """Returns a key that a node owns, found by probing.

    Raises:
      LookupError: The node owns none of the probed keys.
    """
    probed_node = next(
        name for name in environment.unkeyed_nodes if name != owner
    )
    for number in range(KEYS):
        key = f"key-{number}"
        request = callers.Request(
            "GET",
            environment.tenant.name,
            environment.tenant.keyed_service,
            "/probe",
            key,
        )
        response = callers.send(
            environment.fleet.http,
            environment.http_address(probed_node),
            request,
        )
        if response.owner == environment.http_address(owner):
            return key
    raise LookupError(f"node {owner} owns none of {KEYS} keys")


def measure_recovery_s(
    environment: Environment,
    probed_node: str,
    keys: list[str],
    lost_s: float,
    timeout_s: float,
) -> float:
    """Returns the seconds from a loss until each key is served.

    Returns the timeout if a key is not served by then.

    Args:
      environment: The running fleet.
      probed_node: Node to which the requests are sent.
      keys: The keys to request.
      lost_s: When the loss began, in clock.boottime_s.
      timeout_s: When to give up, in seconds from the loss.
    """
    headers = (("Waxwinglever-Timeout-Ms", "500"),)
    for key in keys:
        request = callers.Request(
            "GET",
            environment.tenant.name,
            environment.tenant.keyed_service,
            "/probe",
            key,
            headers=headers,
        )
        while not callers.send(
            environment.fleet.http,
            environment.http_address(probed_node),
            request,
        ).is_correct:
            if clock.boottime_s() - lost_s > timeout_s:
                return timeout_s
            # A refused connection fails at once, so this keeps the loop from
            # spinning.
            time.sleep(0.01)
    return clock.boottime_s() - lost_s
