"""Forwards a request to another daemon over HTTP."""

from collections.abc import Callable

import urllib3

from waxwinglever_framing import client as framing_client
from waxwinglever_front import concurrency
from waxwinglever_front import http_codec
from waxwinglever_front import http_messages
from waxwinglever_model import clock
from waxwinglever_model import exceptions

CONNECT_TIMEOUT_S = 0.25
# Connections to one daemon that are kept open; more concurrent requests open
# additional ones.
CONNECTIONS_PER_DAEMON = 16
# Daemons to which connections are kept open.
MAX_POOLS = 256


def make_forwarder(
    source_address: str, peer_limits: concurrency.PeerLimits
) -> Callable[[str, http_messages.Request], http_messages.Response]:
    """Returns a function that forwards a request to the daemon at an address.

    The function raises Overloaded or BackendUnavailable if the request did not
    run, and OutcomeUnknown if the daemon's response is missing or incomplete.

    Args:
      source_address: Local IP to connect from.
      peer_limits: Limits the requests that wait for one daemon.
    """
    pools = framing_client.new_pool_manager(
        framing_client.FramedConnectionPool,
        num_pools=MAX_POOLS,
        maxsize=CONNECTIONS_PER_DAEMON,
        block=False,
        retries=False,
        source_address=(source_address, 0),
    )

    def forward(
        address: str, request: http_messages.Request
    ) -> http_messages.Response:
        remaining_s = request.deadline_s - clock.boottime_s()
        if remaining_s <= 0:
            raise exceptions.Overloaded(
                "the time for this request is over",
                "send it again with a longer timeout",
                retry_after_ms=0,
            )
        host, _, port = address.rpartition(":")
        target = f"/s/{request.tenant}/{request.service}{request.path}"
        headers = urllib3.HTTPHeaderDict(
            http_codec.forwarded_headers(request, int(remaining_s * 1000))
        )
        timeout = urllib3.Timeout(
            connect=min(CONNECT_TIMEOUT_S, remaining_s), read=remaining_s
        )
        try:
            # PoolManager.request would resolve dot segments in the path.
            pool = pools.connection_from_host(host.strip("[]"), int(port))
            with concurrency.peer_permit(peer_limits, address):
                response = pool.request(
                    request.method,
                    target,
                    headers=headers,
                    body=request.body or None,
                    timeout=timeout,
                    redirect=False,
                    decode_content=False,
                )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            raise exceptions.BackendUnavailable(
                f"no connection to the daemon at {address}",
                "send the request again; its keys get another owner",
                retry_after_ms=500,
            ) from error
        except urllib3.exceptions.HTTPError as error:
            raise exceptions.OutcomeUnknown(
                f"the daemon at {address} did not answer: {error}",
                "check whether the request took effect before sending it again",
            ) from error
        if not has_routing_headers(response):
            raise exceptions.OutcomeUnknown(
                f"the response of {address} is not one of a daemon",
                "check whether the request took effect before sending it again",
            )
        return http_codec.parse_response(
            response.status, list(response.headers.items()), response.data
        )

    return forward


def has_routing_headers(response: urllib3.BaseHTTPResponse) -> bool:
    """Returns whether a response has the headers that all daemons send.

    The HTTP server of a daemon, or another program at its address, may respond
    without them; that does not tell whether the request ran.
    """
    names = (
        http_codec.OUTCOME_HEADER,
        http_codec.OWNER_HEADER,
        http_codec.MAP_VERSION_HEADER,
    )
    return all(name in response.headers for name in names)
