"""State of the local backend server, as recorded by this daemon."""

import threading
from collections.abc import Callable

import attrs

from waxwinglever_admission import bands
from waxwinglever_admission import gate as gates
from waxwinglever_admission import gate_state
from waxwinglever_assignment import fleet_view
from waxwinglever_model import clock
from waxwinglever_relay import cold_watch
from waxwinglever_relay import messages

# Requests that may be queued at the gate for each slot. A full queue of n for
# each slot delays a request by n service times. With 2, most of the slots of an
# overloaded backend server went to requests that missed their target or reached
# their deadline while they ran.
QUEUE_PER_SLOT = 1
# With overload control, at most this many requests run and wait. Each holds one
# of the 64 threads of a node for requests of other nodes, and the rest must be
# free to refuse requests at once.
MAX_QUEUED_AND_RUNNING = 56
# A backend server still gets new requests for this long after it announced
# that it drains. The state reaches the other daemons within milliseconds; the
# platform allows 2 s.
DRAIN_GRACE_S = 0.5
# Share of its cold start rate at which a cold backend server gets requests.
COLD_RATE_SHARE = 0.9
# Longest time that a request waits for admission during a cold start.
MAX_COLD_WAIT_S = 0.25
# Slots assumed before the first announcement of the backend server.
INITIAL_SLOTS = 4
# In a full queue, routes of priority r get this many times the weight of routes
# of priority r + 1.
PRIORITY_WEIGHT_FACTOR = 4.0
# A larger gap between two priorities counts as this one, which is a factor of
# 65,536, so that operators may number priorities as they like.
MAX_PRIORITY_GAP = 8
# Priorities further below the most urgent one count as equal, as weights must
# be finite.
MAX_PRIORITY_DISTANCE = 500
# A limit that changes in each answer is logged at most this often.
NOTICE_LOG_INTERVAL_S = 1.0


@attrs.frozen
class Announcement:
    """Announcement that a backend server sends about itself.

    Attributes:
      instance_id: Id of the backend server, kept across restarts.
      started_ms: When its process started, as a Unix time in ms.
      sequence: Increases with each announcement of one process.
      service: Name of its service.
      slots: Number of requests that it runs at the same time.
      draining: Whether it is about to shut down.
      cold_start_left_s: Remaining time of its cold start.
    """

    instance_id: str
    started_ms: int
    sequence: int
    service: str
    slots: int
    draining: bool
    cold_start_left_s: float


@attrs.define(eq=False)
class BackendState:
    """State of the local backend server; guarded by `lock`.

    Attributes:
      address: host:port of the backend server.
      service: Service that this node runs.
      zone: Availability zone of this node.
      publish: Called with the fields of this node's entry in the store that
        describe the backend server.
      log: Called with an event name and fields.
      now: Returns seconds of the boot clock.
      gate: Admission control for all requests to the backend server.
      boot_id: Identifies its present process, see `boot_id_of`; '' before the
        first announcement.
      instance_id: Id from its newest announcement.
      started_ms: When its present process started, as a Unix time in ms.
      sequence: Sequence number of its newest announcement.
      slots: Number of requests that it runs at the same time.
      state: State in this node's entry.
      draining_since_s: When it began to drain; infinity if it has not.
      cold_start_end_s: When its cold start ends.
      next_cold_send_s: Earliest time of the next request in the cold start.
      watch: Bounds the requests to it before it is known to be cold.
      cold_debt: Requests that it may have got while cold, before that was
        known and since then not made up for by a pause.
      last_announced_s: When it last announced itself.
      route_priorities: Priority of each route by name; 0 is the most urgent.
      overload_control: Whether overload control is in force at the gate.
      left_boot_id: Identifies a process that has left, as a previous run of
        this daemon recorded; '' if none has.
      notice: What the present process last said of itself in an answer; None
        before its first answer.
      notice_logged_s: When a change of `notice` was last logged.
    """

    address: str
    service: str
    zone: str
    publish: Callable[..., None]
    log: Callable[..., None]
    now: Callable[[], float] = clock.boottime_s
    gate: gate_state.Gate = attrs.Factory(
        lambda: gate_state.Gate(
            gate_policy(INITIAL_SLOTS, {}), clock.boottime_s
        )
    )
    boot_id: str = ""
    instance_id: str = ""
    started_ms: int = 0
    sequence: int = -1
    slots: int = INITIAL_SLOTS
    state: str = fleet_view.STARTING
    draining_since_s: float = float("inf")
    cold_start_end_s: float = float("-inf")
    next_cold_send_s: float = float("-inf")
    watch: cold_watch.ColdWatch = attrs.Factory(
        lambda self: cold_watch.ColdWatch(self.now), takes_self=True
    )
    cold_debt: int = 0
    last_announced_s: float = float("-inf")
    route_priorities: dict[str, int] = attrs.Factory(dict)
    overload_control: bool = False
    left_boot_id: str = ""
    notice: messages.ServerNotice | None = None
    notice_logged_s: float = float("-inf")
    lock: threading.Lock = attrs.Factory(threading.Lock)


