"""Routes a request to a node that may run it."""

import functools

import attrs

from waxwinglever_front import dispatch
from waxwinglever_front import exchange
from waxwinglever_front import hedging
from waxwinglever_front import site as sites
from waxwinglever_front import targets
from waxwinglever_front import wire
from waxwinglever_model import exceptions
from waxwinglever_ownership import configs
from waxwinglever_routing import balancer
from waxwinglever_routing import budgets

# Longest time for which a request whose key has no reachable owner waits before
# it checks the map again. A new map arrives with a heartbeat, at least every
# 0.2 s.
MAP_WAIT_S = 0.05
# Least remaining time for which another attempt is made.
MIN_ATTEMPT_S = 0.005
# Kinds of refusal after which another attempt may succeed.
RETRYABLE_KINDS = frozenset({"not-owner", "draining", "backend-unavailable"})


def route(site: sites.Site, request: exchange.Request) -> exchange.Reply:
    """Returns the reply to a request; a refusal is turned into a reply."""
    try:
        service = configs.service_of(site.book, request.tenant, request.service)
        if service is None:
            raise exceptions.UnknownService(
                f"no configuration has service {request.service!r} of tenant"
                f" {request.tenant!r}",
                "correct the path, or apply a record that has it",
            )
        if service.kind == "keyed":
            if request.key is None:
                raise exceptions.BadRequest(
                    "the service is divided by key and the request has none",
                    f"send the key in {wire.KEY}",
                )
            return route_keyed(site, request)
        return route_unkeyed(site, request)
    except exceptions.Refusal as error:
        return wire.refusal_reply(error)


def route_keyed(site: sites.Site, request: exchange.Request) -> exchange.Reply:
    """Routes to the owner of the key, waiting while the key is handed over.

    Only the first daemon waits and retries, so that attempts do not multiply.
    """
    if request.hops:
        return run_locally(site, request, is_keyed=True)
    budgets.deposit(site.retries)
    has_permit = False
    try:
        while True:
            target = targets.owner_of(site, request)
            reply = attempt_owner(site, request, target)
            if not may_retry_owner(site, request, reply):
                return reply
            if not has_permit:
                has_permit = site.places.map_waiters.acquire(blocking=False)
                if not has_permit:
                    return reply
            wait_for_map(site, request, target)
    finally:
        if has_permit:
            site.places.map_waiters.release()


def attempt_owner(
    site: sites.Site,
    request: exchange.Request,
    target: targets.Target | None,
) -> exchange.Reply:
    """Sends the request to the owner known to this node, if any."""
    if target is None:
        return wire.refusal_reply(
            exceptions.NotOwner(
                "the key has no owner now",
                "send the request again later",
                retry_after_ms=500,
            )
        )
    if target.member.node == site.me.node:
        reply = run_locally(site, request, is_keyed=True)
    else:
        reply = forward_to(site, request, target)
    return attrs.evolve(
        reply, owner=target.member.http_address, map_version=target.version
    )


def run_locally(
    site: sites.Site, request: exchange.Request, is_keyed: bool
) -> exchange.Reply:
    """Runs the request on this node's backend server."""
    try:
        reply = dispatch.serve(site, request, is_keyed)
    except exceptions.Refusal as error:
        reply = wire.refusal_reply(error)
    return attrs.evolve(reply, owner=site.me.http_address)


def forward_to(
    site: sites.Site, request: exchange.Request, target: targets.Target
) -> exchange.Reply:
    """Sends the request to the daemon of another node."""
    try:
        return site.forward(target.member.http_address, request)
    except exceptions.Refusal as error:
        return wire.refusal_reply(error)


def refusal_kind(reply: exchange.Reply) -> str:
    """Returns the kind of a refusal, or '' for an answer of the service."""
    for name, value in reply.headers:
        if name.lower() == wire.REFUSAL.lower():
            return value
    return ""


def may_retry_owner(
    site: sites.Site, request: exchange.Request, reply: exchange.Reply
) -> bool:
    """Returns whether another attempt is safe, useful and within the budget."""
    if request.deadline_s - site.now() < MAP_WAIT_S + MIN_ATTEMPT_S:
        return False
    if reply.outcome == "not-run":
        # Waiting for a handover puts no load on any server, so it needs no
        # retry budget.
        return refusal_kind(reply) in RETRYABLE_KINDS
    if reply.outcome == "unknown" and request.is_safe:
        return budgets.withdraw(site.retries)
    return False


