"""The gate: admission control in front of a backend server.

All requests to the backend server pass through its gate. The thread of each
connection calls `admit`. The thread that changes the state of the gate also
decides, under its lock, which waiting requests run next, and wakes only their
threads. One waiting thread, that of `timer_waiter`, also wakes when the
cold-start ramp raises the limit or a suspect's turn ends unused.
"""

import collections
import contextlib
import math
import threading
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator

import attrs

from waxwinglever_admission import quarantine
from waxwinglever_admission import queueing
from waxwinglever_admission import ramp
from waxwinglever_admission import rate_limits
from waxwinglever_model import clock
from waxwinglever_model import exceptions
from waxwinglever_model import limits

# Weight of the newest service time in the moving average.
SERVICE_TIME_ALPHA = 0.1
# After a suspect's turn, ordinary requests get this many times the limit in
# dispatches before the next suspect's turn, if that many are waiting.
ORDINARY_ROUNDS = 2
# Longest time for which ordinary requests are held back while a suspect waits
# for the requests in flight to end. After that they are dispatched again, and
# the suspect waits for its next turn.
MAX_HOLD_S = limits.DEFAULT_TIMEOUT_MS / 1000
# Number of boot ids to remember of replaced processes and of counted crashes.
# Late responses and reports only name recent ones.
MAX_BOOT_IDS = 16
# More than the requests that were in flight at one crash.
MAX_LOST_RUNS = 64
# Classes without a configured weight are treated as this one class, so that
# callers can't grow the state with made-up class names.
OTHER_CLASS = ""

WAITING = "waiting"
RUNNING = "running"
ENDED = "ended"


def validate_weights(_, attribute: attrs.Attribute, value: dict) -> None:
    """Rejects weights that would give a class no share."""
    if not all(weight > 0 for weight in value.values()):
        raise ValueError(f"{attribute.name} must be above 0: {value}")


@attrs.frozen
class Policy:
    """The configured limits of a gate.

    Attributes:
      slots: Requests that the backend server runs at a time.
      queue_limit: Maximum number of waiting requests.
      cold_start_slots: Limit at the beginning of a cold start.
      cold_start_s: Time in which the limit rises to `slots`.
      weights: Relative share of each request class.
    """

    slots: int = attrs.field(validator=attrs.validators.ge(1))
    queue_limit: int = attrs.field(validator=attrs.validators.ge(0))
    cold_start_slots: int = attrs.field(validator=attrs.validators.ge(1))
    cold_start_s: float = attrs.field(validator=attrs.validators.ge(0))
    weights: dict[str, float] = attrs.field(
        factory=dict, validator=validate_weights
    )

    def __attrs_post_init__(self):
        if self.cold_start_slots > self.slots:
            raise ValueError(
                f"cold_start_slots {self.cold_start_slots} is over slots"
                f" {self.slots}"
            )


@attrs.frozen
class RequestInfo:
    """The properties of a request that the gate uses.

    Attributes:
      request_class: Name of its class.
      deadline_s: When the caller stops waiting.
      fingerprint: Identifies the request; the same for all attempts.
      known_chain: Chain of crashes of which its sender knows, see `quarantine`.
    """

    request_class: str
    deadline_s: float
    fingerprint: str
    known_chain: int = 0


@attrs.frozen
class CrashVerdict:
    """The outcome of a crash, to be sent to the service's other daemons.

    Attributes:
      suspects: Fingerprints of requests that may have caused the crash.
      convicted: Fingerprints that are refused permanently from now on.
    """

    suspects: tuple[str, ...] = ()
    convicted: tuple[str, ...] = ()


