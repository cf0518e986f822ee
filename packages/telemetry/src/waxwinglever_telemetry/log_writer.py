"""A stream for log lines whose writes never block the caller."""

import collections
import threading
import time
import typing

import attrs

# Bounds the queue when the reader of the stream is slow; further writes are
# dropped and counted.
MAX_PENDING_LINES = 2_000
# Lines that arrive within this time are written in one call, which saves
# thread wake-ups and system calls.
BATCH_INTERVAL_S = 0.05


@attrs.define(eq=False)
class LogWriter:
    """A queue of log lines that a background thread writes to a stream.

    Attributes:
      stream: Destination of the lines.
      pending: Lines that are not written yet.
      dropped: Number of lines dropped since it was last reported.
      has_lines: Set when lines are queued; wakes the writer thread.
    """

    stream: typing.TextIO
    pending: collections.deque[str] = attrs.Factory(collections.deque)
    dropped: int = 0
    has_lines: threading.Event = attrs.Factory(threading.Event)

    def write(self, text: str) -> int:
        """Queues text, or drops it if MAX_PENDING_LINES lines are queued.

        Returns:
          The length of the text, as text streams do.
        """
        if len(self.pending) >= MAX_PENDING_LINES:
            self.dropped += 1
        else:
            self.pending.append(text)
            if not self.has_lines.is_set():
                self.has_lines.set()
        return len(text)

    def flush(self) -> None:
        """Does nothing: the writer thread flushes the stream."""


def start_writer(stream: typing.TextIO) -> LogWriter:
    """Returns a log writer and starts its writer thread, a daemon thread."""
    log_writer = LogWriter(stream)

    def write_batches() -> None:
        while True:
            log_writer.has_lines.wait()
            time.sleep(BATCH_INTERVAL_S)
            log_writer.has_lines.clear()
            write_pending(log_writer)

    threading.Thread(target=write_batches, name="log", daemon=True).start()
    return log_writer


def write_pending(log_writer: LogWriter) -> None:
    """Writes all queued lines, then a line with the number of dropped ones."""
    lines = []
    while log_writer.pending:
        lines.append(log_writer.pending.popleft())
    if log_writer.dropped:
        count, log_writer.dropped = log_writer.dropped, 0
        lines.append(f'{{"event": "log-lines-dropped", "count": {count}}}\n')
    if lines:
        log_writer.stream.write("".join(lines))
        log_writer.stream.flush()
