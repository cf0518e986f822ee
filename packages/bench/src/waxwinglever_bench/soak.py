"""Runs a fleet under a seeded schedule of faults and checks the guarantees.

Kills and drains take down at most a minority of a cell's VMs at one time; those
beyond that are skipped. All other faults overlap as the schedule has them. This
includes crashing requests, which crash the owner of their key.
"""

import collections
import json
import pathlib
import signal
import sys
import threading

import attrs
import click

from waxwinglever_bench import audit
from waxwinglever_bench import fault_injection
from waxwinglever_bench import fault_schedule
from waxwinglever_bench import fleet as fleets
from waxwinglever_bench import monitoring
from waxwinglever_bench import traffic as traffics
from waxwinglever_model import clock

TENANT = "tulpar"
REGION = "kz-south"
ZONES = ("almaty-a", "almaty-b", "shymkent")
KEYED = "dispatch"
UNKEYED = "workshop"
VMS_BY_SERVICE = {KEYED: 6, UNKEYED: 3}
READERS = 3
WRITERS = 6
SINGLE_ATTEMPT_SENDERS = 2
PROBERS = 4
CONFIG_BOUND_S = 7.0
RECOVERY_BOUND_S = 10.0
# Longer than the bound, so that a slow recovery is measured too.
RECOVERY_TIMEOUT_S = 30.0
# Time for which a fault on a daemon may affect requests after its end: an
# election and a new connection.
FAULT_RECOVERY_S = 4.0
MAX_PRINTED_VIOLATIONS = 10
EXIT_TERMINATED = 143


@attrs.define(eq=False)
class Report:
    """The results of a run.

    Attributes:
      figures: Counts and measured values.
      violations: Evidence of each violation, by invariant.
    """

    figures: dict = attrs.Factory(dict)
    violations: dict[str, list[str]] = attrs.Factory(
        lambda: collections.defaultdict(list)
    )


def run(folder: pathlib.Path, seed: int, minutes: float, network: int) -> bool:
    """Runs a soak and returns whether all invariants held.

    Args:
      folder: Folder for the settings and logs of the processes; existing files
        in it are deleted.
      seed: Seed of the schedule.
      minutes: Length of the schedule.
      network: Second byte of the VMs' loopback addresses; concurrent runs need
        different ones.
    """
    for old in folder.glob("*"):
        old.unlink()
    vms = fleets.make_vms(TENANT, ZONES, VMS_BY_SERVICE, network)
    store_host = f"127.90.{network}.1"
    report = Report()
    with fleets.running_fleet(folder, vms, store_host=store_host) as fleet:
        state = fault_injection.SoakState(fleet)
        start_fleet(state)
        monitor = monitoring.new_monitor(state)
        traffic = traffics.Traffic(state, TENANT, KEYED, UNKEYED)
        threads = start_background_threads(monitor, traffic, seed)
        try:
            run_schedule(monitor, traffic, seed, minutes * 60)
            check_recovery(monitor, traffic, report)
        finally:
            state.stopping.set()
            for thread in threads:
                thread.join()
        for node in fleet.vms:
            monitoring.collect_final_log(monitor, node)
        run_end_s = clock.boottime_s()
    check(folder, monitor, traffic, report, run_end_s)
    write_report(folder, report)
    return not any(report.violations.values())


def start_fleet(state: fault_injection.SoakState) -> None:
    """Starts all VMs and applies the configuration."""
    fleet = state.fleet
    document = fleets.make_document(TENANT, REGION, ZONES, [KEYED], [UNKEYED])
    fleets.apply_document(fleet, document)
    state.written[1] = clock.boottime_s()
    for node in fleet.vms:
        fault_injection.start_daemon(state, node)
        fault_injection.start_backend(state, node)
    fleets.wait_ready(fleet, fleet.vms)
    fleets.wait_for(lambda: all_slices_leased(fleet), "leases on all slices")


def all_slices_leased(fleet: fleets.Fleet) -> bool:
    """Returns whether all slices are leased."""
    cells = [
        fleets.fetch_status(fleet, name).get("cell") or {}
        for name, vm in fleet.vms.items()
        if vm.service == KEYED
    ]
    slices = max(cell.get("slices", 0) for cell in cells)
    return 0 < slices == sum(cell.get("owned", 0) for cell in cells)


