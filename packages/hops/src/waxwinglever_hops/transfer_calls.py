"""Calls in which a node asks another one whether it may send a long body."""

from collections.abc import Callable
from urllib import parse

import msgspec

from waxwinglever_assignment import fleet_view
from waxwinglever_hops import control_calls
from waxwinglever_hops import server
from waxwinglever_model import clock
from waxwinglever_model import exceptions
from waxwinglever_relay import connection_pool
from waxwinglever_relay import messages
from waxwinglever_relay import transfers

PATH = control_calls.PATH + "transfers/"
# Digits of the size of a body in a call.
MAX_SIZE_DIGITS = 12
# The call waits behind the bodies that were admitted before, on both links.
CALL_TIMEOUT_S = 0.6


def handle(link: transfers.Link, call: str) -> server.HttpResponse:
    """Answers a call; `call` is its path without PATH."""
    size, _, request_id = call.partition("/")
    if not (size.isdecimal() and len(size) <= MAX_SIZE_DIGITS and request_id):
        return server.HttpResponse(404, (), b"")
    answer = transfers.reserve(
        link, parse.unquote(request_id), int(size), clock.boottime_s()
    )
    return server.HttpResponse(200, (), msgspec.json.encode(answer))


def make_asker(
    client: connection_pool.Client, link: transfers.Link
) -> Callable[[fleet_view.Member, messages.Request], None]:
    """Returns a function that asks a node whether it may send it a request.

    The function returns if the request may be sent. It raises LinkBusy if not,
    and PeerUnavailable if the node doesn't answer. Daemons of earlier versions
    admit all bodies.
    """

    def ask(member: fleet_view.Member, request: messages.Request) -> None:
        size = len(request.body)
        if not transfers.must_ask(link, size):
            return
        left_s = request.deadline_s - clock.boottime_s()
        response = control_calls.control_request(
            client,
            member.address,
            f"{PATH}{size}/{parse.quote(request.request_id, safe='')}",
            min(CALL_TIMEOUT_S, left_s),
            closes_idle=False,
        )
        if response.status == 404:
            return
        if response.status != 200:
            raise exceptions.PeerUnavailable(
                f"{member.name} answered {response.status}",
                "run the same version of all daemons",
            )
        answer = control_calls.decode_answer(
            response.body, member.name, transfers.Answer
        )
        if not answer.granted:
            raise transfers.link_busy_error(member.name, answer.wait_s)

    return ask
