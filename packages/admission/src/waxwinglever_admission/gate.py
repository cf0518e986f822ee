"""The gate: the only place of admission in front of a backend server.

Each connection's thread calls `admit`. Whoever changes the state of the gate
also decides, under its lock, which waiting requests run next, and wakes
exactly those threads. One waiting thread, the timekeeper, also wakes when the
cold-start ramp raises the limit or a suspect's turn ends unused.
"""

import collections
import contextlib
import threading
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator

import attrs

from waxwinglever_admission import quarantine
from waxwinglever_admission import queueing
from waxwinglever_admission import ramp
from waxwinglever_model import clock
from waxwinglever_model import exceptions
from waxwinglever_model import limits

# Weight of the newest service time in the moving average.
SERVICE_ALPHA = 0.1
# After a suspect has run alone, ordinary work gets this many times the limit
# in dispatches before the next suspect, if that much is waiting.
ORDINARY_ROUNDS = 2
# Ordinary work is held for a suspect's turn at most this long while requests
# in flight end; then it goes on and the suspect waits for its next turn.
HOLD_S = limits.DEFAULT_TIMEOUT_MS / 1000
# Boot ids that were replaced or whose crash was counted; late reports name
# only recent ones.
KEPT_BOOTS = 16
# Classes without a configured weight share one place, which bounds the state.
OTHER_CLASS = ""

WAITING = "waiting"
RUNNING = "running"
ENDED = "ended"


def positive_weights(_, attribute: attrs.Attribute, value: dict) -> None:
    """Refuses weights that would give a class no share."""
    if not all(weight > 0 for weight in value.values()):
        raise ValueError(f"{attribute.name} must be above 0: {value}")


@attrs.frozen
class Policy:
    """The configured limits of a gate.

    Attributes:
      slots: Requests that the backend server runs at a time.
      queue_limit: Requests that may wait.
      cold_start_slots: Limit at the begin of a cold start.
      cold_start_s: Time in which the limit rises to `slots`.
      weights: Share of each request class.
    """

    slots: int = attrs.field(validator=attrs.validators.ge(1))
    queue_limit: int = attrs.field(validator=attrs.validators.ge(0))
    cold_start_slots: int = attrs.field(validator=attrs.validators.ge(1))
    cold_start_s: float = attrs.field(validator=attrs.validators.ge(0))
    weights: dict[str, float] = attrs.field(
        factory=dict, validator=positive_weights
    )

    def __attrs_post_init__(self):
        if self.cold_start_slots > self.slots:
            raise ValueError(
                f"cold_start_slots {self.cold_start_slots} is over slots"
                f" {self.slots}"
            )


@attrs.frozen
class Work:
    """What the gate needs to know of a request.

    Attributes:
      request_class: Name of its class.
      deadline_s: When the caller stops waiting.
      fingerprint: Identifies the request among all sends of it.
    """

    request_class: str
    deadline_s: float
    fingerprint: str


@attrs.frozen
class CrashNews:
    """What a crash taught, for the other daemons of the service.

    Attributes:
      suspects: Fingerprints of new suspects.
      convicted: Fingerprints that are refused permanently from now on.
    """

    suspects: tuple[str, ...] = ()
    convicted: tuple[str, ...] = ()


@attrs.define(eq=False)
class Admission:
    """One request on its way through the gate.

    Attributes:
      work: The request.
      request_class: Its class, or OTHER_CLASS.
      latest_start_s: When it is too late to start it.
      state: WAITING, RUNNING or ENDED.
      woken: Set when the state changed or the thread must look again.
      queue: The queue in which it waits.
      place: Its place in that queue.
      refusal: Why it ended without a slot.
      boot_id: Boot id of the backend server at dispatch.
      crashed: Whether the backend server crashed while it ran.
      cleared: Whether it was a suspect and completed; the other daemons of
        the service can then be told.
    """

    work: Work
    request_class: str
    latest_start_s: float
    state: str = WAITING
    woken: threading.Event = attrs.Factory(threading.Event)
    queue: queueing.Queue | None = None
    place: queueing.Place | None = None
    refusal: exceptions.Refusal | None = None
    boot_id: str | None = None
    crashed: bool = False
    cleared: bool = False


