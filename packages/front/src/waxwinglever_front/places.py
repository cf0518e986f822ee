"""Limits how many requests a daemon holds at once, by where they come from.

Without the limits an overload fills all threads of all daemons with requests
that wait for each other's daemons. Forwarded requests, announcements and
refusals then wait for a thread until their deadlines are over.
"""

import contextlib
import threading
from collections import Counter
from collections.abc import Iterator

import attrs

from waxwinglever_model import exceptions

# Shares of the server's threads. The rest refuses what is over the limits and
# serves the pages.
FIRST_SHARE = 3 / 8
FORWARDED_SHARE = 1 / 2
# Shares of the threads that may wait at the gate, for a slice under handover,
# and for one other daemon. One daemon that is frozen must not take all places
# of callers.
QUEUE_SHARE = 1 / 4
HELD_SHARE = 3 / 16
EACH_SHARE = 1 / 8


@attrs.define(eq=False)
class Links:
    """Requests that wait for each other daemon.

    Attributes:
      most: Requests that may wait for one daemon.
      waiting: Requests that wait, by address.
      lock: Guards `waiting`.
    """

    most: int
    waiting: Counter[str] = attrs.Factory(Counter)
    lock: threading.Lock = attrs.Factory(threading.Lock)


@attrs.frozen
class Places:
    """Places for requests.

    Attributes:
      first: For requests of callers; they may wait for another daemon.
      forwarded: For requests of other daemons; they wait only for the backend
        server beside this daemon, so they always come to an end.
      held: For requests that wait for a slice under handover.
      queue_limit: Requests that may wait at the gate.
      links: Requests that wait for each other daemon.
    """

    first: threading.BoundedSemaphore
    forwarded: threading.BoundedSemaphore
    held: threading.BoundedSemaphore
    queue_limit: int
    links: Links


def for_threads(threads: int) -> Places:
    """Returns the places of a server with that many threads."""

    def count(share: float) -> int:
        return max(1, int(threads * share))

    return Places(
        first=threading.BoundedSemaphore(count(FIRST_SHARE)),
        forwarded=threading.BoundedSemaphore(count(FORWARDED_SHARE)),
        held=threading.BoundedSemaphore(count(HELD_SHARE)),
        queue_limit=count(QUEUE_SHARE),
        links=Links(count(EACH_SHARE)),
    )


@contextlib.contextmanager
def taken(places: Places, is_forwarded: bool) -> Iterator[None]:
    """Holds a place for a request.

    Raises:
      Overloaded: None is free; the request did not run.
    """
    place = places.forwarded if is_forwarded else places.first
    if not place.acquire(blocking=False):
        raise exceptions.Overloaded(
            "the daemon holds as many requests as it can",
            "send the request again later, or to another daemon",
            retry_after_ms=1000,
        )
    try:
        yield
    finally:
        place.release()


@contextlib.contextmanager
def link(links: Links, address: str) -> Iterator[None]:
    """Holds a place while a request waits for the daemon at an address.

    Raises:
      Overloaded: All places for this daemon are taken.
    """
    with links.lock:
        if links.waiting[address] >= links.most:
            raise exceptions.Overloaded(
                f"too many requests wait for the daemon at {address}",
                "send the request again later, or to its owner",
                retry_after_ms=500,
            )
        links.waiting[address] += 1
    try:
        yield
    finally:
        with links.lock:
            links.waiting[address] -= 1
            if not links.waiting[address]:
                del links.waiting[address]
