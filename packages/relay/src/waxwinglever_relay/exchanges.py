"""HTTP exchanges that end at once when the caller leaves.

The thread that waits for an answer polls the caller's connection beside its
own, so that a caller who leaves frees the backend server's slot.
"""

import http.client
import select
import socket
import threading
from collections.abc import Iterator, Mapping

import attrs
import urllib3
from urllib3 import connection
from urllib3.util import request as urllib3_request

from waxwinglever_model import clock
from waxwinglever_model import exceptions
from waxwinglever_relay import messages

# An idle connection is used again only for this long: a server may drop it
# without notice, and a request that meets that end may have run.
MAX_IDLE_S = 4.0
MAX_IDLE_PER_ADDRESS = 64
# Unacknowledged bytes end a connection after this time; a machine without
# power does not answer at all.
USER_TIMEOUT_MS = 2_000
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# A body is sent in pieces, as an answer may come before its end.
PIECE_BYTES = 16_384

SOCKET_OPTIONS = (
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
)


class NotConnected(exceptions.WaxwingleverError):
    """No connection could be opened; nothing was sent."""

    kind = "not-connected"


class AnswerLost(exceptions.WaxwingleverError):
    """The request was sent and no complete answer came."""

    kind = "answer-lost"


class AnswerLate(AnswerLost):
    """The request was sent and its time has passed."""

    kind = "answer-late"


