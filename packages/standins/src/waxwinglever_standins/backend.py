"""State and decisions of the stand-in backend server."""

import collections
import os
import random
import threading
from collections.abc import Callable

import attrs

from waxwinglever_backend import calls
from waxwinglever_model import clock
from waxwinglever_model import identifiers

READY = "ready"
DRAINING = "draining"
SHED = "shed"
FENCE = "fence"
DONE = "done"
TIMEOUT = "timeout"
CANCELLED = "cancelled"
CRASHED = "crashed"
CRASH_BYTES = b"CRASH-THE-SERVER"
CRASH_STATUS = 70
# Bounds the memory of a long run; a bench reads the log more often.
MAX_LOG = 100_000
MAX_LOADS = 10_000
# Service times vary by this share, so that runs don't end in step.
SERVICE_SPREAD = 0.1
NON_NEGATIVE = attrs.validators.ge(0)


@attrs.frozen
class Settings:
    """What the options of the program say.

    Attributes:
      slots: Orders that run at once; more are shed.
      service_s: Time that an order takes.
      checks_fences: Whether to refuse fences of an earlier owner.
      cold_start_s: Length of the cold start after the boot.
      cold_slots: Orders that may run at once during the cold start.
      cold_crash: Whether more of them crash the server; else they are shed.
    """

    slots: int = attrs.field(default=10, validator=attrs.validators.ge(1))
    service_s: float = attrs.field(default=0.005, validator=NON_NEGATIVE)
    checks_fences: bool = True
    cold_start_s: float = attrs.field(default=0.0, validator=NON_NEGATIVE)
    cold_slots: int = attrs.field(default=2, validator=NON_NEGATIVE)
    cold_crash: bool = False


@attrs.frozen
class Faults:
    """The fault switches.

    Attributes:
      slow_factor: Multiplies the service time.
      freeze_s: Seconds for which the server does nothing, from the moment
        when the switch is set.
      load_lag_s: Age of the load that is reported.
      load_lies: Whether the reported load is 0.
    """

    slow_factor: float = attrs.field(default=1.0, validator=NON_NEGATIVE)
    freeze_s: float = attrs.field(default=0.0, validator=NON_NEGATIVE)
    load_lag_s: float = attrs.field(default=0.0, validator=NON_NEGATIVE)
    load_lies: bool = attrs.field(
        default=False, validator=attrs.validators.instance_of(bool)
    )


@attrs.frozen
class Work:
    """What an order asks for, apart from its encoding.

    Attributes:
      call_id: Identifies this try.
      request_id: The caller's request id, or empty.
      key: The key, or empty.
      body: The whole body.
      timeout_s: Time after which the work stops, or None for never.
      service_s: Service time of this order, or None for the usual one.
      fence: The fence, or None.
    """

    call_id: str
    request_id: str = ""
    key: str = ""
    body: bytes = b""
    timeout_s: float | None = None
    service_s: float | None = None
    fence: calls.Fence | None = None


@attrs.define(eq=False)
class Run:
    """An order that runs or has run; times in nanoseconds of boottime.

    Attributes:
      sequence: Number of the log entry, from 1, set at the end; 0 before.
      work: The order.
      start_ns: When it began.
      end_ns: When it ended, or 0.
      end: DONE, TIMEOUT, CANCELLED or CRASHED; empty while it runs.
      stop: Set by a cancellation.
    """

    work: Work
    start_ns: int
    sequence: int = 0
    end_ns: int = 0
    end: str = ""
    stop: threading.Event = attrs.field(factory=threading.Event)


def crash_process() -> None:
    """Ends the process at once, as a crash does."""
    os._exit(CRASH_STATUS)  # pylint: disable=protected-access


@attrs.define(eq=False)
class Backend:
    """State of the server; `lock` guards all of it.

    Attributes:
      settings: The options.
      crash: Ends the process. Tests put in a function that returns; the order
        then ends with CRASHED.
      rng: Varies the service times.
      boot_id: Random id of this process lifetime.
      boot_s: When the server started.
      draining: Whether new orders are refused.
      frozen_until_s: End of the freeze.
      epochs: Highest epoch seen, by slice start.
      running: The orders that run.
      log: The orders that ended, by sequence.
      loads: Times and numbers of running orders, for a lagging load.
      thawed: Notified when the freeze is changed; uses `lock`.
    """

    settings: Settings = attrs.field(factory=Settings)
    crash: Callable[[], None] = crash_process
    rng: random.Random = attrs.field(factory=random.Random)
    boot_id: str = attrs.field(factory=identifiers.new_id)
    boot_s: float = attrs.field(factory=clock.boottime_s)
    faults: Faults = attrs.field(factory=Faults)
    draining: bool = False
    frozen_until_s: float = 0.0
    epochs: dict[int, int] = attrs.field(factory=dict)
    running: list[Run] = attrs.field(factory=list)
    last_sequence: int = 0
    log: collections.deque[Run] = attrs.field(
        factory=lambda: collections.deque(maxlen=MAX_LOG)
    )
    loads: collections.deque[tuple[float, int]] = attrs.field(
        factory=lambda: collections.deque(maxlen=MAX_LOADS)
    )
    lock: threading.Lock = attrs.field(factory=threading.Lock)
    thawed: threading.Condition = attrs.field(
        default=attrs.Factory(
            lambda self: threading.Condition(self.lock), takes_self=True
        )
    )


