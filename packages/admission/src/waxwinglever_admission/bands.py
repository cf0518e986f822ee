"""Which waiting requests run next, and which are shed, under overload.

Load pattern: for seconds, a server gets 1.5 to 2.5 times the requests that it
can serve, and a late response is worth a small part of one in time. Earliest
deadline first alone then makes every request a little late. So requests wait in
two bands. A request is timely while it can still end by its target, and late
after that. Timely ones go first; late ones get the slots that are left, and go
before less urgent ones that can wait for them. Within a class, the earliest
latest start is first, unless more wait than can be served in time (`first`).

Classes share the slots by the time that they hold them, weighted by priority.
A second pattern is a burst of a less urgent class with long service times. It
takes all slots while more urgent requests keep arriving. Such a class leaves
slots free while more urgent classes can't wait for one of its requests to end.

All functions are pure decisions on `Bands`, and get the current time.
"""

import math
import typing

import attrs

from waxwinglever_admission import estimates
from waxwinglever_admission import queueing

# A class of requests: its priority (0 is the most urgent) and its name.
Class = tuple[int, str]

# Priorities above this one count as this one, so that weights stay above 0.
MAX_PRIORITY = 9
# A request of priority r gets this many times the weight of one of r + 1.
WEIGHT_FACTOR = 4.0
# Time in which the demand of a class that has ended is forgotten.
DEMAND_DECAY_S = 2.0
# Cost of a request in the share of its class while no service time is known.
UNKNOWN_COST_S = 0.1
# In the late band, callers that return at their time go before all others of
# their class. No deadline is this far ahead.
RETURN_ADVANCE_S = 1e6
# Least share of the slots for which callers are told to return. New requests
# may leave less, but then callers that return wait behind them. In the replay
# of bursts of 1 s, 0.2 leaves half of the refusals that 0.02 leaves.
MIN_RETURN_SHARE = 0.2
# Demand, in slots, for which no slot is kept free.
MIN_DEMAND = 0.1
# A class can wait for a slot if this many mean intervals between free slots
# fit in its slack; a longer wait has a probability of about 5%.
WAIT_INTERVALS = 3.0


@attrs.frozen
class Settings:
    """Settings of the bands.

    Attributes:
      queue_per_slot: Maximum number of waiting requests for each slot.
      deviations: A request counts as late when the mean service time of its
        class and this many mean absolute deviations would pass its target.
      response_s: Time from the end of a request on its server until its caller
        has the response: 8 ms to callers, 1.4 ms between zones, and the
        processing on two small machines.
      reserved_share: Largest share of the slots that is kept free of less
        urgent requests.
      starvation_s: A class that keeps arriving gets a slot after this time.
      urgent_starvation_s: The same for late requests, before timely ones of
        less urgent classes. It is under half of the shortest deadlines (822
        ms), so that calls of requests that have started aren't refused.
    """

    queue_per_slot: int = attrs.field(
        default=3, validator=attrs.validators.ge(1)
    )
    deviations: float = attrs.field(
        default=2.0, validator=attrs.validators.ge(0)
    )
    response_s: float = attrs.field(
        default=0.02, validator=attrs.validators.ge(0)
    )
    reserved_share: float = attrs.field(
        default=0.34,
        validator=[attrs.validators.ge(0), attrs.validators.lt(1)],
    )
    starvation_s: float = attrs.field(
        default=1.0, validator=attrs.validators.gt(0)
    )
    urgent_starvation_s: float = attrs.field(
        default=0.25, validator=attrs.validators.gt(0)
    )


@attrs.define(eq=False)
class Place:
    """A waiting request.

    Attributes:
      request_class: Its class.
      target_start_s: Latest start with which it can end by its target.
      deadline_s: When its caller stops waiting.
      item: The queued object.
      queue: The band in which it waits.
      entry: Its entry in that band.
      is_return: Whether its caller was refused, and returned at its time.
    """

    request_class: Class
    target_start_s: float
    deadline_s: float
    item: typing.Any
    queue: queueing.Queue | None = None
    entry: queueing.QueueEntry | None = None
    is_return: bool = False


