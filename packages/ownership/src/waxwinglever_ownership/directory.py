"""The daemon's directory of a tenant's cells."""

import threading
from collections.abc import Iterable

import attrs

from waxwinglever_model import cells

# Limits the memory use, whatever the store or other leaders send.
MAX_SUMMARIES = 4096


@attrs.define(eq=False)
class CellDirectory:
    """Summaries of cells; `lock` guards all attributes.

    Attributes:
      summaries: Newest known summary of each cell, by name of the cell.
      version: Local counter that rises with each change of `summaries`.
    """

    summaries: dict[str, cells.CellSummary] = attrs.Factory(dict)
    version: int = 0
    lock: threading.Lock = attrs.Factory(threading.Lock)


def merge(
    directory: CellDirectory, summaries: Iterable[cells.CellSummary]
) -> bool:
    """Merges summaries of a higher record version into the directory.

    Summaries of new cells are ignored once the directory has MAX_SUMMARIES.

    Returns:
      Whether the directory changed.
    """
    changed = False
    with directory.lock:
        for summary in summaries:
            known = directory.summaries.get(summary.cell)
            if known is not None and known.version >= summary.version:
                continue
            if known is None and len(directory.summaries) >= MAX_SUMMARIES:
                continue
            directory.summaries[summary.cell] = summary
            changed = True
        if changed:
            directory.version += 1
    return changed


def snapshot(
    directory: CellDirectory,
) -> tuple[int, tuple[cells.CellSummary, ...]]:
    """Returns the version and a consistent copy of the summaries."""
    with directory.lock:
        return directory.version, tuple(directory.summaries.values())


def find_cells(
    directory: CellDirectory, tenant: str, service: str
) -> list[cells.CellSummary]:
    """Returns the summaries of a service's cells, sorted by name."""
    prefix = f"{tenant}/{service}/"
    with directory.lock:
        found = [
            summary
            for name, summary in directory.summaries.items()
            if name.startswith(prefix)
        ]
    return sorted(found, key=lambda summary: summary.cell)
