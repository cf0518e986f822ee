"""Plans which slices move to which nodes."""

import bisect
import collections
import heapq
import math
from collections.abc import Iterable, Mapping, Sequence

import attrs

from waxwinglever_model import cells

# Share of the mean measured rate that is added to the rate of each slice, so
# that idle slices are spread by count but never outweigh measured load.
IDLE_SHARE = 0.05
# Total load in integer units. With integers, sums don't depend on the order of
# addition, and a second call computes exactly the same state.
LOAD_UNITS = 1 << 48
# A node may be preferred for its zone if its relative load exceeds that of the
# least loaded node by at most this.
ZONE_TOLERANCE = 0.02
# Bound on the alternatives that are compared to spread slices over zones.
ZONE_CANDIDATES = 8


@attrs.frozen
class Node:
    """A node that may own slices.

    Attributes:
      name: Node name.
      zone: Availability zone.
      weight: Relative capacity; with 0 the node must not own slices.
    """

    name: str
    zone: str
    weight: float = attrs.field()

    @weight.validator
    def _check_weight(self, _attribute, value):
        if not (math.isfinite(value) and value >= 0):
            raise ValueError(f"weight of {self.name} is {value}; use 0 or more")


@attrs.frozen
class SliceMove:
    """A planned change of the owner of a slice.

    Attributes:
      ref: The slice, with its current epoch.
      to_node: Name of the new owner.
    """

    ref: cells.SliceRef
    to_node: str


@attrs.define(eq=False)
class Plan:
    """Working state of one call; slices are identified by their index.

    Attributes:
      loads: Load of each slice, in units of which LOAD_UNITS are the total.
      nodes: Nodes of positive weight, by name.
      targets: Load that each node should have, by name.
      totals: Load that each node has under the plan, by name.
      owners: Owner of each slice under the plan, or NO_OWNER.
      owned: Sorted (load, index) pairs of each node's slices, by name.
    """

    loads: list[int]
    nodes: dict[str, Node]
    targets: dict[str, float]
    totals: dict[str, int]
    owners: list[str]
    owned: dict[str, list[tuple[int, int]]]


