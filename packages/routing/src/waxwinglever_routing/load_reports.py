"""Expected times of servers from the load that they reported.

This addresses load that changes faster than one node can measure by its own
latencies: slow spells of a server, bursts, and service times that depend on
the route. A report becomes useless within about one service time of the server,
so it is not taken at its word: the number of requests on the server is
predicted as that of a system where requests come and go independently. Its mean
moves from the reported number to the mean of its zone, and its variance
grows meanwhile. A server that was seen idle a second ago thus counts as an
average one, and is not flooded by all who saw it.

The caller holds a lock; see balancer.Balancer.
"""

import math

import attrs

# Reports are used for this long.
MAX_AGE_S = 2.0
MAX_REPORTS = 1024
MAX_SERVICES = 64
# Time constant of the moving averages of a service.
POOL_TIME_S = 1.0
# A pool's first samples get at least this weight, and so do samples that come
# at the same moment.
MIN_POOL_WEIGHT = 1 / 64
# Service time assumed until a server has completed a request.
MIN_SERVICE_S = 0.001
# Time constant with which the stated slowness loses its weight. Servers state
# it many times a second, as it may change within tenths of a second.
SLOWNESS_TIME_S = 0.25
# Limits of the stated slowness; 1 is usual.
MIN_SLOWNESS = 0.1
MAX_SLOWNESS = 20.0
# Requests that a response's own way between two nodes makes uncertain.
MIN_DEVIATION = 0.5


@attrs.frozen
class Report:
    """What a node said of the server beside it.

    Attributes:
      running: Requests that run on it.
      waiting: Requests that wait for it.
      slots: Requests that it runs at the same time.
      wait_s: Expected wait of a new request.
      service_s: Mean time that a request takes; 0 when unknown.
      slowness: How long work takes on its machine; 1 is usual.
      slowness_age_s: Age of `slowness` when the report was received.
    """

    running: int
    waiting: int
    slots: int
    wait_s: float
    service_s: float
    slowness: float = 1.0
    slowness_age_s: float = 0.0


@attrs.define(eq=False)
class Pool:
    """Moving averages over the reports of the servers of a service in a zone.

    Attributes:
      occupancy: Requests on a server for each of its slots.
      service_s: Mean time that a request takes.
      slots: Slots of the server that reported last.
      updated_s: When a report was last added.
    """

    occupancy: float
    service_s: float
    slots: int
    updated_s: float


@attrs.define(eq=False)
class KnownLoad:
    """The latest report of a node.

    Attributes:
      report: The report.
      received_s: When it was received.
      pool: The averages of its service in its zone.
      sent: Requests sent by this node since then.
    """

    report: Report
    received_s: float
    pool: Pool
    sent: int = 0


@attrs.define(eq=False)
class Reports:
    """The latest reports by name of the node, the oldest first.

    Attributes:
      by_node: The reports.
      pools: The averages by service and zone.
    """

    by_node: dict[str, KnownLoad] = attrs.field(factory=dict)
    pools: dict[str, dict[str, Pool]] = attrs.field(factory=dict)


def record(
    reports: Reports,
    node: str,
    service: str,
    zone: str,
    report: Report,
    now_s: float,
) -> None:
    """Records a report, which replaces the previous one of the node."""
    by_node = reports.by_node
    by_node.pop(node, None)
    while by_node:
        oldest = next(iter(by_node))
        age_s = now_s - by_node[oldest].received_s
        if age_s <= MAX_AGE_S and len(by_node) < MAX_REPORTS:
            break
        del by_node[oldest]
    pool = update_pool(reports, service, zone, report, now_s)
    by_node[node] = KnownLoad(report, now_s, pool)


def update_pool(
    reports: Reports, service: str, zone: str, report: Report, now_s: float
) -> Pool:
    """Adds a report to the averages of its zone and returns them."""
    occupancy = (report.running + report.waiting) / max(1, report.slots)
    if service not in reports.pools and len(reports.pools) >= MAX_SERVICES:
        reports.pools.clear()
    pools = reports.pools.setdefault(service, {})
    pool = pools.get(zone)
    if pool is None or now_s - pool.updated_s > MAX_AGE_S:
        pool = pools[zone] = Pool(
            occupancy, report.service_s or MIN_SERVICE_S, report.slots, now_s
        )
        return pool
    weight = max(
        MIN_POOL_WEIGHT,
        1 - math.exp(-(now_s - pool.updated_s) / POOL_TIME_S),
    )
    pool.occupancy += (occupancy - pool.occupancy) * weight
    if report.service_s:
        pool.service_s += (report.service_s - pool.service_s) * weight
    pool.slots = report.slots
    pool.updated_s = now_s
    return pool


