"""Joins the logs of a run and finds what breaks the guarantees.

The functions take what was logged and return what is wrong; an empty result
means that the guarantee held as far as the logs show. All times are
CLOCK_BOOTTIME, which is one clock for all processes of a machine.
"""

import bisect
import collections
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence

import attrs

# After a freeze a server may need this long to see that an order's time is
# over.
THAW_S = 0.2
BEGAN = "lease-began"
ENDED = "lease-ended"


@attrs.define
class Interval:
    """A node held the lease on a range.

    Attributes:
      node: The holder.
      first: First point of the range.
      last: Last point, inclusive.
      epoch: Epoch of the assignment.
      began_s: When the lease began.
      ended_s: When it ended.
    """

    node: str
    first: int
    last: int
    epoch: int
    began_s: float
    ended_s: float


@attrs.frozen
class Execution:
    """A backend server ran an order.

    Attributes:
      server: Name of the server's VM.
      call_id: Identifies the order.
      identity: What identifies the request over all of its tries, or ''.
      key: The key, or ''.
      epoch: Epoch of the fence, or None without one.
      began_s: When it began.
      ended_s: When it ended.
      end: How it ended.
    """

    server: str
    call_id: str
    identity: str
    key: str
    epoch: int | None
    began_s: float
    ended_s: float
    end: str


@attrs.frozen
class Span:
    """A time in which a fault was in force.

    Attributes:
      name: What the fault hit.
      began_s: When it began.
      ended_s: When it ended.
    """

    name: str
    began_s: float
    ended_s: float


@attrs.frozen
class Sample:
    """What a daemon's status page told.

    Attributes:
      at_s: When the page was asked for.
      node: The daemon.
      incarnation: Its incarnation.
      generation: Generation that it obeys, 0 for none.
    """

    at_s: float
    node: str
    incarnation: str
    generation: int


def held_intervals(
    node: str,
    lines: Iterable[Mapping],
    life_ends: Iterable[float],
    horizon_s: float,
) -> list[Interval]:
    """Returns the leases that a node's log shows.

    A lease without a line for its end was held until the process that held it
    ended. A split shrinks an open lease and begins others on its parts; a
    merge grows it when the lease on the absorbed part ends.

    Args:
      node: The node.
      lines: The lines of its log in order, of all lives of its daemon.
      life_ends: When each life ended: its kill, or the begin of the freeze in
        which it was killed.
      horizon_s: End of the run; open leases end there.
    """
    ends = sorted([*life_ends, horizon_s])
    held: dict[tuple[int, int], Interval] = {}
    closed: list[Interval] = []

    def end_of(lease: Interval) -> float:
        return ends[min(bisect.bisect(ends, lease.began_s), len(ends) - 1)]

    def close(ref: tuple[int, int], at_s: float | None = None) -> Interval:
        lease = held.pop(ref)
        end_s = end_of(lease)
        lease.ended_s = end_s if at_s is None else min(end_s, at_s)
        closed.append(lease)
        return lease

    for line in lines:
        if line.get("event") not in (BEGAN, ENDED):
            continue
        ref = (line["start"], line["epoch"])
        first, last, at_s = line["start"], line["last"], line["at_s"]
        for other in [r for r, kept in held.items() if end_of(kept) < at_s]:
            close(other)
        if line["event"] == BEGAN:
            if ref in held:
                close(ref)
            split_off(held, closed, first, at_s)
            held[ref] = Interval(
                node, first, last, line["epoch"], at_s, horizon_s
            )
        elif ref in held:
            lease = close(ref, at_s)
            if last > lease.last:
                closed.append(grown_part(closed, lease, last))
            lease.last = min(lease.last, last)
    for ref in list(held):
        close(ref)
    return closed


def split_off(
    held: dict[tuple[int, int], Interval],
    closed: list[Interval],
    first: int,
    at_s: float,
) -> None:
    """Ends the upper part of an open lease at which another one begins."""
    for lease in held.values():
        if lease.first < first <= lease.last:
            closed.append(attrs.evolve(lease, first=first, ended_s=at_s))
            lease.last = first - 1


def grown_part(
    closed: Sequence[Interval], lease: Interval, last: int
) -> Interval:
    """Returns the part by which a lease grew, since its own lease ended."""
    since_s = max(
        (
            other.ended_s
            for other in closed
            if lease.last < other.first <= last
            and lease.began_s <= other.ended_s <= lease.ended_s
        ),
        default=lease.began_s,
    )
    return attrs.evolve(lease, first=lease.last + 1, last=last, began_s=since_s)


def lease_overlaps(
    intervals: Iterable[Interval],
) -> list[tuple[Interval, Interval]]:
    """Returns the pairs of leases of two nodes on one point at one time."""
    found = []
    active: list[Interval] = []
    for lease in sorted(intervals, key=lambda item: item.began_s):
        active = [other for other in active if other.ended_s > lease.began_s]
        if lease.ended_s <= lease.began_s:
            continue
        for other in active:
            is_apart = other.last < lease.first or lease.last < other.first
            if other.node != lease.node and not is_apart:
                found.append((other, lease))
        active.append(lease)
    return found


