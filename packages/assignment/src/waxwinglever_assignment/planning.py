"""Plans who should own which range, as plain functions."""

import itertools
from collections.abc import Collection, Mapping, Sequence

import attrs

from waxwinglever_assignment import fleet as fleets
from waxwinglever_assignment import loads
from waxwinglever_assignment import tables

# Ranges of a first table, and how many of them each node gets at least. Busy
# keys lie close together, so each node gets ranges from all over the shards;
# with one range each, the nodes of busy shards are overloaded for many moves.
FIRST_RANGES = 48
FIRST_RANGES_EACH = 4
# Below this share of its capacity a node needs no relief.
RELIEF_FROM = 0.5
# A move for balance must lower the share of the busiest node by this much, and
# by this part of it. A hot key that is more than any node can take would go
# round otherwise, and every move stops it for a moment.
BALANCE_GAIN = 0.08
BALANCE_GAIN_PART = 0.2
# Moves under way at a time beside which others may begin; each one stops its
# keys for a moment. Large fleets take more, one for each MOVES_SHARE nodes.
MAX_BALANCE_MOVES = 6
MOVES_SHARE = 4
# A record with this many ranges is not cut further: a change sends its part,
# an eighth of them, to every node, at about 134 bytes a range.
MAX_RANGES = 512
# All shards together count as this many requests a second beside the measured
# ones, so that idle ranges are spread as well.
IDLE_RATE = 4.0
# A node without any range gets some when it could take this share of the mean.
EMPTY_SHARE = 0.5


@attrs.frozen
class Situation:
    """What a plan is made from.

    Attributes:
      table: The present record.
      members: Members of the service that have an entry.
      gone: Owners without an entry whose grants have run out.
      closed_zones: Zones that get no work.
      rates: Measured requests a second by bucket.
      capacities: Requests a second that each member can serve.
    """

    table: tables.Table
    members: tuple[fleets.Member, ...]
    gone: Collection[str]
    closed_zones: Collection[str]
    rates: Mapping[int, float]
    capacities: Mapping[str, float]


@attrs.define(eq=False)
class Draft:
    """A plan in the making.

    Attributes:
      keepers: Members that may keep the ranges they own, by name.
      candidates: Members that may get ranges, by name.
      demand: Requests a second that each keeper would get.
      sums: Rates of all buckets before each bucket.
      changes: Changed fields of ranges, by fence.
      cuts: Shards at which ranges are cut, by fence.
    """

    keepers: dict[str, fleets.Member]
    candidates: dict[str, fleets.Member]
    demand: dict[str, float]
    sums: list[float]
    changes: dict[int, dict[str, object]] = attrs.Factory(dict)


def usable(
    members: Sequence[fleets.Member], closed_zones: Collection[str]
) -> list[fleets.Member]:
    """Returns the members that may own ranges."""
    return [
        member
        for member in members
        if member.state == fleets.READY
        and member.instance
        and not member.leaving
        and member.zone not in closed_zones
    ]


def takers(members: Sequence[fleets.Member]) -> list[fleets.Member]:
    """Returns the members that may get ranges; cold ones only if need be."""
    return [member for member in members if not member.cold] or list(members)


