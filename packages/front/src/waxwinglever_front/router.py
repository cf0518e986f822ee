"""Routes a request to a node that may run it."""

import functools

import attrs

from waxwinglever_front import dispatch
from waxwinglever_front import hedging
from waxwinglever_front import http_codec
from waxwinglever_front import http_messages
from waxwinglever_front import request_context
from waxwinglever_front import targets
from waxwinglever_model import exceptions
from waxwinglever_ownership import config_cache
from waxwinglever_routing import balancer
from waxwinglever_routing import budgets

# Longest time for which a request whose key has no reachable owner waits before
# it checks the cell record again. A new record arrives with a heartbeat, at
# least every 0.2 s.
RECORD_WAIT_S = 0.05
# Least remaining time for which another attempt is made.
MIN_ATTEMPT_S = 0.005
# Kinds of refusal after which another attempt may succeed.
RETRYABLE_KINDS = frozenset({"not-owner", "draining", "backend-unavailable"})


def route(
    context: request_context.RequestContext, request: http_messages.Request
) -> http_messages.Response:
    """Returns the response to a request; a refusal becomes a response."""
    try:
        service = config_cache.find_service(
            context.config_cache, request.tenant, request.service
        )
        if service is None:
            raise exceptions.UnknownService(
                f"no configuration has service {request.service!r} of tenant"
                f" {request.tenant!r}",
                "correct the path, or apply a configuration that contains it",
            )
        if service.kind == "keyed":
            if request.key is None:
                raise exceptions.BadRequest(
                    "the service is sharded by key and the request has none",
                    f"send the key in {http_codec.KEY_HEADER}",
                )
            return route_keyed(context, request)
        return route_unkeyed(context, request)
    except exceptions.Refusal as error:
        return http_codec.refusal_response(error)


def route_keyed(
    context: request_context.RequestContext, request: http_messages.Request
) -> http_messages.Response:
    """Routes to the owner of the key, waiting while the key is handed over.

    Only the first daemon waits and retries, so that attempts do not multiply.
    """
    if request.hops:
        return run_locally(context, request, is_keyed=True)
    budgets.deposit(context.retry_budget)
    has_permit = False
    try:
        while True:
            target = targets.find_owner(context, request)
            response = attempt_owner(context, request, target)
            if not may_retry_owner(context, request, response):
                return response
            if not has_permit:
                has_permit = context.request_limits.record_waiters.acquire(
                    blocking=False
                )
                if not has_permit:
                    return response
            wait_for_newer_record(context, request, target)
    finally:
        if has_permit:
            context.request_limits.record_waiters.release()


def attempt_owner(
    context: request_context.RequestContext,
    request: http_messages.Request,
    target: targets.Target | None,
) -> http_messages.Response:
    """Sends the request to the owner known to this node, if any."""
    if target is None:
        return http_codec.refusal_response(
            exceptions.NotOwner(
                "the key has no owner now",
                "send the request again later",
                retry_after_ms=500,
            )
        )
    if target.member.node == context.local_member.node:
        response = run_locally(context, request, is_keyed=True)
    else:
        response = forward_to(context, request, target)
    return attrs.evolve(
        response, owner=target.member.http_address, map_version=target.version
    )


def run_locally(
    context: request_context.RequestContext,
    request: http_messages.Request,
    is_keyed: bool,
) -> http_messages.Response:
    """Runs the request on this node's backend server."""
    try:
        response = dispatch.serve(context, request, is_keyed)
    except exceptions.Refusal as error:
        response = http_codec.refusal_response(error)
    return attrs.evolve(response, owner=context.local_member.http_address)


def forward_to(
    context: request_context.RequestContext,
    request: http_messages.Request,
    target: targets.Target,
) -> http_messages.Response:
    """Sends the request to the daemon of another node."""
    try:
        return context.forward(target.member.http_address, request)
    except exceptions.Refusal as error:
        return http_codec.refusal_response(error)


def refusal_kind(response: http_messages.Response) -> str:
    """Returns the kind of a refusal, or '' for a response of the service."""
    for name, value in response.headers:
        if name.lower() == http_codec.REFUSAL_HEADER.lower():
            return value
    return ""


def may_retry_owner(
    context: request_context.RequestContext,
    request: http_messages.Request,
    response: http_messages.Response,
) -> bool:
    """Returns whether another attempt is safe, useful and within the budget."""
    if request.deadline_s - context.now() < RECORD_WAIT_S + MIN_ATTEMPT_S:
        return False
    if response.outcome == "not-run":
        # Waiting for a handover puts no load on any server, so it needs no
        # retry budget.
        return refusal_kind(response) in RETRYABLE_KINDS
    if response.outcome == "unknown" and request.is_safe:
        return budgets.withdraw(context.retry_budget)
    return False


