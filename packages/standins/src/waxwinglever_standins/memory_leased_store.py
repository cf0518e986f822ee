"""An in-memory LeasedStoreClient with injectable faults."""

import threading
from collections.abc import Callable, Iterable, Mapping

import attrs

from waxwinglever_model import clock
from waxwinglever_model import exceptions
from waxwinglever_store import leased


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
      changed: Lock of the state; notified of each change.
    """

    now: Callable[[], float] = clock.boottime_s
    items: dict[str, leased.Item] = attrs.field(factory=dict)
    events: list[leased.Change] = attrs.Factory(list)
    version: int = 1
    leases: dict[int, tuple[float, float]] = attrs.Factory(dict)
    newest_lease: int = 100
    compacted_version: int = 0
    down: bool = False
    lose_commit_answers: bool = False
    calls: list[str] = attrs.Factory(list)
    changed: threading.Condition = attrs.Factory(threading.Condition)


def connect(store: MemoryLeasedStore) -> leased.LeasedStoreClient:
    """Returns a LeasedStoreClient whose calls operate on `store`."""

    def start_call(name: str) -> None:
        store.calls.append(name)
        expire_leases(store)
        if store.down:
            raise unavailable_error()

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
            return leased.Listing(items, store.version)

    def watch(prefix: str, after: int, wait_s: float) -> leased.Changes:
        with store.changed:
            start_call("watch")
            if after < store.compacted_version:
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
                lambda: matching_changes() or store.down, wait_s
            )
            if store.down:
                raise unavailable_error()
            return leased.Changes(matching_changes(), max(after, store.version))

    def commit(
        expected: Mapping[str, int],
        writes: Iterable[leased.Write],
        removals: Iterable[str],
    ) -> int:
        with store.changed:
            start_call("commit")
            for key, version in expected.items():
                item = store.items.get(key)
                if (item.version if item else leased.ABSENT) != version:
                    raise leased.VersionConflict(
                        f"{key} has another version",
                        "read it again",
                        tuple(
                            store.items[expected_key]
                            for expected_key in expected
                            if expected_key in store.items
                        ),
                    )
            writes = tuple(writes)
            for write in writes:
                if write.lease and write.lease not in store.leases:
                    raise lease_expired_error()
            for write in writes:
                put(store, write)
            for key in removals:
                remove(store, key)
            if store.lose_commit_answers:
                raise unavailable_error()
            return store.version

    def open_lease(ttl_s: float) -> int:
        with store.changed:
            start_call("open_lease")
            store.newest_lease += 1
            store.leases[store.newest_lease] = (store.now() + ttl_s, ttl_s)
            return store.newest_lease

    def renew(lease: int) -> None:
        with store.changed:
            start_call("renew")
            if lease not in store.leases:
                raise lease_expired_error()
            ttl_s = store.leases[lease][1]
            store.leases[lease] = (store.now() + ttl_s, ttl_s)

    def end_lease(lease: int) -> None:
        with store.changed:
            start_call("end_lease")
            remove_lease(store, lease)

    return leased.LeasedStoreClient(
        get, list_prefix, watch, commit, open_lease, renew, end_lease
    )


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
