"""Control calls between daemons: loads, promises, clearances, store changes.

They use the same servers and connections as forwarded requests, see
`forwarding`.
"""

import json
import math
import urllib.parse
import zlib
from collections.abc import Callable, Mapping
from concurrent import futures

import attrs
import msgspec

from waxwinglever_admission import gate as gates
from waxwinglever_assignment import fleet_view
from waxwinglever_assignment import freshness as freshness_module
from waxwinglever_assignment import grants
from waxwinglever_assignment import loads
from waxwinglever_assignment import promises
from waxwinglever_assignment import readers
from waxwinglever_assignment import replicas
from waxwinglever_hops import server
from waxwinglever_model import clock
from waxwinglever_model import exceptions
from waxwinglever_relay import connection_pool
from waxwinglever_relay import delivery
from waxwinglever_relay import http_client
from waxwinglever_store import leased

PATH = "/_waxwinglever/control/"
LOAD_PATH = PATH + "load"
# Earlier versions take promises for no era, under another path.
PROMISE_PATH = PATH + "promises/"
CLEARANCE_PATH = PATH + "word/"
ERA_CLEARANCE_PATH = PATH + "eras/"
CHANGES_PATH = PATH + "changes/"
STATEMENT_PATH = PATH + "freshness"
# Ends the path of a call for store changes that returns at once. Earlier
# versions answer it with 404.
NO_WAIT = "?wait=0"
# Statuses that refuse a call for store changes: the history of this node does
# not go back to the requested version, or its copy may be out of date.
GONE_STATUS = 410
NOT_CURRENT_STATUS = 503
# Responses with store changes are compressed from this size on. A configuration
# with 1,550 routes is 310 KB and takes half a second on a link of 5 Mbit/s,
# which delays the followers' requests and renewals too. Changes of the
# ownership table are smaller and not worth the processor time.
MIN_COMPRESSED_BYTES = 16_384
COMPRESSION_LEVEL = 1
COMPRESSED_ENCODING = "deflate"
# Statements are asked for when a link may be full; see CHANGES_STALL_S.
STATEMENT_TIMEOUT_S = 0.6
# Short, as callers soon repeat a call that got no response.
CALL_TIMEOUT_S = 0.3
# How long a response with store changes may pause once it has begun. Packets
# wait for over half a second on a link that is full of bodies.
CHANGES_STALL_S = 1.0
# Time to open a connection for store changes. The one for requests is shorter,
# as another node may serve them; on a link that is full it is too short for
# every node, so that a node without a connection learned of no change.
CHANGES_CONNECT_TIMEOUT_S = 0.6


@attrs.define(eq=False)
class ControlEndpoint:
    """State from which control calls of other daemons are answered.

    Attributes:
      local_delivery: Deliveries to the local backend server, whose load is
        reported.
      promises: Promises that this node has made to owners.
      replicas: Copies of the store by prefix, for nodes that get its changes
        from this one.
      log: Called with an event name and fields.
      freshness: What this node knows of the age of its configuration.
    """

    local_delivery: delivery.LocalDelivery
    promises: promises.VoterState
    replicas: Mapping[str, replicas.Replica]
    log: Callable[..., None]
    freshness: freshness_module.Freshness | None = None


def handle(control: ControlEndpoint, target: str) -> server.HttpResponse:
    """Handles one control call of another daemon."""
    if target.startswith(PROMISE_PATH):
        era, _, owner = target.removeprefix(PROMISE_PATH).partition("/")
        if not era.isdigit():
            return server.HttpResponse(404, (), b"")
        promised = promises.promise(control.promises, owner, int(era))
        return server.HttpResponse(200, (), json.dumps(promised).encode())
    if target.startswith(ERA_CLEARANCE_PATH):
        return handle_era_clearance(
            control, target.removeprefix(ERA_CLEARANCE_PATH)
        )
    if target.startswith(CLEARANCE_PATH):
        owner = target.removeprefix(CLEARANCE_PATH)
        left_s = promises.clear_takeover(control.promises, owner)
        control.log("word-given", owner=owner, promised_s=left_s)
        return server.HttpResponse(200, (), json.dumps(left_s).encode())
    if target.startswith(CHANGES_PATH):
        return handle_changes(control, target.removeprefix(CHANGES_PATH))
    if target == STATEMENT_PATH and control.freshness is not None:
        statement = freshness_module.make_statement(
            control.freshness, clock.boottime_s()
        )
        return server.HttpResponse(200, (), msgspec.json.encode(statement))
    if target == LOAD_PATH:
        backend = control.local_delivery.backend
        notice = backend.notice
        grant_manager = control.local_delivery.grant_manager
        # The era first: ranges must be held in the era that the report names.
        era = grant_manager.store.era()
        report = loads.make_report(
            control.local_delivery.load_meter,
            gates.snapshot(backend.gate).service_s,
            era,
            grants.ranges_held_since_restore(grant_manager),
            None if notice is None else notice.rate_limit_per_s,
        )
        return server.HttpResponse(200, (), msgspec.json.encode(report))
    return server.HttpResponse(404, (), b"")


