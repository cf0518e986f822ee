"""Admission of long bodies to the link of the node that gets them.

This addresses uploads that together need more than the link of a node carries:
nine servers with links of 5 Mbit/s get 10 bodies of 60 KB a second each.
Without a bound all of them share the link, each arrives after its deadline, and
the small requests beside them wait as long. A node that is about to send such a
body asks the receiver first, which admits as many as arrive soon and tells the
others when to ask again.
"""

import threading
from collections.abc import Callable

import attrs

from waxwinglever_relay import messages

# A body that takes less than this on the link of the sender is sent at once, as
# asking for it takes a round trip of 2 to 3 ms between zones.
MIN_ASKED_S = 0.01
# Admitted bodies that have not arrived take at most this long together. Small
# requests wait about as long in the link, and their targets begin at 0.2 s.
MAX_BACKLOG_S = 0.2
# A reservation ends after this time and a multiple of that which its body needs
# beside those before it: its sender may have been lost.
MIN_EXPIRY_S = 1.0
EXPIRY_FACTOR = 3.0
# Longest answer to a sender that has to ask again.
MAX_WAIT_S = 1.0


@attrs.frozen
class Answer:
    """The answer to a node that wants to send a body.

    Attributes:
      granted: Whether it may send it now.
      wait_s: Otherwise, when there will be room.
    """

    granted: bool
    wait_s: float = 0.0


@attrs.define(eq=False)
class Reservation:
    """A body that was admitted and has not arrived whole.

    Attributes:
      size: Its size in bytes.
      expires_s: When the reservation ends, on the boot clock.
      received: Returns how many bytes of it have arrived.
    """

    size: int
    expires_s: float
    received: Callable[[], int] = lambda: 0


@attrs.define(eq=False)
class Link:
    """The link of this node and the bodies that it is about to receive.

    Attributes:
      bytes_per_s: What it carries in one direction; infinite if not known.
      reservations: The admitted bodies, by request id.
      refused: How many bodies were not admitted since the start.
      lock: Guards the reservations.
    """

    bytes_per_s: float = float("inf")
    reservations: dict[str, Reservation] = attrs.field(factory=dict)
    refused: int = 0
    lock: threading.Lock = attrs.field(factory=threading.Lock)


def must_ask(link: Link, size: int) -> bool:
    """Returns whether a sender asks before it sends a body."""
    return size >= link.bytes_per_s * MIN_ASKED_S


def reserve(link: Link, request_id: str, size: int, now_s: float) -> Answer:
    """Admits a body to the link, or tells when there will be room.

    A body is always admitted while no other one is on its way, so that one that
    takes longer than MAX_BACKLOG_S is served as well.

    Args:
      link: The link of the receiver.
      request_id: Id of the request.
      size: Size of the body.
      now_s: The time, on the boot clock.
    """
    with link.lock:
        expired = [
            known_id
            for known_id, item in link.reservations.items()
            if item.expires_s <= now_s
        ]
        for known_id in expired:
            del link.reservations[known_id]
        backlog = sum(
            max(0, item.size - item.received())
            for item in link.reservations.values()
        )
        needed_s = (backlog + size) / link.bytes_per_s
        if backlog and needed_s > MAX_BACKLOG_S:
            link.refused += 1
            return Answer(False, min(needed_s - MAX_BACKLOG_S, MAX_WAIT_S))
        link.reservations[request_id] = Reservation(
            size, now_s + MIN_EXPIRY_S + EXPIRY_FACTOR * needed_s
        )
        return Answer(True)


def begin(link: Link, request_id: str, received: Callable[[], int]) -> None:
    """Records that a body begins to arrive, if it was admitted."""
    with link.lock:
        item = link.reservations.get(request_id)
        if item is not None:
            item.received = received


def end(link: Link, request_id: str) -> None:
    """Ends a reservation, as the body has arrived or will not."""
    with link.lock:
        link.reservations.pop(request_id, None)


def link_busy_error(name: str, wait_s: float) -> messages.LinkBusy:
    """Returns the refusal of a body for which a link has no room."""
    return messages.LinkBusy(
        f"the link of {name} is busy with other bodies",
        "try again after the given time",
        retry_after_ms=max(1.0, wait_s * 1000),
    )
