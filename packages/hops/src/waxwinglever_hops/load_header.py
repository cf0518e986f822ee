"""Encoding of load reports between daemons: a short JSON array.

The order of the numbers is that of the fields of messages.ServerLoad. Later
versions may append numbers; the first ones keep their meaning.
"""

from collections.abc import Callable

import attrs
import msgspec

from waxwinglever_model import clock
from waxwinglever_relay import messages
from waxwinglever_telemetry import rate_limiter

HEADER = "x-hop-load"
MAX_BYTES = 80
# Larger numbers are cut, so that seven of them fit into MAX_BYTES.
MAX_NUMBER = 9_999_999
FIELDS = len(attrs.fields(messages.ServerLoad))
# An unreadable report is logged at most this often.
LOG_RATE_PER_S = 1.0


def encode(load: messages.ServerLoad) -> str:
    """Returns the value of the header."""
    return (
        f"[{clip(load.running)},{clip(load.waiting)},{clip(load.slots)},"
        f"{clip(load.wait_ms)},{clip(load.service_ms)},{clip(load.slowness)},"
        f"{clip(load.age_ms)}]"
    )


def clip(number: int) -> int:
    """Returns a number within the limits of the header."""
    return min(max(number, 0), MAX_NUMBER)


def decode(text: str) -> messages.ServerLoad:
    """Returns the report in the value of the header.

    Raises:
      ValueError: It is unreadable.
    """
    if len(text) > MAX_BYTES:
        raise ValueError(f"{len(text)} characters are over {MAX_BYTES}")
    try:
        numbers = msgspec.json.decode(text, type=list[int])
    except msgspec.MsgspecError as error:
        raise ValueError(str(error)) from error
    if len(numbers) < FIELDS:
        raise ValueError(f"{len(numbers)} numbers are below {FIELDS}")
    if not all(0 <= number <= MAX_NUMBER for number in numbers):
        raise ValueError(f"a number is not within 0 to {MAX_NUMBER}")
    return messages.ServerLoad(*numbers[:FIELDS])


def make_decoder(
    log: Callable[..., None],
    count: Callable[[str], None] = lambda result: None,
    now: Callable[[], float] = clock.boottime_s,
) -> Callable[[str | None], messages.ServerLoad | None]:
    """Returns a function that decodes a header value and ignores bad ones.

    The response is complete without a report, so an unreadable one must not
    make it fail.

    Args:
      log: Called with an event name and fields.
      count: Called with "read" or "unreadable" for each report.
      now: Returns the time in seconds.
    """
    # The limiter keeps half of its burst for important lines.
    limiter = rate_limiter.RateLimiter(LOG_RATE_PER_S, 2.0, now)

    def decode_or_log(text: str | None) -> messages.ServerLoad | None:
        if text is None:
            return None
        try:
            load = decode(text)
        except ValueError as error:
            count("unreadable")
            suppressed = rate_limiter.admit(limiter)
            if suppressed is not None:
                log(
                    "load-report-unreadable",
                    error=str(error),
                    suppressed=suppressed,
                )
            return None
        count("read")
        return load

    return decode_or_log
