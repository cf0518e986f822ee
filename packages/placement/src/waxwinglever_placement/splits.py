"""Plans and applies splits and merges of slices."""

import bisect
import math
from collections.abc import Iterable, Mapping, Sequence

import attrs

from waxwinglever_model import cells
from waxwinglever_model import limits

# Multiple of the mean load of a node above which a slice is split. A larger one
# balances worse, and a smaller one needs more slices: on a trace without hot
# keys (30 nodes, initially 64 slices) the hottest node has 1.09 of the mean
# load with 177 slices. With 0.5 it has 1.19, and with 0.1 it has 1.08 with 501
# slices.
SPLIT_FACTOR = 0.25
# Multiple of the mean load of a node that a merged slice may have at most. It
# is below SPLIT_FACTOR, so under the same loads a merged slice is not split
# again, and the parts of a split slice are not merged again.
MERGE_FACTOR = 0.05
# Least share of the slice's requests at which a key gets a slice of its own.
HOT_SHARE = 0.5
# Bound on the splits of one call. Each split makes the record longer, and the
# next call uses measured loads of the parts.
MAX_SPLITS_PER_CALL = 64


@attrs.frozen
class Split:
    """Splits a slice into two parts, which keep its owner and epoch.

    Attributes:
      ref: The slice; after the split it identifies the lower part.
      at: First point of the upper part.
    """

    ref: cells.SliceRef
    at: int


@attrs.frozen
class Merge:
    """Merges a slice with the one after it.

    Attributes:
      ref: The lower slice; after the merge it identifies the merged slice.
      absorbed: The upper slice.
    """

    ref: cells.SliceRef
    absorbed: cells.SliceRef


def mean_node_load(
    slices: Sequence[cells.Slice],
    loads: Mapping[cells.SliceRef, float],
    node_count: int,
) -> float:
    """Returns the mean load of a node, in requests a second.

    Raises:
      ValueError: `node_count` is less than 1.
    """
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
    point; other slices are split in the middle. A slice of one point is not
    split.

    Args:
      slices: The slices of the record, ordered by start.
      loads: Requests a second by slice.
      hot: Point of the most frequent key and its share of the requests, by
        slice.
      node_count: Number of nodes that may own slices.
      max_slices: Bound on the number of slices after the splits.

    Returns:
      Splits of the busiest slices, to be applied in this order; a later split
      may apply to a part that an earlier one created.

    Raises:
      ValueError: `node_count` is less than 1.
    """
    threshold = SPLIT_FACTOR * mean_node_load(slices, loads, node_count)
    busy = [item for item in slices if loads.get(item.ref, 0.0) > threshold]
    busy.sort(key=lambda item: (-loads[item.ref], item.start))
    remaining = min(MAX_SPLITS_PER_CALL, max_slices - len(slices))
    splits: list[Split] = []
    for item in busy:
        points = split_points(item, hot.get(item.ref))
        if len(splits) + len(points) > remaining:
            break
        start = item.start
        for at in points:
            splits.append(Split(cells.SliceRef(start, item.epoch), at))
            start = at
    return tuple(splits)


def split_points(
    item: cells.Slice, hot: tuple[int, float] | None
) -> tuple[int, ...]:
    """Returns the points at which to split a slice.

    Args:
      item: The slice.
      hot: Point of its most frequent key and the key's share of the requests,
        or None.

    Returns:
      The first point of each part but the lowest, in order.
    """
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
    """Plans merges of adjacent idle slices with the same owner and epoch.

    A merged slice has at most MERGE_FACTOR of a node's mean load.

    Args:
      slices: The slices of the record, ordered by start.
      loads: Requests a second by slice.
      node_count: Number of nodes that may own slices.
      min_slices: Least number of slices after the merges.

    Returns:
      Merges, to be applied in this order.

    Raises:
      ValueError: `node_count` is less than 1.
    """
    threshold = MERGE_FACTOR * mean_node_load(slices, loads, node_count)
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
    """Returns the slices after the splits; ignores splits that don't fit."""
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
    """Returns the slices after the merges; ignores merges that don't fit."""
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
    """Returns the index of a slice in slices ordered by start, or None."""
    index = bisect.bisect_left(slices, ref.start, key=cells.slice_start)
    if index < len(slices) and slices[index].ref == ref:
        return index
    return None


def estimate_loads(
    slices: Sequence[cells.Slice],
    loads: Mapping[cells.SliceRef, float],
    hot: Mapping[cells.SliceRef, tuple[int, float]],
    parts: Sequence[cells.Slice],
) -> dict[cells.SliceRef, float]:
    """Estimates the loads of `parts` until their owners have measured them.

    The lower part of a split keeps the ref of the whole slice. With the rate of
    the whole slice it would be split again at once, so the rate is divided: the
    part with the hot key gets the key's share, and the rest is divided by
    width.

    Args:
      slices: The slices before the splits.
      loads: Requests a second by slice, before the splits.
      hot: As for plan_splits.
      parts: The slices after the splits.

    Returns:
      Requests a second by slice, after the splits.
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
