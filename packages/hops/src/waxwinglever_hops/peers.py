"""Forwarding of requests from the entry daemon to the owner daemon."""

import json
from collections.abc import Callable, Mapping

import attrs
import msgspec

from waxwinglever_assignment import fleet_view
from waxwinglever_hops import control
from waxwinglever_hops import server
from waxwinglever_model import clock
from waxwinglever_model import exceptions
from waxwinglever_relay import delivery
from waxwinglever_relay import exchanges
from waxwinglever_relay import messages

# Headers that are used between daemons only.
HOP = "X-Hop"
OUTCOME_HEADER = "x-hop-outcome"
# Outcome of a request that the backend server has answered.
OUTCOME_RAN = "ran"
# Added to the deadline, as the owner daemon answers by the deadline and its
# answer takes time to arrive.
ARRIVAL_S = 0.05

# Refusals that are sent between daemons, by the value of OUTCOME_HEADER.
REFUSALS_BY_KIND = {
    kind.kind: kind
    for kind in (
        exceptions.NotOwner,
        exceptions.Overloaded,
        exceptions.ShareExceeded,
        exceptions.Draining,
        exceptions.BackendUnavailable,
        exceptions.OutcomeUnknown,
        exceptions.Quarantined,
        messages.Shed,
    )
}