@attrs.define(eq=False)
class Admission:
    """The state of one request at the gate.

    Attributes:
      request_info: The request.
      request_class: Its class, or OTHER_CLASS if that has no weight.
      latest_start_s: Time from which it is too late to start the request.
      state: WAITING, RUNNING or ENDED.
      woken: Set when the state changed or its thread must poll again.
      queue: The queue in which it waits.
      entry: Its entry in that queue.
      refusal: The error to raise if it was refused while it waited.
      boot_id: Boot id of the backend server at dispatch.
      dispatched_s: When it got its slot.
      known_chain: Its chain of crashes that was known at dispatch.
      crashed: Whether the backend server crashed while it ran.
      cleared: Whether it was a suspect and completed. The caller then reports
        this to the service's other daemons.
    """

    request_info: RequestInfo
    request_class: str
    latest_start_s: float
    state: str = WAITING
    woken: threading.Event = attrs.Factory(threading.Event)
    queue: queueing.Queue | None = None
    entry: queueing.QueueEntry | None = None
    refusal: exceptions.Refusal | None = None
    boot_id: str | None = None
    dispatched_s: float = 0.0
    known_chain: int = 0
    crashed: bool = False
    cleared: bool = False


@attrs.frozen
class Snapshot:
    """A copy of a gate's state for status pages and metrics."""

    limit: int
    rate_limit_per_s: float
    in_flight: int
    waiting: int
    waiting_suspects: int
    suspects: int
    convicted: int
    probing: bool
    draining: bool
    service_s: float


@attrs.define(eq=False)
class Gate:
    """The state of the gate; the functions of this module change it.

    Attributes:
      policy: The configured limits.
      now: The clock.
      boot_id: The backend server's boot id, or None if none was received.
      ramp_start_s: When the current cold start began.
      probing: Whether a connection failed and no boot id was received since.
      draining: Whether new requests are refused.
      running: Requests in flight, oldest first.
      exclusive: The running suspect; nothing else runs beside it.
      ordinary: Waiting requests that are no suspects.
      suspects: Waiting suspects.
      ordinary_left: Ordinary dispatches before the next suspect's turn.
      hold_end_s: When a suspect's turn ends if it has not started by then.
      timer_waiter: The waiting request whose thread wakes at `timer_s`.
      timer_s: When the limit rises next or the hold ends.
      service_s: Moving average of the service time of each class.
      mean_service_s: Moving average of the service time of all requests.
      rate_limit: Limit on the requests a second that the server has named.
      fingerprints: Fingerprints of suspect and convicted requests.
      past_boot_ids: Boot ids that were replaced.
      crashed_boot_ids: Boot ids whose crash was counted.
      lost_runs: Runs under the current boot id whose response was lost, with
        the time of the loss, while no later run was answered.
      report_evidence: Called under the lock with the evidence of each crash,
        and of suspects that complete.
    """

    policy: Policy
    now: Callable[[], float] = clock.boottime_s
    boot_id: str | None = None
    lock: threading.Lock = attrs.Factory(threading.Lock)
    ramp_start_s: float = attrs.Factory(
        lambda self: self.now(), takes_self=True
    )
    probing: bool = False
    draining: bool = False
    running: dict[Admission, None] = attrs.Factory(dict)
    exclusive: Admission | None = None
    ordinary: queueing.Queue = attrs.Factory(
        lambda self: queueing.Queue(self.policy.weights), takes_self=True
    )
    suspects: queueing.Queue = attrs.Factory(
        lambda self: queueing.Queue(self.policy.weights), takes_self=True
    )
    ordinary_left: int = 0
    hold_end_s: float | None = None
    timer_waiter: Admission | None = None
    timer_s: float | None = None
    service_s: dict[str, float] = attrs.Factory(dict)
    mean_service_s: float = 0.0
    rate_limit: rate_limits.RateLimit = attrs.Factory(rate_limits.RateLimit)
    fingerprints: quarantine.Quarantine = attrs.Factory(
        lambda self: quarantine.Quarantine(self.now), takes_self=True
    )
    past_boot_ids: collections.deque[str | None] = attrs.Factory(
        lambda: collections.deque(maxlen=MAX_BOOT_IDS)
    )
    crashed_boot_ids: collections.deque[str | None] = attrs.Factory(
        lambda: collections.deque(maxlen=MAX_BOOT_IDS)
    )
    lost_runs: collections.deque[tuple[Admission, float]] = attrs.Factory(
        lambda: collections.deque(maxlen=MAX_LOST_RUNS)
    )
    report_evidence: Callable[[quarantine.CrashEvidence], None] = attrs.field(
        default=quarantine.discard_evidence
    )


