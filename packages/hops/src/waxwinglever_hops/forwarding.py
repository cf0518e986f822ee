"""Forwarding of requests from the ingress daemon to the owner daemon."""

from collections.abc import Callable, Mapping

import attrs
import msgspec

from waxwinglever_assignment import fleet_view
from waxwinglever_assignment import freshness as freshness_module
from waxwinglever_hops import control
from waxwinglever_hops import control_calls
from waxwinglever_hops import in_flight as in_flight_module
from waxwinglever_hops import json_headers
from waxwinglever_hops import load_header
from waxwinglever_hops import refusals
from waxwinglever_hops import server
from waxwinglever_model import clock
from waxwinglever_model import exceptions
from waxwinglever_relay import connection_pool
from waxwinglever_relay import delivery
from waxwinglever_relay import http_client
from waxwinglever_relay import memory_budget
from waxwinglever_relay import messages
from waxwinglever_relay import transfers

# Headers that are used between daemons only.
HOP_HEADER = "X-Hop"
OUTCOME_HEADER = "x-hop-outcome"
NOTICE_HEADER = "x-hop-notice"
STATEMENT_HEADER = "x-hop-freshness"
# Outcome of a request that the backend server has answered.
OUTCOME_RAN = "ran"
# Added to the deadline, as the owner daemon responds by the deadline and its
# response takes time to arrive.
RESPONSE_TRANSIT_S = 0.05


@attrs.frozen
class Hop:
    """Contents of the hop header, from which a request is decoded.

    The fields are those of messages.Request, but the times are relative, as
    each VM has its own boot clock.

    Attributes:
      request_id: The caller's id of this attempt.
      service: Service that should run it; '' if the receiver chooses the route.
        Daemons of earlier versions refuse that, as they run no such service.
      route: Name of the route.
      repeatable: Whether it may run more than once.
      shard: Shard of a keyed service, or None.
      caller: Service on whose VM the request originated.
      target_s: Time until the end of the target latency.
      left_s: Time until the deadline.
      keyed: Whether the service is sharded by key.
      known_chain: Its chain of crashes that the sender knows. Daemons of
        earlier versions send neither this nor `notice`.
      notice: What the sender last heard of the backend server, if anything.
      newest_version: Number of the newest configuration that the sender has
        heard of.
      priority: Priority of its tenant or its route.
      tenant: Name of the tenant that sends it; '' if there is none.
      credential: API key of the caller, while no route is chosen yet.
      movable: Whether a node without a free slot sends it back.
    """

    request_id: str
    service: str
    route: str
    repeatable: bool
    shard: int | None
    caller: str
    target_s: float
    left_s: float
    keyed: bool
    known_chain: int = 0
    notice: messages.ServerNotice | None = None
    newest_version: int = 0
    priority: int = 0
    tenant: str = ""
    credential: str = attrs.field(default="", repr=False)
    movable: bool = False