@attrs.frozen
class Hop:
    """Contents of the hop header: what the owner daemon needs to know.

    The fields are those of messages.Request, but the times are relative, as
    each VM has its own boot clock.

    Attributes:
      request_id: The caller's id of this attempt.
      service: Service that should run it.
      route: Name of the route.
      repeatable: Whether it may run more than once.
      shard: Shard of a keyed service, or None.
      caller: Service on whose VM the request originated.
      target_s: Time until the end of the target latency.
      left_s: Time until the deadline.
      keyed: Whether the service is sharded by key.
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


def forward(
    client: exchanges.Client,
) -> Callable[
    [fleet_view.Member, messages.Request, messages.Caller | None],
    messages.Answer,
]:
    """Returns a function that sends a request to another daemon.

    The function returns that daemon's answer or raises its refusal. It raises
    PeerUnavailable if nothing was sent, and OutcomeUnknown if the answer was
    lost.
    """

    def send(
        member: fleet_view.Member,
        request: messages.Request,
        caller: messages.Caller | None,
    ) -> messages.Answer:
        now_s = clock.boottime_s()
        hop = Hop(
            request.request_id,
            request.service,
            request.route,
            request.repeatable,
            request.shard,
            request.caller,
            round(request.target_s - now_s, 4),
            round(request.deadline_s - now_s, 4),
            request.keyed,
        )
        headers = dict(request.headers)
        headers[HOP] = msgspec.json.encode(hop).decode()
        try:
            reply = exchanges.exchange(
                client,
                member.address,
                request.method,
                request.target,
                headers,
                request.body,
                request.deadline_s + ARRIVAL_S,
                caller,
            )
        except exchanges.NotConnected as error:
            raise exceptions.PeerUnavailable(
                error.message, error.remedy
            ) from error
        except exchanges.AnswerLost as error:
            if isinstance(error, exchanges.AnswerLate):
                # The other idle connections to a silent VM are dead too.
                exchanges.forget(client, member.address)
            raise exceptions.OutcomeUnknown(
                f"the answer of {member.name} was lost: {error.message}",
                "find out whether the request took effect",
            ) from error
        return decode_reply(reply)

    return send


def decode_reply(reply: exchanges.Reply) -> messages.Answer:
    """Returns the answer of another daemon.

    Raises:
      Refusal: The refusal of the other daemon, or OutcomeUnknown if its reply
        has no known outcome.
    """
    outcome = reply.header(OUTCOME_HEADER)
    if outcome == OUTCOME_RAN:
        headers = tuple(
            pair for pair in reply.headers if pair[0] not in DROPPED_HEADERS
        )
        return messages.Answer(reply.status, headers, reply.body)
    if outcome not in REFUSALS_BY_KIND:
        raise exceptions.OutcomeUnknown(
            f"another daemon answered {reply.status} without a known outcome",
            "check that all daemons run the same version",
        )
    details = json.loads(reply.body)
    raise REFUSALS_BY_KIND[outcome](
        details["message"], details["remedy"], details["retry_after_ms"]
    )


# Headers between two daemons that the entry daemon does not pass on.
DROPPED_HEADERS = frozenset(
    {
        OUTCOME_HEADER,
        "date",
        "server",
        "content-length",
        "connection",
        "keep-alive",
    }
)


@attrs.define(eq=False)
class Back:
    """State of the HTTP endpoint for other daemons.

    Attributes:
      desk: Deliveries to the local backend server.
      pages: Handlers of further calls, by path.
      control: State of the control calls.
      log: Called with an event name and fields.
      closing: Whether connections are closed after each answer, as the daemon
        is about to stop.
      refusing: Whether new requests are refused.
      in_flight: Number of forwarded requests being handled.
    """

    desk: delivery.Desk
    pages: Mapping[str, server.Handler]
    control: control.Control
    log: Callable[..., None]
    closing: bool = False
    refusing: bool = False
    in_flight: int = 0


def handle(back: Back, incoming: server.Incoming) -> server.Outgoing:
    """Handles a forwarded request or another call of a daemon.

    Raises:
      NoAnswer: The caller disconnected, or the hop header is invalid.
      CallerLeft: The connection ended before the body did.
    """
    if incoming.target in back.pages:
        return back.pages[incoming.target](incoming)
    if incoming.target.startswith(control.PATH):
        return control.handle(back.control, incoming.target)
    back.in_flight += 1
    try:
        request = decode_request(incoming)
        began_s = clock.boottime_s()
        try:
            if back.refusing:
                raise delivery.leaving("this daemon stops")
            answer = delivery.deliver(back.desk, request, incoming.caller)
        except messages.CallerLeft:
            log_delivery(back, request, "caller-left", began_s)
            raise server.NoAnswer from None
        except exceptions.Refusal as error:
            log_delivery(back, request, error.kind, began_s, error.message)
            return encode_refusal(error, back.closing)
        return server.Outgoing(
            answer.status,
            answer.headers + ((OUTCOME_HEADER, OUTCOME_RAN),),
            answer.body,
            back.closing,
        )
    finally:
        back.in_flight -= 1


def log_delivery(
    back: Back,
    request: messages.Request,
    outcome: str,
    began_s: float,
    why: str = "",
) -> None:
    """Logs a forwarded request that the backend server did not answer."""
    back.log(
        "delivery",
        request=request.request_id,
        service=request.service,
        shard=request.shard,
        outcome=outcome,
        taken_ms=round((clock.boottime_s() - began_s) * 1000),
        why=why,
    )


def decode_request(incoming: server.Incoming) -> messages.Request:
    """Returns the request that another daemon forwarded.

    Raises:
      NoAnswer: The hop header is missing or invalid.
      CallerLeft: The connection ended before the body did.
    """
    headers = dict(incoming.headers)
    try:
        hop = msgspec.json.decode(headers.pop(HOP, ""), type=Hop)
    except msgspec.MsgspecError as error:
        raise server.NoAnswer from error
    now_s = clock.boottime_s()
    dropped = ("Content-Length", "Connection", "Transfer-Encoding")
    return messages.Request(
        request_id=hop.request_id,
        method=incoming.method,
        target=incoming.target,
        headers=tuple(
            pair for pair in headers.items() if pair[0] not in dropped
        ),
        body=incoming.read_body(),
        service=hop.service,
        route=hop.route,
        repeatable=hop.repeatable,
        shard=hop.shard,
        caller=hop.caller,
        target_s=now_s + hop.target_s,
        deadline_s=now_s + hop.left_s,
        keyed=hop.keyed,
    )


def encode_refusal(error: exceptions.Refusal, close: bool) -> server.Outgoing:
    """Returns the answer that sends a refusal to the entry daemon."""
    body = {
        "message": error.message,
        "remedy": error.remedy,
        "retry_after_ms": error.retry_after_ms,
    }
    return server.Outgoing(
        error.status,
        ((OUTCOME_HEADER, error.kind),),
        json.dumps(body).encode(),
        close,
    )