@contextlib.contextmanager
def admit(
    gate: Gate, request_info: RequestInfo, check: Callable[[], None]
) -> Iterator[Admission]:
    """Waits for a slot and holds it while the body runs.

    Args:
      gate: The gate.
      request_info: The request.
      check: Called with the slot held, right before the body; may raise a
        Refusal.

    Yields:
      The admission. A suspect is cleared when the body ends without an
      exception, so the body must raise one if the response was lost.

    Raises:
      Overloaded: The deadline would pass before the request is done, or the
        queue is full.
      RateLimited: The same, because the server limits its requests a second.
      ShareExceeded: The queue is full and the class is over its share.
      Draining: The gate is closed (see `close`).
      Quarantined: The request is convicted of a crash.
    """
    admission = submit(gate, request_info)
    wait_for_slot(gate, admission)
    started_s = None
    completed = False
    not_run = False
    try:
        check()
        started_s = gate.now()
        yield admission
        completed = True
    except exceptions.NotExecuted:
        not_run = True
        raise
    finally:
        service_s = None
        if started_s is not None and not not_run:
            service_s = max(0.0, gate.now() - started_s)
        release_slot(gate, admission, completed, service_s)


def submit(gate: Gate, request_info: RequestInfo) -> Admission:
    """Queues a request and dispatches what can start now.

    Raises:
      Refusal: The request is refused at once; see `admit`.
    """
    with gate.lock:
        now_s = gate.now()
        if request_info.known_chain:
            adopt_chain(gate, request_info)
        if quarantine.is_convicted(gate.fingerprints, request_info.fingerprint):
            raise quarantined_error()
        if gate.draining:
            raise draining_error()
        if rate_limits.is_limited(gate.rate_limit):
            # A waiting request may be due whose thread has not woken yet.
            dispatch(gate)
        weights = gate.policy.weights
        has_weight = request_info.request_class in weights
        request_class = (
            request_info.request_class if has_weight else OTHER_CLASS
        )
        service_s = expected_service_s(gate, request_class)
        admission = Admission(
            request_info, request_class, request_info.deadline_s - service_s
        )
        wait_s = expected_wait_s(gate, admission)
        if now_s + wait_s >= admission.latest_start_s:
            raise unserved_error(gate, "the deadline would pass first", wait_s)
        waiting_count = gate.ordinary.size + gate.suspects.size
        # A request that starts at once doesn't count against the queue limit.
        if waiting_count >= rate_limits.max_waiting(
            gate.rate_limit, gate.policy.queue_limit
        ) and not starts_now(gate, admission):
            displace_or_refuse(gate, admission, wait_s)
        enqueue(gate, admission)
        dispatch(gate)
        return admission


def wait_for_slot(gate: Gate, admission: Admission) -> None:
    """Blocks until the request has a slot.

    Raises:
      Refusal: The request was refused, or its deadline passed.
    """
    while (left_s := poll(gate, admission)) is not None:
        admission.woken.wait(left_s)
    if gate.now() >= admission.request_info.deadline_s:
        # The thread was woken too late.
        release_slot(gate, admission, False, None)
        raise overloaded_error("the deadline passed before dispatch")


def poll(gate: Gate, admission: Admission) -> float | None:
    """Returns after how many seconds a request's thread must poll again.

    Returns:
      None if the request has a slot. Otherwise its thread waits for that time
      or until `woken` is set.

    Raises:
      Refusal: The request was refused.
    """
    with gate.lock:
        now_s = gate.now()
        if admission.state == WAITING and now_s >= admission.latest_start_s:
            refuse(
                gate,
                admission,
                unserved_error(gate, "no slot was free in time"),
            )
            dispatch(gate)
        elif gate.timer_waiter is admission:
            dispatch(gate)
        admission.woken.clear()
        if admission.refusal is not None:
            raise admission.refusal
        if admission.state == RUNNING:
            return None
        until_s = admission.latest_start_s
        if gate.timer_waiter is admission and gate.timer_s is not None:
            until_s = min(until_s, gate.timer_s)
        return max(0.0, until_s - now_s)