def gate_policy(
    slots: int,
    route_priorities: dict[str, int],
    overload_control: bool = False,
) -> gate_state.Policy:
    """Returns the gate's policy for the slots and the route priorities."""
    band_settings = None
    queue_limit = slots * QUEUE_PER_SLOT
    if overload_control:
        band_settings = bands.Settings()
        queue_limit = max(
            queue_limit,
            min(
                slots * band_settings.queue_per_slot,
                MAX_QUEUED_AND_RUNNING - slots,
            ),
        )
    return gate_state.Policy(
        slots=slots,
        queue_limit=queue_limit,
        cold_start_slots=slots,
        cold_start_s=0.0,
        weights=priority_weights(route_priorities),
        band_settings=band_settings,
    )


def priority_weights(route_priorities: dict[str, int]) -> dict[str, float]:
    """Returns the weight of each route by its priority; the lowest has 1."""
    distances: dict[int, int] = {}
    distance = 0
    before = None
    for priority in sorted(set(route_priorities.values())):
        if before is not None:
            distance += min(priority - before, MAX_PRIORITY_GAP)
        distances[priority] = min(distance, MAX_PRIORITY_DISTANCE)
        before = priority
    lowest = max(distances.values(), default=0)
    return {
        name: PRIORITY_WEIGHT_FACTOR ** (lowest - distances[priority])
        for name, priority in route_priorities.items()
    }


def set_route_priorities(
    backend: BackendState,
    route_priorities: dict[str, int],
    overload_control: bool = False,
) -> None:
    """Sets the route priorities and updates the gate if anything changed.

    Args:
      backend: The state of the backend server.
      route_priorities: Priority of each route by name.
      overload_control: Whether overload control is in force.
    """
    with backend.lock:
        if (
            route_priorities != backend.route_priorities
            or overload_control != backend.overload_control
        ):
            backend.route_priorities = dict(route_priorities)
            backend.overload_control = overload_control
            set_gate_policy(backend)


def set_gate_policy(backend: BackendState) -> None:
    """Updates the policy of the gate; the caller holds the lock."""
    gates.set_policy(
        backend.gate,
        gate_policy(
            backend.slots, backend.route_priorities, backend.overload_control
        ),
    )


def boot_id_of(instance_id: str, started_ms: int) -> str:
    """Returns the id of one process of a backend server."""
    return f"{instance_id}@{started_ms}"


def apply_announcement(
    backend: BackendState, announcement: Announcement
) -> bool:
    """Updates the state from an announcement of the backend server.

    Returns:
      Whether it was applied; False if it is older than the newest one known.
    """
    with backend.lock:
        boot_id = boot_id_of(announcement.instance_id, announcement.started_ms)
        if announcement.started_ms < backend.started_ms:
            return False
        if (
            boot_id == backend.boot_id
            and announcement.sequence <= backend.sequence
        ):
            return False
        now_s = backend.now()
        backend.last_announced_s = now_s
        backend.sequence = announcement.sequence
        if boot_id != backend.boot_id:
            reset_for_boot(backend, announcement, boot_id)
            drain_if_left(backend)
        if announcement.slots != backend.slots:
            backend.slots = announcement.slots
            set_gate_policy(backend)
        if announcement.cold_start_left_s > 0:
            start_cold(backend, announcement.cold_start_left_s, "announced")
        gates.record_boot_id(backend.gate, boot_id)
        if announcement.draining:
            start_draining(backend, "announced")
        elif backend.state != fleet_view.DRAINING:
            set_state(backend, fleet_view.READY, "announced")
        publish(backend)
        return True