@attrs.define(eq=False)
class Level:
    """The requests of one priority.

    Attributes:
      running: Requests that hold a slot.
      service_s: Moving mean of the expected service times of those that start.
      work_s: Expected service times of the requests that came and could not
        have waited for a slot, decayed over DEMAND_DECAY_S.
      offered_s: Expected service times of all new requests, decayed likewise.
      updated_s: When both were last decayed.
    """

    running: int = 0
    service_s: float = 0.0
    work_s: float = 0.0
    offered_s: float = 0.0
    updated_s: float = 0.0


@attrs.define(eq=False)
class History:
    """When requests of a class last came and last started."""

    arrived_s: float
    started_s: float


@attrs.define(eq=False)
class Bands:
    """The waiting requests of a server under overload control.

    Attributes:
      weights: Weight of each class that has come.
      timely: Requests that can end by their target, sorted by latest start.
      late: The others, newest deadline first: those that have just become late
        may still be in time.
      service_times: Estimates by the names of classes.
      levels: The requests of each priority.
      histories: When requests of each class came and started.
    """

    weights: dict[Class, float] = attrs.Factory(dict)
    timely: queueing.Queue = attrs.Factory(
        lambda self: queueing.Queue(self.weights), takes_self=True
    )
    late: queueing.Queue = attrs.Factory(
        lambda self: queueing.Queue(self.weights), takes_self=True
    )
    service_times: dict[str, estimates.Estimate] = attrs.Factory(dict)
    levels: dict[int, Level] = attrs.Factory(dict)
    histories: dict[Class, History] = attrs.Factory(dict)


def class_of(priority: int, name: str) -> Class:
    """Returns the class for a priority and the name of a route."""
    return min(max(0, priority), MAX_PRIORITY), name


def size(bands: Bands) -> int:
    """Returns how many requests wait."""
    return bands.timely.size + bands.late.size


def is_waiting(bands: Bands, name: str) -> bool:
    """Returns whether a request of a route waits, whatever its priority."""
    return any(
        request_class[1] == name
        for band in (bands.timely, bands.late)
        for request_class in band.entries
    )


def target_start_s(
    bands: Bands, settings: Settings, name: str, target_s: float
) -> float:
    """Returns the latest start with which a request can end by its target."""
    return (
        target_s
        - settings.response_s
        - estimates.cautious_s(bands.service_times, name, settings.deviations)
    )


def record_arrival(
    bands: Bands,
    settings: Settings,
    place: Place,
    limit: int,
    now_s: float,
    is_new: bool = True,
) -> None:
    """Records that a request came, whether it will be served or not.

    Args:
      bands: The waiting requests.
      settings: The settings.
      place: The request.
      limit: Number of slots.
      now_s: Current time.
      is_new: Whether it is the first attempt of its caller.
    """
    request_class = place.request_class
    priority, name = request_class
    history = bands.histories.get(request_class)
    if history is None:
        bands.weights[request_class] = WEIGHT_FACTOR**-priority
        bands.histories[request_class] = History(now_s, now_s)
    else:
        if now_s - history.arrived_s > settings.starvation_s:
            # It was idle, so nothing kept it from a slot.
            history.started_s = now_s
        history.arrived_s = now_s
    service_s = estimates.mean_s(bands.service_times, name)
    level = bands.levels.get(priority)
    if level is None:
        level = bands.levels[priority] = Level()
    decay(level, now_s)
    if is_new:
        level.offered_s += service_s
    slack_s = place.target_start_s - now_s
    if 0.0 < slack_s < WAIT_INTERVALS * slot_interval_s(bands, priority, limit):
        level.work_s += service_s


def slot_interval_s(bands: Bands, priority: int, limit: int) -> float:
    """Returns the time between free slots while less urgent requests run."""
    longest_s = 0.0
    for other, level in bands.levels.items():
        if other > priority and level.running and level.service_s > longest_s:
            longest_s = level.service_s
    return longest_s / limit