def release_slot(
    gate: Gate, admission: Admission, completed: bool, service_s: float | None
) -> None:
    """Frees the slot of a request.

    Args:
      gate: The gate.
      admission: A request that has a slot.
      completed: Whether the body of `admit` ended without an exception.
      service_s: How long it ran, or None when it did not run.
    """
    with gate.lock:
        del gate.running[admission]
        admission.state = ENDED
        if gate.exclusive is admission:
            gate.exclusive = None
            end_suspect_turn(gate)
        fingerprint = admission.request_info.fingerprint
        if completed and not admission.crashed:
            if quarantine.is_suspect(gate.fingerprints, fingerprint):
                admission.cleared = True
                report_completed(gate, admission)
            quarantine.clear_suspects(gate.fingerprints, [fingerprint])
            forget_lost_runs(gate, admission.dispatched_s)
        if service_s is not None:
            record_service_time(gate, admission.request_class, service_s)
        dispatch(gate)


def record_boot_id(gate: Gate, boot_id: str) -> None:
    """Records the boot id in an announcement or response.

    A new boot id restarts the ramp. The current one after a connection failure
    shows that the backend server did not restart, and ends the probing.
    """
    with gate.lock:
        if boot_id in gate.past_boot_ids:
            # A late response from a process that has ended.
            return
        if boot_id == gate.boot_id and not gate.probing:
            return
        if boot_id != gate.boot_id:
            end_boot(gate)
            gate.past_boot_ids.append(gate.boot_id)
            gate.boot_id = boot_id
            gate.ramp_start_s = gate.now()
        gate.probing = False
        dispatch(gate)


def record_connection_failure(gate: Gate) -> None:
    """Records a connection failure: the limit is 1 until a boot id arrives."""
    with gate.lock:
        gate.probing = True
        dispatch(gate)


def record_crash(gate: Gate) -> CrashVerdict:
    """Records a broken connection to the backend server as a crash.

    It must be called inside the body of `admit`, while the request counts as
    in flight. Every thread whose connection broke reports the same crash. To
    count it once, a report is assigned to the boot id under which the oldest
    request in flight was dispatched.

    Returns:
      The new suspects, or the convicted request if a suspect ran alone; empty
      if the crash was counted before.
    """
    with gate.lock:
        oldest = next(iter(gate.running), None)
        boot_id = gate.boot_id if oldest is None else oldest.boot_id
        affected = [a for a in gate.running if a.boot_id == boot_id]
        for admission in affected:
            admission.crashed = True
        if boot_id == gate.boot_id:
            gate.probing = True
        if boot_id in gate.crashed_boot_ids:
            dispatch(gate)
            return CrashVerdict()
        gate.crashed_boot_ids.append(boot_id)
        gate.lost_runs.clear()
        evidence = add_crash(gate, boot_id, affected)
        verdict = CrashVerdict(*quarantine.split_by_verdict(evidence))
        update_quarantine(gate, verdict.suspects, verdict.convicted, ())
        return verdict


def record_lost_response(gate: Gate, admission: Admission) -> None:
    """Records that a server that can still be reached gave no response.

    It must be called inside the body of `admit`. If the server turns out to
    have restarted, this run counts as in flight at its crash.
    """
    with gate.lock:
        # After a new boot id, `end_boot` has counted it already.
        if not admission.crashed and admission.boot_id == gate.boot_id:
            gate.lost_runs.append((admission, gate.now()))


def apply_evidence(gate: Gate, evidence: quarantine.CrashEvidence) -> None:
    """Applies the evidence of a crash that another daemon has seen."""
    with gate.lock:
        quarantine.add_evidence(gate.fingerprints, evidence)
        requeue_waiting(gate)


def known_chain(gate: Gate, fingerprint: str) -> int:
    """Returns the known chain of crashes of a request.

    Raises:
      Quarantined: The request is convicted.
    """
    with gate.lock:
        if quarantine.is_convicted(gate.fingerprints, fingerprint):
            raise quarantined_error()
        return quarantine.known_chain(gate.fingerprints, fingerprint)


def apply_crash_report(
    gate: Gate,
    suspects: Iterable[str],
    convicted: Iterable[str],
    cleared: Iterable[str],
) -> None:
    """Applies a crash report of another daemon of the service."""
    with gate.lock:
        update_quarantine(gate, suspects, convicted, cleared)