def start_background_threads(
    monitor: monitoring.FleetMonitor, traffic: traffics.Traffic, seed: int
) -> list[threading.Thread]:
    """Starts the threads of the monitor, the cuts and the senders."""
    probed = [f"key-{n}" for n in range(traffics.PROBE_KEYS)]
    targets = [
        (fault_injection.update_cuts_until_stopped, (monitor.state,)),
        *((monitoring.monitor_vm, (monitor, node)) for node in monitor.vms),
        *(
            (traffics.run_reader, (traffic, f"r{seed}-{n}"))
            for n in range(READERS)
        ),
        *(
            (traffics.run_writer, (traffic, f"w{seed}-{n}"))
            for n in range(WRITERS)
        ),
        *(
            (traffics.run_single_attempt_sender, (traffic, f"o{seed}-{n}"))
            for n in range(SINGLE_ATTEMPT_SENDERS)
        ),
        *(
            (traffics.run_prober, (traffic, probed[n::PROBERS], f"p{seed}-{n}"))
            for n in range(PROBERS)
        ),
    ]
    threads = [
        threading.Thread(target=target, args=args) for target, args in targets
    ]
    for thread in threads:
        thread.start()
    return threads


def run_schedule(
    monitor: monitoring.FleetMonitor,
    traffic: traffics.Traffic,
    seed: int,
    seconds: float,
) -> None:
    """Injects the faults of the schedule, each in its own thread.

    Returns when all faults have ended.
    """
    state = monitor.state
    began_s = clock.boottime_s()
    threads = []
    try:
        for fault in fault_schedule.make_schedule(
            seed, seconds, list(monitor.vms)
        ):
            wait_s = began_s + fault.start_s - clock.boottime_s()
            state.stopping.wait(max(0.0, wait_s))
            state.counts[fault.kind] += 1
            thread = threading.Thread(
                target=inject_and_record_errors,
                args=(monitor, traffic, fault),
                name=fault.kind,
            )
            threads.append(thread)
            thread.start()
    except BaseException:
        state.stopping.set()
        raise
    finally:
        # A fault still in progress could start a process after the fleet ended.
        for thread in threads:
            thread.join()


def inject_and_record_errors(
    monitor: monitoring.FleetMonitor,
    traffic: traffics.Traffic,
    fault: fault_schedule.Fault,
) -> None:
    """Injects one fault and records an exception as a failure of the run."""
    try:
        inject_fault(monitor, traffic, fault)
    except Exception as error:  # pylint: disable=broad-exception-caught
        monitor.state.failures.append(f"harness: {fault}: {error!r}")


def inject_fault(
    monitor: monitoring.FleetMonitor,
    traffic: traffics.Traffic,
    fault: fault_schedule.Fault,
) -> None:
    """Injects one fault and returns when it has ended."""
    state = monitor.state
    leader = monitoring.last_known_leader(monitor, KEYED)
    if fault.hits_leader and leader not in (None, fault.peer_node):
        state.counts["on the leader"] += 1
        fault = attrs.evolve(fault, node=leader)
    match fault.kind:
        case (
            fault_schedule.KILL_DAEMON
            | fault_schedule.KILL_BACKEND
            | fault_schedule.KILL_VM
        ):
            fault_injection.kill_and_restart(
                state,
                fault,
                lambda node: monitoring.collect_final_log(monitor, node),
            )
        case fault_schedule.FREEZE_DAEMON:
            name = fault_injection.DAEMON_PREFIX + fault.node
            fault_injection.freeze(state, name, fault.duration_s)
        case fault_schedule.FREEZE_BACKEND:
            name = fault_injection.BACKEND_PREFIX + fault.node
            fault_injection.freeze(state, name, fault.duration_s)
        case (
            fault_schedule.CUT_PAIR
            | fault_schedule.CUT_ONE_SIDE
            | fault_schedule.ISOLATE
        ):
            fault_injection.cut_links(state, fault)
        case fault_schedule.OPERATORS_RACE:
            fault_injection.race_operators(state, fault)
        case fault_schedule.APPLY_IN_CALM:
            fault_injection.run_operator_command(state, "zone", "out", ZONES[0])
            fault_injection.restore_zones(state)
        case fault_schedule.DRAIN | fault_schedule.DRAIN_IN_CALM:
            traffics.drain_under_load(traffic, fault.node, fault.duration_s)
        case fault_schedule.CRASHING_REQUEST:
            key = f"key-{int(fault.variation * traffics.KEYS)}"
            traffics.send_crashing_request(traffic, key, fault.number)
        case _:
            fault_injection.inject_store_fault(state, fault)


