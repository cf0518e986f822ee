"""The session of a node: its entry in the store, bound to a lease.

The entry publishes the node's address and the state of its backend server. A
node may hold ranges for a limited time after each confirmation of its entry.
Before the planner reassigns the ranges of a node without an entry, it waits
until the last possible confirmation has expired. While the store is
unavailable, promises of a majority of voters extend the last confirmation.
"""

import threading
from collections.abc import Callable, Collection, Mapping

import attrs

from waxwinglever_assignment import eras
from waxwinglever_assignment import fleet_view
from waxwinglever_assignment import promises
from waxwinglever_assignment import replicas
from waxwinglever_model import clock
from waxwinglever_model import exceptions
from waxwinglever_store import leased

# The store removes the entry of a failed VM after this time. Two renewals may
# fail before that.
LEASE_S = 2.0
RENEW_S = 0.5
# How long a confirmation of the entry allows its node to hold ranges, counted
# from before the request was sent.
CONFIRMATION_VALID_S = 2.0
# Wait before the ranges of an owner without an entry are reassigned. The
# owner's grants expire after CONFIRMATION_VALID_S; the rest covers backend
# servers whose clock runs 2% slow, and late timers. It also gives nodes whose
# leases expired during an outage of the store the two seconds that the platform
# allows for their return.
TAKEOVER_WAIT_S = CONFIRMATION_VALID_S * 1.02 + 0.3
RETRY_S = 0.15


@attrs.define(eq=False)
class Session:
    """State of the session of a node.

    One thread runs the session. Other threads read it and change `member`.

    Attributes:
      store: Client of the platform's store.
      member: Content that the entry should have.
      entry: Returns the entry as last seen by a direct watch of the store, or
        None if that was before a restore of the store or the watch fails.
      log: Called with an event name and fields.
      request_promises: Asks the voters for promises in the name of an era of
        the store; returns whether a majority promised.
      outdated_eras: Returns the earlier eras of the store in which ranges that
        this node still holds were recorded.
      now: Returns the time in seconds.
      promised_s: When the last request that a majority promised was started, by
        the era it was made for. Replaced at each change, as is `confirmations`.
      lease: The lease of the entry; its id is NO_LEASE if there is none.
      published: Content of the entry that this session wrote last, if any.
      entry_version: Store version of the entry that this session wrote last.
      written: The entry that this session wrote last, as a listing of its key.
      written_condition: Notified when `written` changes.
      min_record_version: Store version of the first entry of this session.
        Older ownership records are ignored.
      confirmed_s: When the last successful confirmation was started.
      confirmations: When the last successful confirmation in each era of the
        store was started.
      must_read_entry: Whether the entry must be read from the store, because a
        call has failed since it was last read.
      confirmation_failed: Whether the last confirmation failed.
      adopt_previous: Called with the member in the entry that this session
        replaces, which a previous run of this node may have written.
      wake: Set when `member` changed or the thread must end.
      stopping: Set when the thread must end.
    """

    store: leased.LeasedStoreClient
    member: fleet_view.Member
    entry: Callable[[], leased.Item | None]
    log: Callable[..., None]
    request_promises: Callable[[int], bool] = lambda era: False
    outdated_eras: Callable[[], Collection[int]] = tuple
    now: Callable[[], float] = clock.boottime_s
    promised_s: dict[int, float] = attrs.Factory(dict)
    lease: leased.Lease = leased.Lease(leased.NO_LEASE)
    published: fleet_view.Member | None = None
    entry_version: int = leased.ABSENT
    written: leased.Listing | None = None
    written_condition: threading.Condition = attrs.Factory(threading.Condition)
    min_record_version: int = 0
    confirmed_s: float = float("-inf")
    confirmations: dict[int, float] = attrs.Factory(dict)
    must_read_entry: bool = False
    confirmation_failed: bool = False
    adopt_previous: Callable[[fleet_view.Member], None] = lambda member: None
    wake: threading.Event = attrs.Factory(threading.Event)
    stopping: threading.Event = attrs.Factory(threading.Event)


def valid_until_s(session: Session) -> float:
    """Returns the time until which the node may hold ranges.

    See outdated_valid_until_s for ranges that were recorded in an earlier era
    of the store.
    """
    return extended_until_s(
        session.confirmed_s,
        max(session.promised_s.values(), default=float("-inf")),
    )


def outdated_valid_until_s(session: Session, era: int) -> float:
    """Returns the time until which ranges of an earlier era may be held.

    Their record may have been lost in a restore of the store, so confirmations
    by the restored store don't count for them.
    """
    return extended_until_s(
        last_until(session.confirmations, era),
        last_until(session.promised_s, era),
    )


def last_until(times_s: Mapping[int, float], era: int) -> float:
    """Returns the latest of the times of all eras up to one."""
    return max(
        (time_s for time_era, time_s in times_s.items() if time_era <= era),
        default=float("-inf"),
    )


def extended_until_s(confirmed_s: float, promised_s: float) -> float:
    """Returns when a confirmation ends that a promise extends."""
    return max(
        confirmed_s + CONFIRMATION_VALID_S,
        min(
            promised_s + promises.PROMISE_S,
            confirmed_s + promises.EXTENSION_S,
        ),
    )


