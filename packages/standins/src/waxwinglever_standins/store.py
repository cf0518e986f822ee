"""State and decisions of the stand-in store, apart from what carries them."""

import threading
import time
from collections.abc import Callable

import attrs

from waxwinglever_model import clock
from waxwinglever_model import exceptions
from waxwinglever_model import limits
from waxwinglever_standins import serving
from waxwinglever_store import calls

READ = "read"
WRITE = "write"
REFUSE = "refuse"
NON_NEGATIVE = attrs.validators.ge(0)
IS_BOOL = attrs.validators.instance_of(bool)


@attrs.frozen
class Faults:
    """The fault switches.

    Attributes:
      down: Whether the store answers no call.
      down_mode: `refuse` answers 503 while down, `hang` does not answer.
      slow_s: Seconds by which each call is delayed.
      lose_answers: Number of writes to come that take effect but whose answer
        is lost.
      lose_mode: `close` closes the connection of a lost answer, `hang` leaves
        it open.
      stale_reads: Whether reads return the previous value of a key.
      blocked_clients: IP numbers of clients that get no answer.
    """

    down: bool = attrs.field(default=False, validator=IS_BOOL)
    down_mode: str = attrs.field(
        default=REFUSE, validator=attrs.validators.in_((REFUSE, serving.HANG))
    )
    slow_s: float = attrs.field(default=0.0, validator=NON_NEGATIVE)
    lose_answers: int = attrs.field(default=0, validator=NON_NEGATIVE)
    lose_mode: str = attrs.field(
        default=serving.CLOSE,
        validator=attrs.validators.in_((serving.CLOSE, serving.HANG)),
    )
    stale_reads: bool = attrs.field(default=False, validator=IS_BOOL)
    blocked_clients: tuple[str, ...] = attrs.field(
        default=(),
        converter=tuple,
        validator=attrs.validators.deep_iterable(
            attrs.validators.instance_of(str)
        ),
    )


@attrs.define
class Bucket:
    """A rate limit that allows bursts of one second's worth."""

    per_s: float
    tokens: float
    filled_s: float


@attrs.define
class Counters:
    """Numbers of calls since the start.

    Attributes:
      reads: Gets, lists and watches that were let in.
      writes: Writes that were let in, with those that met a conflict.
      watches: Watches among the reads.
      over_rate: Calls that were refused over the rate limit.
    """

    reads: int = 0
    writes: int = 0
    watches: int = 0
    over_rate: int = 0


class OverRate(Exception):
    """The call is over the rate limit."""


class NoAnswer(Exception):
    """The call gets no ordinary answer.

    Attributes:
      mode: REFUSE, serving.CLOSE or serving.HANG.
    """

    def __init__(self, mode: str):
        super().__init__(mode)
        self.mode = mode


@attrs.define(eq=False)
class Store:
    """State of the store; `lock` guards all of it.

    Attributes:
      entries: The present value of each key.
      previous: The value before it, for stale reads.
      expiries: End of the lease of a key, in seconds of boottime.
      last_version: Of the last write of any key.
      changes: One condition for each watched key, on `lock`.
      buckets: Rate limits, by READ and WRITE.
    """

    buckets: dict[str, Bucket]
    now: Callable[[], float]
    faults: Faults = attrs.field(factory=Faults)
    entries: dict[str, calls.Entry] = attrs.field(factory=dict)
    previous: dict[str, calls.Entry] = attrs.field(factory=dict)
    expiries: dict[str, float] = attrs.field(factory=dict)
    last_version: int = 0
    counters: Counters = attrs.field(factory=Counters)
    closed: bool = False
    lock: threading.RLock = attrs.field(factory=threading.RLock)
    changes: dict[str, threading.Condition] = attrs.field(factory=dict)


def new_store(
    writes_per_s: float = 500,
    reads_per_s: float = 2000,
    now: Callable[[], float] = clock.boottime_s,
) -> Store:
    """Returns an empty store.

    Args:
      writes_per_s: Rate limit of writes.
      reads_per_s: Rate limit of reads; a watch counts as one.
      now: The clock of rate limits and leases, in seconds.
    """
    rates = ((READ, reads_per_s), (WRITE, writes_per_s))
    start_s = now()
    return Store(
        {kind: Bucket(rate, rate, start_s) for kind, rate in rates}, now
    )


def admit(store: Store, client: str, kind: str) -> None:
    """Lets a call in, after the delay that the faults ask for.

    Args:
      store: The store.
      client: IP number of the client.
      kind: READ or WRITE.

    Raises:
      NoAnswer: The store is down or the client is blocked.
      OverRate: The call is over the rate limit.
    """
    time.sleep(store.faults.slow_s)
    with store.lock:
        check_reachable(store, client)
        bucket = store.buckets[kind]
        now_s = store.now()
        gained = (now_s - bucket.filled_s) * bucket.per_s
        bucket.tokens = min(bucket.per_s, bucket.tokens + gained)
        bucket.filled_s = now_s
        if bucket.tokens < 1:
            store.counters.over_rate += 1
            raise OverRate(kind)
        bucket.tokens -= 1
        if kind == READ:
            store.counters.reads += 1
        else:
            store.counters.writes += 1


