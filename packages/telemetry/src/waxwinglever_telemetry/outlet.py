"""Lines to a stream that never make the caller wait."""

import collections
import threading
import time
import typing

import attrs

# Lines that wait for a slow reader; more are dropped and counted.
MAX_WAITING = 2_000
# The writer collects lines for this long, which saves wake-ups and calls.
COLLECT_S = 0.05


@attrs.define(eq=False)
class Outlet:
    """A stream for lines, written by a thread of its own.

    Attributes:
      stream: Takes the lines.
      waiting: Lines that are not written yet.
      dropped: Lines dropped since the last report of it.
      filled: Set when there are lines.
    """

    stream: typing.TextIO
    waiting: collections.deque[str] = attrs.Factory(collections.deque)
    dropped: int = 0
    filled: threading.Event = attrs.Factory(threading.Event)

    def write(self, text: str) -> int:
        """Queues text; drops it when too much waits."""
        if len(self.waiting) >= MAX_WAITING:
            self.dropped += 1
        else:
            self.waiting.append(text)
            if not self.filled.is_set():
                self.filled.set()
        return len(text)

    def flush(self) -> None:
        """Does nothing: the writer flushes."""


def start(stream: typing.TextIO) -> Outlet:
    """Returns an outlet whose writer runs."""
    outlet = Outlet(stream)

    def run() -> None:
        while True:
            outlet.filled.wait()
            time.sleep(COLLECT_S)
            outlet.filled.clear()
            drain(outlet)

    threading.Thread(target=run, name="log", daemon=True).start()
    return outlet


def drain(outlet: Outlet) -> None:
    """Writes all that waits, and how much was dropped."""
    parts = []
    while outlet.waiting:
        parts.append(outlet.waiting.popleft())
    if outlet.dropped:
        count, outlet.dropped = outlet.dropped, 0
        parts.append(f'{{"event": "log-lines-dropped", "count": {count}}}\n')
    if parts:
        outlet.stream.write("".join(parts))
        outlet.stream.flush()