class Refused(Exception):
    """The order was not run.

    Attributes:
      reason: SHED, DRAINING or FENCE.
    """

    def __init__(self, reason: str):
        super().__init__(reason)
        self.reason = reason


def wait_while_frozen(backend: Backend) -> None:
    """Blocks until the freeze is over or its switch is set back."""
    with backend.lock:
        while (left_s := backend.frozen_until_s - clock.boottime_s()) > 0:
            backend.thawed.wait(left_s)


def run(backend: Backend, work: Work) -> Run:
    """Runs an order in the calling thread.

    Raises:
      Refused: The order was not run.
    """
    started_s = clock.boottime_s()
    begun = begin(backend, work)
    if begun.end != CRASHED:
        with backend.lock:
            service_s = service_time(backend, work)
        limit_s = service_s
        if work.timeout_s is not None:
            left_s = started_s + work.timeout_s - clock.boottime_s()
            limit_s = max(0.0, min(service_s, left_s))
        if begun.stop.wait(limit_s):
            begun.end = CANCELLED
        else:
            begun.end = DONE if limit_s == service_s else TIMEOUT
    wait_while_frozen(backend)
    finish(backend, begun)
    return begun


def begin(backend: Backend, work: Work) -> Run:
    """Lets an order in; a crash is decided here too.

    Raises:
      Refused: The order was not run.
    """
    with backend.lock:
        if backend.draining:
            raise Refused(DRAINING)
        if backend.settings.checks_fences and work.fence is not None:
            check_fence(backend, work.fence)
        count = len(backend.running)
        if count >= backend.settings.slots:
            raise Refused(SHED)
        crashes = CRASH_BYTES in work.body
        if is_cold(backend) and count >= backend.settings.cold_slots:
            if not backend.settings.cold_crash:
                raise Refused(SHED)
            crashes = True
        begun = Run(work, clock.boottime_ns())
        backend.running.append(begun)
        note_load(backend)
    if crashes:
        backend.crash()
        begun.end = CRASHED
    return begun


def finish(backend: Backend, ended: Run) -> None:
    """Moves an order from the running ones to the log."""
    with backend.lock:
        backend.running.remove(ended)
        backend.last_sequence += 1
        ended.sequence = backend.last_sequence
        ended.end_ns = clock.boottime_ns()
        backend.log.append(ended)
        note_load(backend)


def check_fence(backend: Backend, fence: calls.Fence) -> None:
    """Raises Refused for a lower epoch or an expired lease."""
    highest = backend.epochs.get(fence.start, 0)
    if fence.epoch < highest or fence.expires_ns <= clock.boottime_ns():
        raise Refused(FENCE)
    backend.epochs[fence.start] = fence.epoch


def is_cold(backend: Backend) -> bool:
    """Returns whether the cold start goes on."""
    age_s = clock.boottime_s() - backend.boot_s
    return age_s < backend.settings.cold_start_s


def service_time(backend: Backend, work: Work) -> float:
    """Returns the seconds that an order takes."""
    service_s = work.service_s
    if service_s is None:
        spread = backend.rng.uniform(1 - SERVICE_SPREAD, 1 + SERVICE_SPREAD)
        service_s = backend.settings.service_s * spread
    return service_s * backend.faults.slow_factor


def cancel(backend: Backend, call_id: str) -> int:
    """Stops the orders with a call id; returns their number."""
    with backend.lock:
        found = [run for run in backend.running if run.work.call_id == call_id]
    for item in found:
        item.stop.set()
    return len(found)


def stop_all(backend: Backend) -> None:
    """Refuses new orders and stops the running ones."""
    with backend.lock:
        backend.draining = True
        backend.frozen_until_s = 0.0
        backend.thawed.notify_all()
        for item in backend.running:
            item.stop.set()


def note_load(backend: Backend) -> None:
    """Records the number of running orders."""
    backend.loads.append((clock.boottime_s(), len(backend.running)))


def reported_load(backend: Backend) -> int:
    """Returns the number of running orders, late or false under faults."""
    with backend.lock:
        if backend.faults.load_lies:
            return 0
        seen_s = clock.boottime_s() - backend.faults.load_lag_s
        for noted_s, count in reversed(backend.loads):
            if noted_s <= seen_s:
                return count
        return 0


def state_of(backend: Backend) -> str:
    """Returns READY or DRAINING; it listens only once it has started."""
    return DRAINING if backend.draining else READY


def set_faults(backend: Backend, changed: dict) -> None:
    """Sets the fault switches that `changed` names.

    Raises:
      TypeError: A switch is unknown or has a wrong type.
      ValueError: A switch has a wrong value.
    """
    with backend.lock:
        backend.faults = attrs.evolve(backend.faults, **changed)
        if "freeze_s" in changed:
            end_s = clock.boottime_s() + backend.faults.freeze_s
            backend.frozen_until_s = end_s
            backend.thawed.notify_all()


def log_after(backend: Backend, sequence: int) -> tuple[list[Run], list[Run]]:
    """Returns the ended orders after a sequence number, and the running."""
    with backend.lock:
        ended = [item for item in backend.log if item.sequence > sequence]
        return ended, list(backend.running)
