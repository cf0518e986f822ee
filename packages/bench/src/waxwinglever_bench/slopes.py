"""Measures what control costs a daemon, by the size of its cell.

One cell of daemons runs without requests. The bench announces a backend server
to each of them once a second, in place of a real one. Processor time and
memory come from /proc, bytes from the daemons' own counters.
"""

import json
import os
import pathlib
import threading
import time

import attrs
import urllib3

from waxwinglever_bench import fleet as fleets

TENANT = "tulpar"
SERVICE = "dispatch"
ZONES = ("almaty-a", "almaty-b", "shymkent", "taraz")
ANNOUNCE_S = 1.0
SETTLE_S = 8.0
# Starting all at once makes this machine, not the daemons, the limit.
STARTS_AT_ONCE = 10
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


@attrs.frozen
class Sample:
    """Counters of one daemon at one moment.

    Attributes:
      cpu_s: Processor time since its start.
      rss_mb: Resident memory.
      sent_bytes: Bytes of messages sent to other daemons.
      received_bytes: Bytes received.
      threads: Number of threads.
    """

    cpu_s: float
    rss_mb: float
    sent_bytes: float
    received_bytes: float
    threads: int


@attrs.frozen
class Cost:
    """What control costs a role.

    Attributes:
      role: `leader` or `member`; for members the mean.
      members: Size of the cell.
      cpu_percent: Share of one core.
      rss_mb: Resident memory.
      kb_per_s: Message bytes sent and received.
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
    pool = urllib3.PoolManager(num_pools=256, retries=False)
    while not stopped.wait(ANNOUNCE_S):
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


def sample(fleet: fleets.Fleet, name: str) -> Sample:
    """Returns the counters of a daemon."""
    pid = fleet.processes[f"daemon/{name}"].pid
    stat = pathlib.Path(f"/proc/{pid}/stat").read_text("utf-8")
    fields = stat.rpartition(")")[2].split()
    status = pathlib.Path(f"/proc/{pid}/status").read_text("utf-8")
    values = dict(
        line.split(":", 1) for line in status.splitlines() if ":" in line
    )
    page = fleet.http.request(
        "GET", f"http://{fleet.vms[name].http_address}/metrics", timeout=5.0
    ).data.decode("utf-8")
    gauges = {
        line.split()[0]: float(line.split()[1])
        for line in page.splitlines()
        if line.startswith("waxwinglever_control_")
    }
    return Sample(
        cpu_s=(int(fields[11]) + int(fields[12])) / TICKS_PER_S,
        rss_mb=int(values["VmRSS"].split()[0]) / 1024,
        sent_bytes=gauge(gauges, "sent_bytes"),
        received_bytes=gauge(gauges, "received_bytes"),
        threads=int(values["Threads"]),
    )


def gauge(gauges: dict[str, float], name: str) -> float:
    """Returns a gauge of control traffic, whatever its labels."""
    for key, value in gauges.items():
        if key.startswith(f"waxwinglever_control_{name}"):
            return value
    return 0.0


def start_all(fleet: fleets.Fleet) -> None:
    """Starts all daemons, a few at a time."""
    names = list(fleet.vms)
    for index in range(0, len(names), STARTS_AT_ONCE):
        batch = names[index : index + STARTS_AT_ONCE]
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


def measure(members: int, seconds: float, network: int) -> list[Cost]:
    """Runs one cell and returns the cost of its leader and of a member.

    Args:
      members: Size of the cell.
      seconds: How long to measure.
      network: Second byte of the loopback addresses.
    """
    vms = fleets.make_vms(TENANT, ZONES, {SERVICE: members}, network)
    folder = pathlib.Path("build") / f"slopes-{members}"
    stopped = threading.Event()
    with fleets.running(folder, vms) as fleet:
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
            time.sleep(SETTLE_S)
            return costs(fleet, seconds)
        finally:
            stopped.set()
            announcer.join()


def costs(fleet: fleets.Fleet, seconds: float) -> list[Cost]:
    """Returns the cost of the leader and the mean cost of the others."""
    leaders = {
        name
        for name in fleet.vms
        if (fleets.status(fleet, name).get("cell") or {}).get("is_leader")
    }
    began = time.monotonic()
    before = {name: sample(fleet, name) for name in fleet.vms}
    time.sleep(seconds)
    after = {name: sample(fleet, name) for name in fleet.vms}
    length = time.monotonic() - began
    found = []
    for role, names in (
        ("leader", leaders),
        ("member", set(fleet.vms) - leaders),
    ):
        if names:
            pairs = [(before[name], after[name]) for name in names]
            found.append(mean_cost(role, len(fleet.vms), pairs, length))
    return found


def mean_cost(
    role: str, members: int, pairs: list[tuple[Sample, Sample]], seconds: float
) -> Cost:
    """Returns the mean cost over pairs of samples."""

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
