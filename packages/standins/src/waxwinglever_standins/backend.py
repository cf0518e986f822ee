"""State and logic of the stand-in backend server, independent of HTTP."""

import collections
import os
import random
import threading
from collections.abc import Callable

import attrs

from waxwinglever_backend import client
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
CRASH_MARKER = b"CRASH-THE-SERVER"
CRASH_STATUS = 70
# Bounds memory use in long runs. A bench reads the log before it is full.
MAX_LOG_ENTRIES = 100_000
MAX_LOAD_SAMPLES = 10_000
# Relative variation of service times, so that requests don't end in lockstep.
SERVICE_TIME_JITTER = 0.1
NON_NEGATIVE = attrs.validators.ge(0)


@attrs.frozen
class Settings:
    """Settings of the server, taken from its command-line options.

    Attributes:
      slots: Requests that run at once; further ones are shed.
      service_s: Mean service time of a request, in seconds.
      checks_fences: Whether to refuse requests with a stale or expired fencing
        token.
      cold_start_s: Duration of the cold start after the server starts.
      cold_slots: Requests that may run at once during the cold start.
      cold_crash: Whether a request beyond cold_slots crashes the server during
        the cold start; otherwise it is shed.
    """

    slots: int = attrs.field(default=10, validator=attrs.validators.ge(1))
    service_s: float = attrs.field(default=0.005, validator=NON_NEGATIVE)
    checks_fences: bool = True
    cold_start_s: float = attrs.field(default=0.0, validator=NON_NEGATIVE)
    cold_slots: int = attrs.field(default=2, validator=NON_NEGATIVE)
    cold_crash: bool = False


@attrs.frozen
class Faults:
    """Faults that the server injects.

    Attributes:
      slow_factor: Multiplies the service time.
      freeze_s: Seconds for which the server does nothing, counted from when
        this fault is set.
      load_lag_s: Age of the reported load, in seconds.
      load_lies: Whether the server always reports a load of 0.
    """

    slow_factor: float = attrs.field(default=1.0, validator=NON_NEGATIVE)
    freeze_s: float = attrs.field(default=0.0, validator=NON_NEGATIVE)
    load_lag_s: float = attrs.field(default=0.0, validator=NON_NEGATIVE)
    load_lies: bool = attrs.field(
        default=False, validator=attrs.validators.instance_of(bool)
    )


@attrs.frozen
class BackendCall:
    """A request to run, decoded from HTTP.

    Attributes:
      call_id: Identifies this attempt.
      request_id: The caller's request id, or empty.
      key: The request's key, or empty.
      body: The whole body.
      timeout_s: Seconds after which execution stops, or None for no limit.
      service_s: Service time in seconds, or None for the configured one.
      fence: The fencing token, or None.
    """

    call_id: str
    request_id: str = ""
    key: str = ""
    body: bytes = b""
    timeout_s: float | None = None
    service_s: float | None = None
    fence: client.Fence | None = None


@attrs.define(eq=False)
class Execution:
    """A running or ended request; times are CLOCK_BOOTTIME nanoseconds.

    Attributes:
      sequence: Number of the log entry, from 1; 0 until the request ends.
      call: The request.
      start_ns: When it started.
      end_ns: When it ended, or 0.
      end: DONE, TIMEOUT, CANCELLED or CRASHED; empty while it runs.
      stop: Set to cancel the request.
    """

    call: BackendCall
    start_ns: int
    sequence: int = 0
    end_ns: int = 0
    end: str = ""
    stop: threading.Event = attrs.field(factory=threading.Event)


def crash_process() -> None:
    """Ends the process at once, without cleanup."""
    os._exit(CRASH_STATUS)  # pylint: disable=protected-access


@attrs.define(eq=False)
class Backend:
    """State of the server; `lock` guards all of it.

    Attributes:
      settings: Settings from the command line.
      crash: Ends the process. If a test passes a function that returns, the
        request ends with CRASHED.
      rng: Source of the variation of service times.
      boot_id: Random id of this process.
      boot_s: When the server started.
      faults: The active faults.
      draining: Whether new requests are refused.
      frozen_until_s: When the freeze ends.
      highest_epochs: Highest epoch received, by start of the slice.
      running: The running requests.
      last_sequence: Sequence number of the newest log entry.
      log: The ended requests, by sequence number.
      load_samples: Times and numbers of running requests, for delayed load
        reports.
      freeze_changed: Notified when the freeze changes; uses `lock`.
    """

    settings: Settings = attrs.field(factory=Settings)
    crash: Callable[[], None] = crash_process
    rng: random.Random = attrs.field(factory=random.Random)
    boot_id: str = attrs.field(factory=identifiers.new_id)
    boot_s: float = attrs.field(factory=clock.boottime_s)
    faults: Faults = attrs.field(factory=Faults)
    draining: bool = False
    frozen_until_s: float = 0.0
    highest_epochs: dict[int, int] = attrs.field(factory=dict)
    running: list[Execution] = attrs.field(factory=list)
    last_sequence: int = 0
    log: collections.deque[Execution] = attrs.field(
        factory=lambda: collections.deque(maxlen=MAX_LOG_ENTRIES)
    )
    load_samples: collections.deque[tuple[float, int]] = attrs.field(
        factory=lambda: collections.deque(maxlen=MAX_LOAD_SAMPLES)
    )
    lock: threading.Lock = attrs.field(factory=threading.Lock)
    freeze_changed: threading.Condition = attrs.field(
        default=attrs.Factory(
            lambda self: threading.Condition(self.lock), takes_self=True
        )
    )


