"""What the ingress daemon learns of the load of other nodes.

It addresses overload in which callers would be sent from one full node to the
next, and uneven servers of which one node sees too few responses to judge them.
"""

import math
from collections.abc import Callable, Collection

import attrs

from waxwinglever_assignment import fleet_view
from waxwinglever_model import clock
from waxwinglever_model import exceptions
from waxwinglever_relay import messages
from waxwinglever_relay import routes
from waxwinglever_routing import balancer as balancers
from waxwinglever_routing import load_reports
from waxwinglever_routing import refusals
from waxwinglever_routing import zones

# Refusals that may mean that there is no room.
ROOM_REFUSALS = (
    exceptions.Overloaded,
    exceptions.ShareExceeded,
    exceptions.RateLimited,
)
# Outcome of a request that was not sent as its nodes are known to be full, in
# the path of the log line `request`.
KNOWN_FULL = "known-full"


@attrs.frozen
class LoadSettings:
    """Settings of the decisions by load reports.

    Attributes:
      max_refusals: Nodes that may refuse a request. Each is the better of two
        by its reported load, and those known to be full are not asked.
      max_move_occupancy: Requests are not moved while the servers of a service
        have more requests for each slot. At 1.5 half as many wait as run, so
        another server hardly has a free slot, and each move costs the time of
        a hop on both nodes.
      max_move_bytes: Longest body of a request that may be moved, as it is sent
        twice. 8,192 bytes take 13 ms over a link of 5 Mbit/s.
    """

    max_refusals: int = attrs.field(default=3, validator=attrs.validators.ge(1))
    max_move_occupancy: float = attrs.field(
        default=1.5, validator=attrs.validators.ge(0)
    )
    max_move_bytes: int = attrs.field(
        default=8_192, validator=attrs.validators.ge(0)
    )


@attrs.define(eq=False)
class KnownLoads:
    """What one node knows of the others.

    Attributes:
      balancer: Keeps the reports.
      now: Returns seconds of the boot clock.
      memory: The nodes that are believed to be full.
      count: Counts an event; takes the name of the metric and its labels.
      settings: The settings.
      zone_costs: The costs of leaving a zone, or None to compare times only.
      sizes: Expected sizes of responses.
    """

    balancer: balancers.Balancer
    now: Callable[[], float] = clock.boottime_s
    memory: refusals.Memory = attrs.Factory(refusals.Memory)
    count: Callable[[str, dict[str, str]], None] = lambda name, labels: None
    settings: LoadSettings = LoadSettings()
    zone_costs: zones.Costs | None = None
    sizes: zones.Sizes = attrs.Factory(zones.Sizes)


def record_load(
    known_loads: KnownLoads,
    member: fleet_view.Member,
    service: str,
    load: messages.ServerLoad | None,
) -> None:
    """Records the load in a response or in a refusal for lack of room."""
    if load is None:
        return
    report = load_reports.Report(
        load.running,
        load.waiting,
        load.slots,
        load.wait_ms / 1000,
        load.service_ms / 1000,
        load.slowness / 100,
        load.age_ms / 1000,
    )
    balancers.record_report(
        known_loads.balancer, member.name, service, member.zone, report
    )
    if load.running + load.waiting < load.slots:
        refusals.forget(known_loads.memory, member.name)


def record_response(
    known_loads: KnownLoads,
    member: fleet_view.Member,
    request: messages.Request,
    response: messages.Response,
) -> None:
    """Records the load in a response, and its size."""
    record_load(known_loads, member, request.service, response.load)
    if known_loads.zone_costs is not None:
        zones.record_size(known_loads.sizes, request.route, len(response.body))


def record_refusal(
    known_loads: KnownLoads,
    member: fleet_view.Member,
    request: messages.Request,
    error: exceptions.NotExecuted,
) -> bool:
    """Records a refusal by a node; returns whether the node lacks room.

    Another refusal counts as a failure of the node. What such a node says of
    its load tells nothing of the time that requests take there: it is idle
    while its backend server is down.
    """
    if isinstance(error, messages.NoFreeSlot):
        known_loads.count("requests_moved_total", {"service": request.service})
        record_load(known_loads, member, request.service, error.load)
        return True
    if not lacks_room(error):
        balancers.forget_report(known_loads.balancer, member.name)
        return False
    record_load(known_loads, member, request.service, error.load)
    hold_s = refusals.hold_s(
        None if error.retry_after_ms is None else error.retry_after_ms / 1000,
        None if error.load is None else error.load.wait_ms / 1000,
    )
    if hold_s > 0:
        now_s = known_loads.now()
        refused = refusals.Refused(
            request.route,
            request.priority,
            request.deadline_s - now_s,
            now_s + hold_s,
        )
        refusals.remember(known_loads.memory, member.name, refused, now_s)
    return True