def reset_for_boot(
    backend: BackendState, announcement: Announcement, boot_id: str
) -> None:
    """Resets the state for a new process; the caller holds the lock."""
    backend.log(
        "backend-started",
        life=boot_id,
        before=backend.boot_id,
        cold_s=round(announcement.cold_start_left_s, 3),
        slots=announcement.slots,
    )
    backend.boot_id = boot_id
    backend.instance_id = announcement.instance_id
    backend.started_ms = announcement.started_ms
    backend.state = fleet_view.DOWN
    backend.draining_since_s = float("inf")
    backend.notice = None
    gates.set_rate_limit(backend.gate, None)


def record_cold(backend: BackendState, instance_id: str, cold_s: float) -> None:
    """Records that the backend server has said that it is cold.

    Args:
      backend: The state of the backend server.
      instance_id: Id of the backend server that was asked.
      cold_s: For how long it stays cold.
    """
    with backend.lock:
        if instance_id == backend.instance_id and cold_s > 0:
            start_cold(backend, cold_s, "checked")
            publish(backend)


def start_cold(backend: BackendState, cold_s: float, reason: str) -> None:
    """Starts or extends the cold time; the caller holds the lock."""
    now_s = backend.now()
    if now_s >= backend.cold_start_end_s:
        with backend.watch.changed:
            backend.cold_debt = cold_watch.unconfirmed_sends(backend.watch)
        backend.log(
            "backend-cold",
            life=backend.boot_id,
            cold_s=round(cold_s, 3),
            unconfirmed=backend.cold_debt,
            why=reason,
        )
    backend.cold_start_end_s = max(backend.cold_start_end_s, now_s + cold_s)


def apply_notice(
    backend: BackendState, instance_id: str, notice: messages.ServerNotice
) -> None:
    """Obeys what the backend server says of itself in an answer.

    Args:
      backend: The state of the backend server.
      instance_id: Id of the backend server that answered.
      notice: What it said; its boot id is not used.
    """
    with backend.lock:
        if instance_id != backend.instance_id:
            return
        obey_notice(backend, attrs.evolve(notice, boot_id=backend.boot_id))


def adopt_notice(backend: BackendState, notice: messages.ServerNotice) -> None:
    """Obeys what another daemon has heard, before the first answer here.

    A daemon that restarts beside a living server would otherwise send too much
    to it, or send to it while it leaves.
    """
    with backend.lock:
        if backend.notice is None and notice.boot_id == backend.boot_id:
            obey_notice(backend, notice)
            if notice.leaving:
                # The other daemon heard it earlier; no grace is left.
                backend.draining_since_s = float("-inf")


def obey_notice(backend: BackendState, notice: messages.ServerNotice) -> None:
    """Obeys a notice of the present process; the caller holds the lock."""
    before = backend.notice
    if notice.unreadable and before is not None:
        notice = attrs.evolve(notice, rate_limit_per_s=before.rate_limit_per_s)
    if before is not None and before.leaving:
        # An answer from before it said so may be handled after the one with it.
        notice = attrs.evolve(notice, leaving=True)
    if notice == before:
        return
    backend.notice = notice
    log_notice(backend, before)
    gates.set_rate_limit(backend.gate, notice.rate_limit_per_s)
    if notice.leaving:
        start_draining(backend, "said in an answer")
        publish(backend)


def log_notice(
    backend: BackendState, before: messages.ServerNotice | None
) -> None:
    """Logs a change of the notice; the caller holds the lock."""
    notice = backend.notice
    known = before or messages.ServerNotice(notice.boot_id)
    is_limited = notice.rate_limit_per_s is not None
    was_limited = known.rate_limit_per_s is not None
    is_new = (is_limited, notice.leaving) != (was_limited, known.leaving)
    now_s = backend.now()
    if attrs.evolve(known, boot_id=notice.boot_id) == notice or (
        not is_new and now_s - backend.notice_logged_s < NOTICE_LOG_INTERVAL_S
    ):
        return
    backend.notice_logged_s = now_s
    backend.log(
        "backend-notice",
        life=backend.boot_id,
        limit_per_s=notice.rate_limit_per_s,
        before_per_s=known.rate_limit_per_s,
        leaving=notice.leaving,
        unreadable=notice.unreadable,
    )


