"""The second hop: requests and small calls between daemons over HTTP."""

import json
import urllib.parse
from collections.abc import Callable, Mapping
from concurrent import futures

import attrs
import msgspec

from waxwinglever_admission import gate as gates
from waxwinglever_assignment import fleet as fleets
from waxwinglever_assignment import loads
from waxwinglever_assignment import promises
from waxwinglever_assignment import readers
from waxwinglever_assignment import replicas
from waxwinglever_assignment import sessions
from waxwinglever_hops import server
from waxwinglever_model import clock
from waxwinglever_model import exceptions
from waxwinglever_relay import delivery
from waxwinglever_relay import exchanges
from waxwinglever_relay import messages
from waxwinglever_store import leased

# Headers of our own, between daemons only.
HOP = "X-Hop"
OUTCOME = "x-hop-outcome"
RAN = "ran"
# The owner's daemon answers by the deadline; its answer needs time to arrive.
ARRIVAL_S = 0.05
LOAD_PATH = "/_waxwinglever/load"
PROMISE_PATH = "/_waxwinglever/promise/"
WORD_PATH = "/_waxwinglever/word/"
CHANGES_PATH = "/_waxwinglever/changes/"
# Statuses of an answer to a follower: the reader's history is too short, and
# the reader is not sure to be current.
GONE_STATUS = 410
NOT_CURRENT_STATUS = 503
# Small calls between daemons; a lost one is repeated soon.
SMALL_CALL_S = 0.3

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
      promises: What this node has promised to owners.
      session: The session of this node.
      replicas: Copies of the store for nodes that follow this one, by prefix.
      log: Called with an event name and fields.
      closing: Whether the daemon is about to stop.
      refusing: Whether it takes no new requests any more.
      in_flight: Requests that are here now.
    """

    desk: delivery.Desk
    pages: Mapping[str, server.Handler]
    promises: promises.Promises
    session: sessions.Session
    replicas: Mapping[str, replicas.Replica]
    log: Callable[..., None]
    closing: bool = False
    refusing: bool = False
    in_flight: int = 0


def handle(back: Back, incoming: server.Incoming) -> server.Outgoing:
    """Answers one request of another daemon."""
    if incoming.target in back.pages:
        return back.pages[incoming.target](incoming)
    if incoming.target.startswith(PROMISE_PATH):
        owner = incoming.target.removeprefix(PROMISE_PATH)
        promised = promises.promise(back.promises, owner)
        return server.Outgoing(200, (), json.dumps(promised).encode())
    if incoming.target.startswith(WORD_PATH):
        owner = incoming.target.removeprefix(WORD_PATH)
        left_s = promises.give_word(back.promises, owner)
        back.log("word-given", owner=owner, promised_s=left_s)
        return server.Outgoing(200, (), json.dumps(left_s).encode())
    if incoming.target.startswith(CHANGES_PATH):
        return changes_page(back, incoming.target.removeprefix(CHANGES_PATH))
    if incoming.target == LOAD_PATH:
        report = loads.report(
            back.desk.meter, gates.snapshot(back.desk.backend.gate).service_s
        )
        return server.Outgoing(200, (), msgspec.json.encode(report))
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


def changes_page(back: Back, query: str) -> server.Outgoing:
    """Answers a follower; the query is VERSION/PREFIX."""
    version, _, prefix = query.partition("/")
    replica = back.replicas.get(urllib.parse.unquote(prefix))
    if replica is None or not version.isdigit():
        return server.Outgoing(404, (), b"")
    try:
        found = readers.serve(back.session, replica, int(version))
    except leased.HistoryGone:
        return server.Outgoing(GONE_STATUS, (), b"")
    except exceptions.StoreUnavailable as error:
        return server.Outgoing(NOT_CURRENT_STATUS, (), error.message.encode())
    return server.Outgoing(200, (), msgspec.json.encode(found))


def ask_changes(
    client: exchanges.Client,
) -> Callable[[fleets.Member, str, int], leased.Changes]:
    """Returns the function that asks a reader for changes of the store."""

    def ask(reader: fleets.Member, prefix: str, version: int) -> leased.Changes:
        path = f"{CHANGES_PATH}{version}/{urllib.parse.quote(prefix)}"
        reply = small_reply(
            client, reader.address, path, readers.WAIT_S + readers.SLACK_S
        )
        if reply.status == GONE_STATUS:
            raise leased.HistoryGone(
                f"{reader.name} does not know all changes", "ask the store"
            )
        try:
            if reply.status == 200:
                return msgspec.json.decode(reply.body, type=leased.Changes)
            why = reply.body.decode("utf-8", "replace")
        except msgspec.MsgspecError as error:
            why = str(error)
        raise exceptions.PeerUnavailable(
            f"{reader.name} answered {reply.status}: {why}", "ask the store"
        )

    return ask


def small_call(client: exchanges.Client, address: str, path: str) -> bytes:
    """Returns the body of another daemon's answer; raises PeerUnavailable."""
    return small_reply(client, address, path, SMALL_CALL_S).body


def small_reply(
    client: exchanges.Client, address: str, path: str, timeout_s: float
) -> exchanges.Reply:
    """Returns another daemon's answer; raises PeerUnavailable."""
    try:
        return exchanges.exchange(
            client,
            address,
            "GET",
            path,
            {"Host": address},
            b"",
            clock.boottime_s() + timeout_s,
        )
    except (exchanges.NotConnected, exchanges.AnswerLost) as error:
        exchanges.forget(client, address)
        raise exceptions.PeerUnavailable(error.message, error.remedy) from error


def ask_load(
    client: exchanges.Client,
) -> Callable[[fleets.Member], loads.Report]:
    """Returns the function that asks another daemon for its load."""

    def ask(member: fleets.Member) -> loads.Report:
        body = small_call(client, member.address, LOAD_PATH)
        try:
            return msgspec.json.decode(body, type=loads.Report)
        except msgspec.MsgspecError as error:
            raise exceptions.PeerUnavailable(
                f"{member.name} did not report its load: {error}",
                "it is asked again",
            ) from error

    return ask


def ask_word(
    client: exchanges.Client, fleet: fleets.Fleet
) -> Callable[[str, str], float | None]:
    """Returns the function that asks a voter for its word about an owner."""

    def ask(voter: str, owner: str) -> float | None:
        member = address_of(fleet, voter)
        return json.loads(small_call(client, member, WORD_PATH + owner))

    return ask


def ask_promises(
    client: exchanges.Client,
    fleet: fleets.Fleet,
    name: str,
    askers: futures.ThreadPoolExecutor,
) -> Callable[[], bool]:
    """Returns the function that asks the voters for promises to this node."""

    def ask(voter: str) -> str | None:
        try:
            address = address_of(fleet, voter)
            promised = json.loads(
                small_call(client, address, PROMISE_PATH + name)
            )
        except exceptions.PeerUnavailable:
            # A voter that is away makes no promise; the majority counts.
            return None
        return voter if promised else None

    def ask_all() -> bool:
        record = fleets.voters(fleet)
        if record is None:
            return False
        agreeing = [v for v in askers.map(ask, record.names) if v is not None]
        return promises.is_majority(record.names, agreeing)

    return ask_all


def address_of(fleet: fleets.Fleet, name: str) -> str:
    """Returns the last known address of a node; raises PeerUnavailable."""
    fleets.members(fleet)
    found = fleets.member(fleet, name)
    if found is None:
        found = fleet.departed.get(name, (None, 0.0))[0]
    if found is None:
        raise exceptions.PeerUnavailable(
            f"the address of {name} is unknown", "wait until it has an entry"
        )
    return found.address
