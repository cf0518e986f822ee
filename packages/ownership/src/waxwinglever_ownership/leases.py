"""Remaining time of leases (rules R2, R3 and R6 of docs/design.md)."""

from collections.abc import Callable
from collections.abc import Iterable

from waxwinglever_model import cells
from waxwinglever_model import limits


def majority_ack_time(
    members: Iterable[cells.Member],
    ack_time_of: Callable[[cells.Member], float | None],
) -> float | None:
    """Returns the latest time up to which a majority has acknowledged.

    Args:
      members: The recorded members.
      ack_time_of: Returns the send time, in seconds, of the newest heartbeat
        that the recorded incarnation of a member acknowledged; None if it
        acknowledged none.

    Returns:
      Seconds on the leader's clock, or None without a majority.
    """
    ack_times = [ack_time_of(member) for member in members]
    known = sorted((t for t in ack_times if t is not None), reverse=True)
    needed = cells.majority(len(ack_times))
    return known[needed - 1] if len(known) >= needed else None


def remaining_s(
    majority_ack_times: Iterable[float | None], now: float
) -> float:
    """Returns the remaining time of a lease that is granted now.

    Args:
      majority_ack_times: Result of `majority_ack_time` for each member list
        that must support the lease: the recorded one and, while a change of
        the record is pending, the next one.
      now: Seconds on the leader's clock.

    Returns:
      Seconds in [0, LEASE_DURATION_S]; 0 if any list has no majority.
    """
    remaining = limits.LEASE_DURATION_S
    for ack_time in majority_ack_times:
        if ack_time is None:
            return 0.0
        remaining = min(remaining, ack_time + limits.LEASE_DURATION_S - now)
    return max(0.0, remaining)
