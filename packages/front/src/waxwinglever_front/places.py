"""Limits how many requests a daemon holds at once, by where they come from.

Without the limits an overload fills all threads of all daemons with requests
that wait for each other's daemons. Forwarded requests, announcements and
refusals then wait for a thread until their deadlines are over.
"""

import contextlib
import threading
from collections.abc import Iterator

import attrs

from waxwinglever_model import exceptions

# Shares of the server's threads. The rest refuses what is over the limits and
# serves the pages.
FIRST_SHARE = 3 / 8
FORWARDED_SHARE = 1 / 2


@attrs.frozen
class Places:
    """Places for requests.

    Attributes:
      first: For requests of callers; they may wait for another daemon.
      forwarded: For requests of other daemons; they wait only for the backend
        server beside this daemon, so they always come to an end.
    """

    first: threading.BoundedSemaphore
    forwarded: threading.BoundedSemaphore


def for_threads(threads: int) -> Places:
    """Returns the places of a server with that many threads."""
    return Places(
        threading.BoundedSemaphore(max(1, int(threads * FIRST_SHARE))),
        threading.BoundedSemaphore(max(1, int(threads * FORWARDED_SHARE))),
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
