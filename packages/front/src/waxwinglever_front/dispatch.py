"""Runs a request on the backend server beside this daemon."""

import attrs

from waxwinglever_admission import gate
from waxwinglever_admission import outcomes
from waxwinglever_admission import tickets
from waxwinglever_backend import calls as backend_calls
from waxwinglever_front import crashes
from waxwinglever_front import exchange
from waxwinglever_front import site as sites
from waxwinglever_front import wire
from waxwinglever_model import exceptions
from waxwinglever_model import identifiers
from waxwinglever_ownership import configs
from waxwinglever_ownership import membership
from waxwinglever_routing import hotkeys

# Epoch in the tickets of a service without keys.
UNKEYED_EPOCH = 0


def serve(
    site: sites.Site, request: exchange.Request, is_keyed: bool
) -> exchange.Reply:
    """Runs a request on the local backend server.

    An unsafe request with an id runs at most once; repeated attempts get the
    kept answer.

    Raises:
      Refusal: The request did not run here, or its outcome is unknown.
    """
    local = site.local
    if local is None or not sites.is_own_service(
        site, request.tenant, request.service
    ):
        raise exceptions.BackendUnavailable(
            f"node {site.me.node} has no backend server of this service",
            "send the request to another daemon",
            retry_after_ms=1000,
        )
    if request.request_id is None or request.is_safe:
        return run(site, local, request, is_keyed, None)
    ticket = valid_ticket(site, local, request, is_keyed)
    decision = outcomes.begin(
        local.outcomes, ticket, request.request_id, request.deadline_s
    )
    if isinstance(decision, outcomes.Replay):
        return decision.answer
    try:
        reply = run(site, local, request, is_keyed, ticket)
    except exceptions.OutcomeUnknown:
        outcomes.lose(local.outcomes, ticket, request.request_id)
        raise
    except exceptions.Refusal:
        outcomes.abandon(local.outcomes, ticket, request.request_id)
        raise
    except BaseException:
        outcomes.lose(local.outcomes, ticket, request.request_id)
        raise
    reply = attrs.evolve(reply, ticket=tickets.format_ticket(ticket))
    outcomes.finish(local.outcomes, ticket, request.request_id, reply)
    return reply


def valid_ticket(
    site: sites.Site,
    local: sites.Local,
    request: exchange.Request,
    is_keyed: bool,
) -> tickets.Ticket:
    """Returns the request's ticket after checking its cell and epoch.

    The table of outcomes checks its incarnation and period.

    Raises:
      NotOwner: This node holds no lease for the key.
      BadRequest: The ticket is malformed.
      TicketRequired: There is no ticket, or it is of another cell or epoch.
    """
    epoch = UNKEYED_EPOCH
    state = site.node.state
    if is_keyed:
        epoch = membership.begin(state, request.point, site.now()).item.epoch
        membership.finish(state, request.point)
    if request.ticket is None:
        raise ticket_required(site, local, epoch, "the request has no ticket")
    ticket = tickets.parse_ticket(request.ticket)
    if (ticket.cell, ticket.epoch) != (state.cell, epoch):
        raise ticket_required(site, local, epoch, "the ticket is stale")
    return ticket


def ticket_required(
    site: sites.Site, local: sites.Local, epoch: int, why: str
) -> exceptions.TicketRequired:
    """Returns the refusal that carries a valid ticket of this node."""
    current = outcomes.current_ticket(
        local.outcomes, site.node.state.cell, epoch
    )
    return exceptions.TicketRequired(
        why,
        "send all attempts with the ticket of this answer; if an earlier"
        " attempt got no answer, its outcome is unknown",
        tickets.format_ticket(current),
    )


