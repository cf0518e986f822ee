"""Ingress daemon: picks a node for a request and retries if allowed."""

from collections.abc import Callable, Sequence

import attrs

from waxwinglever_admission import gate as gates
from waxwinglever_admission import quarantine
from waxwinglever_assignment import fleet_view
from waxwinglever_model import clock
from waxwinglever_model import exceptions
from waxwinglever_relay import busy_links
from waxwinglever_relay import delivery
from waxwinglever_relay import known_loads as known_loads_module
from waxwinglever_relay import messages
from waxwinglever_relay import notices
from waxwinglever_relay import owners
from waxwinglever_relay import routes
from waxwinglever_relay import tenants
from waxwinglever_relay import transfers
from waxwinglever_relay import zone_choice
from waxwinglever_routing import balancer as balancers
from waxwinglever_routing import budgets
from waxwinglever_routing import zones

# Retries of all nodes together must stay below a fifth of the requests. The
# lower ratio for each node leaves room for calls that backend servers make
# themselves.
RETRY_RATIO = 0.1
RETRY_BURST = 4.0
# Number of nodes that may refuse a request before the caller gets a refusal.
MAX_REFUSALS = 4
RETRY_AFTER_MS = 200
# Subtracted from the deadline, for the response to reach the caller in time.
RETURN_MARGIN_S = 0.004


@attrs.define(eq=False)
class IngressRouter:
    """State that the threads of the ingress daemon share.

    Attributes:
      name: Name of this node.
      active_config: The active configuration.
      fleet: Members and range tables of all nodes.
      local_delivery: Deliveries to the local backend server.
      forward: Sends a request to the daemon of a member; returns the Response
        or raises the refusal of that daemon. Raises PeerUnavailable if nothing
        was sent.
      log: Called with an event name and fields.
      is_current: Returns whether the active configuration may be acted on.
      accepts_keys: Returns whether API keys may be accepted by it.
      admit: Takes a token of the quota of a request's tenant; returns a
        function that returns it, or raises QuotaExceeded.
      informed_nodes: Returns the daemons that are likely to have the newest
        configuration, the most likely first.
      now: Returns seconds of the boot clock.
      balancer: Load balancer for services without keys.
      retry_budgets: Retry budgets by service.
      notices: What the backend server of a node said in its last response to
        this daemon, by the name of the node, oldest first.
      known_loads: What nodes reported, while overload control is in force.
      link: The link of this node.
    """

    name: str
    active_config: routes.ActiveConfig
    fleet: fleet_view.FleetView
    local_delivery: delivery.LocalDelivery
    forward: Callable[
        [fleet_view.Member, messages.Request, messages.CallerConnection | None],
        messages.Response,
    ]
    log: Callable[..., None]
    is_current: Callable[[], bool] = lambda: True
    informed_nodes: Callable[[], Sequence[fleet_view.Member]] = tuple
    accepts_keys: Callable[[], bool] = lambda: True
    admit: Callable[[messages.Request], Callable[[], None]] = (
        lambda request: lambda: None
    )
    now: Callable[[], float] = clock.boottime_s
    balancer: balancers.Balancer = attrs.Factory(balancers.Balancer)
    retry_budgets: dict[str, budgets.Budget] = attrs.Factory(dict)
    notices: dict[str, messages.ServerNotice] = attrs.field(factory=dict)
    known_loads: known_loads_module.KnownLoads = attrs.Factory(
        lambda self: known_loads_module.KnownLoads(self.balancer, self.now),
        takes_self=True,
    )
    link: transfers.Link = attrs.Factory(transfers.Link)


@attrs.define(eq=False)
class Attempts:
    """The attempts to run one request and their outcomes.

    Attributes:
      delivered: Number of attempts that may have reached a backend server.
      may_have_run: Whether the outcome of one of them is unknown.
      refused_by: Names of the nodes that refused it.
      last_refusal: The last refusal.
      path: Each attempt with its node, outcome and duration, for the log.
      fleet_revision: The replica's `revision` before the last choice of
        a node.
      controlled: Whether overload control is in force for the request.
      moved_from: Name of the node that had no free slot for it, or ''.
      max_refusals: Number of nodes that may refuse it.
      choice: The last choice of a node without keys.
    """

    delivered: int = 0
    may_have_run: bool = False
    refused_by: list[str] = attrs.Factory(list)
    last_refusal: exceptions.Refusal | None = None
    path: list[str] = attrs.field(factory=list)
    fleet_revision: int = 0
    controlled: bool = False
    moved_from: str = ""
    max_refusals: int = MAX_REFUSALS
    choice: zones.Choice | None = None


