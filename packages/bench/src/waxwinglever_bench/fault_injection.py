"""Injects the faults of a schedule into a fleet and records their effects."""

import collections
import random
import re
import subprocess
import threading
import time
import signal

import attrs
import urllib3

from waxwinglever_bench import audit
from waxwinglever_bench import fault_schedule
from waxwinglever_bench import fleet as fleets
from waxwinglever_model import clock

DAEMON_PREFIX = "daemon/"
BACKEND_PREFIX = "backend/"
CUT_UPDATE_INTERVAL_S = 0.1
MAX_STORE_DELAY_S = 0.8
MAX_LOST_ANSWERS = 4
WRITTEN_GENERATION = re.compile(r"generation (\d+) is written")


@attrs.define(eq=False)
class SoakState:
    """State of a soak run that the fault injection shares; guarded by `lock`.

    Attributes:
      fleet: The processes under test.
      down: VMs with a kill or a drain in progress.
      frozen: Processes under SIGSTOP, with the start of the freeze.
      daemon_ends: By node, when each of its daemon processes ended.
      started: By process name, when each of its processes was started.
      freezes: Completed freezes of backend servers, by VM.
      disturbances: Completed faults that may delay the spread of a
        configuration.
      backend_losses: Periods from the kill or crash of a backend server to its
        restart.
      cuts: Links (from, to) that each fault cuts, by fault number.
      store_faults: Store fault switches that each fault sets, by fault number.
      sent_cuts: Cut addresses that were last sent to each daemon process, by
        process id.
      written: When each configuration generation was acknowledged.
      counts: Number of faults and operator commands, by kind.
      failures: Unexpected exits of daemons, and errors of the harness.
      stopping: Set when the run ends.
    """

    fleet: fleets.Fleet
    down: set[str] = attrs.Factory(set)
    frozen: dict[str, float] = attrs.Factory(dict)
    daemon_ends: dict[str, list[float]] = attrs.Factory(
        lambda: collections.defaultdict(list)
    )
    started: dict[str, list[float]] = attrs.Factory(
        lambda: collections.defaultdict(list)
    )
    freezes: list[audit.Span] = attrs.Factory(list)
    disturbances: list[audit.Span] = attrs.Factory(list)
    backend_losses: list[audit.Span] = attrs.Factory(list)
    cuts: dict[int, set[tuple[str, str]]] = attrs.Factory(dict)
    store_faults: dict[int, dict] = attrs.Factory(dict)
    sent_cuts: dict[int, frozenset[str]] = attrs.Factory(dict)
    written: dict[int, float] = attrs.Factory(dict)
    counts: collections.Counter = attrs.Factory(collections.Counter)
    failures: list[str] = attrs.Factory(list)
    stopping: threading.Event = attrs.Factory(threading.Event)
    lock: threading.RLock = attrs.Factory(threading.RLock)


def reserve_vm(state: SoakState, node: str) -> bool:
    """Marks a VM as down if at most a minority of its cell is then down.

    Returns:
      Whether the VM was marked; False also if it is down already.
    """
    vms = state.fleet.vms
    with state.lock:
        cell = [n for n, vm in vms.items() if vm.service == vms[node].service]
        down = [n for n in cell if n in state.down]
        if node in down or len(down) + 1 > (len(cell) - 1) // 2:
            state.counts["passed over: a minority is down"] += 1
            return False
        state.down.add(node)
        return True


def release_vm(state: SoakState, node: str) -> None:
    """Marks a VM as running again."""
    with state.lock:
        state.down.discard(node)


def running_addresses(state: SoakState) -> list[str]:
    """Returns the HTTP addresses of the daemons whose VMs are not down."""
    with state.lock:
        vms = state.fleet.vms.values()
        return [vm.http_address for vm in vms if vm.name not in state.down]


def record_disturbance(state: SoakState, name: str, began_s: float) -> None:
    """Records a disturbance that ends now."""
    with state.lock:
        now = clock.boottime_s()
        state.disturbances.append(audit.Span(name, began_s, now))


def record_backend_loss(state: SoakState, node: str, began_s: float) -> None:
    """Records a loss of a backend server that ends now."""
    with state.lock:
        now = clock.boottime_s()
        state.backend_losses.append(
            audit.Span(BACKEND_PREFIX + node, began_s, now)
        )


def start_daemon(state: SoakState, node: str) -> None:
    """Starts the daemon of a VM."""
    with state.lock:
        state.started[DAEMON_PREFIX + node].append(clock.boottime_s())
        fleets.start_daemon(state.fleet, node)


def start_backend(state: SoakState, node: str) -> None:
    """Starts the backend server of a VM."""
    with state.lock:
        state.started[BACKEND_PREFIX + node].append(clock.boottime_s())
        fleets.start_backend(state.fleet, node)