def request_extensions(session: Session, is_confirmed: bool) -> None:
    """Asks the voters for promises for ranges that the store can't confirm.

    The promises are asked for in the name of the earliest era that promises can
    still extend and that the voters have not cleared; they hold for later eras
    as well.

    Args:
      session: The session.
      is_confirmed: Whether the store has confirmed the session just now, so
        that only ranges of earlier eras need promises.
    """
    unconfirmed = set(session.outdated_eras())
    if not is_confirmed and session.confirmations:
        unconfirmed.add(max(session.confirmations))
    for era in sorted(unconfirmed):
        began_s = session.now()
        confirmed_s = last_until(session.confirmations, era)
        if (
            began_s - confirmed_s < promises.EXTENSION_S
            and session.request_promises(era)
        ):
            session.promised_s = session.promised_s | {era: began_s}
            return


def update_member(session: Session, **fields: object) -> None:
    """Changes fields of the member and wakes the thread to publish them."""
    changed = attrs.evolve(session.member, **fields)
    if changed != session.member:
        session.member = changed
        session.wake.set()


def publish_server(session: Session, instance: str, **fields: object) -> None:
    """Updates what the entry says of the backend server.

    Args:
      session: The session.
      instance: Id of the run of the backend server, or '' if it is unknown.
      **fields: Other fields of the member.
    """
    if instance:
        instance = fleet_view.run_id(instance, session.member.incarnation)
    update_member(session, instance=instance, **fields)


def run(session: Session) -> None:
    """Confirms the session until `stopping` is set; runs in a thread."""
    while not session.stopping.is_set():
        session.wake.clear()
        began_s = session.now()
        pause_s = RENEW_S
        try:
            confirm(session)
            request_extensions(session, is_confirmed=True)
            if session.confirmation_failed:
                session.confirmation_failed = False
                session.log(
                    "session-regained",
                    lease=session.lease.id,
                    era=session.lease.era,
                )
        except leased.StoreRestored as error:
            session.log(
                "session-restored",
                lease=session.lease.id,
                era=session.lease.era,
                age_s=round(session.now() - session.confirmed_s, 3),
                error=error.message,
            )
            forget_lease(session)
            continue
        except leased.LeaseExpired as error:
            session.log(
                "session-ended",
                lease=session.lease.id,
                era=session.lease.era,
                age_s=round(session.now() - session.confirmed_s, 3),
                error=error.message,
            )
            reset_lease(session)
            continue
        except exceptions.WaxwingleverError as error:
            session.must_read_entry = True
            pause_s = RETRY_S
            if not session.confirmation_failed:
                session.confirmation_failed = True
                session.log(
                    "session-unconfirmed",
                    lease=session.lease.id,
                    valid_s=round(valid_until_s(session) - session.now(), 3),
                    error=error.message,
                )
            request_extensions(session, is_confirmed=False)
        session.wake.wait(max(0.0, began_s + pause_s - session.now()))


def confirm(session: Session) -> None:
    """Opens or renews the lease and makes sure that the entry exists.

    A successful renewal does not prove that the entry still exists: the store
    can remove the keys of a lease, so the entry is checked as well.

    Raises:
      LeaseExpired: The entry or the lease no longer exists.
      StoreRestored: The lease was opened before the store was restored.
      StoreUnavailable: The store did not answer.
    """
    began_s = session.now()
    if session.lease.id == leased.NO_LEASE:
        session.lease = session.store.open_lease(LEASE_S)
        session.published = None
        session.min_record_version = publish(session)
    elif session.published != session.member:
        session.store.renew(session.lease)
        publish(session)
    else:
        session.store.renew(session.lease)
        check_entry(session)
    session.confirmed_s = began_s
    session.confirmations = session.confirmations | {session.lease.era: began_s}


def check_entry(session: Session) -> None:
    """Makes sure that the entry still exists.

    The watch shows a removal at once. After a failed call, or when calls go
    through another daemon, the watch may be behind, and the entry is read from
    the store.

    Raises:
      LeaseExpired: The entry no longer exists, or belongs to another lease.
      StoreRestored: The lease was opened before the store was restored.
      StoreUnavailable: The store did not answer.
    """
    key = fleet_view.entry_key(session.member.name)
    direct = session.store.is_direct()
    if direct and not session.must_read_entry:
        item = session.entry()
        if item is None or item.version < session.min_record_version:
            item = session.store.get(key)
    else:
        item = session.store.get(key)
        session.must_read_entry = not direct
    check_era(session)
    if item is None or item.lease != session.lease.id:
        raise leased.LeaseExpired(
            "the entry of this node no longer exists", "a new session is opened"
        )


