"""Demonstrates the system with real processes, and checks each response."""

import concurrent.futures
import hashlib
import pathlib
import random
import time

import attrs
import click

from waxwinglever_bench import callers
from waxwinglever_bench import fleet as fleets

TENANT = "tulpar"
ZONES = ("almaty-a", "almaty-b")
KEYED = "dispatch"
UNKEYED = "workshop"
REQUESTS = 200
SMALL_BYTES = 200
PHOTO_BYTES = 1_000_000
SENDERS = 8
# Bound of the design for the time until a lost key is served again.
RECOVERY_BOUND_S = 4.0


@attrs.define(eq=False)
class Report:
    """Result of the demo.

    Attributes:
      failures: Descriptions of the checks that failed.
    """

    failures: list[str] = attrs.field(factory=list)


def run(folder: pathlib.Path, seed: int) -> bool:
    """Runs the demo and returns whether all checks passed."""
    vms = fleets.make_vms(TENANT, ZONES, {KEYED: 3, UNKEYED: 2}, network=1)
    report = Report()
    with fleets.running_fleet(folder, vms) as fleet:
        start(fleet)
        check_requests(fleet, report, seed)
        show_status(fleet, report)
        check_recovery(fleet, report)
        check_shutdown(fleet, report)
    for failure in report.failures:
        click.echo(f"FAILED: {failure}")
    click.echo("demo: failed" if report.failures else "demo: all checks passed")
    return not report.failures


def start(fleet: fleets.Fleet) -> None:
    """Starts all VMs and applies the configuration."""
    began_s = time.monotonic()
    document = fleets.make_document(
        TENANT, "kz-south", ZONES, [KEYED], [UNKEYED]
    )
    fleets.apply_document(fleet, document)
    for name in fleet.vms:
        fleets.start_vm(fleet, name)
    fleets.wait_ready(fleet, fleet.vms)
    keyed = [n for n, vm in fleet.vms.items() if vm.service == KEYED]
    fleets.wait_for(
        lambda: every_node_owns_slices(fleet, keyed), "leases on all slices"
    )
    click.echo(
        f"started 1 store, {len(fleet.vms)} backend servers and daemons in"
        f" {time.monotonic() - began_s:.1f} s"
    )


def every_node_owns_slices(fleet: fleets.Fleet, names: list[str]) -> bool:
    """Returns whether each slice is leased and each node owns at least one."""
    cells = [fleets.fetch_status(fleet, name).get("cell") for name in names]
    if not all(cells):
        return False
    owned = [cell["owned"] for cell in cells]
    return min(owned) > 0 and sum(owned) == cells[0]["slices"]


def make_request(rng: random.Random, number: int) -> callers.Request:
    """Returns the request with a number; non-empty bodies are distinct."""
    service = KEYED if number % 2 else UNKEYED
    key = f"job-{number}" if service == KEYED else None
    if number % 4 < 2:
        return callers.Request(
            "GET", TENANT, service, f"/jobs/{number}?a=1", key
        )
    size = PHOTO_BYTES if number % 20 == 3 else SMALL_BYTES
    body = f"{number}:".encode() + rng.randbytes(size)
    path = "/echo/photos" if number % 8 < 4 else f"/claims/{number}"
    return callers.Request("POST", TENANT, service, path, key, body)


def check_requests(fleet: fleets.Fleet, report: Report, seed: int) -> None:
    """Sends distinct requests to all daemons and checks each response."""
    rng = random.Random(seed)
    requests = [make_request(rng, number) for number in range(REQUESTS)]
    addresses = [vm.http_address for vm in fleet.vms.values()]
    bodies = {hashlib.sha256(request.body).digest() for request in requests}

    def send(number: int) -> callers.Response:
        address = addresses[number % len(addresses)]
        return callers.send(fleet.http, address, requests[number])

    with concurrent.futures.ThreadPoolExecutor(SENDERS) as executor:
        responses = list(executor.map(send, range(REQUESTS)))
    correct = sum(response.is_correct for response in responses)
    click.echo(
        f"{correct} of {REQUESTS} replies right ({len(bodies)} distinct bodies)"
    )
    for number, response in enumerate(responses):
        if not response.is_correct:
            report.failures.append(
                f"request {number} to {addresses[number % len(addresses)]}:"
                f" {response.status} {response.outcome} {response.kind}"
            )
    check_owners(requests, responses, report)


