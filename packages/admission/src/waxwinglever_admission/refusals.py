"""The refusals of a gate.

The caller of all functions must hold the lock of the gate.
"""

import math

from waxwinglever_admission import bands
from waxwinglever_admission import gate_state
from waxwinglever_admission import rate_limits
from waxwinglever_model import exceptions


def is_rate_limited(gate: gate_state.Gate) -> bool:
    """Returns whether the rate limit, not the slots, holds requests back."""
    return rate_limits.is_limited(gate.rate_limit) and not has_token(gate)


def has_token(gate: gate_state.Gate) -> bool:
    """Returns whether the rate limit lets a request start now."""
    now_s = gate.now()
    return rate_limits.next_start_s(gate.rate_limit, now_s) <= now_s


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
        gate.ordinary.size + bands.size(gate.banded) + gate.suspects.size,
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
