"""Calls of a store with leases, transactions and watches over prefixes."""

from collections.abc import Callable, Iterable, Mapping

import attrs

from waxwinglever_model import exceptions

NO_LEASE = 0
# The version that a transaction expects of a key that must not exist.
ABSENT = 0


class LeaseEnded(exceptions.WaxwingleverError):
    """The lease is unknown to the store, so its keys are gone."""

    kind = "lease-ended"


class HistoryGone(exceptions.WaxwingleverError):
    """The store has dropped the changes after the given version."""

    kind = "history-gone"


class Changed(exceptions.Conflict):
    """A transaction found another version than the expected one.

    Attributes:
      items: The keys of the condition as they are now, as far as they exist
        and the store told them.
    """

    def __init__(self, message: str, remedy: str, items: tuple["Item", ...]):
        super().__init__(message, remedy)
        self.items = items


@attrs.frozen
class Item:
    """One key of the store.

    Attributes:
      key: Name of the key.
      value: Its bytes.
      version: Store version of its last change.
      lease: Lease that it is bound to, or NO_LEASE.
    """

    key: str
    value: bytes
    version: int
    lease: int = NO_LEASE


@attrs.frozen
class Listing:
    """All items below a prefix.

    Attributes:
      items: The items. Pages are read one after the other, so they need not
        belong to one version.
      version: Version of the store before the first page was read; a watch
        from here on misses nothing.
    """

    items: tuple[Item, ...]
    version: int


@attrs.frozen
class Change:
    """A change of one key; `item` is None when the key was removed."""

    key: str
    version: int
    item: Item | None


@attrs.frozen
class Changes:
    """Changes in order, and the version to go on from."""

    changes: tuple[Change, ...]
    version: int


@attrs.frozen
class Write:
    """One key that a transaction writes."""

    key: str
    value: bytes
    lease: int = NO_LEASE


@attrs.frozen
class LeasedStore:
    """The calls; each raises StoreUnavailable on a failure.

    After StoreUnavailable a change may have taken effect, or may take effect
    seconds later if its condition still holds.

    Attributes:
      get: Returns the item of a key, or None.
      list_prefix: Returns the Listing of a prefix.
      watch: Takes a prefix, a version and a number of seconds. Returns the
        Changes after that version as soon as there are any, or an empty set
        when the time ends. Raises HistoryGone.
      commit: Takes the expected versions of keys (ABSENT for none), writes and
        keys to remove; all or nothing. Returns the new version. Raises
        Changed when a version differs, LeaseEnded when a lease has ended.
      open_lease: Takes seconds and returns the id of a new lease.
      renew: Renews a lease; raises LeaseEnded.
      end_lease: Ends a lease; its keys are removed.
      is_direct: Returns whether the last call reached the store without help
        of another daemon.
    """

    get: Callable[[str], Item | None]
    list_prefix: Callable[[str], Listing]
    watch: Callable[[str, int, float], Changes]
    commit: Callable[[Mapping[str, int], Iterable[Write], Iterable[str]], int]
    open_lease: Callable[[float], int]
    renew: Callable[[int], None]
    end_lease: Callable[[int], None]
    is_direct: Callable[[], bool] = lambda: True
