"""A copy of one prefix of the store, kept current by a watch.

The copy keeps the latest changes, so that nodes that don't watch the store
themselves can get them from this node.
"""

import collections
import threading
from collections.abc import Callable

import attrs

from waxwinglever_model import clock
from waxwinglever_model import exceptions
from waxwinglever_store import leased

# A dead connection is noticed only when a watch doesn't return in time, so this
# and the time allowed for its response bound how long it can hide a change. The
# platform allows 2 s until a configuration is active.
WATCH_S = 1.0
RETRY_S = 0.1
RETRY_MAX_S = 0.4
# Pause after a change before the next watch. Without it, each change of a burst
# would need a call of its own, and calls to the store are charged for.
PAUSE_S = 0.1
# Changes that are kept for followers; one that has missed more must read
# the store.
MAX_HISTORY = 512
# The history also ends here: 512 configurations of 310 KB would take 158 MB,
# and the smallest VMs have 200 MB.
MAX_HISTORY_BYTES = 8 * 1024 * 1024

Watch = Callable[[str, int, float, int], leased.Changes]


@attrs.define(eq=False)
class Replica:
    """State of the copy.

    Each change replaces `items` by a new dict, so it can be read without a
    lock.

    Attributes:
      store: Client of the platform's store.
      prefix: Prefix of the keys in the copy.
      log: Called with an event name and fields.
      watch: Returns the changes after a version, as LeasedStoreClient.watch
        does.
      wait_s: How long one watch waits for a change.
      known_listing: Returns a Listing of the prefix that is known without a
        call, or None if the store must be asked; may wait for one.
      now: Returns the time in seconds.
      items: Items by key.
      version: Store version up to which the copy is current.
      era: Era of the store that `version` and the items belong to.
      era_seen_s: When the copy was first read in this era.
      restored: Whether the store was restored since this copy was first read.
      revision: Incremented with each change of `items`.
      synced: Whether the prefix was read at least once.
      disconnected: Whether the last call failed.
      current_until_s: Until when the watch that is in progress shows that the
        copy has all changes; in the past if it follows a node that does not
        watch the store itself.
      watches_store: Whether `current_until_s` comes from a watch of the store
        and not from another node.
      changed_s: When `items` changed last.
      confirmed_s: When the copy was last known to have all changes of the
        store.
      announces: Whether followers get an answer as soon as the copy is
        confirmed anew, and not only after a change.
      history: The latest changes in order.
      history_bytes: Size of their values.
      history_start: All changes after this version are in `history`.
      condition: Notified after each change.
      stopping: Set when the thread must end.
    """

    store: leased.LeasedStoreClient
    prefix: str
    log: Callable[..., None]
    watch: Watch = attrs.Factory(lambda self: self.store.watch, takes_self=True)
    wait_s: float = WATCH_S
    known_listing: Callable[[], leased.Listing | None] = lambda: None
    now: Callable[[], float] = clock.boottime_s
    items: dict[str, leased.Item] = attrs.Factory(dict)
    version: int = 0
    era: int = 0
    era_seen_s: float = float("-inf")
    restored: bool = False
    revision: int = 0
    synced: bool = False
    disconnected: bool = False
    current_until_s: float = float("-inf")
    watches_store: bool = False
    changed_s: float = 0.0
    confirmed_s: float = float("-inf")
    announces: bool = False
    history: collections.deque[leased.Change] = attrs.Factory(collections.deque)
    history_bytes: int = 0
    history_start: int = 0
    condition: threading.Condition = attrs.Factory(threading.Condition)
    stopping: threading.Event = attrs.Factory(threading.Event)


def run(replica: Replica) -> None:
    """Keeps the copy current until `stopping` is set; runs in a thread."""
    listed = False
    # Whether a watch succeeded since the prefix was read. If not, the next read
    # waits, as calls to the store are charged for.
    watched = True
    retry_s = RETRY_S
    while not replica.stopping.is_set():
        try:
            if not listed:
                if not watched:
                    replica.stopping.wait(RETRY_S)
                read_prefix(replica)
                listed = True
                watched = False
            else:
                changed = apply_next_changes(replica)
                watched = True
                if changed:
                    replica.stopping.wait(PAUSE_S)
            retry_s = RETRY_S
        except leased.HistoryCompacted:
            replica.log(
                "store-history-gone",
                prefix=replica.prefix,
                version=replica.version,
                era=replica.era,
            )
            listed = False
        except leased.StoreRestored as error:
            replica.log(
                "store-restored",
                prefix=replica.prefix,
                version=replica.version,
                era=replica.era,
                error=error.message,
            )
            listed = False
        except exceptions.StoreUnavailable as error:
            if not replica.disconnected:
                replica.disconnected = True
                replica.log(
                    "store-watch-lost",
                    prefix=replica.prefix,
                    version=replica.version,
                    error=error.message,
                )
            replica.stopping.wait(retry_s)
            retry_s = min(RETRY_MAX_S, retry_s * 2)


def read_prefix(replica: Replica) -> None:
    """Reads the whole prefix; raises StoreUnavailable."""
    asked_s = replica.now()
    listing = replica.known_listing()
    if listing is None:
        listing = replica.store.list_prefix(replica.prefix)
    mark_connected(replica)
    if replica.synced and listing.era != replica.era:
        replace_items(replica, listing)
        confirm(replica, asked_s)
        return
    items = {}
    for item in listing.items:
        known = replica.items.get(item.key)
        # A page can be older than a change that a watch has returned.
        if known is not None and known.version > item.version:
            item = known
        items[item.key] = item
    version = max(replica.version, listing.version)
    if replica.synced:
        changes = differences(replica.items, items, version)
    else:
        changes = []
        replica.era = listing.era
        replica.era_seen_s = replica.now()
        replica.history_start = version
    set_items(replica, items, changes, version)
    confirm(replica, asked_s)