def kill(state: SoakState, name: str) -> None:
    """Kills a process and records when a daemon ended.

    A daemon that is frozen counts as ended at the start of the freeze.
    """
    with state.lock:
        fleets.kill(state.fleet, name)
        end_s = state.frozen.get(name, clock.boottime_s())
        if name.startswith(DAEMON_PREFIX):
            state.daemon_ends[name.removeprefix(DAEMON_PREFIX)].append(end_s)


def freeze(state: SoakState, name: str, duration_s: float) -> None:
    """Suspends a process with SIGSTOP, and resumes it after a time.

    Does nothing if the process does not exist or is frozen already.
    """
    with state.lock:
        process = state.fleet.processes.get(name)
        if process is None or name in state.frozen:
            return
        began_s = state.frozen[name] = clock.boottime_s()
        process.send_signal(signal.SIGSTOP)
    state.stopping.wait(duration_s)
    with state.lock:
        process.send_signal(signal.SIGCONT)
        del state.frozen[name]
        node = name.partition("/")[2]
        if name.startswith(DAEMON_PREFIX):
            record_disturbance(state, name, began_s)
        else:
            span = audit.Span(node, began_s, clock.boottime_s())
            state.freezes.append(span)


def kill_and_restart(
    state: SoakState, fault: fault_schedule.Fault, collect
) -> None:
    """Kills the processes that the kind of fault names, and restarts them.

    Does nothing if too many VMs of the cell are down.

    Args:
      state: State of the run.
      fault: The fault.
      collect: Called with the node before its backend server is killed, to
        collect the execution log.
    """
    node = fault.node
    if not reserve_vm(state, node):
        return
    began_s = clock.boottime_s()
    kind = fault.kind
    if kind in (fault_schedule.KILL_BACKEND, fault_schedule.KILL_VM):
        collect(node)
        kill(state, BACKEND_PREFIX + node)
    if kind in (fault_schedule.KILL_DAEMON, fault_schedule.KILL_VM):
        kill(state, DAEMON_PREFIX + node)
    state.stopping.wait(fault.duration_s)
    if kind in (fault_schedule.KILL_DAEMON, fault_schedule.KILL_VM):
        start_daemon(state, node)
        record_disturbance(state, DAEMON_PREFIX + node, began_s)
    if kind in (fault_schedule.KILL_BACKEND, fault_schedule.KILL_VM):
        start_backend(state, node)
        record_backend_loss(state, node, began_s)
    release_vm(state, node)


def drain(state: SoakState, node: str, duration_s: float) -> None:
    """Stops a daemon with SIGTERM, checks its exit code and restarts it.

    The caller must have reserved the VM. The signal is sent only when the
    daemon serves requests: while the interpreter starts, no handler is
    installed and SIGTERM would terminate the process at once.
    """
    address = state.fleet.vms[node].http_address
    fleets.wait_for(
        lambda: fleets.is_open(state.fleet, address, "/healthz"), node
    )
    began_s = clock.boottime_s()
    code = fleets.terminate(state.fleet, DAEMON_PREFIX + node)
    with state.lock:
        state.daemon_ends[node].append(clock.boottime_s())
    if code:
        state.failures.append(f"{node}: exit code {code} after SIGTERM")
    state.stopping.wait(duration_s)
    start_daemon(state, node)
    record_disturbance(state, DAEMON_PREFIX + node, began_s)
    release_vm(state, node)


# Network cuts and store faults.


def links_to_cut(
    state: SoakState, fault: fault_schedule.Fault
) -> set[tuple[str, str]]:
    """Returns the links (from, to) that a fault cuts."""
    node = fault.node
    if fault.kind == fault_schedule.CUT_ONE_SIDE:
        return {(node, fault.peer_node)}
    if fault.kind == fault_schedule.CUT_PAIR:
        return {(node, fault.peer_node), (fault.peer_node, node)}
    others = set(state.fleet.vms) - {node}
    return {(node, n) for n in others} | {(n, node) for n in others}


def cut_links(state: SoakState, fault: fault_schedule.Fault) -> None:
    """Cuts links between daemons for the duration of a fault."""
    began_s = clock.boottime_s()
    with state.lock:
        state.cuts[fault.number] = links_to_cut(state, fault)
    state.stopping.wait(fault.duration_s)
    with state.lock:
        del state.cuts[fault.number]
    # The daemons get the change with the next update of their cuts.
    time.sleep(2 * CUT_UPDATE_INTERVAL_S)
    record_disturbance(state, fault.kind, began_s)


