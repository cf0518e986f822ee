"""The order of waiting requests.

Classes share the slots by weight (stride scheduling: the class that has used
least for its weight is next); within a class the earliest deadline is first.
"""

import bisect
import itertools
import typing
from collections.abc import Iterator

import attrs

DEFAULT_WEIGHT = 1.0


@attrs.frozen(eq=False)
class Place:
    """The place of one waiting request in a queue."""

    request_class: str
    deadline_s: float
    sequence: int
    item: typing.Any


@attrs.define(eq=False)
class Queue:
    """Waiting requests by class.

    Attributes:
      weights: Share of each class.
      lanes: Places of each class in order; a class without places is absent.
      used: Served requests of each class, divided by its weight.
      floor: `used` of the class that was served last. A class that comes back
        starts here, so that it can't claim the time in which it was idle.
    """

    weights: dict[str, float]
    lanes: dict[str, list[Place]] = attrs.Factory(dict)
    used: dict[str, float] = attrs.Factory(dict)
    floor: float = 0.0
    sequence: Iterator[int] = attrs.Factory(itertools.count)
    size: int = 0


def order(place: Place) -> tuple[float, int]:
    """Returns the sort key within a class."""
    return place.deadline_s, place.sequence


def weight(queue: Queue, request_class: str) -> float:
    """Returns the weight of a class."""
    return queue.weights.get(request_class, DEFAULT_WEIGHT)


def push(
    queue: Queue, request_class: str, deadline_s: float, item: typing.Any
) -> Place:
    """Adds an item and returns its place."""
    place = Place(request_class, deadline_s, next(queue.sequence), item)
    if request_class not in queue.lanes:
        queue.lanes[request_class] = []
        queue.used[request_class] = max(
            queue.floor, queue.used.get(request_class, 0.0)
        )
    bisect.insort(queue.lanes[request_class], place, key=order)
    queue.size += 1
    return place


def head(queue: Queue) -> Place:
    """Returns the place that is next; the queue must not be empty."""
    return queue.lanes[min(queue.lanes, key=queue.used.__getitem__)][0]


def remove(queue: Queue, place: Place) -> None:
    """Removes a place that is in the queue."""
    lane = queue.lanes[place.request_class]
    del lane[bisect.bisect_left(lane, order(place), key=order)]
    queue.size -= 1
    if not lane:
        del queue.lanes[place.request_class]


def charge(queue: Queue, request_class: str) -> None:
    """Counts one served request against the share of its class."""
    used = queue.used[request_class]
    queue.floor = max(queue.floor, used)
    queue.used[request_class] = used + 1.0 / weight(queue, request_class)


def count(queue: Queue, request_class: str) -> int:
    """Returns how many requests of a class wait."""
    return len(queue.lanes.get(request_class, ()))


def ahead(queue: Queue, request_class: str, deadline_s: float) -> float:
    """Returns how many requests are expected to be served before a new one."""
    lane = queue.lanes.get(request_class, [])
    earlier = bisect.bisect_right(
        lane, deadline_s, key=lambda place: place.deadline_s
    )
    return min(queue.size, earlier / share(queue, request_class))


def share(queue: Queue, request_class: str, other: str | None = None) -> float:
    """Returns the part of the slots that a class gets beside the others.

    Args:
      queue: The queue.
      request_class: The class; it counts as waiting.
      other: Another class that counts as waiting.
    """
    classes = {*queue.lanes, request_class, other or request_class}
    return weight(queue, request_class) / sum(
        weight(queue, name) for name in classes
    )


def displaced(queue: Queue, request_class: str) -> Place | None:
    """Returns the place that gives way to new work in a full queue.

    It is the latest deadline of the class that is furthest over its share of
    the queue, or None when that is the class of the new work, or when the new
    work would bring its own class as far over.
    """

    def load(name: str, extra: int = 0) -> float:
        return (count(queue, name) + extra) / weight(queue, name)

    if not queue.lanes:
        return None
    fullest = max(queue.lanes, key=load)
    over = count(queue, fullest) > queue.size * share(
        queue, fullest, request_class
    )
    if fullest == request_class or not over:
        return None
    if load(request_class, 1) > load(fullest):
        return None
    return queue.lanes[fullest][-1]
