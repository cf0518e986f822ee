"""Limits how many requests a daemon processes at once, by their origin.

Without these limits, an overload fills all threads of all daemons with
requests that wait for other daemons. Forwarded requests, announcements and
refusals then wait for a free thread until their deadlines pass.
"""

import contextlib
import threading
from collections import Counter
from collections.abc import Iterator

import attrs

from waxwinglever_model import exceptions

# Shares of the HTTP server's threads for requests of callers and of other
# daemons. The remaining threads refuse requests over the limits and serve the
# operators' pages.
CALLER_SHARE = 3 / 8
FORWARDED_SHARE = 1 / 2
# Shares of the threads that may wait at the gate, for a newer cell record, and
# for one other daemon. The last one keeps a single frozen daemon from using up
# the permits of callers.
QUEUE_SHARE = 1 / 4
RECORD_WAIT_SHARE = 3 / 16
PEER_SHARE = 1 / 8


@attrs.define(eq=False)
class PeerLimits:
    """Limits the requests that wait for any one other daemon.

    Attributes:
      max_waiting: Maximum number of requests that wait for one daemon.
      waiting: Number of waiting requests by the daemon's address.
      lock: Guards `waiting`.
    """

    max_waiting: int
    waiting: Counter[str] = attrs.Factory(Counter)
    lock: threading.Lock = attrs.Factory(threading.Lock)


@attrs.frozen
class RequestLimits:
    """Limits of concurrent requests.

    Attributes:
      callers: Permits for requests of callers, which may wait for another
        daemon.
      forwarded: Permits for requests of other daemons. They only wait for the
        backend server beside this daemon, so they always finish.
      record_waiters: Permits for requests that wait for a newer cell record,
        for example while their slice is handed over.
      queue_limit: Maximum number of requests that wait at the gate.
      peer_limits: Limits of the requests that wait for any one other daemon.
    """

    callers: threading.BoundedSemaphore
    forwarded: threading.BoundedSemaphore
    record_waiters: threading.BoundedSemaphore
    queue_limit: int
    peer_limits: PeerLimits


def limits_for_threads(threads: int) -> RequestLimits:
    """Returns the limits for an HTTP server with `threads` threads."""

    def count(share: float) -> int:
        return max(1, int(threads * share))

    return RequestLimits(
        callers=threading.BoundedSemaphore(count(CALLER_SHARE)),
        forwarded=threading.BoundedSemaphore(count(FORWARDED_SHARE)),
        record_waiters=threading.BoundedSemaphore(count(RECORD_WAIT_SHARE)),
        queue_limit=count(QUEUE_SHARE),
        peer_limits=PeerLimits(count(PEER_SHARE)),
    )


@contextlib.contextmanager
def request_permit(
    request_limits: RequestLimits, is_forwarded: bool
) -> Iterator[None]:
    """Holds a permit for a request while the body runs.

    Raises:
      Overloaded: No permit is free; the request did not run.
    """
    semaphore = (
        request_limits.forwarded if is_forwarded else request_limits.callers
    )
    if not semaphore.acquire(blocking=False):
        raise exceptions.Overloaded(
            "the daemon holds as many requests as it can",
            "send the request again later, or to another daemon",
            retry_after_ms=1000,
        )
    try:
        yield
    finally:
        semaphore.release()


@contextlib.contextmanager
def peer_permit(peer_limits: PeerLimits, address: str) -> Iterator[None]:
    """Counts a request that waits for the daemon at an address.

    Raises:
      Overloaded: Too many requests wait for this daemon already.
    """
    with peer_limits.lock:
        if peer_limits.waiting[address] >= peer_limits.max_waiting:
            raise exceptions.Overloaded(
                f"too many requests wait for the daemon at {address}",
                "send the request again later, or to its owner",
                retry_after_ms=500,
            )
        peer_limits.waiting[address] += 1
    try:
        yield
    finally:
        with peer_limits.lock:
            peer_limits.waiting[address] -= 1
            if not peer_limits.waiting[address]:
                del peer_limits.waiting[address]
