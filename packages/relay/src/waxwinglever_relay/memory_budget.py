"""One budget for the bytes of bodies and responses that a process holds.

Addresses crowds of clients that send many long bodies at once, or read many
long responses slowly. Bodies and responses up to SMALL_BYTES don't draw on the
budget: each thread may hold one, and `divide` sets their room aside, so that
long ones can't take it.
"""

import gc
import math
import mmap
import os
import threading
import weakref
from collections.abc import Callable

import attrs

from waxwinglever_model import clock
from waxwinglever_model import exceptions
from waxwinglever_relay import memory_shares

# Longer bodies and responses draw on the budget.
SMALL_BYTES = 32_768
# A body of unknown size draws this much at a time.
STEP_BYTES = 262_144
# What the process needs without requests: 50 MB, and 14 MB for the stacks and
# the malloc arenas of its threads.
REST_BYTES = 64_000_000
# What is left with less memory; a daemon must still answer small requests.
MIN_ROOM_BYTES = 8_000_000
# Share of the room for open connections, and what one of them needs at rest:
# its objects, and what the kernel has received and nobody has read.
CONNECTIONS_SHARE = 1 / 3
UNREAD_BYTES = 32_768
# What the kernel holds of a response that its reader has not taken. Only
# connections with a thread have some, so it isn't reckoned for each.
UNSENT_BYTES = 65_536
CONNECTION_BYTES = 16_384 + UNREAD_BYTES
# Share of the budget that bodies may take. Responses may take all of it, as
# their requests have run and are lost otherwise. On the smallest machine
# (200 MB) it has room for one body of 64 MiB.
BODIES_SHARE = 0.9
# A full collection takes some 30 ms; at most this often, one looks for buffers
# that are kept by reference cycles.
COLLECT_INTERVAL_S = 1.0
BODY = "body"
RESPONSE = "response"


@attrs.frozen
class Division:
    """How the memory of a process is divided.

    Attributes:
      budget_bytes: For long bodies and responses.
      connections: Number of open connections.
    """

    budget_bytes: int
    connections: int


def divide(memory_bytes: float, threads: int) -> Division:
    """Returns how the memory of a process is divided.

    Args:
      memory_bytes: All of it.
      threads: Threads that may hold a small body or response each.
    """
    room = max(memory_bytes - REST_BYTES, MIN_ROOM_BYTES)
    connections_bytes = room * CONNECTIONS_SHARE
    # A small request is held together with its small response.
    small_bytes = min(2 * threads * SMALL_BYTES, room / 4)
    return Division(
        int(room - connections_bytes - small_bytes),
        int(connections_bytes / CONNECTION_BYTES),
    )


@attrs.define(eq=False)
class Budget:
    """The bytes that long bodies and responses hold.

    Attributes:
      total_bytes: Most bytes that may be held; infinite if not bounded.
      held_bytes: Bytes held now, by kind.
      refused: Claims that did not fit, by kind.
      short_s: When a claim last did not fit, on the boot clock.
      shares: What responses hold, by class.
      collected_s: When reference cycles were last collected.
      now: Returns seconds of the boot clock.
      changed: Notified when bytes are released; its lock guards all fields.
    """

    total_bytes: float = float("inf")
    held_bytes: dict[str, int] = attrs.field(
        factory=lambda: {BODY: 0, RESPONSE: 0}
    )
    refused: dict[str, int] = attrs.field(
        factory=lambda: {BODY: 0, RESPONSE: 0}
    )
    short_s: float = float("-inf")
    shares: memory_shares.Shares = attrs.Factory(memory_shares.Shares)
    collected_s: float = float("-inf")
    now: Callable[[], float] = clock.boottime_s
    # Buffers may be released by a collection while the lock is held.
    changed: threading.Condition = attrs.field(
        factory=lambda: threading.Condition(threading.RLock())
    )


@attrs.define(eq=False)
class Claim:
    """What one buffer holds of the budget.

    Attributes:
      budget: The budget.
      kind: BODY or RESPONSE.
      held_bytes: Bytes held.
      share_class: Class by which responses share the budget; see
        memory_shares.
    """

    budget: Budget
    kind: str
    held_bytes: int = 0
    share_class: str = ""


def fits(claim: Claim, size: int) -> bool:
    """Returns whether `size` more bytes fit; requires the lock."""
    budget = claim.budget
    held = budget.held_bytes
    if claim.kind == BODY:
        return (
            held[BODY] + size <= budget.total_bytes * BODIES_SHARE
            and held[BODY] + held[RESPONSE] + size <= budget.total_bytes
        )
    return memory_shares.may_draw(
        budget.shares,
        claim.share_class,
        claim.held_bytes,
        size,
        budget.total_bytes - held[BODY],
        budget.now(),
    )


