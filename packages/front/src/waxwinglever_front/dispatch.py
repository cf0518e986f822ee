"""Runs a request on the backend server beside this daemon."""

import attrs

from waxwinglever_admission import gate
from waxwinglever_admission import gate_state
from waxwinglever_admission import outcomes
from waxwinglever_admission import tickets
from waxwinglever_backend import client as backend_client
from waxwinglever_front import crash_reports
from waxwinglever_front import http_codec
from waxwinglever_front import http_messages
from waxwinglever_front import request_context
from waxwinglever_model import exceptions
from waxwinglever_model import identifiers
from waxwinglever_ownership import config_cache
from waxwinglever_ownership import membership
from waxwinglever_routing import hotkeys

# Epoch in the tickets of a service without keys.
UNKEYED_EPOCH = 0


def serve(
    context: request_context.RequestContext,
    request: http_messages.Request,
    is_keyed: bool,
) -> http_messages.Response:
    """Runs a request on the local backend server.

    An unsafe request with an id runs at most once; repeated attempts get the
    kept response.

    Raises:
      Refusal: The request did not run here, or its outcome is unknown.
    """
    local_backend = context.local_backend
    if local_backend is None or not request_context.is_own_service(
        context, request.tenant, request.service
    ):
        raise exceptions.BackendUnavailable(
            f"node {context.local_member.node} has no backend server of this"
            " service",
            "send the request to another daemon",
            retry_after_ms=1000,
        )
    if request.request_id is None or request.is_safe:
        return run(context, local_backend, request, is_keyed, None)
    ticket = valid_ticket(context, local_backend, request, is_keyed)
    decision = outcomes.begin_attempt(
        local_backend.outcomes, ticket, request.request_id, request.deadline_s
    )
    if isinstance(decision, outcomes.Replay):
        return decision.response
    try:
        response = run(context, local_backend, request, is_keyed, ticket)
    except exceptions.OutcomeUnknown:
        outcomes.mark_unknown(
            local_backend.outcomes, ticket, request.request_id
        )
        raise
    except exceptions.Refusal:
        outcomes.abandon(local_backend.outcomes, ticket, request.request_id)
        raise
    except BaseException:
        outcomes.mark_unknown(
            local_backend.outcomes, ticket, request.request_id
        )
        raise
    response = attrs.evolve(response, ticket=tickets.format_ticket(ticket))
    outcomes.finish(
        local_backend.outcomes, ticket, request.request_id, response
    )
    return response


def valid_ticket(
    context: request_context.RequestContext,
    local_backend: request_context.LocalBackend,
    request: http_messages.Request,
    is_keyed: bool,
) -> tickets.Ticket:
    """Returns the request's ticket after checking its cell and epoch.

    The table of outcomes checks its incarnation and period.

    Raises:
      NotOwner: This node holds no lease for the key.
      BadRequest: The ticket is malformed.
      TicketRequired: There is no ticket, or it is for another cell or epoch.
    """
    epoch = UNKEYED_EPOCH
    state = context.node.state
    if is_keyed:
        epoch = membership.begin_request(
            state, request.point, context.now()
        ).slice_.epoch
        membership.finish_request(state, request.point)
    if request.ticket is None:
        raise ticket_required_error(
            context, local_backend, epoch, "the request has no ticket"
        )
    ticket = tickets.parse_ticket(request.ticket)
    if (ticket.cell, ticket.epoch) != (state.cell, epoch):
        raise ticket_required_error(
            context, local_backend, epoch, "the ticket is stale"
        )
    return ticket


def ticket_required_error(
    context: request_context.RequestContext,
    local_backend: request_context.LocalBackend,
    epoch: int,
    reason: str,
) -> exceptions.TicketRequired:
    """Returns the refusal that contains a valid ticket of this node."""
    current = outcomes.current_ticket(
        local_backend.outcomes, context.node.state.cell, epoch
    )
    return exceptions.TicketRequired(
        reason,
        "send all attempts with the ticket of this response; if an earlier"
        " attempt got no response, its outcome is unknown",
        tickets.format_ticket(current),
    )


