"""Plans which member should own which range, without side effects."""

import itertools
from collections.abc import Callable, Collection, Mapping, Sequence

import attrs

from waxwinglever_assignment import fleet_view
from waxwinglever_assignment import loads
from waxwinglever_assignment import tables

# Ranges of an initial table, and the least number of them for each node. Busy
# keys lie close together, so each node gets ranges spread over all shards; with
# one range each, the nodes of busy shards stay overloaded until many moves are
# done.
INITIAL_RANGES = 48
MIN_INITIAL_RANGES_PER_NODE = 4
# While the busiest node is below this utilization, ranges move only to nodes of
# low utilization.
MIN_RELIEF_UTILIZATION = 0.5
# A move for balance must lower the utilization of the busiest node by at least
# this much, and by at least this part of it. Otherwise a hot key that overloads
# any node would move from node to node, and every move interrupts its requests.
MIN_BALANCE_GAIN = 0.08
MIN_BALANCE_GAIN_SHARE = 0.2
# Bound on concurrent moves for balance, as each one interrupts requests for its
# keys. Large fleets may have more: one for each NODES_PER_MOVE nodes.
MAX_BALANCE_MOVES = 6
NODES_PER_MOVE = 4
# In a table with this many ranges none is split further: a change sends its
# part, an eighth of the ranges, to every node, at about 134 bytes a range.
MAX_RANGES = 512
# Requests a second added to the measured ones and spread evenly over all
# shards, so that idle ranges are balanced as well.
IDLE_RATE = 4.0
# A node has low utilization when it is below this share of the mean.
LOW_UTILIZATION_SHARE = 0.5


@attrs.frozen
class PlanInput:
    """The input of a plan.

    Attributes:
      table: The current ownership table.
      members: Members of the service that have an entry.
      expired_owners: Owners without an entry whose grants have expired.
      closed_zones: Availability zones whose members must not own ranges.
      rates: Measured requests a second by bucket.
      capacities: Requests a second that each member can serve.
      frozen_parts: Parts of the table in which no range moves for balance.
      cold_receivers: Whether members in their cold start may get ranges while
        others can.
    """

    table: tables.OwnershipTable
    members: tuple[fleet_view.Member, ...]
    expired_owners: Collection[str]
    closed_zones: Collection[str]
    rates: Mapping[int, float]
    capacities: Mapping[str, float]
    frozen_parts: Collection[int] = ()
    cold_receivers: bool = False


@attrs.define(eq=False)
class Draft:
    """The working state of one plan.

    Attributes:
      eligible: Members that may keep the ranges they own, by name.
      receivers: Members that may get ranges, by name.
      demand: Requests a second for each eligible member under the plan.
      sums: Sum of the rates of all buckets before each bucket.
      changes: Changed fields of ranges, by fence.
    """

    eligible: dict[str, fleet_view.Member]
    receivers: dict[str, fleet_view.Member]
    demand: dict[str, float]
    sums: list[float]
    changes: dict[int, dict[str, object]] = attrs.Factory(dict)


def eligible_owners(
    members: Sequence[fleet_view.Member], closed_zones: Collection[str]
) -> list[fleet_view.Member]:
    """Returns the members that may own ranges."""
    return [
        member
        for member in members
        if member.state == fleet_view.READY
        and member.instance
        and not member.leaving
        and member.zone not in closed_zones
    ]


def eligible_receivers(
    members: Sequence[fleet_view.Member], cold_receivers: bool = False
) -> list[fleet_view.Member]:
    """Returns the members that may get ranges: the warm ones, if any.

    Cold ones are among them on request. While the servers of a service are
    replaced one after the other, a third of them may be cold at any time, and
    the ranges of those that leave would overload the rest.
    """
    warm = [member for member in members if not member.cold]
    return list(members) if cold_receivers or not warm else warm


