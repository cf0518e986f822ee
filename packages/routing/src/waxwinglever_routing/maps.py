"""Cache of the records of other cells."""

import collections
import threading

import attrs

from waxwinglever_model import cells

# About the number of cells at the target size.
MAX_CELLS = 128
# 4,096 slices take 0.97 MB as objects (tracemalloc), so this bound is 8 MB of
# the 32 MB that a daemon may use for its control data.
MAX_CACHED_SLICES = 32_768


@attrs.frozen
class Target:
    """Where a request for a point is routed.

    Attributes:
      member: The recorded owner.
      item: The slice that contains the point.
      version: Version of the record that names the owner.
    """

    member: cells.Member
    item: cells.Slice
    version: int


@attrs.frozen
class CachedMap:
    """A cached record, or only its term and version once it is invalidated.

    Attributes:
      term: Term of the record.
      version: Version of the record in the store.
      record: The record, or None after `forget`.
    """

    term: int
    version: int
    record: cells.CellRecord | None


@attrs.define(eq=False)
class MapCache:
    """LRU cache of the records of other cells.

    Attributes:
      max_cells: Maximum number of cells.
      max_slices: Maximum number of slices in all records; a single record may
        exceed it.
      maps: Cached records by cell, the least recently used first.
    """

    max_cells: int = attrs.field(
        default=MAX_CELLS, validator=attrs.validators.ge(1)
    )
    max_slices: int = MAX_CACHED_SLICES
    maps: collections.OrderedDict[str, CachedMap] = attrs.field(
        factory=collections.OrderedDict, init=False
    )
    lock: threading.Lock = attrs.field(factory=threading.Lock, init=False)


def learn(cache: MapCache, record: cells.CellRecord, version: int) -> bool:
    """Caches a record unless it is older than the cached one of its cell.

    Neither the term nor the version of a cell ever decreases. A record that
    was invalidated by `forget` may be cached again under the same version.

    Returns:
      Whether the record was cached.
    """
    with cache.lock:
        known = cache.maps.get(record.cell)
        if known is not None:
            if record.term < known.term or version < known.version:
                return False
            if version == known.version and known.record is not None:
                return False
        cache.maps[record.cell] = CachedMap(record.term, version, record)
        cache.maps.move_to_end(record.cell)
        evict(cache)
        return True


def evict(cache: MapCache) -> None:
    """Drops the least recently used maps until the cache is within bounds."""
    count = sum(
        len(known.record.slices)
        for known in cache.maps.values()
        if known.record is not None
    )
    while len(cache.maps) > cache.max_cells or (
        count > cache.max_slices and len(cache.maps) > 1
    ):
        _, dropped = cache.maps.popitem(last=False)
        if dropped.record is not None:
            count -= len(dropped.record.slices)


def lookup(cache: MapCache, cell: str, point: int) -> Target | None:
    """Returns the recorded owner of a point, or None if none is cached."""
    with cache.lock:
        known = cache.maps.get(cell)
        if known is None or known.record is None:
            return None
        cache.maps.move_to_end(cell)
    item = known.record.slice_at(point)
    member = known.record.member(item.owner) if item is not None else None
    if item is None or member is None:
        return None
    return Target(member, item, known.version)


def known_map(cache: MapCache, cell: str) -> CachedMap | None:
    """Returns the cached record of a cell, or None if there is none."""
    with cache.lock:
        known = cache.maps.get(cell)
        if known is None or known.record is None:
            return None
        cache.maps.move_to_end(cell)
        return known


def known_version(cache: MapCache, cell: str) -> int:
    """Returns the version of the cached record, or 0 if there is none."""
    with cache.lock:
        known = cache.maps.get(cell)
        if known is None or known.record is None:
            return 0
        return known.version


def forget(cache: MapCache, cell: str) -> None:
    """Invalidates the record of a cell; older ones are still rejected."""
    with cache.lock:
        known = cache.maps.get(cell)
        if known is not None:
            cache.maps[cell] = attrs.evolve(known, record=None)
