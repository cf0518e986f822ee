"""HTTP client whose requests end as soon as the caller disconnects.

The thread that waits for a response polls the caller's connection together with
its own, so that the slot of a backend server is released when the caller
disconnects.
"""

import contextlib
import http.client
import select
import socket
from collections.abc import Callable, Mapping

import attrs
import urllib3
from urllib3.util import request as urllib3_request

from waxwinglever_framing import client as framing_client
from waxwinglever_framing import heads
from waxwinglever_model import clock
from waxwinglever_model import exceptions
from waxwinglever_relay import connection_pool
from waxwinglever_relay import memory_budget
from waxwinglever_relay import messages

# A body is sent in chunks, as the server may answer before it is complete.
CHUNK_BYTES = 16_384
# A response with more bytes, head included, is given up: a faulty server may
# send bytes without end. Each request in flight may need this much memory.
MAX_RESPONSE_BYTES = 8 * 1024 * 1024
# Why a response is missing, beside the reasons of framing.heads.
NO_RESPONSE = "no-response"
RESET = "reset"
SERVER_GONE = "server-gone"


class InvalidRequest(connection_pool.ConnectFailed):
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


class ResponseTimeout(ResponseLost):
    """The request was sent, but the response did not arrive by the deadline."""

    kind = "answer-late"


