"""Measured speeds of backend servers, and the load that each bears in time.

The load pattern that this answers: servers of one service differ in speed by a
factor of three, have slow spells of 0.4 s, and some turn slow for seconds. A
plan that follows each spell moves ranges to and fro; one that takes all servers
for equal overloads the slow ones.
"""

import math

import attrs

# Time constant of the average. A slow spell of 0.4 s changes it by a fifth of
# its factor, and a server that turns slow is known as such after 2 s.
SPEED_TIME_S = 1.6
# Bounds of the utilization that a server is planned for. At the lower one, a
# server that can't meet the target at all still serves what must be served.
MIN_UTILIZATION = 0.4
MAX_UTILIZATION = 0.95
# Halvings of the interval in which the utilization is searched.
SEARCH_STEPS = 7


@attrs.frozen
class Speed:
    """The averaged service time of one run of a backend server.

    Attributes:
      instance: Id of the run.
      service_s: Average time that a request takes.
      measured_s: When it was last updated.
    """

    instance: str
    service_s: float
    measured_s: float


@attrs.define(eq=False)
class SpeedMeter:
    """The speeds of all backend servers, by name of their node."""

    speeds: dict[str, Speed] = attrs.Factory(dict)


def observe(
    meter: SpeedMeter, name: str, instance: str, service_s: float, now_s: float
) -> None:
    """Updates the average of a server with a reported mean service time."""
    if service_s <= 0:
        return
    before = meter.speeds.get(name)
    if before is not None and before.instance == instance:
        keep = math.exp(-(now_s - before.measured_s) / SPEED_TIME_S)
        service_s += (before.service_s - service_s) * keep
    meter.speeds[name] = Speed(instance, service_s, now_s)


def service_time(meter: SpeedMeter, name: str, instance: str) -> float:
    """Returns the average service time of a server, or 0 if it is unknown."""
    speed = meter.speeds.get(name)
    if speed is None or speed.instance != instance:
        return 0.0
    return speed.service_s


def expected_wait_s(slots: int, service_s: float, utilization: float) -> float:
    """Returns how long a request waits for one of several slots on average.

    This is Sakasegawa's approximation for a queue with random arrivals
    ("An approximation formula L_q = a * rho^b / (1 - rho)", 1977).
    """
    exponent = math.sqrt(2 * (slots + 1)) - 1
    return service_s * utilization**exponent / (slots * (1 - utilization))


def timely_utilization(slots: int, service_s: float, target_s: float) -> float:
    """Returns the highest utilization at which the mean wait fits the target.

    A slow server needs more of the target for the request itself, so it must
    let requests wait for less time.
    """
    allowed_s = target_s - service_s
    low, high = MIN_UTILIZATION, MAX_UTILIZATION
    for _ in range(SEARCH_STEPS):
        middle = (low + high) / 2
        if expected_wait_s(slots, service_s, middle) <= allowed_s:
            low = middle
        else:
            high = middle
    return low


def timely_capacity(slots: int, service_s: float, target_s: float) -> float:
    """Returns the requests a second that a server can serve in time."""
    return timely_utilization(slots, service_s, target_s) * slots / service_s
