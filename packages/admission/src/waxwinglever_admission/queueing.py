"""The order in which waiting requests are served.

Stride scheduling shares the slots between the request classes by weight: the
class with the lowest pass value is next. Within a class the earliest deadline
is first.
"""

import bisect
import itertools
import typing
from collections.abc import Iterator

import attrs

DEFAULT_WEIGHT = 1.0


@attrs.frozen(eq=False)
class QueueEntry:
    """One waiting request.

    Attributes:
      request_class: Class of the request.
      deadline_s: Deadline of the request, or another time to sort by.
      sequence: Insertion number, which breaks ties between equal deadlines.
      item: The queued object.
    """

    request_class: str
    deadline_s: float
    sequence: int
    item: typing.Any


@attrs.define(eq=False)
class Queue:
    """Waiting requests by class.

    Attributes:
      weights: Weight of each class.
      entries: Entries of each class, sorted by deadline; a class without
        entries is absent.
      passes: Pass value of each class: its served requests divided by its
        weight.
      global_pass: Pass value of the class that was served last. A class that
        was idle restarts from here, so that it gets no credit for that time.
      sequence: Yields the insertion numbers of entries.
      size: Number of waiting requests in all classes.
    """

    weights: dict[str, float]
    entries: dict[str, list[QueueEntry]] = attrs.Factory(dict)
    passes: dict[str, float] = attrs.Factory(dict)
    global_pass: float = 0.0
    sequence: Iterator[int] = attrs.Factory(itertools.count)
    size: int = 0


def sort_key(entry: QueueEntry) -> tuple[float, int]:
    """Returns the sort key of an entry within its class."""
    return entry.deadline_s, entry.sequence


def weight(queue: Queue, request_class: str) -> float:
    """Returns the weight of a class, or DEFAULT_WEIGHT if it has none."""
    return queue.weights.get(request_class, DEFAULT_WEIGHT)


def push(
    queue: Queue, request_class: str, deadline_s: float, item: typing.Any
) -> QueueEntry:
    """Adds an item to the queue and returns its entry."""
    entry = QueueEntry(request_class, deadline_s, next(queue.sequence), item)
    if request_class not in queue.entries:
        queue.entries[request_class] = []
        queue.passes[request_class] = max(
            queue.global_pass, queue.passes.get(request_class, 0.0)
        )
    bisect.insort(queue.entries[request_class], entry, key=sort_key)
    queue.size += 1
    return entry


def head(queue: Queue) -> QueueEntry:
    """Returns the entry to serve next; the queue must not be empty."""
    return queue.entries[min(queue.entries, key=queue.passes.__getitem__)][0]


def remove(queue: Queue, entry: QueueEntry) -> None:
    """Removes an entry that is in the queue."""
    class_entries = queue.entries[entry.request_class]
    del class_entries[
        bisect.bisect_left(class_entries, sort_key(entry), key=sort_key)
    ]
    queue.size -= 1
    if not class_entries:
        del queue.entries[entry.request_class]


def charge(queue: Queue, request_class: str, cost: float = 1.0) -> None:
    """Advances the pass value of a class by one served request.

    Args:
      queue: The queue.
      request_class: Class of the request.
      cost: What the request takes of the share of its class.
    """
    class_pass = queue.passes[request_class]
    queue.global_pass = max(queue.global_pass, class_pass)
    queue.passes[request_class] = class_pass + cost / weight(
        queue, request_class
    )


def count(queue: Queue, request_class: str) -> int:
    """Returns how many requests of a class wait."""
    return len(queue.entries.get(request_class, ()))


def expected_ahead(
    queue: Queue, request_class: str, deadline_s: float
) -> float:
    """Returns how many requests are expected to be served before a new one."""
    class_entries = queue.entries.get(request_class, [])
    earlier = bisect.bisect_right(
        class_entries, deadline_s, key=lambda entry: entry.deadline_s
    )
    return min(queue.size, earlier / share(queue, request_class))


def share(queue: Queue, request_class: str, other: str | None = None) -> float:
    """Returns the fraction of the slots that a class gets.

    Args:
      queue: The queue.
      request_class: The class; counted as waiting even if it isn't.
      other: Another class to count as waiting.
    """
    classes = {*queue.entries, request_class, other or request_class}
    return weight(queue, request_class) / sum(
        weight(queue, name) for name in classes
    )


def choose_displaced(queue: Queue, request_class: str) -> QueueEntry | None:
    """Returns the entry to remove from a full queue for a new request.

    Args:
      queue: The full queue.
      request_class: Class of the new request.

    Returns:
      The entry with the latest deadline in the class that is furthest over its
      share of the queue. None if no class is over its share, if the new
      request is of that class, or if the new request would bring its own class
      further over.
    """

    def weighted_count(name: str, extra: int = 0) -> float:
        return (count(queue, name) + extra) / weight(queue, name)

    if not queue.entries:
        return None
    fullest = max(queue.entries, key=weighted_count)
    over = count(queue, fullest) > queue.size * share(
        queue, fullest, request_class
    )
    if fullest == request_class or not over:
        return None
    if weighted_count(request_class, 1) > weighted_count(fullest):
        return None
    return queue.entries[fullest][-1]
