"""Decides which clients are disconnected because they don't go on.

Addresses crowds of clients that keep threads or memory by sending or reading
very slowly, or not at all. Without a shortage, only the time-outs of the
configuration end a connection. In a shortage of threads or memory, clients
slower than SLOW_BYTES_PER_S are disconnected, the slowest first.
"""

from collections.abc import Iterable

import attrs

# What a worker thread does for a connection. IDLE: it has none. LINGER: it
# reads what comes behind a refusal. OWN: it waits for this node or another
# server, not for the client.
IDLE = "idle"
LINGER = "linger"
HEAD = "head"
BODY = "body"
RESPONSE = "response"
OWN = "own"
# Those that depend on the client, those that cost least to end first.
ORDER = (LINGER, HEAD, BODY, RESPONSE)
# 2% of a link of 5 Mbit/s, the slowest of the users.
SLOW_BYTES_PER_S = 12_500
# How long a client is watched before it can count as slow.
MIN_WATCHED_S = 1.0
# Reasons of a disconnection, for the metrics.
HEAD_TIMEOUT = "head-timeout"
THREADS_SHORT = "threads-short"
MEMORY_SHORT = "memory-short"
CONNECTIONS_SHORT = "connections-short"


@attrs.define(eq=False)
class Progress:
    """How far the request on a connection has come.

    The worker thread writes `phase`, `moved`, `requests` and `held_bytes`; all
    else is written by the thread that watches it, so that a request costs no
    calls of the clock.

    Attributes:
      phase: What the worker does for the connection.
      moved: Bytes of body or response that were moved so far.
      requests: Requests that the connection has begun.
      held_bytes: Bytes of the memory budget that end with the connection.
      watched_phase: The phase when it was last watched; '' before.
      watched_requests: Value of `requests` at that time.
      phase_s: Since when it is in that phase.
      sample_s: When `sample_moved` was taken.
      sample_moved: Value of `moved` at that time.
      rate: Bytes a second between the last two samples; None in the first.
    """

    phase: str = HEAD
    moved: int = 0
    requests: int = 0
    held_bytes: int = 0
    watched_phase: str = ""
    watched_requests: int = 0
    phase_s: float = 0.0
    sample_s: float = 0.0
    sample_moved: int = 0
    rate: float | None = None


def observe(progress: Progress, now_s: float) -> None:
    """Measures the rate of a connection; called every now and then."""
    if (progress.phase, progress.requests) != (
        progress.watched_phase,
        progress.watched_requests,
    ):
        progress.watched_phase = progress.phase
        progress.watched_requests = progress.requests
        progress.phase_s = progress.sample_s = now_s
        progress.sample_moved = progress.moved
        progress.rate = None
    elif now_s - progress.sample_s >= MIN_WATCHED_S:
        moved = progress.moved - progress.sample_moved
        progress.rate = moved / (now_s - progress.sample_s)
        progress.sample_s = now_s
        progress.sample_moved = progress.moved


def is_slow(progress: Progress) -> bool:
    """Returns whether a connection waits for a client that doesn't go on."""
    return (
        progress.watched_phase in ORDER
        and progress.phase == progress.watched_phase
        and progress.rate is not None
        and progress.rate < SLOW_BYTES_PER_S
    )


def choose_drops(
    watched: Iterable[Progress],
    waiting: int,
    is_memory_short: bool,
    header_timeout_s: float,
    now_s: float,
) -> list[tuple[Progress, str]]:
    """Returns which connections to drop, each with the reason.

    Args:
      watched: The connections that have a thread.
      waiting: Connections that wait for a thread.
      is_memory_short: Whether a body or response did not fit of late.
      header_timeout_s: How long a head may take to arrive.
      now_s: The time of the last samples, on the boot clock.
    """
    drops = []
    slow = []
    for progress in watched:
        if (
            progress.watched_phase == progress.phase == HEAD
            and now_s - progress.phase_s > header_timeout_s
        ):
            drops.append((progress, HEAD_TIMEOUT))
        elif is_slow(progress):
            slow.append(progress)
    slow.sort(key=lambda item: (ORDER.index(item.watched_phase), item.rate))
    wanted = max(0, waiting - len(drops))
    drops += [(progress, THREADS_SHORT) for progress in slow[:wanted]]
    if is_memory_short:
        drops += [
            (progress, MEMORY_SHORT)
            for progress in slow[wanted:]
            if progress.held_bytes
        ]
    return drops
