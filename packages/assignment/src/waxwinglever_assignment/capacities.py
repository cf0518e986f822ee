"""Requests a second that the backend servers of a service can serve."""

from collections.abc import Mapping, Sequence

from waxwinglever_assignment import fleet_view
from waxwinglever_assignment import loads
from waxwinglever_assignment import speeds

# Assumed time that a request occupies a slot until a node has measured it.
DEFAULT_SERVICE_S = 0.15
# Share of its capacity that a backend server has during its cold start; in the
# platform's deployments it serves about 22 of 70 requests a second then.
COLD_CAPACITY_SHARE = 0.3
# Capacity of a backend server that takes no requests at all.
MIN_CAPACITY_PER_S = 0.5


def find_capacities(
    members: Sequence[fleet_view.Member],
    reports: Mapping[str, loads.LoadReport],
    speed_meter: speeds.SpeedMeter | None = None,
    target_s: float | None = None,
) -> dict[str, float]:
    """Returns the requests a second that each member can serve.

    A member without a measured service time gets the mean of the others. No
    member can serve more than its backend server takes.

    Args:
      members: Members of the service.
      reports: Latest load reports of members.
      speed_meter: Averaged speeds, if a target is given.
      target_s: Target latency within which the requests must be served, if any.
    """
    measured = {}
    for member in members:
        report = reports.get(member.name)
        service_s = report.service_s if report else 0.0
        if speed_meter is not None and target_s is not None:
            service_s = speeds.service_time(
                speed_meter, member.name, member.instance
            )
        if service_s > 0:
            measured[member.name] = service_s
    mean_s = (
        sum(measured.values()) / len(measured)
        if measured
        else DEFAULT_SERVICE_S
    )
    found = {}
    for member in members:
        report = reports.get(member.name)
        slots = max(1, member.slots)
        # Limit the effect of a few slow requests on the capacity of a node.
        service_s = measured.get(member.name, mean_s)
        service_s = min(max(service_s, mean_s / 3), mean_s * 3)
        found[member.name] = slots / service_s
        if target_s is not None:
            found[member.name] *= speeds.timely_utilization(
                slots, service_s, target_s
            )
        if member.cold:
            found[member.name] *= COLD_CAPACITY_SHARE
        if report and report.rate_limit_per_s is not None:
            found[member.name] = min(
                found[member.name],
                max(report.rate_limit_per_s, MIN_CAPACITY_PER_S),
            )
    return found