def free_rate_per_s(
    bands: Bands, request_class: Class, limit: int, now_s: float
) -> float:
    """Returns the rate at which new requests leave slots free for a class.

    New requests that are at least as urgent are subtracted.
    """
    priority, name = request_class
    offered_s = 0.0
    for other, level in bands.levels.items():
        if other <= priority:
            decay(level, now_s)
            offered_s += level.offered_s
    free = max(limit * MIN_RETURN_SHARE, limit - offered_s / DEMAND_DECAY_S)
    service_s = estimates.mean_s(bands.service_times, name)
    return free / (service_s or UNKNOWN_COST_S)


def decay(level: Level, now_s: float) -> None:
    """Decays the sums of a level to the current time."""
    if now_s > level.updated_s:
        factor = math.exp((level.updated_s - now_s) / DEMAND_DECAY_S)
        level.work_s *= factor
        level.offered_s *= factor
        level.updated_s = now_s


def is_open(
    bands: Bands, settings: Settings, priority: int, limit: int, now_s: float
) -> bool:
    """Returns whether a request of a priority may take a free slot.

    It may not if the slots that more urgent classes need at once would be held
    by requests that are as little urgent as this one.
    """
    demand_s = 0.0
    held = 0
    for other, level in bands.levels.items():
        if other >= priority:
            held += level.running
        elif level.work_s:
            decay(level, now_s)
            demand_s += level.work_s
    if not demand_s:
        return True
    reserved = min(
        int(limit * settings.reserved_share),
        math.ceil(demand_s / DEMAND_DECAY_S - MIN_DEMAND),
    )
    return held < limit - reserved


def push(bands: Bands, place: Place, now_s: float) -> None:
    """Adds a request to its band."""
    if now_s < place.target_start_s:
        place.queue = bands.timely
        value_s = place.target_start_s
    else:
        place.queue = bands.late
        value_s = -place.deadline_s
        if place.is_return:
            value_s -= RETURN_ADVANCE_S
    place.entry = queueing.push(
        place.queue, place.request_class, value_s, place
    )


def remove(place: Place) -> None:
    """Removes a waiting request."""
    queueing.remove(place.queue, place.entry)
    place.queue = place.entry = None


def move_late(bands: Bands, now_s: float) -> None:
    """Moves the requests that have become late to the late band."""
    due = [
        entries[0].item
        for entries in bands.timely.entries.values()
        if entries[0].deadline_s <= now_s
    ]
    for place in due:
        entries = bands.timely.entries[place.request_class]
        while entries and entries[0].deadline_s <= now_s:
            place = entries[0].item
            remove(place)
            push(bands, place, now_s)


def choose(
    bands: Bands, settings: Settings, limit: int, now_s: float
) -> Place | None:
    """Returns the waiting request that gets a free slot of `limit`, or None."""
    move_late(bands, now_s)
    if bands.timely.size and bands.late.size:
        for request_class in bands.late.entries:
            if request_class not in bands.timely.entries and is_starving(
                bands, settings, request_class, now_s
            ):
                return bands.late.entries[request_class][0].item
    timely = first(bands, bands.timely, settings, limit, now_s)
    if not bands.late.size:
        return timely
    if timely is None:
        return first(bands, bands.late, settings, limit, now_s)
    priority = timely.request_class[0]
    late = first(bands, bands.late, settings, limit, now_s, priority)
    if late is None:
        return timely
    service_s = estimates.mean_s(bands.service_times, late.request_class[1])
    history = bands.histories[late.request_class]
    if (
        # The less urgent request can wait for the late one to end.
        now_s + service_s < timely.target_start_s
        or now_s - history.started_s >= settings.urgent_starvation_s
    ):
        return late
    return timely


