"""Writes changed parts of an ownership record by compare-and-swap."""

from collections.abc import Callable, Collection, Iterable

from waxwinglever_assignment import fleet as fleets
from waxwinglever_assignment import tables
from waxwinglever_store import leased

# Conditions and writes that one transaction may have; the platform's store
# takes 32.
MOST_ENTRIES = 32
# Tries of a change that other nodes keep coming before. Busy ranges lie close
# together, so several owners may hand over ranges of one part at a time.
TRIES = 5


def commit(
    store: leased.LeasedStore,
    before: tables.Table,
    after: tables.Table,
    absent: Collection[str] = (),
) -> None:
    """Writes the parts that have changed, in one transaction.

    Args:
      store: The store.
      before: The table that the change was decided on; its parts must still
        have the versions that it was read at.
      after: The table as it should be.
      absent: Keys that must not exist.

    Raises:
      Conflict: A part has changed, or a key exists.
    """
    parts = tables.changed_parts(before, after)
    keys = {part: fleets.part_key(after.service, part) for part in parts}
    expected = {keys[part]: before.versions[part] for part in parts}
    expected.update(dict.fromkeys(absent, leased.ABSENT))
    store.commit(
        expected,
        [
            leased.Write(keys[part], tables.encode(after, part))
            for part in parts
        ],
        [],
    )


def update(
    store: leased.LeasedStore,
    table: tables.Table,
    change: Callable[[tables.Table], tables.Table],
) -> None:
    """Applies a change, again on the newest parts if another node came first.

    Args:
      store: The store.
      table: The table as this node knows it.
      change: Returns the table as it should be; called for each try.

    Raises:
      Conflict: Others came first each time.
    """
    for left in reversed(range(TRIES)):
        after = change(table)
        if after == table:
            return
        try:
            commit(store, table, after)
            return
        except leased.Changed as error:
            newer = refreshed(table, error.items)
            if not left or newer.versions == table.versions:
                raise
            table = newer


def refreshed(
    table: tables.Table, items: Iterable[leased.Item]
) -> tables.Table:
    """Returns the table with the parts in some items of the store.

    Raises:
      InvalidInput: A part can't be read.
    """
    parts = [
        tables.Part(tables.ranges_in(table, part), table.next_fences[part])
        for part in range(tables.PARTS)
    ]
    versions = list(table.versions)
    places = {
        fleets.part_key(table.service, part): part
        for part in range(tables.PARTS)
    }
    for item in items:
        if item.key in places:
            part = places[item.key]
            parts[part] = tables.decode(item.value)
            versions[part] = item.version
    return tables.join(table.service, parts, versions)


def create(store: leased.LeasedStore, table: tables.Table) -> None:
    """Writes a first table; raises Conflict if there is one."""
    keys = [fleets.part_key(table.service, p) for p in range(tables.PARTS)]
    store.commit(
        dict.fromkeys(keys, leased.ABSENT),
        [
            leased.Write(key, tables.encode(table, part))
            for part, key in enumerate(keys)
        ],
        [],
    )


def only_parts(
    before: tables.Table, after: tables.Table, parts: Collection[int]
) -> tables.Table:
    """Returns the table with the changes of some parts only."""
    ranges = []
    fences = []
    for part in range(tables.PARTS):
        source = after if part in parts else before
        ranges += tables.ranges_in(source, part)
        fences.append(source.next_fences[part])
    return tables.Table(
        before.service, tuple(ranges), tuple(fences), before.versions
    )
