"""Overload control at a gate: what `bands` and `returns` decide, applied to it.

The caller of all functions must hold the lock of the gate, and overload control
must be in force.
"""

import math

from waxwinglever_admission import bands
from waxwinglever_admission import gate_state
from waxwinglever_admission import refusals
from waxwinglever_admission import returns
from waxwinglever_model import exceptions

# Reasons for which requests are refused.
SHED_DEADLINE = "deadline"
SHED_NEW = "full"
SHED_LATE = "late"
SHED_LESS_URGENT = "less-urgent"
SHED_EARLY = "early-return"
# Share of the time between its target and its deadline for which a late request
# waits. In the rest of it, a caller that is refused can still return.
LATE_WAIT_SHARE = 0.5


def make_place(
    gate: gate_state.Gate, admission: gate_state.Admission
) -> bands.Place:
    """Returns the place of a request in the bands, before it waits there."""
    request_info = admission.request_info
    target_s = request_info.target_s
    if target_s is None:
        target_s = request_info.deadline_s
    request_class = admission.request_class
    return bands.Place(
        bands.class_of(request_info.priority, request_class),
        bands.target_start_s(
            gate.banded, gate.policy.band_settings, request_class, target_s
        ),
        request_info.deadline_s,
        admission,
    )


def register(
    gate: gate_state.Gate, admission: gate_state.Admission, slots: int
) -> bool:
    """Gives a new request its place; returns whether it may take room now.

    Args:
      gate: The gate.
      admission: The request, which does not wait yet.
      slots: Number of requests that may run at a time.

    Returns:
      False if its caller was refused before and comes before its time.
    """
    now_s = gate.now()
    request_info = admission.request_info
    arrival, promise = returns.check(
        gate.promises, request_info.fingerprint, request_info.deadline_s, now_s
    )
    place = admission.place = make_place(gate, admission)
    admission.target_s = request_info.target_s
    if promise is not None and request_info.target_s is not None:
        # Its target began with its first attempt.
        place.target_start_s -= max(
            0.0, request_info.target_s - promise.target_s
        )
        admission.target_s = min(request_info.target_s, promise.target_s)
    late_s = max(now_s, place.target_start_s)
    admission.latest_start_s = min(
        admission.latest_start_s,
        late_s + LATE_WAIT_SHARE * (admission.latest_start_s - late_s),
    )
    place.is_return = arrival == returns.KEPT
    bands.record_arrival(
        gate.banded,
        gate.policy.band_settings,
        place,
        slots,
        now_s,
        is_new=promise is None,
    )
    return arrival != returns.EARLY


def no_room_error(
    gate: gate_state.Gate,
    admission: gate_state.Admission,
    reason: str,
    slots: int,
) -> exceptions.Refusal:
    """Returns the refusal of a request, with the time when to return."""
    if admission.place is None or refusals.is_rate_limited(gate):
        return refusals.unserved_error(gate, reason)
    now_s = gate.now()
    request_info = admission.request_info
    request_class = admission.place.request_class
    target_s = admission.target_s
    delay_s = returns.plan_return(
        gate.promises,
        (request_info.fingerprint, request_info.deadline_s),
        target_s if target_s is not None else request_info.deadline_s,
        request_class[0],
        bands.size(gate.banded) * gate.mean_service_s / slots,
        bands.free_rate_per_s(gate.banded, request_class, slots, now_s),
        now_s,
    )
    return exceptions.Overloaded(
        f"the backend server is overloaded: {reason}",
        "try again after the given time, or with a longer timeout",
        retry_after_ms=math.ceil(delay_s * 1000),
    )


def count_shed(
    gate: gate_state.Gate, admission: gate_state.Admission, reason: str
) -> None:
    """Counts a refusal."""
    key = reason, admission.request_class
    gate.shed[key] = gate.shed.get(key, 0) + 1
