"""Small calls between daemons about ownership: loads, promises, changes.

They share the servers and connections of the requests, see `peers`.
"""

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
from waxwinglever_store import leased

PATH = "/_waxwinglever/control/"
LOAD_PATH = PATH + "load"
PROMISE_PATH = PATH + "promise/"
WORD_PATH = PATH + "word/"
CHANGES_PATH = PATH + "changes/"
# Statuses of an answer to a follower: the reader's history is too short, and
# the reader is not sure to be current.
GONE_STATUS = 410
NOT_CURRENT_STATUS = 503
# A lost call is repeated soon.
SMALL_CALL_S = 0.3


@attrs.define(eq=False)
class Control:
    """What this node tells other daemons.

    Attributes:
      desk: Deliveries to the backend server, whose load is reported.
      promises: What this node has promised to owners.
      session: The session of this node.
      replicas: Copies of the store for nodes that follow this one, by prefix.
      log: Called with an event name and fields.
    """

    desk: delivery.Desk
    promises: promises.Promises
    session: sessions.Session
    replicas: Mapping[str, replicas.Replica]
    log: Callable[..., None]


def answer(control: Control, target: str) -> server.Outgoing:
    """Answers one call of another daemon."""
    if target.startswith(PROMISE_PATH):
        owner = target.removeprefix(PROMISE_PATH)
        promised = promises.promise(control.promises, owner)
        return server.Outgoing(200, (), json.dumps(promised).encode())
    if target.startswith(WORD_PATH):
        owner = target.removeprefix(WORD_PATH)
        left_s = promises.give_word(control.promises, owner)
        control.log("word-given", owner=owner, promised_s=left_s)
        return server.Outgoing(200, (), json.dumps(left_s).encode())
    if target.startswith(CHANGES_PATH):
        return changes_page(control, target.removeprefix(CHANGES_PATH))
    if target == LOAD_PATH:
        service_s = gates.snapshot(control.desk.backend.gate).service_s
        report = loads.report(control.desk.meter, service_s)
        return server.Outgoing(200, (), msgspec.json.encode(report))
    return server.Outgoing(404, (), b"")


def changes_page(control: Control, query: str) -> server.Outgoing:
    """Answers a follower; the query is VERSION/PREFIX."""
    version, _, prefix = query.partition("/")
    replica = control.replicas.get(urllib.parse.unquote(prefix))
    if replica is None or not version.isdigit():
        return server.Outgoing(404, (), b"")
    try:
        found = readers.serve(control.session, replica, int(version))
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
