"""A token bucket that limits the rate of log lines."""

import threading
from collections.abc import Callable

import attrs

from waxwinglever_model import clock


@attrs.define(eq=False)
class RateLimiter:
    """A token bucket for log lines; counts the lines that it suppresses.

    Attributes:
      rate_per_s: Tokens added per second; one line takes one token.
      burst: Capacity of the bucket, in tokens.
      now: Returns the time in seconds.
      tokens: Tokens in the bucket.
      refilled_at_s: When tokens were last added, in seconds of `now`.
      suppressed: Lines suppressed since the last one that was admitted.
      lock: Guards `tokens`, `refilled_at_s` and `suppressed`.
    """

    rate_per_s: float
    burst: float
    now: Callable[[], float] = clock.boottime_s
    tokens: float = attrs.Factory(lambda self: self.burst, takes_self=True)
    refilled_at_s: float = attrs.Factory(
        lambda self: self.now(), takes_self=True
    )
    suppressed: int = 0
    lock: threading.Lock = attrs.Factory(threading.Lock)


def admit(rate_limiter: RateLimiter, is_important: bool = False) -> int | None:
    """Takes a token for one line, if there is one.

    Args:
      rate_limiter: The token bucket.
      is_important: Whether the line may use the half of the burst that is
        reserved for important lines.

    Returns:
      The number of lines suppressed since the last admitted one, or None if
      this line must be suppressed too.
    """
    with rate_limiter.lock:
        now_s = rate_limiter.now()
        rate_limiter.tokens = min(
            rate_limiter.burst,
            rate_limiter.tokens
            + (now_s - rate_limiter.refilled_at_s) * rate_limiter.rate_per_s,
        )
        rate_limiter.refilled_at_s = now_s
        required_tokens = 1.0 if is_important else 1.0 + rate_limiter.burst / 2
        if rate_limiter.tokens < required_tokens:
            rate_limiter.suppressed += 1
            return None
        rate_limiter.tokens -= 1.0
        count, rate_limiter.suppressed = rate_limiter.suppressed, 0
        return count
