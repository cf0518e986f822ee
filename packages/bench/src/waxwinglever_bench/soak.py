"""Runs a fleet under a seeded schedule of faults and checks the guarantees.

At most a minority of a cell's VMs is down by kills and drains at one time; a
kill beyond that is passed over. All other faults coincide as the schedule has
it. A crashing request comes on top: it hits the owner of its key.
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
from waxwinglever_bench import fleet as fleets
from waxwinglever_bench import injection
from waxwinglever_bench import schedule
from waxwinglever_bench import traffic as traffics
from waxwinglever_bench import watching
from waxwinglever_model import clock

TENANT = "tulpar"
REGION = "kz-south"
ZONES = ("almaty-a", "almaty-b", "shymkent")
KEYED = "dispatch"
UNKEYED = "workshop"
SIZES = {KEYED: 6, UNKEYED: 3}
READERS = 3
WRITERS = 6
ONCE_SENDERS = 2
PROBERS = 4
CONFIG_BOUND_S = 7.0
RECOVERY_BOUND_S = 10.0
# A run that is not served within the bound goes on to show how long it takes.
RECOVERY_WAIT_S = 30.0
# Faults on a daemon may still be felt for an election and a new connection.
SETTLE_S = 4.0
MAX_EVIDENCE = 10
EXIT_TERMINATED = 143


@attrs.define(eq=False)
class Report:
    """What a run showed.

    Attributes:
      figures: Counts and measured values.
      evidence: What broke, by invariant.
    """

    figures: dict = attrs.Factory(dict)
    evidence: dict[str, list[str]] = attrs.Factory(
        lambda: collections.defaultdict(list)
    )


def run(folder: pathlib.Path, seed: int, minutes: float, network: int) -> bool:
    """Runs the soak and returns whether all invariants held.

    Args:
      folder: For settings and logs of the processes; earlier logs go.
      seed: Seed of the schedule.
      minutes: Length of the schedule.
      network: Second byte of the VMs' loopback addresses; runs at one time
        need different ones.
    """
    for old in folder.glob("*"):
        old.unlink()
    vms = fleets.make_vms(TENANT, ZONES, SIZES, network)
    store_host = f"127.90.{network}.1"
    report = Report()
    with fleets.running(folder, vms, store_host=store_host) as fleet:
        state = injection.SoakState(fleet)
        start(state)
        monitor = watching.new_monitor(state)
        traffic = traffics.Traffic(state, TENANT, KEYED, UNKEYED)
        threads = start_threads(monitor, traffic, seed)
        try:
            inject(monitor, traffic, seed, minutes * 60)
            check_recovery(monitor, traffic, report)
        finally:
            state.stopping.set()
            for thread in threads:
                thread.join()
        for node in fleet.vms:
            watching.collect_final_log(monitor, node)
        horizon_s = clock.boottime_s()
    check(folder, monitor, traffic, report, horizon_s)
    show(folder, report)
    return not any(report.evidence.values())


def start(state: injection.SoakState) -> None:
    """Starts all VMs and applies the configuration."""
    fleet = state.fleet
    document = fleets.make_document(TENANT, REGION, ZONES, [KEYED], [UNKEYED])
    fleets.apply_document(fleet, document)
    state.written[1] = clock.boottime_s()
    for node in fleet.vms:
        injection.start_daemon(state, node)
        injection.start_backend(state, node)
    fleets.wait_ready(fleet, fleet.vms)
    fleets.wait_for(lambda: is_leased(fleet), "slices")


def is_leased(fleet: fleets.Fleet) -> bool:
    """Returns whether all slices are leased."""
    cells = [
        fleets.status(fleet, name).get("cell") or {}
        for name, vm in fleet.vms.items()
        if vm.service == KEYED
    ]
    slices = max(cell.get("slices", 0) for cell in cells)
    return 0 < slices == sum(cell.get("owned", 0) for cell in cells)


def start_threads(
    monitor: watching.FleetMonitor, traffic: traffics.Traffic, seed: int
) -> list[threading.Thread]:
    """Starts the callers, the watchers and the thread that sets cuts."""
    probed = [f"key-{n}" for n in range(traffics.PROBE_KEYS)]
    plans = [
        (injection.update_cuts_until_stopped, (monitor.state,)),
        *((watching.monitor_vm, (monitor, node)) for node in monitor.vms),
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
            for n in range(ONCE_SENDERS)
        ),
        *(
            (traffics.run_prober, (traffic, probed[n::PROBERS], f"p{seed}-{n}"))
            for n in range(PROBERS)
        ),
    ]
    threads = [threading.Thread(target=t, args=a) for t, a in plans]
    for thread in threads:
        thread.start()
    return threads


def inject(
    monitor: watching.FleetMonitor,
    traffic: traffics.Traffic,
    seed: int,
    seconds: float,
) -> None:
    """Injects the faults of the schedule, each in a thread of its own."""
    state = monitor.state
    began_s = clock.boottime_s()
    threads = []
    try:
        for fault in schedule.make_schedule(seed, seconds, list(monitor.vms)):
            wait_s = began_s + fault.at_s - clock.boottime_s()
            state.stopping.wait(max(0.0, wait_s))
            state.counts[fault.kind] += 1
            thread = threading.Thread(
                target=guard, args=(monitor, traffic, fault), name=fault.kind
            )
            threads.append(thread)
            thread.start()
    except BaseException:
        state.stopping.set()
        raise
    finally:
        # A fault that goes on could start a process after the fleet has ended.
        for thread in threads:
            thread.join()


def guard(
    monitor: watching.FleetMonitor,
    traffic: traffics.Traffic,
    fault: schedule.Fault,
) -> None:
    """Injects one fault; an error of the harness fails the run."""
    try:
        inject_one(monitor, traffic, fault)
    except Exception as error:  # pylint: disable=broad-exception-caught
        monitor.state.failures.append(f"harness: {fault}: {error!r}")


def inject_one(
    monitor: watching.FleetMonitor,
    traffic: traffics.Traffic,
    fault: schedule.Fault,
) -> None:
    """Injects one fault and returns when it has ended."""
    state = monitor.state
    leader = watching.last_known_leader(monitor, KEYED)
    if fault.hits_leader and leader not in (None, fault.other):
        state.counts["on the leader"] += 1
        fault = attrs.evolve(fault, node=leader)
    match fault.kind:
        case schedule.KILL_DAEMON | schedule.KILL_BACKEND | schedule.KILL_VM:
            injection.kill_and_restart(
                state,
                fault,
                lambda node: watching.collect_final_log(monitor, node),
            )
        case schedule.FREEZE_DAEMON:
            name = injection.DAEMON_PREFIX + fault.node
            injection.freeze(state, name, fault.length_s)
        case schedule.FREEZE_BACKEND:
            name = injection.BACKEND_PREFIX + fault.node
            injection.freeze(state, name, fault.length_s)
        case schedule.CUT_PAIR | schedule.CUT_ONE_SIDE | schedule.ISOLATE:
            injection.cut_links(state, fault)
        case schedule.RACE:
            injection.race_operators(state, fault)
        case schedule.APPLY:
            injection.run_operator_command(state, "zone", "out", ZONES[0])
            injection.restore_zones(state)
        case schedule.DRAIN | schedule.DRAIN_IN_CALM:
            traffics.drain_under_load(traffic, fault.node, fault.length_s)
        case schedule.CRASH:
            key = f"key-{int(fault.value * traffics.KEYS)}"
            traffics.send_crashing_request(traffic, key, fault.number)
        case _:
            injection.inject_store_fault(state, fault)


def check_recovery(
    monitor: watching.FleetMonitor, traffic: traffics.Traffic, report: Report
) -> None:
    """Measures until all keys are served and all slices leased (7)."""
    state = monitor.state
    fleet = state.fleet
    injection.restore_zones(state)
    began_s = clock.boottime_s()
    entries = [vm.http_address for vm in fleet.vms.values()]
    unserved = [f"key-{n}" for n in range(traffics.KEYS)]

    def is_served() -> bool:
        unserved[:] = [
            key
            for number, key in enumerate(unserved)
            if not traffics.probe(traffic, entries[number % len(entries)], key)
        ]
        return not unserved

    try:
        fleets.wait_for(is_served, "keys", RECOVERY_WAIT_S)
        served_s = clock.boottime_s() - began_s
        fleets.wait_for(lambda: is_leased(fleet), "slices", RECOVERY_WAIT_S)
        leased_s = clock.boottime_s() - began_s
    except TimeoutError as error:
        report.evidence["recovery"].append(f"{error}; unserved: {unserved}")
        return
    report.figures["recovery"] = {
        "served_s": round(served_s, 2),
        "leased_s": round(leased_s, 2),
    }
    if leased_s > RECOVERY_BOUND_S:
        report.evidence["recovery"].append(
            f"took {leased_s:.1f} s, the bound is {RECOVERY_BOUND_S} s"
        )


# The checks at the end.


def read_lines(path: pathlib.Path) -> list[dict]:
    """Returns the JSON lines of a log; others are tracebacks of a start."""
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
    monitor: watching.FleetMonitor,
    traffic: traffics.Traffic,
    report: Report,
    horizon_s: float,
) -> None:
    """Checks the invariants on all that was collected."""
    state = monitor.state
    check_leases(folder, state, report, horizon_s)
    check_executions(monitor, traffic, report)
    check_generations(monitor, report)
    check_drains(traffic, report)
    report.evidence["replies"] += traffic.wrong
    report.evidence["processes"] += state.failures
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
    state: injection.SoakState,
    report: Report,
    horizon_s: float,
) -> None:
    """Checks that no two nodes held leases on one point (1)."""
    intervals = []
    terms = 0
    logs = {
        node: read_lines(folder / f"daemon-{node}.log")
        for node in state.fleet.vms
    }
    for node, lines in logs.items():
        for line in lines:
            terms += line.get("event") == "leader-began"
            if line.get("event") == "thread-failed":
                report.evidence["processes"].append(json.dumps(line))
        intervals += audit.lease_intervals(
            node, lines, state.daemon_ends[node], horizon_s
        )
    report.figures["leases"] = len(intervals)
    report.figures["terms"] = terms
    report.evidence["leases"] += [
        "\n    ".join(
            [str(pair), *(t for i in pair for t in lines_of(logs, i))]
        )
        for pair in audit.lease_overlaps(intervals)
    ]


def lines_of(
    logs: dict[str, list[dict]], interval: audit.LeaseInterval
) -> list[str]:
    """Returns the log lines that tell of a lease."""
    return [
        json.dumps(line)
        for line in logs[interval.node]
        if line.get("epoch") == interval.epoch
        and line.get("event") in (audit.LEASE_BEGAN, audit.LEASE_ENDED)
    ]


def check_executions(
    monitor: watching.FleetMonitor, traffic: traffics.Traffic, report: Report
) -> None:
    """Checks the execution logs (2) and the refusals (3)."""
    executions = watching.executions(monitor)
    report.figures["executions"] = len(executions)
    report.figures["refused_requests"] = len(traffic.refused)
    freezes = monitor.state.freezes
    report.evidence["at most once"] += map(
        str, audit.repeated_executions(executions)
    )
    report.evidence["one server for a key"] += map(
        str, audit.key_overlaps(executions, freezes)
    )
    report.evidence["epochs"] += map(str, audit.epoch_regressions(executions))
    report.evidence["not-run is true"] += map(
        str, audit.false_refusals(traffic.refused, executions)
    )


def check_generations(monitor: watching.FleetMonitor, report: Report) -> None:
    """Checks that configurations spread in time and never go back (5)."""
    state = monitor.state
    samples = watching.samples(monitor)
    started = {
        node: state.started[injection.DAEMON_PREFIX + node]
        for node in monitor.vms
    }
    report.figures["generations"] = len(state.written)
    report.figures["samples"] = len(samples)
    report.evidence["generations"] += map(
        str, audit.generation_regressions(samples)
    )
    late = audit.late_generations(
        state.written, samples, state.disturbances, started, CONFIG_BOUND_S
    )
    report.evidence["config in force"] += map(str, late)
    report.figures["generations_judged"] = sum(
        audit.undisturbed_since(at_s, state.disturbances, CONFIG_BOUND_S)
        + CONFIG_BOUND_S
        < max((s.at_s for s in samples), default=0.0)
        for at_s in state.written.values()
    )


def check_drains(traffic: traffics.Traffic, report: Report) -> None:
    """Checks that SIGTERM cut no request (6).

    Requests of a drain are judged when no other fault could have cut them.
    """
    state = traffic.state
    judged = cut = passed_over = 0
    for drained in traffic.drains:
        own = injection.DAEMON_PREFIX + drained.node
        others = [
            span
            for span in (
                *state.disturbances,
                *state.freezes,
                *state.backend_losses,
            )
            if span.name != own
            and span.began_s < drained.ended_s
            and span.ended_s + SETTLE_S > drained.began_s
        ]
        if others:
            passed_over += drained.count
            continue
        judged += drained.count
        cut += len(drained.aborted)
        report.evidence["shutdown"] += map(
            f"{drained.node} at {drained.began_s:.3f}: {{}}".format,
            drained.aborted,
        )
    report.figures["shutdown"] = {
        "requests_judged": judged,
        "cut": cut,
        "beside_other_faults": passed_over,
    }


# The report.


def show(folder: pathlib.Path, report: Report) -> None:
    """Prints one line for each invariant and writes the figures."""
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
        evidence = report.evidence[name]
        verdict = f"FAILED {len(evidence)}" if evidence else "held"
        click.echo(f"{name}: {verdict} ({total})")
        for text in evidence[:MAX_EVIDENCE]:
            click.echo(f"  {text}")
    figures["violations"] = {k: len(v) for k, v in report.evidence.items()}
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
    help="Second byte of the loopback addresses; one for each run at a time.",
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
    """Runs a fleet under faults; exits 1 when a guarantee broke."""
    # The fleet's processes have to end with this one.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(EXIT_TERMINATED))
    ctx.exit(0 if run(build / f"soak-{seed}", seed, minutes, network) else 1)
