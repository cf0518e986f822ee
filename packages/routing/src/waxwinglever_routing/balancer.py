"""Choice of a node for services without keys, by what this daemon observes."""

import math
import random
import threading
from collections.abc import Callable, Collection, Sequence

import attrs

from waxwinglever_model import clock

# Weight of old latencies falls to 1/e in this time.
LATENCY_TIME_S = 2.0
# Without new samples a node's latency goes back to the typical one in this
# time, so that a node that was slow is tried again.
FORGIVE_TIME_S = 10.0
# A node is avoided this long after its first failure, twice as long after
# each further one, up to the maximum.
AVOID_FIRST_S = 0.2
AVOID_MAX_S = 5.0
# Failures in a row after which a node ramps up again; a single failure is
# more often the request's own.
RAMP_FAILURES = 3
# A new or returning node gets this share of its usual requests at first and
# the full share after the time.
RAMP_START = 0.1
RAMP_S = 5.0
# A node that was not considered for this long counts as returning.
ABSENCE_S = 30.0
# Latency that is assumed before the first answer; also the least one.
FIRST_LATENCY_S = 0.001
# A second try starts after this quantile of the latencies, so that about one
# in twenty requests is hedged when all nodes are equally fast.
HEDGE_QUANTILE = 0.95
# Step of the estimate of that quantile, as a share of it, and the larger first
# steps in which it finds the right order of magnitude.
QUANTILE_STEP = 0.05
QUANTILE_FIRST_SAMPLES = 4
FIRST_TAIL_S = 0.1
HEDGE_LEAST_S = 0.005
# Draws before all nodes are looked at; avoided nodes are few.
DRAWS = 8
MAX_NODES = 1024


@attrs.define(eq=False)
class NodeView:
    """What this daemon has observed of one node.

    Attributes:
      ramp_from_s: When its ramp began.
      seen_s: When it was last considered.
      in_flight: Requests that this daemon has running there.
      latency_s: Moving average, or None before the first answer.
      sampled_s: When the average was last changed.
      failures: Failures in a row.
      avoid_until_s: It gets no request before this, if others can.
    """

    ramp_from_s: float
    seen_s: float
    in_flight: int = 0
    latency_s: float | None = None
    sampled_s: float = 0.0
    failures: int = 0
    avoid_until_s: float = -math.inf


@attrs.define(eq=False)
class Balancer:
    """Views of the nodes; at most MAX_NODES that have nothing in flight.

    Attributes:
      rng: Source of randomness.
      now: Returns seconds of a monotonic clock.
      views: By node name.
      typical_s: Moving average of the latency of all nodes.
      tail_s: Estimate of the HEDGE_QUANTILE of the latencies.
      samples: Latencies seen.
    """

    rng: random.Random = attrs.Factory(random.Random)
    now: Callable[[], float] = clock.boottime_s
    views: dict[str, NodeView] = attrs.field(factory=dict, init=False)
    typical_s: float = attrs.field(default=FIRST_LATENCY_S, init=False)
    tail_s: float = attrs.field(default=FIRST_TAIL_S, init=False)
    samples: int = attrs.field(default=0, init=False)
    lock: threading.Lock = attrs.field(factory=threading.Lock, init=False)


def choose(
    balancer: Balancer, nodes: Sequence[str], exclude: Collection[str] = ()
) -> str | None:
    """Returns the better of two random nodes.

    Args:
      balancer: The observations.
      nodes: Names of the nodes that serve the service.
      exclude: Nodes that were tried already.

    Returns:
      A node, or None when all are excluded. When all the others are avoided
      one of these is returned, because the reasons may be gone.
    """
    now_s = balancer.now()
    with balancer.lock:
        pair = draw_pair(balancer, nodes, exclude, now_s)
        if not pair:
            return None
        for name in pair:
            see(balancer, name, now_s)
        return min(pair, key=lambda name: rank(balancer, name, now_s))