def check_owners(
    requests: list[callers.Request],
    responses: list[callers.Response],
    report: Report,
) -> None:
    """Checks that no key was served by two owners."""
    owners: dict[str, set[str]] = {}
    for request, response in zip(requests, responses):
        if request.key is not None:
            owners.setdefault(request.key, set()).add(response.owner)
    for key, found in owners.items():
        if len(found) != 1:
            report.failures.append(f"key {key} was served by {sorted(found)}")


def show_status(fleet: fleets.Fleet, report: Report) -> None:
    """Prints the output of some commands of the command-line tool."""
    address = next(iter(fleet.vms.values())).http_address
    for arguments in (
        ("status",),
        ("--tenant", TENANT, "owner", "job-1", "--service", KEYED),
        ("--tenant", TENANT, "history"),
    ):
        result = fleets.run_cli(fleet, "--daemon", address, *arguments)
        click.echo(result.stdout.rstrip())
        if result.returncode:
            report.failures.append(
                f"command {arguments} failed: {result.stderr}"
            )


def check_recovery(fleet: fleets.Fleet, report: Report) -> None:
    """Kills an owner and measures the time until its key is served again."""
    address = fleet.vms[f"{UNKEYED}-0"].http_address
    victim = f"{KEYED}-1"
    key = find_key(fleet, address, fleet.vms[victim].http_address)
    request = callers.Request("GET", TENANT, KEYED, "/jobs/again", key)
    fleets.kill(fleet, f"daemon/{victim}")
    fleets.kill(fleet, f"backend/{victim}")
    began_s = time.monotonic()
    while not callers.send(fleet.http, address, request).is_correct:
        if time.monotonic() - began_s > 3 * RECOVERY_BOUND_S:
            break
    seconds = time.monotonic() - began_s
    click.echo(f"key of a lost VM served again after {seconds:.2f} s")
    if seconds > RECOVERY_BOUND_S:
        report.failures.append(f"recovery took {seconds:.2f} s")


def find_key(fleet: fleets.Fleet, address: str, owner: str) -> str:
    """Returns a key that the node with the HTTP address `owner` owns.

    Raises:
      RuntimeError: None of the probed keys belongs to it.
    """
    for number in range(1000):
        key = f"probe-{number}"
        request = callers.Request("GET", TENANT, KEYED, "/probe", key)
        if callers.send(fleet.http, address, request).owner == owner:
            return key
    raise RuntimeError(f"no key of {owner} found")


def check_shutdown(fleet: fleets.Fleet, report: Report) -> None:
    """Stops all processes by SIGTERM and checks exit codes and responses.

    The first daemon is stopped while requests are in flight; each of them must
    still get a response.
    """
    address = fleet.vms[f"{UNKEYED}-0"].http_address
    slow = (("Standin-Service-Ms", "300"),)
    requests = [
        callers.Request(
            "POST", TENANT, KEYED, f"/slow/{n}", f"s{n}", b"x", slow
        )
        for n in range(6)
    ]
    with concurrent.futures.ThreadPoolExecutor(len(requests)) as executor:
        running = [
            executor.submit(callers.send, fleet.http, address, request)
            for request in requests
        ]
        time.sleep(0.1)
        code = fleets.terminate(fleet, f"daemon/{KEYED}-0")
        responses = [each.result() for each in running]
    if code:
        report.failures.append(f"daemon {KEYED}-0 exited with code {code}")
    cut = [each for each in responses if not each.is_correct]
    click.echo(
        f"{len(responses) - len(cut)} of {len(responses)} requests that ran"
        " during a SIGTERM were answered"
    )
    for response in cut:
        report.failures.append(f"a request in flight was aborted: {response}")
    for name in sorted(fleet.processes, key=lambda n: n != "store"):
        if name.startswith("daemon/"):
            code = fleets.terminate(fleet, name)
            if code:
                report.failures.append(f"{name} exited with code {code}")
    for name in list(fleet.processes):
        fleets.terminate(fleet, name)
