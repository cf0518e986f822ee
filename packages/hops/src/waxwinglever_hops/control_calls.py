"""Calls of one daemon to another that carry no request of a client.

They use the same servers and connections as forwarded requests, see
`forwarding`.
"""

import msgspec

from waxwinglever_model import clock
from waxwinglever_model import exceptions
from waxwinglever_relay import connection_pool
from waxwinglever_relay import http_client

PATH = "/_waxwinglever/control/"
# Short, as callers soon repeat a call that got no response.
CALL_TIMEOUT_S = 0.3


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
    closes_idle: bool = True,
) -> http_client.Response:
    """Sends a control call to another daemon and returns its response.

    Args:
      client: The connection pool.
      address: host:port of the daemon.
      path: Path of the call.
      timeout_s: How long to wait for the response.
      stall_s: See http_client.send_request.
      connect_timeout_s: See http_client.send_request.
      closes_idle: Whether to close the idle connections to the daemon if it
        doesn't answer. A call with a short timeout shows only that the daemon
        is slow.

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
        if closes_idle:
            connection_pool.close_idle(client, address)
        raise exceptions.PeerUnavailable(error.message, error.remedy) from error


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
