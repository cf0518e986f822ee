"""Checks the logs of a soak run for violations of the guarantees.

Each check takes log data and returns the violations that it found; an empty
result means that the logs show none. All times are CLOCK_BOOTTIME seconds, a
clock that all processes on one host share.
"""

import bisect
import collections
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence

import attrs

# Time that a resumed server needs to end requests whose deadline has passed.
RESUME_GRACE_S = 0.2
LEASE_BEGAN = "lease-began"
LEASE_ENDED = "lease-ended"


@attrs.define
class LeaseInterval:
    """A period in which a node held the lease on a range of points.

    Attributes:
      node: The holder.
      first: First point of the range.
      last: Last point, inclusive.
      epoch: Epoch of the slice assignment.
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
    """One execution of a request by a backend server.

    Attributes:
      server: Name of the server's VM.
      call_id: Identifies this call of the backend server.
      identity: Identifies the request across all of its attempts, or '' if
        nothing does.
      key: Key of the request, or ''.
      epoch: Epoch of the fence that the call carried, or None without one.
      began_s: When it began.
      ended_s: When it ended.
      end: How it ended, as the backend server logged it.
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
    """A period in which a fault or an outage lasted.

    Attributes:
      name: The affected process or key, or the kind of fault.
      began_s: When it began.
      ended_s: When it ended.
    """

    name: str
    began_s: float
    ended_s: float


@attrs.frozen
class StatusSample:
    """A sample of a daemon's status page.

    Attributes:
      at_s: When the page was requested.
      node: Node of the daemon.
      incarnation: Incarnation of the daemon.
      generation: Active configuration generation, or 0 for none.
    """

    at_s: float
    node: str
    incarnation: str
    generation: int


def lease_intervals(
    node: str,
    lines: Iterable[Mapping],
    process_ends: Iterable[float],
    run_end_s: float,
) -> list[LeaseInterval]:
    """Returns the leases that a node's log records.

    A lease without a logged end lasted until the process that held it ended.
    A split shrinks an open lease and begins leases on the parts split off; a
    merge extends a lease when the lease on the absorbed part ends.

    Args:
      node: The node.
      lines: Log lines of all processes of the node's daemon, in order.
      process_ends: When each of these processes ended. One that was killed
        while frozen counts as ended at the start of the freeze.
      run_end_s: End of the soak run, at which open leases end.
    """
    ends = sorted([*process_ends, run_end_s])
    open_leases: dict[tuple[int, int], LeaseInterval] = {}
    ended_leases: list[LeaseInterval] = []

    def latest_end_s(lease: LeaseInterval) -> float:
        return ends[min(bisect.bisect(ends, lease.began_s), len(ends) - 1)]

    def close(ref: tuple[int, int], at_s: float | None = None) -> LeaseInterval:
        lease = open_leases.pop(ref)
        end_s = latest_end_s(lease)
        lease.ended_s = end_s if at_s is None else min(end_s, at_s)
        ended_leases.append(lease)
        return lease

    for line in lines:
        if line.get("event") not in (LEASE_BEGAN, LEASE_ENDED):
            continue
        ref = (line["start"], line["epoch"])
        first, last, at_s = line["start"], line["last"], line["at_s"]
        for other in [
            r for r, lease in open_leases.items() if latest_end_s(lease) < at_s
        ]:
            close(other)
        if line["event"] == LEASE_BEGAN:
            if ref in open_leases:
                close(ref)
            close_split_part(open_leases, ended_leases, first, at_s)
            open_leases[ref] = LeaseInterval(
                node, first, last, line["epoch"], at_s, run_end_s
            )
        elif ref in open_leases:
            lease = close(ref, at_s)
            if last > lease.last:
                ended_leases.append(merged_part(ended_leases, lease, last))
            lease.last = min(lease.last, last)
    for ref in list(open_leases):
        close(ref)
    return ended_leases


def close_split_part(
    open_leases: dict[tuple[int, int], LeaseInterval],
    ended_leases: list[LeaseInterval],
    first: int,
    at_s: float,
) -> None:
    """Ends the part of an open lease on which a new lease begins."""
    for lease in open_leases.values():
        if lease.first < first <= lease.last:
            ended_leases.append(attrs.evolve(lease, first=first, ended_s=at_s))
            lease.last = first - 1


def merged_part(
    ended_leases: Sequence[LeaseInterval], lease: LeaseInterval, last: int
) -> LeaseInterval:
    """Returns the part that a merge added to a lease.

    The part belongs to the lease from the time at which the part's own lease
    ended.
    """
    since_s = max(
        (
            other.ended_s
            for other in ended_leases
            if lease.last < other.first <= last
            and lease.began_s <= other.ended_s <= lease.ended_s
        ),
        default=lease.began_s,
    )
    return attrs.evolve(lease, first=lease.last + 1, last=last, began_s=since_s)


