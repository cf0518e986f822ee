"""Shard ranges that a stand-in backend server holds under leases."""

from collections.abc import Iterable

import attrs


@attrs.frozen
class GrantedRange:
    """A lease on a range of shards.

    Attributes:
      first: First shard.
      last: Last shard, inclusive.
      fence: Fencing token of the lease.
      expires_s: When the lease expires.
    """

    first: int
    last: int
    fence: int
    expires_s: float


def subtract_range(
    held: Iterable[GrantedRange], first: int, last: int
) -> list[GrantedRange]:
    """Returns the ranges without the shards from `first` to `last`.

    A range that overlaps these shards is shortened, split or left out.
    """
    remaining = []
    for granted_range in held:
        if granted_range.last < first or granted_range.first > last:
            remaining.append(granted_range)
            continue
        if granted_range.first < first:
            remaining.append(attrs.evolve(granted_range, last=first - 1))
        if granted_range.last > last:
            remaining.append(attrs.evolve(granted_range, first=last + 1))
    return remaining
