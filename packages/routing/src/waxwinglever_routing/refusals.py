"""Memory of nodes that refused requests because they were full.

This addresses bursts in which each request would ask one full node after the
other. A node that is believed to be full gets no request of the same or a less
urgent class. As nobody would notice when it has room again, a belief is kept
short, ends with a report of free slots, and does not apply to some requests,
which are sent to learn.
"""

import math
import random
import threading
from collections.abc import Collection, Sequence

import attrs

# Longest time for which a node is believed to be full.
MAX_HOLD_S = 0.5
# Share of the requests that are sent to nodes that are believed to be full.
# Each node decides by itself, so this bounds how much of the load a full server
# still sees, whatever the number of nodes.
LEARN_SHARE = 0.1
MAX_NODES = 1024
# A request with more time left than the refused one by this share may still be
# queued.
LEFT_TOLERANCE = 0.1
# Time that a new request may have spent in this daemon. One with less time left
# comes from a caller that was refused before.
NEW_TOLERANCE_S = 0.05
# Longest wait that is stated beyond the earliest time, relative to it, so that
# callers who were refused at the same time don't return at the same time.
SPREAD = 0.5


@attrs.frozen
class Refused:
    """A request that a node refused because it is full.

    Attributes:
      request_class: Its route.
      priority: Its priority; 0 is the most urgent.
      left_s: Time that it had left until its deadline.
      until_s: Until when the node is believed to be full.
    """

    request_class: str
    priority: int
    left_s: float
    until_s: float


@attrs.define(eq=False)
class Memory:
    """The last refusal of each node for lack of room.

    Attributes:
      rng: Random number generator.
      by_node: The refusals by name of the node, the oldest first.
      lock: Guards `by_node`.
    """

    rng: random.Random = attrs.Factory(random.Random)
    by_node: dict[str, Refused] = attrs.field(factory=dict)
    lock: threading.Lock = attrs.field(factory=threading.Lock)


def hold_s(retry_after_s: float | None, busy_s: float | None) -> float:
    """Returns for how long a node that refused is believed to be full.

    Args:
      retry_after_s: The time that the refusal stated, if any.
      busy_s: The time that the node needs for what waits there already, if it
        is known. No slot stays free in that time for want of requests.
    """
    known = [s for s in (retry_after_s, busy_s) if s is not None]
    return max(0.0, min(known + [MAX_HOLD_S])) if known else 0.0


def remember(memory: Memory, node: str, refused: Refused, now_s: float) -> None:
    """Remembers a refusal.

    Of two that are in force, the one of the more urgent class is kept: it
    covers the other one.
    """
    with memory.lock:
        by_node = memory.by_node
        known = by_node.pop(node, None)
        if (
            known is not None
            and now_s < known.until_s
            and known.priority < refused.priority
        ):
            refused = known
        while by_node:
            oldest = next(iter(by_node))
            if now_s < by_node[oldest].until_s and len(by_node) < MAX_NODES:
                break
            del by_node[oldest]
        by_node[node] = refused


def forget(memory: Memory, node: str) -> None:
    """Forgets the refusal of a node that has room."""
    # Most nodes have none.
    if node in memory.by_node:
        with memory.lock:
            memory.by_node.pop(node, None)


def full_until_s(
    memory: Memory,
    node: str,
    request_class: str,
    priority: int,
    left_s: float,
    now_s: float,
    same_class: bool = False,
) -> float:
    """Returns until when a node is believed to have no room for a request.

    A request with more time left than the refused one may still be queued, so
    the refusal says nothing about it. A request of the same class with less
    time left comes from a caller that was refused before, and may have been
    promised a place.

    Args:
      memory: The remembered refusals.
      node: Name of the node.
      request_class: Route of the request.
      priority: Priority of the request.
      left_s: Time left until its deadline.
      now_s: The time.
      same_class: Whether refusals of other classes are ignored.

    Returns:
      The time, or -inf if it may have room.
    """
    refused = memory.by_node.get(node)
    if refused is None or now_s >= refused.until_s:
        return -math.inf
    if left_s > refused.left_s * (1 + LEFT_TOLERANCE):
        return -math.inf
    if request_class == refused.request_class:
        is_new = left_s >= refused.left_s - NEW_TOLERANCE_S
        return refused.until_s if is_new else -math.inf
    if same_class or priority < refused.priority:
        return -math.inf
    return refused.until_s


def list_full(
    memory: Memory,
    nodes: Collection[str],
    request_class: str,
    priority: int,
    left_s: float,
    now_s: float,
) -> dict[str, float]:
    """Returns the nodes that are believed to be full, and until when.

    The cost is that of the remembered refusals, not of all nodes.
    """
    found = {}
    for node in list(memory.by_node):
        if node in nodes:
            until_s = full_until_s(
                memory, node, request_class, priority, left_s, now_s
            )
            if until_s > now_s:
                found[node] = until_s
    return found


def should_learn(memory: Memory) -> bool:
    """Returns whether a request is sent although its nodes seem full."""
    return memory.rng.random() < LEARN_SHARE


def return_delay_s(
    memory: Memory, times_s: Sequence[float], now_s: float
) -> float:
    """Returns after how long a caller that is refused may come back.

    Args:
      memory: The remembered refusals.
      times_s: Until when each of the nodes is believed to be full.
      now_s: The time.
    """
    earliest_s = max(0.0, min(times_s) - now_s)
    return earliest_s * (1 + SPREAD * memory.rng.random())
