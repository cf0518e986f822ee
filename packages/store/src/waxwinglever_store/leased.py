"""Interface of a store with leases, transactions and watches on prefixes.

The store can be restored from a copy. It then starts a new era: its versions
and lease ids go back to those of the copy and are given out again, so neither
may be compared with one of another era.
"""

from collections.abc import Callable, Iterable, Mapping

import attrs

from waxwinglever_model import exceptions

NO_LEASE = 0
# Expected version of a key that must not exist.
ABSENT = 0
# A tenth of a second on a link of 5 Mbit/s.
SMALL_ANSWER_BYTES = 65_536


class LeaseExpired(exceptions.WaxwingleverError):
    """The store no longer has the lease, so its keys have been removed."""

    kind = "lease-ended"


class AnswerTooLarge(exceptions.WaxwingleverError):
    """The answer has more than SMALL_ANSWER_BYTES and was not read."""

    kind = "answer-too-large"


class HistoryCompacted(exceptions.WaxwingleverError):
    """The store no longer has all changes after the given version."""

    kind = "history-gone"


class StoreRestored(exceptions.WaxwingleverError):
    """The store was restored, so a version or lease of the caller is void.

    A transaction that raises it may have taken effect.
    """

    kind = "store-restored"


class VersionConflict(exceptions.Conflict):
    """A transaction found a version other than the expected one.

    Attributes:
      current_items: Current items of the condition's keys, as far as they exist
        and the store returned them.
    """

    def __init__(
        self, message: str, remedy: str, current_items: tuple["Item", ...]
    ):
        super().__init__(message, remedy)
        self.current_items = current_items


@attrs.frozen
class Item:
    """A key of the store with its value.

    Attributes:
      key: Name of the key.
      value: Value of the key.
      version: Store version of the key's last change.
      lease: Id of the lease that the key is bound to, or NO_LEASE.
    """

    key: str
    value: bytes
    version: int
    lease: int = NO_LEASE


@attrs.frozen
class Listing:
    """All items whose keys start with a prefix.

    Attributes:
      items: The items. They are read page by page and may belong to different
        versions of the store, but to the same era.
      version: Version of the store before the first page was read; a watch
        from this version misses no change.
      era: Era of the store.
    """

    items: tuple[Item, ...]
    version: int
    era: int = 0


@attrs.frozen
class Change:
    """A change of one key; `item` is None if the key was removed."""

    key: str
    version: int
    item: Item | None


@attrs.frozen
class Changes:
    """Changes in order, and the version to watch from next.

    Attributes:
      changes: The changes.
      version: Version to watch from next.
      current_s: If another node that watches the store sent the changes: for
        how long after the arrival of the request its copy is known to be
        current. Otherwise 0.
      confirmed_s: When whoever sent them was last known to have all changes of
        the store, on the clock of this node; None if it is unknown.
    """

    changes: tuple[Change, ...]
    version: int
    current_s: float = 0.0
    confirmed_s: float | None = None


@attrs.frozen
class Lease:
    """A lease; `era` is the era of the store in which it was opened."""

    id: int
    era: int = 0


@attrs.frozen
class Write:
    """A key that a transaction writes; `lease` is the lease to bind it to."""

    key: str
    value: bytes
    lease: int = NO_LEASE


@attrs.frozen
class LeasedStoreClient:
    """Functions of the client of a store with leases.

    All but `is_direct` and `era` raise StoreUnavailable if a call fails. A
    change may then have taken effect, or may take effect seconds later if its
    condition still holds. An answer from an era before the newest known one
    counts as a failure.

    The functions that take an era or a Lease raise StoreRestored if the store
    is in a later era. They send nothing if the client knows that before.

    Attributes:
      get: Returns the item of a key, or None.
      list_prefix: Returns the Listing of a prefix.
      watch: Returns the Changes after a version as soon as there are any, or
        empty Changes after a timeout. The arguments are the prefix of the
        keys, the version, the timeout in seconds and the era of the version.
        Raises HistoryCompacted if the version is too old.
      watch_small: Does the same as `watch`, but raises AnswerTooLarge if the
        answer is large.
      commit: Runs a transaction and returns the new version. The arguments are
        the expected versions of keys (ABSENT for a key that must not exist),
        the writes, the keys to remove and the era of the versions and leases.
        Raises VersionConflict if a version differs, and LeaseExpired if a lease
        has ended; nothing is changed then.
      open_lease: Returns a new Lease of a duration in seconds.
      renew: Renews a Lease. Raises LeaseExpired if it has ended.
      end_lease: Ends a Lease and removes its keys.
      is_direct: Returns whether the last call reached the store directly, not
        through another daemon.
      era: Returns the newest era that an answer of the store has named.
    """

    get: Callable[[str], Item | None]
    list_prefix: Callable[[str], Listing]
    watch: Callable[[str, int, float, int], Changes]
    watch_small: Callable[[str, int, float, int], Changes]
    commit: Callable[
        [Mapping[str, int], Iterable[Write], Iterable[str], int], int
    ]
    open_lease: Callable[[float], Lease]
    renew: Callable[[Lease], None]
    end_lease: Callable[[Lease], None]
    is_direct: Callable[[], bool] = lambda: True
    era: Callable[[], int] = lambda: 0
