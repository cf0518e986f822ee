"""Choice of a node without keys, with regard to its availability zone."""

from collections.abc import Collection

from waxwinglever_assignment import fleet_view
from waxwinglever_relay import known_loads as known_loads_module
from waxwinglever_relay import messages
from waxwinglever_routing import balancer as balancers
from waxwinglever_routing import zones

# Traffic between zones costs money. If no costs are set, a node in the same
# zone is preferred if its expected time is at most this many times that of the
# best node. Photos are tens of kilobytes, all other requests about one
# kilobyte.
LARGE_BODY_BYTES = 8_192
LARGE_BODY_ZONE_TOLERANCE = 2.0
SMALL_BODY_ZONE_TOLERANCE = 1.2


def choose(
    known_loads: known_loads_module.KnownLoads,
    candidates: fleet_view.Candidates,
    home: str,
    request: messages.Request,
    excluded: Collection[str],
    controlled: bool,
) -> zones.Choice | None:
    """Returns the choice for a request, or None if all nodes are excluded.

    Args:
      known_loads: What this node knows of the others.
      candidates: The nodes of the service.
      home: Zone of this node.
      request: The request.
      excluded: Nodes that must not get it.
      controlled: Whether overload control is in force, so that nodes report
        their load. The costs of leaving a zone count only then.
    """
    if controlled and known_loads.zone_costs is not None:
        return choose_by_cost(known_loads, candidates, home, request, excluded)
    name = balancers.choose_preferring_zone(
        known_loads.balancer,
        candidates.names,
        candidates.names_by_zone.get(home, ()),
        excluded,
        LARGE_BODY_ZONE_TOLERANCE
        if len(request.body) >= LARGE_BODY_BYTES
        else SMALL_BODY_ZONE_TOLERANCE,
    )
    if name is None:
        return None
    return zones.Choice(name, candidates.members[name].zone, zones.WITHOUT_COST)


def choose_by_cost(
    known_loads: known_loads_module.KnownLoads,
    candidates: fleet_view.Candidates,
    home: str,
    request: messages.Request,
    excluded: Collection[str],
) -> zones.Choice | None:
    """Returns the choice by the costs of leaving the zone; see choose."""
    choice = zones.choose(
        known_loads.balancer,
        candidates.names_by_zone,
        home,
        request.service,
        excluded,
        zones.leaving_cost_s(
            known_loads.zone_costs,
            known_loads.sizes,
            request.route,
            len(request.body),
        ),
    )
    if choice is not None:
        known_loads.count(
            "zone_choices_total",
            {"from": home, "to": choice.zone, "reason": choice.reason},
        )
    return choice


def describe_leaving(choice: zones.Choice | None) -> str:
    """Returns why a request left its zone, for the log; '' if it did not.

    Choices without costs are not described.
    """
    if choice is None or choice.reason in (zones.HOME, zones.WITHOUT_COST):
        return ""
    return (
        f"to {choice.zone}: {choice.reason}, saves"
        f" {round(choice.saved_s * 1000)} ms, costs"
        f" {round(choice.cost_s * 1000)} ms"
    )
