"""HTTP client whose requests end as soon as the caller disconnects.

The thread that waits for a response polls the caller's connection together with
its own, so that the slot of a backend server is released when the caller
disconnects.
"""

import contextlib
import http.client
import select
import socket
import threading
from collections.abc import Callable, Iterator, Mapping

import attrs
import urllib3
from urllib3.util import request as urllib3_request

from waxwinglever_framing import client as framing_client
from waxwinglever_framing import heads
from waxwinglever_model import clock
from waxwinglever_model import exceptions
from waxwinglever_relay import messages

# A connection that was idle for longer is not reused. The server may close it
# at any time, and then it is unknown whether a request sent on it has run.
MAX_IDLE_S = 4.0
MAX_IDLE_PER_ADDRESS = 64
# A connection is closed when sent data stays unacknowledged for this time; a VM
# that lost power sends no reset.
USER_TIMEOUT_MS = 2_000
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# A body is sent in chunks, as the server may answer before it is complete.
CHUNK_BYTES = 16_384
# A response with more bytes, head included, is given up: a faulty server may
# send bytes without end. Each request in flight may need this much memory.
MAX_RESPONSE_BYTES = 8 * 1024 * 1024
# A response of unknown size that has begun may go on past its deadline while it
# arrives at this rate at least, 2% of a link of 5 Mbit/s. A slower one ends, as
# bytes that trickle in would hold the thread.
MIN_BYTES_PER_S = 12_500

# Why a response is missing, beside the reasons of framing.heads.
NO_RESPONSE = "no-response"
RESET = "reset"
SERVER_GONE = "server-gone"

SOCKET_OPTIONS = (
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
)


class ConnectFailed(exceptions.WaxwingleverError):
    """No connection could be opened; nothing was sent.

    Attributes:
      refused: Whether the address refused it, as nobody listens there.
    """

    kind = "not-connected"
    refused = False


class InvalidRequest(ConnectFailed):
    """The request can't be encoded as HTTP; nothing was sent."""

    kind = "invalid-request"


class ResponseLost(exceptions.WaxwingleverError):
    """The request was sent, but no complete response was received.

    Attributes:
      reason: Why: a reason of framing.heads, RESET, NO_RESPONSE or SERVER_GONE;
        '' if it was complete, but not the response to the request.
      received: How many bytes of the response arrived, head included.
      expected: How many bytes its body should have, or None if unknown.
    """

    kind = "answer-lost"
    reason = ""
    received = 0
    expected: int | None = None


class ResponseTooLarge(ResponseLost):
    """The response is larger than the caller takes; it was not read."""

    kind = "answer-too-large"


class ServerGone(ConnectionError):
    """The server has ended together with its response."""


class ResponseTooLong(OSError):
    """The response has more bytes than the caller takes."""


class ResponseTimeout(ResponseLost):
    """The request was sent, but the response did not arrive by the deadline."""

    kind = "answer-late"


