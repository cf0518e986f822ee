"""Moves ranges off overloaded nodes, also when one key alone overloads a node.

The load pattern that this answers: one key, or a few hundred neighbouring ones,
suddenly get 16% to 45% of the requests of a service. No move relieves the owner
of the one key, but everything else that it owns can be served elsewhere, and so
can what overloads other nodes. Moves must not follow the noise of the measured
rates, as each one interrupts the requests of its range.
"""

import math
from collections.abc import Collection

import attrs

from waxwinglever_assignment import loads
from waxwinglever_assignment import planning
from waxwinglever_assignment import tables

# Demand in standard deviations of its measurement by which a node must exceed
# its fair share before a range moves off it.
NOISE_DEVIATIONS = 3.0
# While a range is handed over, its requests wait or are refused for about this
# time.
INTERRUPTION_S = 0.5
# A move must serve as many requests more within this time as it interrupts. Hot
# keys change after 4 s or more.
PAYBACK_S = 3.0


@attrs.frozen
class Move:
    """A move of neighbouring shards to another node.

    Attributes:
      item: The range that contains them, at its front or back.
      first: First of the shards.
      last: Last of the shards.
      rate: Requests a second for them.
      relief: Requests a second that exceed no capacity any more, less those
        that the interruption costs, spread over PAYBACK_S.
    """

    item: tables.Range
    first: int
    last: int
    rate: float
    relief: float


def deviation(rate: float) -> float:
    """Returns the standard deviation of a measured rate.

    A count that decays with the time constant T measures a rate r of random
    arrivals with the variance r / 2T.
    """
    return math.sqrt(max(0.0, rate) / (2 * loads.DECAY_TIME_S))


def balance_table(
    plan_input: planning.PlanInput, draft: planning.Draft, max_moves: int
) -> tables.OwnershipTable:
    """Returns the table with at most `max_moves` moves off overloaded members.

    planning.balance_table comes first; it ends at the first member that no move
    relieves. When no overloaded member is left that a move relieves, members
    with little load, such as new ones, get ranges of the others.
    """
    plan_input = attrs.evolve(
        plan_input, frozen_parts=parts_with_moves(plan_input.table)
    )
    table = planning.balance_table(plan_input, draft, max_moves)
    relieved: set[str] = set()
    moves = sum(1 for item in table.ranges if item.to_node) - sum(
        1 for item in plan_input.table.ranges if item.to_node
    )
    while moves < max_moves:
        source = next_source(plan_input, draft, relieved)
        if source is None:
            break
        receiver = min(
            (draft.demand[name] / plan_input.capacities[name], name)
            for name in draft.receivers
        )[1]
        move = None
        if receiver != source:
            move = best_move(plan_input, draft, table, source, receiver)
        if move is None:
            relieved.add(source)
            continue
        draft.demand[source] -= move.rate
        draft.demand[receiver] += move.rate
        table, fence = planning.split_off(
            table, move.item, move.first, move.last
        )
        table = tables.update_ranges(table, {fence: {"to_node": receiver}})
        moves += 1
    return fill_idle_members(
        attrs.evolve(plan_input, table=table),
        draft,
        relieved,
        max_moves - moves,
    )


def parts_with_moves(table: tables.OwnershipTable) -> frozenset[int]:
    """Returns the parts of a table in which a range moves.

    Each write of a part makes owners that hand over its ranges write again. On
    a full link that takes them half a second, in which their released ranges
    have no owner: one was without for 7 s beside a new plan each second.
    """
    return frozenset(
        tables.part_of(item.first) for item in table.ranges if item.to_node
    )


def next_source(
    plan_input: planning.PlanInput,
    draft: planning.Draft,
    relieved: Collection[str],
) -> str | None:
    """Returns the busiest overloaded member that is not relieved yet.

    A member counts as overloaded if its demand exceeds both its capacity and
    its fair share, the latter by more than the noise.
    """
    mean = sum(draft.demand.values()) / sum(
        plan_input.capacities[name] for name in draft.eligible
    )
    utilization, source = max(
        (
            (draft.demand[name] / plan_input.capacities[name], name)
            for name in draft.eligible
            if name not in relieved
        ),
        default=(0.0, None),
    )
    if source is None or utilization <= 1.0:
        return None
    excess = draft.demand[source] - mean * plan_input.capacities[source]
    if excess <= NOISE_DEVIATIONS * deviation(draft.demand[source]):
        return None
    return source


def best_move(
    plan_input: planning.PlanInput,
    draft: planning.Draft,
    table: tables.OwnershipTable,
    source: str,
    receiver: str,
) -> Move | None:
    """Returns the move between two members that pays most, or None."""
    room = plan_input.capacities[receiver] - draft.demand[receiver]
    excess = draft.demand[source] - plan_input.capacities[source]
    best = None
    for item in table.ranges:
        if item.node != source or not planning.may_move(plan_input, item):
            continue
        for first, last in pieces(
            item, len(table.ranges) < planning.MAX_RANGES
        ):
            rate = planning.rate_between(draft, first, last)
            relief = min(rate, excess) - max(0.0, rate - max(0.0, room))
            relief -= rate * INTERRUPTION_S / PAYBACK_S
            if relief > 0 and (best is None or relief > best.relief):
                best = Move(item, first, last, rate, relief)
    return best


def pieces(item: tables.Range, may_split: bool) -> list[tuple[int, int]]:
    """Returns the first and last shards of what may move of a range.

    That is the whole range, and its front and back pieces.
    """
    found = [(item.first, item.last)]
    if may_split:
        for bucket in range(
            loads.bucket_of(item.first) + 1, loads.bucket_of(item.last) + 1
        ):
            boundary = bucket * loads.BUCKET_SHARDS
            found.append((item.first, boundary - 1))
            found.append((boundary, item.last))
    return found


def fill_idle_members(
    plan_input: planning.PlanInput,
    draft: planning.Draft,
    relieved: Collection[str],
    max_moves: int,
) -> tables.OwnershipTable:
    """Returns the table with moves to members that have little load.

    Args:
      plan_input: The input of the plan, with the table as planned so far.
      draft: The working state of the plan.
      relieved: Overloaded members that no move relieves.
      max_moves: How many moves there may be.
    """
    others = {
        name: member
        for name, member in draft.eligible.items()
        if name not in relieved
    }
    receivers = {n: m for n, m in draft.receivers.items() if n in others}
    if not receivers or max_moves <= 0:
        return plan_input.table
    mean = sum(draft.demand[name] for name in others) / sum(
        plan_input.capacities[name] for name in others
    )
    lowest = min(
        draft.demand[name] / plan_input.capacities[name] for name in receivers
    )
    if lowest >= planning.LOW_UTILIZATION_SHARE * mean:
        return plan_input.table
    return planning.balance_table(
        plan_input,
        planning.Draft(
            others,
            receivers,
            {name: draft.demand[name] for name in others},
            draft.sums,
        ),
        max_moves,
    )
