"""The ownership table of a keyed service: which node owns which shards.

The table changes by compare-and-swap only. While the session of an owner is
valid, only that owner transfers its ranges; the planner only sets the node
that they should move to. Fences increase, and none is used for two ownerships.

The store keeps the table in parts of equal width, so that owners which hand
ranges over at the same time rarely conflict, and a change sends only one part
to every node.
"""

import bisect
from collections.abc import Mapping, Sequence

import attrs
import msgspec

from waxwinglever_model import exceptions

FIRST_SHARD = 0
LAST_SHARD = 65_535
NO_OWNER = ""
# A transaction of the platform's store allows 32 entries, and creating a table
# needs two for each part.
PARTS = 8
PART_SHARDS = (LAST_SHARD + 1) // PARTS
NO_VERSIONS = (0,) * PARTS
# The era of records that were written before eras were recorded.
UNKNOWN_ERA = -1
# Fencing tokens that belong to one fence. The owner takes the next one when it
# can't tell whether the same process of its backend server still listens.
TOKENS_PER_FENCE = 256
FENCE_STEP = PARTS * TOKENS_PER_FENCE
# Each era of the store has fences of its own, above those of earlier eras,
# because a restored table may have forgotten fences that were used. A backend
# server may read tokens as floating-point numbers, which are exact up to 2**53;
# this leaves room for 8,191 eras.
FENCES_PER_ERA = 2**40


@attrs.frozen
class Range:
    """Consecutive shards with one owner.

    Attributes:
      first: First shard.
      last: Last shard, inclusive.
      node: Name of the owning node, or NO_OWNER.
      instance: Id of the run of the owner's backend server; a restarted server
        gets a new one.
      fence: Lowest fencing token of this ownership; see fencing_token.
      handover: Token from the previous owner's backend server that lets the
        present one start warm; empty when there is none.
      to_node: Node that the owner should hand the range to, or NO_OWNER.
      era: Era of the store in which this ownership was written. After a restore
        of the store, the record of an earlier era may be out of date.
    """

    first: int
    last: int
    node: str
    instance: str
    fence: int
    handover: str = ""
    to_node: str = NO_OWNER
    era: int = UNKNOWN_ERA


@attrs.frozen
class OwnershipTable:
    """All ranges of a service.

    Attributes:
      service: Name of the service.
      ranges: Ranges in order; together they cover all shards, and none spans
        two parts.
      next_fences: Lowest unused fence of each part. The fences of part p leave
        the remainder p when divided by PARTS, so that fences are unique in the
        table.
      versions: Store version of each part that the table was read from.
      era: Era of the store that the versions belong to.
    """

    service: str
    ranges: tuple[Range, ...]
    next_fences: tuple[int, ...]
    versions: tuple[int, ...] = attrs.field(default=NO_VERSIONS, eq=False)
    era: int = attrs.field(default=0, eq=False)

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
                raise ValueError(
                    f"the range from shard {item.first} spans two parts"
                )
            if item.fence % PARTS != part:
                raise ValueError(
                    f"fence {item.fence} does not belong to part {part}"
                )
            if item.fence >= self.next_fences[part]:
                raise ValueError(f"fence {item.fence} was never allocated")
            expected = item.last + 1
        if expected != LAST_SHARD + 1:
            raise ValueError(
                f"the ranges end at shard {expected - 1}, not at the last shard"
            )


@attrs.frozen
class Part:
    """The ranges of one part and its lowest unused fence, as stored."""

    ranges: tuple[Range, ...]
    next_fence: int


def part_of(shard: int) -> int:
    """Returns the part that contains a shard."""
    return shard // PART_SHARDS


def ranges_in(table: OwnershipTable, part: int) -> tuple[Range, ...]:
    """Returns the ranges of one part."""
    return tuple(item for item in table.ranges if part_of(item.first) == part)


