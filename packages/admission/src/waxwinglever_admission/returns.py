"""When refused callers return, and which of them have kept to their time.

Load pattern: callers that were refused together and told the same short time
return together, are refused again, and return some dozens of times. So each
refusal for lack of room gets a time of its own, at the rate at which slots are
left by new requests. A caller that returns at its time goes ahead of others of
its class; one that returns earlier gains nothing.

A caller has the same fingerprint and deadline at each attempt, up to the delay
of its messages. Two callers may send the same request, so the fingerprint alone
does not tell a caller that returns from another one.

All functions are pure decisions on `Returns`, and get the current time.
"""

import collections

import attrs

# Whether an attempt is a first one, a return at the stated time, or one before.
FIRST = "first"
KEPT = "kept"
EARLY = "early"

# Callers return later than this share of the time that they have left only if
# they come by themselves.
MAX_SHARE_OF_TIME_LEFT = 1.0 / 3.0
# Deadlines of two attempts of a caller differ by at most this: the margin that
# the first daemon subtracts, and the difference of the delays of its messages.
# With more, callers of the same request at one time would pass for one caller.
DEADLINE_TOLERANCE_S = 0.025


@attrs.frozen
class Settings:
    """Settings of the return times.

    Attributes:
      max_promises: Promises that are kept at most; the oldest is forgotten.
      grace_s: A caller may return this much after its time, as its messages
        and a new connection take time.
      tolerance_s: A caller that is earlier by at most this is in time.
    """

    max_promises: int = attrs.field(
        default=4096, validator=attrs.validators.ge(1)
    )
    grace_s: float = attrs.field(default=0.5, validator=attrs.validators.ge(0))
    tolerance_s: float = attrs.field(
        default=0.005, validator=attrs.validators.ge(0)
    )


@attrs.frozen
class Promise:
    """The time that a refused caller was told.

    Attributes:
      return_s: When it should return.
      target_s: When it should have had its response.
      deadline_s: Deadline of the attempt that was refused.
    """

    return_s: float
    target_s: float
    deadline_s: float


# A caller: fingerprint of its request and its deadline in tolerances.
Caller = tuple[str, int]


@attrs.define(eq=False)
class Returns:
    """The promises of a gate.

    Attributes:
      settings: The settings.
      promises: Promises by caller, oldest first.
      next_return_s: Earliest return time of each priority that was not given
        out.
      counts: Promises made, kept and come early.
    """

    settings: Settings = attrs.Factory(Settings)
    promises: collections.OrderedDict[Caller, Promise] = attrs.Factory(
        collections.OrderedDict
    )
    next_return_s: dict[int, float] = attrs.Factory(dict)
    counts: dict[str, int] = attrs.Factory(
        lambda: {"made": 0, KEPT: 0, EARLY: 0}
    )


def find_caller(
    returns: Returns, fingerprint: str, deadline_s: float
) -> Caller | None:
    """Returns the caller that an attempt is from, if it has a promise."""
    bucket = round(deadline_s / DEADLINE_TOLERANCE_S)
    for near in (bucket, bucket - 1, bucket + 1):
        promise = returns.promises.get((fingerprint, near))
        if (
            promise is not None
            and abs(promise.deadline_s - deadline_s) <= DEADLINE_TOLERANCE_S
        ):
            return fingerprint, near
    return None


def check(
    returns: Returns, fingerprint: str, deadline_s: float, now_s: float
) -> tuple[str, Promise | None]:
    """Returns FIRST, KEPT or EARLY for an attempt, and its promise.

    A promise that is kept or has expired is forgotten.
    """
    if not returns.promises:
        return FIRST, None
    caller = find_caller(returns, fingerprint, deadline_s)
    if caller is None:
        return FIRST, None
    promise = returns.promises[caller]
    if now_s < promise.return_s - returns.settings.tolerance_s:
        returns.counts[EARLY] += 1
        return EARLY, promise
    del returns.promises[caller]
    if now_s > promise.return_s + returns.settings.grace_s:
        # It comes late, but still is the same caller.
        return FIRST, promise
    returns.counts[KEPT] += 1
    return KEPT, promise


def plan_return(
    returns: Returns,
    caller: tuple[str, float],
    target_s: float,
    priority: int,
    queue_s: float,
    rate_per_s: float,
    now_s: float,
) -> float:
    """Returns after how long a refused caller should return.

    It promises that time, unless the caller must wait for longer than it can.
    Then the time is not given out, so that another caller may get it.

    Args:
      returns: The promises.
      caller: Fingerprint of its request, and its deadline.
      target_s: When it should have its response.
      priority: Priority of its request.
      queue_s: Time after which the requests that wait now have slots.
      rate_per_s: Rate at which slots become free for its class.
      now_s: Current time.
    """
    fingerprint, deadline_s = caller
    forget_expired(returns, now_s)
    known = find_caller(returns, fingerprint, deadline_s)
    if known is not None:
        return max(0.0, returns.promises[known].return_s - now_s)
    earliest_s = now_s + queue_s
    return_s = max(earliest_s, returns.next_return_s.get(priority, 0.0))
    delay_s = return_s - now_s
    if delay_s > (deadline_s - now_s) * MAX_SHARE_OF_TIME_LEFT:
        return delay_s
    returns.next_return_s[priority] = return_s + 1.0 / rate_per_s
    bucket = round(deadline_s / DEADLINE_TOLERANCE_S)
    returns.promises[fingerprint, bucket] = Promise(
        return_s, target_s, deadline_s
    )
    returns.counts["made"] += 1
    return delay_s


def forget_expired(returns: Returns, now_s: float) -> None:
    """Forgets promises from the oldest on that have expired or are too many."""
    settings = returns.settings
    promises = returns.promises
    while promises:
        oldest = next(iter(promises))
        if (
            len(promises) < settings.max_promises
            and now_s <= promises[oldest].return_s + settings.grace_s
        ):
            return
        del promises[oldest]
