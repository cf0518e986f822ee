"""The state of a gate; `gate` and `dispatching` change it."""

import collections
import threading
from collections.abc import Callable

import attrs

from waxwinglever_admission import bands
from waxwinglever_admission import quarantine
from waxwinglever_admission import queueing
from waxwinglever_admission import rate_limits
from waxwinglever_admission import returns
from waxwinglever_model import clock
from waxwinglever_model import exceptions

# Number of boot ids to remember of replaced processes and of counted crashes.
# Late responses and reports only name recent ones.
MAX_BOOT_IDS = 16
# More than the requests that were in flight at one crash.
MAX_LOST_RUNS = 64

WAITING = "waiting"
RUNNING = "running"
ENDED = "ended"


def validate_weights(_, attribute: attrs.Attribute, value: dict) -> None:
    """Rejects weights that would give a class no share."""
    if not all(weight > 0 for weight in value.values()):
        raise ValueError(f"{attribute.name} must be above 0: {value}")


@attrs.frozen
class Policy:
    """The configured limits of a gate.

    Attributes:
      slots: Requests that the backend server runs at a time.
      queue_limit: Maximum number of waiting requests.
      cold_start_slots: Limit at the beginning of a cold start.
      cold_start_s: Time in which the limit rises to `slots`.
      weights: Relative share of each request class.
      band_settings: Settings of overload control; None if it is not in force.
    """

    slots: int = attrs.field(validator=attrs.validators.ge(1))
    queue_limit: int = attrs.field(validator=attrs.validators.ge(0))
    cold_start_slots: int = attrs.field(validator=attrs.validators.ge(1))
    cold_start_s: float = attrs.field(validator=attrs.validators.ge(0))
    weights: dict[str, float] = attrs.field(
        factory=dict, validator=validate_weights
    )
    band_settings: bands.Settings | None = None

    def __attrs_post_init__(self):
        if self.cold_start_slots > self.slots:
            raise ValueError(
                f"cold_start_slots {self.cold_start_slots} is over slots"
                f" {self.slots}"
            )


@attrs.frozen
class RequestInfo:
    """The properties of a request that the gate uses.

    Attributes:
      request_class: Name of its class.
      deadline_s: When the caller stops waiting.
      fingerprint: Identifies the request; the same for all attempts.
      known_chain: Chain of crashes of which its sender knows, see `quarantine`.
      target_s: When the caller should have the response; None if that is the
        deadline. Only overload control uses it and the priority.
      priority: Its priority; 0 is the most urgent.
    """

    request_class: str
    deadline_s: float
    fingerprint: str
    known_chain: int = 0
    target_s: float | None = None
    priority: int = 0


@attrs.frozen
class CrashVerdict:
    """The outcome of a crash, to be sent to the service's other daemons.

    Attributes:
      suspects: Fingerprints of requests that may have caused the crash.
      convicted: Fingerprints that are refused permanently from now on.
    """

    suspects: tuple[str, ...] = ()
    convicted: tuple[str, ...] = ()


@attrs.define(eq=False)
class Admission:
    """The state of one request at the gate.

    Attributes:
      request_info: The request.
      request_class: Its class, or OTHER_CLASS if that has no weight.
      latest_start_s: Time from which it is too late to start the request.
      state: WAITING, RUNNING or ENDED.
      woken: Set when the state changed or its thread must poll again.
      queue: The queue in which it waits.
      entry: Its entry in that queue.
      place: Its place in the bands, if it came under overload control. It is
        kept when the request gets its slot.
      target_s: When its caller should have the response, over all attempts, or
        None if it is not known.
      holds_level: Whether it counts as running in the bands.
      refusal: The error to raise if it was refused while it waited.
      boot_id: Boot id of the backend server at dispatch.
      dispatched_s: When it got its slot.
      known_chain: Its chain of crashes that was known at dispatch.
      crashed: Whether the backend server crashed while it ran.
      cleared: Whether it was a suspect and completed. The caller then reports
        this to the service's other daemons.
    """

    request_info: RequestInfo
    request_class: str
    latest_start_s: float
    state: str = WAITING
    woken: threading.Event = attrs.Factory(threading.Event)
    queue: queueing.Queue | None = None
    entry: queueing.QueueEntry | None = None
    place: bands.Place | None = None
    target_s: float | None = None
    holds_level: bool = False
    refusal: exceptions.Refusal | None = None
    boot_id: str | None = None
    dispatched_s: float = 0.0
    known_chain: int = 0
    crashed: bool = False
    cleared: bool = False


