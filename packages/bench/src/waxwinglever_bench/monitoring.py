"""Monitors the daemons of a fleet and collects its execution logs.

One thread for each VM polls its daemon's status and its backend server's
execution log, and restarts a backend server that crashed.
"""

import threading

import attrs
import urllib3

from waxwinglever_bench import audit
from waxwinglever_bench import fault_injection
from waxwinglever_bench import fleet as fleets
from waxwinglever_model import clock

POLL_INTERVAL_S = 0.3
RESTART_DELAY_S = 0.4
# Prefix of the keys that identify requests without a request id, which are sent
# to the service without keys.
SINGLE_ATTEMPT_PREFIX = "once-"


@attrs.define(eq=False)
class VmObservations:
    """What was collected from one VM; guarded by `lock`.

    Attributes:
      boot_id: Boot id of the backend server process that the log is from.
      last_sequence: Sequence number of the last entry that was collected from
        that process.
      collected_s: When the log was last collected.
      executions: By boot id and call id.
      running: Executions that had not ended when the log was last collected.
      samples: Status samples of the daemon.
      was_leader: Whether the daemon led its cell at the last status request.
      lost_log_s: Total time before kills and crashes whose log is lost.
    """

    boot_id: str = ""
    last_sequence: int = 0
    collected_s: float = 0.0
    executions: dict[tuple[str, str], audit.Execution] = attrs.Factory(dict)
    running: set[tuple[str, str]] = attrs.Factory(set)
    samples: list[audit.StatusSample] = attrs.Factory(list)
    was_leader: bool = False
    lost_log_s: float = 0.0
    lock: threading.Lock = attrs.Factory(threading.Lock)


@attrs.define(eq=False)
class FleetMonitor:
    """The data collected from a fleet.

    Attributes:
      state: State of the soak run.
      vms: Data collected from each VM, by node.
    """

    state: fault_injection.SoakState
    vms: dict[str, VmObservations] = attrs.Factory(dict)


def new_monitor(state: fault_injection.SoakState) -> FleetMonitor:
    """Returns a monitor without any data."""
    return FleetMonitor(
        state, {name: VmObservations() for name in state.fleet.vms}
    )


def monitor_vm(monitor: FleetMonitor, node: str) -> None:
    """Polls one VM until the run ends."""
    state = monitor.state
    while not state.stopping.wait(POLL_INTERVAL_S):
        sample_status(monitor, node)
        collect_log(monitor, node)
        restart_exited_processes(monitor, node)


def sample_status(monitor: FleetMonitor, node: str) -> dict:
    """Records the active generation of a daemon.

    Returns:
      The status of the daemon, or {} if it did not respond.
    """
    requested_s = clock.boottime_s()
    try:
        status = fleets.fetch_status(monitor.state.fleet, node)
    except ValueError:
        status = {}
    monitor.vms[node].was_leader = bool(
        (status.get("cell") or {}).get("is_leader")
    )
    if status:
        tenant = monitor.state.fleet.vms[node].tenant
        monitor.vms[node].samples.append(
            audit.StatusSample(
                requested_s,
                node,
                status["incarnation"],
                status["generations"].get(tenant, 0),
            )
        )
    return status


def collect_log(monitor: FleetMonitor, node: str) -> bool:
    """Collects the new entries of a backend server's log.

    Returns:
      Whether the log could be fetched.
    """
    observations = monitor.vms[node]
    with observations.lock:
        try:
            log = fetch_log(
                monitor.state.fleet, node, observations.last_sequence
            )
            if log["boot_id"] != observations.boot_id:
                # The server restarted. Executions that its earlier process had
                # not ended keep the last collected_s as their end.
                observations.running.clear()
                observations.last_sequence = 0
                log = fetch_log(monitor.state.fleet, node, 0)
                observations.boot_id = log["boot_id"]
        except (urllib3.exceptions.HTTPError, ValueError, KeyError):
            return False
        observations.collected_s = clock.boottime_s()
        for entry in log["executions"]:
            ref = (log["boot_id"], entry["call_id"])
            observations.executions[ref] = parse_execution(node, entry, 0.0)
            observations.last_sequence = max(
                observations.last_sequence, entry["sequence"]
            )
        observations.running = set()
        for entry in log["running"]:
            ref = (log["boot_id"], entry["call_id"])
            observations.executions[ref] = parse_execution(
                node, entry, observations.collected_s
            )
            observations.running.add(ref)
        return True


def collect_final_log(monitor: FleetMonitor, node: str) -> None:
    """Collects the log before a kill, or counts the time whose log is lost."""
    if not collect_log(monitor, node):
        observations = monitor.vms[node]
        if observations.collected_s:
            observations.lost_log_s += (
                clock.boottime_s() - observations.collected_s
            )


def fetch_log(fleet: fleets.Fleet, node: str, after: int) -> dict:
    """Returns the log of a backend server after a sequence number."""
    address = fleet.vms[node].backend_address
    response = fleet.http.request(
        "GET", f"http://{address}/_backend/log?after={after}", timeout=1.0
    )
    return response.json()


def parse_execution(
    node: str, entry: dict, collected_s: float
) -> audit.Execution:
    """Returns the execution of a log entry.

    An execution that has not ended gets collected_s as its end.
    """
    is_single_attempt = entry["epoch"] is None and entry["key"].startswith(
        SINGLE_ATTEMPT_PREFIX
    )
    return audit.Execution(
        server=node,
        call_id=entry["call_id"],
        identity=entry["request_id"]
        or (entry["key"] if is_single_attempt else ""),
        key=entry["key"],
        epoch=entry["epoch"],
        began_s=entry["start_ns"] / 1e9,
        ended_s=entry["end_ns"] / 1e9 or collected_s,
        end=entry["end"],
    )


def restart_exited_processes(monitor: FleetMonitor, node: str) -> None:
    """Restarts the processes of a VM that exited by themselves.

    The exit of a daemon is a failure of the run; that of a backend server is
    expected after a crashing request.
    """
    state = monitor.state
    for name in (
        fault_injection.BACKEND_PREFIX + node,
        fault_injection.DAEMON_PREFIX + node,
    ):
        with state.lock:
            process = state.fleet.processes.get(name)
            code = None if process is None else process.poll()
            if code is None or node in state.down:
                continue
            fault_injection.kill(state, name)
        if name.startswith(fault_injection.DAEMON_PREFIX):
            state.failures.append(
                f"{name} exited unexpectedly with code {code}"
            )
            fault_injection.start_daemon(state, node)
            continue
        state.counts["backend server crashed by a request"] += 1
        collect_final_log(monitor, node)
        crashed_s = max(monitor.vms[node].collected_s, state.started[name][-1])
        if not state.stopping.wait(RESTART_DELAY_S):
            fault_injection.start_backend(state, node)
            fault_injection.record_backend_loss(state, node, crashed_s)


def last_known_leader(monitor: FleetMonitor, service: str) -> str | None:
    """Returns the node that led a service's cell at its last poll, or None."""
    for node, observations in monitor.vms.items():
        if (
            monitor.state.fleet.vms[node].service == service
            and observations.was_leader
        ):
            return node
    return None


def executions(monitor: FleetMonitor) -> list[audit.Execution]:
    """Returns all executions that were collected."""
    return [
        item
        for observations in monitor.vms.values()
        for item in observations.executions.values()
    ]


def samples(monitor: FleetMonitor) -> list[audit.StatusSample]:
    """Returns all status samples, in order of time for each node."""
    return [
        item
        for observations in monitor.vms.values()
        for item in observations.samples
    ]