class Refused(Exception):
    """The request was refused and not run.

    Attributes:
      reason: SHED, DRAINING or FENCE.
    """

    def __init__(self, reason: str):
        super().__init__(reason)
        self.reason = reason


def wait_while_frozen(backend: Backend) -> None:
    """Blocks until the freeze ends or is cleared."""
    with backend.lock:
        while (left_s := backend.frozen_until_s - clock.boottime_s()) > 0:
            backend.freeze_changed.wait(left_s)


def execute(backend: Backend, call: BackendCall) -> Execution:
    """Runs a request in the calling thread and returns its execution.

    Raises:
      Refused: The request was refused and not run.
    """
    started_s = clock.boottime_s()
    execution = start(backend, call)
    if execution.end != CRASHED:
        with backend.lock:
            service_s = service_time(backend, call)
        limit_s = service_s
        if call.timeout_s is not None:
            left_s = started_s + call.timeout_s - clock.boottime_s()
            limit_s = max(0.0, min(service_s, left_s))
        if execution.stop.wait(limit_s):
            execution.end = CANCELLED
        else:
            execution.end = DONE if limit_s == service_s else TIMEOUT
    wait_while_frozen(backend)
    finish(backend, execution)
    return execution


def start(backend: Backend, call: BackendCall) -> Execution:
    """Admits a request and returns its execution.

    Crashes the server if the body contains CRASH_MARKER, or if there are too
    many requests in a cold start with `cold_crash`.

    Raises:
      Refused: The request was refused and not run.
    """
    with backend.lock:
        if backend.draining:
            raise Refused(DRAINING)
        if backend.settings.checks_fences and call.fence is not None:
            check_fence(backend, call.fence)
        count = len(backend.running)
        if count >= backend.settings.slots:
            raise Refused(SHED)
        crashes = CRASH_MARKER in call.body
        if in_cold_start(backend) and count >= backend.settings.cold_slots:
            if not backend.settings.cold_crash:
                raise Refused(SHED)
            crashes = True
        execution = Execution(call, clock.boottime_ns())
        backend.running.append(execution)
        record_load(backend)
    if crashes:
        backend.crash()
        execution.end = CRASHED
    return execution


def finish(backend: Backend, execution: Execution) -> None:
    """Records the end of a request and moves it to the log."""
    with backend.lock:
        backend.running.remove(execution)
        backend.last_sequence += 1
        execution.sequence = backend.last_sequence
        execution.end_ns = clock.boottime_ns()
        backend.log.append(execution)
        record_load(backend)


def check_fence(backend: Backend, fence: client.Fence) -> None:
    """Records the epoch of a slice.

    Raises:
      Refused: The epoch is lower than the highest one received, or the lease
        has expired.
    """
    highest = backend.highest_epochs.get(fence.start, 0)
    if fence.epoch < highest or fence.expires_ns <= clock.boottime_ns():
        raise Refused(FENCE)
    backend.highest_epochs[fence.start] = fence.epoch


def in_cold_start(backend: Backend) -> bool:
    """Returns whether the server is still in its cold start."""
    age_s = clock.boottime_s() - backend.boot_s
    return age_s < backend.settings.cold_start_s


def service_time(backend: Backend, call: BackendCall) -> float:
    """Returns the service time of a request in seconds."""
    service_s = call.service_s
    if service_s is None:
        jitter = backend.rng.uniform(
            1 - SERVICE_TIME_JITTER, 1 + SERVICE_TIME_JITTER
        )
        service_s = backend.settings.service_s * jitter
    return service_s * backend.faults.slow_factor


def cancel(backend: Backend, call_id: str) -> int:
    """Cancels the running requests with a call id; returns their number."""
    with backend.lock:
        matching = [
            execution
            for execution in backend.running
            if execution.call.call_id == call_id
        ]
    for execution in matching:
        execution.stop.set()
    return len(matching)


def shut_down(backend: Backend) -> None:
    """Refuses new requests, ends the freeze and cancels running requests."""
    with backend.lock:
        backend.draining = True
        backend.frozen_until_s = 0.0
        backend.freeze_changed.notify_all()
        for execution in backend.running:
            execution.stop.set()


def record_load(backend: Backend) -> None:
    """Records the number of running requests; the caller holds the lock."""
    backend.load_samples.append((clock.boottime_s(), len(backend.running)))


def reported_load(backend: Backend) -> int:
    """Returns the number of running requests, altered by the load faults."""
    with backend.lock:
        if backend.faults.load_lies:
            return 0
        reported_at_s = clock.boottime_s() - backend.faults.load_lag_s
        for recorded_s, count in reversed(backend.load_samples):
            if recorded_s <= reported_at_s:
                return count
        return 0


def get_state(backend: Backend) -> str:
    """Returns READY or DRAINING.

    There is no state for startup: the server listens only once it has started.
    """
    return DRAINING if backend.draining else READY


def set_faults(backend: Backend, changed: dict) -> None:
    """Sets the faults that `changed` names; the others stay as they are.

    Raises:
      TypeError: A fault is unknown or its value has the wrong type.
      ValueError: The value of a fault is out of range.
    """
    with backend.lock:
        backend.faults = attrs.evolve(backend.faults, **changed)
        if "freeze_s" in changed:
            end_s = clock.boottime_s() + backend.faults.freeze_s
            backend.frozen_until_s = end_s
            backend.freeze_changed.notify_all()


def log_after(
    backend: Backend, sequence: int
) -> tuple[list[Execution], list[Execution]]:
    """Returns the executions ended after `sequence`, and the running ones."""
    with backend.lock:
        ended = [
            execution
            for execution in backend.log
            if execution.sequence > sequence
        ]
        return ended, list(backend.running)