def changed_parts(before: OwnershipTable, after: OwnershipTable) -> list[int]:
    """Returns the parts in which two tables differ."""
    return [
        part
        for part in range(PARTS)
        if ranges_in(before, part) != ranges_in(after, part)
    ]


def encode(table: OwnershipTable, part: int) -> bytes:
    """Returns one part of a table, encoded for the store."""
    return msgspec.json.encode(
        Part(ranges_in(table, part), table.next_fences[part])
    )


def decode(data: bytes) -> Part:
    """Decodes a part from the store; raises InvalidInput."""
    try:
        return msgspec.json.decode(data, type=Part)
    except (msgspec.MsgspecError, ValueError) as error:
        raise invalid_record(error) from error


def assemble_table(
    service: str,
    parts: Sequence[Part],
    versions: Sequence[int],
    era: int = 0,
) -> OwnershipTable:
    """Returns the table that consists of all parts.

    Args:
      service: Name of the service.
      parts: All parts in order.
      versions: Store version of each part.
      era: Era of the store that the versions belong to.

    Raises:
      InvalidInput: The parts don't make up a valid table.
    """
    try:
        return OwnershipTable(
            service,
            tuple(item for part in parts for item in part.ranges),
            tuple(part.next_fence for part in parts),
            tuple(versions),
            era,
        )
    except ValueError as error:
        raise invalid_record(error) from error


def invalid_record(error: Exception) -> exceptions.InvalidInput:
    """Returns the error for an invalid ownership record."""
    return exceptions.InvalidInput(
        f"the ownership record in the store is invalid: {error}",
        "update all daemons, or remove the record while all are stopped",
    )


def range_at(table: OwnershipTable, shard: int) -> Range:
    """Returns the range that contains a shard."""
    index = bisect.bisect_right(
        table.ranges, shard, key=lambda item: item.first
    )
    return table.ranges[index - 1]


def owned_ranges(table: OwnershipTable, node: str) -> tuple[Range, ...]:
    """Returns the ranges that a node owns."""
    return tuple(item for item in table.ranges if item.node == node)


def overlapping_ranges(table: OwnershipTable, item: Range) -> tuple[Range, ...]:
    """Returns the ranges that contain shards of another range."""
    return tuple(
        other
        for other in table.ranges
        if other.first <= item.last and item.first <= other.last
    )


def update_ranges(
    table: OwnershipTable, changes: Mapping[int, Mapping[str, object]]
) -> OwnershipTable:
    """Returns the table with fields of some ranges changed.

    Args:
      table: The table.
      changes: New field values by the range's current fence. A range gets a
        new fence when its changes contain `node` or `instance`.
    """
    next_fences = list(table.next_fences)
    ranges = []
    for item in table.ranges:
        fields = dict(changes.get(item.fence, ()))
        if "node" in fields or "instance" in fields:
            fields["fence"] = allocate_fence(next_fences, item.first, table.era)
            fields["era"] = table.era
        ranges.append(attrs.evolve(item, **fields) if fields else item)
    return attrs.evolve(
        table, ranges=tuple(ranges), next_fences=tuple(next_fences)
    )


def allocate_fence(next_fences: list[int], first: int, era: int) -> int:
    """Returns an unused fence for the range that starts at a shard.

    Args:
      next_fences: Lowest unused fence of each part; advanced by the call.
      first: First shard of the range.
      era: Era of the store in which the fence is allocated.
    """
    part = part_of(first)
    fence = max(next_fences[part], max(0, era) * FENCES_PER_ERA + part)
    next_fences[part] = fence + FENCE_STEP
    return fence


def fencing_token(item: Range, index: int) -> int:
    """Returns one of the fencing tokens of a range.

    Args:
      item: The range.
      index: Number of the token, below TOKENS_PER_FENCE; a later one is higher.
    """
    return item.fence + PARTS * index