def mean_occupancy(
    reports: Reports, service: str, now_s: float
) -> float | None:
    """Returns the requests on a server for each of its slots.

    Returns:
      The average of recent reports in the zone with the least, or None without
      any.
    """
    recent = recent_pools(reports, service, now_s)
    return min((pool.occupancy for pool in recent), default=None)


def recent_pools(reports: Reports, service: str, now_s: float) -> list[Pool]:
    """Returns the averages of the zones from which reports came recently."""
    return [
        pool
        for pool in reports.pools.get(service, {}).values()
        if now_s - pool.updated_s <= MAX_AGE_S
    ]


def expected_in_zone_s(
    reports: Reports, service: str, zone: str, now_s: float
) -> float | None:
    """Returns how long a request takes on an average server of a zone.

    Returns:
      The wait and the service time, or None without a recent report from there.
    """
    pool = reports.pools.get(service, {}).get(zone)
    if pool is None or now_s - pool.updated_s > MAX_AGE_S:
        return None
    count = usual_occupancy(pool, now_s) * pool.slots
    wait_s = mean_wait_s(count, count, pool.slots, pool.service_s)
    return pool.service_s + wait_s


def usual_service_s(
    reports: Reports, service: str, now_s: float
) -> float | None:
    """Returns the mean service time of the zones with recent reports."""
    recent = recent_pools(reports, service, now_s)
    if not recent:
        return None
    return sum(pool.service_s for pool in recent) / len(recent)


def forget(reports: Reports, node: str) -> None:
    """Drops the report of a node that may have restarted or is cut off."""
    reports.by_node.pop(node, None)


def find(reports: Reports, node: str, now_s: float) -> KnownLoad | None:
    """Returns what a node reported recently, or None."""
    known = reports.by_node.get(node)
    if known is None or now_s - known.received_s > MAX_AGE_S:
        return None
    return known


def note_sent(reports: Reports, node: str) -> None:
    """Counts a request that this node sends to another one."""
    known = reports.by_node.get(node)
    if known is not None:
        known.sent += 1


def expected_s(reports: Reports, node: str, now_s: float) -> float | None:
    """Returns how long a new request is expected to take on a node.

    Returns:
      The wait and the service time, or None without a recent report.
    """
    known = find(reports, node, now_s)
    if known is None:
        return None
    report = known.report
    age_s = max(0.0, now_s - known.received_s)
    service_s = expected_service_s(known, age_s)
    return service_s + expected_wait_s(report, known, service_s, age_s)


def expected_service_s(known: KnownLoad, age_s: float) -> float:
    """Returns the expected time of a request after its wait."""
    report = known.report
    service_s = report.service_s or known.pool.service_s
    slowness = min(max(report.slowness, MIN_SLOWNESS), MAX_SLOWNESS)
    weight = math.exp(-(age_s + report.slowness_age_s) / SLOWNESS_TIME_S)
    return max(MIN_SERVICE_S, service_s * (1 + (slowness - 1) * weight))


def expected_wait_s(
    report: Report, known: KnownLoad, service_s: float, age_s: float
) -> float:
    """Returns the expected wait of a new request.

    The wait that the server itself reported also covers limits other than the
    slots.
    """
    slots = max(1, report.slots)
    count = report.running + report.waiting
    # Above its slots, a server changes as slowly as its queue becomes shorter.
    kept = math.exp(-age_s / (service_s * max(1.0, count / slots)))
    now_s = known.received_s + age_s
    usual = usual_occupancy(known.pool, now_s) * slots
    mean = usual + (count - usual) * kept + known.sent
    variance = (count * kept + usual) * (1 - kept)
    wait_s = mean_wait_s(mean, variance, slots, service_s)
    return max(wait_s, report.wait_s * kept)


def usual_occupancy(pool: Pool, now_s: float) -> float:
    """Returns the requests for each slot of a zone; old averages count less.

    A zone that all senders leave as it is full would otherwise seem full until
    its last report is dropped, and be empty by then.
    """
    age_s = max(0.0, now_s - pool.updated_s)
    return pool.occupancy * math.exp(-age_s / POOL_TIME_S)


def mean_wait_s(
    mean: float, variance: float, slots: int, service_s: float
) -> float:
    """Returns the wait at a server with an uncertain number of requests.

    The number is taken as normally distributed. The wait is the expected number
    of those without a slot times the interval in which slots become free.
    """
    deviation = math.sqrt(variance + MIN_DEVIATION * MIN_DEVIATION)
    excess = mean + 1 - slots
    ratio = excess / deviation
    without_slot = excess * 0.5 * (1 + math.erf(ratio / math.sqrt(2))) + (
        deviation * math.exp(-ratio * ratio / 2) / math.sqrt(2 * math.pi)
    )
    return without_slot * service_s / max(1, slots)
