"""How long a lease may last (rules R2, R3 and R6 of docs/design.md)."""

from collections.abc import Callable
from collections.abc import Iterable

from waxwinglever_model import cells
from waxwinglever_model import limits


def majority_date(
    members: Iterable[cells.Member],
    date_of: Callable[[cells.Member], float | None],
) -> float | None:
    """Returns the newest date that a majority of the members has reached.

    Args:
      members: The recorded members.
      date_of: When the newest heartbeat that the recorded incarnation of a
        member acknowledged was sent, in seconds; None for never.

    Returns:
      Seconds on the leader's clock, or None without a majority.
    """
    dates = [date_of(member) for member in members]
    known = sorted((d for d in dates if d is not None), reverse=True)
    needed = cells.majority(len(dates))
    return known[needed - 1] if len(known) >= needed else None


def remaining_s(dates: Iterable[float | None], now: float) -> float:
    """Returns the remaining time of a lease that is granted now.

    Args:
      dates: Majority date of each list of members that must support the
        lease: the recorded one, and the next one while a change of the record
        is outstanding.
      now: Seconds on the leader's clock.

    Returns:
      Seconds in [0, LEASE_S].
    """
    remaining = limits.LEASE_S
    for date in dates:
        if date is None:
            return 0.0
        remaining = min(remaining, date + limits.LEASE_S - now)
    return max(0.0, remaining)
