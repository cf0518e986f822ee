"""Compares the imbalance and churn of placement policies on a synthetic trace.

A trace is a sequence of rounds with nodes and measured loads, drawn from a
seed. All policies run on the same trace.
"""

import bisect
import hashlib
import math
import random
import statistics
import time
from collections.abc import Callable, Mapping, Sequence

import attrs

from waxwinglever_model import cells
from waxwinglever_model import hashing
from waxwinglever_placement import plan
from waxwinglever_placement import splits

# A function of the slices, the nodes and the known request rates of the slices.
# It returns owners by slice; a slice that is left out keeps its owner.
Policy = Callable[
    [
        Sequence[cells.Slice],
        Sequence[plan.Node],
        Mapping[cells.SliceRef, float],
    ],
    dict[cells.SliceRef, str],
]


@attrs.frozen
class TraceParameters:
    """Parameters of a trace.

    Attributes:
      seed: Seed of all random choices.
      rounds: Number of rounds of measuring and planning.
      zones: Number of zones.
      nodes_per_zone: Number of nodes in each zone at the start.
      slices: Number of slices at the start.
      keys: Number of keys.
      zipf_exponent: Exponent of the Zipf distribution of the request rates of
        keys.
      hot_keys: Number of keys with additional load, replaced by others every
        `hot_rounds` rounds.
      hot_share: Share of all requests that the hot keys have together.
      hot_rounds: Number of rounds for which a set of hot keys lasts.
      requests_per_s: Mean request rate of the cell. The measured counts follow
        a Poisson distribution.
      round_s: Length of a round, in seconds.
      move_cost: As for plan.plan_moves.
      max_moves: As for plan.plan_moves.
    """

    seed: int = 1
    rounds: int = 120
    zones: int = 3
    nodes_per_zone: int = 10
    slices: int = 512
    keys: int = 20_000
    zipf_exponent: float = 0.9
    hot_keys: int = 8
    hot_share: float = 0.1
    hot_rounds: int = 15
    requests_per_s: float = 50_000.0
    round_s: float = 5.0
    move_cost: float = 0.1
    max_moves: int = 16


@attrs.frozen
class PolicyMetrics:
    """Imbalance and churn of one policy over the trace.

    Attributes:
      name: Name of the policy.
      imbalance_mean: The ratio of the highest load of a node to the mean load
        of the nodes that may own slices; the mean over the rounds.
      imbalance_p95: The 95th percentile of this ratio.
      imbalance_max: The maximum of this ratio.
      moved: Slices that changed their owner, as a multiple of all slices.
      min_moved: The lowest `moved` with which all nodes have equal numbers of
        slices: the slices whose owner was gone, and an even share for each
        node that joined or returned. `moved` is lower if nodes that joined get
        fewer slices than that.
      moved_while_stable: The part of `moved` from rounds in which no node
        joined, left or changed its weight.
      load_moved: Load of moved slices, as a multiple of the cell's load.
      call_ms: Mean duration of one call of the policy, in milliseconds.
    """

    name: str
    imbalance_mean: float
    imbalance_p95: float
    imbalance_max: float
    moved: float
    min_moved: float
    moved_while_stable: float
    load_moved: float
    call_ms: float


@attrs.frozen
class TraceResult:
    """Metrics of all policies on the same trace.

    Attributes:
      parameters: Parameters of the trace.
      slices: Number of slices at the end, after splits.
      min_imbalance_mean: The ratio of the highest load of a slice to the mean
        load of a node; the mean over the rounds. No policy can have a lower
        imbalance than this or than 1.
      policies: Metrics of each policy.
    """

    parameters: TraceParameters
    slices: int
    min_imbalance_mean: float
    policies: tuple[PolicyMetrics, ...]


@attrs.frozen
class Round:
    """One round of a trace.

    Attributes:
      slices: The slices without owners, which differ by policy.
      nodes: Nodes with their weights.
      known_loads: Request rates of the previous round, the policies' input.
      loads: Request rates of this round.
      joined_count: Number of nodes that joined or returned in this round.
      nodes_changed: Whether nodes joined, left or changed their weight.
      parent_indexes: For each slice, the index of the slice of the previous
        round that contained it.
    """

    slices: tuple[cells.Slice, ...]
    nodes: tuple[plan.Node, ...]
    known_loads: dict[cells.SliceRef, float]
    loads: dict[cells.SliceRef, float]
    joined_count: int
    nodes_changed: bool
    parent_indexes: tuple[int, ...]