def run(
    context: request_context.RequestContext,
    local_backend: request_context.LocalBackend,
    request: http_messages.Request,
    is_keyed: bool,
    ticket: tickets.Ticket | None,
) -> http_messages.Response:
    """Waits for a slot, checks the lease and sends the request.

    Raises:
      Refusal: The request did not run, or its outcome is unknown.
    """
    state = context.node.state
    lease: membership.HeldLease | None = None

    def check() -> None:
        nonlocal lease
        if not is_keyed:
            check_not_draining(context)
            return
        lease = membership.begin_request(state, request.point, context.now())
        if ticket is not None and ticket.epoch != lease.slice_.epoch:
            raise ticket_required_error(
                context, local_backend, lease.slice_.epoch, "the owner changed"
            )

    request_info = gate_state.RequestInfo(
        request.request_class,
        request.deadline_s,
        http_messages.fingerprint(request),
    )
    try:
        with gate.admit(local_backend.gate, request_info, check) as admission:
            if lease is not None:
                hotkeys.record(context.hot_keys, lease.slice_, request.point)
            backend_response = send(context, local_backend, request, lease)
    finally:
        if lease is not None:
            membership.finish_request(state, request.point)
    if admission.cleared:
        crash_reports.report_cleared(context, request_info.fingerprint)
    # Drops Waxwinglever- headers: only the daemon may state an outcome.
    headers = http_codec.end_to_end_headers(backend_response.headers)
    return http_messages.Response(
        backend_response.status, headers, backend_response.body
    )


def check_not_draining(context: request_context.RequestContext) -> None:
    """Checks that this node accepts new requests for a service without keys.

    Raises:
      Draining: The node or its zone is draining.
    """
    is_zone_out = context.local_member.zone in config_cache.excluded_zones(
        context.config_cache, context.node.tenant
    )
    # The node also drains while its backend server is absent or draining.
    if is_zone_out or context.is_draining or context.node.state.draining:
        raise exceptions.Draining(
            f"node {context.local_member.node} accepts no new requests",
            "send the request to another daemon",
            retry_after_ms=1000,
        )


def send(
    context: request_context.RequestContext,
    local_backend: request_context.LocalBackend,
    request: http_messages.Request,
    lease: membership.HeldLease | None,
) -> backend_client.BackendResponse:
    """Sends an admitted request to the backend server.

    The timeout ends with the lease at the latest, so that no work outlives
    the lease (R12).

    Raises:
      Refusal: The server did not run it, or its outcome is unknown.
    """
    end_s = request.deadline_s
    fence = None
    if lease is not None:
        end_s = min(end_s, lease.expires_at_s)
        fence = backend_client.Fence(
            lease.slice_.start,
            lease.slice_.epoch,
            int(lease.expires_at_s * 1e9),
        )
    timeout_ms = int((end_s - context.now()) * 1000)
    if timeout_ms < 1 and end_s < request.deadline_s:
        raise membership.not_owner_error(context.node.state)
    if timeout_ms < 1:
        raise exceptions.Overloaded(
            "the time for this request is over",
            "send it again with a longer timeout",
            retry_after_ms=0,
        )
    backend_request = backend_client.BackendRequest(
        call_id=identifiers.new_id(),
        method=request.method,
        path=request.path,
        headers=backend_headers(request),
        body=request.body,
        timeout_ms=timeout_ms,
        fence=fence,
    )
    try:
        backend_response = local_backend.client.send(backend_request)
    except backend_client.ResponseLost as error:
        handle_lost_response(context, local_backend, backend_request, error)
        raise
    except exceptions.BackendUnavailable:
        gate.record_connection_failure(local_backend.gate)
        raise
    local_backend.consecutive_timeouts = 0
    gate.record_boot_id(local_backend.gate, backend_response.boot_id)
    return backend_response


def backend_headers(
    request: http_messages.Request,
) -> tuple[tuple[str, str], ...]:
    """Returns the headers for the backend server."""
    headers = list(request.headers)
    if request.key is not None:
        headers.append(("Waxwinglever-Key", request.key))
    if request.request_id is not None:
        headers.append(("Waxwinglever-Request-Id", request.request_id))
    return tuple(headers)


def handle_lost_response(
    context: request_context.RequestContext,
    local_backend: request_context.LocalBackend,
    backend_request: backend_client.BackendRequest,
    error: backend_client.ResponseLost,
) -> None:
    """Handles a missing response: reports a crash or cancels the call."""
    if error.connection_broken:
        crash_reports.report_crash(
            context, gate.record_crash(local_backend.gate)
        )
        return
    local_backend.consecutive_timeouts += 1
    if (
        local_backend.consecutive_timeouts
        == request_context.MAX_CONSECUTIVE_TIMEOUTS
    ):
        context.log(
            "backend-frozen", timeouts=local_backend.consecutive_timeouts
        )
    local_backend.client.cancel(backend_request.call_id)
