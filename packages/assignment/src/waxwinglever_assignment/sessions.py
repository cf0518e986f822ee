"""The session of a node: its entry in the store, bound to a lease.

The entry tells the others where the node is and what runs beside it. Its
confirmation carries the right to hold ranges: whoever takes ranges away first
waits until every confirmation that was possible has run out. While the store
is away, promises of other nodes take the place of confirmations.
"""

import threading
from collections.abc import Callable

import attrs

from waxwinglever_assignment import fleet as fleets
from waxwinglever_assignment import promises
from waxwinglever_model import clock
from waxwinglever_model import exceptions
from waxwinglever_store import leased

# A machine that is gone loses its entry after this time. Two renewals may
# fail before that.
LEASE_S = 2.0
RENEW_S = 0.5
# How long a confirmation of the entry allows its node to hold ranges, counted
# from before it was asked for.
VALID_S = 2.0
# An owner without an entry has held nothing for sure after VALID_S; the rest
# covers backend servers whose clock runs 2% slow and late timers. It also
# gives nodes whose leases ran out during an outage of the store the two
# seconds that the platform allows for their return.
RELEASED_S = VALID_S * 1.02 + 0.3
RETRY_S = 0.15


@attrs.define(eq=False)
class Session:
    """The session; one thread runs it, others read it.

    Attributes:
      store: The store.
      member: What the entry should say.
      entry: Returns the entry as a watch of the store itself knows it.
      log: Called with an event name and fields.
      lease: The lease of the entry, or NO_LEASE.
      published: What the entry says, or None when that is not known.
      floor: Store version of the first entry of this session. Ownership
        records older than that don't count.
      confirmed_s: When the last successful confirmation was begun.
      promised_s: When the last round of promises with a majority was begun.
      ask_promises: Asks the voters; returns whether a majority promised.
      doubtful: Whether a call has failed since the entry was last read.
      direct: Whether the last confirmation came from the store itself and not
        by way of another daemon.
      lost: Whether the last confirmation failed.
      wake: Set when `member` changed or the thread must end.
      stopping: Ends the thread.
    """

    store: leased.LeasedStore
    member: fleets.Member
    entry: Callable[[], leased.Item | None]
    log: Callable[..., None]
    ask_promises: Callable[[], bool] = lambda: False
    now: Callable[[], float] = clock.boottime_s
    promised_s: float = float("-inf")
    lease: int = leased.NO_LEASE
    published: fleets.Member | None = None
    floor: int = 0
    confirmed_s: float = float("-inf")
    doubtful: bool = False
    direct: bool = False
    lost: bool = False
    wake: threading.Event = attrs.Factory(threading.Event)
    stopping: threading.Event = attrs.Factory(threading.Event)


def valid_until_s(session: Session) -> float:
    """Returns until when the node may hold ranges."""
    return max(
        session.confirmed_s + VALID_S,
        min(
            session.promised_s + promises.PROMISE_S,
            session.confirmed_s + promises.EXTENSION_S,
        ),
    )


def extend(session: Session) -> None:
    """Asks for promises while the store can't confirm the session."""
    began_s = session.now()
    if began_s - session.confirmed_s >= promises.EXTENSION_S:
        return
    if session.ask_promises():
        session.promised_s = began_s


def announce(session: Session, **fields: object) -> None:
    """Changes what the entry says; the thread writes it at once."""
    changed = attrs.evolve(session.member, **fields)
    if changed != session.member:
        session.member = changed
        session.wake.set()


def run(session: Session) -> None:
    """Keeps the entry until `stopping` is set; one thread's task."""
    while not session.stopping.is_set():
        session.wake.clear()
        began_s = session.now()
        pause_s = RENEW_S
        try:
            confirm(session)
            if session.lost:
                session.lost = False
                session.log("session-regained", lease=session.lease)
        except leased.LeaseEnded as error:
            session.log(
                "session-ended",
                lease=session.lease,
                age_s=round(session.now() - session.confirmed_s, 3),
                error=error.message,
            )
            forget(session)
            continue
        except exceptions.WaxwingleverError as error:
            session.doubtful = True
            pause_s = RETRY_S
            if not session.lost:
                session.lost = True
                session.log(
                    "session-unconfirmed",
                    lease=session.lease,
                    valid_s=round(valid_until_s(session) - session.now(), 3),
                    error=error.message,
                )
            extend(session)
        session.wake.wait(max(0.0, began_s + pause_s - session.now()))


def confirm(session: Session) -> None:
    """Opens or renews the lease and makes sure that the entry is there.

    A lease that is renewed does not prove that the entry still exists: the
    store can take the keys of a lease away, so the entry is read as well.

    Raises:
      LeaseEnded: The entry or the lease is gone.
      StoreUnavailable: The store did not answer.
    """
    began_s = session.now()
    if session.lease == leased.NO_LEASE:
        session.lease = session.store.open_lease(LEASE_S)
        session.published = None
        session.floor = publish(session)
    elif session.published != session.member:
        session.store.renew(session.lease)
        publish(session)
    else:
        session.store.renew(session.lease)
        check_entry(session)
    session.direct = session.store.is_direct()
    session.confirmed_s = began_s


def check_entry(session: Session) -> None:
    """Makes sure that the entry still exists.

    The watch shows a removal at once. After a failed call, or when calls take
    a detour, the watch may be behind, and the entry is read from the store.
    """
    key = fleets.entry_key(session.member.name)
    direct = session.store.is_direct()
    if direct and not session.doubtful:
        item = session.entry()
        if item is None or item.version < session.floor:
            item = session.store.get(key)
    else:
        item = session.store.get(key)
        session.doubtful = not direct
    if item is None or item.lease != session.lease:
        raise leased.LeaseEnded(
            "the entry of this node is gone", "a new session is opened"
        )


def publish(session: Session) -> int:
    """Writes the entry and returns its store version."""
    key = fleets.entry_key(session.member.name)
    member = session.member
    item = session.store.get(key)
    if session.published is not None and (
        item is None or item.lease != session.lease
    ):
        raise leased.LeaseEnded(
            "the entry of this node is gone", "a new session is opened"
        )
    version = session.store.commit(
        {key: item.version if item is not None else leased.ABSENT},
        [leased.Write(key, fleets.encode_member(member), session.lease)],
        [],
    )
    session.published = member
    return version


def forget(session: Session) -> None:
    """Starts over with a new lease."""
    session.lease = leased.NO_LEASE
    session.published = None
    session.confirmed_s = float("-inf")
    session.promised_s = float("-inf")


def close(session: Session) -> None:
    """Removes the entry, so that the others need not wait for the lease."""
    session.stopping.set()
    session.wake.set()
    if session.lease != leased.NO_LEASE:
        try:
            session.store.end_lease(session.lease)
        except exceptions.WaxwingleverError as error:
            session.log("session-not-closed", error=error.message)
