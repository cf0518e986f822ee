"""Shard ranges that a stand-in backend server holds under leases."""

from collections.abc import Iterable

import attrs


@attrs.frozen
class Hold:
    """A lease on a range of shards.

    Attributes:
      first: First shard.
      last: Last shard, inclusive.
      fence: Fencing token of the lease.
      end_s: When the lease ends.
    """

    first: int
    last: int
    fence: int
    end_s: float


def outside(held: Iterable[Hold], first: int, last: int) -> list[Hold]:
    """Returns the holds without the shards from `first` to `last`.

    A hold that overlaps these shards is shortened, split or left out.
    """
    remaining = []
    for hold in held:
        if hold.last < first or hold.first > last:
            remaining.append(hold)
            continue
        if hold.first < first:
            remaining.append(attrs.evolve(hold, last=first - 1))
        if hold.last > last:
            remaining.append(attrs.evolve(hold, first=last + 1))
    return remaining
