"""Store changes that a node gets from another one, see assignment.readers."""

import math
import urllib.parse
import zlib
from collections.abc import Callable, Mapping

import attrs
import msgspec

from waxwinglever_assignment import fleet_view
from waxwinglever_assignment import readers
from waxwinglever_assignment import replicas
from waxwinglever_hops import control_calls
from waxwinglever_hops import server
from waxwinglever_model import clock
from waxwinglever_model import exceptions
from waxwinglever_relay import connection_pool
from waxwinglever_relay import http_client
from waxwinglever_store import leased

CHANGES_PATH = control_calls.PATH + "changes/"
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
# How long a response with store changes may pause once it has begun. Packets
# wait for over half a second on a link that is full of bodies.
CHANGES_STALL_S = 1.0
# Time to open a connection for store changes. The one for requests is shorter,
# as another node may serve them; on a link that is full it is too short for
# every node, so that a node without a connection learned of no change.
CHANGES_CONNECT_TIMEOUT_S = 0.6


def handle_changes(
    copies: Mapping[str, replicas.Replica], query: str
) -> server.HttpResponse:
    """Returns a response with the store changes after a version.

    Args:
      copies: Copies of the store by prefix.
      query: ERA/VERSION/PREFIX, and NO_WAIT if the caller doesn't wait for
        changes; the prefix of the keys is percent-encoded.
    """
    wait_s = readers.FOLLOWER_WAIT_S
    if query.endswith(NO_WAIT):
        query = query.removesuffix(NO_WAIT)
        wait_s = 0.0
    era, _, rest = query.partition("/")
    version, _, prefix = rest.partition("/")
    replica = copies.get(urllib.parse.unquote(prefix))
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
        response = control_calls.control_request(
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