def wait_for_newer_record(
    context: request_context.RequestContext,
    request: http_messages.Request,
    target: targets.Target | None,
) -> None:
    """Waits up to RECORD_WAIT_S for a newer cell record."""
    node = context.node
    if request_context.is_own_service(context, request.tenant, request.service):
        with node.state.lock:
            # Without a target there is no version to compare.
            if target is None or node.state.version <= target.version:
                node.state.lock.wait(RECORD_WAIT_S)
        return
    context.stopping.wait(RECORD_WAIT_S)
    targets.refresh_records(context, request)


def route_unkeyed(
    context: request_context.RequestContext, request: http_messages.Request
) -> http_messages.Response:
    """Routes to any node of a service without keys."""
    if request.hops:
        return run_locally(context, request, is_keyed=False)
    budgets.deposit(context.retry_budget)
    budgets.deposit(context.hedge_budget)
    wait_for_first_record(context, request)
    tried: set[str] = set()
    while True:
        response = attempt_any_node(context, request, tried)
        if not may_retry_elsewhere(context, request, response):
            return response


def wait_for_first_record(
    context: request_context.RequestContext, request: http_messages.Request
) -> None:
    """Waits until a cell record of the service is available.

    A daemon that has just started has no records of other cells yet. Returns
    without one if the deadline is near or too many requests wait for records.
    """
    if targets.known_records(context, request):
        return
    if not context.request_limits.record_waiters.acquire(blocking=False):
        return
    try:
        while (
            request.deadline_s - context.now() > RECORD_WAIT_S + MIN_ATTEMPT_S
        ):
            if targets.known_records(context, request):
                return
            context.stopping.wait(RECORD_WAIT_S)
    finally:
        context.request_limits.record_waiters.release()


def attempt_any_node(
    context: request_context.RequestContext,
    request: http_messages.Request,
    tried: set[str],
) -> http_messages.Response:
    """Sends the request to a node that the balancer chooses.

    Hedges a safe request if the budget allows it.

    Adds the node of the first attempt to `tried`. Those nodes are not chosen
    again while another one is left.

    Raises:
      BackendUnavailable: No node accepts new requests, so a retry can't help.
    """
    by_node = {t.member.node: t for t in targets.candidates(context, request)}
    if not by_node:
        raise exceptions.BackendUnavailable(
            "no node of the service accepts new requests",
            "set the state of a zone to in, or start backend servers",
            retry_after_ms=1000,
        )
    node_balancer = service_balancer(context, request)
    exclude = tried if len(tried) < len(by_node) else set()
    first = balancer.choose(node_balancer, list(by_node), exclude)
    tried.add(first)
    first_attempt = functools.partial(
        timed_attempt, context, request, by_node[first], node_balancer
    )
    others = [name for name in by_node if name not in tried]
    if not (request.is_safe and others):
        return first_attempt()

    def second_attempt() -> http_messages.Response:
        second = balancer.choose(node_balancer, others, set())
        return timed_attempt(context, request, by_node[second], node_balancer)

    delay_s = balancer.hedge_delay_s(node_balancer)
    return hedging.run_hedged(
        context.hedge_executor,
        first_attempt,
        second_attempt,
        delay_s,
        functools.partial(budgets.withdraw, context.hedge_budget),
    )


def service_balancer(
    context: request_context.RequestContext, request: http_messages.Request
) -> balancer.Balancer:
    """Returns the balancer for the request's service."""
    return request_context.balancer_for(
        context, targets.first_cell_name(context, request)
    )


def timed_attempt(
    context: request_context.RequestContext,
    request: http_messages.Request,
    target: targets.Target,
    node_balancer: balancer.Balancer,
) -> http_messages.Response:
    """Sends the request to one node and reports the result to the balancer."""
    name = target.member.node
    balancer.request_started(node_balancer, name)
    started_s = context.now()
    is_ok = False
    try:
        if name == context.local_member.node:
            response = run_locally(context, request, is_keyed=False)
        else:
            response = forward_to(context, request, target)
        is_ok = response.outcome == http_messages.OUTCOME_RAN
    finally:
        balancer.request_ended(
            node_balancer, name, context.now() - started_s, is_ok
        )
    return attrs.evolve(
        response, owner=target.member.http_address, map_version=target.version
    )


def may_retry_elsewhere(
    context: request_context.RequestContext,
    request: http_messages.Request,
    response: http_messages.Response,
) -> bool:
    """Returns whether an attempt on another node is allowed and useful."""
    if request.deadline_s - context.now() < MIN_ATTEMPT_S:
        return False
    may_run_elsewhere = refusal_kind(response) in RETRYABLE_KINDS | {
        "overloaded"
    }
    is_not_run = response.outcome == "not-run" and may_run_elsewhere
    is_repeatable = response.outcome == "unknown" and request.is_safe
    if not is_not_run and not is_repeatable:
        return False
    return budgets.withdraw(context.retry_budget)
