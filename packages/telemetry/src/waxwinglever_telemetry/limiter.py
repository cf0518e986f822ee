"""A limit on log lines of one kind."""

import threading
from collections.abc import Callable

import attrs

from waxwinglever_model import clock


@attrs.define(eq=False)
class Limiter:
    """Lets a number of lines through each second and counts the others.

    Attributes:
      per_s: Lines a second in the long run.
      burst: Lines at once.
      tokens: Lines that may pass now.
      suppressed: Lines kept back since the last one that passed.
    """

    per_s: float
    burst: float
    now: Callable[[], float] = clock.boottime_s
    tokens: float = attrs.Factory(lambda self: self.burst, takes_self=True)
    at_s: float = attrs.Factory(lambda self: self.now(), takes_self=True)
    suppressed: int = 0
    lock: threading.Lock = attrs.Factory(threading.Lock)


def admit(limiter: Limiter, important: bool = False) -> int | None:
    """Returns the lines kept back before this one, or None to keep it back.

    Args:
      limiter: The limit.
      important: Half of the burst is kept for important lines.
    """
    with limiter.lock:
        now_s = limiter.now()
        limiter.tokens = min(
            limiter.burst,
            limiter.tokens + (now_s - limiter.at_s) * limiter.per_s,
        )
        limiter.at_s = now_s
        least = 1.0 if important else 1.0 + limiter.burst / 2
        if limiter.tokens < least:
            limiter.suppressed += 1
            return None
        limiter.tokens -= 1.0
        count, limiter.suppressed = limiter.suppressed, 0
        return count