@attrs.frozen
class Response:
    """A complete HTTP response; header names are in lower case."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: messages.Body

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


def send_request(
    client: connection_pool.Client,
    address: str,
    method: str,
    target: str,
    headers: Mapping[str, str],
    body: messages.Body,
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
    budget: memory_budget.Budget | None = None,
    share_class: str = "",
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
      check_server: Whether a response that ends with its connection is complete
        only if the server still accepts connections. One that is killed ends
        its connections in the middle of a response, without a reset.
      framed: Whether the server marks the end of each response by a length or
        chunks. One that ends with its connection counts as incomplete then, as
        it can't be told from one that was cut.
      budget: If given, a long response draws on it before it is read, and its
        body is a view. It waits until the deadline while there is no room.
      share_class: Class by which it shares the budget with other responses.

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
        pooled = connection_pool.take_idle(client, address, request_id)
    if pooled is None and connect_timeout_s is None:
        timeout_s = min(
            client.connect_timeout_s, connection_pool.remaining_s(deadline_s)
        )
        pooled = connection_pool.PooledConnection(
            connection_pool.open_connection(client, address, timeout_s)
        )
    elif pooled is None:
        started_s = clock.boottime_s()
        pooled = connection_pool.PooledConnection(
            connection_pool.open_connection(client, address, connect_timeout_s)
        )
        deadline_s += clock.boottime_s() - started_s
    if request_id:
        pooled.request_ids[request_id] = deadline_s
    return send_on(
        client,
        address,
        pooled,
        method,
        target,
        headers,
        body,
        deadline_s,
        caller,
        check,
        stall_s,
        max_bytes,
        single_use,
        check_server,
        framed,
        budget,
        share_class,
    )


def send_on(
    client: connection_pool.Client,
    address: str,
    pooled: connection_pool.PooledConnection,
    method: str,
    target: str,
    headers: Mapping[str, str],
    body: messages.Body,
    deadline_s: float,
    caller: messages.CallerConnection | None = None,
    check: Callable[[Response], bool] = lambda _: True,
    stall_s: float | None = None,
    max_bytes: int = MAX_RESPONSE_BYTES,
    single_use: bool = False,
    check_server: bool = False,
    framed: bool = False,
    budget: memory_budget.Budget | None = None,
    share_class: str = "",
) -> Response:
    """Sends a request on one connection and returns its complete response.

    The connection then goes to the idle ones of the pool, or is closed.

    Args:
      client: The connection pool.
      address: host:port that the connection reaches.
      pooled: The connection, which is in no pool.
      method: See send_request, also for the arguments that follow.
      target: Path and query.
      headers: All headers except Content-Length.
      body: The whole body.
      deadline_s: When to give up, on the boot clock.
      caller: The connection of the caller, if any.
      check: Called with the complete response.
      stall_s: How long a response that has begun may pause.
      max_bytes: How many bytes the response may have, head included.
      single_use: Whether the connection carries nothing else.
      check_server: Whether the server must still accept connections.
      framed: Whether the server marks the end of each response.
      budget: What a long response draws on.
      share_class: Class by which it shares the budget with other responses.

    Raises:
      ConnectFailed: The request can't be encoded; nothing was sent.
      ResponseLost: The response is missing or incomplete, or `check` raised it.
      ResponseTimeout: No complete response arrived in time.
      ResponseTooLarge: The response has more than `max_bytes`.
      CallerDisconnected: The caller closed its connection.
    """
    is_reused = pooled.was_used
    pooled.was_used = True
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
                read_body(response, budget, max_bytes, share_class),
            )
        if check_server and response.framing.kind == heads.UNTIL_CLOSE:
            connection_pool.check_accepts_connections(
                client, address, deadline_s
            )
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
    except connection_pool.ResponseTooLong as error:
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
            connection_pool.return_idle(client, address, pooled)
        else:
            conn.close()


def read_body(
    response: framing_client.Response,
    budget: memory_budget.Budget | None,
    max_bytes: int,
    share_class: str,
) -> messages.Body:
    """Returns the body of a response whose head was read.

    Raises:
      TimeoutError: There was no memory for it until the deadline.
    """
    if budget is None:
        return response.read()
    framing = response.framing
    known = framing.length if framing.kind == heads.LENGTH else None
    if known is not None and known <= memory_budget.SMALL_BYTES:
        return response.read()
    small = bytearray()
    buffer = None
    if known is not None:
        buffer = memory_budget.Buffer(
            budget, memory_budget.RESPONSE, known, share_class
        )
        reserve(buffer, known, response.sock)
    for piece in response.fp.pieces:
        if buffer is None:
            if len(small) + len(piece) <= memory_budget.SMALL_BYTES:
                small += piece
                continue
            buffer = memory_budget.Buffer(
                budget, memory_budget.RESPONSE, max_bytes, share_class
            )
            piece = small + piece
        reserve(buffer, len(piece), response.sock)
        memory_budget.append(buffer, piece)
    return memory_budget.content(buffer) if buffer else bytes(small)


def reserve(
    buffer: memory_budget.Buffer,
    size: int,
    sock: connection_pool.BoundedSocket,
) -> None:
    """Waits for the memory of a part of a response."""
    if not memory_budget.reserve(buffer, size, sock.deadline_s):
        raise TimeoutError("there was no memory for the response")


def check_length(response: framing_client.Response, max_bytes: int) -> None:
    """Raises ResponseTooLong if the head names more bytes than may be read."""
    length = response.framing.length
    if length > max_bytes:
        raise connection_pool.ResponseTooLong(f"the body has {length} bytes")


def received_bytes(sock: connection_pool.BoundedSocket) -> int:
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
        elif isinstance(error, connection_pool.ServerGone):
            reason = SERVER_GONE
    lost = ResponseLost(
        f"{address} gave no complete answer: {reason} after {received} bytes",
        "check whether it crashed",
    )
    lost.reason, lost.received, lost.expected = reason, received, expected
    return lost


def write_request(
    conn: framing_client.Connection,
    method: str,
    target: str,
    headers: Mapping[str, str],
    body: messages.Body,
    deadline_s: float,
) -> bool:
    """Sends a request; stops if the server answers before the body is sent.

    Returns:
      Whether the whole body was sent.

    Raises:
      InvalidRequest: The head can't be encoded; nothing was sent.
      TimeoutError: The deadline has passed.
    """
    # urllib3 applies it to the socket before it sends the head.
    conn.timeout = connection_pool.remaining_s(deadline_s)
    sent_headers = dict(headers)
    names = {name.lower() for name in sent_headers}
    # Keeps urllib3 from adding these headers.
    for name in ("user-agent", "accept-encoding"):
        if name not in names:
            sent_headers[name] = urllib3_request.SKIP_HEADER
    if body or method not in ("GET", "HEAD", "DELETE", "OPTIONS"):
        sent_headers["Content-Length"] = str(len(body))
    try:
        conn.request(
            method,
            target,
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
    return not body or write_body(conn.sock, body, deadline_s)


def write_body(
    sock: socket.socket, body: messages.Body, deadline_s: float
) -> bool:
    """Sends a body; stops when the server answers.

    A server may answer and read no further, so a wait for room in the buffers
    ends with the response as well. The deadline bounds the body as a whole, as
    a server may read it slowly.

    Returns:
      Whether the whole body was sent.

    Raises:
      TimeoutError: The deadline has passed.
      OSError: The connection has failed.
    """
    unsent = memoryview(body)
    poller = select.poll()
    poller.register(sock.fileno(), select.POLLIN | select.POLLOUT)
    while unsent:
        wait_ms = (deadline_s - clock.boottime_s()) * 1000
        ready = poller.poll(wait_ms) if wait_ms > 0 else None
        if not ready:
            raise TimeoutError("the request was not sent in time")
        if ready[0][1] != select.POLLOUT:
            return False
        unsent = unsent[sock.send(unsent[:CHUNK_BYTES]) :]
    return True


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