def run(
    site: sites.Site,
    local: sites.Local,
    request: exchange.Request,
    is_keyed: bool,
    ticket: tickets.Ticket | None,
) -> exchange.Reply:
    """Waits for a slot, checks the lease and sends the request.

    Raises:
      Refusal: The request did not run, or its outcome is unknown.
    """
    state = site.node.state
    lease: membership.HeldLease | None = None

    def check() -> None:
        nonlocal lease
        if not is_keyed:
            check_not_leaving(site)
            return
        lease = membership.begin(state, request.point, site.now())
        if ticket is not None and ticket.epoch != lease.item.epoch:
            raise ticket_required(
                site, local, lease.item.epoch, "the owner changed"
            )

    work = gate.Work(
        request.request_class, request.deadline_s, exchange.fingerprint(request)
    )
    try:
        with gate.admit(local.gate, work, check) as admission:
            if lease is not None:
                hotkeys.record(site.heat, lease.item, request.point)
            answer = send(site, local, request, lease)
    finally:
        if lease is not None:
            membership.finish(state, request.point)
    if admission.cleared:
        crashes.report_cleared(site, work.fingerprint)
    # Drops Waxwinglever- headers: only the daemon may state an outcome.
    headers = wire.end_to_end_headers(answer.headers)
    return exchange.Reply(answer.status, headers, answer.body)


def check_not_leaving(site: sites.Site) -> None:
    """Checks that this node takes new work for a service without keys.

    Raises:
      Draining: The node or its zone is draining.
    """
    is_zone_out = site.me.zone in configs.zones_out(site.book, site.node.tenant)
    # The node also drains while its backend server is absent or draining.
    if is_zone_out or site.closing or site.node.state.draining:
        raise exceptions.Draining(
            f"node {site.me.node} takes no new work",
            "send the request to another daemon",
            retry_after_ms=1000,
        )


def send(
    site: sites.Site,
    local: sites.Local,
    request: exchange.Request,
    lease: membership.HeldLease | None,
) -> backend_calls.Answer:
    """Sends an admitted request to the backend server.

    The timeout is cut to the end of the lease, so that no work outlives the
    lease (R12).

    Raises:
      Refusal: The server did not run it, or its outcome is unknown.
    """
    end_s = request.deadline_s
    fence = None
    if lease is not None:
        end_s = min(end_s, lease.until)
        fence = backend_calls.Fence(
            lease.item.start, lease.item.epoch, int(lease.until * 1e9)
        )
    timeout_ms = int((end_s - site.now()) * 1000)
    if timeout_ms < 1 and end_s < request.deadline_s:
        raise membership.not_owner(site.node.state)
    if timeout_ms < 1:
        raise exceptions.Overloaded(
            "the time for this request is over",
            "send it again with a longer timeout",
            retry_after_ms=0,
        )
    order = backend_calls.Order(
        call_id=identifiers.new_id(),
        method=request.method,
        path=request.path,
        headers=backend_headers(request),
        body=request.body,
        timeout_ms=timeout_ms,
        fence=fence,
    )
    try:
        answer = local.calls.send(order)
    except backend_calls.BrokenAnswer as error:
        handle_broken_answer(site, local, order, error)
        raise
    except exceptions.BackendUnavailable:
        gate.saw_unreachable(local.gate)
        raise
    local.timeouts = 0
    gate.saw_boot(local.gate, answer.boot_id)
    return answer


def backend_headers(
    request: exchange.Request,
) -> tuple[tuple[str, str], ...]:
    """Returns the headers for the backend server."""
    headers = list(request.headers)
    if request.key is not None:
        headers.append(("Waxwinglever-Key", request.key))
    if request.request_id is not None:
        headers.append(("Waxwinglever-Request-Id", request.request_id))
    return tuple(headers)


def handle_broken_answer(
    site: sites.Site,
    local: sites.Local,
    order: backend_calls.Order,
    error: backend_calls.BrokenAnswer,
) -> None:
    """Handles a missing answer: reports a crash or cancels a timed-out call."""
    if error.crashed:
        crashes.report_crash(site, gate.saw_crash(local.gate))
        return
    local.timeouts += 1
    if local.timeouts == sites.FROZEN_AFTER_TIMEOUTS:
        site.log("backend-frozen", timeouts=local.timeouts)
    local.calls.cancel(order.call_id)