@attrs.frozen
class Snapshot:
    """The state of a gate, for reports."""

    limit: int
    in_flight: int
    waiting: int
    waiting_suspects: int
    suspects: int
    convicted: int
    probing: bool
    draining: bool
    service_s: float


@attrs.define(eq=False)
class Gate:
    """The state of the gate; the functions of this module change it.

    Attributes:
      policy: The configured limits.
      now: The clock.
      boot_id: The backend server's boot id, if one was seen.
      ramp_start_s: When the present cold start began.
      probing: Whether a connection failed and no boot id was seen since.
      draining: Whether new work is refused.
      running: Requests in flight, oldest first.
      alone: The suspect that runs alone.
      ordinary: Waiting requests that are no suspects.
      suspects: Waiting suspects.
      ordinary_left: Ordinary dispatches before the next suspect's turn.
      hold_end_s: When a suspect's turn ends if it could not start.
      timekeeper: The waiting request whose thread wakes at `step_s`.
      step_s: When the limit rises next, or the hold ends.
      service_s: Moving average of the service time of each class.
      mean_service_s: Moving average of the service time of all requests.
      fingerprints: Suspects and convictions.
      past_boots: Boot ids that were replaced.
      crashed_boots: Boot ids whose crash was counted.
    """

    policy: Policy
    now: Callable[[], float] = clock.boottime_s
    boot_id: str | None = None
    lock: threading.Lock = attrs.Factory(threading.Lock)
    ramp_start_s: float = attrs.Factory(
        lambda self: self.now(), takes_self=True
    )
    probing: bool = False
    draining: bool = False
    running: dict[Admission, None] = attrs.Factory(dict)
    alone: Admission | None = None
    ordinary: queueing.Queue = attrs.Factory(
        lambda self: queueing.Queue(self.policy.weights), takes_self=True
    )
    suspects: queueing.Queue = attrs.Factory(
        lambda self: queueing.Queue(self.policy.weights), takes_self=True
    )
    ordinary_left: int = 0
    hold_end_s: float | None = None
    timekeeper: Admission | None = None
    step_s: float | None = None
    service_s: dict[str, float] = attrs.Factory(dict)
    mean_service_s: float = 0.0
    fingerprints: quarantine.Quarantine = attrs.Factory(
        lambda self: quarantine.Quarantine(self.now), takes_self=True
    )
    past_boots: collections.deque[str | None] = attrs.Factory(
        lambda: collections.deque(maxlen=KEPT_BOOTS)
    )
    crashed_boots: collections.deque[str | None] = attrs.Factory(
        lambda: collections.deque(maxlen=KEPT_BOOTS)
    )


@contextlib.contextmanager
def admit(
    gate: Gate, work: Work, check: Callable[[], None]
) -> Iterator[Admission]:
    """Runs its body in a slot.

    Args:
      gate: The gate.
      work: The request.
      check: Called in the slot right before the body; may raise a Refusal.

    Yields:
      The admission. A suspect is cleared when the body ends without an
      exception, so a lost answer must leave the body as an exception.

    Raises:
      Overloaded: The deadline would pass before the request is done, or the
        queue is full.
      OverShare: The queue is full and the class is over its share.
      Draining: The gate is closed.
      RefusedForGood: The request has crashed a backend server.
    """
    admission = join(gate, work)
    wait(gate, admission)
    started_s = None
    completed = False
    not_run = False
    try:
        check()
        started_s = gate.now()
        yield admission
        completed = True
    except exceptions.NotRun:
        not_run = True
        raise
    finally:
        service_s = None
        if started_s is not None and not not_run:
            service_s = max(0.0, gate.now() - started_s)
        leave(gate, admission, completed, service_s)


