"""Counts the requests whose response is not written yet."""

import threading
from collections.abc import Callable

import attrs


@attrs.define(eq=False)
class InFlight:
    """The number of requests whose response is not written yet.

    Attributes:
      count: The number.
      changed: Notified when it falls to 0; its lock guards `count`.
    """

    count: int = 0
    changed: threading.Condition = attrs.Factory(threading.Condition)


def track(in_flight: InFlight, on_finished: list[Callable[[], None]]) -> None:
    """Counts a request until its response is written.

    Args:
      in_flight: The number of requests.
      on_finished: Called once the response is written.
    """

    def finish() -> None:
        with in_flight.changed:
            in_flight.count -= 1
            if not in_flight.count:
                in_flight.changed.notify_all()

    with in_flight.changed:
        in_flight.count += 1
    on_finished.append(finish)


def is_in_flight(in_flight: InFlight) -> bool:
    """Returns whether there are requests without a written response."""
    return in_flight.count > 0


def wait_until_idle(in_flight: InFlight, timeout_s: float) -> bool:
    """Waits until no request is in flight; returns False after the timeout."""
    with in_flight.changed:
        return in_flight.changed.wait_for(
            lambda: not in_flight.count, timeout_s
        )