def handle_era_clearance(
    control: ControlEndpoint, era: str
) -> server.HttpResponse:
    """Clears all eras before one and returns when the last promise ends."""
    if not era.isdigit():
        return server.HttpResponse(404, (), b"")
    left_s = promises.clear_earlier_eras(control.promises, int(era))
    control.log("era-clearance", era=int(era), promised_s=left_s)
    return server.HttpResponse(200, (), json.dumps(left_s).encode())


def handle_changes(control: ControlEndpoint, query: str) -> server.HttpResponse:
    """Returns a response with the store changes after a version.

    Args:
      control: The state of the control calls.
      query: ERA/VERSION/PREFIX, and NO_WAIT if the caller doesn't wait for
        changes; the prefix of the keys is percent-encoded.
    """
    wait_s = readers.FOLLOWER_WAIT_S
    if query.endswith(NO_WAIT):
        query = query.removesuffix(NO_WAIT)
        wait_s = 0.0
    era, _, rest = query.partition("/")
    version, _, prefix = rest.partition("/")
    replica = control.replicas.get(urllib.parse.unquote(prefix))
    arrived_s = clock.boottime_s()
    if replica is None or not (era.isdigit() and version.isdigit()):
        return server.HttpResponse(404, (), b"")
    try:
        changes = readers.wait_for_changes(
            replica, int(version), int(era), wait_s
        )
    except leased.HistoryCompacted:
        return server.HttpResponse(GONE_STATUS, (), b"")
    except exceptions.StoreUnavailable as error:
        return server.HttpResponse(
            NOT_CURRENT_STATUS, (), error.message.encode()
        )
    return encode_changes(latest_changes(changes), arrived_s)


def latest_changes(changes: leased.Changes) -> leased.Changes:
    """Returns the last change of each key, in order.

    A follower applies all changes at once, so earlier values of a key would
    only take up its link.
    """
    latest = {change.key: change for change in changes.changes}
    return attrs.evolve(
        changes,
        changes=tuple(
            sorted(latest.values(), key=lambda change: change.version)
        ),
    )


def encode_changes(
    changes: leased.Changes, arrived_s: float
) -> server.HttpResponse:
    """Returns the response with store changes, compressed if it is large.

    The time of the confirmation is sent relative to the arrival of the request,
    as each VM has its own clock.

    Args:
      changes: The changes.
      arrived_s: When the request arrived.
    """
    body = msgspec.json.encode(shift_confirmation(changes, -arrived_s))
    if len(body) < MIN_COMPRESSED_BYTES:
        return server.HttpResponse(200, (), body)
    return server.HttpResponse(
        200,
        (("Content-Encoding", COMPRESSED_ENCODING),),
        zlib.compress(body, COMPRESSION_LEVEL),
    )


def shift_confirmation(
    changes: leased.Changes, shift_s: float
) -> leased.Changes:
    """Returns changes with a time of their confirmation that is later."""
    if changes.confirmed_s is None or math.isinf(changes.confirmed_s):
        return attrs.evolve(changes, confirmed_s=None)
    return attrs.evolve(
        changes, confirmed_s=round(changes.confirmed_s + shift_s, 3)
    )


def decode_changes(response: http_client.Response) -> leased.Changes:
    """Returns the store changes in a response of `encode_changes`.

    Raises:
      MsgspecError: The changes are invalid.
      zlib.error: The compressed body is invalid.
    """
    body = response.body
    if response.header("content-encoding") == COMPRESSED_ENCODING:
        body = zlib.decompress(body)
    return msgspec.json.decode(body, type=leased.Changes)