def default_memory_bytes() -> float:
    """Returns half of the machine's memory, for a process without a setting."""
    return math.prod(map(os.sysconf, ("SC_PAGE_SIZE", "SC_PHYS_PAGES"))) / 2


def draw(claim: Claim, size: int, deadline_s: float | None = None) -> bool:
    """Adds bytes to a claim.

    Args:
      claim: The claim.
      size: Bytes that it holds in addition.
      deadline_s: Until when to wait for room, on the boot clock; None to not
        wait at all. Bodies don't wait.

    Returns:
      Whether they fit.
    """
    budget = claim.budget
    while not try_draw(claim, size):
        now_s = budget.now()
        with budget.changed:
            budget.short_s = now_s
            is_first = now_s - budget.collected_s > COLLECT_INTERVAL_S
            if is_first:
                budget.collected_s = now_s
        if is_first:
            # Not under the lock: it runs finalizers that may wait for others.
            gc.collect()
        elif deadline_s is None or now_s >= deadline_s:
            count_refusal(claim)
            return False
        elif wait_for_room(claim, size, deadline_s - now_s):
            return True
    return True


def count_refusal(claim: Claim) -> None:
    """Counts a claim that did not fit."""
    budget = claim.budget
    with budget.changed:
        budget.refused[claim.kind] += 1
        if claim.kind == RESPONSE:
            use = memory_shares.note_request(
                budget.shares, claim.share_class, 0, budget.now()
            )
            use.lost += 1


def wait_for_room(claim: Claim, size: int, timeout_s: float) -> bool:
    """Adds bytes to the claim of a response once they fit, within a time.

    Other classes leave it room meanwhile, so it draws before it counts as not
    waiting. Returns whether they fit.
    """
    budget = claim.budget
    with budget.changed:
        waiting = memory_shares.note_request(
            budget.shares, claim.share_class, 0, budget.now()
        ).waiting_bytes
        waiting.append(size)
        try:
            return budget.changed.wait_for(
                lambda: try_draw(claim, size), timeout_s
            )
        finally:
            waiting.remove(size)
            budget.changed.notify_all()


def try_draw(claim: Claim, size: int) -> bool:
    """Adds bytes to a claim if they fit; returns whether they do."""
    budget = claim.budget
    with budget.changed:
        use = None
        if claim.kind == RESPONSE:
            use = memory_shares.note_request(
                budget.shares,
                claim.share_class,
                claim.held_bytes + size,
                budget.now(),
            )
        if not fits(claim, size):
            return False
        if use is not None:
            use.held_bytes += size
        budget.held_bytes[claim.kind] += size
        claim.held_bytes += size
        return True


def release(claim: Claim) -> None:
    """Returns all bytes of a claim to the budget."""
    budget = claim.budget
    with budget.changed:
        budget.held_bytes[claim.kind] -= claim.held_bytes
        if claim.kind == RESPONSE and claim.held_bytes:
            use = budget.shares.classes[claim.share_class]
            use.held_bytes -= claim.held_bytes
        claim.held_bytes = 0
        budget.changed.notify_all()


def refusal(size: int) -> exceptions.Overloaded:
    """Returns the refusal of a body that does not fit."""
    return exceptions.Overloaded(
        f"this node has no memory left for a body of {size} bytes",
        "try again later, or send a smaller body",
        retry_after_ms=1_000,
    )


class Buffer:
    """A growing buffer that draws on the budget before it is written.

    Its address space is reserved at once; memory is used only as far as bytes
    have arrived, and bytes are never copied when it grows. The claim is
    released together with the last view of the bytes.

    Attributes:
      claim: What it holds of the budget.
      size: Number of bytes written.
      view: All its address space.
    """

    def __init__(
        self, budget: Budget, kind: str, max_bytes: int, share_class: str = ""
    ):
        self.claim = Claim(budget, kind, share_class=share_class)
        self.size = 0
        memory = mmap.mmap(-1, max(max_bytes, 1))
        weakref.finalize(memory, release, self.claim).atexit = False
        self.view = memoryview(memory)


def reserve(buffer: Buffer, size: int, deadline_s: float | None = None) -> bool:
    """Draws for a number of further bytes; returns whether they fit.

    Args:
      buffer: The buffer.
      size: Bytes that will be appended.
      deadline_s: Until when to wait for room; None to not wait.
    """
    missing = buffer.size + size - buffer.claim.held_bytes
    if missing <= 0:
        return True
    rest = len(buffer.view) - buffer.claim.held_bytes
    if missing > rest:
        return False
    return draw(buffer.claim, max(missing, min(STEP_BYTES, rest)), deadline_s)


def append(buffer: Buffer, data: bytes) -> None:
    """Appends bytes for which room was reserved."""
    end = buffer.size + len(data)
    buffer.view[buffer.size : end] = data
    buffer.size = end


def content(buffer: Buffer) -> memoryview:
    """Returns the bytes that were written."""
    return buffer.view[: buffer.size].toreadonly()
