"""Control calls between daemons: loads, promises, quotas, store changes.

They use the same servers and connections as forwarded requests, see
`forwarding`.
"""

import json
from collections.abc import Callable, Mapping
from concurrent import futures
from urllib import parse

import attrs
import msgspec

from waxwinglever_admission import gate as gates
from waxwinglever_assignment import fleet_view
from waxwinglever_assignment import freshness as freshness_module
from waxwinglever_assignment import grant_state
from waxwinglever_assignment import loads
from waxwinglever_assignment import promises
from waxwinglever_assignment import replicas
from waxwinglever_hops import changes
from waxwinglever_hops import control_calls
from waxwinglever_hops import server
from waxwinglever_hops import transfer_calls
from waxwinglever_model import clock
from waxwinglever_model import exceptions
from waxwinglever_relay import connection_pool
from waxwinglever_relay import delivery
from waxwinglever_relay import quotas
from waxwinglever_relay import transfers

LOAD_PATH = control_calls.PATH + "load"
# Earlier versions take promises for no era, under another path.
PROMISE_PATH = control_calls.PATH + "promises/"
CLEARANCE_PATH = control_calls.PATH + "word/"
ERA_CLEARANCE_PATH = control_calls.PATH + "eras/"
QUOTA_PATH = control_calls.PATH + "quota/"
# Digits of the number of tokens in one call.
MAX_COUNT_DIGITS = 6
STATEMENT_PATH = control_calls.PATH + "freshness"
# Statements are asked for when a link may be full; see
# changes.CHANGES_STALL_S.
STATEMENT_TIMEOUT_S = 0.6


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
      give_tokens: Returns tokens of the account of a tenant. Takes the name of
        the tenant and the number of tokens.
      link: The link of this node, which admits long bodies.
    """

    local_delivery: delivery.LocalDelivery
    promises: promises.VoterState
    replicas: Mapping[str, replicas.Replica]
    log: Callable[..., None]
    freshness: freshness_module.Freshness | None = None
    give_tokens: Callable[[str, int], quotas.Grant] = (
        lambda tenant, count: quotas.Grant(is_holder=False)
    )
    link: transfers.Link = attrs.Factory(transfers.Link)


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
    if target.startswith(changes.CHANGES_PATH):
        return changes.handle_changes(
            control.replicas, target.removeprefix(changes.CHANGES_PATH)
        )
    if target.startswith(transfer_calls.PATH):
        return transfer_calls.handle(
            control.link, target.removeprefix(transfer_calls.PATH)
        )
    if target.startswith(QUOTA_PATH):
        return handle_quota(control, target.removeprefix(QUOTA_PATH))
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
            grant_state.ranges_held_since_restore(grant_manager),
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


def handle_quota(control: ControlEndpoint, call: str) -> server.HttpResponse:
    """Answers a call for tokens of the account of a tenant."""
    count, _, tenant = call.partition("/")
    if not (count.isdecimal() and len(count) <= MAX_COUNT_DIGITS):
        return server.HttpResponse(404, (), b"")
    grant = control.give_tokens(parse.unquote(tenant), int(count))
    return server.HttpResponse(200, (), msgspec.json.encode(grant))


def quota_client(
    client: connection_pool.Client,
) -> Callable[[fleet_view.Member, str, int, float], quotas.Grant]:
    """Returns a function that asks another daemon for tokens of a tenant.

    The function takes the daemon, the name of the tenant, the number of tokens
    and the longest time to wait. It raises PeerUnavailable if there is no valid
    answer. Daemons of earlier versions have no accounts.
    """

    def request_tokens(
        member: fleet_view.Member, tenant: str, count: int, timeout_s: float
    ) -> quotas.Grant:
        count = min(count, 10**MAX_COUNT_DIGITS - 1)
        response = control_calls.control_request(
            client,
            member.address,
            f"{QUOTA_PATH}{count}/{parse.quote(tenant, safe='')}",
            timeout_s,
            closes_idle=False,
        )
        if response.status != 200:
            raise exceptions.PeerUnavailable(
                f"{member.name} answered {response.status}",
                "run the same version of all daemons",
            )
        grant = control_calls.decode_answer(
            response.body, member.name, quotas.Grant
        )
        if not (0 <= grant.tokens <= count and 0 <= grant.wait_s):
            raise exceptions.PeerUnavailable(
                f"{member.name} gave {grant.tokens} of {count} tokens",
                "run the same version of all daemons",
            )
        return grant

    return request_tokens


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
        response = control_calls.control_request(
            client,
            member.address,
            STATEMENT_PATH,
            STATEMENT_TIMEOUT_S,
            connect_timeout_s=changes.CHANGES_CONNECT_TIMEOUT_S,
        )
        if response.status == 404:
            return freshness_module.Statement("", 0)
        return control_calls.decode_answer(
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
        body = control_calls.control_call(client, member.address, LOAD_PATH)
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
        body = control_calls.control_call(
            client, address, CLEARANCE_PATH + owner
        )
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
        body = control_calls.control_call(
            client, address, f"{ERA_CLEARANCE_PATH}{era}"
        )
        return decode_left_s(body, voter)

    return request_era_clearance


def decode_left_s(body: bytes, name: str) -> float | None:
    """Returns how long an earlier promise lasts, by the answer of a voter.

    Raises:
      PeerUnavailable: The answer is neither a time nor null.
    """
    left_s = control_calls.decode_answer(body, name, float | None)
    if left_s is not None and left_s < 0:
        raise exceptions.PeerUnavailable(
            f"{name} answered with a negative time",
            "run the same version of all daemons",
        )
    return left_s


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
            body = control_calls.control_call(
                client, address, f"{PROMISE_PATH}{era}/{name}"
            )
            promised = control_calls.decode_answer(body, voter, bool)
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
