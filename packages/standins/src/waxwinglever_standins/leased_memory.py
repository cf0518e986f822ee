"""A LeasedStore in memory, with the faults of the platform's store."""

import threading
from collections.abc import Callable, Iterable, Mapping

import attrs

from waxwinglever_model import clock
from waxwinglever_model import exceptions
from waxwinglever_store import leased


@attrs.define(eq=False)
class Memory:
    """The state of the store and its faults.

    Attributes:
      now: The clock that leases run on.
      items: Items by key.
      events: All changes in order.
      version: Version of the newest change.
      leases: End of each lease, by id; and how long it lasts.
      oldest: Changes up to this version are forgotten.
      down: Whether every call fails.
      lose_answers: Whether commits take effect and then fail.
      calls: Names of the calls in order.
    """

    now: Callable[[], float] = clock.boottime_s
    items: dict[str, leased.Item] = attrs.field(factory=dict)
    events: list[leased.Change] = attrs.Factory(list)
    version: int = 1
    leases: dict[int, tuple[float, float]] = attrs.Factory(dict)
    next_lease: int = 100
    oldest: int = 0
    down: bool = False
    lose_answers: bool = False
    calls: list[str] = attrs.Factory(list)
    changed: threading.Condition = attrs.Factory(threading.Condition)


def connect(memory: Memory) -> leased.LeasedStore:
    """Returns the calls of the store."""

    def begin(name: str) -> None:
        memory.calls.append(name)
        expire(memory)
        if memory.down:
            raise unavailable()

    def get(key: str) -> leased.Item | None:
        with memory.changed:
            begin("get")
            return memory.items.get(key)

    def list_prefix(prefix: str) -> leased.Listing:
        with memory.changed:
            begin("list")
            found = tuple(
                item
                for key, item in sorted(memory.items.items())
                if key.startswith(prefix)
            )
            return leased.Listing(found, memory.version)

    def watch(prefix: str, after: int, wait_s: float) -> leased.Changes:
        with memory.changed:
            begin("watch")
            if after < memory.oldest:
                raise leased.HistoryGone(f"{after} is gone", "list again")

            def found() -> tuple[leased.Change, ...]:
                return tuple(
                    event
                    for event in memory.events
                    if event.version > after and event.key.startswith(prefix)
                )

            memory.changed.wait_for(lambda: found() or memory.down, wait_s)
            if memory.down:
                raise unavailable()
            return leased.Changes(found(), max(after, memory.version))

    def commit(
        expected: Mapping[str, int],
        writes: Iterable[leased.Write],
        removals: Iterable[str],
    ) -> int:
        with memory.changed:
            begin("commit")
            for key, version in expected.items():
                item = memory.items.get(key)
                if (item.version if item else leased.ABSENT) != version:
                    raise leased.Changed(
                        f"{key} has another version",
                        "read it again",
                        tuple(
                            memory.items[known]
                            for known in expected
                            if known in memory.items
                        ),
                    )
            writes = tuple(writes)
            for write in writes:
                if write.lease and write.lease not in memory.leases:
                    raise ended()
            for write in writes:
                put(memory, write)
            for key in removals:
                remove(memory, key)
            if memory.lose_answers:
                raise unavailable()
            return memory.version

    def open_lease(ttl_s: float) -> int:
        with memory.changed:
            begin("open_lease")
            memory.next_lease += 1
            memory.leases[memory.next_lease] = (memory.now() + ttl_s, ttl_s)
            return memory.next_lease

    def renew(lease: int) -> None:
        with memory.changed:
            begin("renew")
            if lease not in memory.leases:
                raise ended()
            ttl_s = memory.leases[lease][1]
            memory.leases[lease] = (memory.now() + ttl_s, ttl_s)

    def end_lease(lease: int) -> None:
        with memory.changed:
            begin("end_lease")
            drop_lease(memory, lease)

    return leased.LeasedStore(
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


def drop_lease(memory: Memory, lease: int) -> None:
    """Ends a lease and removes its keys; the caller holds the lock."""
    memory.leases.pop(lease, None)
    for key, item in list(memory.items.items()):
        if item.lease == lease:
            remove(memory, key)


def expire(memory: Memory) -> None:
    """Ends the leases whose time has passed; the caller holds the lock."""
    for lease, (end_s, _) in list(memory.leases.items()):
        if memory.now() >= end_s:
            drop_lease(memory, lease)


def revoke(memory: Memory, key: str) -> None:
    """Takes a key away although its lease goes on, as the platform may."""
    with memory.changed:
        remove(memory, key)


def forget_history(memory: Memory) -> None:
    """Drops the history, so that watches must list again."""
    with memory.changed:
        memory.oldest = memory.version
        memory.events.clear()


def unavailable() -> exceptions.StoreUnavailable:
    """Returns the error for a call without an answer."""
    return exceptions.StoreUnavailable("the store is down", "try again")


def ended() -> leased.LeaseEnded:
    """Returns the error for an unknown lease."""
    return leased.LeaseEnded("the lease has ended", "open a new one")