def join(gate: Gate, work: Work) -> Admission:
    """Gives a request a slot or a place in the queue, or refuses it."""
    with gate.lock:
        now_s = gate.now()
        if quarantine.is_convicted(gate.fingerprints, work.fingerprint):
            raise refused_for_good()
        if gate.draining:
            raise draining()
        weights = gate.policy.weights
        known = work.request_class in weights
        request_class = work.request_class if known else OTHER_CLASS
        service_s = expected_service_s(gate, request_class)
        admission = Admission(work, request_class, work.deadline_s - service_s)
        wait_s = expected_wait_s(gate, admission)
        if now_s + wait_s >= admission.latest_start_s:
            raise overloaded("the deadline would pass first", wait_s)
        waits = gate.ordinary.size + gate.suspects.size
        # A request that starts at once needs no place in the queue.
        if waits >= gate.policy.queue_limit and not starts_now(gate, admission):
            make_room(gate, admission, wait_s)
        enqueue(gate, admission)
        dispatch(gate)
        return admission


def wait(gate: Gate, admission: Admission) -> None:
    """Returns when the request has a slot; raises when it is refused."""
    while (left_s := look(gate, admission)) is not None:
        admission.woken.wait(left_s)
    if gate.now() >= admission.work.deadline_s:
        # The thread was woken too late.
        leave(gate, admission, False, None)
        raise overloaded("the deadline passed before dispatch")


def look(gate: Gate, admission: Admission) -> float | None:
    """Returns for how many seconds a request must wait before it looks again.

    Returns:
      None when it has a slot. Its thread also looks when `woken` is set.

    Raises:
      Refusal: The request was refused.
    """
    with gate.lock:
        now_s = gate.now()
        if admission.state == WAITING and now_s >= admission.latest_start_s:
            refuse(gate, admission, overloaded("no slot was free in time"))
            dispatch(gate)
        elif gate.timekeeper is admission:
            dispatch(gate)
        admission.woken.clear()
        if admission.refusal is not None:
            raise admission.refusal
        if admission.state == RUNNING:
            return None
        until_s = admission.latest_start_s
        if gate.timekeeper is admission and gate.step_s is not None:
            until_s = min(until_s, gate.step_s)
        return max(0.0, until_s - now_s)


def leave(
    gate: Gate, admission: Admission, completed: bool, service_s: float | None
) -> None:
    """Frees the slot of a request.

    Args:
      gate: The gate.
      admission: A request that has a slot.
      completed: Whether it ran to its end without an exception.
      service_s: How long it ran, or None when it did not run.
    """
    with gate.lock:
        del gate.running[admission]
        admission.state = ENDED
        if gate.alone is admission:
            gate.alone = None
            end_turn(gate)
        fingerprint = admission.work.fingerprint
        if completed and not admission.crashed:
            if quarantine.is_suspect(gate.fingerprints, fingerprint):
                quarantine.clear(gate.fingerprints, [fingerprint])
                admission.cleared = True
        if service_s is not None:
            observe(gate, admission.request_class, service_s)
        dispatch(gate)


def saw_boot(gate: Gate, boot_id: str) -> None:
    """Takes the boot id of an announcement or response.

    Another boot id than the last one restarts the ramp. The same one after a
    connection failure shows that there was no restart, and ends the probing.
    """
    with gate.lock:
        if boot_id in gate.past_boots:
            # A late response of a process that has ended.
            return
        if boot_id == gate.boot_id and not gate.probing:
            return
        if boot_id != gate.boot_id:
            gate.past_boots.append(gate.boot_id)
            gate.boot_id = boot_id
            gate.ramp_start_s = gate.now()
        gate.probing = False
        dispatch(gate)


def saw_unreachable(gate: Gate) -> None:
    """Lowers the limit to 1 until a boot id is seen."""
    with gate.lock:
        gate.probing = True
        dispatch(gate)


