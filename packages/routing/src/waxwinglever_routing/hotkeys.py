"""Request rate and most frequent keys of each slice, measured by its owner."""

import math
import threading
from collections.abc import Callable, Iterable

import attrs

from waxwinglever_model import cells
from waxwinglever_model import clock
from waxwinglever_model import limits
from waxwinglever_peers import messages

# A key with a share above 1 / COUNTERS is always found.
COUNTERS = 16
# Half-life of the counts: hot keys change within minutes, and a few seconds of
# traffic are enough to distinguish a hot key from random variation.
HALF_LIFE_S = 5.0
DECAY_PER_S = math.log(2) / HALF_LIFE_S
# At a constant rate a decayed count converges to the requests of this time.
WINDOW_S = 1 / DECAY_PER_S
# Counts are decayed at this interval instead of on each request.
DECAY_INTERVAL_S = 1.0
# A load takes about 92 bytes in a heartbeat acknowledgement. 16 loads in each
# of 3.3 acknowledgements a second would be 4.9 KB of the 7 KB a second that a
# node may send, so the caller should add loads to some of them only.
MAX_REPORTED = 16


@attrs.define(eq=False)
class Counter:
    """Decayed count of one key in a sketch.

    Attributes:
      count: Upper bound on the key's requests.
      error: Maximum overestimation of `count`.
    """

    count: float
    error: float


@attrs.define(eq=False)
class SliceSketch:
    """Space-Saving sketch of one slice, with exponentially decaying counts.

    Attributes:
      last: Last point of the slice; a split or merge starts a new sketch.
      since_s: When counting began.
      decayed_s: When the counts were last decayed.
      total: Decayed number of requests.
      counters: Counters by point, at most COUNTERS.
    """

    last: int
    since_s: float
    decayed_s: float
    total: float = 0.0
    counters: dict[int, Counter] = attrs.Factory(dict)


@attrs.define(eq=False)
class HotKeys:
    """Sketches of the slices that this node owns.

    Attributes:
      now: Returns seconds of a monotonic clock.
      sketches: Sketches by slice, at most MAX_SLICES.
    """

    now: Callable[[], float] = clock.boottime_s
    sketches: dict[cells.SliceRef, SliceSketch] = attrs.field(
        factory=dict, init=False
    )
    lock: threading.Lock = attrs.field(factory=threading.Lock, init=False)


def record(hotkeys: HotKeys, item: cells.Slice, point: int) -> None:
    """Counts a request for a point of a slice."""
    now_s = hotkeys.now()
    with hotkeys.lock:
        sketch = hotkeys.sketches.get(item.ref)
        if sketch is None or sketch.last != item.last:
            if sketch is None and len(hotkeys.sketches) >= limits.MAX_SLICES:
                return
            sketch = SliceSketch(item.last, now_s, now_s)
            hotkeys.sketches[item.ref] = sketch
        if now_s - sketch.decayed_s >= DECAY_INTERVAL_S:
            decay(sketch, now_s)
        sketch.total += 1
        count_point(sketch.counters, point)


def count_point(counters: dict[int, Counter], point: int) -> None:
    """Counts a point; a new one replaces the smallest counter when full."""
    counter = counters.get(point)
    if counter is not None:
        counter.count += 1
    elif len(counters) < COUNTERS:
        counters[point] = Counter(1, 0)
    else:
        smallest = min(counters, key=lambda key: counters[key].count)
        floor = counters.pop(smallest).count
        counters[point] = Counter(floor + 1, floor)


def decay(sketch: SliceSketch, now_s: float) -> None:
    """Decays all counts by the time since the last decay."""
    factor = math.exp(-DECAY_PER_S * (now_s - sketch.decayed_s))
    sketch.decayed_s = now_s
    sketch.total *= factor
    for counter in sketch.counters.values():
        counter.count *= factor
        counter.error *= factor


def slice_loads(
    hotkeys: HotKeys, max_slices: int = MAX_REPORTED
) -> tuple[messages.SliceLoad, ...]:
    """Returns the loads of the busiest slices, in descending order of rate.

    The reported share of the hottest key is a lower bound, so that no hot key
    is reported for a slice with evenly distributed requests.
    """
    now_s = hotkeys.now()
    with hotkeys.lock:
        found = []
        for ref, sketch in hotkeys.sketches.items():
            decay(sketch, now_s)
            found.append(estimate_load(ref, sketch, now_s))
    found.sort(key=lambda load: (-load.requests_per_s, load.ref.start))
    return tuple(found[:max_slices])


def estimate_load(
    ref: cells.SliceRef, sketch: SliceSketch, now_s: float
) -> messages.SliceLoad:
    """Returns the load of one slice; its counts must be decayed up to now."""
    # At a constant rate the count is rate * (1 - exp(-k * age)) / k. The age
    # has a lower bound, or the first few requests would give a high rate.
    age_s = max(now_s - sketch.since_s, DECAY_INTERVAL_S)
    weight_s = -math.expm1(-DECAY_PER_S * age_s) / DECAY_PER_S
    hottest = max(
        sketch.counters.items(),
        key=lambda entry: (entry[1].count - entry[1].error, -entry[0]),
        default=None,
    )
    if hottest is None or sketch.total <= 0:
        return messages.SliceLoad(ref, sketch.total / weight_s)
    point, counter = hottest
    share = (counter.count - counter.error) / sketch.total
    return messages.SliceLoad(
        ref, sketch.total / weight_s, point, min(1.0, share)
    )


def retain_only(hotkeys: HotKeys, refs: Iterable[cells.SliceRef]) -> None:
    """Drops the sketches of all slices that are not in `refs`."""
    kept = set(refs)
    with hotkeys.lock:
        for ref in hotkeys.sketches.keys() - kept:
            del hotkeys.sketches[ref]