def check_recovery(
    monitor: monitoring.FleetMonitor, traffic: traffics.Traffic, report: Report
) -> None:
    """Measures the time until each key is served and each slice leased.

    Covers invariant 7.
    """
    state = monitor.state
    fleet = state.fleet
    fault_injection.restore_zones(state)
    began_s = clock.boottime_s()
    addresses = [vm.http_address for vm in fleet.vms.values()]
    unserved = [f"key-{n}" for n in range(traffics.KEYS)]

    def is_served() -> bool:
        unserved[:] = [
            key
            for number, key in enumerate(unserved)
            if not traffics.probe(
                traffic, addresses[number % len(addresses)], key
            )
        ]
        return not unserved

    try:
        fleets.wait_for(is_served, "responses for all keys", RECOVERY_TIMEOUT_S)
        served_s = clock.boottime_s() - began_s
        fleets.wait_for(
            lambda: all_slices_leased(fleet),
            "leases on all slices",
            RECOVERY_TIMEOUT_S,
        )
        leased_s = clock.boottime_s() - began_s
    except TimeoutError as error:
        report.violations["recovery"].append(f"{error}; unserved: {unserved}")
        return
    report.figures["recovery"] = {
        "served_s": round(served_s, 2),
        "leased_s": round(leased_s, 2),
    }
    if leased_s > RECOVERY_BOUND_S:
        report.violations["recovery"].append(
            f"took {leased_s:.1f} s, the bound is {RECOVERY_BOUND_S} s"
        )


# Checks after the run.


def read_json_lines(path: pathlib.Path) -> list[dict]:
    """Returns the JSON objects of a log.

    Other lines, such as tracebacks of a failed start, are skipped.
    """
    lines = []
    for text in path.read_text("utf-8", "replace").splitlines():
        try:
            line = json.loads(text)
        except ValueError:
            continue
        if isinstance(line, dict):
            lines.append(line)
    return lines


def check(
    folder: pathlib.Path,
    monitor: monitoring.FleetMonitor,
    traffic: traffics.Traffic,
    report: Report,
    run_end_s: float,
) -> None:
    """Checks the invariants on the collected data."""
    state = monitor.state
    check_leases(folder, state, report, run_end_s)
    check_executions(monitor, traffic, report)
    check_generations(monitor, report)
    check_drains(traffic, report)
    report.violations["replies"] += traffic.incorrect
    report.violations["processes"] += state.failures
    report.figures |= {
        "faults": dict(sorted(state.counts.items())),
        "replies": dict(sorted(traffic.outcomes.items())),
        "requests_with_id": dict(sorted(traffic.request_results.items())),
        "unavailable_key_s": round(
            sum(s.ended_s - s.began_s for s in traffic.outages), 1
        ),
        "longest_outage_s": round(
            max((s.ended_s - s.began_s for s in traffic.outages), default=0), 1
        ),
        "probed_keys": traffics.PROBE_KEYS,
        "lost_log_s": round(
            sum(each.lost_log_s for each in monitor.vms.values()), 1
        ),
    }


def check_leases(
    folder: pathlib.Path,
    state: fault_injection.SoakState,
    report: Report,
    run_end_s: float,
) -> None:
    """Checks that no two nodes held leases on one point at one time.

    Covers invariant 1.
    """
    intervals = []
    terms = 0
    logs = {
        node: read_json_lines(folder / f"daemon-{node}.log")
        for node in state.fleet.vms
    }
    for node, lines in logs.items():
        for line in lines:
            terms += line.get("event") == "leader-began"
            if line.get("event") == "thread-failed":
                report.violations["processes"].append(json.dumps(line))
        intervals += audit.lease_intervals(
            node, lines, state.daemon_ends[node], run_end_s
        )
    report.figures["leases"] = len(intervals)
    report.figures["terms"] = terms
    report.violations["leases"] += [
        "\n    ".join(
            [str(pair), *(t for i in pair for t in lease_log_lines(logs, i))]
        )
        for pair in audit.lease_overlaps(intervals)
    ]


def lease_log_lines(
    logs: dict[str, list[dict]], interval: audit.LeaseInterval
) -> list[str]:
    """Returns the log lines about a lease, as evidence of a violation."""
    return [
        json.dumps(line)
        for line in logs[interval.node]
        if line.get("epoch") == interval.epoch
        and line.get("event") in (audit.LEASE_BEGAN, audit.LEASE_ENDED)
    ]


def check_executions(
    monitor: monitoring.FleetMonitor, traffic: traffics.Traffic, report: Report
) -> None:
    """Checks the execution logs and the `not-run` responses.

    Covers invariants 2 and 3.
    """
    executions = monitoring.executions(monitor)
    report.figures["executions"] = len(executions)
    report.figures["refused_requests"] = len(traffic.refused)
    freezes = monitor.state.freezes
    report.violations["at most once"] += map(
        str, audit.repeated_executions(executions)
    )
    report.violations["one server for a key"] += map(
        str, audit.key_overlaps(executions, freezes)
    )
    report.violations["epochs"] += map(str, audit.epoch_regressions(executions))
    report.violations["not-run is true"] += map(
        str, audit.false_refusals(traffic.refused, executions)
    )