def saw_crash(gate: Gate) -> CrashNews:
    """Takes a broken connection to the backend server as a crash.

    It must be called inside the body of `admit`, while the request counts as
    in flight. All threads whose connection broke report the same crash, and it
    is counted once: a report belongs to the boot id under which the oldest
    request in flight was dispatched.
    """
    with gate.lock:
        oldest = next(iter(gate.running), None)
        boot_id = gate.boot_id if oldest is None else oldest.boot_id
        hit = [a for a in gate.running if a.boot_id == boot_id]
        for admission in hit:
            admission.crashed = True
        if boot_id == gate.boot_id:
            gate.probing = True
        if boot_id in gate.crashed_boots:
            dispatch(gate)
            return CrashNews()
        gate.crashed_boots.append(boot_id)
        fingerprints = tuple(a.work.fingerprint for a in hit)
        if gate.alone is not None and list(gate.running) == [gate.alone]:
            news = CrashNews(convicted=fingerprints)
        else:
            news = CrashNews(suspects=fingerprints)
        apply(gate, news.suspects, news.convicted, ())
        return news


def learn(
    gate: Gate,
    suspects: Iterable[str],
    convicted: Iterable[str],
    cleared: Iterable[str],
) -> None:
    """Takes what other daemons of the service report."""
    with gate.lock:
        apply(gate, suspects, convicted, cleared)


def set_policy(gate: Gate, policy: Policy) -> None:
    """Takes new limits into force; requests in flight go on.

    A ramp under way goes on from its start with the new values.
    """
    with gate.lock:
        gate.policy = policy
        gate.ordinary.weights = policy.weights
        gate.suspects.weights = policy.weights
        dispatch(gate)


def close(gate: Gate) -> None:
    """Refuses new and waiting work; what is in flight goes on."""
    with gate.lock:
        gate.draining = True
        for admission in waiting(gate):
            refuse(gate, admission, draining())


def snapshot(gate: Gate) -> Snapshot:
    """Returns the state for reports."""
    with gate.lock:
        return Snapshot(
            limit=limit(gate),
            in_flight=len(gate.running),
            waiting=gate.ordinary.size,
            waiting_suspects=gate.suspects.size,
            suspects=len(gate.fingerprints.suspects),
            convicted=len(gate.fingerprints.convicted),
            probing=gate.probing,
            draining=gate.draining,
            service_s=gate.mean_service_s,
        )


# The functions below expect that the caller holds the lock.


def limit(gate: Gate) -> int:
    """Returns how many requests may be in flight now."""
    if gate.probing:
        return 1
    policy = gate.policy
    return ramp.limit_at(
        gate.now(),
        gate.ramp_start_s,
        policy.cold_start_slots,
        policy.slots,
        policy.cold_start_s,
    )


def expected_service_s(gate: Gate, request_class: str) -> float:
    """Returns the expected service time of a new request of a class.

    It is 0 while no request of the class is in flight or waiting: an estimate
    that refuses every request of its class would never be corrected.
    """
    present = queueing.count(gate.ordinary, request_class) or any(
        a.request_class == request_class for a in gate.running
    )
    return gate.service_s.get(request_class, 0.0) if present else 0.0


def expected_wait_s(gate: Gate, admission: Admission) -> float:
    """Returns how long a new request is expected to wait at least.

    It uses the present limit, so it is too long during a cold start.
    """
    if starts_now(gate, admission):
        return 0.0
    if is_suspect(gate, admission):
        return gate.mean_service_s * (gate.suspects.size + 1)
    before = 1 + queueing.ahead(
        gate.ordinary, admission.request_class, admission.work.deadline_s
    )
    return gate.mean_service_s * before / limit(gate)


