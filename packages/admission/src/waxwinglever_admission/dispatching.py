"""Decides which waiting requests of a gate run next, and refuses others.

The caller of all functions must hold the lock of the gate.
"""

from collections.abc import Iterable

from waxwinglever_admission import bands
from waxwinglever_admission import estimates
from waxwinglever_admission import gate_state
from waxwinglever_admission import overload
from waxwinglever_admission import quarantine
from waxwinglever_admission import queueing
from waxwinglever_admission import ramp
from waxwinglever_admission import rate_limits
from waxwinglever_admission import refusals
from waxwinglever_model import exceptions
from waxwinglever_model import limits

# Weight of the newest service time in the moving average.
SERVICE_TIME_ALPHA = 0.1
# After a suspect's turn, ordinary requests get this many times the limit in
# dispatches before the next suspect's turn, if that many are waiting.
ORDINARY_ROUNDS = 2
# Interval at which slots that are kept for more urgent classes are looked at.
RESERVED_S = 0.25
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
    is_class_active = (
        queueing.count(gate.ordinary, request_class)
        or bands.is_waiting(gate.banded, request_class)
        or any(a.request_class == request_class for a in gate.running)
    )
    if not is_class_active:
        return 0.0
    if gate.policy.band_settings is not None:
        return estimates.mean_s(gate.banded.service_times, request_class)
    return gate.service_s.get(request_class, 0.0)


def expected_wait_s(
    gate: gate_state.Gate, admission: gate_state.Admission
) -> float:
    """Returns how long a new request is expected to wait.

    It assumes the current limit, so it is too long during a cold start.
    """
    if starts_now(gate, admission):
        return 0.0
    slot_wait_s = expected_slot_wait_s(gate, admission)
    if not rate_limits.is_limited(gate.rate_limit):
        return slot_wait_s
    return max(slot_wait_s, expected_rate_wait_s(gate, admission))


def expected_rate_wait_s(
    gate: gate_state.Gate, admission: gate_state.Admission
) -> float:
    """Returns how long the rate limit is expected to delay a new request."""
    if is_suspect(gate, admission):
        ahead = gate.suspects.size
    else:
        ahead = expected_ahead(gate, admission)
    now_s = gate.now()
    return rate_limits.next_start_s(gate.rate_limit, now_s, ahead) - now_s


def expected_slot_wait_s(
    gate: gate_state.Gate, admission: gate_state.Admission
) -> float:
    """Returns how long a new request is expected to wait for a slot."""
    if is_suspect(gate, admission):
        return gate.mean_service_s * (gate.suspects.size + 1)
    position = 1 + expected_ahead(gate, admission)
    return gate.mean_service_s * position / limit(gate)


def expected_ahead(
    gate: gate_state.Gate, admission: gate_state.Admission
) -> float:
    """Returns how many ordinary requests are expected to run before one."""
    if admission.place is not None:
        return bands.expected_ahead(gate.banded, admission.place, gate.now())
    return queueing.expected_ahead(
        gate.ordinary,
        admission.request_class,
        admission.request_info.deadline_s,
    )


def ordinary_size(gate: gate_state.Gate) -> int:
    """Returns how many requests wait that are no suspects."""
    return gate.ordinary.size + bands.size(gate.banded)


def starts_now(gate: gate_state.Gate, admission: gate_state.Admission) -> bool:
    """Returns whether a new request would get a slot at once."""
    if gate.exclusive is not None or gate.suspects.size:
        return False
    if admission.place is None and ordinary_size(gate):
        return False
    if not refusals.has_token(gate):
        return False
    if is_suspect(gate, admission):
        return not gate.running and not gate.probing
    slots = limit(gate)
    if len(gate.running) >= slots:
        return False
    # Under overload control, requests that wait beside a free slot may not take
    # it, as it is reserved for more urgent ones.
    return admission.place is None or bands.is_open(
        gate.banded,
        gate.policy.band_settings,
        admission.place.request_class[0],
        slots,
        gate.now(),
    )


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
    if admission.place is not None:
        shed_or_refuse(gate, admission)
        return
    request_class = admission.request_class
    entry = queueing.choose_displaced(gate.ordinary, request_class)
    if entry is not None:
        refuse(
            gate,
            entry.item,
            refusals.share_exceeded_error(gate, entry.item, wait_s),
        )
        return
    if len(gate.ordinary.entries) > 1 and queueing.count(
        gate.ordinary, request_class
    ) >= gate.ordinary.size * queueing.share(gate.ordinary, request_class):
        raise refusals.share_exceeded_error(gate, admission, wait_s)
    raise refusals.unserved_error(gate, "the queue is full", wait_s)


