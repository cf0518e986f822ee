"""Load balancing for services without keys, by locally observed latency.

It keeps the load that nodes reported as well, see load_reports. Nodes are not
compared by it: a report is older than the slow spells and bursts that it tells
of. It decides which requests another node may take, and which leave their zone.
"""

import math
import random
import threading
from collections.abc import Callable, Collection, Sequence

import attrs

from waxwinglever_model import clock
from waxwinglever_routing import load_reports

# Time constant of the moving averages: the weight of old samples falls to 1/e.
LATENCY_TIME_S = 2.0
# Without new samples a node's expected latency converges to the mean of all
# nodes with this time constant, so that a node that was slow is tried again.
RECOVERY_TIME_S = 10.0
# Exponential backoff: a node is avoided this long after its first failure and
# twice as long after each further one, up to the maximum.
BACKOFF_FIRST_S = 0.2
BACKOFF_MAX_S = 5.0
# Consecutive failures after which a node ramps up again. A single failure is
# more often caused by the request than by the node.
RAMP_FAILURES = 3
# The share of its usual requests that a new or returning node gets rises from
# RAMP_START to 1 within RAMP_S.
RAMP_START = 0.1
RAMP_S = 5.0
# A node that was not a candidate for this long counts as returning.
ABSENCE_S = 30.0
# Latency assumed before the first response, and lower bound of each sample.
MIN_LATENCY_S = 0.001
# Weight of the newest sample in the mean latency of all nodes.
MEAN_WEIGHT = 1 / 64
# A hedged request is sent after this quantile of the latencies, so that about
# one in twenty requests is hedged when all nodes are equally fast.
HEDGE_QUANTILE = 0.95
# Step of the quantile estimate, relative to the estimate. The first samples
# get larger steps to find the right order of magnitude.
QUANTILE_STEP = 0.05
QUANTILE_FIRST_SAMPLES = 4
INITIAL_QUANTILE_S = 0.1
MIN_HEDGE_DELAY_S = 0.005
# Random draws before all nodes are examined; usually few nodes are avoided.
MAX_DRAWS = 8
MAX_NODES = 1024


@attrs.define(eq=False)
class NodeView:
    """What this daemon has observed of one node.

    Attributes:
      ramp_start_s: When its ramp-up began.
      considered_s: When it was last a candidate for a request.
      in_flight: Requests from this daemon that it has not answered yet.
      latency_s: Moving average of the latency, or None before the first sample.
      sampled_s: When `latency_s` was last updated.
      failures: Consecutive failures.
      avoid_until_s: Until then it gets requests only if all others are avoided
        or excluded.
    """

    ramp_start_s: float
    considered_s: float
    in_flight: int = 0
    latency_s: float | None = None
    sampled_s: float = 0.0
    failures: int = 0
    avoid_until_s: float = -math.inf


@attrs.define(eq=False)
class Balancer:
    """State of a load balancer; idle views are evicted above MAX_NODES.

    Attributes:
      rng: Random number generator.
      now: Returns seconds of a monotonic clock.
      views: Views by node name.
      mean_latency_s: Moving average of the latency of all nodes.
      hedge_quantile_s: Estimate of the HEDGE_QUANTILE of the latencies.
      samples: Number of latency samples.
      reports: The load that nodes reported; empty without overload control.
    """

    rng: random.Random = attrs.Factory(random.Random)
    now: Callable[[], float] = clock.boottime_s
    views: dict[str, NodeView] = attrs.field(factory=dict, init=False)
    mean_latency_s: float = attrs.field(default=MIN_LATENCY_S, init=False)
    hedge_quantile_s: float = attrs.field(
        default=INITIAL_QUANTILE_S, init=False
    )
    samples: int = attrs.field(default=0, init=False)
    reports: load_reports.Reports = attrs.field(
        factory=load_reports.Reports, init=False
    )
    lock: threading.Lock = attrs.field(factory=threading.Lock, init=False)