def replace_items(replica: Replica, listing: leased.Listing) -> None:
    """Replaces the copy by the content of a restored store.

    Nothing of the earlier era can be compared with the listing, so followers
    get no history across the restore.
    """
    with replica.condition:
        replica.era = listing.era
        replica.era_seen_s = replica.now()
        replica.restored = True
        replica.history.clear()
        replica.history_bytes = 0
        replica.history_start = listing.version
        set_items(
            replica,
            {item.key: item for item in listing.items},
            (),
            listing.version,
        )


def differences(
    before: dict[str, leased.Item],
    after: dict[str, leased.Item],
    version: int,
) -> list[leased.Change]:
    """Returns the changes between two states, ordered by version.

    Args:
      before: Items by key.
      after: Items by key.
      version: Store version for removals, whose own version is unknown.
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


def apply_next_changes(replica: Replica) -> bool:
    """Waits for changes and applies them; returns whether there were any.

    Raises:
      HistoryCompacted: The store no longer has all changes since `version`.
      StoreRestored: The store is in a later era than the copy.
      StoreUnavailable: The store did not answer.
    """
    # After a failure the first watch returns at once: until one has succeeded,
    # the followers of this node are refused and turn to the store.
    wait_s = 0.0 if replica.disconnected else replica.wait_s
    changes = replica.watch(
        replica.prefix, replica.version, wait_s, replica.era
    )
    mark_connected(replica)
    version = max(replica.version, changes.version)
    if not changes.changes:
        replica.version = version
    else:
        items = dict(replica.items)
        for change in changes.changes:
            if change.item is None:
                items.pop(change.key, None)
            else:
                items[change.key] = change.item
        set_items(replica, items, changes.changes, version)
    if changes.confirmed_s is not None:
        confirm(replica, changes.confirmed_s)
    return bool(changes.changes)


def confirm(replica: Replica, confirmed_s: float) -> None:
    """Records that the copy had all changes of the store at a time."""
    confirmed_s = min(confirmed_s, replica.now())
    with replica.condition:
        if confirmed_s > replica.confirmed_s:
            replica.confirmed_s = confirmed_s
            if replica.announces:
                replica.condition.notify_all()


def set_items(
    replica: Replica,
    items: dict[str, leased.Item],
    changes: list[leased.Change] | tuple[leased.Change, ...],
    version: int,
) -> None:
    """Replaces the items, extends the history and wakes waiting threads."""
    with replica.condition:
        replica.items = items
        replica.version = version
        replica.history.extend(changes)
        replica.history_bytes += sum(map(value_bytes, changes))
        while (
            len(replica.history) > MAX_HISTORY
            or replica.history_bytes > MAX_HISTORY_BYTES
        ):
            oldest = replica.history.popleft()
            replica.history_start = oldest.version
            replica.history_bytes -= value_bytes(oldest)
        replica.revision += 1
        replica.changed_s = replica.now()
        replica.synced = True
        replica.condition.notify_all()


def value_bytes(change: leased.Change) -> int:
    """Returns the size of the value that a change has written."""
    return 0 if change.item is None else len(change.item.value)


def changes_after(
    replica: Replica, version: int, era: int, wait_s: float
) -> leased.Changes:
    """Waits for changes after a version, for a node that follows this one.

    Args:
      replica: The copy.
      version: Store version that the follower has.
      era: Era of the store that this version belongs to.
      wait_s: How long to wait for a change, or for a confirmation if the copy
        announces them.

    Returns:
      The changes, none if there were none in time, and when the copy was last
      confirmed.

    Raises:
      HistoryCompacted: Some of these changes are no longer in the history, or
        this copy is in another era.
    """
    with replica.condition:
        known_s = replica.confirmed_s
        replica.condition.wait_for(
            lambda: replica.era != era
            or (replica.history and replica.history[-1].version > version)
            or (replica.announces and replica.confirmed_s > known_s),
            wait_s,
        )
        if (
            not replica.synced
            or replica.era != era
            or version < replica.history_start
        ):
            raise leased.HistoryCompacted(
                f"changes after version {version} are not all kept",
                "ask the store",
            )
        found = tuple(c for c in replica.history if c.version > version)
        return leased.Changes(
            found,
            max(version, replica.version),
            confirmed_s=replica.confirmed_s,
        )


def snapshot(
    replica: Replica,
) -> tuple[dict[str, leased.Item], int, int]:
    """Returns the items, their era and the revision of the copy."""
    with replica.condition:
        return replica.items, replica.era, replica.revision


def current_item(replica: Replica, key: str) -> leased.Item | None:
    """Returns an item, or None if it was read before a restore of the store."""
    items, era, _ = snapshot(replica)
    return items.get(key) if era == replica.store.era() else None


def watched_item(replica: Replica, key: str) -> leased.Item | None:
    """Returns an item, or None if the copy may be behind the store.

    That is so after a restore of the store and while the watch fails.
    """
    return None if replica.disconnected else current_item(replica, key)


def mark_connected(replica: Replica) -> None:
    """Clears `disconnected` after a successful call and logs the change."""
    if replica.disconnected:
        replica.disconnected = False
        replica.log("store-watch-regained", prefix=replica.prefix)


def wait_for_change(replica: Replica, known: int, timeout_s: float) -> int:
    """Waits until `revision` differs from `known` or the timeout expires.

    Returns:
      The current value of `revision`.
    """
    with replica.condition:
        replica.condition.wait_for(lambda: replica.revision != known, timeout_s)
        return replica.revision
