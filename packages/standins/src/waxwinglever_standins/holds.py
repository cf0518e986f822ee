"""What a stand-in of a backend server holds."""

from collections.abc import Iterable

import attrs


@attrs.frozen
class Hold:
    """Shards that a backend server holds until a time."""

    first: int
    last: int
    fence: int
    end_s: float


def outside(found: Iterable[Hold], first: int, last: int) -> list[Hold]:
    """Returns what is left of holds without some shards."""
    parts = []
    for hold in found:
        if hold.last < first or hold.first > last:
            parts.append(hold)
            continue
        if hold.first < first:
            parts.append(attrs.evolve(hold, last=first - 1))
        if hold.last > last:
            parts.append(attrs.evolve(hold, first=last + 1))
    return parts