def first(
    bands: Bands,
    queue: queueing.Queue,
    settings: Settings,
    limit: int,
    now_s: float,
    end_priority: int = MAX_PRIORITY + 1,
) -> Place | None:
    """Returns the request of a band that may take a slot first, or None.

    Only classes that are more urgent than `end_priority` are considered.

    While more timely requests of a class wait than all slots can serve before
    the newest becomes late, some must become late. Serving the oldest first
    would then start each at the last moment, and a slow spell would make it
    late. In the replay of 1.5 to 2.5 times the capacity, newest first gives 2
    to 13% more responses in time on servers of the usual or a higher speed.
    """
    best = None
    for request_class in queue.entries:
        rank = queue.passes[request_class], request_class[0]
        if (
            request_class[0] < end_priority
            and (best is None or rank < best[0])
            and is_open(bands, settings, request_class[0], limit, now_s)
        ):
            best = rank, request_class
    if best is None:
        return None
    entries = queue.entries[best[1]]
    if queue is bands.timely:
        if entries[0].item.is_return:
            # Its target is that of its first attempt, and so it is the first.
            return entries[0].item
        newest = entries[-1].item
        service_s = estimates.mean_s(bands.service_times, best[1][1])
        if now_s + len(entries) * service_s / limit > newest.target_start_s:
            return newest
    return entries[0].item


def is_starving(
    bands: Bands, settings: Settings, request_class: Class, now_s: float
) -> bool:
    """Returns whether a class that keeps arriving got no slot for too long."""
    history = bands.histories[request_class]
    return now_s - history.started_s >= settings.starvation_s


def choose_shed(
    bands: Bands, settings: Settings, place: Place, now_s: float
) -> Place | None:
    """Returns the request to shed from a full queue for a new one, or None.

    Late requests are shed before timely ones, and less urgent ones before
    urgent ones. Of late ones the oldest is shed, which has waited in vain for
    longest, or the new one if that is still older. Of timely ones the newest
    is shed, as its caller can best return in time.
    """
    move_late(bands, now_s)
    is_late = now_s >= place.target_start_s
    priority = place.request_class[0]
    if bands.late.size:
        request_class = fullest(bands.late)
        oldest = bands.late.entries[request_class][-1].item
        if (
            is_late
            and request_class == place.request_class
            and place.deadline_s < oldest.deadline_s
            and not place.is_return
        ):
            return None
        if not is_late or request_class[0] >= priority:
            return oldest
    if is_late or not bands.timely.size:
        return None
    request_class = fullest(bands.timely)
    count = queueing.count(bands.timely, request_class)
    if request_class[0] > priority and not (
        count == 1 and is_starving(bands, settings, request_class, now_s)
    ):
        return bands.timely.entries[request_class][-1].item
    if (
        request_class[0] == priority
        and count > queueing.count(bands.timely, place.request_class) + 1
    ):
        # Classes of one priority have equal parts of the queue.
        return bands.timely.entries[request_class][-1].item
    if place.request_class not in bands.timely.entries and is_starving(
        bands, settings, place.request_class, now_s
    ):
        largest = max(
            bands.timely.entries,
            key=lambda name: len(bands.timely.entries[name]),
        )
        if queueing.count(bands.timely, largest) > 1:
            return bands.timely.entries[largest][-1].item
    return None


def fullest(band: queueing.Queue) -> Class:
    """Returns the least urgent class of a band; the fullest if there are more.

    The band must not be empty.
    """
    return max(
        band.entries, key=lambda name: (name[0], len(band.entries[name]))
    )


def start(bands: Bands, place: Place, now_s: float) -> None:
    """Records that a waiting request got a slot."""
    request_class = place.request_class
    priority, name = request_class
    service_s = estimates.mean_s(bands.service_times, name)
    queue = place.queue
    remove(place)
    queueing.charge(queue, request_class, service_s or UNKNOWN_COST_S)
    bands.histories[request_class].started_s = now_s
    level = bands.levels.setdefault(priority, Level())
    level.running += 1
    level.service_s += estimates.ALPHA * (service_s - level.service_s)


def end(bands: Bands, request_class: Class) -> None:
    """Records that a request that got a slot has ended."""
    bands.levels[request_class[0]].running -= 1


def expected_ahead(bands: Bands, place: Place, now_s: float) -> float:
    """Returns how many requests are expected to start before a new one."""
    if now_s >= place.target_start_s:
        return sum(
            len(entries)
            for (priority, _), entries in bands.timely.entries.items()
            if priority <= place.request_class[0]
        )
    return queueing.expected_ahead(
        bands.timely, place.request_class, place.target_start_s
    )