def apply_route(
    ingress_router: IngressRouter,
    config: routes.RoutingConfig,
    route: routes.Route,
    request: messages.Request,
    tenant: routes.Tenant | None = None,
) -> messages.Request:
    """Returns a request with the service and the times of its route.

    Args:
      ingress_router: The state of the ingress daemon.
      config: The configuration.
      route: The route of the request.
      request: The request, without a route.
      tenant: Its tenant, if there is one; see tenants.identify.
    """
    active_config = ingress_router.active_config
    service = routes.pick_service(active_config, route)
    arrived_s = request.latency_target_s
    return attrs.evolve(
        request,
        service=service,
        route=route.name,
        idempotent=route.kind in routes.IDEMPOTENT_KINDS,
        latency_target_s=arrived_s + route.target_s,
        deadline_s=min(
            request.deadline_s, arrived_s + route.timeout_s - RETURN_MARGIN_S
        ),
        keyed=config.services[service].keyed,
        max_attempts=route.max_attempts,
        priority=tenants.priority(route, tenant),
        tenant=tenant.name if tenant else "",
        credential="",
        movable=known_loads_module.is_movable(
            ingress_router.known_loads,
            active_config,
            config.services[service],
            request.body,
        ),
    )


def handle(
    ingress_router: IngressRouter,
    request: messages.Request,
    attempts: Attempts,
    caller: messages.CallerConnection | None,
) -> messages.Response:
    """Returns the response to a request; retries on other nodes if allowed.

    Args:
      ingress_router: The state of the ingress daemon.
      request: The request.
      attempts: Records the attempts.
      caller: The connection of the caller that waits for the response, if any.

    Raises:
      Refusal: The request has not run, or its outcome is unknown.
      CallerDisconnected: The caller has closed its connection.
    """
    budgets.deposit(retry_budget(ingress_router, request.service))
    attempts.controlled = routes.is_overload_controlled(
        ingress_router.active_config
    )
    if attempts.controlled:
        attempts.max_refusals = ingress_router.known_loads.settings.max_refusals
    elif request.movable:
        # Overload control has ended since the request got its route.
        request = attrs.evolve(request, movable=False)
    request = add_known_chain(ingress_router, request)
    try:
        return run_attempts(ingress_router, request, attempts, caller)
    except exceptions.NotExecuted as error:
        if not attempts.may_have_run:
            raise
        # The refusal holds for the last attempt only.
        raise exceptions.OutcomeUnknown(
            "an earlier attempt may have run, and the last one was refused:"
            f" {error.message}",
            "find out whether the request took effect",
        ) from error


def run_attempts(
    ingress_router: IngressRouter,
    request: messages.Request,
    attempts: Attempts,
    caller: messages.CallerConnection | None,
) -> messages.Response:
    """Returns the response to a request, after several attempts if allowed.

    The arguments are those of handle.

    Raises:
      Refusal: The last attempt has not run, or its outcome is unknown.
      CallerDisconnected: The caller has closed its connection.
    """
    while True:
        attempts.fleet_revision = ingress_router.fleet.replica.revision
        member = choose_node(ingress_router, request, attempts)
        try:
            return attempt(ingress_router, member, request, caller, attempts)
        except messages.LinkBusy as error:
            attempts.last_refusal = error
            if should_try_another(ingress_router, request, attempts):
                continue
            if not busy_links.wait_for_room(
                request, error, ingress_router.now(), caller
            ):
                raise
            attempts.refused_by.clear()
        except messages.NoFreeSlot:
            if not request.movable:
                raise
            # It waits at the next node, or here if there is no other.
            attempts.moved_from = member.name
            request = attrs.evolve(request, movable=False)
        except exceptions.NotExecuted as error:
            attempts.last_refusal = error
            if not should_retry_refused(
                ingress_router, request, attempts, caller
            ):
                raise
        except exceptions.OutcomeUnknown as error:
            if isinstance(error, messages.ServerCrashed):
                request = record_crash(ingress_router, request, error)
            if not should_retry_unknown(ingress_router, request, attempts):
                raise