@attrs.frozen
class Snapshot:
    """A copy of a gate's state for status pages and metrics."""

    limit: int
    rate_limit_per_s: float
    in_flight: int
    waiting: int
    waiting_suspects: int
    suspects: int
    convicted: int
    probing: bool
    draining: bool
    service_s: float
    waiting_late: int = 0
    shed: dict[tuple[str, str], int] = attrs.Factory(dict)
    return_counts: dict[str, int] = attrs.Factory(dict)


@attrs.define(eq=False)
class Gate:
    """The state of the gate; the functions of this module change it.

    Attributes:
      policy: The configured limits.
      now: The clock.
      boot_id: The backend server's boot id, or None if none was received.
      ramp_start_s: When the current cold start began.
      probing: Whether a connection failed and no boot id was received since.
      draining: Whether new requests are refused.
      running: Requests in flight, oldest first.
      exclusive: The running suspect; nothing else runs beside it.
      ordinary: Waiting requests that are no suspects, without overload control.
      banded: The same with overload control.
      promises: Return times of refused callers under overload control.
      shed: Requests refused under overload control, by reason and class.
      suspects: Waiting suspects.
      ordinary_left: Ordinary dispatches before the next suspect's turn.
      hold_end_s: When a suspect's turn ends if it has not started by then.
      timer_waiter: The waiting request whose thread wakes at `timer_s`.
      timer_s: When the limit rises next or the hold ends.
      service_s: Moving average of the service time of each class.
      mean_service_s: Moving average of the service time of all requests.
      rate_limit: Limit on the requests a second that the server has named.
      fingerprints: Fingerprints of suspect and convicted requests.
      past_boot_ids: Boot ids that were replaced.
      crashed_boot_ids: Boot ids whose crash was counted.
      lost_runs: Runs under the current boot id whose response was lost, with
        the time of the loss, while no later run was answered.
      report_evidence: Called under the lock with the evidence of each crash,
        and of suspects that complete.
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
    exclusive: Admission | None = None
    ordinary: queueing.Queue = attrs.Factory(
        lambda self: queueing.Queue(self.policy.weights), takes_self=True
    )
    banded: bands.Bands = attrs.Factory(bands.Bands)
    shed: dict[tuple[str, str], int] = attrs.Factory(dict)
    promises: returns.Returns = attrs.Factory(returns.Returns)
    suspects: queueing.Queue = attrs.Factory(
        lambda self: queueing.Queue(self.policy.weights), takes_self=True
    )
    ordinary_left: int = 0
    hold_end_s: float | None = None
    timer_waiter: Admission | None = None
    timer_s: float | None = None
    service_s: dict[str, float] = attrs.Factory(dict)
    mean_service_s: float = 0.0
    rate_limit: rate_limits.RateLimit = attrs.Factory(rate_limits.RateLimit)
    fingerprints: quarantine.Quarantine = attrs.Factory(
        lambda self: quarantine.Quarantine(self.now), takes_self=True
    )
    past_boot_ids: collections.deque[str | None] = attrs.Factory(
        lambda: collections.deque(maxlen=MAX_BOOT_IDS)
    )
    crashed_boot_ids: collections.deque[str | None] = attrs.Factory(
        lambda: collections.deque(maxlen=MAX_BOOT_IDS)
    )
    lost_runs: collections.deque[tuple[Admission, float]] = attrs.Factory(
        lambda: collections.deque(maxlen=MAX_LOST_RUNS)
    )
    report_evidence: Callable[[quarantine.CrashEvidence], None] = attrs.field(
        default=quarantine.discard_evidence
    )
