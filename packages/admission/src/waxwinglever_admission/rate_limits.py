"""A limit on the requests a second that a backend server takes.

The server names it, and all its requests pass one gate, which starts them at
this rate. A refused caller is told a time of its own to return, so that those
who were refused together don't return together.
"""

import math

import attrs

# Bounds on the requests that may start at one moment after idle time. With less
# than two, each thread that wakes late would waste a part of the limit.
BURST_S = 0.25
MIN_BURST = 2.0
# Requests start at this rate at least. A server that gets none can't say that
# its limit has ended.
MIN_RATE_PER_S = 0.5
# Longest time for which requests wait because of the limit. Longer queues would
# make all of them late.
MAX_WAIT_S = 0.25
# Return times are handed out for at most this far ahead. Callers that must wait
# longer than their deadline allows don't return.
MAX_RETURN_S = 2.0


@attrs.define(eq=False)
class RateLimit:
    """The limit and what is left of it.

    Attributes:
      rate_per_s: Requests a second, or infinity for no limit.
      tokens: Requests that may start at `updated_s`.
      updated_s: When `tokens` was last computed.
      next_return_s: Earliest return time that no refused caller was told.
    """

    rate_per_s: float = math.inf
    tokens: float = 0.0
    updated_s: float = 0.0
    next_return_s: float = -math.inf


def is_limited(rate_limit: RateLimit) -> bool:
    """Returns whether there is a limit."""
    return rate_limit.rate_per_s != math.inf


def set_rate(
    rate_limit: RateLimit, rate_per_s: float | None, now_s: float
) -> None:
    """Sets the limit; None ends it.

    A new limit starts without tokens: the requests just before it count in the
    time for which the server allows it.
    """
    if rate_per_s is None:
        rate_limit.rate_per_s = math.inf
        rate_limit.next_return_s = -math.inf
        return
    if is_limited(rate_limit):
        refill(rate_limit, now_s)
    else:
        rate_limit.tokens = 0.0
        rate_limit.updated_s = now_s
    rate_limit.rate_per_s = max(MIN_RATE_PER_S, rate_per_s)
    rate_limit.tokens = min(rate_limit.tokens, burst(rate_limit))


def burst(rate_limit: RateLimit) -> float:
    """Returns how many requests may start at one moment."""
    return max(MIN_BURST, rate_limit.rate_per_s * BURST_S)


def refill(rate_limit: RateLimit, now_s: float) -> None:
    """Adds the tokens of the time that has passed."""
    passed_s = max(0.0, now_s - rate_limit.updated_s)
    rate_limit.tokens = min(
        burst(rate_limit), rate_limit.tokens + passed_s * rate_limit.rate_per_s
    )
    rate_limit.updated_s = now_s


def next_start_s(
    rate_limit: RateLimit, now_s: float, ahead: float = 0
) -> float:
    """Returns when a request may start.

    It returns the same future time until a request starts or the limit changes,
    so that a thread that waits for it is not woken to find nothing.

    Args:
      rate_limit: The limit.
      now_s: Current time.
      ahead: Number of requests that start before it.
    """
    if not is_limited(rate_limit):
        return now_s
    rate_per_s = rate_limit.rate_per_s
    since_s, tokens = rate_limit.updated_s, rate_limit.tokens
    full_s = since_s + (burst(rate_limit) - tokens) / rate_per_s
    if now_s > full_s:
        since_s, tokens = now_s, burst(rate_limit)
    return max(now_s, since_s + (1.0 + ahead - tokens) / rate_per_s)


def take(rate_limit: RateLimit, now_s: float) -> None:
    """Takes the token of a request that starts."""
    if is_limited(rate_limit):
        refill(rate_limit, now_s)
        rate_limit.tokens -= 1.0


def max_waiting(rate_limit: RateLimit, queue_limit: int) -> int:
    """Returns how many requests may wait."""
    if not is_limited(rate_limit):
        return queue_limit
    return min(queue_limit, max(1, int(rate_limit.rate_per_s * MAX_WAIT_S)))


def return_delay_s(rate_limit: RateLimit, now_s: float, waiting: int) -> float:
    """Returns after how long a refused caller should return.

    Each call hands out another time, at the rate of the limit, as long as that
    is within MAX_RETURN_S.
    """
    earliest_s = next_start_s(rate_limit, now_s, waiting)
    return_s = max(earliest_s, rate_limit.next_return_s)
    latest_s = max(earliest_s, now_s + MAX_RETURN_S)
    rate_limit.next_return_s = min(
        latest_s, return_s + 1.0 / rate_limit.rate_per_s
    )
    return min(return_s, latest_s) - now_s
