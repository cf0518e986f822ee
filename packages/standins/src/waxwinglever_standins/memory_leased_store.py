"""An in-memory LeasedStoreClient with injectable faults."""

import threading
from collections.abc import Callable, Iterable, Mapping

import attrs

from waxwinglever_model import clock
from waxwinglever_model import exceptions
from waxwinglever_store import leased

# The platform's store refuses a transaction with more conditions, writes and
# removals together.
MAX_ENTRIES = 32


@attrs.define(eq=False)
class MemoryLeasedStore:
    """State of the store and its faults; `changed` guards all of it.

    Attributes:
      now: Clock of the leases, in seconds.
      items: Items by key.
      events: The changes since `compacted_version`, in order.
      version: Version of the newest change.
      leases: End time and time to live of each lease, in seconds, by lease id.
      newest_lease: Id of the newest lease.
      compacted_version: Changes up to this version are no longer in `events`.
      down: Whether every call fails with StoreUnavailable.
      lose_commit_answers: Whether commits take effect but fail with
        StoreUnavailable.
      calls: Names of the calls received, in order.
      era: Number of the current era; a restore increases it.
      changed: Lock of the state; notified of each change.
    """

    now: Callable[[], float] = clock.boottime_s
    items: dict[str, leased.Item] = attrs.field(factory=dict)
    events: list[leased.Change] = attrs.Factory(list)
    version: int = 1
    leases: dict[int, tuple[float, float]] = attrs.field(factory=dict)
    newest_lease: int = 100
    compacted_version: int = 0
    down: bool = False
    lose_commit_answers: bool = False
    calls: list[str] = attrs.Factory(list)
    era: int = 1
    changed: threading.Condition = attrs.Factory(threading.Condition)


@attrs.frozen
class Copy:
    """A copy of the store's content, from which it can be restored."""

    items: Mapping[str, leased.Item]
    version: int
    leases: Mapping[int, tuple[float, float]]
    newest_lease: int


def connect(store: MemoryLeasedStore) -> leased.LeasedStoreClient:
    """Returns a LeasedStoreClient whose calls operate on `store`."""
    known_era = store.era

    def start_call(name: str) -> None:
        nonlocal known_era
        store.calls.append(name)
        expire_leases(store)
        if store.down:
            raise unavailable_error()
        known_era = store.era

    def check_era(era: int) -> None:
        if era != known_era:
            raise restored_error(era, known_era)

    def get(key: str) -> leased.Item | None:
        with store.changed:
            start_call("get")
            return store.items.get(key)

    def list_prefix(prefix: str) -> leased.Listing:
        with store.changed:
            start_call("list")
            items = tuple(
                item
                for key, item in sorted(store.items.items())
                if key.startswith(prefix)
            )
            return leased.Listing(items, store.version, store.era)

    def watch(
        prefix: str, after: int, wait_s: float, era: int
    ) -> leased.Changes:
        nonlocal known_era
        with store.changed:
            check_era(era)
            start_call("watch")
            check_era(era)
            if not store.compacted_version <= after <= store.version:
                raise leased.HistoryCompacted(
                    f"changes after version {after} are gone", "list again"
                )

            def matching_changes() -> tuple[leased.Change, ...]:
                return tuple(
                    change
                    for change in store.events
                    if change.version > after and change.key.startswith(prefix)
                )

            store.changed.wait_for(
                lambda: matching_changes() or store.down or store.era != era,
                wait_s,
            )
            if store.down:
                raise unavailable_error()
            known_era = store.era
            check_era(era)
            return leased.Changes(matching_changes(), max(after, store.version))

    def watch_small(
        prefix: str, after: int, wait_s: float, era: int
    ) -> leased.Changes:
        found = watch(prefix, after, wait_s, era)
        size = sum(len(c.item.value) for c in found.changes if c.item)
        if size > leased.SMALL_ANSWER_BYTES:
            raise leased.AnswerTooLarge(
                f"the changes have {size} bytes", "ask another node for them"
            )
        return found

    def commit(
        expected: Mapping[str, int],
        writes: Iterable[leased.Write],
        removals: Iterable[str],
        era: int,
    ) -> int:
        with store.changed:
            # A client notices a restore only by an answer, so the transaction
            # is run before the eras are compared again.
            check_era(era)
            start_call("commit")
            version = run_transaction(store, expected, writes, removals, era)
            if store.lose_commit_answers:
                raise unavailable_error()
            check_era(era)
            return version

    def open_lease(ttl_s: float) -> leased.Lease:
        with store.changed:
            start_call("open_lease")
            store.newest_lease += 1
            store.leases[store.newest_lease] = (store.now() + ttl_s, ttl_s)
            return leased.Lease(store.newest_lease, store.era)

    def renew(lease: leased.Lease) -> None:
        with store.changed:
            check_era(lease.era)
            start_call("renew")
            if lease.id in store.leases:
                ttl_s = store.leases[lease.id][1]
                store.leases[lease.id] = (store.now() + ttl_s, ttl_s)
            check_era(lease.era)
            if lease.id not in store.leases:
                raise lease_expired_error()

    def end_lease(lease: leased.Lease) -> None:
        with store.changed:
            check_era(lease.era)
            start_call("end_lease")
            remove_lease(store, lease.id)
            check_era(lease.era)

    return leased.LeasedStoreClient(
        get,
        list_prefix,
        watch,
        watch_small,
        commit,
        open_lease,
        renew,
        end_lease,
        era=lambda: known_era,
    )


