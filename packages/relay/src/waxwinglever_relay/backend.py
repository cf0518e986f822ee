"""The backend server beside this daemon, as this daemon knows it."""

import threading
from collections.abc import Callable

import attrs

from waxwinglever_admission import gate as gates
from waxwinglever_assignment import fleet as fleets
from waxwinglever_model import clock

# Requests that may wait at the gate for each slot. Longer queues only make
# answers late.
QUEUE_PER_SLOT = 2
# Work for a backend server that leaves ends this long after its notice. The
# other daemons learn of it within milliseconds; the platform allows 2 s.
LEAVING_WORK_S = 0.5
# Share of the bearable rate at which a cold backend server gets requests.
COLD_SHARE = 0.9
# A request waits at most this long for its turn at a cold backend server.
COLD_WAIT_S = 0.25
# Slots that are assumed before the backend server told them.
FIRST_SLOTS = 4
# A class of rank r weighs this many times one of rank r + 1 in a full queue.
RANK_FACTOR = 4.0


@attrs.frozen
class Announcement:
    """What a backend server says of itself.

    Attributes:
      instance_id: Its id.
      born_ms: When this life of it began, in ms of the time of day.
      sequence: Rises with each announcement of one life.
      service: Name of its service.
      slots: Requests that it runs at a time.
      draining: Whether it is about to leave.
      cold_s: How much longer it is cold.
    """

    instance_id: str
    born_ms: int
    sequence: int
    service: str
    slots: int
    draining: bool
    cold_s: float


@attrs.define(eq=False)
class Backend:
    """The state of the backend server; guarded by `lock`.

    Attributes:
      address: host:port.
      service: Service that runs on this machine.
      zone: Availability zone.
      publish: Called with changed fields of the member's entry.
      log: Called with an event name and fields.
      gate: The only place of admission.
      life: Names one life of the backend server; '' before it was heard.
      instance_id: The id under which it knows itself.
      born_ms: When its life began.
      sequence: Sequence of its newest announcement.
      slots: Requests that it runs at a time.
      state: State in the member's entry.
      left_s: When it announced that it leaves.
      cold_until_s: When its cold start ends.
      cold_next_s: When the next request may be sent while it is cold.
      heard_s: When it last announced itself.
    """

    address: str
    service: str
    zone: str
    publish: Callable[..., None]
    log: Callable[..., None]
    now: Callable[[], float] = clock.boottime_s
    gate: gates.Gate = attrs.Factory(
        lambda: gates.Gate(policy(FIRST_SLOTS, {}), clock.boottime_s)
    )
    life: str = ""
    instance_id: str = ""
    born_ms: int = 0
    sequence: int = -1
    slots: int = FIRST_SLOTS
    state: str = fleets.STARTING
    left_s: float = float("inf")
    cold_until_s: float = float("-inf")
    cold_next_s: float = float("-inf")
    heard_s: float = float("-inf")
    ranks: dict[str, int] = attrs.Factory(dict)
    lock: threading.Lock = attrs.Factory(threading.Lock)


def policy(slots: int, ranks: dict[str, int]) -> gates.Policy:
    """Returns the limits of the gate for a number of slots."""
    lowest = max(ranks.values(), default=0)
    return gates.Policy(
        slots=slots,
        queue_limit=slots * QUEUE_PER_SLOT,
        cold_start_slots=slots,
        cold_start_s=0.0,
        weights={
            name: RANK_FACTOR ** (lowest - rank) for name, rank in ranks.items()
        },
    )


def set_ranks(backend: Backend, ranks: dict[str, int]) -> None:
    """Takes the urgency of the routes into force."""
    with backend.lock:
        if ranks != backend.ranks:
            backend.ranks = dict(ranks)
            gates.set_policy(backend.gate, policy(backend.slots, backend.ranks))


def life_of(instance_id: str, born_ms: int) -> str:
    """Returns the name of one life of a backend server."""
    return f"{instance_id}@{born_ms}"


