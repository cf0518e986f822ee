"""The daemon's directory of a tenant's cells."""

import threading
from collections.abc import Iterable

import attrs

from waxwinglever_model import cells

# Limits the memory use, whatever the store or other leaders send.
MAX_LINES = 4096


@attrs.define(eq=False)
class Directory:
    """Summaries of cells; `lock` guards all attributes.

    Attributes:
      lines: Newest known summary of each cell, by name of the cell.
      version: Local counter that rises with each change of `lines`.
    """

    lines: dict[str, cells.CellLine] = attrs.Factory(dict)
    version: int = 0
    lock: threading.Lock = attrs.Factory(threading.Lock)


def learn(directory: Directory, lines: Iterable[cells.CellLine]) -> bool:
    """Merges summaries of a higher record version into the directory.

    Summaries of new cells are ignored once the directory has MAX_LINES.

    Returns:
      Whether the directory changed.
    """
    changed = False
    with directory.lock:
        for line in lines:
            known = directory.lines.get(line.cell)
            if known is not None and known.version >= line.version:
                continue
            if known is None and len(directory.lines) >= MAX_LINES:
                continue
            directory.lines[line.cell] = line
            changed = True
        if changed:
            directory.version += 1
    return changed


def snapshot(
    directory: Directory,
) -> tuple[int, tuple[cells.CellLine, ...]]:
    """Returns the version and a consistent copy of the summaries."""
    with directory.lock:
        return directory.version, tuple(directory.lines.values())


def cells_of(
    directory: Directory, tenant: str, service: str
) -> list[cells.CellLine]:
    """Returns the summaries of a service's cells, sorted by name."""
    prefix = f"{tenant}/{service}/"
    with directory.lock:
        found = [
            line
            for name, line in directory.lines.items()
            if name.startswith(prefix)
        ]
    return sorted(found, key=lambda line: line.cell)
