"""Plans where slices are split and which are merged."""

import bisect
import math
from collections.abc import Iterable, Mapping, Sequence

import attrs

from waxwinglever_model import cells
from waxwinglever_model import limits

# Multiple of the mean load of a node above which a slice is split. On a trace
# without hot keys (30 nodes, 64 slices at first) the hottest node had 1.09 of
# the mean with 177 slices; 0.5 gave 1.19, and 0.1 gave 1.08 with 501 slices.
SPLIT_FACTOR = 0.25
# Multiple of the mean load of a node that merged slices have at most. It is
# below SPLIT_FACTOR, so a merged slice is not split under the same loads, and
# the parts of a split slice together are too busy to be merged.
MERGE_FACTOR = 0.05
# Least share of the slice's requests at which a key gets a slice of its own.
HOT_SHARE = 0.5
# Splits of one call; each makes the record longer and the next call sees
# measured loads of the parts.
MAX_SPLITS = 64


@attrs.frozen
class Split:
    """Cuts a slice in two parts, which keep its owner and epoch.

    Attributes:
      ref: The slice; afterwards it names the lower part.
      at: First point of the upper part.
    """

    ref: cells.SliceRef
    at: int


@attrs.frozen
class Merge:
    """Joins a slice and the one after it.

    Attributes:
      ref: The lower slice; afterwards it names both.
      absorbed: The upper slice.
    """

    ref: cells.SliceRef
    absorbed: cells.SliceRef


def node_mean(
    slices: Sequence[cells.Slice],
    loads: Mapping[cells.SliceRef, float],
    node_count: int,
) -> float:
    """Returns the mean load of a node, in requests a second."""
    if node_count < 1:
        raise ValueError(f"node_count is {node_count}; use 1 or more")
    rates = (loads.get(item.ref, 0.0) for item in slices)
    return math.fsum(rates) / node_count


def plan_splits(
    slices: Sequence[cells.Slice],
    loads: Mapping[cells.SliceRef, float],
    hot: Mapping[cells.SliceRef, tuple[int, float]],
    node_count: int,
    max_slices: int = limits.MAX_SLICES,
) -> tuple[Split, ...]:
    """Plans splits of slices with more than SPLIT_FACTOR of a node's mean load.

    A key with at least HOT_SHARE of its slice's requests gets a slice of one
    point; other slices are cut in the middle. A slice of one point stays.

    Args:
      slices: The slices of the record, ordered by start.
      loads: Requests a second by slice.
      hot: Point of the most frequent key and its share of the requests, by
        slice.
      node_count: Number of nodes that may own slices.
      max_slices: Bound on the number of slices after the splits.

    Returns:
      Splits of the busiest slices, to be applied in this order; a later one
      may cut a part that an earlier one made.
    """
    threshold = SPLIT_FACTOR * node_mean(slices, loads, node_count)
    busy = [item for item in slices if loads.get(item.ref, 0.0) > threshold]
    busy.sort(key=lambda item: (-loads[item.ref], item.start))
    room = min(MAX_SPLITS, max_slices - len(slices))
    splits: list[Split] = []
    for item in busy:
        cuts = cuts_of(item, hot.get(item.ref))
        if len(splits) + len(cuts) > room:
            break
        start = item.start
        for at in cuts:
            splits.append(Split(cells.SliceRef(start, item.epoch), at))
            start = at
    return tuple(splits)


def cuts_of(
    item: cells.Slice, hot: tuple[int, float] | None
) -> tuple[int, ...]:
    """Returns the first points of the upper parts of a slice to be split."""
    if hot is not None and hot[1] >= HOT_SHARE:
        point = hot[0]
        if item.start <= point <= item.last:
            return tuple(
                at for at in (point, point + 1) if item.start < at <= item.last
            )
    if item.start == item.last:
        return ()
    return (item.start + (item.last - item.start + 1) // 2,)


def plan_merges(
    slices: Sequence[cells.Slice],
    loads: Mapping[cells.SliceRef, float],
    node_count: int,
    min_slices: int = limits.INITIAL_SLICES,
) -> tuple[Merge, ...]:
    """Plans merges of cold neighbours with the same owner and epoch.

    The merged slice has at most MERGE_FACTOR of a node's mean load.

    Args:
      slices: The slices of the record, ordered by start.
      loads: Requests a second by slice.
      node_count: Number of nodes that may own slices.
      min_slices: The number of slices stays at or above this.

    Returns:
      Merges, to be applied in this order.
    """
    threshold = MERGE_FACTOR * node_mean(slices, loads, node_count)
    merges: list[Merge] = []
    lower: cells.Slice | None = None
    load = 0.0
    for item in slices:
        if len(slices) - len(merges) <= min_slices:
            break
        rate = loads.get(item.ref, 0.0)
        if (
            lower is not None
            and (lower.owner, lower.epoch) == (item.owner, item.epoch)
            and load + rate <= threshold
        ):
            merges.append(Merge(lower.ref, item.ref))
            load += rate
        else:
            lower, load = item, rate
    return tuple(merges)


def apply_splits(
    slices: Sequence[cells.Slice], splits: Iterable[Split]
) -> tuple[cells.Slice, ...]:
    """Returns the slices after the splits; unknown slices are passed over."""
    result = list(slices)
    for split in splits:
        index = index_of(result, split.ref)
        if index is None:
            continue
        item = result[index]
        if item.start < split.at <= item.last:
            result[index : index + 1] = [
                attrs.evolve(item, last=split.at - 1),
                attrs.evolve(item, start=split.at),
            ]
    return tuple(result)


def apply_merges(
    slices: Sequence[cells.Slice], merges: Iterable[Merge]
) -> tuple[cells.Slice, ...]:
    """Returns the slices after the merges; those that don't fit are left."""
    result = list(slices)
    for merge in merges:
        index = index_of(result, merge.ref)
        if index is None or index + 1 == len(result):
            continue
        lower, upper = result[index : index + 2]
        if upper.ref == merge.absorbed and lower.owner == upper.owner:
            result[index : index + 2] = [attrs.evolve(lower, last=upper.last)]
    return tuple(result)


def index_of(slices: Sequence[cells.Slice], ref: cells.SliceRef) -> int | None:
    """Returns the position of a slice in slices ordered by start, or None."""
    index = bisect.bisect_left(slices, ref.start, key=cells.slice_start)
    if index < len(slices) and slices[index].ref == ref:
        return index
    return None


def split_loads(
    slices: Sequence[cells.Slice],
    loads: Mapping[cells.SliceRef, float],
    hot: Mapping[cells.SliceRef, tuple[int, float]],
    parts: Sequence[cells.Slice],
) -> dict[cells.SliceRef, float]:
    """Estimates the loads of `parts` until their owners have measured them.

    The lower part of a split keeps the ref of the whole slice. With the old
    rate it would be split again at once, so the rate is divided: a hot key's
    share goes to its part and the rest is divided by width.

    Args:
      slices: The slices before the splits.
      loads: Requests a second by slice, before the splits.
      hot: As for plan_splits.
      parts: The slices after the splits.
    """
    result = {}
    for part in parts:
        index = bisect.bisect_right(slices, part.start, key=cells.slice_start)
        whole = slices[index - 1]
        rate = loads.get(whole.ref, 0.0)
        if part == whole:
            result[part.ref] = rate
            continue
        point, share = hot.get(whole.ref, (-1, 0.0))
        width = (part.last - part.start + 1) / (whole.last - whole.start + 1)
        rest = rate * (1 - share) * width
        is_hot = part.start <= point <= part.last
        result[part.ref] = rest + (rate * share if is_hot else 0.0)
    return result