def adopt_left(backend: BackendState, boot_id: str) -> None:
    """Records that a process has left, before this daemon was started.

    Its announcements from before may still arrive, and say that it is ready.
    """
    with backend.lock:
        backend.left_boot_id = boot_id
        if backend.boot_id == boot_id:
            drain_if_left(backend)
            publish(backend)


def drain_if_left(backend: BackendState) -> None:
    """Ends requests to a process that has left; the caller holds the lock."""
    if backend.left_boot_id and backend.boot_id == backend.left_boot_id:
        start_draining(backend, "left before the daemon started")
        # The grace has passed while the daemon was down.
        backend.draining_since_s = float("-inf")


def deregister(backend: BackendState, instance_id: str) -> None:
    """Starts draining if the present backend server deregisters itself."""
    with backend.lock:
        if instance_id == backend.instance_id:
            start_draining(backend, "deregistered")
            publish(backend)


def start_draining(backend: BackendState, reason: str) -> None:
    """Sets the state to draining; the caller holds the lock."""
    if backend.state != fleet_view.DRAINING:
        backend.draining_since_s = backend.now()
        set_state(backend, fleet_view.DRAINING, reason)


def set_state(backend: BackendState, state: str, reason: str) -> None:
    """Changes the state and logs the change; the caller holds the lock."""
    if state != backend.state:
        backend.log(
            "backend-state",
            state=state,
            before=backend.state,
            why=reason,
            life=backend.boot_id,
            heard_age_s=round(backend.now() - backend.last_announced_s, 3),
        )
        backend.state = state


def end_startup_wait(backend: BackendState) -> None:
    """Marks the backend server down if it has not announced itself yet."""
    with backend.lock:
        if backend.state == fleet_view.STARTING:
            set_state(backend, fleet_view.DOWN, "no announcement since startup")
            publish(backend)


def mark_down(backend: BackendState, reason: str) -> None:
    """Records that the backend server accepts no connections."""
    with backend.lock:
        gates.record_connection_failure(backend.gate)
        if backend.state == fleet_view.READY:
            set_state(backend, fleet_view.DOWN, reason)
            publish(backend)


def mark_up(backend: BackendState) -> None:
    """Marks the backend server ready if its present process was down."""
    with backend.lock:
        if backend.state == fleet_view.DOWN and backend.boot_id:
            set_state(backend, fleet_view.READY, "answers")
            gates.record_boot_id(backend.gate, backend.boot_id)
            publish(backend)


def is_cold(backend: BackendState) -> bool:
    """Returns whether the backend server is in a cold start."""
    return backend.now() < backend.cold_start_end_s


def publish(backend: BackendState) -> None:
    """Publishes the state to the other daemons; the caller holds the lock."""
    backend.publish(
        instance=backend.boot_id,
        instance_id=backend.instance_id,
        slots=backend.slots,
        state=backend.state,
        cold=is_cold(backend),
    )


def reserve_cold_send(backend: BackendState, rate: float) -> float | None:
    """Reserves a send time for a request during a cold start.

    Args:
      backend: The state of the backend server.
      rate: Requests a second that it can handle during its cold start.

    Returns:
      Seconds until the request may be sent, 0 if there is no cold start, or
      None if that would be longer than MAX_COLD_WAIT_S.
    """
    with backend.lock:
        now_s = backend.now()
        if now_s >= backend.cold_start_end_s:
            return 0.0
        rate_per_s = max(1.0, rate * COLD_RATE_SHARE)
        if backend.cold_debt:
            # What it got in the second before counts in the same limit.
            paid_s = now_s - cold_watch.WINDOW_S
            paid_s += backend.cold_debt / rate_per_s
            backend.next_cold_send_s = max(backend.next_cold_send_s, paid_s)
            backend.cold_debt = 0
        send_s = max(now_s, backend.next_cold_send_s)
        if send_s - now_s > MAX_COLD_WAIT_S:
            return None
        backend.next_cold_send_s = send_s + 1.0 / rate_per_s
        return send_s - now_s
