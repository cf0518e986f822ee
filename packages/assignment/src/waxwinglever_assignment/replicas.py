"""A copy of one prefix of the store, kept current by a watch.

The copy remembers the latest changes, so that nodes that don't watch the store
themselves can follow it.
"""

import collections
import threading
from collections.abc import Callable

import attrs

from waxwinglever_model import exceptions
from waxwinglever_store import leased

# A silent connection shows only when a watch should have returned, so this
# bounds how long a change can stay unnoticed behind one.
WATCH_S = 2.0
RETRY_S = 0.1
RETRY_MAX_S = 0.4
# Pause after a change before the next watch. Each change of a burst would
# otherwise be a call of its own, and every call is paid for.
PACE_S = 0.1
# Changes that are kept for followers; one that has missed more asks the store.
HISTORY = 512

Watch = Callable[[str, int, float], leased.Changes]


@attrs.define(eq=False)
class Replica:
    """The copy; readers take `items` as it is, its dict is never changed.

    Attributes:
      store: The store.
      prefix: Keys that the copy holds begin with it.
      log: Called with an event name and fields.
      watch: Returns the changes after a version, as the store's own watch does.
      wait_s: How long one watch waits for a change.
      items: Items by key.
      version: Store version up to which the copy is current.
      changed: Rises with each change of `items`.
      synced: Whether the prefix was read at least once.
      lost: Whether the last call failed.
      history: The latest changes in order.
      oldest: All changes after this version are in `history`.
      moved: Notified on each change.
      stopping: Ends the thread.
    """

    store: leased.LeasedStore
    prefix: str
    log: Callable[..., None]
    watch: Watch = attrs.Factory(lambda self: self.store.watch, takes_self=True)
    wait_s: float = WATCH_S
    items: dict[str, leased.Item] = attrs.Factory(dict)
    version: int = 0
    changed: int = 0
    synced: bool = False
    lost: bool = False
    history: collections.deque[leased.Change] = attrs.Factory(collections.deque)
    oldest: int = 0
    moved: threading.Condition = attrs.Factory(threading.Condition)
    stopping: threading.Event = attrs.Factory(threading.Event)


def run(replica: Replica) -> None:
    """Keeps the copy current until `stopping` is set; one thread's task."""
    listed = False
    retry_s = RETRY_S
    while not replica.stopping.is_set():
        try:
            if not listed:
                load(replica)
                listed = True
            elif follow(replica):
                replica.stopping.wait(PACE_S)
            retry_s = RETRY_S
        except leased.HistoryGone:
            replica.log("store-history-gone", prefix=replica.prefix)
            listed = False
        except exceptions.StoreUnavailable as error:
            if not replica.lost:
                replica.lost = True
                replica.log(
                    "store-watch-lost",
                    prefix=replica.prefix,
                    version=replica.version,
                    error=error.message,
                )
            replica.stopping.wait(retry_s)
            retry_s = min(RETRY_MAX_S, retry_s * 2)


def load(replica: Replica) -> None:
    """Reads the whole prefix."""
    listing = replica.store.list_prefix(replica.prefix)
    reached(replica)
    items = {}
    for item in listing.items:
        known = replica.items.get(item.key)
        # A page can be older than a change that a watch has brought.
        if known is not None and known.version > item.version:
            item = known
        items[item.key] = item
    version = max(replica.version, listing.version)
    if replica.synced:
        changes = differences(replica.items, items, version)
    else:
        changes = []
        replica.oldest = version
    take(replica, items, changes, version)


def differences(
    before: dict[str, leased.Item],
    after: dict[str, leased.Item],
    version: int,
) -> list[leased.Change]:
    """Returns the changes between two states, in order.

    Args:
      before: Items by key.
      after: Items by key.
      version: Store version that removals get, as theirs is unknown.
    """
    written = [
        leased.Change(key, item.version, item)
        for key, item in after.items()
        if key not in before or before[key].version != item.version
    ]
    removed = [
        leased.Change(key, version, None) for key in before if key not in after
    ]
    return sorted(written, key=lambda change: change.version) + removed


def follow(replica: Replica) -> bool:
    """Waits for changes and applies them; returns whether there were any."""
    changes = replica.watch(replica.prefix, replica.version, replica.wait_s)
    reached(replica)
    version = max(replica.version, changes.version)
    if not changes.changes:
        replica.version = version
        return False
    items = dict(replica.items)
    for change in changes.changes:
        if change.item is None:
            items.pop(change.key, None)
        else:
            items[change.key] = change.item
    take(replica, items, changes.changes, version)
    return True


def take(
    replica: Replica,
    items: dict[str, leased.Item],
    changes: list[leased.Change] | tuple[leased.Change, ...],
    version: int,
) -> None:
    """Takes a new state over and tells those who wait for it."""
    with replica.moved:
        replica.items = items
        replica.version = version
        replica.history.extend(changes)
        while len(replica.history) > HISTORY:
            replica.oldest = replica.history.popleft().version
        replica.changed += 1
        replica.synced = True
        replica.moved.notify_all()


def changes_after(
    replica: Replica, version: int, wait_s: float
) -> leased.Changes:
    """Waits for changes after a version, for a node that follows this one.

    Raises:
      HistoryGone: Not all of these changes are known here.
    """
    with replica.moved:
        replica.moved.wait_for(
            lambda: replica.history and replica.history[-1].version > version,
            wait_s,
        )
        if not replica.synced or version < replica.oldest:
            raise leased.HistoryGone(
                f"changes after version {version} are gone", "ask the store"
            )
        found = tuple(c for c in replica.history if c.version > version)
        return leased.Changes(found, max(version, replica.version))


def reached(replica: Replica) -> None:
    """Notes that the store answered."""
    if replica.lost:
        replica.lost = False
        replica.log("store-watch-regained", prefix=replica.prefix)


def wait_change(replica: Replica, known: int, timeout_s: float) -> int:
    """Waits until `changed` differs from `known`; returns it."""
    with replica.moved:
        replica.moved.wait_for(lambda: replica.changed != known, timeout_s)
        return replica.changed