def set_policy(gate: Gate, policy: Policy) -> None:
    """Replaces the configured limits; requests in flight go on.

    A ramp in progress keeps its start time and uses the new values.
    """
    with gate.lock:
        gate.policy = policy
        gate.ordinary.weights = policy.weights
        gate.suspects.weights = policy.weights
        dispatch(gate)


def set_rate_limit(gate: Gate, rate_per_s: float | None) -> None:
    """Sets the requests a second that the server takes; None for no limit.

    Requests that wait already are started at the new rate.
    """
    with gate.lock:
        rate_limits.set_rate(gate.rate_limit, rate_per_s, gate.now())
        dispatch(gate)


def close(gate: Gate) -> None:
    """Refuses new and waiting requests; requests in flight go on."""
    with gate.lock:
        gate.draining = True
        for admission in waiting_admissions(gate):
            refuse(gate, admission, draining_error())


def snapshot(gate: Gate) -> Snapshot:
    """Returns a copy of the gate's state."""
    with gate.lock:
        return Snapshot(
            limit=limit(gate),
            rate_limit_per_s=gate.rate_limit.rate_per_s,
            in_flight=len(gate.running),
            waiting=gate.ordinary.size,
            waiting_suspects=gate.suspects.size,
            suspects=len(gate.fingerprints.suspects),
            convicted=len(gate.fingerprints.convicted),
            probing=gate.probing,
            draining=gate.draining,
            service_s=gate.mean_service_s,
        )


# The caller of the functions below must hold the lock.


def adopt_chain(gate: Gate, request_info: RequestInfo) -> None:
    """Adds the crashes of a request of which only its sender knows."""
    fingerprint = request_info.fingerprint
    known = quarantine.known_chain(gate.fingerprints, fingerprint)
    if request_info.known_chain > known:
        quarantine.add_evidence(
            gate.fingerprints,
            quarantine.CrashEvidence(
                "", {fingerprint: request_info.known_chain}
            ),
        )


def add_crash(
    gate: Gate, boot_id: str | None, affected: Iterable[Admission]
) -> quarantine.CrashEvidence:
    """Adds and reports the evidence of a crash; returns it.

    Args:
      gate: The gate.
      boot_id: Boot id of the process that crashed.
      affected: The runs that were in flight.
    """
    evidence = quarantine.make_evidence(
        boot_id or "",
        [(a.request_info.fingerprint, a.known_chain) for a in affected],
    )
    if evidence.chains:
        quarantine.add_evidence(gate.fingerprints, evidence)
        gate.report_evidence(evidence)
    return evidence


def report_completed(gate: Gate, admission: Admission) -> None:
    """Reports that a suspect completed, if others suspect it as well."""
    fingerprint = admission.request_info.fingerprint
    history = quarantine.find_history(gate.fingerprints, fingerprint)
    if history is not None and len(history.boot_ids) > 1:
        gate.report_evidence(
            quarantine.CrashEvidence(
                admission.boot_id or "", {fingerprint: quarantine.COMPLETED}
            )
        )


def end_boot(gate: Gate) -> None:
    """Counts a crash of the current process that was not noticed before.

    The process has ended, and its last runs had no response.
    """
    affected = [admission for admission, _ in gate.lost_runs]
    gate.lost_runs.clear()
    for admission in gate.running:
        if admission.boot_id == gate.boot_id and admission not in affected:
            affected.append(admission)
    for admission in affected:
        admission.crashed = True
    if affected and gate.boot_id not in gate.crashed_boot_ids:
        gate.crashed_boot_ids.append(gate.boot_id)
        add_crash(gate, gate.boot_id, affected)
        requeue_waiting(gate)


def forget_lost_runs(gate: Gate, dispatched_s: float) -> None:
    """Forgets lost runs after which the server answered another one.

    Args:
      gate: The gate.
      dispatched_s: When the run that was answered was dispatched.
    """
    while gate.lost_runs and gate.lost_runs[0][1] <= dispatched_s:
        gate.lost_runs.popleft()


def limit(gate: Gate) -> int:
    """Returns how many requests may be in flight now."""
    if gate.probing:
        return 1
    policy = gate.policy
    return ramp.limit_at(
        gate.now(),
        gate.ramp_start_s,
        policy.cold_start_slots,
        policy.slots,
        policy.cold_start_s,
    )


