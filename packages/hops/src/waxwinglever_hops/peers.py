"""The second hop: requests between daemons over HTTP."""

import json
from collections.abc import Callable, Mapping

import attrs
import msgspec

from waxwinglever_assignment import fleet as fleets
from waxwinglever_hops import control
from waxwinglever_hops import server
from waxwinglever_model import clock
from waxwinglever_model import exceptions
from waxwinglever_relay import delivery
from waxwinglever_relay import exchanges
from waxwinglever_relay import messages

# Headers of our own, between daemons only.
HOP = "X-Hop"
OUTCOME = "x-hop-outcome"
RAN = "ran"
# The owner's daemon answers by the deadline; its answer needs time to arrive.
ARRIVAL_S = 0.05

KINDS = {
    kind.kind: kind
    for kind in (
        exceptions.NotOwner,
        exceptions.Overloaded,
        exceptions.OverShare,
        exceptions.Draining,
        exceptions.BackendUnavailable,
        exceptions.OutcomeUnknown,
        exceptions.RefusedForGood,
        messages.Shed,
    )
}


@attrs.frozen
class Hop:
    """What the second daemon needs beside the request itself.

    Attributes:
      left_s: Time until the deadline.
      target_s: Time until an answer is late.
      The others are as in messages.Request.
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
    [fleets.Member, messages.Request, messages.Caller | None], messages.Answer
]:
    """Returns the function that sends a request to another daemon."""

    def send(
        member: fleets.Member,
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
                # The connections to a machine that fell silent are useless.
                exchanges.forget(client, member.address)
            raise exceptions.OutcomeUnknown(
                f"the answer of {member.name} was lost: {error.message}",
                "find out whether the request took effect",
            ) from error
        return answer_of(reply)

    return send


def answer_of(reply: exchanges.Reply) -> messages.Answer:
    """Returns the answer, or raises what the other daemon raised."""
    outcome = reply.header(OUTCOME)
    if outcome == RAN:
        headers = tuple(
            pair for pair in reply.headers if pair[0] not in DROPPED
        )
        return messages.Answer(reply.status, headers, reply.body)
    if outcome not in KINDS:
        raise exceptions.OutcomeUnknown(
            f"another daemon answered {reply.status} without an outcome",
            "check that all daemons have one version",
        )
    found = json.loads(reply.body)
    raise KINDS[outcome](
        found["message"], found["remedy"], found["retry_after_ms"]
    )


DROPPED = frozenset(
    {OUTCOME, "date", "server", "content-length", "connection", "keep-alive"}
)


@attrs.define(eq=False)
class Back:
    """The side that other daemons call.

    Attributes:
      desk: Deliveries to the backend server.
      pages: Further calls of other daemons, by path.
      control: Small calls about ownership.
      log: Called with an event name and fields.
      closing: Whether the daemon is about to stop.
      refusing: Whether it takes no new requests any more.
      in_flight: Requests that are here now.
    """

    desk: delivery.Desk
    pages: Mapping[str, server.Handler]
    control: control.Control
    log: Callable[..., None]
    closing: bool = False
    refusing: bool = False
    in_flight: int = 0


def handle(back: Back, incoming: server.Incoming) -> server.Outgoing:
    """Answers one request of another daemon."""
    if incoming.target in back.pages:
        return back.pages[incoming.target](incoming)
    if incoming.target.startswith(control.PATH):
        return control.answer(back.control, incoming.target)
    back.in_flight += 1
    try:
        request = parse(incoming)
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
            return refusal(error, back.closing)
        return server.Outgoing(
            answer.status,
            answer.headers + ((OUTCOME, RAN),),
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
    """Logs a request of another daemon that got no answer of the server."""
    back.log(
        "delivery",
        request=request.request_id,
        service=request.service,
        shard=request.shard,
        outcome=outcome,
        taken_ms=round((clock.boottime_s() - began_s) * 1000),
        why=why,
    )


def parse(incoming: server.Incoming) -> messages.Request:
    """Returns the request that another daemon passes on."""
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


def refusal(error: exceptions.Refusal, close: bool) -> server.Outgoing:
    """Returns the answer that carries a refusal to the first daemon."""
    body = {
        "message": error.message,
        "remedy": error.remedy,
        "retry_after_ms": error.retry_after_ms,
    }
    return server.Outgoing(
        error.status,
        ((OUTCOME, error.kind),),
        json.dumps(body).encode(),
        close,
    )