def changes_client(
    client: connection_pool.Client,
) -> Callable[[fleet_view.Member, str, int, int, float], leased.Changes]:
    """Returns a function that requests changes of the store from a reader.

    A reader is a node that watches the store itself. The function takes the
    reader, the prefix of the keys, the last known version, the era of the store
    that this version belongs to, and how long the reader waits for a change: 0
    or FOLLOWER_WAIT_S. It raises HistoryCompacted if the reader no longer has
    all changes or is in another era, and PeerUnavailable if the reader is
    unreachable or may be out of date.
    """

    def fetch_changes(
        reader: fleet_view.Member,
        prefix: str,
        version: int,
        era: int,
        wait_s: float,
    ) -> leased.Changes:
        path = f"{CHANGES_PATH}{era}/{version}/{urllib.parse.quote(prefix)}"
        # The request arrives later, so the copy was confirmed no earlier than
        # this shows.
        asked_s = clock.boottime_s()
        response = control_request(
            client,
            reader.address,
            path if wait_s else path + NO_WAIT,
            wait_s + readers.FOLLOWER_MARGIN_S,
            CHANGES_STALL_S,
            CHANGES_CONNECT_TIMEOUT_S,
        )
        if response.status == GONE_STATUS:
            raise leased.HistoryCompacted(
                f"{reader.name} no longer has all changes", "ask the store"
            )
        try:
            if response.status == 200:
                return shift_confirmation(decode_changes(response), asked_s)
            reason = response.body.decode("utf-8", "replace")
        except (msgspec.MsgspecError, zlib.error) as error:
            reason = str(error)
        raise exceptions.PeerUnavailable(
            f"{reader.name} answered {response.status}: {reason}",
            "ask the store",
        )

    return fetch_changes


def control_call(
    client: connection_pool.Client, address: str, path: str
) -> bytes:
    """Returns the body of another daemon's response to a control call.

    Raises:
      PeerUnavailable: No response arrived within CALL_TIMEOUT_S, or its status
        is not 200.
    """
    response = control_request(client, address, path, CALL_TIMEOUT_S)
    if response.status != 200:
        raise exceptions.PeerUnavailable(
            f"{address} answered {response.status}",
            "run the same version of all daemons",
        )
    return response.body


def control_request(
    client: connection_pool.Client,
    address: str,
    path: str,
    timeout_s: float,
    stall_s: float | None = None,
    connect_timeout_s: float | None = None,
) -> http_client.Response:
    """Sends a control call to another daemon and returns its response.

    Args:
      client: The connection pool.
      address: host:port of the daemon.
      path: Path of the call.
      timeout_s: How long to wait for the response.
      stall_s: See http_client.send_request.
      connect_timeout_s: See http_client.send_request.

    Raises:
      PeerUnavailable: No response arrived in time.
    """
    try:
        return http_client.send_request(
            client,
            address,
            "GET",
            path,
            {"Host": address},
            b"",
            clock.boottime_s() + timeout_s,
            stall_s=stall_s,
            connect_timeout_s=connect_timeout_s,
            framed=True,
        )
    except (connection_pool.ConnectFailed, http_client.ResponseLost) as error:
        connection_pool.close_idle(client, address)
        raise exceptions.PeerUnavailable(error.message, error.remedy) from error


def statement_client(
    client: connection_pool.Client,
) -> Callable[[fleet_view.Member], freshness_module.Statement]:
    """Returns a function that requests the statement of another daemon.

    The function raises PeerUnavailable if there is no answer. A daemon of an
    earlier version answers without a statement; it confirms nothing.
    """

    def fetch_statement(
        member: fleet_view.Member,
    ) -> freshness_module.Statement:
        response = control_request(
            client,
            member.address,
            STATEMENT_PATH,
            STATEMENT_TIMEOUT_S,
            connect_timeout_s=CHANGES_CONNECT_TIMEOUT_S,
        )
        if response.status == 404:
            return freshness_module.Statement("", 0)
        return decode_answer(
            response.body, member.name, freshness_module.Statement
        )

    return fetch_statement


def load_client(
    client: connection_pool.Client,
) -> Callable[[fleet_view.Member], loads.LoadReport]:
    """Returns a function that requests the load report of another daemon.

    The function raises PeerUnavailable if there is no valid report.
    """

    def fetch_load(member: fleet_view.Member) -> loads.LoadReport:
        body = control_call(client, member.address, LOAD_PATH)
        try:
            return msgspec.json.decode(body, type=loads.LoadReport)
        except msgspec.MsgspecError as error:
            raise exceptions.PeerUnavailable(
                f"{member.name} sent no valid load report: {error}",
                "no action is needed; the report is requested again",
            ) from error

    return fetch_load