def expected_service_s(gate: Gate, request_class: str) -> float:
    """Returns the expected service time of a new request of a class.

    It is 0 while no request of the class is in flight or waiting. Otherwise an
    estimate so long that it refuses every request would never be corrected.
    """
    is_class_active = queueing.count(gate.ordinary, request_class) or any(
        a.request_class == request_class for a in gate.running
    )
    return gate.service_s.get(request_class, 0.0) if is_class_active else 0.0


def expected_wait_s(gate: Gate, admission: Admission) -> float:
    """Returns how long a new request is expected to wait.

    It assumes the current limit, so it is too long during a cold start.
    """
    if starts_now(gate, admission):
        return 0.0
    return max(
        expected_slot_wait_s(gate, admission),
        expected_rate_wait_s(gate, admission),
    )


def expected_rate_wait_s(gate: Gate, admission: Admission) -> float:
    """Returns how long the rate limit is expected to delay a new request."""
    if is_suspect(gate, admission):
        ahead = gate.suspects.size
    else:
        ahead = queueing.expected_ahead(
            gate.ordinary,
            admission.request_class,
            admission.request_info.deadline_s,
        )
    now_s = gate.now()
    return rate_limits.next_start_s(gate.rate_limit, now_s, ahead) - now_s


def expected_slot_wait_s(gate: Gate, admission: Admission) -> float:
    """Returns how long a new request is expected to wait for a slot."""
    if is_suspect(gate, admission):
        return gate.mean_service_s * (gate.suspects.size + 1)
    position = 1 + queueing.expected_ahead(
        gate.ordinary,
        admission.request_class,
        admission.request_info.deadline_s,
    )
    return gate.mean_service_s * position / limit(gate)


def starts_now(gate: Gate, admission: Admission) -> bool:
    """Returns whether a new request would get a slot at once."""
    if gate.exclusive is not None or gate.ordinary.size or gate.suspects.size:
        return False
    if not has_token(gate):
        return False
    if is_suspect(gate, admission):
        return not gate.running and not gate.probing
    return len(gate.running) < limit(gate)


def is_rate_limited(gate: Gate) -> bool:
    """Returns whether the rate limit, not the slots, holds requests back."""
    return rate_limits.is_limited(gate.rate_limit) and not has_token(gate)


def has_token(gate: Gate) -> bool:
    """Returns whether the rate limit lets a request start now."""
    now_s = gate.now()
    return rate_limits.next_start_s(gate.rate_limit, now_s) <= now_s


def is_suspect(gate: Gate, admission: Admission) -> bool:
    """Returns whether a request must run alone."""
    return quarantine.is_suspect(
        gate.fingerprints, admission.request_info.fingerprint
    )


def displace_or_refuse(gate: Gate, admission: Admission, wait_s: float) -> None:
    """Makes room in a full queue for a new request, or refuses it.

    It displaces a waiting request of a class that is over its share.

    Raises:
      ShareExceeded: No request was displaced, and the class of the new request
        is over its share.
      Overloaded: No request was displaced, and the class is within its share.
    """
    request_class = admission.request_class
    entry = queueing.choose_displaced(gate.ordinary, request_class)
    if entry is not None:
        refuse(gate, entry.item, share_exceeded_error(gate, entry.item, wait_s))
        return
    if len(gate.ordinary.entries) > 1 and queueing.count(
        gate.ordinary, request_class
    ) >= gate.ordinary.size * queueing.share(gate.ordinary, request_class):
        raise share_exceeded_error(gate, admission, wait_s)
    raise unserved_error(gate, "the queue is full", wait_s)


def select_queue(gate: Gate, admission: Admission) -> queueing.Queue:
    """Returns the queue for a request: suspects wait apart from the others."""
    return gate.suspects if is_suspect(gate, admission) else gate.ordinary


def enqueue(gate: Gate, admission: Admission) -> None:
    """Adds a request to the queue that `select_queue` returns."""
    admission.queue = select_queue(gate, admission)
    admission.entry = queueing.push(
        admission.queue,
        admission.request_class,
        admission.request_info.deadline_s,
        admission,
    )