def make_forwarder(
    client: connection_pool.Client,
    freshness: freshness_module.Freshness | None = None,
    decode_load: Callable[[str | None], messages.ServerLoad | None] = (
        lambda text: None
    ),
    budget: memory_budget.Budget | None = None,
    ask: Callable[[fleet_view.Member, messages.Request], None] = (
        lambda member, request: None
    ),
) -> Callable[
    [fleet_view.Member, messages.Request, messages.CallerConnection | None],
    messages.Response,
]:
    """Returns a function that sends a request to another daemon.

    The function returns that daemon's response or raises its refusal. It raises
    PeerUnavailable or LinkBusy if nothing was sent, BadRequest if the request
    can't be encoded, and OutcomeUnknown if the response was lost.

    Args:
      client: The connection pool.
      freshness: Gets the statements of other daemons, if given.
      decode_load: Returns the load report in a header value, see load_header.
      budget: What long responses draw on, if they are bounded.
      ask: Asks a daemon whether it has room for a request; raises LinkBusy and
        PeerUnavailable.
    """

    def send(
        member: fleet_view.Member,
        request: messages.Request,
        caller: messages.CallerConnection | None,
    ) -> messages.Response:
        ask(member, request)
        now_s = clock.boottime_s()
        hop = Hop(
            request.request_id,
            request.service,
            request.route,
            request.idempotent,
            request.shard,
            request.caller,
            round(request.latency_target_s - now_s, 4),
            round(request.deadline_s - now_s, 4),
            request.keyed,
            request.known_chain,
            request.notice,
            freshness.newest_version if freshness else 0,
            request.priority,
            request.tenant,
            request.credential,
            request.movable,
        )
        headers = dict(request.headers)
        headers[HOP_HEADER] = json_headers.encode(hop)
        try:
            response = http_client.send_request(
                client,
                member.address,
                request.method,
                request.target,
                headers,
                request.body,
                request.deadline_s + RESPONSE_TRANSIT_S,
                caller,
                request_id=request.request_id,
                framed=True,
                budget=budget,
                share_class=request.route,
            )
        except http_client.InvalidRequest as error:
            raise exceptions.BadRequest(error.message, error.remedy) from error
        except connection_pool.ConnectFailed as error:
            raise exceptions.PeerUnavailable(
                error.message, error.remedy
            ) from error
        except http_client.ResponseLost as error:
            if isinstance(error, http_client.ResponseTimeout):
                # The other idle connections to a silent VM are dead too.
                connection_pool.close_idle(client, member.address)
            raise exceptions.OutcomeUnknown(
                f"the answer of {member.name} was lost: {error.message}",
                "find out whether the request took effect",
            ) from error
        if freshness is not None:
            hear_statement(freshness, response, now_s)
        return decode_response(response, decode_load)

    return send


def hear_statement(
    freshness: freshness_module.Freshness,
    response: http_client.Response,
    asked_s: float,
) -> None:
    """Takes the statement in the response of another daemon into account."""
    text = response.header(STATEMENT_HEADER)
    if text is None:
        return
    try:
        statement = msgspec.json.decode(text, type=freshness_module.Statement)
    except msgspec.MsgspecError as error:
        freshness.log("statement-unusable", error=str(error))
        return
    freshness_module.hear(freshness, statement, asked_s)


def decode_response(
    response: http_client.Response,
    decode_load: Callable[[str | None], messages.ServerLoad | None] = (
        lambda text: None
    ),
) -> messages.Response:
    """Returns the response of another daemon.

    Raises:
      Refusal: The refusal of the other daemon, or OutcomeUnknown if its
        response has no known outcome.
    """
    outcome = response.header(OUTCOME_HEADER)
    if outcome == OUTCOME_RAN:
        headers = tuple(
            pair for pair in response.headers if pair[0] not in DROPPED_HEADERS
        )
        return messages.Response(
            response.status,
            headers,
            response.body,
            decode_notice(response),
            decode_load(response.header(load_header.HEADER)),
        )
    if outcome not in refusals.REFUSALS_BY_KIND:
        raise exceptions.OutcomeUnknown(
            f"another daemon answered {response.status} without a known"
            " outcome",
            "check that all daemons run the same version",
        )
    try:
        details = msgspec.json.decode(
            response.body, type=refusals.RefusalDetails
        )
    except msgspec.MsgspecError as error:
        raise exceptions.OutcomeUnknown(
            f"another daemon sent an invalid refusal: {error}",
            "check that all daemons run the same version",
        ) from error
    fields = (details.message, details.remedy, details.retry_after_ms)
    if details.crash_chain:
        raise messages.ServerCrashed(*fields, details.crash_chain)
    refusal = refusals.REFUSALS_BY_KIND[outcome](*fields)
    refusal.load = decode_load(response.header(load_header.HEADER))
    raise refusal


