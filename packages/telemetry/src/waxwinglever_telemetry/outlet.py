"""A stream for log lines whose writes never block the caller."""

import collections
import threading
import time
import typing

import attrs

# Bounds the queue when the reader of the stream is slow; further writes are
# dropped and counted.
MAX_WAITING = 2_000
# Lines that arrive within this time are written in one call, which saves
# thread wake-ups and system calls.
BATCH_INTERVAL_S = 0.05


@attrs.define(eq=False)
class Outlet:
    """A queue of log lines that a background thread writes to a stream.

    Attributes:
      stream: Destination of the lines.
      waiting: Lines that are not written yet.
      dropped: Number of lines dropped since it was last reported.
      has_lines: Set when lines are queued; wakes the writer thread.
    """

    stream: typing.TextIO
    waiting: collections.deque[str] = attrs.Factory(collections.deque)
    dropped: int = 0
    has_lines: threading.Event = attrs.Factory(threading.Event)

    def write(self, text: str) -> int:
        """Queues text, or drops it if MAX_WAITING lines are queued.

        Returns:
          The length of the text, as text streams do.
        """
        if len(self.waiting) >= MAX_WAITING:
            self.dropped += 1
        else:
            self.waiting.append(text)
            if not self.has_lines.is_set():
                self.has_lines.set()
        return len(text)

    def flush(self) -> None:
        """Does nothing: the writer thread flushes the stream."""


def start(stream: typing.TextIO) -> Outlet:
    """Returns an outlet and starts its writer thread, a daemon thread."""
    outlet = Outlet(stream)

    def write_batches() -> None:
        while True:
            outlet.has_lines.wait()
            time.sleep(BATCH_INTERVAL_S)
            outlet.has_lines.clear()
            drain(outlet)

    threading.Thread(target=write_batches, name="log", daemon=True).start()
    return outlet


def drain(outlet: Outlet) -> None:
    """Writes all queued lines, then a line with the number of dropped ones."""
    lines = []
    while outlet.waiting:
        lines.append(outlet.waiting.popleft())
    if outlet.dropped:
        count, outlet.dropped = outlet.dropped, 0
        lines.append(f'{{"event": "log-lines-dropped", "count": {count}}}\n')
    if lines:
        outlet.stream.write("".join(lines))
        outlet.stream.flush()