def should_try_another(
    ingress_router: IngressRouter, request: messages.Request, attempts: Attempts
) -> bool:
    """Returns whether to try a node that has not refused a request yet."""
    if (
        request.keyed
        or len(attempts.refused_by) >= attempts.max_refusals
        or not has_time_for_retry(ingress_router, request)
    ):
        return False
    candidates = fleet_view.list_candidates(
        ingress_router.fleet,
        request.service,
        ingress_router.active_config.closed_zones,
    )
    return not candidates.members.keys() <= set(attempts.refused_by)


def add_known_chain(
    ingress_router: IngressRouter, request: messages.Request
) -> messages.Request:
    """Returns the request with the chain of crashes that this node knows of.

    Raises:
      Quarantined: The request has crashed one backend server after the other.
    """
    gate = ingress_router.local_delivery.backend.gate
    if not quarantine.has_records(gate.fingerprints):
        return request
    chain = gates.known_chain(gate, messages.fingerprint(request))
    return attrs.evolve(request, known_chain=chain) if chain else request


def record_crash(
    ingress_router: IngressRouter,
    request: messages.Request,
    error: messages.ServerCrashed,
) -> messages.Request:
    """Records a crash by a request; returns the request with its new chain.

    The crash must be known here before the request is sent again.
    """
    gates.apply_evidence(
        ingress_router.local_delivery.backend.gate,
        quarantine.CrashEvidence(
            "", {messages.fingerprint(request): error.chain}
        ),
    )
    return attrs.evolve(request, known_chain=error.chain)


def attempt(
    ingress_router: IngressRouter,
    member: fleet_view.Member,
    request: messages.Request,
    caller: messages.CallerConnection | None,
    attempts: Attempts,
) -> messages.Response:
    """Sends a request to one node and records the outcome.

    Raises:
      Refusal: The request has not run, or its outcome is unknown.
      CallerDisconnected: The caller has closed its connection.
    """
    began_s = ingress_router.now()
    balancers.request_started(ingress_router.balancer, member.name)
    succeeded = False
    lacks_room = False
    outcome = "ran"
    notice = ingress_router.notices.get(member.name)
    if notice is not None:
        request = attrs.evolve(request, notice=notice)
    try:
        if routes.is_evacuated(
            ingress_router.active_config, member.zone, began_s
        ):
            # The node itself may not know yet: its copy may be an older one.
            raise delivery.draining_error("its zone is closed")
        if member.name == ingress_router.name:
            response = delivery.deliver(
                ingress_router.local_delivery, request, caller
            )
        else:
            response = ingress_router.forward(member, request, caller)
        succeeded = response.status < 500
        attempts.delivered += 1
        notices.record(ingress_router.notices, member.name, response.notice)
        if attempts.controlled:
            known_loads_module.record_response(
                ingress_router.known_loads, member, request, response
            )
        return response
    except exceptions.NotExecuted as error:
        outcome = error.kind
        if isinstance(error, messages.LinkBusy):
            outcome = busy_links.LINK_BUSY
            lacks_room = True
        elif attempts.controlled:
            lacks_room = known_loads_module.record_refusal(
                ingress_router.known_loads, member, request, error
            )
        attempts.delivered += isinstance(error, messages.ShedByBackend)
        if not isinstance(error, messages.NoFreeSlot):
            attempts.refused_by.append(member.name)
        raise
    except exceptions.PeerUnavailable as error:
        outcome = error.kind
        attempts.refused_by.append(member.name)
        balancers.forget_report(ingress_router.balancer, member.name)
        raise no_node_error(request, error.message) from error
    except exceptions.OutcomeUnknown as error:
        outcome = error.kind
        attempts.delivered += 1
        attempts.may_have_run = True
        balancers.forget_report(ingress_router.balancer, member.name)
        raise
    except messages.CallerDisconnected:
        # The caller's disconnect must not count as a failure of the node.
        outcome = "caller-left"
        succeeded = True
        raise
    finally:
        taken_s = ingress_router.now() - began_s
        if lacks_room:
            balancers.request_refused(ingress_router.balancer, member.name)
        else:
            balancers.request_ended(
                ingress_router.balancer, member.name, taken_s, succeeded
            )
        attempts.path.append(
            f"{member.name}:{outcome}:{round(taken_s * 1000)}ms"
        )