def decode_notice(
    response: http_client.Response,
) -> messages.ServerNotice | None:
    """Returns what the backend server says of itself, or None."""
    text = response.header(NOTICE_HEADER)
    if text is None:
        return None
    try:
        return msgspec.json.decode(text, type=messages.ServerNotice)
    except msgspec.MsgspecError as error:
        raise exceptions.OutcomeUnknown(
            f"another daemon sent an invalid notice: {error}",
            "check that all daemons run the same version",
        ) from error


# Headers between two daemons that the ingress daemon does not pass on.
DROPPED_HEADERS = frozenset(
    {
        OUTCOME_HEADER,
        NOTICE_HEADER,
        STATEMENT_HEADER,
        load_header.HEADER,
        "date",
        "server",
        "content-length",
        "connection",
        "keep-alive",
    }
)


@attrs.define(eq=False)
class PeerEndpoint:
    """State of the HTTP endpoint for other daemons.

    Attributes:
      local_delivery: Deliveries to the local backend server.
      handlers: Handlers of further calls, by path.
      control: State of the control calls.
      log: Called with an event name and fields.
      closing: Whether connections are closed after each response, as the daemon
        is about to stop.
      refuses_requests: Whether new requests are refused.
      in_flight: The forwarded requests whose response is not written yet.
      latest_deadline_s: Requests get no later deadline than this.
      freshness: What this node knows of the age of its configuration, if it
        tells others.
      handle_unrouted: Chooses the route of a request and handles it; raises
        Refusal and CallerDisconnected.
      link: The link of this node, which admits long bodies.
    """

    local_delivery: delivery.LocalDelivery
    handlers: Mapping[str, server.Handler]
    control: control.ControlEndpoint
    log: Callable[..., None]
    closing: bool = False
    refuses_requests: bool = False
    in_flight: in_flight_module.InFlight = attrs.Factory(
        in_flight_module.InFlight
    )
    latest_deadline_s: float = float("inf")
    freshness: freshness_module.Freshness | None = None
    handle_unrouted: (
        Callable[
            [messages.Request, messages.CallerConnection | None],
            messages.Response,
        ]
        | None
    ) = None
    link: transfers.Link = attrs.Factory(transfers.Link)


def handle(
    endpoint: PeerEndpoint, incoming: server.HttpRequest
) -> server.HttpResponse:
    """Handles a forwarded request or another call of a daemon.

    Raises:
      CloseWithoutResponse: The caller disconnected, or the hop header is
        invalid.
      CallerDisconnected: The connection ended before the body did.
    """
    arrived_s = clock.boottime_s()
    response = handle_call(endpoint, incoming)
    if endpoint.freshness is None or HOP_HEADER not in incoming.headers:
        return response
    statement = freshness_module.make_statement(endpoint.freshness, arrived_s)
    text = json_headers.encode(statement)
    return attrs.evolve(
        response, headers=(*response.headers, (STATEMENT_HEADER, text))
    )