def choose_near(
    balancer: Balancer,
    nodes: Sequence[str],
    near: Sequence[str],
    exclude: Collection[str],
    tolerance: float,
) -> str | None:
    """Returns a node nearby if it is hardly worse than the choice among all.

    Args:
      balancer: The observations.
      nodes: Names of the nodes that serve the service.
      near: Those of them in the same zone.
      exclude: Nodes that were tried already.
      tolerance: How many times the expected time of the choice among all a
        node nearby may take.
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
        put_back, near_s = rank(balancer, candidate, now_s)
        _, best_s = rank(balancer, best, now_s)
    return candidate if not put_back and near_s <= tolerance * best_s else best


def draw_pair(
    balancer: Balancer,
    nodes: Sequence[str],
    exclude: Collection[str],
    now_s: float,
) -> list[str]:
    """Returns up to two different nodes, in random order."""

    def usable(name: str) -> bool:
        view = balancer.views.get(name)
        avoided = view is not None and now_s < view.avoid_until_s
        return name not in exclude and not avoided

    pair: list[str] = []
    if len(nodes) > DRAWS:
        for _ in range(DRAWS):
            name = balancer.rng.choice(nodes)
            if name not in pair and usable(name):
                pair.append(name)
                if len(pair) == 2:
                    return pair
    left = [name for name in nodes if usable(name)] or [
        name for name in nodes if name not in exclude
    ]
    return balancer.rng.sample(left, min(2, len(left)))


def see(balancer: Balancer, name: str, now_s: float) -> NodeView:
    """Returns the view of a node; a new or returning one starts its ramp."""
    view = balancer.views.get(name)
    if view is None:
        make_room(balancer)
        view = balancer.views[name] = NodeView(now_s, now_s)
    elif now_s - view.seen_s > ABSENCE_S and view.in_flight == 0:
        view.ramp_from_s = now_s
        view.latency_s = None
        view.failures = 0
    view.seen_s = now_s
    return view


def make_room(balancer: Balancer) -> None:
    """Drops the idle view that was considered longest ago, when full."""
    if len(balancer.views) < MAX_NODES:
        return
    idle = [
        name for name, view in balancer.views.items() if view.in_flight == 0
    ]
    if idle:
        del balancer.views[
            min(idle, key=lambda name: balancer.views[name].seen_s)
        ]


def rank(balancer: Balancer, name: str, now_s: float) -> tuple[bool, float]:
    """Returns the sort key of a node; the lower the better.

    A node on its ramp is put back by chance, so that its share of the
    requests follows the ramp whatever the load is.
    """
    view = balancer.views[name]
    ramp = RAMP_START + (1 - RAMP_START) * (now_s - view.ramp_from_s) / RAMP_S
    put_back = ramp < 1 and balancer.rng.random() >= ramp
    latency_s = expected_latency(balancer, view, now_s)
    return put_back, (view.in_flight + 1) * latency_s


def expected_latency(balancer: Balancer, view: NodeView, now_s: float) -> float:
    """Returns a node's latency, drawn towards the typical one with time."""
    if view.latency_s is None:
        return balancer.typical_s
    trust = math.exp(-(now_s - view.sampled_s) / FORGIVE_TIME_S)
    typical_s = balancer.typical_s
    return typical_s + (view.latency_s - typical_s) * trust


def hedge_delay_s(balancer: Balancer) -> float:
    """Returns how long a try may take before a second one is worth it."""
    with balancer.lock:
        return max(HEDGE_LEAST_S, balancer.tail_s)


def started(balancer: Balancer, node: str) -> None:
    """Counts a request that is sent to a node."""
    with balancer.lock:
        see(balancer, node, balancer.now()).in_flight += 1


def ended(balancer: Balancer, node: str, seconds: float, ok: bool) -> None:
    """Takes in the end of a request.

    Args:
      balancer: The observations.
      node: The node that it was sent to.
      seconds: Time from start to end.
      ok: False for a failure or refusal, whose latency tells nothing.
    """
    now_s = balancer.now()
    with balancer.lock:
        view = see(balancer, node, now_s)
        view.in_flight = max(0, view.in_flight - 1)
        if ok:
            learn_latency(balancer, view, max(seconds, FIRST_LATENCY_S), now_s)
        # Requests that were sent before the node was avoided say nothing new.
        if now_s < view.avoid_until_s:
            return
        if ok:
            view.failures = 0
            return
        avoid_s = min(AVOID_MAX_S, AVOID_FIRST_S * 2.0**view.failures)
        view.failures = min(view.failures + 1, 16)
        view.avoid_until_s = now_s + avoid_s
        if view.failures >= RAMP_FAILURES:
            view.ramp_from_s = view.avoid_until_s


def learn_latency(
    balancer: Balancer, view: NodeView, seconds: float, now_s: float
) -> None:
    """Moves the averages towards a new sample."""
    if view.latency_s is None:
        view.latency_s = seconds
    else:
        # The floor lets samples at the same moment count too.
        age_s = max(now_s - view.sampled_s, LATENCY_TIME_S / 100)
        keep = math.exp(-age_s / LATENCY_TIME_S)
        view.latency_s = view.latency_s * keep + seconds * (1 - keep)
    view.sampled_s = now_s
    balancer.typical_s += (seconds - balancer.typical_s) / 64
    learn_tail(balancer, seconds)


def learn_tail(balancer: Balancer, seconds: float) -> None:
    """Moves the estimate of the quantile up or down by a share of itself.

    The steps balance where HEDGE_QUANTILE of the samples are below it.
    """
    balancer.samples += 1
    first = QUANTILE_FIRST_SAMPLES / balancer.samples
    step = max(QUANTILE_STEP, min(1.0, first))
    if seconds > balancer.tail_s:
        balancer.tail_s *= 1 + step * HEDGE_QUANTILE
    else:
        balancer.tail_s *= 1 - step * (1 - HEDGE_QUANTILE)
