"""Routes a caller's request to a node that may run it."""

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

# How long a request whose key has no reachable owner waits before the map is
# looked at again. Heartbeats bring a new map at least every 0.2 s.
HOLD_S = 0.05
# Time that must be left for a further try to make sense.
LEAST_TRY_S = 0.005
# Kinds of refusal after which another try may succeed.
MOVING_KINDS = frozenset({"not-owner", "draining", "backend-unavailable"})


def route(site: sites.Site, request: exchange.Request) -> exchange.Reply:
    """Returns the reply to a request; refusals become replies too."""
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
        return route_any(site, request)
    except exceptions.Refusal as error:
        return wire.refusal_reply(error)


def route_keyed(site: sites.Site, request: exchange.Request) -> exchange.Reply:
    """Routes to the owner of the key, waiting while the key moves.

    Only the first daemon waits and tries again, so that tries do not multiply.
    """
    if request.hops:
        return serve_here(site, request, is_keyed=True)
    budgets.deposit(site.retries)
    is_held = False
    try:
        while True:
            target = targets.owner_of(site, request)
            reply = try_owner(site, request, target)
            if not may_try_again(site, request, reply):
                return reply
            if not is_held:
                is_held = site.places.held.acquire(blocking=False)
                if not is_held:
                    return reply
            wait_for_map(site, request, target)
    finally:
        if is_held:
            site.places.held.release()


def try_owner(
    site: sites.Site,
    request: exchange.Request,
    target: targets.Target | None,
) -> exchange.Reply:
    """Sends the request to the owner that this node knows of."""
    if target is None:
        return wire.refusal_reply(
            exceptions.NotOwner(
                "the key has no owner now",
                "send the request again later",
                retry_after_ms=500,
            )
        )
    if target.member.node == site.me.node:
        reply = serve_here(site, request, is_keyed=True)
    else:
        reply = send_on(site, request, target)
    return attrs.evolve(
        reply, owner=target.member.http_address, map_version=target.version
    )


def serve_here(
    site: sites.Site, request: exchange.Request, is_keyed: bool
) -> exchange.Reply:
    """Runs the request on this node's backend server."""
    try:
        reply = dispatch.serve(site, request, is_keyed)
    except exceptions.Refusal as error:
        reply = wire.refusal_reply(error)
    return attrs.evolve(reply, owner=site.me.http_address)


def send_on(
    site: sites.Site, request: exchange.Request, target: targets.Target
) -> exchange.Reply:
    """Sends the request to the daemon of another node."""
    try:
        return site.forward(target.member.http_address, request)
    except exceptions.Refusal as error:
        return wire.refusal_reply(error)


def refusal_kind(reply: exchange.Reply) -> str:
    """Returns the kind of refusal, or '' for an answer of the service."""
    for name, value in reply.headers:
        if name.lower() == wire.REFUSAL.lower():
            return value
    return ""


def may_try_again(
    site: sites.Site, request: exchange.Request, reply: exchange.Reply
) -> bool:
    """Returns whether a further try is safe, useful and within the budget."""
    if request.deadline_s - site.now() < HOLD_S + LEAST_TRY_S:
        return False
    if reply.outcome == "not-run":
        # Waiting for a handover costs no server anything: no budget.
        return refusal_kind(reply) in MOVING_KINDS
    if reply.outcome == "unknown" and request.is_safe:
        return budgets.withdraw(site.retries)
    return False


def wait_for_map(
    site: sites.Site, request: exchange.Request, target: targets.Target | None
) -> None:
    """Waits until the map may have changed."""
    node = site.node
    if sites.is_own_service(site, request.tenant, request.service):
        with node.state.lock:
            # Without a target no version tells whether the map changed.
            if target is None or node.state.version <= target.version:
                node.state.lock.wait(HOLD_S)
        return
    site.stopping.wait(HOLD_S)
    targets.refresh(site, request)


def route_any(site: sites.Site, request: exchange.Request) -> exchange.Reply:
    """Routes to a node of a service that is not divided by key."""
    if request.hops:
        return serve_here(site, request, is_keyed=False)
    budgets.deposit(site.retries)
    budgets.deposit(site.hedges)
    wait_for_cell(site, request)
    refused: set[str] = set()
    while True:
        reply = try_any(site, request, refused)
        if not may_try_other(site, request, reply):
            return reply


def wait_for_cell(site: sites.Site, request: exchange.Request) -> None:
    """Waits, within bounds, until this daemon knows a cell of the service.

    A daemon that has just started has not heard of the other cells yet.
    """
    if targets.known_records(site, request):
        return
    if not site.places.held.acquire(blocking=False):
        return
    try:
        while request.deadline_s - site.now() > HOLD_S + LEAST_TRY_S:
            if targets.known_records(site, request):
                return
            site.stopping.wait(HOLD_S)
    finally:
        site.places.held.release()


def try_any(
    site: sites.Site, request: exchange.Request, refused: set[str]
) -> exchange.Reply:
    """Sends the request to a chosen node; a safe one may be hedged.

    Raises:
      BackendUnavailable: No node takes new work, so no try can help.
    """
    found = {t.member.node: t for t in targets.candidates(site, request)}
    if not found:
        raise exceptions.BackendUnavailable(
            "no node of the service takes new work",
            "take a zone in, or start backend servers",
            retry_after_ms=1000,
        )
    nodes = balancer_of(site, request)
    exclude = refused if len(refused) < len(found) else set()
    first = balancer.choose(nodes, list(found), exclude)
    refused.add(first)
    first_try = functools.partial(timed_try, site, request, found[first], nodes)
    others = [name for name in found if name not in refused]
    if not (request.is_safe and others):
        return first_try()

    def second_try() -> exchange.Reply:
        second = balancer.choose(nodes, others, set())
        return timed_try(site, request, found[second], nodes)

    delay_s = balancer.hedge_delay_s(nodes)
    return hedging.first_answer(
        site.hedgers,
        first_try,
        second_try,
        delay_s,
        functools.partial(budgets.withdraw, site.hedges),
    )


def balancer_of(
    site: sites.Site, request: exchange.Request
) -> balancer.Balancer:
    """Returns the balancer for the request's service."""
    return sites.balancer_for(site, targets.cell_of(site, request))


def timed_try(
    site: sites.Site,
    request: exchange.Request,
    target: targets.Target,
    nodes: balancer.Balancer,
) -> exchange.Reply:
    """Sends the request to one node and tells the balancer how it went."""
    name = target.member.node
    balancer.started(nodes, name)
    began = site.now()
    is_ok = False
    try:
        if name == site.me.node:
            reply = serve_here(site, request, is_keyed=False)
        else:
            reply = send_on(site, request, target)
        is_ok = reply.outcome == exchange.RAN
    finally:
        balancer.ended(nodes, name, site.now() - began, is_ok)
    return attrs.evolve(
        reply, owner=target.member.http_address, map_version=target.version
    )


def may_try_other(
    site: sites.Site, request: exchange.Request, reply: exchange.Reply
) -> bool:
    """Returns whether another node may be tried."""
    if request.deadline_s - site.now() < LEAST_TRY_S:
        return False
    is_elsewhere = refusal_kind(reply) in MOVING_KINDS | {"overloaded"}
    is_not_run = reply.outcome == "not-run" and is_elsewhere
    is_repeatable = reply.outcome == "unknown" and request.is_safe
    if not is_not_run and not is_repeatable:
        return False
    return budgets.withdraw(site.retries)