def run_transaction(
    store: MemoryLeasedStore,
    expected: Mapping[str, int],
    writes: Iterable[leased.Write],
    removals: Iterable[str],
    era: int,
) -> int:
    """Runs a transaction and returns the new version; the caller has the lock.

    The store itself doesn't compare eras.

    Raises:
      StoreUnavailable: There are more than MAX_ENTRIES conditions and writes.
      StoreRestored: The condition failed in another era than the caller's.
      VersionConflict: A key has another version than expected.
      LeaseExpired: A lease of a write has ended.
    """
    writes = tuple(writes)
    removals = tuple(removals)
    if len(expected) + len(writes) + len(removals) > MAX_ENTRIES:
        raise exceptions.StoreUnavailable(
            f"a transaction may have {MAX_ENTRIES} entries", "split it"
        )
    for key, version in expected.items():
        item = store.items.get(key)
        if (item.version if item else leased.ABSENT) != version:
            if era != store.era:
                raise restored_error(era, store.era)
            raise leased.VersionConflict(
                f"{key} has another version",
                "read it again",
                tuple(
                    store.items[expected_key]
                    for expected_key in expected
                    if expected_key in store.items
                ),
            )
    for write in writes:
        if write.lease and write.lease not in store.leases:
            if era != store.era:
                raise restored_error(era, store.era)
            raise lease_expired_error()
    for write in writes:
        put(store, write)
    for key in removals:
        remove(store, key)
    return store.version


def copy_store(store: MemoryLeasedStore) -> Copy:
    """Returns a copy of the current content."""
    with store.changed:
        expire_leases(store)
        return Copy(
            dict(store.items),
            store.version,
            dict(store.leases),
            store.newest_lease,
        )


def restore_store(
    store: MemoryLeasedStore, copy: Copy, kept_prefixes: Iterable[str] = ()
) -> None:
    """Replaces the content by a copy and starts a new era.

    Versions and lease ids go on from those of the copy, the history is gone,
    and the leases of the copy run for their whole duration again.

    Args:
      store: The store.
      copy: The content to go back to.
      kept_prefixes: Keys with these prefixes are written again as they were
        before the restore, as their writers do.
    """
    prefixes = tuple(kept_prefixes)
    with store.changed:
        kept = [
            item
            for key, item in store.items.items()
            if key.startswith(prefixes)
        ]
        store.items = {
            key: item
            for key, item in copy.items.items()
            if not key.startswith(prefixes)
        }
        store.events.clear()
        store.version = store.compacted_version = copy.version
        store.leases = {
            lease: (store.now() + ttl_s, ttl_s)
            for lease, (_, ttl_s) in copy.leases.items()
        }
        store.newest_lease = copy.newest_lease
        store.era += 1
        for item in kept:
            put(store, leased.Write(item.key, item.value))
        store.changed.notify_all()


def put(store: MemoryLeasedStore, write: leased.Write) -> None:
    """Writes one key; the caller holds the lock."""
    store.version += 1
    item = leased.Item(write.key, write.value, store.version, write.lease)
    store.items[write.key] = item
    store.events.append(leased.Change(write.key, store.version, item))
    store.changed.notify_all()


def remove(store: MemoryLeasedStore, key: str) -> None:
    """Removes one key; the caller holds the lock."""
    if store.items.pop(key, None) is not None:
        store.version += 1
        store.events.append(leased.Change(key, store.version, None))
        store.changed.notify_all()


def remove_lease(store: MemoryLeasedStore, lease: int) -> None:
    """Removes a lease and its keys; the caller holds the lock."""
    store.leases.pop(lease, None)
    for key, item in list(store.items.items()):
        if item.lease == lease:
            remove(store, key)


def expire_leases(store: MemoryLeasedStore) -> None:
    """Removes expired leases and their keys; the caller holds the lock."""
    for lease, (end_s, _) in list(store.leases.items()):
        if store.now() >= end_s:
            remove_lease(store, lease)


def delete_key(store: MemoryLeasedStore, key: str) -> None:
    """Removes a key but not its lease, as the platform's store may."""
    with store.changed:
        remove(store, key)


def compact_history(store: MemoryLeasedStore) -> None:
    """Drops all past changes, so that watches from an older version fail."""
    with store.changed:
        store.compacted_version = store.version
        store.events.clear()


def unavailable_error() -> exceptions.StoreUnavailable:
    """Returns the error for a call that gets no response."""
    return exceptions.StoreUnavailable("the store is down", "try again")


def lease_expired_error() -> leased.LeaseExpired:
    """Returns the error for an unknown or expired lease."""
    return leased.LeaseExpired("the lease has ended", "open a new one")


def restored_error(era: int, store_era: int) -> leased.StoreRestored:
    """Returns the error for a call that belongs to an earlier era."""
    return leased.StoreRestored(
        f"the store is in era {store_era}, the call belongs to era {era}",
        "read the store again",
    )