def plan_initial_table(
    service: str,
    members: Sequence[fleet_view.Member],
    capacities: Mapping[str, float],
    era: int = 0,
) -> tables.OwnershipTable:
    """Returns an initial table with ranges in proportion to capacity.

    The ranges of the members alternate over all shards. The era is that of the
    store.
    """
    order = sorted(members, key=lambda member: member.name)
    total = sum(capacities[member.name] for member in order)
    rounds = max(MIN_INITIAL_RANGES_PER_NODE, INITIAL_RANGES // len(order))
    shares: list[tuple[str, str, int]] = []
    assigned = 0
    share_sum = 0.0
    for index in range(rounds):
        # Each round starts with another node, so that the neighbours of a node
        # vary.
        shift = index % len(order)
        for member in order[shift:] + order[:shift]:
            share_sum += capacities[member.name] / total / rounds
            end = min(loads.BUCKETS, round(loads.BUCKETS * share_sum))
            if end > assigned:
                count = (end - assigned) * loads.BUCKET_SHARDS
                shares.append((member.name, member.instance, count))
                assigned = end
    return tables.initial_table(service, shares, era)


def plan(
    plan_input: PlanInput,
    balance: bool,
    balance_with: (
        Callable[[PlanInput, "Draft", int], tables.OwnershipTable] | None
    ) = None,
) -> tables.OwnershipTable:
    """Returns the planned table, or the current one if nothing should change.

    Args:
      plan_input: The input of the plan.
      balance: Whether ranges may move for balance when all ranges have an
        eligible owner.
      balance_with: Plans these moves, at most the given number; balance_table
        if None.
    """
    table = plan_input.table
    eligible = eligible_owners(plan_input.members, plan_input.closed_zones)
    if not eligible:
        return table
    draft = Draft(
        {member.name: member for member in eligible},
        {
            member.name: member
            for member in eligible_receivers(
                eligible, plan_input.cold_receivers
            )
        },
        {member.name: 0.0 for member in eligible},
        cumulative_rates(plan_input),
    )
    place_ranges(plan_input, draft)
    if draft.changes:
        return tables.update_ranges(table, draft.changes)
    moving = sum(1 for item in table.ranges if item.to_node)
    max_moves = max(MAX_BALANCE_MOVES, len(eligible) // NODES_PER_MOVE) - moving
    if not balance:
        return table
    return (balance_with or balance_table)(plan_input, draft, max_moves)


def cumulative_rates(plan_input: PlanInput) -> list[float]:
    """Returns the sum of the rates before each bucket, and of all buckets."""
    idle = IDLE_RATE / loads.BUCKETS
    return list(
        itertools.accumulate(
            (
                idle + plan_input.rates.get(bucket, 0.0)
                for bucket in range(loads.BUCKETS)
            ),
            initial=0.0,
        )
    )


def rate_between(draft: Draft, first: int, last: int) -> float:
    """Returns the requests a second for the shards from `first` to `last`."""
    end = loads.bucket_of(last) + 1
    return draft.sums[end] - draft.sums[loads.bucket_of(first)]


def place_ranges(plan_input: PlanInput, draft: Draft) -> None:
    """Plans new owners for ranges whose owner or next owner is not eligible.

    Ranges of an owner without an entry wait until it is in `expired_owners`.
    Ranges of members in the state STARTING stay, except in closed zones. Ranges
    whose record is older than the era of the table stay as well.
    """
    present = {member.name for member in plan_input.members}
    starting = {
        member.name
        for member in plan_input.members
        if member.state == fleet_view.STARTING
        and member.zone not in plan_input.closed_zones
    }
    unplaced = []
    for item in plan_input.table.ranges:
        rate = rate_between(draft, item.first, item.last)
        if not tables.is_current(item, plan_input.table.era):
            continue
        if item.node not in present:
            if (
                item.node in plan_input.expired_owners
                or item.node == tables.NO_OWNER
            ):
                unplaced.append((rate, item))
            continue
        target = item.to_node or item.node
        if target in starting:
            continue
        if target in draft.eligible:
            draft.demand[target] += rate
        elif item.node in draft.eligible:
            # The next owner became ineligible before the handover: cancel it.
            draft.demand[item.node] += rate
            draft.changes[item.fence] = {"to_node": tables.NO_OWNER}
        else:
            unplaced.append((rate, item))
    unplaced.sort(key=lambda pair: (-pair[0], pair[1].first))
    for rate, item in unplaced:
        _, name = min(
            ((draft.demand[name] + rate) / plan_input.capacities[name], name)
            for name in draft.receivers
        )
        draft.demand[name] += rate
        if item.node in present:
            draft.changes[item.fence] = {"to_node": name}
        else:
            draft.changes[item.fence] = {
                "node": name,
                "instance": draft.receivers[name].instance,
                "handover": "",
                "to_node": tables.NO_OWNER,
            }


def balance_table(
    plan_input: PlanInput, draft: Draft, max_moves: int
) -> tables.OwnershipTable:
    """Returns the table with at most `max_moves` moves off the busiest members.

    Moves are planned until none helps enough.
    """
    table = plan_input.table
    capacities = plan_input.capacities
    for _ in range(max_moves):
        utilizations = [
            (draft.demand[name] / capacities[name], name)
            for name in draft.eligible
        ]
        highest, busiest = max(utilizations)
        lowest, least_busy = min(
            pair for pair in utilizations if pair[1] in draft.receivers
        )
        mean = sum(draft.demand.values()) / sum(
            capacities[name] for name in draft.eligible
        )
        if (
            highest < MIN_RELIEF_UTILIZATION
            and lowest >= LOW_UTILIZATION_SHARE * mean
        ):
            break
        found = best_move(
            [
                item
                for item in table.ranges
                if item.node == busiest and may_move(plan_input, item)
            ],
            draft,
            (draft.demand[busiest], capacities[busiest]),
            (draft.demand[least_busy], capacities[least_busy]),
            len(table.ranges) < MAX_RANGES,
        )
        if found is None:
            break
        after, item, first, last = found
        rate = rate_between(draft, first, last)
        min_gain = max(MIN_BALANCE_GAIN, highest * MIN_BALANCE_GAIN_SHARE)
        if (draft.demand[least_busy] + rate) / capacities[least_busy] <= mean:
            # The receiver stays at or below the mean, so a smaller gain will
            # do.
            min_gain = mean * MIN_BALANCE_GAIN
        if highest - after < min_gain:
            break
        draft.demand[busiest] -= rate
        draft.demand[least_busy] += rate
        table, fence = split_off(table, item, first, last)
        table = tables.update_ranges(table, {fence: {"to_node": least_busy}})
    return table


def may_move(plan_input: PlanInput, item: tables.Range) -> bool:
    """Returns whether a range may move for balance."""
    return (
        not item.to_node
        and tables.is_current(item, plan_input.table.era)
        and tables.part_of(item.first) not in plan_input.frozen_parts
    )


def best_move(
    ranges: Sequence[tables.Range],
    draft: Draft,
    source: tuple[float, float],
    receiver: tuple[float, float],
    may_split: bool,
) -> tuple[float, tables.Range, int, int] | None:
    """Returns the move between two members that balances them best.

    Either a whole range moves, or its front or back piece.

    Args:
      ranges: The ranges of the source.
      draft: The working state of the plan.
      source: Demand and capacity of the source.
      receiver: Demand and capacity of the receiver.
      may_split: Whether a piece of a range may move.

    Returns:
      The higher utilization of the two members after the move, the range, and
      the first and last shard to move; None if there are no ranges.
    """
    best = None

    def consider_move(item: tables.Range, first: int, last: int) -> None:
        nonlocal best
        rate = rate_between(draft, first, last)
        after = max(
            (source[0] - rate) / source[1], (receiver[0] + rate) / receiver[1]
        )
        if best is None or after < best[0] - 1e-9:
            best = (after, item, first, last)

    ideal_rate = (source[0] * receiver[1] - receiver[0] * source[1]) / (
        source[1] + receiver[1]
    )
    for item in ranges:
        consider_move(item, item.first, item.last)
        rate = rate_between(draft, item.first, item.last)
        if rate <= ideal_rate or not may_split:
            continue
        for bucket in range(
            loads.bucket_of(item.first) + 1, loads.bucket_of(item.last) + 1
        ):
            boundary = bucket * loads.BUCKET_SHARDS
            consider_move(item, item.first, boundary - 1)
            consider_move(item, boundary, item.last)
    return best


def split_off(
    table: tables.OwnershipTable, item: tables.Range, first: int, last: int
) -> tuple[tables.OwnershipTable, int]:
    """Returns the table with some shards split off as a range of their own.

    Args:
      table: The table.
      item: The range that contains the shards, at its front or back.
      first: First of the shards.
      last: Last of the shards.

    Returns:
      The table, and the fence of the range of these shards.
    """
    if (first, last) == (item.first, item.last):
        return table, item.fence
    at = first if first > item.first else last + 1
    table = tables.split_range(table, item.fence, [at])
    return table, tables.range_at(table, first).fence