def wait_for_map(
    site: sites.Site, request: exchange.Request, target: targets.Target | None
) -> None:
    """Waits up to MAP_WAIT_S for a newer map."""
    node = site.node
    if sites.is_own_service(site, request.tenant, request.service):
        with node.state.lock:
            # Without a target there is no version to compare.
            if target is None or node.state.version <= target.version:
                node.state.lock.wait(MAP_WAIT_S)
        return
    site.stopping.wait(MAP_WAIT_S)
    targets.refresh_records(site, request)


def route_unkeyed(
    site: sites.Site, request: exchange.Request
) -> exchange.Reply:
    """Routes to any node of a service without keys."""
    if request.hops:
        return run_locally(site, request, is_keyed=False)
    budgets.deposit(site.retries)
    budgets.deposit(site.hedges)
    wait_for_cell(site, request)
    tried: set[str] = set()
    while True:
        reply = attempt_any_node(site, request, tried)
        if not may_retry_elsewhere(site, request, reply):
            return reply


def wait_for_cell(site: sites.Site, request: exchange.Request) -> None:
    """Waits until this daemon knows a cell of the service.

    A daemon that has just started does not know the other cells yet. Returns
    without one if the deadline is near or too many requests wait for a map.
    """
    if targets.known_records(site, request):
        return
    if not site.places.map_waiters.acquire(blocking=False):
        return
    try:
        while request.deadline_s - site.now() > MAP_WAIT_S + MIN_ATTEMPT_S:
            if targets.known_records(site, request):
                return
            site.stopping.wait(MAP_WAIT_S)
    finally:
        site.places.map_waiters.release()


def attempt_any_node(
    site: sites.Site, request: exchange.Request, tried: set[str]
) -> exchange.Reply:
    """Sends the request to a node chosen by the balancer; may hedge a safe one.

    Adds the node of the first attempt to `tried`. Those nodes are not chosen
    again while another one is left.

    Raises:
      BackendUnavailable: No node takes new work, so a retry can't help.
    """
    by_node = {t.member.node: t for t in targets.candidates(site, request)}
    if not by_node:
        raise exceptions.BackendUnavailable(
            "no node of the service takes new work",
            "take a zone in, or start backend servers",
            retry_after_ms=1000,
        )
    node_balancer = service_balancer(site, request)
    exclude = tried if len(tried) < len(by_node) else set()
    first = balancer.choose(node_balancer, list(by_node), exclude)
    tried.add(first)
    first_attempt = functools.partial(
        timed_attempt, site, request, by_node[first], node_balancer
    )
    others = [name for name in by_node if name not in tried]
    if not (request.is_safe and others):
        return first_attempt()

    def second_attempt() -> exchange.Reply:
        second = balancer.choose(node_balancer, others, set())
        return timed_attempt(site, request, by_node[second], node_balancer)

    delay_s = balancer.hedge_delay_s(node_balancer)
    return hedging.first_answer(
        site.hedgers,
        first_attempt,
        second_attempt,
        delay_s,
        functools.partial(budgets.withdraw, site.hedges),
    )


def service_balancer(
    site: sites.Site, request: exchange.Request
) -> balancer.Balancer:
    """Returns the balancer for the request's service."""
    return sites.balancer_for(site, targets.cell_of(site, request))


def timed_attempt(
    site: sites.Site,
    request: exchange.Request,
    target: targets.Target,
    node_balancer: balancer.Balancer,
) -> exchange.Reply:
    """Sends the request to one node and reports the result to the balancer."""
    name = target.member.node
    balancer.request_started(node_balancer, name)
    started_s = site.now()
    is_ok = False
    try:
        if name == site.me.node:
            reply = run_locally(site, request, is_keyed=False)
        else:
            reply = forward_to(site, request, target)
        is_ok = reply.outcome == exchange.RAN
    finally:
        balancer.request_ended(
            node_balancer, name, site.now() - started_s, is_ok
        )
    return attrs.evolve(
        reply, owner=target.member.http_address, map_version=target.version
    )


def may_retry_elsewhere(
    site: sites.Site, request: exchange.Request, reply: exchange.Reply
) -> bool:
    """Returns whether an attempt on another node is allowed and useful."""
    if request.deadline_s - site.now() < MIN_ATTEMPT_S:
        return False
    may_run_elsewhere = refusal_kind(reply) in RETRYABLE_KINDS | {"overloaded"}
    is_not_run = reply.outcome == "not-run" and may_run_elsewhere
    is_repeatable = reply.outcome == "unknown" and request.is_safe
    if not is_not_run and not is_repeatable:
        return False
    return budgets.withdraw(site.retries)