def starts_now(gate: Gate, admission: Admission) -> bool:
    """Returns whether a new request would get a slot at once."""
    if gate.alone is not None or gate.ordinary.size or gate.suspects.size:
        return False
    if is_suspect(gate, admission):
        return not gate.running and not gate.probing
    return len(gate.running) < limit(gate)


def is_suspect(gate: Gate, admission: Admission) -> bool:
    """Returns whether a request must run alone."""
    return quarantine.is_suspect(gate.fingerprints, admission.work.fingerprint)


def make_room(gate: Gate, admission: Admission, wait_s: float) -> None:
    """Displaces a waiting request of a class over its share, or raises."""
    request_class = admission.request_class
    place = queueing.displaced(gate.ordinary, request_class)
    if place is not None:
        refuse(gate, place.item, over_share(place.item, wait_s))
        return
    if len(gate.ordinary.lanes) > 1 and queueing.count(
        gate.ordinary, request_class
    ) >= gate.ordinary.size * queueing.share(gate.ordinary, request_class):
        raise over_share(admission, wait_s)
    raise overloaded("the queue is full", wait_s)


def queue_of(gate: Gate, admission: Admission) -> queueing.Queue:
    """Returns the queue in which a request belongs now."""
    return gate.suspects if is_suspect(gate, admission) else gate.ordinary


def enqueue(gate: Gate, admission: Admission) -> None:
    """Puts a request in its queue."""
    admission.queue = queue_of(gate, admission)
    admission.place = queueing.push(
        admission.queue,
        admission.request_class,
        admission.work.deadline_s,
        admission,
    )


def dequeue(admission: Admission) -> None:
    """Removes a waiting request from its queue."""
    queueing.remove(admission.queue, admission.place)
    admission.queue = admission.place = None


def refuse(
    gate: Gate, admission: Admission, refusal: exceptions.Refusal
) -> None:
    """Ends a waiting request and wakes its thread."""
    if admission.queue is gate.suspects and gate.ordinary_left <= 0:
        # The turn ends unused; otherwise a stream of suspects that never run
        # would hold ordinary work all the time.
        end_turn(gate)
    dequeue(admission)
    admission.state = ENDED
    admission.refusal = refusal
    admission.woken.set()


def waiting(gate: Gate) -> list[Admission]:
    """Returns all waiting requests."""
    return [
        place.item
        for queue in (gate.ordinary, gate.suspects)
        for lane in queue.lanes.values()
        for place in lane
    ]


def dispatch(gate: Gate) -> None:
    """Gives free slots to waiting requests in the order of the queue."""
    while (queue := queue_to_serve(gate)) is not None:
        admission = queueing.head(queue).item
        if gate.now() >= admission.latest_start_s:
            late = overloaded("no slot was free in time")
            refuse(gate, admission, late)
        elif queue is not queue_of(gate, admission):
            # Suspicion expired while it waited.
            dequeue(admission)
            enqueue(gate, admission)
        else:
            grant(gate, queue, admission)
    appoint_timekeeper(gate)


def queue_to_serve(gate: Gate) -> queueing.Queue | None:
    """Returns the queue whose head may have a slot now, if any.

    A suspect is not run while probing: without the boot id its crash could
    not be told from the one before.
    """
    if gate.alone is not None:
        return None
    if gate.hold_end_s is not None and gate.now() >= gate.hold_end_s:
        end_turn(gate)
    if gate.suspects.size and not gate.probing:
        if gate.ordinary_left <= 0 or not gate.ordinary.size:
            # The turn stays the suspect's while requests in flight end.
            gate.ordinary_left = 0
            if not gate.running:
                return gate.suspects
            if gate.hold_end_s is None and gate.ordinary.size:
                gate.hold_end_s = gate.now() + HOLD_S
            return None
    if gate.ordinary.size and len(gate.running) < limit(gate):
        return gate.ordinary
    return None


def end_turn(gate: Gate) -> None:
    """Lets ordinary work go on after a suspect's turn."""
    gate.ordinary_left = ORDINARY_ROUNDS * limit(gate)
    gate.hold_end_s = None