def run_twice(
    executions: Iterable[Execution],
) -> list[tuple[Execution, ...]]:
    """Returns the executions of each request that ran more than once."""
    runs = collections.defaultdict(dict)
    for item in executions:
        if item.identity:
            runs[item.identity][item.server, item.call_id] = item
    return [tuple(each.values()) for each in runs.values() if len(each) > 1]


def false_refusals(
    refused: set[str], executions: Iterable[Execution]
) -> list[Execution]:
    """Returns executions of requests of which each try was answered not-run."""
    return [item for item in executions if item.identity in refused]


def acting_parts(
    item: Execution, freezes: Iterable[Span]
) -> list[tuple[float, float]]:
    """Returns when an execution could act: not while its server was frozen.

    A frozen server can't obey a deadline or a cancellation, so the owner's
    daemon may hand the slice back meanwhile. The order has to end soon after
    the freeze.
    """
    parts = []
    began_s = item.began_s
    for freeze in sorted(freezes, key=lambda span: span.began_s):
        if freeze.name != item.server or freeze.ended_s <= began_s:
            continue
        if freeze.began_s >= item.ended_s:
            break
        parts.append((began_s, freeze.began_s))
        began_s = freeze.ended_s + THAW_S
    parts.append((began_s, item.ended_s))
    return [(a, b) for a, b in parts if a < b]


def key_overlaps(
    executions: Iterable[Execution], freezes: Sequence[Span]
) -> list[tuple[Execution, Execution]]:
    """Returns the pairs of executions of a key by two servers at one time."""
    found = []
    for items in by_key(executions).values():
        active: list[tuple[float, float, Execution]] = []
        parts = sorted(
            (
                (part, item)
                for item in items
                for part in acting_parts(item, freezes)
            ),
            key=lambda pair: pair[0],
        )
        for (began_s, ended_s), item in parts:
            active = [each for each in active if each[1] > began_s]
            for *_, other in active:
                if other.server != item.server:
                    found.append((other, item))
            active.append((began_s, ended_s, item))
    return found


def epoch_regressions(
    executions: Iterable[Execution],
) -> list[tuple[Execution, Execution]]:
    """Returns the pairs in which a key's epoch is lower than before."""
    found = []
    for items in by_key(executions).values():
        highest: Execution | None = None
        for item in sorted(items, key=lambda each: each.began_s):
            if highest is not None and item.epoch < highest.epoch:
                found.append((highest, item))
            else:
                highest = item
    return found


def by_key(
    executions: Iterable[Execution],
) -> dict[str, list[Execution]]:
    """Returns the fenced executions by key."""
    items = collections.defaultdict(list)
    for item in executions:
        if item.key and item.epoch is not None:
            items[item.key].append(item)
    return items


def generation_regressions(
    samples: Iterable[Sample],
) -> list[tuple[Sample, Sample]]:
    """Returns the pairs in which a node obeys a lower generation than before.

    A daemon that has just started and has none yet is passed over.
    """
    found = []
    highest: dict[str, Sample] = {}
    for sample in samples:
        if not sample.generation:
            continue
        before = highest.get(sample.node)
        if before is not None and sample.generation < before.generation:
            found.append((before, sample))
        else:
            highest[sample.node] = sample
    return found


def calm_since(
    at_s: float, disturbances: Iterable[Span], bound_s: float
) -> float:
    """Returns the first time from at_s on that begins a calm of bound_s."""
    for span in sorted(disturbances, key=lambda each: each.began_s):
        if span.ended_s > at_s and span.began_s < at_s + bound_s:
            at_s = span.ended_s
    return at_s


def late_generations(
    written: Mapping[int, float],
    samples: Iterable[Sample],
    disturbances: Sequence[Span],
    started: Mapping[str, Sequence[float]],
    bound_s: float,
) -> list[tuple[int, Sample]]:
    """Returns samples that show a generation in force too late.

    Args:
      written: When each generation was acknowledged.
      samples: Of all daemons.
      disturbances: Faults that may keep a record from spreading.
      started: When each node's daemon was started.
      bound_s: Time after which the record is in force, from the write or the
        end of the last disturbance.
    """
    due = [
        (generation, calm_since(at_s, disturbances, bound_s))
        for generation, at_s in sorted(written.items())
    ]
    found = []
    for sample in samples:
        starts = [s for s in started.get(sample.node, ()) if s <= sample.at_s]
        start_s = max(starts, default=0.0)
        for generation, since_s in due:
            is_due = sample.at_s > max(since_s, start_s) + bound_s
            if is_due and sample.generation < generation:
                found.append((generation, sample))
    return found