@attrs.frozen
class Response:
    """A complete HTTP response; header names are in lower case."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes

    def header(self, name: str) -> str | None:
        """Returns the value of the headers of that lower-case name, or None.

        Different values are joined by commas. Either of them alone would pass
        for what the sender states.
        """
        values = dict.fromkeys(v for n, v in self.headers if n == name)
        return ", ".join(values) if values else None

    def is_ambiguous(self, name: str) -> bool:
        """Returns whether headers of that lower-case name differ."""
        return len({v for n, v in self.headers if n == name}) > 1


class BoundedSocket(socket.socket):
    """A socket whose reads for one response are bounded in time and bytes.

    A time-out for each read alone never ends a response whose bytes trickle in.

    Attributes:
      deadline_s: When reads fail with TimeoutError, on the boot clock.
      bytes_left: Bytes that may still be read before reads fail with
        ResponseTooLong.
      max_bytes: How many bytes the response may have.
      stall_s: How long a response that has begun may pause; extends the
        deadline. None if the deadline is fixed.
      begun_s: When the response began, or None.
    """

    deadline_s: float = float("inf")
    bytes_left: int = 0
    max_bytes: int = 0
    stall_s: float | None = None
    begun_s: float | None = None

    def recv_into(self, *args) -> int:
        """Reads some bytes; see socket.socket.recv_into."""
        left_s = self.deadline_s - clock.boottime_s()
        if left_s <= 0:
            raise TimeoutError("the deadline of the response has passed")
        self.settimeout(left_s)
        count = super().recv_into(*args)
        self.bytes_left -= count
        if self.bytes_left < 0:
            raise ResponseTooLong("the response exceeds its limit")
        if self.stall_s is not None:
            self.extend_deadline(self.stall_s)
        return count

    def extend_deadline(self, stall_s: float) -> None:
        """Extends the deadline for a response that has made progress."""
        now_s = clock.boottime_s()
        if self.begun_s is None:
            self.begun_s = now_s
        received = self.max_bytes - self.bytes_left
        latest_s = self.begun_s + stall_s + received / MIN_BYTES_PER_S
        self.deadline_s = max(self.deadline_s, min(now_s + stall_s, latest_s))


@attrs.define(eq=False)
class PooledConnection:
    """A connection that is used for one request after the other.

    Attributes:
      connection: The connection.
      idle_since_s: When it became idle.
      request_ids: Ids of the requests that were sent on it, and when each of
        them can't be sent again, as its deadline has passed.
    """

    connection: framing_client.Connection
    idle_since_s: float = float("-inf")
    request_ids: dict[str, float] = attrs.field(factory=dict)


@attrs.define(eq=False)
class Client:
    """Pool of HTTP connections, by address.

    Attributes:
      connect_timeout_s: Maximum time to open a connection.
      max_idle_s: Maximum time that an idle connection is kept.
      idle_connections: Idle connections by address, the most recently used
        last.
      opened: Number of connections opened so far.
      count_response: Called with the framing of each complete response.
      count_incomplete: Called with the reason for each incomplete response.
    """

    connect_timeout_s: float
    max_idle_s: float = MAX_IDLE_S
    idle_connections: dict[str, list[PooledConnection]] = attrs.field(
        factory=dict
    )
    opened: int = 0
    count_response: Callable[[str], None] = lambda framing: None
    count_incomplete: Callable[[str], None] = lambda reason: None
    lock: threading.Lock = attrs.Factory(threading.Lock)


def send_request(
    client: Client,
    address: str,
    method: str,
    target: str,
    headers: Mapping[str, str],
    body: bytes,
    deadline_s: float,
    caller: messages.CallerConnection | None = None,
    check: Callable[[Response], bool] = lambda _: True,
    stall_s: float | None = None,
    connect_timeout_s: float | None = None,
    max_bytes: int = MAX_RESPONSE_BYTES,
    request_id: str = "",
    single_use: bool = False,
    check_server: bool = False,
    framed: bool = False,
) -> Response:
    """Sends a request and returns its complete response.

    Args:
      client: The connection pool.
      address: host:port.
      method: HTTP method.
      target: Path and query.
      headers: All headers except Content-Length.
      body: The whole body.
      deadline_s: When to give up, on the boot clock.
      caller: The connection of the caller that waits for the response, if any.
      check: Called with the complete response; raises ResponseLost if it can't
        be the response to this request. The connection is not reused then, as
        the next response on it may belong to this request. If `check` returns
        False, a second copy of the response could not be told from the next
        one. The connection is not reused then either, and the response counts
        as lost if the connection has carried other requests.
      stall_s: If given, the response need only begin by the deadline. It may
        then take as long as its size needs, while no pause in it is longer than
        this and it arrives at MIN_BYTES_PER_S at least.
      connect_timeout_s: If given, the time to open a connection, in place of
        the pool's. The time that it takes is added to the deadline.
      max_bytes: How many bytes the response may have, head included.
      request_id: The id by which the server names the request in its response,
        if it does. A request that is sent again goes out on a connection that
        has not carried its id, as a second copy of the earlier response may
        still come on that one.
      single_use: Whether to use a connection that carries nothing else. Without
        an id in it, a second copy of another response would be taken for the
        response.
      framed: Whether the server marks the end of each response by a length or
        chunks. One that ends with its connection counts as incomplete then, as
        it can't be told from one that was cut.

    Raises:
      ConnectFailed: No connection could be opened, or the request can't be
        encoded (InvalidRequest); nothing was sent.
      ResponseLost: The response is missing or incomplete, or `check` raised it.
      ResponseTimeout: No complete response arrived in time.
      ResponseTooLarge: The response has more than `max_bytes`.
      CallerDisconnected: The caller closed its connection.
    """
    pooled = None
    if not single_use:
        pooled = take_idle(client, address, request_id)
    is_reused = pooled is not None
    if pooled is None and connect_timeout_s is None:
        timeout_s = min(client.connect_timeout_s, remaining_s(deadline_s))
        pooled = PooledConnection(open_connection(client, address, timeout_s))
    elif pooled is None:
        started_s = clock.boottime_s()
        pooled = PooledConnection(
            open_connection(client, address, connect_timeout_s)
        )
        deadline_s += clock.boottime_s() - started_s
    if request_id:
        pooled.request_ids[request_id] = deadline_s
    conn = pooled.connection
    # The connection drops its socket when a response ends with it.
    sock = conn.sock
    sock.deadline_s = deadline_s
    sock.bytes_left = sock.max_bytes = max_bytes
    sock.stall_s = stall_s
    sock.begun_s = None
    reusable = False
    try:
        body_sent = write_request(
            conn, method, target, headers, body, deadline_s
        )
        wait_readable(sock, caller, deadline_s)
        response = conn.read_response()
        with contextlib.closing(response):
            check_length(response, max_bytes)
            if framed and response.framing.kind == heads.UNTIL_CLOSE:
                raise heads.IncompleteResponse(heads.UNCLEAR_LENGTH, 0)
            complete = Response(
                response.status,
                tuple((n.lower(), v) for n, v in response.headers.items()),
                response.read(),
            )
        if check_server and response.framing.kind == heads.UNTIL_CLOSE:
            check_accepts_connections(client, address, deadline_s)
        client.count_response(response.framing.kind)
        is_told_apart = check(complete)
        if is_reused and not is_told_apart:
            raise ResponseLost(
                f"{address} gave an answer that may be a copy of another one",
                "name the request in each response",
            )
        reusable = (
            is_told_apart
            and body_sent
            and not single_use
            and not response.framing.closes
        )
        return complete
    except ResponseTooLong as error:
        raise ResponseTooLarge(
            f"{address} sent more than {max_bytes} bytes",
            "ask for less",
        ) from error
    except TimeoutError as error:
        raise ResponseTimeout(
            f"{address} did not answer in time, after"
            f" {received_bytes(sock)} bytes",
            "check its load and its link",
        ) from error
    except (
        OSError,
        http.client.HTTPException,
        urllib3.exceptions.HTTPError,
    ) as error:
        lost = lost_error(address, error, received_bytes(sock))
        client.count_incomplete(lost.reason)
        raise lost from error
    finally:
        if reusable:
            return_idle(client, address, pooled)
        else:
            conn.close()


def open_connection(
    client: Client, address: str, timeout_s: float
) -> framing_client.Connection:
    """Opens a connection.

    Raises:
      ConnectFailed: The connection could not be opened in time.
    """
    host, _, port = address.rpartition(":")
    try:
        conn = framing_client.Connection(
            host, int(port), timeout=timeout_s, socket_options=SOCKET_OPTIONS
        )
    except (ValueError, http.client.InvalidURL) as error:
        raise ConnectFailed(
            f"the address {address!r} is invalid",
            "correct the settings or the record that names it",
        ) from error
    try:
        conn.connect()
        conn.sock = BoundedSocket(fileno=conn.sock.detach())
    except (OSError, urllib3.exceptions.HTTPError) as error:
        conn.close()
        failure = ConnectFailed(
            f"no connection to {address}: {type(error).__name__}",
            "check that it runs and is reachable",
        )
        failure.refused = isinstance(error.__cause__, ConnectionRefusedError)
        raise failure from error
    client.opened += 1
    return conn


def check_accepts_connections(
    client: Client, address: str, deadline_s: float
) -> None:
    """Raises ConnectionError if nobody listens at an address.

    An idle connection that is still open shows that the server runs. Without
    one a connection is opened, which the next request uses.
    """
    with client.lock:
        idle = list(client.idle_connections.get(address, ()))
    if any(not is_readable(item.connection.sock) for item in idle):
        return
    timeout_s = min(client.connect_timeout_s, remaining_s(deadline_s))
    try:
        conn = open_connection(client, address, timeout_s)
    except ConnectFailed as error:
        if error.refused:
            raise ServerGone("the server does not listen any more") from error
        # The network may be at fault, and the response has ended.
        return
    return_idle(client, address, PooledConnection(conn))


def check_length(response: framing_client.Response, max_bytes: int) -> None:
    """Raises ResponseTooLong if the head names more bytes than may be read."""
    length = response.framing.length
    if length > max_bytes:
        raise ResponseTooLong(f"the body has {length} bytes")


def received_bytes(sock: BoundedSocket) -> int:
    """Returns how much of the current response has arrived, head included."""
    return sock.max_bytes - sock.bytes_left


def lost_error(address: str, error: Exception, received: int) -> ResponseLost:
    """Returns the error for a response that is missing or incomplete."""
    if isinstance(error, heads.IncompleteResponse):
        reason, expected = error.reason, error.expected
    else:
        reason, expected = RESET, None
        if isinstance(error, http.client.RemoteDisconnected):
            reason = NO_RESPONSE
        elif isinstance(error, ServerGone):
            reason = SERVER_GONE
    lost = ResponseLost(
        f"{address} gave no complete answer: {reason} after {received} bytes",
        "check whether it crashed",
    )
    lost.reason, lost.received, lost.expected = reason, received, expected
    return lost


def remaining_s(deadline_s: float) -> float:
    """Returns the time until a deadline, at least 1 ms, as a socket timeout."""
    return max(0.001, deadline_s - clock.boottime_s())


def take_idle(
    client: Client, address: str, request_id: str
) -> PooledConnection | None:
    """Returns an idle connection that is still open, or None.

    Args:
      client: The connection pool.
      address: host:port.
      request_id: If not empty, the connection has not carried this id.
    """
    while True:
        with client.lock:
            idle = client.idle_connections.get(address, [])
            index = next(
                (
                    i
                    for i in reversed(range(len(idle)))
                    if request_id not in idle[i].request_ids
                ),
                None,
            )
            if index is None:
                return None
            found = idle.pop(index)
        age_s = clock.boottime_s() - found.idle_since_s
        # A readable idle connection was closed by the server, or has data that
        # belongs to no request.
        if age_s < client.max_idle_s and not is_readable(found.connection.sock):
            return found
        found.connection.close()


def return_idle(client: Client, address: str, pooled: PooledConnection) -> None:
    """Returns a connection to the pool and closes those idle for too long."""
    stale = []
    now_s = clock.boottime_s()
    pooled.idle_since_s = now_s
    forget_ended_requests(pooled)
    with client.lock:
        idle = client.idle_connections.setdefault(address, [])
        while idle and now_s - idle[0].idle_since_s > client.max_idle_s:
            stale.append(idle.pop(0))
        if len(idle) >= MAX_IDLE_PER_ADDRESS:
            stale.append(idle.pop(0))
        idle.append(pooled)
    for item in stale:
        item.connection.close()


def forget_ended_requests(pooled: PooledConnection) -> None:
    """Forgets the oldest ids of a connection, as far as they have ended."""
    request_ids = pooled.request_ids
    while request_ids:
        oldest = next(iter(request_ids))
        if request_ids[oldest] > pooled.idle_since_s:
            return
        del request_ids[oldest]


def close_idle(client: Client, address: str) -> None:
    """Closes the idle connections to an address."""
    with client.lock:
        idle = client.idle_connections.pop(address, [])
    for item in idle:
        item.connection.close()


def write_request(
    conn: framing_client.Connection,
    method: str,
    target: str,
    headers: Mapping[str, str],
    body: bytes,
    deadline_s: float,
) -> bool:
    """Sends a request; stops if the server answers before the body is sent.

    Returns:
      Whether the whole body was sent.

    Raises:
      InvalidRequest: The head can't be encoded; nothing was sent.
    """
    conn.sock.settimeout(remaining_s(deadline_s))
    sent_headers = dict(headers)
    names = {name.lower() for name in sent_headers}
    # Keeps urllib3 from adding these headers.
    for name in ("user-agent", "accept-encoding"):
        if name not in names:
            sent_headers[name] = urllib3_request.SKIP_HEADER
    if body or method not in ("GET", "HEAD", "DELETE", "OPTIONS"):
        sent_headers["Content-Length"] = str(len(body))
    remaining = len(body)

    def chunks() -> Iterator[bytes]:
        nonlocal remaining
        while remaining and not is_readable(conn.sock):
            start = len(body) - remaining
            remaining = max(0, remaining - CHUNK_BYTES)
            yield body[start : start + CHUNK_BYTES]

    try:
        conn.request(
            method,
            target,
            body=chunks() if body else None,
            headers=sent_headers,
            preload_content=False,
            decode_content=False,
        )
    except (ValueError, http.client.InvalidURL) as error:
        # The head is sent as a whole, once all of it is encoded.
        raise InvalidRequest(
            f"the request can't be forwarded: {error}",
            "correct its method, target or headers",
        ) from error
    return remaining == 0


def wait_readable(
    sock: socket.socket,
    caller: messages.CallerConnection | None,
    deadline_s: float,
) -> None:
    """Waits until the response begins.

    Args:
      sock: The socket that the response is read from.
      caller: The connection of the caller, if any.
      deadline_s: When to give up, on the boot clock.

    Raises:
      TimeoutError: The deadline has passed.
      CallerDisconnected: The caller closed its connection.
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
            if caller.is_closed():
                raise messages.caller_disconnected_error()
            # The caller pipelined its next request. Its socket stays readable
            # and would end each poll at once; its close is still noticed.
            poller.modify(caller.fileno, select.POLLRDHUP)


def is_readable(sock: socket.socket | None) -> bool:
    """Returns whether a read would not block; true without a socket."""
    if sock is None:
        return True
    poller = select.poll()
    poller.register(sock.fileno(), select.POLLIN)
    return bool(poller.poll(0))
