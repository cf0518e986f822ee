"""Estimates of the service times of request classes.

Service times vary with the speed of the server, and are up to three times as
long for some tenths of a second now and then. The mean alone starts half of the
requests too late, and a few very long ones would make all others look late. So
an estimate is a mean and a mean absolute deviation, and a service time that is
far above both counts only in part. A server that stays slow raises the
deviation first, and the mean follows within some 40 requests.
"""

import attrs

# Weight of the newest service time. It averages over 20 requests, which end in
# about the length of a slow spell.
ALPHA = 0.05
# A service time counts at most as the mean and this many deviations.
MAX_DEVIATIONS = 4.0
# Assumed relative deviation while few service times are known.
FIRST_DEVIATION = 0.25


@attrs.define(eq=False)
class Estimate:
    """The estimate of a class.

    Attributes:
      mean_s: Moving mean of the service times.
      deviation_s: Moving mean of the absolute deviations from the mean.
    """

    mean_s: float
    deviation_s: float


def record(
    service_times: dict[str, Estimate], name: str, service_s: float
) -> None:
    """Updates the estimate of a class with a service time."""
    estimate = service_times.get(name)
    if estimate is None:
        service_times[name] = Estimate(service_s, service_s * FIRST_DEVIATION)
        return
    # Equal times bring the deviation to 0; a part of the mean keeps the clip
    # open, so that the estimate can still rise.
    width_s = max(estimate.deviation_s, estimate.mean_s * 0.05)
    clipped_s = min(service_s, estimate.mean_s + MAX_DEVIATIONS * width_s)
    error_s = clipped_s - estimate.mean_s
    estimate.mean_s += ALPHA * error_s
    estimate.deviation_s += ALPHA * (abs(error_s) - estimate.deviation_s)


def mean_s(service_times: dict[str, Estimate], name: str) -> float:
    """Returns the mean service time of a class; 0 if none is known."""
    estimate = service_times.get(name)
    return estimate.mean_s if estimate is not None else 0.0


def cautious_s(
    service_times: dict[str, Estimate], name: str, deviations: float
) -> float:
    """Returns a service time that few requests of a class exceed.

    Args:
      service_times: The estimates.
      name: The class; 0 is returned if no service time of it is known.
      deviations: Mean absolute deviations to add to the mean.
    """
    estimate = service_times.get(name)
    if estimate is None:
        return 0.0
    return estimate.mean_s + deviations * estimate.deviation_s