def choose(
    balancer: Balancer, nodes: Sequence[str], exclude: Collection[str] = ()
) -> str | None:
    """Returns the better of two random nodes.

    Args:
      balancer: The observations of the nodes.
      nodes: Names of the nodes of the service.
      exclude: Nodes that must not be chosen, such as those already tried.

    Returns:
      A node, or None if all are excluded. If all the others are avoided
      because of failures, one of them is returned, as it may have recovered.
    """
    now_s = balancer.now()
    with balancer.lock:
        pair = draw_pair(balancer, nodes, exclude, now_s)
        if not pair:
            return None
        for name in pair:
            refresh_view(balancer, name, now_s)
        return min(pair, key=lambda name: sort_key(balancer, name, now_s))


def choose_preferring_zone(
    balancer: Balancer,
    nodes: Sequence[str],
    near: Sequence[str],
    exclude: Collection[str],
    tolerance: float,
) -> str | None:
    """Returns a node of the same zone unless it is clearly slower.

    Args:
      balancer: The observations of the nodes.
      nodes: Names of the nodes of the service.
      near: Those of them in the same zone.
      exclude: Nodes that must not be chosen, such as those already tried.
      tolerance: Maximum ratio of the expected time on a node of the same zone
        to that on the best node of any zone.

    Returns:
      A node, or None if all are excluded.
    """
    best = choose(balancer, nodes, exclude)
    if best is None or best in near:
        return best
    candidate = choose(balancer, near, exclude)
    if candidate is None:
        return best
    now_s = balancer.now()
    with balancer.lock:
        if now_s < balancer.views[candidate].avoid_until_s:
            return best
        deferred, near_s = sort_key(balancer, candidate, now_s)
        _, best_s = sort_key(balancer, best, now_s)
    return candidate if not deferred and near_s <= tolerance * best_s else best


def draw_pair(
    balancer: Balancer,
    nodes: Sequence[str],
    exclude: Collection[str],
    now_s: float,
) -> list[str]:
    """Returns up to two different nodes, in random order.

    Nodes that are avoided because of failures are drawn only if there is no
    other node.
    """

    def is_usable(name: str) -> bool:
        view = balancer.views.get(name)
        avoided = view is not None and now_s < view.avoid_until_s
        return name not in exclude and not avoided

    pair: list[str] = []
    if len(nodes) > MAX_DRAWS:
        for _ in range(MAX_DRAWS):
            name = balancer.rng.choice(nodes)
            if name not in pair and is_usable(name):
                pair.append(name)
                if len(pair) == 2:
                    return pair
    candidates = [name for name in nodes if is_usable(name)] or [
        name for name in nodes if name not in exclude
    ]
    return balancer.rng.sample(candidates, min(2, len(candidates)))


def refresh_view(balancer: Balancer, name: str, now_s: float) -> NodeView:
    """Marks a node as considered and returns its view.

    The ramp-up of a new or returning node starts here.
    """
    view = balancer.views.get(name)
    if view is None:
        evict_idle_view(balancer)
        view = balancer.views[name] = NodeView(now_s, now_s)
    elif now_s - view.considered_s > ABSENCE_S and view.in_flight == 0:
        view.ramp_start_s = now_s
        view.latency_s = None
        view.failures = 0
    view.considered_s = now_s
    return view


def evict_idle_view(balancer: Balancer) -> None:
    """Drops the least recently considered idle view if there are too many."""
    if len(balancer.views) < MAX_NODES:
        return
    idle = [
        name for name, view in balancer.views.items() if view.in_flight == 0
    ]
    if idle:
        del balancer.views[
            min(idle, key=lambda name: balancer.views[name].considered_s)
        ]


def sort_key(balancer: Balancer, name: str, now_s: float) -> tuple[bool, float]:
    """Returns the sort key of a node; the node with the lower key is better.

    The key is whether the node is deferred, and its expected time for one
    more request. A node that ramps up is deferred at random, so that its share
    of the requests follows the ramp at any load.
    """
    view = balancer.views[name]
    ramp = RAMP_START + (1 - RAMP_START) * (now_s - view.ramp_start_s) / RAMP_S
    deferred = ramp < 1 and balancer.rng.random() >= ramp
    latency_s = expected_latency(balancer, view, now_s)
    return deferred, (view.in_flight + 1) * latency_s


def expected_latency(balancer: Balancer, view: NodeView, now_s: float) -> float:
    """Returns a node's latency, weighted towards the mean as it ages."""
    if view.latency_s is None:
        return balancer.mean_latency_s
    weight = math.exp(-(now_s - view.sampled_s) / RECOVERY_TIME_S)
    mean_latency_s = balancer.mean_latency_s
    return mean_latency_s + (view.latency_s - mean_latency_s) * weight


