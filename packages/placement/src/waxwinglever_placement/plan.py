"""Plans which slices move to which nodes."""

import bisect
import collections
import heapq
import math
from collections.abc import Iterable, Mapping, Sequence

import attrs

from waxwinglever_model import cells

# Each slice counts as this share of the mean measured rate on top of its own
# rate, so that idle slices are spread by count but never outweigh load.
IDLE_SHARE = 0.05
# Loads are integers in this unit of the total, so that sums do not depend on
# the order of addition and a second call sees exactly the same state.
LOAD_UNITS = 1 << 48
# A node may be preferred for its zone when its load over target is at most
# this far above that of the least loaded node.
ZONE_TOLERANCE = 0.02
# Alternatives that are compared for the spread over zones.
ZONE_CANDIDATES = 8


@attrs.frozen
class Node:
    """A member as placement sees it.

    Attributes:
      name: Node name.
      zone: Availability zone.
      weight: Relative capacity; 0 means that it must own nothing.
    """

    name: str
    zone: str
    weight: float = attrs.field()

    @weight.validator
    def _check_weight(self, _attribute, value):
        if not (math.isfinite(value) and value >= 0):
            raise ValueError(f"weight of {self.name} is {value}; use 0 or more")


@attrs.frozen
class Move:
    """A slice gets a new owner.

    Attributes:
      ref: The slice, under its present epoch.
      to_node: Name of the new owner.
    """

    ref: cells.SliceRef
    to_node: str


@attrs.define(eq=False)
class Plan:
    """Working state of one call; slices are named by their index.

    Attributes:
      loads: Load of each slice in LOAD_UNITS.
      nodes: Nodes of positive weight, by name.
      targets: Load that each node should have.
      totals: Load that each node has under the plan.
      owners: Owner of each slice under the plan, or NO_OWNER.
      held: (load, index) of each node's slices, sorted.
    """

    loads: list[int]
    nodes: dict[str, Node]
    targets: dict[str, float]
    totals: dict[str, int]
    owners: list[str]
    held: dict[str, list[tuple[int, int]]]


def slice_loads(
    slices: Sequence[cells.Slice], loads: Mapping[cells.SliceRef, float]
) -> list[int]:
    """Returns the load of each slice in LOAD_UNITS, always positive."""
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
) -> tuple[Move, ...]:
    """Plans the moves that the leader should make now.

    The load of a slice is its measured rate plus IDLE_SHARE of the mean rate.
    The target of a node is its share of the total load by weight, and its
    relative load is its load over its target.

    Slices without an owner, or with an owner that has weight 0 or is not
    among the nodes, are always placed: the busiest first, each on the node
    with the least relative load. Nodes within ZONE_TOLERANCE of that count as
    equal, and the one whose zone holds fewer of the two neighbouring slices,
    then the one whose zone has the least load, is taken, so that the loss of a
    zone is spread over the hash space.

    Then slices move one by one from the hottest node that can give one to the
    node with the least relative load. Such a move is made only if

    - the receiver's relative load after the move is lower than the giver's
      before the move by more than `move_cost`, and
    - the slice has more than `move_cost` times the mean load of a slice, as a
      smaller one gains too little for a change of owner.

    At most `max_moves` such moves are made in one call. The same arguments
    give the same plan, in whatever order the nodes are. Nothing is planned
    when no node has a positive weight: the slices stay where they are.

    Args:
      slices: The slices of the record, ordered by start.
      nodes: The members of the cell.
      loads: Requests a second by slice. A slice that is absent counts as idle,
        so the caller carries the rate over when a slice gets a new epoch.
      move_cost: Least gain of a move, as a share of a node's target.
      max_moves: Limit on moves of slices that have a valid owner.

    Returns:
      One move for each slice that changes its owner: slices without a valid
      owner first, each part in the order of load.
    """
    usable = {node.name: node for node in nodes if node.weight > 0}
    if not usable or not slices:
        return ()
    plan = start_plan(slices, usable, loads)
    orphans = [i for i, owner in enumerate(plan.owners) if not owner]
    place_orphans(plan, orphans)
    for _ in range(max_moves):
        if not balance_once(plan, move_cost):
            break
    unplaced = set(orphans)
    changed = [
        i for i, item in enumerate(slices) if plan.owners[i] != item.owner
    ]
    changed.sort(key=lambda i: (i not in unplaced, -plan.loads[i], i))
    return tuple(Move(slices[i].ref, plan.owners[i]) for i in changed)