def publish(session: Session) -> int:
    """Writes the entry and returns its store version.

    The condition is the version that this session wrote last, or that there is
    no entry. The entry is read only if that is wrong, as each call to the store
    is charged for.

    Raises:
      LeaseExpired: The published entry no longer exists, or belongs to another
        lease.
      Conflict: The entry changed between reading and writing.
      StoreRestored: The lease was opened before the store was restored.
      StoreUnavailable: The store did not answer.
    """
    member = session.member
    is_first = session.published is None
    try:
        version = write_entry(
            session,
            member,
            leased.ABSENT if is_first else session.entry_version,
        )
    except leased.VersionConflict as error:
        item = current_entry(session, error)
        if not is_first and (item is None or item.lease != session.lease.id):
            raise leased.LeaseExpired(
                "the entry of this node no longer exists",
                "a new session is opened",
            ) from error
        if is_first and item is not None:
            adopt_previous_entry(session, item)
        version = write_entry(
            session,
            member,
            item.version if item is not None else leased.ABSENT,
        )
    session.published = member
    session.entry_version = version
    key = fleet_view.entry_key(member.name)
    item = leased.Item(
        key, fleet_view.encode_member(member), version, session.lease.id
    )
    with session.written_condition:
        session.written = leased.Listing((item,), version, session.lease.era)
        session.written_condition.notify_all()
    return version


def written_listing(
    session: Session, entry: replicas.Replica
) -> leased.Listing | None:
    """Returns the last entry that the session wrote, for its copy to start at.

    A watch from the version of the entry returns all later changes of it, also
    its removal, so the copy needs no list, and no watch returns for this write.

    Args:
      session: The session.
      entry: The copy of the entry.

    Returns:
      The listing; None if it belongs to an earlier era of the store, or is no
      newer than the copy. The store may then have lost the changes after it.
    """
    written = session.written
    if written is None or written.era != session.store.era():
        return None
    if (
        entry.synced
        and entry.era == written.era
        and entry.version >= written.version
    ):
        return None
    return written


def wait_for_written_listing(
    session: Session, entry: replicas.Replica
) -> leased.Listing | None:
    """Returns `written_listing` once there is an entry of the store's era.

    Nobody needs the copy before that.
    """
    with session.written_condition:
        session.written_condition.wait_for(
            lambda: session.stopping.is_set()
            or (
                session.written is not None
                and session.written.era == session.store.era()
            )
        )
    return written_listing(session, entry)


def adopt_previous_entry(session: Session, item: leased.Item) -> None:
    """Passes on what the entry says that this session is about to replace."""
    try:
        previous = fleet_view.decode_member(item.value)
    except exceptions.InvalidInput as error:
        session.log("previous-entry-unusable", error=error.message)
        return
    session.adopt_previous(previous)


def current_entry(
    session: Session, error: leased.VersionConflict
) -> leased.Item | None:
    """Returns the entry that a failed write met, or None if there is none.

    Raises:
      StoreRestored: The lease was opened before the store was restored.
      StoreUnavailable: The store did not answer.
    """
    key = fleet_view.entry_key(session.member.name)
    for item in error.current_items:
        if item.key == key:
            return item
    item = session.store.get(key)
    check_era(session)
    return item


def write_entry(
    session: Session, member: fleet_view.Member, expected_version: int
) -> int:
    """Writes the entry in place of the expected version.

    The first entry under a lease marks the era of the lease as well.

    Returns:
      The store version of the entry.

    Raises:
      VersionConflict: The entry has another version.
      StoreRestored: The lease was opened before the store was restored.
      StoreUnavailable: The store did not answer.
    """
    key = fleet_view.entry_key(member.name)
    era = session.lease.era
    writes = eras.markers(era) if session.published is None else []
    # The entry comes last, so that it has the version of the transaction.
    writes.append(
        leased.Write(key, fleet_view.encode_member(member), session.lease.id)
    )
    return session.store.commit(
        {key: expected_version, **eras.condition(era)}, writes, [], era
    )


def reset_lease(session: Session) -> None:
    """Resets the session, so that the next confirmation opens a new lease."""
    session.confirmations = {
        era: confirmed_s
        for era, confirmed_s in session.confirmations.items()
        if era != session.lease.era
    }
    forget_lease(session)
    session.confirmed_s = float("-inf")
    session.promised_s = {}


def forget_lease(session: Session) -> None:
    """Makes the next confirmation open a new lease.

    Earlier confirmations stay valid, as they do in an outage of the store.
    """
    session.lease = leased.Lease(leased.NO_LEASE)
    session.published = None


def check_era(session: Session) -> None:
    """Raises StoreRestored if the lease belongs to an earlier era."""
    era = session.store.era()
    if era != session.lease.era:
        raise leased.StoreRestored(
            f"the store is in era {era}, the lease belongs to era"
            f" {session.lease.era}",
            "a new session is opened",
        )


def close(session: Session) -> None:
    """Stops the thread and ends the lease.

    The store removes the entry with the lease, so that the other nodes need
    not wait for the lease to expire. Failures are logged.
    """
    session.stopping.set()
    session.wake.set()
    with session.written_condition:
        session.written_condition.notify_all()
    if session.lease.id != leased.NO_LEASE:
        try:
            session.store.end_lease(session.lease)
        except exceptions.WaxwingleverError as error:
            session.log("session-not-closed", error=error.message)