def first_table(
    service: str,
    members: Sequence[fleets.Member],
    capacities: Mapping[str, float],
) -> tables.Table:
    """Returns a record that deals the buckets out by capacity, interleaved."""
    order = sorted(members, key=lambda member: member.name)
    total = sum(capacities[member.name] for member in order)
    rounds = max(FIRST_RANGES_EACH, FIRST_RANGES // len(order))
    shares: list[tuple[str, str, int]] = []
    dealt = 0
    share_sum = 0.0
    for turn in range(rounds):
        # Each round starts with another node, so that neighbours differ.
        shift = turn % len(order)
        for member in order[shift:] + order[:shift]:
            share_sum += capacities[member.name] / total / rounds
            end = min(loads.BUCKETS, round(loads.BUCKETS * share_sum))
            if end > dealt:
                count = (end - dealt) * loads.BUCKET_SHARDS
                shares.append((member.name, member.instance, count))
                dealt = end
    return tables.deal(service, shares)


def plan(situation: Situation, balance: bool) -> tables.Table:
    """Returns the record as it should be now.

    Args:
      situation: The record and the members.
      balance: Whether ranges may move for an even load.
    """
    table = situation.table
    keepers = usable(situation.members, situation.closed_zones)
    if not keepers:
        return table
    draft = Draft(
        {member.name: member for member in keepers},
        {member.name: member for member in takers(keepers)},
        {member.name: 0.0 for member in keepers},
        sums_of(situation),
    )
    place(situation, draft)
    if draft.changes:
        return tables.replace(table, draft.changes)
    moving = sum(1 for item in table.ranges if item.to_node)
    room = max(MAX_BALANCE_MOVES, len(keepers) // MOVES_SHARE) - moving
    return balanced(situation, draft, room) if balance else table


def sums_of(situation: Situation) -> list[float]:
    """Returns the rates of all buckets before each bucket, and of all."""
    idle = IDLE_RATE / loads.BUCKETS
    return list(
        itertools.accumulate(
            (
                idle + situation.rates.get(bucket, 0.0)
                for bucket in range(loads.BUCKETS)
            ),
            initial=0.0,
        )
    )


def rate_of(draft: Draft, first: int, last: int) -> float:
    """Returns the requests a second for some shards."""
    end = loads.bucket_of(last) + 1
    return draft.sums[end] - draft.sums[loads.bucket_of(first)]


def place(situation: Situation, draft: Draft) -> None:
    """Finds owners for ranges that can't stay where they are."""
    present = {member.name for member in situation.members}
    starting = {
        member.name
        for member in situation.members
        if member.state == fleets.STARTING
        and member.zone not in situation.closed_zones
    }
    homeless = []
    for item in situation.table.ranges:
        rate = rate_of(draft, item.first, item.last)
        if item.node not in present:
            if item.node in situation.gone or item.node == tables.NOBODY:
                homeless.append((rate, item))
            continue
        target = item.to_node or item.node
        if target in starting:
            continue
        if target in draft.keepers:
            draft.demand[target] += rate
        elif item.node in draft.keepers:
            # The new owner went away before the range was handed over.
            draft.demand[item.node] += rate
            draft.changes[item.fence] = {"to_node": tables.NOBODY}
        else:
            homeless.append((rate, item))
    homeless.sort(key=lambda pair: (-pair[0], pair[1].first))
    for rate, item in homeless:
        _, name = min(
            ((draft.demand[name] + rate) / situation.capacities[name], name)
            for name in draft.candidates
        )
        draft.demand[name] += rate
        if item.node in present:
            draft.changes[item.fence] = {"to_node": name}
        else:
            draft.changes[item.fence] = {
                "node": name,
                "instance": draft.candidates[name].instance,
                "handover": "",
                "to_node": tables.NOBODY,
            }


def balanced(situation: Situation, draft: Draft, room: int) -> tables.Table:
    """Returns the record with at most `room` moves off the busiest members."""
    table = situation.table
    capacities = situation.capacities
    for _ in range(room):
        shares = [
            (draft.demand[name] / capacities[name], name)
            for name in draft.keepers
        ]
        most, busiest = max(shares)
        least, calmest = min(
            pair for pair in shares if pair[1] in draft.candidates
        )
        mean = sum(draft.demand.values()) / sum(
            capacities[name] for name in draft.keepers
        )
        if most < RELIEF_FROM and least >= EMPTY_SHARE * mean:
            break
        found = best_cut(
            [
                item
                for item in table.ranges
                if item.node == busiest and not item.to_node
            ],
            draft,
            (draft.demand[busiest], capacities[busiest]),
            (draft.demand[calmest], capacities[calmest]),
            len(table.ranges) < MAX_RANGES,
        )
        if found is None:
            break
        after, item, first, last = found
        rate = rate_of(draft, first, last)
        needed = max(BALANCE_GAIN, most * BALANCE_GAIN_PART)
        if (draft.demand[calmest] + rate) / capacities[calmest] <= mean:
            # An idle node gets no more than its share.
            needed = mean * BALANCE_GAIN
        if most - after < needed:
            break
        draft.demand[busiest] -= rate
        draft.demand[calmest] += rate
        table, fence = cut_out(table, item, first, last)
        table = tables.replace(table, {fence: {"to_node": calmest}})
    return table


def best_cut(
    ranges: Sequence[tables.Range],
    draft: Draft,
    giver: tuple[float, float],
    taker: tuple[float, float],
    may_cut: bool,
) -> tuple[float, tables.Range, int, int] | None:
    """Returns which shards should move between two members.

    Args:
      ranges: The ranges of the giver.
      draft: The plan in the making.
      giver: Demand and capacity of the giver.
      taker: Demand and capacity of the taker.
      may_cut: Whether a part of a range may move.

    Returns:
      The higher of the two shares after the move, the range, and its first and
      last shard that should move. A range moves whole, or its front or back
      part does.
    """
    best = None

    def consider(item: tables.Range, first: int, last: int) -> None:
        nonlocal best
        rate = rate_of(draft, first, last)
        after = max((giver[0] - rate) / giver[1], (taker[0] + rate) / taker[1])
        if best is None or after < best[0] - 1e-9:
            best = (after, item, first, last)

    wanted = (giver[0] * taker[1] - taker[0] * giver[1]) / (giver[1] + taker[1])
    for item in ranges:
        consider(item, item.first, item.last)
        rate = rate_of(draft, item.first, item.last)
        if rate <= wanted or not may_cut:
            continue
        for bucket in range(
            loads.bucket_of(item.first) + 1, loads.bucket_of(item.last) + 1
        ):
            cut = bucket * loads.BUCKET_SHARDS
            consider(item, item.first, cut - 1)
            consider(item, cut, item.last)
    return best


def cut_out(
    table: tables.Table, item: tables.Range, first: int, last: int
) -> tuple[tables.Table, int]:
    """Returns the record with some shards as a range of their own.

    Returns:
      The record, and the fence of that range.
    """
    if (first, last) == (item.first, item.last):
        return table, item.fence
    at = first if first > item.first else last + 1
    table = tables.split(table, item.fence, [at])
    return table, tables.range_of(table, first).fence
