"""Lines of the other cells of a tenant, as one daemon knows them."""

import threading
from collections.abc import Iterable

import attrs

from waxwinglever_model import cells

# Bounds the memory of a daemon, whatever the store or other leaders send.
MAX_LINES = 4096


@attrs.define(eq=False)
class Directory:
    """Cell lines; `lock` guards all of it.

    Attributes:
      lines: Newest known line of each cell.
      version: Rises with each change of the lines.
    """

    lines: dict[str, cells.CellLine] = attrs.Factory(dict)
    version: int = 0
    lock: threading.Lock = attrs.Factory(threading.Lock)


def learn(directory: Directory, lines: Iterable[cells.CellLine]) -> bool:
    """Takes lines of a higher record version; returns whether any changed."""
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
    """Returns version and lines at one moment."""
    with directory.lock:
        return directory.version, tuple(directory.lines.values())


def cells_of(
    directory: Directory, tenant: str, service: str
) -> list[cells.CellLine]:
    """Returns the lines of the cells of a service, by name."""
    prefix = f"{tenant}/{service}/"
    with directory.lock:
        found = [
            line
            for name, line in directory.lines.items()
            if name.startswith(prefix)
        ]
    return sorted(found, key=lambda line: line.cell)
