"""Plans who should own which range, as plain functions."""

from collections.abc import Collection, Mapping, Sequence

import attrs

from waxwinglever_assignment import fleet as fleets
from waxwinglever_assignment import tables

# Ranges of a first table. Busy keys lie close together, so each node gets
# several ranges from all over the shards.
FIRST_RANGES = 48
# A move for balance must bring the busiest node this share of the mean load
# nearer to the others.
BALANCE_GAIN = 0.25
# Balance moves under way at a time; each one stops its keys for a moment.
MAX_BALANCE_MOVES = 3


@attrs.frozen
class Situation:
    """What a plan is made from.

    Attributes:
      table: The present record.
      members: Members of the service that have an entry.
      gone: Owners without an entry whose grants have run out.
      closed_zones: Zones that get no work.
      loads: Measured load by fence; ranges without one count by their size.
    """

    table: tables.Table
    members: tuple[fleets.Member, ...]
    gone: Collection[str]
    closed_zones: Collection[str]
    loads: Mapping[int, float] = attrs.Factory(dict)


def usable(
    members: Sequence[fleets.Member], closed_zones: Collection[str]
) -> list[fleets.Member]:
    """Returns the members that may own ranges; cold ones only if need be."""
    ready = [
        member
        for member in members
        if member.state == fleets.READY
        and member.instance
        and not member.leaving
        and member.zone not in closed_zones
    ]
    warm = [member for member in ready if not member.cold]
    return warm or ready


def first_table(
    service: str, members: Sequence[fleets.Member], weights: Mapping[str, float]
) -> tables.Table:
    """Returns a record that deals the shards out by weight, interleaved."""
    order = sorted(members, key=lambda member: member.name)
    total = sum(weights[member.name] for member in order)
    rounds = max(1, FIRST_RANGES // len(order))
    size = tables.LAST_SHARD + 1
    shares = []
    dealt = 0
    share_sum = 0.0
    for turn in range(rounds):
        # Each round starts with another node, so that neighbours differ.
        shift = turn % len(order)
        for member in order[shift:] + order[:shift]:
            share_sum += weights[member.name] / total / rounds
            end = round(size * share_sum)
            if end > dealt:
                shares.append((member.name, member.instance, end - dealt))
                dealt = end
    if dealt < size:
        name, instance, count = shares[-1]
        shares[-1] = (name, instance, count + size - dealt)
    return tables.deal(service, shares)


def plan(
    situation: Situation, weights: Mapping[str, float], balance: bool
) -> dict[int, dict[str, object]]:
    """Returns the changes of ranges, by fence, that should be made now.

    Args:
      situation: The record and the members.
      weights: Relative capacity by member.
      balance: Whether ranges may move for an even load.
    """
    candidates = usable(situation.members, situation.closed_zones)
    if not candidates:
        return {}
    by_name = {member.name: member for member in candidates}
    present = {member.name for member in situation.members}
    totals = dict.fromkeys(by_name, 0.0)
    sizes = range_loads(situation)
    to_place = []
    changes: dict[int, dict[str, object]] = {}
    for item in situation.table.ranges:
        target = item.to_node if item.to_node in by_name else item.node
        if target in by_name and (item.node in present):
            totals[target] += sizes[item.fence]
            if item.to_node and target != item.to_node:
                changes[item.fence] = {"to_node": tables.NOBODY}
        elif item.node in present or item.node in situation.gone:
            to_place.append(item)
        elif item.node == tables.NOBODY:
            to_place.append(item)
    to_place.sort(key=lambda item: -sizes[item.fence])
    for item in to_place:
        name = min(
            totals,
            key=lambda name: (
                (totals[name] + sizes[item.fence]) / weights[name],
                name,
            ),
        )
        totals[name] += sizes[item.fence]
        if item.node in present:
            changes[item.fence] = {"to_node": name}
        else:
            changes[item.fence] = {
                "node": name,
                "instance": by_name[name].instance,
                "handover": "",
                "to_node": tables.NOBODY,
            }
    if balance and not changes:
        moving = sum(1 for item in situation.table.ranges if item.to_node)
        changes = balance_moves(
            situation, weights, totals, sizes, MAX_BALANCE_MOVES - moving
        )
    return changes


def range_loads(situation: Situation) -> dict[int, float]:
    """Returns the load of each range by fence; the mean over all is 1."""
    ranges = situation.table.ranges
    size = tables.LAST_SHARD + 1
    by_size = {
        item.fence: (item.last - item.first + 1) / size for item in ranges
    }
    total = sum(situation.loads.get(item.fence, 0.0) for item in ranges)
    if total <= 0:
        return {fence: part * len(ranges) for fence, part in by_size.items()}
    # A quarter by size keeps idle ranges spread, as busy keys change.
    return {
        fence: len(ranges)
        * (0.25 * part + 0.75 * situation.loads.get(fence, 0.0) / total)
        for fence, part in by_size.items()
    }


def balance_moves(
    situation: Situation,
    weights: Mapping[str, float],
    totals: dict[str, float],
    sizes: Mapping[int, float],
    most: int,
) -> dict[int, dict[str, object]]:
    """Returns moves from the busiest to the least busy members."""
    changes: dict[int, dict[str, object]] = {}
    mean = sum(totals.values()) / sum(weights[name] for name in totals)
    for _ in range(most):
        busiest = max(totals, key=lambda name: totals[name] / weights[name])
        calmest = min(totals, key=lambda name: totals[name] / weights[name])
        best = None
        before = totals[busiest] / weights[busiest]
        for item in situation.table.ranges:
            if item.node != busiest or item.to_node or item.fence in changes:
                continue
            load = sizes[item.fence]
            after = max(
                (totals[busiest] - load) / weights[busiest],
                (totals[calmest] + load) / weights[calmest],
            )
            if best is None or after < best[0]:
                best = (after, item)
        if best is None or before - best[0] < BALANCE_GAIN * mean:
            break
        item = best[1]
        totals[busiest] -= sizes[item.fence]
        totals[calmest] += sizes[item.fence]
        changes[item.fence] = {"to_node": calmest}
    return changes