def hedge_delay_s(balancer: Balancer) -> float:
    """Returns how long to wait for a response before sending a hedge."""
    with balancer.lock:
        return max(MIN_HEDGE_DELAY_S, balancer.hedge_quantile_s)


def request_started(balancer: Balancer, node: str) -> None:
    """Records that a request is sent to a node."""
    with balancer.lock:
        refresh_view(balancer, node, balancer.now()).in_flight += 1
        load_reports.note_sent(balancer.reports, node)


def request_refused(balancer: Balancer, node: str) -> None:
    """Records the end of a request that a node refused as it is full.

    That is no failure: the node is not avoided, and need not ramp up again.
    """
    with balancer.lock:
        view = refresh_view(balancer, node, balancer.now())
        view.in_flight = max(0, view.in_flight - 1)


def record_report(
    balancer: Balancer,
    node: str,
    service: str,
    zone: str,
    report: load_reports.Report,
) -> None:
    """Records the load that a node of a service reported."""
    with balancer.lock:
        load_reports.record(
            balancer.reports, node, service, zone, report, balancer.now()
        )


def mean_occupancy(balancer: Balancer, service: str) -> float | None:
    """Returns load_reports.mean_occupancy."""
    with balancer.lock:
        return load_reports.mean_occupancy(
            balancer.reports, service, balancer.now()
        )


def forget_report(balancer: Balancer, node: str) -> None:
    """Drops the report of a node that can't be reached."""
    with balancer.lock:
        load_reports.forget(balancer.reports, node)


def request_ended(
    balancer: Balancer, node: str, seconds: float, ok: bool
) -> None:
    """Records the end of a request.

    Args:
      balancer: The observations of the nodes.
      node: The node that it was sent to.
      seconds: Time from start to end.
      ok: False for a failure or refusal; its latency is ignored.
    """
    now_s = balancer.now()
    with balancer.lock:
        view = refresh_view(balancer, node, now_s)
        view.in_flight = max(0, view.in_flight - 1)
        if ok:
            update_latency(balancer, view, max(seconds, MIN_LATENCY_S), now_s)
        # The outcome of a request sent before the node was avoided is ignored,
        # so that one burst of failures counts once.
        if now_s < view.avoid_until_s:
            return
        if ok:
            view.failures = 0
            return
        backoff_s = min(BACKOFF_MAX_S, BACKOFF_FIRST_S * 2.0**view.failures)
        view.failures = min(view.failures + 1, 16)
        view.avoid_until_s = now_s + backoff_s
        if view.failures >= RAMP_FAILURES:
            view.ramp_start_s = view.avoid_until_s


def update_latency(
    balancer: Balancer, view: NodeView, seconds: float, now_s: float
) -> None:
    """Updates the node's average and the global estimates with a sample."""
    if view.latency_s is None:
        view.latency_s = seconds
    else:
        # The lower bound gives samples at the same moment some weight too.
        age_s = max(now_s - view.sampled_s, LATENCY_TIME_S / 100)
        old_weight = math.exp(-age_s / LATENCY_TIME_S)
        view.latency_s = view.latency_s * old_weight + seconds * (
            1 - old_weight
        )
    view.sampled_s = now_s
    difference_s = seconds - balancer.mean_latency_s
    balancer.mean_latency_s += difference_s * MEAN_WEIGHT
    update_hedge_quantile(balancer, seconds)


def update_hedge_quantile(balancer: Balancer, seconds: float) -> None:
    """Moves the quantile estimate up or down by a share of itself.

    The steps are in balance when HEDGE_QUANTILE of the samples are below the
    estimate.
    """
    balancer.samples += 1
    first_step = QUANTILE_FIRST_SAMPLES / balancer.samples
    step = max(QUANTILE_STEP, min(1.0, first_step))
    if seconds > balancer.hedge_quantile_s:
        balancer.hedge_quantile_s *= 1 + step * HEDGE_QUANTILE
    else:
        balancer.hedge_quantile_s *= 1 - step * (1 - HEDGE_QUANTILE)