def check_reachable(store: Store, client: str) -> None:
    """Raises NoAnswer when a fault keeps the client from an answer."""
    if store.closed:
        raise NoAnswer(serving.CLOSE)
    if client in store.faults.blocked_clients:
        raise NoAnswer(serving.HANG)
    if store.faults.down:
        raise NoAnswer(store.faults.down_mode)


def expire(store: Store) -> None:
    """Deletes the keys whose lease has ended."""
    now_s = store.now()
    ended = [key for key, end_s in store.expiries.items() if end_s <= now_s]
    for key in ended:
        del store.expiries[key]
        store.previous[key] = store.entries.pop(key)


def shown(store: Store, key: str) -> calls.Entry | None:
    """Returns what a read of the key shows; stale under that fault."""
    if store.faults.stale_reads and key in store.previous:
        return store.previous[key]
    return store.entries.get(key)


def get(store: Store, key: str) -> calls.Entry | None:
    """Returns the entry of a key, or None."""
    with store.lock:
        expire(store)
        return shown(store, key)


def list_prefix(store: Store, prefix: str) -> list[calls.Entry]:
    """Returns the entries whose keys start with `prefix`, by key."""
    with store.lock:
        expire(store)
        keys = sorted(key for key in store.entries if key.startswith(prefix))
        return [entry for key in keys if (entry := shown(store, key))]


def compare_and_swap(
    store: Store,
    key: str,
    value: str,
    expected_version: int,
    ttl_s: float | None = None,
) -> int:
    """Writes a key and returns its new version.

    Args:
      store: The store.
      key: Name of the key.
      value: At most MAX_RECORD_BYTES bytes in UTF-8.
      expected_version: Version that the key must have, 0 for absent.
      ttl_s: Time after which the key is deleted, or None for never.

    Raises:
      InvalidInput: The value is too long.
      Conflict: The key has another version.
      NoAnswer: The write took effect, but its answer is lost.
    """
    if len(value.encode("utf-8")) > limits.MAX_RECORD_BYTES:
        raise exceptions.InvalidInput(
            f"value of key {key!r} is over the limit",
            f"write at most {limits.MAX_RECORD_BYTES} bytes",
        )
    with store.lock:
        expire(store)
        current = store.entries.get(key)
        version = current.version if current else 0
        if version != expected_version:
            raise exceptions.Conflict(
                f"key {key!r} has version {version}", "read it again"
            )
        store.last_version += 1
        if current:
            store.previous[key] = current
        store.entries[key] = calls.Entry(key, value, store.last_version)
        store.expiries.pop(key, None)
        if ttl_s is not None:
            store.expiries[key] = store.now() + ttl_s
        if key in store.changes:
            store.changes[key].notify_all()
        if store.faults.lose_answers:
            left = store.faults.lose_answers - 1
            store.faults = attrs.evolve(store.faults, lose_answers=left)
            raise NoAnswer(store.faults.lose_mode)
        return store.last_version


def watch(
    store: Store, client: str, key: str, known_version: int, timeout_s: float
) -> calls.Entry | None:
    """Waits until a key has another version; None when the time ends.

    A fault that begins meanwhile ends the watch with NoAnswer.
    """
    deadline_s = clock.boottime_s() + timeout_s
    with store.lock:
        store.counters.watches += 1
        if key not in store.changes:
            store.changes[key] = threading.Condition(store.lock)
        while True:
            check_reachable(store, client)
            expire(store)
            entry = store.entries.get(key)
            if entry is not None and entry.version != known_version:
                return entry
            left_s = deadline_s - clock.boottime_s()
            if left_s <= 0:
                return None
            store.changes[key].wait(left_s)


def set_faults(store: Store, changed: dict) -> None:
    """Sets the fault switches that `changed` names.

    Raises:
      InvalidInput: A switch is unknown or has a wrong value.
    """
    with store.lock:
        try:
            store.faults = attrs.evolve(store.faults, **changed)
        except (TypeError, ValueError) as error:
            raise exceptions.InvalidInput(
                f"fault switches {changed!r} are not valid: {error}",
                "GET /faults shows the switches",
            ) from error
        wake_watches(store)


def close(store: Store) -> None:
    """Ends all watches and lets no further call in."""
    with store.lock:
        store.closed = True
        wake_watches(store)


def wake_watches(store: Store) -> None:
    """Makes each watch check the state again."""
    for condition in store.changes.values():
        condition.notify_all()