def lease_overlaps(
    intervals: Iterable[LeaseInterval],
) -> list[tuple[LeaseInterval, LeaseInterval]]:
    """Returns the pairs of two nodes' leases that overlap in range and time."""
    found = []
    active: list[LeaseInterval] = []
    for lease in sorted(intervals, key=lambda item: item.began_s):
        active = [other for other in active if other.ended_s > lease.began_s]
        if lease.ended_s <= lease.began_s:
            continue
        for other in active:
            is_disjoint = other.last < lease.first or lease.last < other.first
            if other.node != lease.node and not is_disjoint:
                found.append((other, lease))
        active.append(lease)
    return found


def repeated_executions(
    executions: Iterable[Execution],
) -> list[tuple[Execution, ...]]:
    """Returns the executions of each request that was executed repeatedly."""
    runs = collections.defaultdict(dict)
    for item in executions:
        if item.identity:
            runs[item.identity][item.server, item.call_id] = item
    return [tuple(each.values()) for each in runs.values() if len(each) > 1]


def false_refusals(
    refused: set[str], executions: Iterable[Execution]
) -> list[Execution]:
    """Returns executions of requests that only got `not-run` responses."""
    return [item for item in executions if item.identity in refused]


def active_periods(
    item: Execution, freezes: Iterable[Span]
) -> list[tuple[float, float]]:
    """Returns the periods of an execution in which its server was not frozen.

    A frozen server can't react to a deadline or a cancellation, so the owner's
    daemon may release the slice in the meantime. The execution has to end
    within RESUME_GRACE_S after the freeze.
    """
    periods = []
    began_s = item.began_s
    for freeze in sorted(freezes, key=lambda span: span.began_s):
        if freeze.name != item.server or freeze.ended_s <= began_s:
            continue
        if freeze.began_s >= item.ended_s:
            break
        periods.append((began_s, freeze.began_s))
        began_s = freeze.ended_s + RESUME_GRACE_S
    periods.append((began_s, item.ended_s))
    return [(a, b) for a, b in periods if a < b]


def key_overlaps(
    executions: Iterable[Execution], freezes: Sequence[Span]
) -> list[tuple[Execution, Execution]]:
    """Returns the pairs of concurrent executions of a key by two servers."""
    found = []
    for items in executions_by_key(executions).values():
        active: list[tuple[float, float, Execution]] = []
        periods = sorted(
            (
                (period, item)
                for item in items
                for period in active_periods(item, freezes)
            ),
            key=lambda pair: pair[0],
        )
        for (began_s, ended_s), item in periods:
            active = [each for each in active if each[1] > began_s]
            for *_, other in active:
                if other.server != item.server:
                    found.append((other, item))
            active.append((began_s, ended_s, item))
    return found


def epoch_regressions(
    executions: Iterable[Execution],
) -> list[tuple[Execution, Execution]]:
    """Returns the pairs of executions of a key in which the epoch decreased."""
    found = []
    for items in executions_by_key(executions).values():
        highest: Execution | None = None
        for item in sorted(items, key=lambda each: each.began_s):
            if highest is not None and item.epoch < highest.epoch:
                found.append((highest, item))
            else:
                highest = item
    return found


def executions_by_key(
    executions: Iterable[Execution],
) -> dict[str, list[Execution]]:
    """Groups the executions that have a key and a fence by key."""
    items = collections.defaultdict(list)
    for item in executions:
        if item.key and item.epoch is not None:
            items[item.key].append(item)
    return items


def generation_regressions(
    samples: Iterable[StatusSample],
) -> list[tuple[StatusSample, StatusSample]]:
    """Returns the pairs of samples in which a node's generation decreased.

    Samples of a daemon that has no configuration yet are skipped.
    """
    found = []
    highest: dict[str, StatusSample] = {}
    for sample in samples:
        if not sample.generation:
            continue
        before = highest.get(sample.node)
        if before is not None and sample.generation < before.generation:
            found.append((before, sample))
        else:
            highest[sample.node] = sample
    return found


def undisturbed_since(
    at_s: float, disturbances: Iterable[Span], bound_s: float
) -> float:
    """Returns the first time from at_s on that is followed by bound_s of calm.

    Calm means that no disturbance is active.
    """
    for span in sorted(disturbances, key=lambda each: each.began_s):
        if span.ended_s > at_s and span.began_s < at_s + bound_s:
            at_s = span.ended_s
    return at_s


def late_generations(
    written: Mapping[int, float],
    samples: Iterable[StatusSample],
    disturbances: Sequence[Span],
    started: Mapping[str, Sequence[float]],
    bound_s: float,
) -> list[tuple[int, StatusSample]]:
    """Returns the samples that lack a generation that is overdue.

    Each sample is paired with the generation that should have been active.

    Args:
      written: When each generation was acknowledged.
      samples: Status samples of all daemons.
      disturbances: Faults that may delay the spread of a configuration.
      started: When each node's daemon was started.
      bound_s: Time within which a configuration must be active, counted from
        its write, the end of the last disturbance or the start of the daemon.
    """
    due = [
        (generation, undisturbed_since(at_s, disturbances, bound_s))
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
