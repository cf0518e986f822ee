"""Sends a request to the daemon that owns its key."""

from collections.abc import Callable

import urllib3

from waxwinglever_front import exchange
from waxwinglever_front import places
from waxwinglever_front import wire
from waxwinglever_model import clock
from waxwinglever_model import exceptions

CONNECT_TIMEOUT_S = 0.25
# Open links to one other daemon; more requests at once open others.
LINKS_PER_DAEMON = 16
# Other daemons to which links are kept open.
DAEMONS = 256


def http_forward(
    source_address: str, links: places.Links
) -> Callable[[str, exchange.Request], exchange.Reply]:
    """Returns a function that sends a request to another daemon.

    Args:
      source_address: Local IP to connect from.
      links: Bounds the requests that wait for one daemon.
    """
    pools = urllib3.PoolManager(
        num_pools=DAEMONS,
        maxsize=LINKS_PER_DAEMON,
        block=False,
        retries=False,
        source_address=(source_address, 0),
    )

    def forward(address: str, request: exchange.Request) -> exchange.Reply:
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
            wire.forwarded_headers(request, int(remaining_s * 1000))
        )
        timeout = urllib3.Timeout(
            connect=min(CONNECT_TIMEOUT_S, remaining_s), read=remaining_s
        )
        try:
            # PoolManager.request would resolve dot segments in the path.
            pool = pools.connection_from_host(host.strip("[]"), int(port))
            with places.link(links, address):
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
        if not is_whole(response):
            raise exceptions.OutcomeUnknown(
                f"the reply of the daemon at {address} was cut",
                "check whether the request took effect before sending it again",
            )
        return wire.parse_reply(
            response.status, list(response.headers.items()), response.data
        )

    return forward


def is_whole(response: urllib3.BaseHTTPResponse) -> bool:
    """Returns whether all headers of a daemon's reply arrived.

    http.client takes the end of the connection for the end of the headers; a
    reply that is cut there would pass for one with a shorter body.
    """
    names = (wire.OUTCOME, wire.OWNER, wire.MAP_VERSION, "Content-Length")
    return all(name in response.headers for name in names)