def update_cuts_until_stopped(state: SoakState) -> None:
    """Sends changed cuts to the daemons periodically until the run ends.

    Daemons that are frozen or down are updated once they can be reached.
    """
    while not state.stopping.wait(CUT_UPDATE_INTERVAL_S):
        send_cuts(state)


def send_cuts(state: SoakState) -> None:
    """Sends its cut links to each daemon whose links changed."""
    with state.lock:
        links = set().union(*state.cuts.values())
        processes = {
            node: process
            for node in state.fleet.vms
            if (process := state.fleet.processes.get(DAEMON_PREFIX + node))
            and DAEMON_PREFIX + node not in state.frozen
        }
    for node, process in processes.items():
        cut_addresses = frozenset(
            address
            for sender, receiver in links
            if sender == node
            for address in (
                state.fleet.vms[receiver].peer_address,
                state.fleet.vms[receiver].http_address,
            )
        )
        if state.sent_cuts.get(process.pid, frozenset()) == cut_addresses:
            continue
        try:
            fleets.set_cuts(state.fleet, node, cut_addresses)
            state.sent_cuts[process.pid] = cut_addresses
        except urllib3.exceptions.HTTPError:
            # The daemon is starting, frozen or down; the next call retries.
            continue


def store_fault_switches(state: SoakState, fault: fault_schedule.Fault) -> dict:
    """Returns the store fault switches that a fault sets."""
    variation = fault.variation
    if fault.kind == fault_schedule.CUT_STORE:
        return {"blocked_clients": [state.fleet.vms[fault.node].host]}
    if fault.kind == fault_schedule.STORE_DOWN:
        return {
            "down": True,
            "down_mode": "hang" if variation < 0.5 else "refuse",
        }
    if fault.kind == fault_schedule.STORE_SLOW:
        return {"slow_s": MAX_STORE_DELAY_S * variation}
    return {
        "lose_answers": 1 + int(MAX_LOST_ANSWERS * variation),
        "lose_mode": "hang" if variation < 0.5 else "close",
    }


def inject_store_fault(state: SoakState, fault: fault_schedule.Fault) -> None:
    """Sets store fault switches for the duration of a fault."""
    began_s = clock.boottime_s()
    with state.lock:
        state.store_faults[fault.number] = store_fault_switches(state, fault)
        apply_store_faults(state)
    state.stopping.wait(fault.duration_s)
    with state.lock:
        del state.store_faults[fault.number]
        apply_store_faults(state)
    record_disturbance(state, fault.kind, began_s)


def apply_store_faults(state: SoakState) -> None:
    """Sets the combined switches of all active store faults.

    The caller must hold the lock.
    """
    switches = {
        "down": False,
        "slow_s": 0.0,
        "lose_answers": 0,
        "blocked_clients": [],
    }
    for fault_switches in state.store_faults.values():
        blocked = fault_switches.get("blocked_clients", [])
        switches["blocked_clients"] += blocked
        switches |= {
            k: v for k, v in fault_switches.items() if k != "blocked_clients"
        }
    fleets.set_store_faults(state.fleet, **switches)


# Operators.


def run_operator_command(state: SoakState, *arguments: str) -> bool:
    """Runs the command-line tool and records the generation that it wrote.

    Returns:
      Whether the tool succeeded in time.
    """
    tenant = next(iter(state.fleet.vms.values())).tenant
    try:
        result = fleets.run_cli(state.fleet, "--tenant", tenant, *arguments)
    except subprocess.TimeoutExpired:
        state.counts["tool: no result in time"] += 1
        return False
    now = clock.boottime_s()
    with state.lock:
        state.counts[f"tool: exit code {result.returncode}"] += 1
        match = WRITTEN_GENERATION.search(result.stdout)
        if match:
            state.written.setdefault(int(match[1]), now)
    return result.returncode == 0


def race_operators(state: SoakState, fault: fault_schedule.Fault) -> None:
    """Runs two operator commands on zones at once, then takes all zones in.

    The last zone is never taken out, so that some node can accept requests.
    """
    zones = list(dict.fromkeys(vm.zone for vm in state.fleet.vms.values()))
    rng = random.Random(fault.variation)
    commands = [
        ("zone", rng.choice(("out", "out", "in")), rng.choice(zones[:-1]))
        for _ in range(2)
    ]
    threads = [
        threading.Thread(target=run_operator_command, args=(state, *command))
        for command in commands
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    state.stopping.wait(fault.duration_s)
    restore_zones(state)


def restore_zones(state: SoakState) -> bool:
    """Takes all zones in and returns whether the tool succeeded for each."""
    zones = {vm.zone for vm in state.fleet.vms.values()}
    succeeded = [
        run_operator_command(state, "zone", "in", zone)
        for zone in sorted(zones)
    ]
    return all(succeeded)