@attrs.frozen
class Reply:
    """A complete HTTP answer; header names are in lower case."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes

    def header(self, name: str) -> str | None:
        """Returns the first header of that name."""
        return next((v for n, v in self.headers if n == name), None)


@attrs.define(eq=False)
class Idle:
    """A connection that waits for its next request."""

    connection: connection.HTTPConnection
    since_s: float


@attrs.define(eq=False)
class Client:
    """Connections to other programs, by address.

    Attributes:
      connect_timeout_s: How long opening a connection may take.
      max_idle_s: How long an unused connection is kept.
      idle: Unused connections, newest last.
      opened: Connections that were opened.
    """

    connect_timeout_s: float
    max_idle_s: float = MAX_IDLE_S
    idle: dict[str, list[Idle]] = attrs.Factory(dict)
    opened: int = 0
    lock: threading.Lock = attrs.Factory(threading.Lock)


def exchange(
    client: Client,
    address: str,
    method: str,
    target: str,
    headers: Mapping[str, str],
    body: bytes,
    deadline_s: float,
    caller: messages.Caller | None = None,
) -> Reply:
    """Sends a request and returns its complete answer.

    Args:
      client: The connections.
      address: host:port.
      method: HTTP method.
      target: Path and query.
      headers: All headers but Content-Length.
      body: The whole body.
      deadline_s: When to give up, on the boot clock.
      caller: The connection that waits for the answer, if any.

    Raises:
      NotConnected: Nothing was sent.
      AnswerLost: The answer is missing or incomplete.
      AnswerLate: No complete answer came in time.
      CallerLeft: The caller closed its connection.
    """
    link = take(client, address) or dial(client, address, deadline_s)
    keep = False
    try:
        whole = send(link, method, target, headers, body, deadline_s)
        wait_readable(link.sock, caller, deadline_s)
        link.sock.settimeout(left_s(deadline_s))
        response = link.getresponse()
        data = response.read()
        keep = whole and may_keep(response, method)
        return Reply(
            response.status,
            tuple((n.lower(), v) for n, v in response.headers.items()),
            data,
        )
    except TimeoutError as error:
        raise AnswerLate(
            f"{address} did not answer in time", "check its load"
        ) from error
    except (
        OSError,
        http.client.HTTPException,
        urllib3.exceptions.HTTPError,
    ) as error:
        raise AnswerLost(
            f"{address} gave no complete answer: {type(error).__name__}",
            "check whether it crashed",
        ) from error
    finally:
        if keep:
            put(client, address, link)
        else:
            link.close()


def dial(
    client: Client, address: str, deadline_s: float
) -> connection.HTTPConnection:
    """Opens a connection; raises NotConnected."""
    host, _, port = address.rpartition(":")
    timeout_s = min(client.connect_timeout_s, left_s(deadline_s))
    link = connection.HTTPConnection(
        host, int(port), timeout=timeout_s, socket_options=SOCKET_OPTIONS
    )
    try:
        link.connect()
    except (OSError, urllib3.exceptions.HTTPError) as error:
        link.close()
        raise NotConnected(
            f"no connection to {address}: {type(error).__name__}",
            "check that it runs and is reachable",
        ) from error
    client.opened += 1
    return link


def left_s(deadline_s: float) -> float:
    """Returns the time that is left, as a positive socket timeout."""
    return max(0.001, deadline_s - clock.boottime_s())


def take(client: Client, address: str) -> connection.HTTPConnection | None:
    """Returns an unused connection that is still open, or None."""
    while True:
        with client.lock:
            waiting = client.idle.get(address)
            if not waiting:
                return None
            found = waiting.pop()
        age_s = clock.boottime_s() - found.since_s
        # A connection with something to read was closed, or holds bytes that
        # belong to no request.
        if age_s < client.max_idle_s and not readable(found.connection.sock):
            return found.connection
        found.connection.close()


def put(client: Client, address: str, link: connection.HTTPConnection) -> None:
    """Keeps a connection for the next request."""
    stale = []
    now_s = clock.boottime_s()
    with client.lock:
        waiting = client.idle.setdefault(address, [])
        while waiting and now_s - waiting[0].since_s > client.max_idle_s:
            stale.append(waiting.pop(0))
        if len(waiting) >= MAX_IDLE_PER_ADDRESS:
            stale.append(waiting.pop(0))
        waiting.append(Idle(link, now_s))
    for item in stale:
        item.connection.close()


def forget(client: Client, address: str) -> None:
    """Closes the unused connections to an address."""
    with client.lock:
        waiting = client.idle.pop(address, [])
    for item in waiting:
        item.connection.close()


def send(
    link: connection.HTTPConnection,
    method: str,
    target: str,
    headers: Mapping[str, str],
    body: bytes,
    deadline_s: float,
) -> bool:
    """Sends the request; stops early when an answer comes before its end.

    Returns:
      Whether the whole body was sent.
    """
    link.sock.settimeout(left_s(deadline_s))
    fields = dict(headers)
    names = {name.lower() for name in fields}
    # urllib3 would add these.
    for name in ("user-agent", "accept-encoding"):
        if name not in names:
            fields[name] = urllib3_request.SKIP_HEADER
    if body or method not in ("GET", "HEAD", "DELETE", "OPTIONS"):
        fields["Content-Length"] = str(len(body))
    left = len(body)

    def pieces() -> Iterator[bytes]:
        nonlocal left
        while left and not readable(link.sock):
            start = len(body) - left
            left = max(0, left - PIECE_BYTES)
            yield body[start : start + PIECE_BYTES]

    link.request(
        method,
        target,
        body=pieces() if body else None,
        headers=fields,
        preload_content=False,
        decode_content=False,
    )
    return left == 0


def wait_readable(
    sock: socket.socket, caller: messages.Caller | None, deadline_s: float
) -> None:
    """Waits for the answer to begin.

    Raises:
      TimeoutError: The time has passed.
      CallerLeft: The caller closed its connection.
    """
    poller = select.poll()
    poller.register(sock.fileno(), select.POLLIN)
    if caller is not None:
        poller.register(caller.fileno, select.POLLIN | select.POLLRDHUP)
    while True:
        wait_ms = (deadline_s - clock.boottime_s()) * 1000
        if wait_ms <= 0:
            raise TimeoutError
        ready = {fileno for fileno, _ in poller.poll(wait_ms)}
        if sock.fileno() in ready:
            return
        if caller is not None and caller.fileno in ready:
            if caller.has_left():
                raise messages.caller_left()
            # It has sent its next request early; that must not wake us again.
            poller.unregister(caller.fileno)
            caller = None


def readable(sock: socket.socket | None) -> bool:
    """Returns whether a read would return at once."""
    if sock is None:
        return True
    poller = select.poll()
    poller.register(sock.fileno(), select.POLLIN)
    return bool(poller.poll(0))


def may_keep(response: urllib3.HTTPResponse, method: str) -> bool:
    """Returns whether the connection may carry another request."""
    headers = response.headers
    if "close" in headers.get("Connection", "").lower():
        return False
    framed = (
        "Content-Length" in headers
        or "chunked" in headers.get("Transfer-Encoding", "").lower()
        or method == "HEAD"
        or response.status in (204, 304)
    )
    return framed and response.version == 11
