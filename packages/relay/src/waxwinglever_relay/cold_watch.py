"""Bounds the requests to a backend server that may have become cold.

A backend server announces at intervals how long it stays cold, but may become
cold at any moment between, and a cold one crashes above a rate. Until it is
known to be warm, it therefore gets no more requests in a second than a cold one
takes. The requests themselves cause the checks that show it is warm, so a
server that gets few requests is never asked.
"""

import collections
import threading
from collections.abc import Callable

import attrs

from waxwinglever_model import clock

# The limit of a cold backend server counts the requests within this time.
WINDOW_S = 1.0
# A check begins when this share of the requests that may be sent without one
# has been sent. The rest is sent while the response is on its way.
CHECK_SHARE = 0.6
# Time after a check that did not show that the server is warm. Others follow
# one another as fast as requests need them.
CHECK_PAUSE_S = 0.05
# Interval of the log lines about checks without a result.
LOG_INTERVAL_S = 1.0


@attrs.define(eq=False)
class ColdWatch:
    """What was sent since the backend server was last known to be warm.

    Attributes:
      now: Returns seconds of the boot clock.
      max_sends: Requests that it may get within WINDOW_S while it may be cold;
        infinity for no bound.
      warm_s: It was warm at this time or later.
      sends_s: Times of the requests sent after `warm_s` and within WINDOW_S.
      due: Set when a check should begin.
      changed: Notified when `warm_s` or `max_sends` changes; its lock guards
        all fields.
    """

    now: Callable[[], float] = clock.boottime_s
    max_sends: float = float("inf")
    warm_s: float = float("-inf")
    sends_s: collections.deque[float] = attrs.field(factory=collections.deque)
    due: threading.Event = attrs.field(factory=threading.Event)
    changed: threading.Condition = attrs.field(factory=threading.Condition)


def set_bound(watch: ColdWatch, max_sends: float) -> None:
    """Sets how many requests a server may get within WINDOW_S while cold."""
    with watch.changed:
        watch.max_sends = max(1.0, max_sends)
        watch.changed.notify_all()


def record_warm(watch: ColdWatch, warm_s: float) -> None:
    """Records that the backend server was warm at a time or later."""
    with watch.changed:
        watch.warm_s = max(watch.warm_s, warm_s)
        watch.changed.notify_all()


def unconfirmed_sends(watch: ColdWatch) -> int:
    """Returns how many requests may count against the limit of a cold server.

    The caller holds the lock.
    """
    sends_s = watch.sends_s
    since_s = max(watch.warm_s, watch.now() - WINDOW_S)
    while sends_s and sends_s[0] <= since_s:
        sends_s.popleft()
    return len(sends_s)


def send_delay_s(watch: ColdWatch) -> float:
    """Records a request that is sent now, or returns when one may be sent.

    The caller holds the lock.

    Returns:
      0 if the request is recorded, otherwise the time until a request may be
      sent without a check.
    """
    sent = unconfirmed_sends(watch)
    if sent + 1 > watch.max_sends:
        watch.due.set()
        return max(0.001, watch.sends_s[0] + WINDOW_S - watch.now())
    watch.sends_s.append(watch.now())
    if sent + 1 >= watch.max_sends * CHECK_SHARE:
        watch.due.set()
    return 0.0


def wait_to_send(
    watch: ColdWatch, max_wait_s: float, is_cold: Callable[[], bool]
) -> bool:
    """Waits until a request may be sent, and records it.

    Args:
      watch: The state.
      max_wait_s: Longest time to wait.
      is_cold: Returns whether the server is known to be cold. A check then
        shortens no wait, so one that is too long ends at once.

    Returns:
      Whether the request may be sent now.
    """
    if watch.max_sends == float("inf"):
        return True
    end_s = watch.now() + max_wait_s
    with watch.changed:
        while delay_s := send_delay_s(watch):
            left_s = end_s - watch.now()
            if left_s <= 0 or (delay_s > left_s and is_cold()):
                return False
            watch.changed.wait(min(delay_s, left_s))
    return True


def run_checks(
    watch: ColdWatch,
    check: Callable[[], float | None],
    is_cold: Callable[[], bool],
    log: Callable[..., None],
    stopping: threading.Event,
) -> None:
    """Asks the backend server whether it is warm; runs in a thread.

    Args:
      watch: The state.
      check: Asks for how many seconds it stays cold. Records that it is cold,
        and returns the time, or None if there was no valid response.
      is_cold: Returns whether it is known to be cold. It is not asked then.
      log: Called with an event name and fields.
      stopping: Ends the checks.
    """
    logged_s = float("-inf")
    while not stopping.is_set():
        watch.due.wait()
        watch.due.clear()
        if not is_cold():
            asked_s = watch.now()
            cold_s = check()
            if cold_s == 0:
                record_warm(watch, asked_s)
                continue
            if cold_s is None and asked_s - logged_s >= LOG_INTERVAL_S:
                logged_s = asked_s
                log(
                    "cold-check-failed",
                    unconfirmed=len(watch.sends_s),
                    bound=watch.max_sends,
                    confirmed_age_s=round(asked_s - watch.warm_s, 3),
                )
        stopping.wait(CHECK_PAUSE_S)