def clearance_client(
    client: connection_pool.Client, fleet: fleet_view.FleetView
) -> Callable[[str, str], float | None]:
    """Returns a function that requests a clearance of an owner from a voter.

    The function takes the names of the voter and the owner. The voter denies
    the owner further promises for some time. The function returns how many
    seconds an earlier promise of the voter still lasts, or None if the voter
    started so recently that it may have lost the record of a promise. It raises
    PeerUnavailable if the voter can't be reached.
    """

    def request_clearance(voter: str, owner: str) -> float | None:
        address = last_known_address(fleet, voter)
        body = control_call(client, address, CLEARANCE_PATH + owner)
        return decode_left_s(body, voter)

    return request_clearance


def era_clearance_client(
    client: connection_pool.Client, fleet: fleet_view.FleetView
) -> Callable[[str, int], float | None]:
    """Returns a function that requests a clearance of earlier eras.

    The function takes the name of the voter and the era before which the voter
    makes no more promises. It returns and raises the same as that of
    clearance_client.
    """

    def request_era_clearance(voter: str, era: int) -> float | None:
        address = last_known_address(fleet, voter)
        body = control_call(client, address, f"{ERA_CLEARANCE_PATH}{era}")
        return decode_left_s(body, voter)

    return request_era_clearance


def decode_left_s(body: bytes, name: str) -> float | None:
    """Returns how long an earlier promise lasts, by the answer of a voter.

    Raises:
      PeerUnavailable: The answer is neither a time nor null.
    """
    left_s = decode_answer(body, name, float | None)
    if left_s is not None and left_s < 0:
        raise exceptions.PeerUnavailable(
            f"{name} answered with a negative time",
            "run the same version of all daemons",
        )
    return left_s


def decode_answer(body: bytes, name: str, answer_type):
    """Returns the JSON value in a response.

    Args:
      body: The body of the response.
      name: Name of the daemon that sent it.
      answer_type: Type of the value.

    Raises:
      PeerUnavailable: The body is not a value of that type.
    """
    try:
        return msgspec.json.decode(body, type=answer_type)
    except msgspec.MsgspecError as error:
        raise exceptions.PeerUnavailable(
            f"{name} gave no valid answer: {error}",
            "run the same version of all daemons",
        ) from error


def promise_client(
    client: connection_pool.Client,
    fleet: fleet_view.FleetView,
    name: str,
    executor: futures.ThreadPoolExecutor,
) -> Callable[[int], bool]:
    """Returns a function that asks all voters for promises to this node.

    Args:
      client: The connection pool.
      fleet: The members, and the list of voters.
      name: Name of this node.
      executor: Runs the calls to the voters in parallel.

    Returns:
      A function that takes the era of the store for which promises are needed
      and returns whether majorities of the voters, and of those before a recent
      change, promised; False if the list of voters is unknown.
    """

    def request_promise(voter: str, era: int) -> str | None:
        try:
            address = last_known_address(fleet, voter)
            body = control_call(client, address, f"{PROMISE_PATH}{era}/{name}")
            promised = decode_answer(body, voter, bool)
        except exceptions.PeerUnavailable:
            # An unreachable voter makes no promise, but is still one of the
            # voters of whom a majority is needed.
            return None
        return voter if promised else None

    def request_promises(era: int) -> bool:
        record = fleet_view.recent_voter_list(fleet)
        if record is None:
            return False
        voters = sorted({*record.names, *record.before})
        agreeing = [
            v
            for v in executor.map(lambda v: request_promise(v, era), voters)
            if v is not None
        ]
        return promises.is_majority(
            record.names, agreeing
        ) and promises.is_majority(record.before, agreeing)

    return request_promises


def last_known_address(fleet: fleet_view.FleetView, name: str) -> str:
    """Returns the last known address of a node.

    Raises:
      PeerUnavailable: No entry of the node is known, not even a removed one.
    """
    fleet_view.list_members(fleet)
    member = fleet_view.find_member(fleet, name)
    if member is None:
        member = fleet.departed.get(name, (None, 0.0))[0]
    if member is None:
        raise exceptions.PeerUnavailable(
            f"the address of {name} is unknown",
            "wait until it has an entry in the store",
        )
    return member.address