def nodes_by_round(parameters: TraceParameters) -> list[list[plan.Node]]:
    """Returns the nodes of each round.

    Every tenth round a node is replaced by a new one or is absent for a few
    rounds. One zone is out for a sixth of the trace and then returns.
    """
    rng = random.Random(f"{parameters.seed}/nodes")
    names = [
        (f"zone-{zone}-node-{i}", f"zone-{zone}")
        for zone in range(parameters.zones)
        for i in range(parameters.nodes_per_zone)
    ]
    out_from, out_until = parameters.rounds // 3, parameters.rounds // 2
    absent: dict[str, int] = {}
    result = []
    for number in range(parameters.rounds):
        absent = {name: end for name, end in absent.items() if end > number}
        if number and number % 10 == 0:
            index = rng.randrange(len(names))
            name, zone = names[index]
            if rng.random() < 0.3:
                names[index] = (f"{zone}-node-r{number}", zone)
            else:
                absent[name] = number + rng.randint(1, 5)
        is_out = out_from <= number < out_until
        result.append(
            [
                plan.Node(name, zone, 0 if is_out and zone == "zone-0" else 1)
                for name, zone in names
                if name not in absent
            ]
        )
    return result


def key_rates(
    parameters: TraceParameters,
) -> list[tuple[list[int], list[float]]]:
    """Returns sorted key points and their rates, for each set of hot keys."""
    rng = random.Random(f"{parameters.seed}/keys")
    weights = [
        1 / (rank + 1) ** parameters.zipf_exponent
        for rank in range(parameters.keys)
    ]
    scale = (
        parameters.requests_per_s
        * (1 - parameters.hot_share)
        / math.fsum(weights)
    )
    points = [
        hashing.key_point("trace", str(i)) for i in range(parameters.keys)
    ]
    result = []
    for _ in range(0, parameters.rounds, parameters.hot_rounds):
        rates = [weight * scale for weight in weights]
        for key in rng.sample(range(parameters.keys), parameters.hot_keys):
            rates[key] += (
                parameters.requests_per_s
                * parameters.hot_share
                / parameters.hot_keys
            )
        ordered = sorted(zip(points, rates))
        result.append(([p for p, _ in ordered], [r for _, r in ordered]))
    return result


def measure_loads(
    slices: Sequence[cells.Slice],
    points: list[int],
    rates: list[float],
    round_s: float,
    rng: random.Random,
) -> tuple[
    dict[cells.SliceRef, float], dict[cells.SliceRef, tuple[int, float]]
]:
    """Returns the simulated measurements of one round.

    Args:
      slices: The slices.
      points: Points of the keys, sorted.
      rates: Request rate of each point.
      round_s: Length of the round, in seconds.
      rng: Source of the measurement noise.

    Returns:
      The measured rate of each slice, and the point of the hottest key in each
      slice with its share of the slice's rate.
    """
    loads, hot = {}, {}
    for item in slices:
        low = bisect.bisect_left(points, item.start)
        high = bisect.bisect_right(points, item.last)
        rate = math.fsum(rates[low:high])
        # Normal approximation of a Poisson count over one round.
        noise = rng.gauss(0, math.sqrt(rate / round_s))
        loads[item.ref] = max(0.0, rate + noise)
        if high > low and rate > 0:
            top = max(range(low, high), key=rates.__getitem__)
            hot[item.ref] = (points[top], rates[top] / rate)
    return loads, hot