def slice_loads(
    slices: Sequence[cells.Slice], loads: Mapping[cells.SliceRef, float]
) -> list[int]:
    """Returns the load of each slice as a positive integer.

    The loads add up to about LOAD_UNITS.
    """
    rates = [max(0.0, loads.get(item.ref, 0.0)) for item in slices]
    measured = math.fsum(rates)
    if measured <= 0:
        return [LOAD_UNITS // len(slices)] * len(slices)
    idle = IDLE_SHARE * measured / len(slices)
    unit = LOAD_UNITS / (measured * (1 + IDLE_SHARE))
    return [max(1, round((rate + idle) * unit)) for rate in rates]


def plan_moves(
    slices: Sequence[cells.Slice],
    nodes: Iterable[Node],
    loads: Mapping[cells.SliceRef, float],
    move_cost: float,
    max_moves: int,
) -> tuple[SliceMove, ...]:
    """Plans the moves that the leader should make now.

    The load of a slice is its measured rate plus IDLE_SHARE of the mean rate.
    The target of a node is its share of the total load by weight, and its
    relative load is its load over its target.

    Slices without a valid owner (with none, or one that has weight 0 or is not
    among the nodes) are always placed: the busiest first, each on the node with
    the least relative load. Nodes within ZONE_TOLERANCE of that count as equal.
    Among them, the one whose zone owns fewer of the two neighbouring slices is
    chosen, then the one whose zone has the least load, so that the failure of a
    zone affects slices spread over the hash space.

    Then slices move one by one to the node with the least relative load, from
    the most loaded node that has a suitable slice. A move is made only if

    - the receiver's relative load after the move is lower than the source's
      before the move by more than `move_cost`, and
    - the slice has more than `move_cost` times the mean load of a slice, as
      moving a smaller one is not worth a change of owner.

    At most `max_moves` such moves are made in one call. The result does not
    depend on the order of the nodes. Nothing is planned when no node has a
    positive weight.

    Args:
      slices: The slices of the record, ordered by start.
      nodes: The members of the cell.
      loads: Requests a second by slice. A slice that is absent counts as idle,
        so the caller must keep the rate of a slice that gets a new epoch.
      move_cost: Least gain of a move, as a share of a node's target.
      max_moves: Bound on moves of slices that have a valid owner.

    Returns:
      One move for each slice that changes its owner: slices without a valid
      owner first, then the others, both in descending order of load.
    """
    usable = {node.name: node for node in nodes if node.weight > 0}
    if not usable or not slices:
        return ()
    plan = start_plan(slices, usable, loads)
    unowned = [i for i, owner in enumerate(plan.owners) if not owner]
    place_unowned(plan, unowned)
    for _ in range(max_moves):
        if not balance_once(plan, move_cost):
            break
    unplaced = set(unowned)
    changed = [
        i for i, item in enumerate(slices) if plan.owners[i] != item.owner
    ]
    changed.sort(key=lambda i: (i not in unplaced, -plan.loads[i], i))
    return tuple(SliceMove(slices[i].ref, plan.owners[i]) for i in changed)


def start_plan(
    slices: Sequence[cells.Slice],
    usable: dict[str, Node],
    loads: Mapping[cells.SliceRef, float],
) -> Plan:
    """Returns the state before any move; invalid owners become NO_OWNER."""
    names = sorted(usable)
    weight = math.fsum(usable[name].weight for name in names)
    amounts = slice_loads(slices, loads)
    total = sum(amounts)
    plan = Plan(
        loads=amounts,
        nodes=usable,
        targets={name: total * usable[name].weight / weight for name in names},
        totals={name: 0 for name in names},
        owners=[
            item.owner if item.owner in usable else cells.NO_OWNER
            for item in slices
        ],
        owned={name: [] for name in names},
    )
    for index, owner in enumerate(plan.owners):
        if owner:
            plan.totals[owner] += amounts[index]
            plan.owned[owner].append((amounts[index], index))
    for owned in plan.owned.values():
        owned.sort()
    return plan


def relative_load(plan: Plan, name: str, extra: int = 0) -> float:
    """Returns the load of a node, plus `extra`, divided by its target."""
    return (plan.totals[name] + extra) / plan.targets[name]


def neighbours_in_zone(plan: Plan, index: int, zone: str) -> int:
    """Returns how many of the two neighbours of a slice are owned in `zone`."""
    neighbours = 0
    for other in (index - 1, index + 1):
        if 0 <= other < len(plan.owners) and plan.owners[other]:
            neighbours += plan.nodes[plan.owners[other]].zone == zone
    return neighbours


def assign(plan: Plan, index: int, name: str) -> None:
    """Changes the owner of a slice in the plan."""
    load = plan.loads[index]
    owner = plan.owners[index]
    if owner:
        owned = plan.owned[owner]
        del owned[bisect.bisect_left(owned, (load, index))]
        plan.totals[owner] -= load
    plan.owners[index] = name
    plan.totals[name] += load
    bisect.insort(plan.owned[name], (load, index))


def place_unowned(plan: Plan, unowned: list[int]) -> None:
    """Places slices without a valid owner on the least loaded nodes."""
    heap = [(relative_load(plan, name), name) for name in plan.targets]
    heapq.heapify(heap)
    zone_targets: dict[str, float] = collections.defaultdict(float)
    zone_totals: dict[str, int] = collections.defaultdict(int)
    for name, target in plan.targets.items():
        zone = plan.nodes[name].zone
        zone_targets[zone] += target
        zone_totals[zone] += plan.totals[name]

    def rank(index: int, load: float, name: str):
        zone = plan.nodes[name].zone
        neighbours = neighbours_in_zone(plan, index, zone)
        return neighbours, zone_totals[zone] / zone_targets[zone], load, name

    for index in sorted(unowned, key=lambda i: (-plan.loads[i], i)):
        candidates = [heapq.heappop(heap)]
        while (
            heap
            and len(candidates) < ZONE_CANDIDATES
            and heap[0][0] <= candidates[0][0] + ZONE_TOLERANCE
        ):
            candidates.append(heapq.heappop(heap))
        chosen = min(rank(index, load, name) for load, name in candidates)[-1]
        assign(plan, index, chosen)
        zone_totals[plan.nodes[chosen].zone] += plan.loads[index]
        for load, name in candidates:
            if name == chosen:
                load = relative_load(plan, name)
            heapq.heappush(heap, (load, name))


def balance_once(plan: Plan, move_cost: float) -> bool:
    """Makes the best move; returns False if none is worth its cost."""
    ranked = sorted((relative_load(plan, name), name) for name in plan.targets)
    least, receiver = ranked[0]
    for load, source in reversed(ranked):
        if load - least <= move_cost:
            return False
        index = slice_to_move(plan, source, receiver, move_cost)
        if index is not None:
            assign(plan, index, receiver)
            return True
    return False


def slice_to_move(
    plan: Plan, source: str, receiver: str, move_cost: float
) -> int | None:
    """Returns the slice whose move balances two nodes best, or None.

    Slices are compared by how far their load is from the ideal amount, in steps
    of a quarter of that amount. Among equal ones, the slice with the fewest
    neighbours in the receiver's zone is chosen.
    """
    before = relative_load(plan, source)
    smallest = move_cost * sum(plan.loads) / len(plan.loads)
    gap = before - relative_load(plan, receiver)
    ideal = gap / (1 / plan.targets[source] + 1 / plan.targets[receiver])
    largest = (gap - move_cost) * plan.targets[receiver]
    owned = plan.owned[source]
    middle = bisect.bisect_right(owned, (min(ideal, largest), len(plan.loads)))
    best = None
    low = max(0, middle - ZONE_CANDIDATES)
    for load, index in owned[low : middle + ZONE_CANDIDATES]:
        after = relative_load(plan, receiver, load)
        if load <= smallest or before - after <= move_cost:
            continue
        distance = abs(load - ideal)
        neighbours = neighbours_in_zone(plan, index, plan.nodes[receiver].zone)
        rank = (int(4 * distance / ideal), neighbours, distance, index)
        if best is None or rank < best:
            best = rank
    return None if best is None else best[-1]
