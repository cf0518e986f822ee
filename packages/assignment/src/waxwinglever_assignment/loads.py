"""Measured load of a node's shards, in buckets of neighbouring shards."""

import math
import threading
from collections.abc import Callable, Mapping

import attrs

from waxwinglever_assignment import tables
from waxwinglever_model import clock

# Ranges begin and end at multiples of this.
BUCKET_SHARDS = 64
BUCKETS = (tables.LAST_SHARD + 1) // BUCKET_SHARDS
# Weight of old requests falls to 1/e in this time. Hot keys change within
# seconds, and a range is worth moving only if it stays hot for some.
TIME_S = 1.2


@attrs.define(eq=False)
class Meter:
    """Decaying counts of requests by bucket.

    Attributes:
      counts: Decayed count of each bucket, as of `at_s`.
      at_s: When the counts were last decayed.
    """

    now: Callable[[], float] = clock.boottime_s
    counts: dict[int, float] = attrs.Factory(dict)
    at_s: float = 0.0
    lock: threading.Lock = attrs.Factory(threading.Lock)


@attrs.frozen
class Report:
    """What a node tells the planner.

    Attributes:
      rates: Requests a second that asked for each bucket, served or not.
      service_s: Mean time that a request holds a slot; 0 when unknown.
    """

    rates: dict[int, float]
    service_s: float


def bucket_of(shard: int) -> int:
    """Returns the bucket of a shard."""
    return shard // BUCKET_SHARDS


def count(meter: Meter, shard: int) -> None:
    """Counts one request."""
    with meter.lock:
        decay(meter)
        bucket = bucket_of(shard)
        meter.counts[bucket] = meter.counts.get(bucket, 0.0) + 1.0


def decay(meter: Meter) -> None:
    """Lets old counts fall, a tenth of the time constant at a time."""
    now_s = meter.now()
    age_s = now_s - meter.at_s
    if age_s < TIME_S / 10:
        return
    keep = math.exp(-age_s / TIME_S)
    meter.counts = {
        bucket: value * keep
        for bucket, value in meter.counts.items()
        if value * keep > 0.05
    }
    meter.at_s = now_s


def report(meter: Meter, service_s: float) -> Report:
    """Returns the rates of the moment."""
    with meter.lock:
        decay(meter)
        rates = {
            bucket: round(value / TIME_S, 2)
            for bucket, value in meter.counts.items()
        }
    return Report(rates, service_s)


def merged(reports: Mapping[str, Report]) -> dict[int, float]:
    """Returns the rates of all nodes together."""
    total: dict[int, float] = {}
    for item in reports.values():
        for bucket, rate in item.rates.items():
            total[bucket] = total.get(bucket, 0.0) + rate
    return total
