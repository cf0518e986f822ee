"""Measures the cost of the control plane in a daemon, by the size of its cell.

One cell of daemons runs without requests. In place of real backend servers, the
bench announces a ready one to each daemon once a second. CPU time and memory
come from /proc, byte counts from the metrics of the daemons.
"""

import json
import os
import pathlib
import threading
import time

import attrs
import urllib3

from waxwinglever_bench import fleet as fleets
from waxwinglever_framing import client as framing_client

TENANT = "tulpar"
SERVICE = "dispatch"
ZONES = ("almaty-a", "almaty-b", "shymkent", "taraz")
ANNOUNCE_INTERVAL_S = 1.0
WARM_UP_S = 8.0
# Starting all daemons at once would overload the test host.
START_BATCH_SIZE = 10
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


@attrs.frozen
class Sample:
    """Resource usage of one daemon at one time.

    Attributes:
      cpu_s: CPU time since its start, in seconds.
      rss_mb: Resident memory, in MiB.
      sent_bytes: Bytes of messages sent to other daemons since its start.
      received_bytes: Bytes of messages received from them.
      threads: Number of threads.
    """

    cpu_s: float
    rss_mb: float
    sent_bytes: float
    received_bytes: float
    threads: int


@attrs.frozen
class Cost:
    """Mean resource usage of the daemons in one role.

    Attributes:
      role: `leader` or `member`.
      members: Size of the cell.
      cpu_percent: CPU usage, in percent of one core.
      rss_mb: Resident memory, in MiB.
      kb_per_s: Rate of message bytes sent and received, in kB/s.
      threads: Number of threads.
    """

    role: str
    members: int
    cpu_percent: float
    rss_mb: float
    kb_per_s: float
    threads: float


def announce_all(fleet: fleets.Fleet, stopped: threading.Event) -> None:
    """Announces a ready backend server to each daemon once a second."""
    pool = framing_client.new_pool_manager(
        framing_client.FramedConnectionPool, num_pools=256, retries=False
    )
    while not stopped.wait(ANNOUNCE_INTERVAL_S):
        for vm in fleet.vms.values():
            body = {
                "tenant": TENANT,
                "service": SERVICE,
                "address": vm.backend_address,
                "boot_id": vm.name,
                "slots": 10,
                "connections": 100,
                "checks_fences": True,
                "state": "ready",
            }
            try:
                pool.request(
                    "POST",
                    f"http://{vm.http_address}/announce",
                    body=json.dumps(body),
                    timeout=1.0,
                )
            except urllib3.exceptions.HTTPError:
                continue


def take_sample(fleet: fleets.Fleet, name: str) -> Sample:
    """Returns the current resource usage of a daemon."""
    pid = fleet.processes[f"daemon/{name}"].pid
    stat = pathlib.Path(f"/proc/{pid}/stat").read_text("utf-8")
    stat_fields = stat.rpartition(")")[2].split()
    status = pathlib.Path(f"/proc/{pid}/status").read_text("utf-8")
    status_fields = dict(
        line.split(":", 1) for line in status.splitlines() if ":" in line
    )
    metrics_page = fleet.http.request(
        "GET", f"http://{fleet.vms[name].http_address}/metrics", timeout=5.0
    ).data.decode("utf-8")
    gauges = {
        line.split()[0]: float(line.split()[1])
        for line in metrics_page.splitlines()
        if line.startswith("waxwinglever_control_")
    }
    return Sample(
        cpu_s=(int(stat_fields[11]) + int(stat_fields[12])) / TICKS_PER_S,
        rss_mb=int(status_fields["VmRSS"].split()[0]) / 1024,
        sent_bytes=gauge_value(gauges, "sent_bytes"),
        received_bytes=gauge_value(gauges, "received_bytes"),
        threads=int(status_fields["Threads"]),
    )


def gauge_value(gauges: dict[str, float], name: str) -> float:
    """Returns a metric of control traffic with any labels; 0.0 without one."""
    for key, value in gauges.items():
        if key.startswith(f"waxwinglever_control_{name}"):
            return value
    return 0.0


def start_all(fleet: fleets.Fleet) -> None:
    """Starts all daemons in batches and waits until each one responds."""
    names = list(fleet.vms)
    for index in range(0, len(names), START_BATCH_SIZE):
        batch = names[index : index + START_BATCH_SIZE]
        for name in batch:
            fleets.start_daemon(fleet, name)
        for name in batch:
            address = fleet.vms[name].http_address
            fleets.wait_for(
                lambda address=address: fleets.is_open(
                    fleet, address, "/healthz"
                ),
                name,
            )


def measure_cell(members: int, seconds: float, network: int) -> list[Cost]:
    """Runs one cell and returns the costs of its leader and of its members.

    Args:
      members: Size of the cell.
      seconds: Duration of the measurement.
      network: Second byte of the loopback addresses.
    """
    vms = fleets.make_vms(TENANT, ZONES, {SERVICE: members}, network)
    folder = pathlib.Path("build") / f"slopes-{members}"
    stopped = threading.Event()
    with fleets.running_fleet(folder, vms) as fleet:
        document = fleets.make_document(
            TENANT, "kz-south", ZONES, [SERVICE], []
        )
        fleets.apply_document(fleet, document)
        start_all(fleet)
        announcer = threading.Thread(
            target=announce_all, args=(fleet, stopped), daemon=True
        )
        announcer.start()
        try:
            fleets.wait_ready(fleet, fleet.vms)
            time.sleep(WARM_UP_S)
            return measure_costs(fleet, seconds)
        finally:
            stopped.set()
            announcer.join()


def measure_costs(fleet: fleets.Fleet, seconds: float) -> list[Cost]:
    """Returns the cost of the leader and the mean cost of the other members."""
    leaders = {
        name
        for name in fleet.vms
        if (fleets.fetch_status(fleet, name).get("cell") or {}).get("is_leader")
    }
    started_s = time.monotonic()
    before = {name: take_sample(fleet, name) for name in fleet.vms}
    time.sleep(seconds)
    after = {name: take_sample(fleet, name) for name in fleet.vms}
    duration_s = time.monotonic() - started_s
    costs = []
    for role, names in (
        ("leader", leaders),
        ("member", set(fleet.vms) - leaders),
    ):
        if names:
            pairs = [(before[name], after[name]) for name in names]
            costs.append(mean_cost(role, len(fleet.vms), pairs, duration_s))
    return costs


def mean_cost(
    role: str, members: int, pairs: list[tuple[Sample, Sample]], seconds: float
) -> Cost:
    """Returns the mean cost of the daemons in one role.

    Args:
      role: The role.
      members: Size of the cell.
      pairs: Each daemon's samples at the start and the end of the measurement.
      seconds: Time between the samples of a pair.
    """

    def mean(values) -> float:
        return sum(values) / len(pairs)

    return Cost(
        role=role,
        members=members,
        cpu_percent=100 * mean(b.cpu_s - a.cpu_s for a, b in pairs) / seconds,
        rss_mb=mean(b.rss_mb for _, b in pairs),
        kb_per_s=mean(
            b.sent_bytes + b.received_bytes - a.sent_bytes - a.received_bytes
            for a, b in pairs
        )
        / seconds
        / 1000,
        threads=mean(b.threads for _, b in pairs),
    )
