"""An in-memory LeasedStoreClient with injectable faults of its store."""

import threading
from collections.abc import Callable, Iterable, Mapping

import attrs

from waxwinglever_model import clock
from waxwinglever_model import exceptions
from waxwinglever_store import leased


@attrs.define(eq=False)
class Memory:
    """State of the store and its faults; `changed` guards all of it.

    Attributes:
      now: Clock of the leases, in seconds.
      items: Items by key.
      events: The changes since `compacted_version`, in order.
      version: Version of the newest change.
      leases: End time and time to live of each lease, in seconds, by lease id.
      next_lease: Id of the newest lease.
      compacted_version: Changes up to this version are no longer in `events`.
      down: Whether every call fails with StoreUnavailable.
      lose_answers: Whether commits take effect but fail with StoreUnavailable.
      calls: Names of the calls received, in order.
      changed: Lock of the state; notified of each change.
    """

    now: Callable[[], float] = clock.boottime_s
    items: dict[str, leased.Item] = attrs.field(factory=dict)
    events: list[leased.Change] = attrs.Factory(list)
    version: int = 1
    leases: dict[int, tuple[float, float]] = attrs.Factory(dict)
    next_lease: int = 100
    compacted_version: int = 0
    down: bool = False
    lose_answers: bool = False
    calls: list[str] = attrs.Factory(list)
    changed: threading.Condition = attrs.Factory(threading.Condition)


def connect(memory: Memory) -> leased.LeasedStoreClient:
    """Returns a LeasedStoreClient whose calls operate on `memory`."""

    def start_call(name: str) -> None:
        memory.calls.append(name)
        expire(memory)
        if memory.down:
            raise unavailable_error()

    def get(key: str) -> leased.Item | None:
        with memory.changed:
            start_call("get")
            return memory.items.get(key)

    def list_prefix(prefix: str) -> leased.Listing:
        with memory.changed:
            start_call("list")
            items = tuple(
                item
                for key, item in sorted(memory.items.items())
                if key.startswith(prefix)
            )
            return leased.Listing(items, memory.version)

    def watch(prefix: str, after: int, wait_s: float) -> leased.Changes:
        with memory.changed:
            start_call("watch")
            if after < memory.compacted_version:
                raise leased.HistoryCompacted(
                    f"changes after version {after} are gone", "list again"
                )

            def matching_changes() -> tuple[leased.Change, ...]:
                return tuple(
                    change
                    for change in memory.events
                    if change.version > after and change.key.startswith(prefix)
                )

            memory.changed.wait_for(
                lambda: matching_changes() or memory.down, wait_s
            )
            if memory.down:
                raise unavailable_error()
            return leased.Changes(
                matching_changes(), max(after, memory.version)
            )

    def commit(
        expected: Mapping[str, int],
        writes: Iterable[leased.Write],
        removals: Iterable[str],
    ) -> int:
        with memory.changed:
            start_call("commit")
            for key, version in expected.items():
                item = memory.items.get(key)
                if (item.version if item else leased.ABSENT) != version:
                    raise leased.VersionConflict(
                        f"{key} has another version",
                        "read it again",
                        tuple(
                            memory.items[expected_key]
                            for expected_key in expected
                            if expected_key in memory.items
                        ),
                    )
            writes = tuple(writes)
            for write in writes:
                if write.lease and write.lease not in memory.leases:
                    raise lease_ended_error()
            for write in writes:
                put(memory, write)
            for key in removals:
                remove(memory, key)
            if memory.lose_answers:
                raise unavailable_error()
            return memory.version

    def open_lease(ttl_s: float) -> int:
        with memory.changed:
            start_call("open_lease")
            memory.next_lease += 1
            memory.leases[memory.next_lease] = (memory.now() + ttl_s, ttl_s)
            return memory.next_lease

    def renew(lease: int) -> None:
        with memory.changed:
            start_call("renew")
            if lease not in memory.leases:
                raise lease_ended_error()
            ttl_s = memory.leases[lease][1]
            memory.leases[lease] = (memory.now() + ttl_s, ttl_s)

    def end_lease(lease: int) -> None:
        with memory.changed:
            start_call("end_lease")
            remove_lease(memory, lease)

    return leased.LeasedStoreClient(
        get, list_prefix, watch, commit, open_lease, renew, end_lease
    )


def put(memory: Memory, write: leased.Write) -> None:
    """Writes one key; the caller holds the lock."""
    memory.version += 1
    item = leased.Item(write.key, write.value, memory.version, write.lease)
    memory.items[write.key] = item
    memory.events.append(leased.Change(write.key, memory.version, item))
    memory.changed.notify_all()


def remove(memory: Memory, key: str) -> None:
    """Removes one key; the caller holds the lock."""
    if memory.items.pop(key, None) is not None:
        memory.version += 1
        memory.events.append(leased.Change(key, memory.version, None))
        memory.changed.notify_all()


def remove_lease(memory: Memory, lease: int) -> None:
    """Removes a lease and its keys; the caller holds the lock."""
    memory.leases.pop(lease, None)
    for key, item in list(memory.items.items()):
        if item.lease == lease:
            remove(memory, key)


def expire(memory: Memory) -> None:
    """Removes expired leases and their keys; the caller holds the lock."""
    for lease, (end_s, _) in list(memory.leases.items()):
        if memory.now() >= end_s:
            remove_lease(memory, lease)


def revoke(memory: Memory, key: str) -> None:
    """Removes a key while its lease goes on, as the platform's store may."""
    with memory.changed:
        remove(memory, key)


def forget_history(memory: Memory) -> None:
    """Drops all past changes, so that watches from an older version fail."""
    with memory.changed:
        memory.compacted_version = memory.version
        memory.events.clear()


def unavailable_error() -> exceptions.StoreUnavailable:
    """Returns the error for a call that gets no response."""
    return exceptions.StoreUnavailable("the store is down", "try again")


def lease_ended_error() -> leased.LeaseExpired:
    """Returns the error for an unknown or expired lease."""
    return leased.LeaseExpired("the lease has ended", "open a new one")
