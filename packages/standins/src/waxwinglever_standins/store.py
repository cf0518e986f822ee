"""State and logic of the stand-in store, independent of the transport."""

import threading
import time
from collections.abc import Callable

import attrs

from waxwinglever_model import clock
from waxwinglever_model import exceptions
from waxwinglever_model import limits
from waxwinglever_standins import serving
from waxwinglever_store import client as store_client

READ = "read"
WRITE = "write"
REFUSE = "refuse"
NON_NEGATIVE = attrs.validators.ge(0)
IS_BOOL = attrs.validators.instance_of(bool)


@attrs.frozen
class Faults:
    """Faults that the store injects.

    Attributes:
      down: Whether the store is unavailable.
      down_mode: `refuse` responds 503 while the store is down, `hang` sends no
        response.
      slow_s: Delay of each call, in seconds.
      lose_answers: Number of next writes that take effect but get no response.
      lose_mode: `close` closes the connection of such a write, `hang` leaves it
        open.
      stale_reads: Whether gets and lists return the previous value of a key.
      blocked_clients: IP addresses of clients that get no response.
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
class TokenBucket:
    """Token bucket of a rate limit; bursts of one second's tokens are allowed.

    Attributes:
      rate_per_s: Tokens added per second; also the capacity.
      tokens: Tokens left as of `refilled_at_s`.
      refilled_at_s: When the bucket was last refilled.
    """

    rate_per_s: float
    tokens: float
    refilled_at_s: float


@attrs.define
class Counters:
    """Call counts since the start.

    Attributes:
      reads: Admitted gets, lists and watches.
      writes: Admitted writes, including those that failed with a conflict.
      watches: Started watches; they also count as reads.
      over_rate: Calls refused because of the rate limit.
    """

    reads: int = 0
    writes: int = 0
    watches: int = 0
    over_rate: int = 0


class RateLimited(Exception):
    """The call exceeds the rate limit."""


class NoResponse(Exception):
    """A fault prevents the normal response to a call.

    Attributes:
      mode: How the call fails: REFUSE, serving.CLOSE or serving.HANG.
    """

    def __init__(self, mode: str):
        super().__init__(mode)
        self.mode = mode


@attrs.define(eq=False)
class Store:
    """State of the store; `lock` guards all of it.

    Attributes:
      buckets: Rate limits, by READ and WRITE.
      now: Clock of rate limits and expiry times, in seconds.
      faults: The active faults.
      entries: The current entry of each key.
      previous: The entry before the current one, for stale reads.
      expiries: When each key with a time to live expires, on `now`.
      last_version: Version of the last write to any key.
      counters: Call counts.
      closed: Whether the store refuses all calls because it shuts down.
      conditions: One condition on `lock` for each watched key.
    """

    buckets: dict[str, TokenBucket]
    now: Callable[[], float]
    faults: Faults = attrs.field(factory=Faults)
    entries: dict[str, store_client.Entry] = attrs.field(factory=dict)
    previous: dict[str, store_client.Entry] = attrs.field(factory=dict)
    expiries: dict[str, float] = attrs.field(factory=dict)
    last_version: int = 0
    counters: Counters = attrs.field(factory=Counters)
    closed: bool = False
    lock: threading.RLock = attrs.field(factory=threading.RLock)
    conditions: dict[str, threading.Condition] = attrs.field(factory=dict)


def new_store(
    writes_per_s: float = 500,
    reads_per_s: float = 2000,
    now: Callable[[], float] = clock.boottime_s,
) -> Store:
    """Returns an empty store.

    Args:
      writes_per_s: Rate limit of writes.
      reads_per_s: Rate limit of reads; a watch counts as one.
      now: Clock of rate limits and expiry times, in seconds.
    """
    rates = ((READ, reads_per_s), (WRITE, writes_per_s))
    start_s = now()
    return Store(
        {kind: TokenBucket(rate, rate, start_s) for kind, rate in rates}, now
    )


def admit(store: Store, client: str, kind: str) -> None:
    """Admits and counts a call, after the delay set by `slow_s`.

    Args:
      store: The store.
      client: IP address of the client.
      kind: READ or WRITE.

    Raises:
      NoResponse: The store is closed or down, or the client is blocked.
      RateLimited: The call exceeds the rate limit.
    """
    time.sleep(store.faults.slow_s)
    with store.lock:
        check_reachable(store, client)
        bucket = store.buckets[kind]
        now_s = store.now()
        refill = (now_s - bucket.refilled_at_s) * bucket.rate_per_s
        bucket.tokens = min(bucket.rate_per_s, bucket.tokens + refill)
        bucket.refilled_at_s = now_s
        if bucket.tokens < 1:
            store.counters.over_rate += 1
            raise RateLimited(kind)
        bucket.tokens -= 1
        if kind == READ:
            store.counters.reads += 1
        else:
            store.counters.writes += 1


def check_reachable(store: Store, client: str) -> None:
    """Raises NoResponse if the store is closed or a fault blocks the client."""
    if store.closed:
        raise NoResponse(serving.CLOSE)
    if client in store.faults.blocked_clients:
        raise NoResponse(serving.HANG)
    if store.faults.down:
        raise NoResponse(store.faults.down_mode)


def delete_expired(store: Store) -> None:
    """Deletes the keys whose time to live has ended."""
    now_s = store.now()
    expired = [key for key, end_s in store.expiries.items() if end_s <= now_s]
    for key in expired:
        del store.expiries[key]
        store.previous[key] = store.entries.pop(key)


def visible_entry(store: Store, key: str) -> store_client.Entry | None:
    """Returns the entry that a read of `key` returns, or None.

    With `stale_reads` this is the previous entry, if there is one.
    """
    if store.faults.stale_reads and key in store.previous:
        return store.previous[key]
    return store.entries.get(key)


def get(store: Store, key: str) -> store_client.Entry | None:
    """Returns the entry of a key, or None."""
    with store.lock:
        delete_expired(store)
        return visible_entry(store, key)


def list_prefix(store: Store, prefix: str) -> list[store_client.Entry]:
    """Returns the entries whose keys start with `prefix`, by key."""
    with store.lock:
        delete_expired(store)
        keys = sorted(key for key in store.entries if key.startswith(prefix))
        return [entry for key in keys if (entry := visible_entry(store, key))]


def compare_and_swap(
    store: Store,
    key: str,
    value: str,
    expected_version: int,
    ttl_s: float | None = None,
) -> int:
    """Writes a key if it has the expected version; returns the new version.

    Args:
      store: The store.
      key: Name of the key.
      value: New value, at most MAX_RECORD_BYTES bytes in UTF-8.
      expected_version: Version that the key must have; 0 if it must be absent.
      ttl_s: Seconds after which the key is deleted, or None for never.

    Raises:
      InvalidInput: The value is too long.
      Conflict: The key has another version.
      NoResponse: The write took effect, but a fault drops its response.
    """
    if len(value.encode("utf-8")) > limits.MAX_RECORD_BYTES:
        raise exceptions.InvalidInput(
            f"value of key {key!r} is over the limit",
            f"write at most {limits.MAX_RECORD_BYTES} bytes",
        )
    with store.lock:
        delete_expired(store)
        current = store.entries.get(key)
        version = current.version if current else 0
        if version != expected_version:
            raise exceptions.Conflict(
                f"key {key!r} has version {version}", "read it again"
            )
        store.last_version += 1
        if current:
            store.previous[key] = current
        store.entries[key] = store_client.Entry(key, value, store.last_version)
        store.expiries.pop(key, None)
        if ttl_s is not None:
            store.expiries[key] = store.now() + ttl_s
        if key in store.conditions:
            store.conditions[key].notify_all()
        if store.faults.lose_answers:
            remaining = store.faults.lose_answers - 1
            store.faults = attrs.evolve(store.faults, lose_answers=remaining)
            raise NoResponse(store.faults.lose_mode)
        return store.last_version


def watch(
    store: Store, client: str, key: str, known_version: int, timeout_s: float
) -> store_client.Entry | None:
    """Waits until a key exists with another version than the known one.

    Args:
      store: The store.
      client: IP address of the client.
      key: Name of the key.
      known_version: Version that the client has.
      timeout_s: Longest wait, in seconds.

    Returns:
      The new entry, or None at the timeout.

    Raises:
      NoResponse: The store is closed or a fault blocks the client, also if that
        happens during the watch.
    """
    deadline_s = clock.boottime_s() + timeout_s
    with store.lock:
        store.counters.watches += 1
        if key not in store.conditions:
            store.conditions[key] = threading.Condition(store.lock)
        while True:
            check_reachable(store, client)
            delete_expired(store)
            entry = store.entries.get(key)
            if entry is not None and entry.version != known_version:
                return entry
            left_s = deadline_s - clock.boottime_s()
            if left_s <= 0:
                return None
            store.conditions[key].wait(left_s)


def set_faults(store: Store, changed: dict) -> None:
    """Sets the faults that `changed` names; the others stay as they are.

    Raises:
      InvalidInput: A fault is unknown or has an invalid value.
    """
    with store.lock:
        try:
            store.faults = attrs.evolve(store.faults, **changed)
        except (TypeError, ValueError) as error:
            raise exceptions.InvalidInput(
                f"faults {changed!r} are not valid: {error}",
                "GET /faults shows the available faults",
            ) from error
        wake_watches(store)


def close(store: Store) -> None:
    """Ends all watches and refuses further calls."""
    with store.lock:
        store.closed = True
        wake_watches(store)


def wake_watches(store: Store) -> None:
    """Wakes all watches, so that they check the faults again."""
    for condition in store.conditions.values():
        condition.notify_all()
