"""Measures imbalance and churn of placement on a seeded trace."""

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

# Assigns an owner to each slice; None keeps the present one.
Policy = Callable[
    [
        Sequence[cells.Slice],
        Sequence[plan.Node],
        Mapping[cells.SliceRef, float],
    ],
    dict[cells.SliceRef, str],
]


@attrs.frozen
class Setup:
    """What a trace consists of.

    Attributes:
      seed: Seed of all random choices.
      rounds: Rounds of measuring and planning.
      zones: Number of zones.
      nodes_per_zone: Nodes of each zone at the start.
      slices: Slices at the start.
      keys: Number of keys.
      zipf: Exponent of the popularity of keys.
      hot_keys: Keys with additional load, replaced every `hot_rounds` rounds.
      hot_share: Share of all requests that the hot keys have together.
      hot_rounds: Rounds for which a set of hot keys lasts.
      requests_per_s: Mean rate of the cell; rates vary as Poisson counts.
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
    zipf: float = 0.9
    hot_keys: int = 8
    hot_share: float = 0.1
    hot_rounds: int = 15
    requests_per_s: float = 50_000.0
    round_s: float = 5.0
    move_cost: float = 0.1
    max_moves: int = 16


@attrs.frozen
class PolicyFigures:
    """Figures of one policy over the trace.

    Attributes:
      name: Name of the policy.
      imbalance_mean: Load of the hottest node over the mean load of the nodes
        that may own slices, mean over the rounds.
      imbalance_p95: The same, 95th percentile.
      imbalance_max: The same, largest.
      moved: Slices that changed their owner, as a multiple of all slices.
      least: The least `moved` that keeps counts even: slices whose owner was
        gone, and an even share for each node that joined or returned. `moved`
        is below it when joined nodes get fewer slices, or none.
      moved_quiet: Part of `moved` in rounds without a change of nodes.
      load_moved: Load of moved slices, as a multiple of the cell's load.
      call_ms: Mean time of one call of the policy, in milliseconds.
    """

    name: str
    imbalance_mean: float
    imbalance_p95: float
    imbalance_max: float
    moved: float
    least: float
    moved_quiet: float
    load_moved: float
    call_ms: float


@attrs.frozen
class TraceResult:
    """Figures of all policies on the same trace.

    Attributes:
      setup: The trace.
      slices: Slices at the end, after splits.
      floor_mean: Load of the hottest slice over the mean load of a node, mean
        over the rounds; no policy can have less imbalance than this or 1.
      policies: Figures of each policy.
    """

    setup: Setup
    slices: int
    floor_mean: float
    policies: tuple[PolicyFigures, ...]


@attrs.frozen
class Round:
    """One round of a trace.

    Attributes:
      slices: Ranges of the slices; owners are kept by each policy.
      nodes: Nodes with their weights.
      known: Rates of the previous round, on which policies plan.
      loads: Rates of this round.
      joined: Nodes that joined or returned in this round.
      changed: Whether nodes joined, left or changed their weight.
      parents: Index of the slice of the previous round that held each slice.
    """

    slices: tuple[cells.Slice, ...]
    nodes: tuple[plan.Node, ...]
    known: dict[cells.SliceRef, float]
    loads: dict[cells.SliceRef, float]
    joined: int
    changed: bool
    parents: tuple[int, ...]


def nodes_by_round(setup: Setup) -> list[list[plan.Node]]:
    """Returns the nodes of each round.

    Nodes restart one at a time, some are replaced by new ones, and one zone is
    taken out for a sixth of the trace and returns.
    """
    rng = random.Random(f"{setup.seed}/nodes")
    names = [
        (f"zone-{zone}-node-{i}", f"zone-{zone}")
        for zone in range(setup.zones)
        for i in range(setup.nodes_per_zone)
    ]
    out_from, out_until = setup.rounds // 3, setup.rounds // 2
    absent: dict[str, int] = {}
    result = []
    for number in range(setup.rounds):
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


def key_rates(setup: Setup) -> list[tuple[list[int], list[float]]]:
    """Returns sorted points and their rates, for each period of hot keys."""
    rng = random.Random(f"{setup.seed}/keys")
    weights = [1 / (rank + 1) ** setup.zipf for rank in range(setup.keys)]
    scale = setup.requests_per_s * (1 - setup.hot_share) / math.fsum(weights)
    points = [hashing.point("trace", str(i)) for i in range(setup.keys)]
    result = []
    for _ in range(0, setup.rounds, setup.hot_rounds):
        rates = [weight * scale for weight in weights]
        for key in rng.sample(range(setup.keys), setup.hot_keys):
            rates[key] += (
                setup.requests_per_s * setup.hot_share / setup.hot_keys
            )
        ordered = sorted(zip(points, rates))
        result.append(([p for p, _ in ordered], [r for _, r in ordered]))
    return result


def measure(
    slices: Sequence[cells.Slice],
    points: list[int],
    rates: list[float],
    round_s: float,
    rng: random.Random,
) -> tuple[
    dict[cells.SliceRef, float], dict[cells.SliceRef, tuple[int, float]]
]:
    """Returns the measured rate and the hottest key of each slice."""
    loads, hot = {}, {}
    for item in slices:
        low = bisect.bisect_left(points, item.start)
        high = bisect.bisect_right(points, item.last)
        rate = math.fsum(rates[low:high])
        # The normal approximation of the Poisson count of one round.
        noise = rng.gauss(0, math.sqrt(rate / round_s))
        loads[item.ref] = max(0.0, rate + noise)
        if high > low and rate > 0:
            top = max(range(low, high), key=rates.__getitem__)
            hot[item.ref] = (points[top], rates[top] / rate)
    return loads, hot


def make_trace(setup: Setup) -> list[Round]:
    """Returns the rounds; slices are split alike for all policies."""
    rng = random.Random(f"{setup.seed}/noise")
    periods = key_rates(setup)
    slices = cells.even_slices(setup.slices)
    known, hot = measure(slices, *periods[0], setup.round_s, rng)
    before: set[tuple[str, float]] | None = None
    rounds = []
    for number, nodes in enumerate(nodes_by_round(setup)):
        usable = {(node.name, node.weight) for node in nodes if node.weight}
        cuts = splits.plan_splits(slices, known, hot, len(usable))
        parts = splits.apply_splits(slices, cuts)
        starts = [item.start for item in slices]
        parents = tuple(
            bisect.bisect_right(starts, part.start) - 1 for part in parts
        )
        known = splits.split_loads(slices, known, hot, parts)
        period = periods[number // setup.hot_rounds]
        loads, hot = measure(parts, *period, setup.round_s, rng)
        joined = len(usable - before) if before is not None else 0
        changed = before is not None and usable != before
        rounds.append(
            Round(parts, tuple(nodes), known, loads, joined, changed, parents)
        )
        slices, known, before = parts, loads, usable
    return rounds


def planned(move_cost: float, max_moves: int) -> Policy:
    """Returns the policy that applies plan.plan_moves."""

    def assign(slices, nodes, loads):
        moves = plan.plan_moves(slices, nodes, loads, move_cost, max_moves)
        return {move.ref: move.to_node for move in moves}

    return assign


def rendezvous(slices, nodes, _loads) -> dict[cells.SliceRef, str]:
    """The policy that gives each slice to the node of the highest hash."""
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
) -> PolicyFigures:
    """Returns the figures of one policy on a trace."""
    owners: list[str] = []
    imbalances = []
    moved = least = quiet = load_moved = elapsed_s = 0.0
    for number, this in enumerate(rounds):
        usable = {node.name for node in this.nodes if node.weight > 0}
        if number:
            owners = [owners[parent] for parent in this.parents]
        else:
            owners = [cells.NO_OWNER] * len(this.slices)
        slices = [
            attrs.evolve(item, owner=owner)
            for item, owner in zip(this.slices, owners)
        ]
        began_s = time.perf_counter()
        changes = policy(slices, this.nodes, this.known)
        elapsed_s += time.perf_counter() - began_s
        after = [
            changes.get(item.ref, owner) for item, owner in zip(slices, owners)
        ]
        if number:
            count = len(slices)
            changed = [i for i in range(count) if after[i] != owners[i]]
            orphans = sum(owner not in usable for owner in owners)
            share = len(changed) / count
            moved += share
            quiet += 0 if this.changed else share
            least += orphans / count + this.joined / len(usable)
            total = math.fsum(this.known.values())
            load_moved += (
                math.fsum(this.known[slices[i].ref] for i in changed) / total
            )
        totals = dict.fromkeys(usable, 0.0)
        for item, owner in zip(slices, after):
            totals[owner] += this.loads[item.ref]
        imbalances.append(
            max(totals.values()) / statistics.fmean(totals.values())
        )
        owners = after
    return PolicyFigures(
        name=name,
        imbalance_mean=statistics.fmean(imbalances),
        imbalance_p95=statistics.quantiles(imbalances, n=20)[-1],
        imbalance_max=max(imbalances),
        moved=moved,
        least=least,
        moved_quiet=quiet,
        load_moved=load_moved,
        call_ms=1000 * elapsed_s / len(rounds),
    )


def run_trace(setup: Setup = Setup()) -> TraceResult:
    """Runs plan_moves, rendezvous hashing and placing orphans on one trace."""
    rounds = make_trace(setup)
    floors = []
    for this in rounds:
        count = sum(node.weight > 0 for node in this.nodes)
        total = math.fsum(this.loads.values())
        floors.append(max(this.loads.values()) * count / total)
    policies = {
        "plan_moves": planned(setup.move_cost, setup.max_moves),
        "rendezvous": rendezvous,
        "orphans-only": planned(setup.move_cost, 0),
    }
    return TraceResult(
        setup=setup,
        slices=len(rounds[-1].slices),
        floor_mean=statistics.fmean(floors),
        policies=tuple(
            run_policy(name, policy, rounds)
            for name, policy in policies.items()
        ),
    )


@attrs.frozen
class CallTimes:
    """Time of one call of plan_moves at the bounds of a cell.

    Attributes:
      initial_ms: All slices are without an owner.
      steady_ms: Nothing is to be done.
      zone_out_ms: A third of the nodes have lost their weight.
      shifted_ms: Loads have changed; the call makes `max_moves` moves.
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
    slices = cells.even_slices(slice_count)
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
