"""The record of one keyed service: who owns which range of shards.

The record changes by compare-and-swap only. While the session of an owner
lives, nobody but that owner gives its ranges away; the planner only names the
node that they should move to. A fence is used once and always rises.
"""

import bisect
from collections.abc import Mapping, Sequence

import attrs
import msgspec

from waxwinglever_model import exceptions

FIRST_SHARD = 0
LAST_SHARD = 65_535
NOBODY = ""


@attrs.frozen
class Range:
    """Consecutive shards with one owner.

    Attributes:
      first: First shard.
      last: Last shard, inclusive.
      node: Name of the owning node, or NOBODY.
      instance: Life of the owner's backend server that holds the range.
      fence: Fencing token of this ownership.
      handover: Token of the previous holder that lets the next one start
        warm; empty when there is none.
      to_node: Node that the owner should hand the range to, or NOBODY.
    """

    first: int
    last: int
    node: str
    instance: str
    fence: int
    handover: str = ""
    to_node: str = NOBODY


@attrs.frozen
class Table:
    """All ranges of a service.

    Attributes:
      service: Name of the service.
      ranges: Ranges in order; together they cover all shards.
      next_fence: Lowest fence that was never used.
    """

    service: str
    ranges: tuple[Range, ...]
    next_fence: int

    def __attrs_post_init__(self):
        expected = FIRST_SHARD
        for item in self.ranges:
            if item.first != expected or item.last < item.first:
                raise ValueError(
                    f"range {item.first}-{item.last} does not start at"
                    f" {expected}"
                )
            if item.fence >= self.next_fence:
                raise ValueError(f"fence {item.fence} is not below next_fence")
            expected = item.last + 1
        if expected != LAST_SHARD + 1:
            raise ValueError(f"the ranges end at {expected - 1}")


def encode(table: Table) -> bytes:
    """Returns the bytes of a table for the store."""
    return msgspec.json.encode(table)


def decode(data: bytes) -> Table:
    """Returns the table in a value of the store; raises InvalidInput."""
    try:
        return msgspec.json.decode(data, type=Table)
    except (msgspec.MsgspecError, ValueError) as error:
        raise exceptions.InvalidInput(
            f"the ownership record can't be read: {error}",
            "update the daemons, or remove the record while all are stopped",
        ) from error


def range_of(table: Table, shard: int) -> Range:
    """Returns the range that contains a shard."""
    at = bisect.bisect_right(table.ranges, shard, key=lambda item: item.first)
    return table.ranges[at - 1]


def owned(table: Table, node: str) -> tuple[Range, ...]:
    """Returns the ranges that a node owns."""
    return tuple(item for item in table.ranges if item.node == node)


def replace(table: Table, changes: Mapping[int, Mapping[str, object]]) -> Table:
    """Returns the table with fields of some ranges changed.

    Args:
      table: The table.
      changes: New field values by the range's present fence. A range whose
        changes name the owner or its instance gets a new fence.
    """
    next_fence = table.next_fence
    ranges = []
    for item in table.ranges:
        fields = dict(changes.get(item.fence, ()))
        if "node" in fields or "instance" in fields:
            fields["fence"] = next_fence
            next_fence += 1
        ranges.append(attrs.evolve(item, **fields) if fields else item)
    return attrs.evolve(table, ranges=tuple(ranges), next_fence=next_fence)


def split(table: Table, fence: int, at: Sequence[int]) -> Table:
    """Returns the table with one range cut before each shard of `at`.

    The first part keeps the fence; the others get new ones, as a fence names
    one range. The owner grants the parts anew under these fences.
    """
    ranges: list[Range] = []
    next_fence = table.next_fence
    for item in table.ranges:
        if item.fence != fence:
            ranges.append(item)
            continue
        cuts = [item.first]
        cuts += [
            cut for cut in sorted(set(at)) if item.first < cut <= item.last
        ]
        ends = [cut - 1 for cut in cuts[1:]] + [item.last]
        for part, (first, last) in enumerate(zip(cuts, ends)):
            kept = item.fence
            if part:
                kept = next_fence
                next_fence += 1
            ranges.append(
                attrs.evolve(item, first=first, last=last, fence=kept)
            )
    return attrs.evolve(table, ranges=tuple(ranges), next_fence=next_fence)


def deal(service: str, shares: Sequence[tuple[str, str, int]]) -> Table:
    """Returns a first table.

    Args:
      service: Name of the service.
      shares: Node, instance and number of shards, in the order of the ranges.
    """
    ranges = []
    first = FIRST_SHARD
    for fence, (node, instance, count) in enumerate(shares, start=1):
        last = first + count - 1
        ranges.append(Range(first, last, node, instance, fence))
        first = last + 1
    return Table(service, tuple(ranges), len(ranges) + 1)
