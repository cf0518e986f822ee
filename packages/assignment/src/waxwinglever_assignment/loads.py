"""Measured request rates of a node, by bucket of consecutive shards."""

import math
import threading
from collections.abc import Callable, Mapping

import attrs

from waxwinglever_assignment import tables
from waxwinglever_model import clock

# Ranges begin and end at multiples of this.
BUCKET_SHARDS = 64
BUCKETS = (tables.LAST_SHARD + 1) // BUCKET_SHARDS
# Time constant of the decay: the weight of a request falls to 1/e in this time.
# Hot keys change within seconds, and a range is worth moving only if it stays
# hot for a few seconds.
DECAY_TIME_S = 1.2


@attrs.define(eq=False)
class LoadMeter:
    """Exponentially decaying counts of requests by bucket.

    Attributes:
      now: Returns the time in seconds.
      counts: Decayed count of each bucket, as of `decayed_s`.
      decayed_s: When the counts were last decayed.
      lock: Held while the counts are read or changed.
    """

    now: Callable[[], float] = clock.boottime_s
    counts: dict[int, float] = attrs.Factory(dict)
    decayed_s: float = 0.0
    lock: threading.Lock = attrs.Factory(threading.Lock)


@attrs.frozen
class LoadReport:
    """The load that a node reports to the planner.

    Attributes:
      rates: Requests a second for each bucket, served or not.
      service_s: Mean time that a request occupies a slot; 0 when unknown.
      era: Era of the store that the node knows.
      held: Ranges that the node holds and whose record is older than this era.
      rate_limit_per_s: Requests a second that the backend server takes, or None
        if it names no limit.
    """

    rates: dict[int, float]
    service_s: float
    era: int = 0
    held: tuple[tables.Range, ...] = ()
    rate_limit_per_s: float | None = None


def bucket_of(shard: int) -> int:
    """Returns the bucket of a shard."""
    return shard // BUCKET_SHARDS


def record_request(load_meter: LoadMeter, shard: int) -> None:
    """Counts one request for a shard."""
    with load_meter.lock:
        decay(load_meter)
        bucket = bucket_of(shard)
        load_meter.counts[bucket] = load_meter.counts.get(bucket, 0.0) + 1.0


def decay(load_meter: LoadMeter) -> None:
    """Decays the counts, at most once in a tenth of the time constant.

    Buckets with a negligible count are dropped.
    """
    now_s = load_meter.now()
    age_s = now_s - load_meter.decayed_s
    if age_s < DECAY_TIME_S / 10:
        return
    keep = math.exp(-age_s / DECAY_TIME_S)
    load_meter.counts = {
        bucket: value * keep
        for bucket, value in load_meter.counts.items()
        if value * keep > 0.05
    }
    load_meter.decayed_s = now_s


def make_report(
    load_meter: LoadMeter,
    service_s: float,
    era: int = 0,
    held: tuple[tables.Range, ...] = (),
    rate_limit_per_s: float | None = None,
) -> LoadReport:
    """Returns a report with the current rates and the other given fields."""
    with load_meter.lock:
        decay(load_meter)
        rates = {
            bucket: round(value / DECAY_TIME_S, 2)
            for bucket, value in load_meter.counts.items()
        }
    return LoadReport(rates, service_s, era, held, rate_limit_per_s)


def merge_rates(reports: Mapping[str, LoadReport]) -> dict[int, float]:
    """Returns the sum of the rates of all reports, by bucket."""
    total: dict[int, float] = {}
    for item in reports.values():
        for bucket, rate in item.rates.items():
            total[bucket] = total.get(bucket, 0.0) + rate
    return total