def grant(gate: Gate, queue: queueing.Queue, admission: Admission) -> None:
    """Gives a slot to a waiting request and wakes its thread."""
    dequeue(admission)
    queueing.charge(queue, admission.request_class)
    admission.state = RUNNING
    admission.boot_id = gate.boot_id
    gate.running[admission] = None
    if queue is gate.suspects:
        gate.alone = admission
        gate.hold_end_s = None
    else:
        gate.ordinary_left -= 1
    if len(gate.running) > limit(gate):
        raise AssertionError(
            f"{len(gate.running)} in flight is over the limit {limit(gate)}"
        )
    if gate.alone is not None and len(gate.running) != 1:
        raise AssertionError("a suspect does not run alone")
    admission.woken.set()


def appoint_timekeeper(gate: Gate) -> None:
    """Makes one waiting thread wake when time alone changes a decision."""
    policy = gate.policy
    step_s = None
    if gate.ordinary.size and not gate.probing:
        step_s = ramp.next_step_s(
            gate.now(),
            gate.ramp_start_s,
            policy.cold_start_slots,
            policy.slots,
            policy.cold_start_s,
        )
    if gate.hold_end_s is not None and gate.ordinary.size:
        step_s = min(step_s or gate.hold_end_s, gate.hold_end_s)
    keeper = gate.timekeeper
    if step_s is None:
        gate.timekeeper = None
    elif keeper is None or keeper.place is None or step_s != gate.step_s:
        if keeper is None or keeper.place is None:
            keeper = queueing.head(gate.ordinary).item
        gate.timekeeper = keeper
        keeper.woken.set()
    gate.step_s = step_s


def observe(gate: Gate, request_class: str, service_s: float) -> None:
    """Adds a service time to the moving averages."""
    old_s = gate.service_s.get(request_class, service_s)
    gate.service_s[request_class] = old_s + SERVICE_ALPHA * (service_s - old_s)
    mean_s = gate.mean_service_s or service_s
    gate.mean_service_s = mean_s + SERVICE_ALPHA * (service_s - mean_s)


def apply(
    gate: Gate,
    suspects: Iterable[str],
    convicted: Iterable[str],
    cleared: Iterable[str],
) -> None:
    """Updates the quarantine and moves waiting requests accordingly."""
    table = gate.fingerprints
    quarantine.suspect(table, suspects)
    quarantine.convict(table, convicted)
    quarantine.clear(table, cleared)
    for admission in waiting(gate):
        if quarantine.is_convicted(table, admission.work.fingerprint):
            refuse(gate, admission, refused_for_good())
        else:
            dequeue(admission)
            enqueue(gate, admission)
    dispatch(gate)


def overloaded(why: str, wait_s: float = 0.0) -> exceptions.Overloaded:
    """Returns the refusal of work that can't be done in time."""
    return exceptions.Overloaded(
        f"the backend server is overloaded: {why}",
        "try again later, or with a longer timeout",
        retry_after_ms=int(wait_s * 1000),
    )


def over_share(admission: Admission, wait_s: float) -> exceptions.OverShare:
    """Returns the refusal of work whose class is over its share."""
    return exceptions.OverShare(
        f"class {admission.work.request_class!r} is over its share of a full"
        " queue",
        "send fewer requests of this class, or raise its weight",
        retry_after_ms=int(wait_s * 1000),
    )


def draining() -> exceptions.Draining:
    """Returns the refusal of a closed gate."""
    return exceptions.Draining(
        "this node takes no new work",
        "send the request again; another node takes over",
        retry_after_ms=0,
    )


def refused_for_good() -> exceptions.RefusedForGood:
    """Returns the refusal of a convicted request."""
    return exceptions.RefusedForGood(
        "this request crashed a backend server while it ran alone",
        "do not send it again; report it to the operators of the service",
    )