def shed_or_refuse(
    gate: gate_state.Gate, admission: gate_state.Admission
) -> None:
    """Sheds a request from a full queue under overload control.

    Raises:
      Overloaded: The new request is the one to shed.
    """
    place = bands.choose_shed(
        gate.banded, gate.policy.band_settings, admission.place, gate.now()
    )
    if place is None:
        overload.count_shed(gate, admission, overload.SHED_NEW)
        raise no_room_error(gate, admission, "the queue is full")
    late = place.queue is gate.banded.late
    overload.count_shed(
        gate,
        place.item,
        overload.SHED_LATE if late else overload.SHED_LESS_URGENT,
    )
    refuse(
        gate,
        place.item,
        no_room_error(
            gate, place.item, "the queue is full of more urgent requests"
        ),
    )


def register(gate: gate_state.Gate, admission: gate_state.Admission) -> None:
    """Gives a new request its place under overload control.

    Raises:
      Overloaded: Its caller returns before its time, and there is no room.
    """
    if is_suspect(gate, admission):
        return
    if overload.register(gate, admission, limit(gate)):
        return
    if not starts_now(gate, admission):
        overload.count_shed(gate, admission, overload.SHED_EARLY)
        raise no_room_error(gate, admission, "its time to return has not come")


def no_room_error(
    gate: gate_state.Gate,
    admission: gate_state.Admission,
    reason: str,
    wait_s: float = 0.0,
) -> exceptions.Refusal:
    """Returns the refusal of a request for which there is no room."""
    if gate.policy.band_settings is None:
        return refusals.unserved_error(gate, reason, wait_s)
    return overload.no_room_error(gate, admission, reason, limit(gate))


def unserved_error(
    gate: gate_state.Gate,
    admission: gate_state.Admission,
    reason: str,
    wait_s: float = 0.0,
) -> exceptions.Refusal:
    """Returns the refusal of a request that can't end by its deadline."""
    if gate.policy.band_settings is not None:
        overload.count_shed(gate, admission, overload.SHED_DEADLINE)
    return no_room_error(gate, admission, reason, wait_s)


def select_queue(
    gate: gate_state.Gate, admission: gate_state.Admission
) -> queueing.Queue:
    """Returns the queue for a request: suspects wait apart from the others."""
    return gate.suspects if is_suspect(gate, admission) else gate.ordinary


def enqueue(gate: gate_state.Gate, admission: gate_state.Admission) -> None:
    """Adds a request to the queue that `select_queue` returns."""
    admission.queue = select_queue(gate, admission)
    is_banded = gate.policy.band_settings is not None
    if admission.queue is gate.ordinary and is_banded:
        if admission.place is None:
            overload.register(gate, admission, limit(gate))
        bands.push(gate.banded, admission.place, gate.now())
        return
    admission.entry = queueing.push(
        admission.queue,
        admission.request_class,
        admission.request_info.deadline_s,
        admission,
    )


def dequeue(admission: gate_state.Admission) -> None:
    """Removes a waiting request from its queue."""
    if admission.entry is not None:
        queueing.remove(admission.queue, admission.entry)
    elif admission.place.queue is not None:
        bands.remove(admission.place)
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
    waiting = [
        entry.item
        for queue in (gate.ordinary, gate.suspects)
        for class_entries in queue.entries.values()
        for entry in class_entries
    ]
    return waiting + [
        entry.item.item
        for queue in (gate.banded.timely, gate.banded.late)
        for class_entries in queue.entries.values()
        for entry in class_entries
    ]