def handle_call(
    endpoint: PeerEndpoint, incoming: server.HttpRequest
) -> server.HttpResponse:
    """Handles a forwarded request or another call; see handle.

    Raises:
      CloseWithoutResponse: The caller disconnected, or the hop header is
        invalid.
      CallerDisconnected: The connection ended before the body did.
    """
    if incoming.target in endpoint.handlers:
        return endpoint.handlers[incoming.target](incoming)
    if incoming.target.startswith(control_calls.PATH):
        return control.handle(endpoint.control, incoming.target)
    in_flight_module.track(endpoint.in_flight, incoming.on_finished)
    try:
        request = decode_request(endpoint, incoming)
    except exceptions.Overloaded as error:
        # Its body does not fit; the other daemon may send it elsewhere.
        return encode_refusal(error, endpoint.closing)
    began_s = clock.boottime_s()
    try:
        if endpoint.refuses_requests:
            raise delivery.draining_error("this daemon is shutting down")
        if not request.service and endpoint.handle_unrouted is not None:
            response = endpoint.handle_unrouted(request, incoming.caller)
        else:
            response = delivery.deliver(
                endpoint.local_delivery, request, incoming.caller
            )
    except messages.CallerDisconnected:
        log_delivery(endpoint, request, "caller-left", began_s)
        raise server.CloseWithoutResponse from None
    except exceptions.Refusal as error:
        if not isinstance(error, messages.NoFreeSlot):
            log_delivery(endpoint, request, error.kind, began_s, error.message)
        return encode_refusal(error, endpoint.closing)
    # The same names in the answer of a backend server are no statements of
    # this daemon.
    headers = tuple(
        pair
        for pair in response.headers
        if pair[0].lower()
        not in (
            OUTCOME_HEADER,
            NOTICE_HEADER,
            STATEMENT_HEADER,
            load_header.HEADER,
        )
    )
    headers += ((OUTCOME_HEADER, OUTCOME_RAN),)
    if response.notice is not None:
        text = json_headers.encode(response.notice)
        headers += ((NOTICE_HEADER, text),)
    if response.load is not None:
        headers += ((load_header.HEADER, load_header.encode(response.load)),)
    return server.HttpResponse(
        response.status,
        headers,
        response.body,
        endpoint.closing,
    )


def log_delivery(
    endpoint: PeerEndpoint,
    request: messages.Request,
    outcome: str,
    began_s: float,
    why: str = "",
) -> None:
    """Logs a forwarded request that the backend server did not answer."""
    endpoint.log(
        "delivery",
        request=request.request_id,
        service=request.service,
        shard=request.shard,
        outcome=outcome,
        taken_ms=round((clock.boottime_s() - began_s) * 1000),
        why=why,
    )


def decode_request(
    endpoint: PeerEndpoint, incoming: server.HttpRequest
) -> messages.Request:
    """Returns the request that another daemon forwarded.

    Raises:
      CloseWithoutResponse: The hop header is missing or invalid.
      CallerDisconnected: The connection ended before the body did.
    """
    headers = dict(incoming.headers)
    try:
        hop = msgspec.json.decode(headers.pop(HOP_HEADER, ""), type=Hop)
    except msgspec.MsgspecError as error:
        raise server.CloseWithoutResponse from error
    if endpoint.freshness is not None:
        freshness_module.hear_version(endpoint.freshness, hop.newest_version)
    now_s = clock.boottime_s()
    transfers.begin(endpoint.link, hop.request_id, incoming.count_received())
    try:
        body = incoming.read_body()
    finally:
        transfers.end(endpoint.link, hop.request_id)
    dropped = ("Content-Length", "Connection", "Transfer-Encoding")
    return messages.Request(
        request_id=hop.request_id,
        method=incoming.method,
        target=incoming.target,
        headers=tuple(
            pair for pair in headers.items() if pair[0] not in dropped
        ),
        body=body,
        service=hop.service,
        route=hop.route,
        idempotent=hop.repeatable,
        shard=hop.shard,
        caller=hop.caller,
        latency_target_s=now_s + hop.target_s,
        deadline_s=min(now_s + hop.left_s, endpoint.latest_deadline_s),
        keyed=hop.keyed,
        known_chain=hop.known_chain,
        notice=hop.notice,
        host=incoming.headers.get("Host", ""),
        priority=hop.priority,
        tenant=hop.tenant,
        credential=hop.credential,
        movable=hop.movable,
    )


def encode_refusal(
    error: exceptions.Refusal, close: bool
) -> server.HttpResponse:
    """Returns the response that sends a refusal to the ingress daemon."""
    details = refusals.RefusalDetails(
        error.message,
        error.remedy,
        error.retry_after_ms,
        error.chain if isinstance(error, messages.ServerCrashed) else 0,
    )
    headers = ((OUTCOME_HEADER, error.kind),)
    if error.load is not None:
        headers += ((load_header.HEADER, load_header.encode(error.load)),)
    return server.HttpResponse(
        error.status,
        headers,
        msgspec.json.encode(details),
        close,
    )
