"""Writes changed parts of an ownership table by compare-and-swap."""

from collections.abc import Callable, Collection, Iterable

from waxwinglever_assignment import eras
from waxwinglever_assignment import fleet_view
from waxwinglever_assignment import tables
from waxwinglever_store import leased

# Conditions and writes in one transaction together; the platform's store allows
# 32, and one of them is the condition on the era.
MAX_ENTRIES = 31
# Attempts at a change that conflicts with others. Busy ranges lie close
# together, so several owners may hand over ranges of one part concurrently.
MAX_ATTEMPTS = 5


def commit(
    store: leased.LeasedStoreClient,
    before: tables.OwnershipTable,
    after: tables.OwnershipTable,
    absent: Collection[str] = (),
) -> None:
    """Writes the parts that differ between two tables, in one transaction.

    Args:
      store: The store.
      before: The table that the change is based on; its parts must still have
        the versions at which they were read.
      after: The new table.
      absent: Keys that must not exist.

    Raises:
      Conflict: The store has a newer version of a part, or one of the `absent`
        keys exists.
      StoreRestored: The store was restored since the table was read.
      StoreUnavailable: The store did not answer.
    """
    parts = tables.changed_parts(before, after)
    keys = {part: fleet_view.part_key(after.service, part) for part in parts}
    expected = {keys[part]: before.versions[part] for part in parts}
    expected.update(dict.fromkeys(absent, leased.ABSENT))
    expected.update(eras.condition(before.era))
    store.commit(
        expected,
        [
            leased.Write(keys[part], tables.encode(after, part))
            for part in parts
        ],
        [],
        before.era,
    )


def update(
    store: leased.LeasedStoreClient,
    table: tables.OwnershipTable,
    change: Callable[[tables.OwnershipTable], tables.OwnershipTable],
) -> bool:
    """Applies a change; repeats it on the newest parts after a conflict.

    Args:
      store: The store.
      table: The newest table that this node has.
      change: Returns the changed table; called for each attempt. Nothing is
        written if it returns its argument unchanged.

    Returns:
      Whether the table was written.

    Raises:
      Conflict: Other nodes changed the table at each attempt.
      StoreRestored: The store was restored since the table was read.
      StoreUnavailable: The store did not answer.
    """
    attempts_left = MAX_ATTEMPTS
    while (after := change(table)) != table:
        attempts_left -= 1
        try:
            commit(store, table, after)
            return True
        except leased.VersionConflict as error:
            newer = with_newer_parts(table, error.current_items)
            if not attempts_left or newer.versions == table.versions:
                raise
            table = newer
    return False


def with_newer_parts(
    table: tables.OwnershipTable, items: Iterable[leased.Item]
) -> tables.OwnershipTable:
    """Returns the table with the parts that some items of the store contain.

    Raises:
      InvalidInput: A part can't be decoded, or the table would be invalid.
    """
    parts = [
        tables.Part(tables.ranges_in(table, part), table.next_fences[part])
        for part in range(tables.PARTS)
    ]
    versions = list(table.versions)
    part_numbers = {
        fleet_view.part_key(table.service, part): part
        for part in range(tables.PARTS)
    }
    for item in items:
        if item.key in part_numbers:
            part = part_numbers[item.key]
            parts[part] = tables.decode(item.value)
            versions[part] = item.version
    return tables.assemble_table(table.service, parts, versions, table.era)


def create(
    store: leased.LeasedStoreClient, table: tables.OwnershipTable
) -> None:
    """Writes the initial table of a service.

    Raises:
      Conflict: The service already has a table.
      StoreRestored: The store was restored since the table was missed.
      StoreUnavailable: The store did not answer.
    """
    keys = [fleet_view.part_key(table.service, p) for p in range(tables.PARTS)]
    store.commit(
        {
            **dict.fromkeys(keys, leased.ABSENT),
            **eras.condition(table.era),
        },
        [
            leased.Write(key, tables.encode(table, part))
            for part, key in enumerate(keys)
        ],
        [],
        table.era,
    )


def merge_parts(
    before: tables.OwnershipTable,
    after: tables.OwnershipTable,
    parts: Collection[int],
) -> tables.OwnershipTable:
    """Returns `before` with some of its parts taken from `after`."""
    ranges = []
    fences = []
    for part in range(tables.PARTS):
        source = after if part in parts else before
        ranges += tables.ranges_in(source, part)
        fences.append(source.next_fences[part])
    return tables.OwnershipTable(
        before.service,
        tuple(ranges),
        tuple(fences),
        before.versions,
        before.era,
    )
