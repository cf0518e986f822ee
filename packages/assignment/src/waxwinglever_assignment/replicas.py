"""A copy of one prefix of the store, kept current by a watch."""

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


@attrs.define(eq=False)
class Replica:
    """The copy; readers take `items` as it is, its dict is never changed.

    Attributes:
      store: The store.
      prefix: Keys that the copy holds begin with it.
      log: Called with an event name and fields.
      items: Items by key.
      version: Store version up to which the copy is current.
      changed: Rises with each change of `items`.
      synced: Whether the prefix was read at least once.
      lost: Whether the last call failed.
      moved: Notified on each change.
      stopping: Ends the thread.
    """

    store: leased.LeasedStore
    prefix: str
    log: Callable[..., None]
    items: dict[str, leased.Item] = attrs.Factory(dict)
    version: int = 0
    changed: int = 0
    synced: bool = False
    lost: bool = False
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
            else:
                follow(replica)
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
    with replica.moved:
        replica.items = items
        replica.version = max(replica.version, listing.version)
        replica.changed += 1
        replica.synced = True
        replica.moved.notify_all()


def follow(replica: Replica) -> None:
    """Waits for changes and applies them."""
    changes = replica.store.watch(replica.prefix, replica.version, WATCH_S)
    reached(replica)
    if not changes.changes:
        replica.version = max(replica.version, changes.version)
        return
    items = dict(replica.items)
    for change in changes.changes:
        if change.item is None:
            items.pop(change.key, None)
        else:
            items[change.key] = change.item
    with replica.moved:
        replica.items = items
        replica.version = max(replica.version, changes.version)
        replica.changed += 1
        replica.moved.notify_all()


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