def dispatch(gate: gate_state.Gate) -> None:
    """Grants free slots to waiting requests in the order of the queue."""
    while (queue := next_queue(gate)) is not None:
        admission = next_admission(gate, queue)
        if admission is None:
            break
        if gate.now() >= admission.latest_start_s:
            late = unserved_error(gate, admission, "no slot was free in time")
            refuse(gate, admission, late)
        elif queue is not select_queue(gate, admission):
            # Its suspicion expired while it waited.
            dequeue(admission)
            enqueue(gate, admission)
        else:
            grant(gate, queue, admission)
    schedule_timer(gate)


def next_admission(
    gate: gate_state.Gate, queue: queueing.Queue
) -> gate_state.Admission | None:
    """Returns the request of a queue that runs next, or None if none may."""
    settings = gate.policy.band_settings
    if queue is gate.ordinary and settings is not None:
        place = bands.choose(gate.banded, settings, limit(gate), gate.now())
        return place.item if place is not None else None
    return queueing.head(queue).item


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
        if gate.ordinary_left <= 0 or not ordinary_size(gate):
            # The suspects' turn lasts until the requests in flight end.
            gate.ordinary_left = 0
            if not gate.running:
                return gate.suspects if refusals.has_token(gate) else None
            if gate.hold_end_s is None and ordinary_size(gate):
                gate.hold_end_s = gate.now() + MAX_HOLD_S
            return None
    if (
        ordinary_size(gate)
        and len(gate.running) < limit(gate)
        and refusals.has_token(gate)
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
    if queue is gate.ordinary and admission.entry is None:
        bands.start(gate.banded, admission.place, gate.now())
        admission.holds_level = True
    else:
        queueing.charge(queue, admission.request_class)
    dequeue(admission)
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
    waiting = ordinary_size(gate)
    if waiting and not gate.probing:
        rise_s = ramp.next_step_s(
            gate.now(),
            gate.ramp_start_s,
            policy.cold_start_slots,
            policy.slots,
            policy.cold_start_s,
        )
        if rise_s is not None:
            times_s.append(rise_s)
    if gate.hold_end_s is not None and waiting:
        times_s.append(gate.hold_end_s)
    if bands.size(gate.banded) and len(gate.running) < limit(gate):
        # Slots are kept for more urgent classes, whose demand decays.
        is_set = gate.timer_s is not None and gate.timer_s > gate.now()
        times_s.append(gate.timer_s if is_set else gate.now() + RESERVED_S)
    if (waiting or gate.suspects.size) and not refusals.has_token(gate):
        times_s.append(rate_limits.next_start_s(gate.rate_limit, gate.now()))
    timer_s = min(times_s, default=None)
    waiter = gate.timer_waiter
    if timer_s is None:
        gate.timer_waiter = None
    elif not is_waiting(waiter) or timer_s != gate.timer_s:
        if not is_waiting(waiter):
            waiter = first_waiting(gate)
        gate.timer_waiter = waiter
        waiter.woken.set()
    gate.timer_s = timer_s


def is_waiting(admission: gate_state.Admission | None) -> bool:
    """Returns whether there is a request and it waits."""
    return admission is not None and admission.state == gate_state.WAITING


def first_waiting(gate: gate_state.Gate) -> gate_state.Admission:
    """Returns a waiting request; there must be one."""
    for queue in (gate.banded.timely, gate.banded.late):
        if queue.size:
            return queueing.head(queue).item.item
    queue = gate.ordinary if gate.ordinary.size else gate.suspects
    return queueing.head(queue).item


def record_service_time(
    gate: gate_state.Gate, request_class: str, service_s: float
) -> None:
    """Updates the moving averages with a service time."""
    old_s = gate.service_s.get(request_class, service_s)
    gate.service_s[request_class] = old_s + SERVICE_TIME_ALPHA * (
        service_s - old_s
    )
    if gate.policy.band_settings is not None:
        estimates.record(gate.banded.service_times, request_class, service_s)
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
            refuse(gate, admission, refusals.quarantined_error())
        else:
            dequeue(admission)
            enqueue(gate, admission)
    dispatch(gate)