def dequeue(admission: Admission) -> None:
    """Removes a waiting request from its queue."""
    queueing.remove(admission.queue, admission.entry)
    admission.queue = admission.entry = None


def refuse(
    gate: Gate, admission: Admission, refusal: exceptions.Refusal
) -> None:
    """Ends a waiting request with an error and wakes its thread."""
    if admission.queue is gate.suspects and gate.ordinary_left <= 0:
        # Ends the suspect's turn although it did not run. Otherwise a stream of
        # suspects that never run would hold back ordinary requests forever.
        end_suspect_turn(gate)
    dequeue(admission)
    admission.state = ENDED
    admission.refusal = refusal
    admission.woken.set()


def waiting_admissions(gate: Gate) -> list[Admission]:
    """Returns all waiting requests."""
    return [
        entry.item
        for queue in (gate.ordinary, gate.suspects)
        for class_entries in queue.entries.values()
        for entry in class_entries
    ]


def dispatch(gate: Gate) -> None:
    """Grants free slots to waiting requests in the order of the queue."""
    while (queue := next_queue(gate)) is not None:
        admission = queueing.head(queue).item
        if gate.now() >= admission.latest_start_s:
            late = unserved_error(gate, "no slot was free in time")
            refuse(gate, admission, late)
        elif queue is not select_queue(gate, admission):
            # Its suspicion expired while it waited.
            dequeue(admission)
            enqueue(gate, admission)
        else:
            grant(gate, queue, admission)
    schedule_timer(gate)


def next_queue(gate: Gate) -> queueing.Queue | None:
    """Returns the queue whose head may start now, or None.

    No suspect starts while probing: without a boot id, a crash that it causes
    could not be distinguished from the previous one.
    """
    if gate.exclusive is not None:
        return None
    if gate.hold_end_s is not None and gate.now() >= gate.hold_end_s:
        end_suspect_turn(gate)
    if gate.suspects.size and not gate.probing:
        if gate.ordinary_left <= 0 or not gate.ordinary.size:
            # The suspects' turn lasts until the requests in flight end.
            gate.ordinary_left = 0
            if not gate.running:
                return gate.suspects if has_token(gate) else None
            if gate.hold_end_s is None and gate.ordinary.size:
                gate.hold_end_s = gate.now() + MAX_HOLD_S
            return None
    if (
        gate.ordinary.size
        and len(gate.running) < limit(gate)
        and has_token(gate)
    ):
        return gate.ordinary
    return None


def end_suspect_turn(gate: Gate) -> None:
    """Ends a suspect's turn, so that ordinary requests are dispatched."""
    gate.ordinary_left = ORDINARY_ROUNDS * limit(gate)
    gate.hold_end_s = None


def grant(gate: Gate, queue: queueing.Queue, admission: Admission) -> None:
    """Grants a slot to a waiting request and wakes its thread."""
    dequeue(admission)
    queueing.charge(queue, admission.request_class)
    admission.state = RUNNING
    rate_limits.take(gate.rate_limit, gate.now())
    admission.boot_id = gate.boot_id
    admission.dispatched_s = gate.now()
    admission.known_chain = quarantine.known_chain(
        gate.fingerprints, admission.request_info.fingerprint
    )
    gate.running[admission] = None
    if queue is gate.suspects:
        gate.exclusive = admission
        gate.hold_end_s = None
        # A suspect that another daemon has reported may have no history here.
        admission.known_chain = max(1, admission.known_chain)
    else:
        gate.ordinary_left -= 1
    if len(gate.running) > limit(gate):
        raise AssertionError(
            f"{len(gate.running)} in flight is over the limit {limit(gate)}"
        )
    if gate.exclusive is not None and len(gate.running) != 1:
        raise AssertionError("a suspect does not run alone")
    admission.woken.set()