def make_trace(parameters: TraceParameters) -> list[Round]:
    """Returns the rounds of a trace; splits don't depend on the policy."""
    rng = random.Random(f"{parameters.seed}/noise")
    hot_periods = key_rates(parameters)
    slices = cells.equal_slices(parameters.slices)
    known_loads, hot = measure_loads(
        slices, *hot_periods[0], parameters.round_s, rng
    )
    previous_usable: set[tuple[str, float]] | None = None
    rounds = []
    for number, nodes in enumerate(nodes_by_round(parameters)):
        usable = {(node.name, node.weight) for node in nodes if node.weight}
        planned_splits = splits.plan_splits(
            slices, known_loads, hot, len(usable)
        )
        parts = splits.apply_splits(slices, planned_splits)
        starts = [item.start for item in slices]
        parent_indexes = tuple(
            bisect.bisect_right(starts, part.start) - 1 for part in parts
        )
        known_loads = splits.estimate_loads(slices, known_loads, hot, parts)
        period = hot_periods[number // parameters.hot_rounds]
        loads, hot = measure_loads(parts, *period, parameters.round_s, rng)
        joined_count = (
            len(usable - previous_usable) if previous_usable is not None else 0
        )
        nodes_changed = (
            previous_usable is not None and usable != previous_usable
        )
        rounds.append(
            Round(
                parts,
                tuple(nodes),
                known_loads,
                loads,
                joined_count,
                nodes_changed,
                parent_indexes,
            )
        )
        slices, known_loads, previous_usable = parts, loads, usable
    return rounds


def planner_policy(move_cost: float, max_moves: int) -> Policy:
    """Returns a policy that plans with plan.plan_moves."""

    def assign(slices, nodes, loads):
        moves = plan.plan_moves(slices, nodes, loads, move_cost, max_moves)
        return {move.ref: move.to_node for move in moves}

    return assign


def rendezvous_policy(slices, nodes, _loads) -> dict[cells.SliceRef, str]:
    """Assigns each slice by rendezvous (highest random weight) hashing."""
    names = [node.name for node in nodes if node.weight > 0]

    def score(start: int, name: str) -> bytes:
        text = f"{start}/{name}".encode()
        return hashlib.blake2b(text, digest_size=8).digest()

    return {
        item.ref: max(names, key=lambda name, s=item.start: score(s, name))
        for item in slices
    }


def run_policy(
    name: str, policy: Policy, rounds: Sequence[Round]
) -> PolicyMetrics:
    """Returns the metrics of one policy on a trace."""
    owners: list[str] = []
    imbalances = []
    moved = min_moved = moved_while_stable = load_moved = policy_s = 0.0
    for number, current in enumerate(rounds):
        usable = {node.name for node in current.nodes if node.weight > 0}
        if number:
            owners = [owners[parent] for parent in current.parent_indexes]
        else:
            owners = [cells.NO_OWNER] * len(current.slices)
        slices = [
            attrs.evolve(item, owner=owner)
            for item, owner in zip(current.slices, owners)
        ]
        began_s = time.perf_counter()
        changes = policy(slices, current.nodes, current.known_loads)
        policy_s += time.perf_counter() - began_s
        new_owners = [
            changes.get(item.ref, owner) for item, owner in zip(slices, owners)
        ]
        if number:
            count = len(slices)
            moved_slices = [
                i for i in range(count) if new_owners[i] != owners[i]
            ]
            orphan_count = sum(owner not in usable for owner in owners)
            share = len(moved_slices) / count
            moved += share
            moved_while_stable += 0 if current.nodes_changed else share
            min_moved += orphan_count / count + current.joined_count / len(
                usable
            )
            total = math.fsum(current.known_loads.values())
            load_moved += (
                math.fsum(
                    current.known_loads[slices[i].ref] for i in moved_slices
                )
                / total
            )
        totals = dict.fromkeys(usable, 0.0)
        for item, owner in zip(slices, new_owners):
            totals[owner] += current.loads[item.ref]
        imbalances.append(
            max(totals.values()) / statistics.fmean(totals.values())
        )
        owners = new_owners
    return PolicyMetrics(
        name=name,
        imbalance_mean=statistics.fmean(imbalances),
        imbalance_p95=statistics.quantiles(imbalances, n=20)[-1],
        imbalance_max=max(imbalances),
        moved=moved,
        min_moved=min_moved,
        moved_while_stable=moved_while_stable,
        load_moved=load_moved,
        call_ms=1000 * policy_s / len(rounds),
    )


def run_trace(parameters: TraceParameters = TraceParameters()) -> TraceResult:
    """Compares three policies on one trace.

    These are plan_moves, rendezvous hashing, and plan_moves limited to slices
    without a usable owner ("orphans-only").
    """
    rounds = make_trace(parameters)
    min_imbalances = []
    for current in rounds:
        count = sum(node.weight > 0 for node in current.nodes)
        total = math.fsum(current.loads.values())
        min_imbalances.append(max(current.loads.values()) * count / total)
    policies = {
        "plan_moves": planner_policy(
            parameters.move_cost, parameters.max_moves
        ),
        "rendezvous": rendezvous_policy,
        "orphans-only": planner_policy(parameters.move_cost, 0),
    }
    return TraceResult(
        parameters=parameters,
        slices=len(rounds[-1].slices),
        min_imbalance_mean=statistics.fmean(min_imbalances),
        policies=tuple(
            run_policy(name, policy, rounds)
            for name, policy in policies.items()
        ),
    )


@attrs.frozen
class CallTimes:
    """Duration of one call of plan_moves for a cell of the largest size.

    Attributes:
      initial_ms: No slice has an owner.
      steady_ms: The same loads again, after the initial assignment.
      zone_out_ms: A third of the nodes have a weight of 0.
      shifted_ms: The loads have changed; the call makes up to `max_moves`
        moves.
    """

    initial_ms: float
    steady_ms: float
    zone_out_ms: float
    shifted_ms: float


def time_calls(
    slice_count: int = 4096, node_count: int = 128, max_moves: int = 64
) -> CallTimes:
    """Times plan_moves with skewed loads on many slices and nodes."""
    rng = random.Random(1)
    slices = cells.equal_slices(slice_count)
    nodes = [
        plan.Node(f"n{i:03}", f"zone-{i % 3}", 1) for i in range(node_count)
    ]
    drained = [
        attrs.evolve(node, weight=0) if node.zone == "zone-0" else node
        for node in nodes
    ]
    loads = {item.ref: rng.paretovariate(2) for item in slices}
    shifted = {item.ref: rng.paretovariate(2) for item in slices}

    def timed(items, members, rates, limit):
        began_s = time.perf_counter()
        moves = plan.plan_moves(items, members, rates, 0.1, limit)
        return 1000 * (time.perf_counter() - began_s), moves

    initial_ms, moves = timed(slices, nodes, loads, slice_count)
    owners = {move.ref: move.to_node for move in moves}
    owned = [attrs.evolve(item, owner=owners[item.ref]) for item in slices]
    return CallTimes(
        initial_ms=initial_ms,
        steady_ms=timed(owned, nodes, loads, max_moves)[0],
        zone_out_ms=timed(owned, drained, loads, max_moves)[0],
        shifted_ms=timed(owned, nodes, shifted, max_moves)[0],
    )
