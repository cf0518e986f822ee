"""Decides whether a request without a key leaves its availability zone.

This addresses zones whose own servers are sometimes too few, while traffic
between zones is slower and costs money. A request leaves if a node of another
zone is expected to be faster by more than the cost of the way. Each request
draws its threshold around that cost, so that the share that leaves follows the
difference, and many nodes that know the same don't act in step.

Nodes are compared by what this node has observed of them. Reports are older
than the load that they tell of: with them alone, fewer requests were served in
time. They count where this node has observed nothing recently.
"""

from collections.abc import Collection, Mapping, Sequence

import attrs

from waxwinglever_routing import balancer as balancers
from waxwinglever_routing import load_reports

# Why a node was chosen.
HOME = "home"
FASTER = "faster"
NO_NODE = "no-node"
AVOIDED = "avoided"
RAMP = "ramp"
# No costs are set, so another rule has chosen.
WITHOUT_COST = "without-cost"
# Observations are used for this long. With 2 s, the p99 of a burst was 280 ms
# instead of 258 ms where 216 ingress nodes sent 3 requests a second each.
RECENT_S = 1.0
# The threshold of a request is uniformly distributed between these multiples of
# the cost, so that many nodes don't act in step. A request whose body costs far
# more than it saves never leaves.
LEAST_THRESHOLD = 0.5
MOST_THRESHOLD = 1.5
# Weight of the newest response in the moving average of the sizes of a route.
SIZE_WEIGHT = 1 / 16
# Routes whose sizes are kept; others are taken for small.
MAX_ROUTES = 256
KILOBYTE = 1_000


@attrs.frozen
class Costs:
    """What it costs to leave a zone, as time that a caller may wait for it.

    Attributes:
      hop_s: How much longer a caller waits in its zone before one request
        leaves it.
      kilobyte_s: The same for each kilobyte of body and expected response.
    """

    hop_s: float = attrs.field(validator=attrs.validators.ge(0))
    kilobyte_s: float = attrs.field(
        default=0.0, validator=attrs.validators.ge(0)
    )


@attrs.define(eq=False)
class Sizes:
    """Moving averages of the sizes of responses in bytes, by route."""

    by_route: dict[str, float] = attrs.field(factory=dict)


@attrs.frozen
class Choice:
    """The node that a request is sent to, and why.

    Attributes:
      name: Name of the node.
      zone: Its zone.
      reason: HOME if it is in the zone of the request. Otherwise FASTER, or
        NO_NODE, AVOIDED or RAMP if no node of the zone may get the request,
        the chosen one has failed, or it ramps up; WITHOUT_COST if the zone was
        not chosen by costs.
      saved_s: Time that leaving is expected to save, less than 0 if none.
      cost_s: The cost of leaving.
    """

    name: str
    zone: str
    reason: str
    saved_s: float = 0.0
    cost_s: float = 0.0


def record_size(sizes: Sizes, route: str, size: int) -> None:
    """Records the size of a response."""
    known = sizes.by_route.get(route)
    if known is not None:
        sizes.by_route[route] = known + (size - known) * SIZE_WEIGHT
    elif len(sizes.by_route) < MAX_ROUTES:
        sizes.by_route[route] = float(size)


def leaving_cost_s(
    costs: Costs, sizes: Sizes, route: str, body_size: int
) -> float:
    """Returns the cost of sending a request to another zone."""
    size = body_size + sizes.by_route.get(route, 0.0)
    return costs.hop_s + costs.kilobyte_s * size / KILOBYTE


