"""Watches the daemons and collects the execution logs of a fleet.

One thread for each VM asks its daemon for the status and its backend server
for the log, and starts a backend server that crashed again.
"""

import threading

import attrs
import urllib3

from waxwinglever_bench import audit
from waxwinglever_bench import fleet as fleets
from waxwinglever_bench import injection
from waxwinglever_model import clock

INTERVAL_S = 0.3
RESTART_S = 0.4
# Requests of a service without keys are told apart by this kind of key.
ONCE = "once-"


@attrs.define(eq=False)
class Collected:
    """What was collected of one VM; `lock` guards it.

    Attributes:
      boot_id: Life of the backend server that the log is of.
      sequence: Last entry collected of that life.
      at_s: When the log was collected last.
      executions: By life and call id.
      running: Executions of the present life that had not ended.
      samples: Status of the daemon.
      leads: Whether the daemon led its cell when it was asked last.
      lost_s: Time before kills and crashes of which the log is lost, in all.
    """

    boot_id: str = ""
    sequence: int = 0
    at_s: float = 0.0
    executions: dict[tuple[str, str], audit.Execution] = attrs.Factory(dict)
    running: set[tuple[str, str]] = attrs.Factory(set)
    samples: list[audit.StatusSample] = attrs.Factory(list)
    leads: bool = False
    lost_s: float = 0.0
    lock: threading.Lock = attrs.Factory(threading.Lock)


@attrs.define(eq=False)
class Watch:
    """All that is collected of a fleet.

    Attributes:
      state: The fleet under faults.
      vms: What was collected, by node.
    """

    state: injection.SoakState
    vms: dict[str, Collected] = attrs.Factory(dict)


def new_watch(state: injection.SoakState) -> Watch:
    """Returns a watch that has collected nothing."""
    return Watch(state, {name: Collected() for name in state.fleet.vms})


def run_vm(watch: Watch, node: str) -> None:
    """Watches one VM until the run ends."""
    state = watch.state
    while not state.stopping.wait(INTERVAL_S):
        take_sample(watch, node)
        collect(watch, node)
        replace_ended(watch, node)


def take_sample(watch: Watch, node: str) -> dict:
    """Notes which generation the daemon obeys, and returns its status."""
    at_s = clock.boottime_s()
    try:
        status = fleets.status(watch.state.fleet, node)
    except ValueError:
        status = {}
    watch.vms[node].leads = bool((status.get("cell") or {}).get("is_leader"))
    if status:
        tenant = watch.state.fleet.vms[node].tenant
        watch.vms[node].samples.append(
            audit.StatusSample(
                at_s,
                node,
                status["incarnation"],
                status["generations"].get(tenant, 0),
            )
        )
    return status


def collect(watch: Watch, node: str) -> bool:
    """Collects the log of a VM's backend server; returns whether it could."""
    collected = watch.vms[node]
    with collected.lock:
        try:
            log = fetch(watch.state.fleet, node, collected.sequence)
            if log["boot_id"] != collected.boot_id:
                # The runs of the earlier life were last seen at at_s.
                collected.running.clear()
                collected.sequence = 0
                log = fetch(watch.state.fleet, node, 0)
                collected.boot_id = log["boot_id"]
        except (urllib3.exceptions.HTTPError, ValueError, KeyError):
            return False
        collected.at_s = clock.boottime_s()
        for entry in log["executions"]:
            ref = (log["boot_id"], entry["call_id"])
            collected.executions[ref] = execution(node, entry, 0.0)
            collected.sequence = max(collected.sequence, entry["sequence"])
        collected.running = set()
        for entry in log["running"]:
            ref = (log["boot_id"], entry["call_id"])
            collected.executions[ref] = execution(node, entry, collected.at_s)
            collected.running.add(ref)
        return True


def collect_last(watch: Watch, node: str) -> None:
    """Collects the log before a kill, or notes since when it is lost."""
    if not collect(watch, node):
        collected = watch.vms[node]
        if collected.at_s:
            collected.lost_s += clock.boottime_s() - collected.at_s


def fetch(fleet: fleets.Fleet, node: str, after: int) -> dict:
    """Returns the log of a backend server after an entry."""
    address = fleet.vms[node].backend_address
    answer = fleet.http.request(
        "GET", f"http://{address}/_backend/log?after={after}", timeout=1.0
    )
    return answer.json()


def execution(node: str, entry: dict, seen_s: float) -> audit.Execution:
    """Returns an entry of a log; one that runs ends when it was seen."""
    is_once = entry["epoch"] is None and entry["key"].startswith(ONCE)
    return audit.Execution(
        server=node,
        call_id=entry["call_id"],
        identity=entry["request_id"] or (entry["key"] if is_once else ""),
        key=entry["key"],
        epoch=entry["epoch"],
        began_s=entry["start_ns"] / 1e9,
        ended_s=entry["end_ns"] / 1e9 or seen_s,
        end=entry["end"],
    )


def replace_ended(watch: Watch, node: str) -> None:
    """Starts a backend server that crashed again; reports an ended daemon."""
    state = watch.state
    for name in (
        injection.BACKEND_PREFIX + node,
        injection.DAEMON_PREFIX + node,
    ):
        with state.lock:
            process = state.fleet.processes.get(name)
            code = None if process is None else process.poll()
            if code is None or node in state.down:
                continue
            injection.kill(state, name)
        if name.startswith(injection.DAEMON_PREFIX):
            state.failures.append(f"{name} ended by itself with {code}")
            injection.start_daemon(state, node)
            continue
        state.counts["backend server crashed by a request"] += 1
        collect_last(watch, node)
        crashed_s = max(watch.vms[node].at_s, state.started[name][-1])
        if not state.stopping.wait(RESTART_S):
            injection.start_backend(state, node)
            injection.record_backend_loss(state, node, crashed_s)


def leader_of(watch: Watch, service: str) -> str | None:
    """Returns a node that led the cell of a service of late, or None."""
    for node, collected in watch.vms.items():
        if watch.state.fleet.vms[node].service == service and collected.leads:
            return node
    return None


def executions(watch: Watch) -> list[audit.Execution]:
    """Returns all executions that were collected."""
    return [
        item
        for collected in watch.vms.values()
        for item in collected.executions.values()
    ]


def samples(watch: Watch) -> list[audit.StatusSample]:
    """Returns all samples, in order for each node."""
    return [
        item for collected in watch.vms.values() for item in collected.samples
    ]