def schedule_timer(gate: Gate) -> None:
    """Chooses the waiting thread that wakes at the next timed change.

    That is the next rise of the limit, the end of a hold or the next start that
    the rate limit allows.
    """
    policy = gate.policy
    times_s = []
    if gate.ordinary.size and not gate.probing:
        rise_s = ramp.next_step_s(
            gate.now(),
            gate.ramp_start_s,
            policy.cold_start_slots,
            policy.slots,
            policy.cold_start_s,
        )
        if rise_s is not None:
            times_s.append(rise_s)
    if gate.hold_end_s is not None and gate.ordinary.size:
        times_s.append(gate.hold_end_s)
    waiting = gate.ordinary if gate.ordinary.size else gate.suspects
    if waiting.size and not has_token(gate):
        times_s.append(rate_limits.next_start_s(gate.rate_limit, gate.now()))
    timer_s = min(times_s, default=None)
    waiter = gate.timer_waiter
    if timer_s is None:
        gate.timer_waiter = None
    elif waiter is None or waiter.entry is None or timer_s != gate.timer_s:
        if waiter is None or waiter.entry is None:
            waiter = queueing.head(waiting).item
        gate.timer_waiter = waiter
        waiter.woken.set()
    gate.timer_s = timer_s


def record_service_time(
    gate: Gate, request_class: str, service_s: float
) -> None:
    """Updates the moving averages with a service time."""
    old_s = gate.service_s.get(request_class, service_s)
    gate.service_s[request_class] = old_s + SERVICE_TIME_ALPHA * (
        service_s - old_s
    )
    mean_s = gate.mean_service_s or service_s
    gate.mean_service_s = mean_s + SERVICE_TIME_ALPHA * (service_s - mean_s)


def update_quarantine(
    gate: Gate,
    suspects: Iterable[str],
    convicted: Iterable[str],
    cleared: Iterable[str],
) -> None:
    """Updates the quarantine, then requeues or refuses waiting requests."""
    table = gate.fingerprints
    quarantine.add_suspects(table, suspects)
    quarantine.add_convicted(table, convicted)
    quarantine.clear_suspects(table, cleared)
    requeue_waiting(gate)


def requeue_waiting(gate: Gate) -> None:
    """Requeues or refuses waiting requests after a change of the quarantine."""
    table = gate.fingerprints
    for admission in waiting_admissions(gate):
        if quarantine.is_convicted(table, admission.request_info.fingerprint):
            refuse(gate, admission, quarantined_error())
        else:
            dequeue(admission)
            enqueue(gate, admission)
    dispatch(gate)


def overloaded_error(reason: str, wait_s: float = 0.0) -> exceptions.Overloaded:
    """Returns the refusal of a request that can't be served in time."""
    return exceptions.Overloaded(
        f"the backend server is overloaded: {reason}",
        "try again later, or with a longer timeout",
        retry_after_ms=int(wait_s * 1000),
    )


def unserved_error(
    gate: Gate, reason: str, wait_s: float = 0.0
) -> exceptions.Overloaded | exceptions.RateLimited:
    """Returns the refusal of a request for which there is no room."""
    if not is_rate_limited(gate):
        return overloaded_error(reason, wait_s)
    delay_s = rate_limits.return_delay_s(
        gate.rate_limit,
        gate.now(),
        gate.ordinary.size + gate.suspects.size,
    )
    return exceptions.RateLimited(
        f"the backend server takes {gate.rate_limit.rate_per_s:g} requests a"
        f" second: {reason}",
        "try again after the given time",
        retry_after_ms=math.ceil(delay_s * 1000),
    )


def share_exceeded_error(
    gate: Gate, admission: Admission, wait_s: float
) -> exceptions.NotExecuted:
    """Returns the refusal of a request whose class is over its share."""
    request_class = admission.request_info.request_class
    reason = f"class {request_class!r} is over its share of a full queue"
    if is_rate_limited(gate):
        return unserved_error(gate, reason)
    return exceptions.ShareExceeded(
        reason,
        "send fewer requests of this class, or raise its weight",
        retry_after_ms=int(wait_s * 1000),
    )


def draining_error() -> exceptions.Draining:
    """Returns the refusal of a closed gate."""
    return exceptions.Draining(
        "this node accepts no new requests",
        "send the request again; another node takes over",
        retry_after_ms=0,
    )


def quarantined_error() -> exceptions.Quarantined:
    """Returns the refusal of a convicted request."""
    return exceptions.Quarantined(
        "this request crashed one backend server after the other",
        "do not send it again; report it to the operators of the service",
    )