def choose_node(
    ingress_router: IngressRouter, request: messages.Request, attempts: Attempts
) -> fleet_view.Member:
    """Returns the node that a request should be sent to.

    Raises:
      NotOwner: The shard has no owner at present.
      Refusal: The last refusal, if all nodes of the service refused.
      BackendUnavailable: No node of the service accepts requests.
    """
    if request.keyed:
        member = owners.reachable_owner(ingress_router.fleet, request)
        if member is None:
            raise exceptions.NotOwner(
                f"shard {request.shard} has no owner now",
                "try again",
                retry_after_ms=RETRY_AFTER_MS,
            )
        if attempts.controlled:
            known_loads_module.check_owner(
                ingress_router.known_loads, member, request, attempts.path
            )
        return member
    candidates = fleet_view.list_candidates(
        ingress_router.fleet,
        request.service,
        ingress_router.active_config.closed_zones,
    )
    if not attempts.refused_by:
        member = busy_links.local_node(
            ingress_router.link,
            ingress_router.name,
            ingress_router.local_delivery,
            request,
            candidates,
        )
        if member is not None:
            return member
    excluded = attempts.refused_by + notices.leaving_nodes(
        ingress_router.notices, candidates
    )
    if attempts.controlled:
        excluded = known_loads_module.exclude_full(
            ingress_router.known_loads,
            request,
            candidates,
            excluded,
            attempts.moved_from,
            attempts.last_refusal,
            attempts.path,
        )
    attempts.choice = zone_choice.choose(
        ingress_router.known_loads,
        candidates,
        ingress_router.local_delivery.backend.zone,
        request,
        excluded,
        attempts.controlled,
    )
    if attempts.choice is None:
        raise attempts.last_refusal or no_node_error(
            request, "no backend server is ready"
        )
    return candidates.members[attempts.choice.name]


def should_retry_refused(
    ingress_router: IngressRouter,
    request: messages.Request,
    attempts: Attempts,
    caller: messages.CallerConnection | None,
) -> bool:
    """Returns whether to retry a request that was refused and has not run.

    A retry after a refusal by a backend server takes a token of the retry
    budget. For a keyed service this may wait until the owner changes.

    Raises:
      CallerDisconnected: The caller has closed its connection.
    """
    if len(attempts.refused_by) >= attempts.max_refusals or isinstance(
        attempts.last_refusal, exceptions.BadRequest
    ):
        return False
    if not has_time_for_retry(ingress_router, request):
        return False
    if isinstance(attempts.last_refusal, messages.ShedByBackend):
        return attempts.delivered < request.max_attempts and budgets.withdraw(
            retry_budget(ingress_router, request.service)
        )
    if request.keyed:
        return owners.wait_for_change(
            ingress_router.fleet,
            request,
            attempts.last_refusal,
            attempts.fleet_revision,
            ingress_router.now,
            caller,
        )
    return not isinstance(attempts.last_refusal, exceptions.Quarantined)


def should_retry_unknown(
    ingress_router: IngressRouter, request: messages.Request, attempts: Attempts
) -> bool:
    """Returns whether to retry a request whose outcome is unknown.

    A retry takes a token of the retry budget. A request that may have caused
    several crashes is not retried.
    """
    return (
        request.idempotent
        and request.known_chain < quarantine.SUSPECT_CHAIN
        and attempts.delivered < request.max_attempts
        and has_time_for_retry(ingress_router, request)
        and budgets.withdraw(retry_budget(ingress_router, request.service))
    )


def has_time_for_retry(
    ingress_router: IngressRouter, request: messages.Request
) -> bool:
    """Returns whether enough time is left for another attempt."""
    end_s = min(request.latency_target_s, request.deadline_s)
    return ingress_router.now() + delivery.MIN_REMAINING_S < end_s


def retry_budget(ingress_router: IngressRouter, service: str) -> budgets.Budget:
    """Returns the retry budget of a service."""
    found = ingress_router.retry_budgets.get(service)
    if found is None:
        found = ingress_router.retry_budgets.setdefault(
            service, budgets.Budget(RETRY_RATIO, RETRY_BURST)
        )
    return found


def no_node_error(
    request: messages.Request, reason: str
) -> exceptions.BackendUnavailable:
    """Returns the error for a request that no node can accept."""
    return exceptions.BackendUnavailable(
        f"no node of {request.service!r} can accept the request: {reason}",
        "try again",
        retry_after_ms=RETRY_AFTER_MS,
    )