def take_announcement(backend: Backend, news: Announcement) -> bool:
    """Takes what the backend server says of itself.

    Returns:
      False for an announcement that is older than what is known; it changes
      nothing.
    """
    with backend.lock:
        life = life_of(news.instance_id, news.born_ms)
        if news.born_ms < backend.born_ms:
            return False
        if life == backend.life and news.sequence <= backend.sequence:
            return False
        now_s = backend.now()
        backend.heard_s = now_s
        backend.sequence = news.sequence
        if life != backend.life:
            begin_life(backend, news, life)
        if news.slots != backend.slots:
            backend.slots = news.slots
            gates.set_policy(backend.gate, policy(news.slots, backend.ranks))
        if news.cold_s > 0:
            backend.cold_until_s = max(
                backend.cold_until_s, now_s + news.cold_s
            )
        gates.saw_boot(backend.gate, life)
        if news.draining:
            leave(backend, "announced")
        elif backend.state != fleets.DRAINING:
            set_state(backend, fleets.READY, "announced")
        publish(backend)
        return True


def begin_life(backend: Backend, news: Announcement, life: str) -> None:
    """Starts over for a new life; the caller holds the lock."""
    backend.log(
        "backend-started",
        life=life,
        before=backend.life,
        cold_s=round(news.cold_s, 3),
        slots=news.slots,
    )
    backend.life = life
    backend.instance_id = news.instance_id
    backend.born_ms = news.born_ms
    backend.state = fleets.DOWN
    backend.left_s = float("inf")


def deregister(backend: Backend, instance_id: str) -> None:
    """Takes the backend server's word that it is gone."""
    with backend.lock:
        if instance_id == backend.instance_id:
            leave(backend, "deregistered")
            publish(backend)


def leave(backend: Backend, why: str) -> None:
    """Notes that the backend server leaves; the caller holds the lock."""
    if backend.state != fleets.DRAINING:
        backend.left_s = backend.now()
        set_state(backend, fleets.DRAINING, why)


def set_state(backend: Backend, state: str, why: str) -> None:
    """Changes the state; the caller holds the lock."""
    if state != backend.state:
        backend.log(
            "backend-state",
            state=state,
            before=backend.state,
            why=why,
            life=backend.life,
            heard_age_s=round(backend.now() - backend.heard_s, 3),
        )
        backend.state = state


def end_start(backend: Backend) -> None:
    """Gives up waiting for the first announcement."""
    with backend.lock:
        if backend.state == fleets.STARTING:
            set_state(backend, fleets.DOWN, "silent since the start")
            publish(backend)


def mark_down(backend: Backend, why: str) -> None:
    """Notes that the backend server takes no connections."""
    with backend.lock:
        gates.saw_unreachable(backend.gate)
        if backend.state == fleets.READY:
            set_state(backend, fleets.DOWN, why)
            publish(backend)


def mark_up(backend: Backend) -> None:
    """Notes that the present life of the backend server answers again."""
    with backend.lock:
        if backend.state == fleets.DOWN and backend.life:
            set_state(backend, fleets.READY, "answers")
            gates.saw_boot(backend.gate, backend.life)
            publish(backend)


def is_cold(backend: Backend) -> bool:
    """Returns whether the backend server is in a cold start."""
    return backend.now() < backend.cold_until_s


def publish(backend: Backend) -> None:
    """Tells the other daemons; the caller holds the lock."""
    backend.publish(
        instance=backend.life,
        instance_id=backend.instance_id,
        slots=backend.slots,
        state=backend.state,
        cold=is_cold(backend),
    )


def cold_turn_s(backend: Backend, rate: float) -> float | None:
    """Returns how long a request must wait at a cold backend server.

    Args:
      backend: The backend server.
      rate: Requests a second that it bears while it is cold.

    Returns:
      Seconds; None when its turn would come too late.
    """
    with backend.lock:
        now_s = backend.now()
        if now_s >= backend.cold_until_s:
            return 0.0
        turn_s = max(now_s, backend.cold_next_s)
        if turn_s - now_s > COLD_WAIT_S:
            return None
        backend.cold_next_s = turn_s + 1.0 / max(1.0, rate * COLD_SHARE)
        return turn_s - now_s
