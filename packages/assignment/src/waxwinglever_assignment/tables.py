"""The record of one keyed service: who owns which range of shards.

The record changes by compare-and-swap only. While the session of an owner
lives, nobody but that owner gives its ranges away; the planner only names the
node that they should move to. A fence is used once and always rises.

The store keeps the record in parts of equal width, so that owners which hand
ranges over at the same time rarely meet, and a change sends one part to every
node and not the whole record.
"""

import bisect
from collections.abc import Mapping, Sequence

import attrs
import msgspec

from waxwinglever_model import exceptions

FIRST_SHARD = 0
LAST_SHARD = 65_535
NOBODY = ""
# A transaction of the platform's store takes 32 entries, and the first table
# needs two for each part.
PARTS = 8
PART_SHARDS = (LAST_SHARD + 1) // PARTS
NO_VERSIONS = (0,) * PARTS


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
      ranges: Ranges in order; together they cover all shards, and none lies in
        two parts.
      next_fences: Lowest fence that was never used, by part. The fences of
        part p leave the remainder p when divided by PARTS, so that no two
        ranges have the same.
      versions: Store version of each part that the table was read from.
    """

    service: str
    ranges: tuple[Range, ...]
    next_fences: tuple[int, ...]
    versions: tuple[int, ...] = attrs.field(default=NO_VERSIONS, eq=False)

    def __attrs_post_init__(self):
        expected = FIRST_SHARD
        for item in self.ranges:
            if item.first != expected or item.last < item.first:
                raise ValueError(
                    f"range {item.first}-{item.last} does not start at"
                    f" {expected}"
                )
            part = part_of(item.first)
            if part_of(item.last) != part:
                raise ValueError(f"range {item.first} lies in two parts")
            if item.fence % PARTS != part:
                raise ValueError(f"fence {item.fence} is not of part {part}")
            if item.fence >= self.next_fences[part]:
                raise ValueError(f"fence {item.fence} was never given out")
            expected = item.last + 1
        if expected != LAST_SHARD + 1:
            raise ValueError(f"the ranges end at {expected - 1}")


@attrs.frozen
class Part:
    """The ranges of one part, and its lowest unused fence."""

    ranges: tuple[Range, ...]
    next_fence: int


def part_of(shard: int) -> int:
    """Returns the part that contains a shard."""
    return shard // PART_SHARDS


def ranges_in(table: Table, part: int) -> tuple[Range, ...]:
    """Returns the ranges of one part."""
    return tuple(item for item in table.ranges if part_of(item.first) == part)


def changed_parts(before: Table, after: Table) -> list[int]:
    """Returns the parts in which two tables differ."""
    return [
        part
        for part in range(PARTS)
        if ranges_in(before, part) != ranges_in(after, part)
    ]


def encode(table: Table, part: int) -> bytes:
    """Returns the bytes of one part for the store."""
    return msgspec.json.encode(
        Part(ranges_in(table, part), table.next_fences[part])
    )


def decode(data: bytes) -> Part:
    """Returns the part in a value of the store; raises InvalidInput."""
    try:
        return msgspec.json.decode(data, type=Part)
    except (msgspec.MsgspecError, ValueError) as error:
        raise unreadable(error) from error


def join(service: str, parts: Sequence[Part], versions: Sequence[int]) -> Table:
    """Returns the table made of all parts; raises InvalidInput."""
    try:
        return Table(
            service,
            tuple(item for part in parts for item in part.ranges),
            tuple(part.next_fence for part in parts),
            tuple(versions),
        )
    except ValueError as error:
        raise unreadable(error) from error


def unreadable(error: Exception) -> exceptions.InvalidInput:
    """Returns the error for a record that makes no sense."""
    return exceptions.InvalidInput(
        f"the ownership record can't be read: {error}",
        "update the daemons, or remove the record while all are stopped",
    )


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
    next_fences = list(table.next_fences)
    ranges = []
    for item in table.ranges:
        fields = dict(changes.get(item.fence, ()))
        if "node" in fields or "instance" in fields:
            fields["fence"] = take_fence(next_fences, item)
        ranges.append(attrs.evolve(item, **fields) if fields else item)
    return attrs.evolve(
        table, ranges=tuple(ranges), next_fences=tuple(next_fences)
    )


def take_fence(next_fences: list[int], item: Range) -> int:
    """Returns an unused fence for a range, and marks it as used."""
    part = part_of(item.first)
    fence = next_fences[part]
    next_fences[part] += PARTS
    return fence


def split(table: Table, fence: int, at: Sequence[int]) -> Table:
    """Returns the table with one range cut before each shard of `at`.

    The first part keeps the fence; the others get new ones, as a fence names
    one range. The owner grants the parts anew under these fences.
    """
    ranges: list[Range] = []
    next_fences = list(table.next_fences)
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
                kept = take_fence(next_fences, item)
            ranges.append(
                attrs.evolve(item, first=first, last=last, fence=kept)
            )
    return attrs.evolve(
        table, ranges=tuple(ranges), next_fences=tuple(next_fences)
    )


def deal(service: str, shares: Sequence[tuple[str, str, int]]) -> Table:
    """Returns a first table.

    Args:
      service: Name of the service.
      shares: Node, instance and number of shards, in the order of the ranges.
        A share that lies in two parts is cut between them.
    """
    next_fences = [part + PARTS for part in range(PARTS)]
    ranges = []
    first = FIRST_SHARD
    for node, instance, count in shares:
        end = first + count
        while first < end:
            border = (part_of(first) + 1) * PART_SHARDS
            last = min(end, border) - 1
            item = Range(first, last, node, instance, 0)
            fence = take_fence(next_fences, item)
            ranges.append(attrs.evolve(item, fence=fence))
            first = last + 1
    return Table(service, tuple(ranges), tuple(next_fences))