def choose(
    balancer: balancers.Balancer,
    names_by_zone: Mapping[str, Sequence[str]],
    home: str,
    service: str,
    excluded: Collection[str],
    cost_s: float,
) -> Choice | None:
    """Returns the choice for a request, or None if all nodes are excluded.

    Args:
      balancer: What this node knows of the others.
      names_by_zone: The nodes of the service in each zone.
      home: Zone of this node.
      service: Name of the service.
      excluded: Nodes that must not be chosen.
      cost_s: The cost of leaving the zone.
    """
    near = balancers.choose(balancer, names_by_zone.get(home, ()), excluded)
    far_zone, far = choose_far(balancer, names_by_zone, home, excluded)
    if far is None:
        return Choice(near, home, HOME) if near is not None else None
    if near is None:
        return Choice(far, far_zone, NO_NODE, cost_s=cost_s)
    now_s = balancer.now()
    with balancer.lock:
        if now_s < balancer.views[far].avoid_until_s:
            # A zone that is cut off has no reports and would seem idle.
            return Choice(near, home, HOME, cost_s=cost_s)
        if now_s < balancer.views[near].avoid_until_s:
            return Choice(far, far_zone, AVOIDED, cost_s=cost_s)
        deferred, near_s = compare_key(balancer, near, service, home, now_s)
        far_deferred, far_s = compare_key(
            balancer, far, service, far_zone, now_s
        )
        threshold_s = cost_s * balancer.rng.uniform(
            LEAST_THRESHOLD, MOST_THRESHOLD
        )
    saved_s = near_s - far_s
    if far_deferred:
        return Choice(near, home, HOME, saved_s, cost_s)
    if deferred:
        return Choice(far, far_zone, RAMP, saved_s, cost_s)
    if saved_s > threshold_s:
        return Choice(far, far_zone, FASTER, saved_s, cost_s)
    return Choice(near, home, HOME, saved_s, cost_s)


def choose_far(
    balancer: balancers.Balancer,
    names_by_zone: Mapping[str, Sequence[str]],
    home: str,
    excluded: Collection[str],
) -> tuple[str, str | None]:
    """Returns another zone and a node there; each node is equally likely.

    One that is avoided is returned only if those of all other zones are. The
    node is None if all of them are excluded.
    """
    avoided: tuple[str, str | None] = ("", None)
    zones = [zone for zone in names_by_zone if zone != home]
    while zones:
        weights = [len(names_by_zone[zone]) for zone in zones]
        zone = balancer.rng.choices(zones, weights)[0]
        name = balancers.choose(balancer, names_by_zone[zone], excluded)
        if name is not None:
            if balancer.now() >= balancer.views[name].avoid_until_s:
                return zone, name
            avoided = zone, name
        zones.remove(zone)
    return avoided


def compare_key(
    balancer: balancers.Balancer,
    name: str,
    service: str,
    zone: str,
    now_s: float,
) -> tuple[bool, float]:
    """Returns whether a node is deferred, and its expected time.

    Both are those of balancers.sort_key if this node has observed the other one
    recently. The caller holds the lock.
    """
    deferred, observed_s = balancers.sort_key(balancer, name, now_s)
    view = balancer.views[name]
    if view.latency_s is not None and now_s - view.sampled_s <= RECENT_S:
        return deferred, observed_s
    return deferred, unobserved_s(balancer, name, service, zone, now_s)


def unobserved_s(
    balancer: balancers.Balancer,
    name: str,
    service: str,
    zone: str,
    now_s: float,
) -> float:
    """Returns how long a request is expected to take by what others reported.

    Without a recent report it is that of an average node of the zone. A zone of
    which nothing is known is taken for one with room: the first requests there
    tell, and otherwise none would ever leave. Until they have told, each of
    them counts, so that only a few are sent. The caller holds the lock.
    """
    reports = balancer.reports
    reported_s = load_reports.expected_s(reports, name, now_s)
    if reported_s is not None:
        return reported_s
    in_zone_s = load_reports.expected_in_zone_s(reports, service, zone, now_s)
    if in_zone_s is not None:
        return in_zone_s
    usual_s = load_reports.usual_service_s(reports, service, now_s)
    if usual_s is None:
        usual_s = mean_latency_s(balancer)
    return (balancer.views[name].in_flight + 1) * usual_s


def mean_latency_s(balancer: balancers.Balancer) -> float:
    """Returns the mean latency of all nodes without its initial value.

    The moving average starts at MIN_LATENCY_S and needs more than a hundred
    responses to leave it behind. Nodes without an observation would seem
    faster than all others until then.
    """
    initial = (1 - balancers.MEAN_WEIGHT) ** balancer.samples
    if initial == 1:
        return balancer.mean_latency_s
    return (balancer.mean_latency_s - initial * balancers.MIN_LATENCY_S) / (
        1 - initial
    )