def is_movable(
    known_loads: KnownLoads,
    active_config: routes.ActiveConfig,
    service: routes.Service,
    body: bytes,
) -> bool:
    """Returns whether another node is tried before a request waits."""
    if (
        service.keyed
        or not routes.is_overload_controlled(active_config)
        or len(body) > known_loads.settings.max_move_bytes
    ):
        return False
    occupancy = balancers.mean_occupancy(known_loads.balancer, service.name)
    return (
        occupancy is None
        or occupancy <= known_loads.settings.max_move_occupancy
    )


def lacks_room(error: exceptions.NotExecuted) -> bool:
    """Returns whether a refusal means that the backend server is busy.

    A server that is or may be cold refuses as well, while slots are free.
    """
    if not isinstance(error, ROOM_REFUSALS):
        return False
    load = error.load
    return (
        load is None
        or load.wait_ms > 0
        # No request has ended yet, so the wait is not known.
        or load.running + load.waiting >= load.slots
    )


def check_owner(
    known_loads: KnownLoads,
    owner: fleet_view.Member,
    request: messages.Request,
    path: list[str],
) -> None:
    """Checks that the owner of a key has not just refused a like request.

    No other node can take the request, so only refusals of its class count.

    Raises:
      Overloaded: It has; the request is added to `path` as KNOWN_FULL.
    """
    now_s = known_loads.now()
    until_s = refusals.full_until_s(
        known_loads.memory,
        owner.name,
        request.route,
        request.priority,
        request.deadline_s - now_s,
        now_s,
        same_class=True,
    )
    if until_s > now_s and not refusals.should_learn(known_loads.memory):
        raise known_full_error(
            known_loads, request, {owner.name: until_s}, path
        )


def exclude_full(
    known_loads: KnownLoads,
    request: messages.Request,
    candidates: fleet_view.Candidates,
    excluded: list[str],
    moved_from: str,
    last_refusal: exceptions.Refusal | None,
    path: list[str],
) -> Collection[str]:
    """Returns the nodes that must not get a request.

    Args:
      known_loads: What this node knows.
      request: The request.
      candidates: The nodes of its service.
      excluded: Nodes that must not get it for other reasons.
      moved_from: Node that has no free slot for it, '' if there is none; it
        gets the request if all others are excluded.
      last_refusal: Its last refusal by a node, if any. The time that it states
        is a promise of that node.
      path: The attempts, for the log.

    Raises:
      Refusal: All others are known to be full: `last_refusal`, or Overloaded
        with the earliest time.
    """
    now_s = known_loads.now()
    full = refusals.list_full(
        known_loads.memory,
        candidates.members,
        request.route,
        request.priority,
        request.deadline_s - now_s,
        now_s,
    )
    if not full and not moved_from:
        return excluded
    # A list would be searched once for each node of a large fleet.
    without = {*excluded, *full}
    if moved_from and not candidates.members.keys() <= without | {moved_from}:
        return without | {moved_from}
    if not full or not candidates.members.keys() <= without:
        return without
    if last_refusal is not None:
        raise last_refusal
    if refusals.should_learn(known_loads.memory):
        return excluded
    raise known_full_error(known_loads, request, full, path)


def known_full_error(
    known_loads: KnownLoads,
    request: messages.Request,
    full: dict[str, float],
    path: list[str],
) -> exceptions.Overloaded:
    """Returns the refusal of a request whose nodes are known to be full.

    Args:
      known_loads: What this node knows.
      request: The request.
      full: Until when each node is full.
      path: Gets one of the nodes that are free first.
    """
    delay_s = refusals.return_delay_s(
        known_loads.memory, list(full.values()), known_loads.now()
    )
    path.append(f"{min(full, key=full.get)}:{KNOWN_FULL}:0ms")
    known_loads.count("requests_known_full_total", {"service": request.service})
    return exceptions.Overloaded(
        "the backend servers that could take the request have just refused"
        " others like it",
        "try again after the given time",
        retry_after_ms=math.ceil(delay_s * 1000),
    )