def check_generations(monitor: monitoring.FleetMonitor, report: Report) -> None:
    """Checks that configurations spread in time and are never reverted.

    Covers invariant 5.
    """
    state = monitor.state
    samples = monitoring.samples(monitor)
    started = {
        node: state.started[fault_injection.DAEMON_PREFIX + node]
        for node in monitor.vms
    }
    report.figures["generations"] = len(state.written)
    report.figures["samples"] = len(samples)
    report.violations["generations"] += map(
        str, audit.generation_regressions(samples)
    )
    late = audit.late_generations(
        state.written, samples, state.disturbances, started, CONFIG_BOUND_S
    )
    report.violations["config in force"] += map(str, late)
    report.figures["generations_judged"] = sum(
        audit.undisturbed_since(at_s, state.disturbances, CONFIG_BOUND_S)
        + CONFIG_BOUND_S
        < max((s.at_s for s in samples), default=0.0)
        for at_s in state.written.values()
    )


def check_drains(traffic: traffics.Traffic, report: Report) -> None:
    """Checks that a drain by SIGTERM aborts no request.

    Covers invariant 6. A drain is skipped if another fault could have aborted
    its requests.
    """
    state = traffic.state
    judged = aborted = skipped = 0
    for drain in traffic.drains:
        own = fault_injection.DAEMON_PREFIX + drain.node
        others = [
            span
            for span in (
                *state.disturbances,
                *state.freezes,
                *state.backend_losses,
            )
            if span.name != own
            and span.began_s < drain.ended_s
            and span.ended_s + FAULT_RECOVERY_S > drain.began_s
        ]
        if others:
            skipped += drain.count
            continue
        judged += drain.count
        aborted += len(drain.aborted)
        report.violations["shutdown"] += map(
            f"{drain.node} at {drain.began_s:.3f}: {{}}".format,
            drain.aborted,
        )
    report.figures["shutdown"] = {
        "requests_judged": judged,
        "cut": aborted,
        "beside_other_faults": skipped,
    }


# The report.


def write_report(folder: pathlib.Path, report: Report) -> None:
    """Prints the result for each invariant and writes the figures as JSON."""
    figures = report.figures
    lines = (
        ("leases", f"{figures['leases']} leases, {figures['terms']} terms"),
        ("at most once", f"{figures['executions']} executions"),
        ("one server for a key", f"{figures['executions']} executions"),
        ("epochs", f"{figures['executions']} executions"),
        ("not-run is true", f"{figures['refused_requests']} refused requests"),
        ("replies", str(figures["replies"])),
        ("generations", f"{figures['samples']} samples"),
        (
            "config in force",
            f"{figures['generations_judged']} of {figures['generations']}"
            " generations judged",
        ),
        ("shutdown", str(figures["shutdown"])),
        ("recovery", str(figures.get("recovery"))),
        ("processes", "exit codes and threads"),
    )
    click.echo(f"faults: {figures['faults']}")
    click.echo(f"requests with an id: {figures['requests_with_id']}")
    click.echo(
        f"unavailable: {figures['unavailable_key_s']} key-seconds of"
        f" {figures['probed_keys']} keys, longest"
        f" {figures['longest_outage_s']} s; execution logs lost:"
        f" {figures['lost_log_s']} s"
    )
    for name, total in lines:
        violations = report.violations[name]
        verdict = f"FAILED {len(violations)}" if violations else "held"
        click.echo(f"{name}: {verdict} ({total})")
        for text in violations[:MAX_PRINTED_VIOLATIONS]:
            click.echo(f"  {text}")
    figures["violations"] = {k: len(v) for k, v in report.violations.items()}
    path = folder.parent / f"{folder.name}.json"
    path.write_text(json.dumps(figures, indent=2), encoding="utf-8")


@click.command()
@click.option("--seed", default=1, show_default=True)
@click.option(
    "--minutes",
    default=3.0,
    show_default=True,
    type=click.FloatRange(min=0.1, max=600),
)
@click.option(
    "--network",
    default=20,
    show_default=True,
    type=click.IntRange(1, 89),
    help="Second byte of the loopback addresses; concurrent runs need different"
    " ones.",
)
@click.option(
    "--build", default="build", type=click.Path(path_type=pathlib.Path)
)
@click.pass_context
def soak(
    ctx: click.Context,
    seed: int,
    minutes: float,
    network: int,
    build: pathlib.Path,
) -> None:
    """Runs a fleet under faults; exits 1 if a guarantee was violated."""
    # Unwinds the stack on SIGTERM, so that the fleet's processes are ended too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(EXIT_TERMINATED))
    ctx.exit(0 if run(build / f"soak-{seed}", seed, minutes, network) else 1)