def split_range(
    table: OwnershipTable, fence: int, at: Sequence[int]
) -> OwnershipTable:
    """Returns the table with one range split before each shard of `at`.

    The first piece keeps the fence; the others get new ones, as a fence
    identifies one range. The owner grants the pieces under these fences.
    """
    ranges: list[Range] = []
    next_fences = list(table.next_fences)
    for item in table.ranges:
        if item.fence != fence:
            ranges.append(item)
            continue
        starts = [item.first]
        starts += [
            start
            for start in sorted(set(at))
            if item.first < start <= item.last
        ]
        ends = [start - 1 for start in starts[1:]] + [item.last]
        for index, (first, last) in enumerate(zip(starts, ends)):
            piece_fence = item.fence
            if index:
                piece_fence = allocate_fence(next_fences, item.first, table.era)
            ranges.append(
                attrs.evolve(item, first=first, last=last, fence=piece_fence)
            )
    return attrs.evolve(
        table, ranges=tuple(ranges), next_fences=tuple(next_fences)
    )


def initial_table(
    service: str,
    shares: Sequence[tuple[str, str, int]],
    era: int = 0,
) -> OwnershipTable:
    """Returns the initial table of a service.

    Args:
      service: Name of the service.
      shares: Node, instance and number of shards, in the order of the ranges.
        A share that spans several parts is split at their boundaries.
      era: Era of the store.
    """
    next_fences = [part + PARTS for part in range(PARTS)]
    ranges = []
    first = FIRST_SHARD
    for node, instance, count in shares:
        end = first + count
        while first < end:
            part_end = (part_of(first) + 1) * PART_SHARDS
            last = min(end, part_end) - 1
            item = Range(
                first,
                last,
                node,
                instance,
                0,
                era=era,
            )
            fence = allocate_fence(next_fences, first, era)
            ranges.append(attrs.evolve(item, fence=fence))
            first = last + 1
    return OwnershipTable(service, tuple(ranges), tuple(next_fences), era=era)


def mark_outdated(table: OwnershipTable) -> OwnershipTable:
    """Returns the table with ranges of the era before its own.

    They stay up to date in era 0, in which the store was never restored.
    """
    return attrs.evolve(
        table,
        ranges=tuple(
            attrs.evolve(item, era=table.era - 1) for item in table.ranges
        ),
    )


def is_current(item: Range, era: int) -> bool:
    """Returns whether the record of a range is up to date in an era.

    After a restore of the store, the record of an earlier era may name a node
    that has handed the range over since.
    """
    return item.era in (UNKNOWN_ERA, era)


def confirm_held(
    table: OwnershipTable, node: str, held: Sequence[Range]
) -> OwnershipTable:
    """Returns the table with ranges that a node holds since an earlier era.

    The node keeps the fences. A held range is left out if the table already has
    an up-to-date record of one of its shards.
    """
    for item in held:
        table = insert_held(
            table,
            attrs.evolve(
                item,
                node=node,
                handover="",
                to_node=NO_OWNER,
                era=table.era,
            ),
        )
    return table


def insert_held(table: OwnershipTable, held: Range) -> OwnershipTable:
    """Returns the table with one held range in place of outdated records.

    What remains of the outdated ranges gets new fences, as a fence identifies
    one range.
    """
    part = part_of(held.first)
    next_fences = list(table.next_fences)
    next_fences[part] = max(next_fences[part], held.fence + FENCE_STEP)
    ranges = [held]
    for item in table.ranges:
        if item.last < held.first or item.first > held.last:
            ranges.append(item)
            continue
        if is_current(item, table.era):
            return table
        for first, last in (
            (item.first, held.first - 1),
            (held.last + 1, item.last),
        ):
            if first <= last:
                fence = allocate_fence(next_fences, first, table.era)
                ranges.append(
                    attrs.evolve(item, first=first, last=last, fence=fence)
                )
    return attrs.evolve(
        table,
        ranges=tuple(sorted(ranges, key=lambda item: item.first)),
        next_fences=tuple(next_fences),
    )