def start_plan(
    slices: Sequence[cells.Slice],
    usable: dict[str, Node],
    loads: Mapping[cells.SliceRef, float],
) -> Plan:
    """Returns the state before any move; invalid owners are left out."""
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
        held={name: [] for name in names},
    )
    for index, owner in enumerate(plan.owners):
        if owner:
            plan.totals[owner] += amounts[index]
            plan.held[owner].append((amounts[index], index))
    for held in plan.held.values():
        held.sort()
    return plan


def relative_load(plan: Plan, name: str, extra: int = 0) -> float:
    """Returns the load of a node over its target, with `extra` load added."""
    return (plan.totals[name] + extra) / plan.targets[name]


def zone_clashes(plan: Plan, index: int, zone: str) -> int:
    """Returns how many neighbours of a slice are owned in `zone`."""
    clashes = 0
    for other in (index - 1, index + 1):
        if 0 <= other < len(plan.owners) and plan.owners[other]:
            clashes += plan.nodes[plan.owners[other]].zone == zone
    return clashes


def assign(plan: Plan, index: int, name: str) -> None:
    """Gives a slice to a node, taking it from its owner if it has one."""
    load = plan.loads[index]
    owner = plan.owners[index]
    if owner:
        held = plan.held[owner]
        del held[bisect.bisect_left(held, (load, index))]
        plan.totals[owner] -= load
    plan.owners[index] = name
    plan.totals[name] += load
    bisect.insort(plan.held[name], (load, index))


def place_orphans(plan: Plan, orphans: list[int]) -> None:
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
        clashes = zone_clashes(plan, index, zone)
        return clashes, zone_totals[zone] / zone_targets[zone], load, name

    for index in sorted(orphans, key=lambda i: (-plan.loads[i], i)):
        near = [heapq.heappop(heap)]
        while (
            heap
            and len(near) < ZONE_CANDIDATES
            and heap[0][0] <= near[0][0] + ZONE_TOLERANCE
        ):
            near.append(heapq.heappop(heap))
        chosen = min(rank(index, load, name) for load, name in near)[-1]
        assign(plan, index, chosen)
        zone_totals[plan.nodes[chosen].zone] += plan.loads[index]
        for load, name in near:
            if name == chosen:
                load = relative_load(plan, name)
            heapq.heappush(heap, (load, name))


def balance_once(plan: Plan, move_cost: float) -> bool:
    """Makes the most useful move; returns False when none is worth its cost."""
    ranked = sorted((relative_load(plan, name), name) for name in plan.targets)
    least, receiver = ranked[0]
    for load, giver in reversed(ranked):
        if load - least <= move_cost:
            return False
        index = slice_to_move(plan, giver, receiver, move_cost)
        if index is not None:
            assign(plan, index, receiver)
            return True
    return False


def slice_to_move(
    plan: Plan, giver: str, receiver: str, move_cost: float
) -> int | None:
    """Returns the slice whose move brings two nodes closest, or None.

    Loads within a quarter of the ideal amount count as equal, and the slice
    with fewer neighbours in the receiver's zone is taken.
    """
    before = relative_load(plan, giver)
    smallest = move_cost * sum(plan.loads) / len(plan.loads)
    gap = before - relative_load(plan, receiver)
    ideal = gap / (1 / plan.targets[giver] + 1 / plan.targets[receiver])
    largest = (gap - move_cost) * plan.targets[receiver]
    held = plan.held[giver]
    middle = bisect.bisect_right(held, (min(ideal, largest), len(plan.loads)))
    best = None
    low = max(0, middle - ZONE_CANDIDATES)
    for load, index in held[low : middle + ZONE_CANDIDATES]:
        after = relative_load(plan, receiver, load)
        if load <= smallest or before - after <= move_cost:
            continue
        distance = abs(load - ideal)
        clashes = zone_clashes(plan, index, plan.nodes[receiver].zone)
        rank = (int(4 * distance / ideal), clashes, distance, index)
        if best is None or rank < best:
            best = rank
    return None if best is None else best[-1]
