"""Decides which waiting requests of a gate run next, and refuses others.

The caller of all functions must hold the lock of the gate.
"""

import math
from collections.abc import Iterable

from waxwinglever_admission import gate_state
from waxwinglever_admission import quarantine
from waxwinglever_admission import queueing
from waxwinglever_admission import ramp
from waxwinglever_admission import rate_limits
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


def limit(gate: gate_state.Gate) -> int:
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


def expected_service_s(gate: gate_state.Gate, request_class: str) -> float:
    """Returns the expected service time of a new request of a class.

    It is 0 while no request of the class is in flight or waiting. Otherwise an
    estimate so long that it refuses every request would never be corrected.
    """
    is_class_active = queueing.count(gate.ordinary, request_class) or any(
        a.request_class == request_class for a in gate.running
    )
    return gate.service_s.get(request_class, 0.0) if is_class_active else 0.0


def expected_wait_s(
    gate: gate_state.Gate, admission: gate_state.Admission
) -> float:
    """Returns how long a new request is expected to wait.

    It assumes the current limit, so it is too long during a cold start.
    """
    if starts_now(gate, admission):
        return 0.0
    return max(
        expected_slot_wait_s(gate, admission),
        expected_rate_wait_s(gate, admission),
    )


def expected_rate_wait_s(
    gate: gate_state.Gate, admission: gate_state.Admission
) -> float:
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


def expected_slot_wait_s(
    gate: gate_state.Gate, admission: gate_state.Admission
) -> float:
    """Returns how long a new request is expected to wait for a slot."""
    if is_suspect(gate, admission):
        return gate.mean_service_s * (gate.suspects.size + 1)
    position = 1 + queueing.expected_ahead(
        gate.ordinary,
        admission.request_class,
        admission.request_info.deadline_s,
    )
    return gate.mean_service_s * position / limit(gate)


def starts_now(gate: gate_state.Gate, admission: gate_state.Admission) -> bool:
    """Returns whether a new request would get a slot at once."""
    if gate.exclusive is not None or gate.ordinary.size or gate.suspects.size:
        return False
    if not has_token(gate):
        return False
    if is_suspect(gate, admission):
        return not gate.running and not gate.probing
    return len(gate.running) < limit(gate)


def is_rate_limited(gate: gate_state.Gate) -> bool:
    """Returns whether the rate limit, not the slots, holds requests back."""
    return rate_limits.is_limited(gate.rate_limit) and not has_token(gate)


def has_token(gate: gate_state.Gate) -> bool:
    """Returns whether the rate limit lets a request start now."""
    now_s = gate.now()
    return rate_limits.next_start_s(gate.rate_limit, now_s) <= now_s


def is_suspect(gate: gate_state.Gate, admission: gate_state.Admission) -> bool:
    """Returns whether a request must run alone."""
    return quarantine.is_suspect(
        gate.fingerprints, admission.request_info.fingerprint
    )


def displace_or_refuse(
    gate: gate_state.Gate, admission: gate_state.Admission, wait_s: float
) -> None:
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


def select_queue(
    gate: gate_state.Gate, admission: gate_state.Admission
) -> queueing.Queue:
    """Returns the queue for a request: suspects wait apart from the others."""
    return gate.suspects if is_suspect(gate, admission) else gate.ordinary


def enqueue(gate: gate_state.Gate, admission: gate_state.Admission) -> None:
    """Adds a request to the queue that `select_queue` returns."""
    admission.queue = select_queue(gate, admission)
    admission.entry = queueing.push(
        admission.queue,
        admission.request_class,
        admission.request_info.deadline_s,
        admission,
    )


def dequeue(admission: gate_state.Admission) -> None:
    """Removes a waiting request from its queue."""
    queueing.remove(admission.queue, admission.entry)
    admission.queue = admission.entry = None


def refuse(
    gate: gate_state.Gate,
    admission: gate_state.Admission,
    refusal: exceptions.Refusal,
) -> None:
    """Ends a waiting request with an error and wakes its thread."""
    if admission.queue is gate.suspects and gate.ordinary_left <= 0:
        # Ends the suspect's turn although it did not run. Otherwise a stream of
        # suspects that never run would hold back ordinary requests forever.
        end_suspect_turn(gate)
    dequeue(admission)
    admission.state = gate_state.ENDED
    admission.refusal = refusal
    admission.woken.set()


def waiting_admissions(gate: gate_state.Gate) -> list[gate_state.Admission]:
    """Returns all waiting requests."""
    return [
        entry.item
        for queue in (gate.ordinary, gate.suspects)
        for class_entries in queue.entries.values()
        for entry in class_entries
    ]


def dispatch(gate: gate_state.Gate) -> None:
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


def next_queue(gate: gate_state.Gate) -> queueing.Queue | None:
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


def end_suspect_turn(gate: gate_state.Gate) -> None:
    """Ends a suspect's turn, so that ordinary requests are dispatched."""
    gate.ordinary_left = ORDINARY_ROUNDS * limit(gate)
    gate.hold_end_s = None


def grant(
    gate: gate_state.Gate,
    queue: queueing.Queue,
    admission: gate_state.Admission,
) -> None:
    """Grants a slot to a waiting request and wakes its thread."""
    dequeue(admission)
    queueing.charge(queue, admission.request_class)
    admission.state = gate_state.RUNNING
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


def schedule_timer(gate: gate_state.Gate) -> None:
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
    gate: gate_state.Gate, request_class: str, service_s: float
) -> None:
    """Updates the moving averages with a service time."""
    old_s = gate.service_s.get(request_class, service_s)
    gate.service_s[request_class] = old_s + SERVICE_TIME_ALPHA * (
        service_s - old_s
    )
    mean_s = gate.mean_service_s or service_s
    gate.mean_service_s = mean_s + SERVICE_TIME_ALPHA * (service_s - mean_s)


def update_quarantine(
    gate: gate_state.Gate,
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


def requeue_waiting(gate: gate_state.Gate) -> None:
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
    gate: gate_state.Gate, reason: str, wait_s: float = 0.0
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
    gate: gate_state.Gate, admission: gate_state.Admission, wait_s: float
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
