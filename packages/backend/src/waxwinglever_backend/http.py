"""The backend server's calls over HTTP."""

import contextlib
import http.client
import json
import time
import typing
import urllib.parse

import attrs
import urllib3
import urllib3.connection

from waxwinglever_backend import calls
from waxwinglever_model import exceptions
from waxwinglever_model import limits

CHUNK_BYTES = 65_536
CONTROL_CONNECTIONS = 2
CONTROL_TIMEOUT_S = 0.5
MAX_HEALTH_BYTES = 10_000
# A server may close an idle connection while a request is on its way, which
# loses the request's outcome. Servers keep connections for 5 s or more.
MAX_IDLE_S = 4.0
SHED_RETRY_MS = 50
CONNECTION_HEADERS = frozenset(
    (
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)
NO_BODY_STATUSES = (204, 304)
# Errors that prove that no byte of the order was sent.
NEVER_SENT = (
    urllib3.exceptions.NewConnectionError,
    urllib3.exceptions.ConnectTimeoutError,
    urllib3.exceptions.ClosedPoolError,
)


@attrs.define(eq=False)
class LineReader:
    """Keeps the last line that was read; stands in for a response's file."""

    file: typing.BinaryIO
    last_line: bytes = b""

    def readline(self, limit: int = -1) -> bytes:
        self.last_line = self.file.readline(limit)
        return self.last_line

    def close(self) -> None:
        self.file.close()


class CompleteResponse(http.client.HTTPResponse):
    """A response whose header block must be complete.

    http.client takes the end of the connection for the end of the headers,
    so that an answer cut there would look like a complete one.
    """

    def begin(self) -> None:
        reader = LineReader(self.fp)
        self.fp = reader
        try:
            super().begin()
        finally:
            # begin() has closed the file of an answer without a body.
            if self.fp is reader:
                self.fp = reader.file
        if reader.last_line not in (b"\r\n", b"\n"):
            raise http.client.IncompleteRead(reader.last_line)


class FreshConnection(urllib3.connection.HTTPConnection):
    """A connection that counts as dropped once it was idle for too long."""

    response_class = CompleteResponse
    last_used_s = 0.0

    def request(self, *args: typing.Any, **kwargs: typing.Any) -> None:
        super().request(*args, **kwargs)
        self.last_used_s = time.monotonic()

    def getresponse(self) -> urllib3.HTTPResponse:
        response = super().getresponse()
        self.last_used_s = time.monotonic()
        return response

    @property
    def is_connected(self) -> bool:
        idle_s = time.monotonic() - self.last_used_s
        return super().is_connected and idle_s < MAX_IDLE_S


class FreshPool(urllib3.HTTPConnectionPool):
    """A pool of connections that are not reused after a long idle time."""

    ConnectionCls = FreshConnection


def http_backend(address: str, connections: int = 100) -> calls.BackendCalls:
    """Returns calls to the backend server at host:port.

    Args:
      address: host:port of the server.
      connections: Most connections that orders may use at once. Cancellations
        and health checks have their own.
    """
    host, _, port = address.rpartition(":")
    pool = FreshPool(host, int(port), maxsize=connections, block=True)
    control = FreshPool(
        host, int(port), maxsize=CONTROL_CONNECTIONS, block=True
    )

    def send(order: calls.Order) -> calls.Answer:
        timeout_s = order.timeout_ms / 1000
        deadline_s = time.monotonic() + timeout_s
        try:
            response = pool.urlopen(
                order.method,
                order.path,
                body=order.body or None,
                headers=headers_of(order),
                retries=False,
                redirect=False,
                # The timeout of the connection also covers sending the body.
                timeout=urllib3.Timeout(connect=timeout_s, read=timeout_s),
                pool_timeout=timeout_s,
                preload_content=False,
                decode_content=False,
            )
            body = read_body(response, deadline_s, limits.MAX_BODY_BYTES)
            check_length_stated(order, response)
        except (urllib3.exceptions.HTTPError, ValueError) as error:
            raise send_failure(address, error) from error
        headers = tuple(
            (name, value)
            for name, value in response.headers.items()
            if name.lower() not in CONNECTION_HEADERS
        )
        answer = calls.Answer(
            response.status,
            headers,
            body,
            response.headers.get("Backend-Boot-Id", ""),
        )
        if response.status == 503:
            raise_refusal(address, response.headers.get("Backend-Refusal", ""))
        return answer

    def control_call(method: str, target: str) -> bytes:
        response = control.urlopen(
            method,
            target,
            retries=False,
            redirect=False,
            timeout=urllib3.Timeout(total=CONTROL_TIMEOUT_S),
            pool_timeout=CONTROL_TIMEOUT_S,
            preload_content=False,
        )
        deadline_s = time.monotonic() + CONTROL_TIMEOUT_S
        return read_body(response, deadline_s, MAX_HEALTH_BYTES)

    def cancel(call_id: str) -> None:
        quoted = urllib.parse.quote(call_id, safe="")
        with contextlib.suppress(urllib3.exceptions.HTTPError):
            control_call("POST", f"/_backend/cancel/{quoted}")

    def health() -> calls.Health:
        try:
            document = json.loads(control_call("GET", "/_backend/health"))
            return calls.Health(document["boot_id"], document["state"])
        except (
            urllib3.exceptions.HTTPError,
            KeyError,
            TypeError,
            ValueError,
        ) as error:
            raise unavailable(address, str(error)) from error

    def close() -> None:
        pool.close()
        control.close()

    return calls.BackendCalls(send, cancel, health, close)


def headers_of(order: calls.Order) -> urllib3.HTTPHeaderDict:
    """Returns the headers to send with an order."""
    headers = urllib3.HTTPHeaderDict()
    for name, value in order.headers:
        if name.lower() not in CONNECTION_HEADERS:
            headers.add(name, value)
    for name in ("User-Agent", "Accept-Encoding"):
        # Without this, urllib3 adds its own value.
        headers.setdefault(name, urllib3.util.SKIP_HEADER)
    headers["Waxwinglever-Call-Id"] = order.call_id
    headers["Waxwinglever-Timeout-Ms"] = str(order.timeout_ms)
    if order.fence is not None:
        headers["Waxwinglever-Slice"] = str(order.fence.start)
        headers["Waxwinglever-Epoch"] = str(order.fence.epoch)
        headers["Waxwinglever-Expires-Ns"] = str(order.fence.expires_ns)
    return headers


def read_body(
    response: urllib3.BaseHTTPResponse, deadline_s: float, max_bytes: int
) -> bytes:
    """Reads a body within bounds of time and size.

    Args:
      response: The response, not read yet.
      deadline_s: On time.monotonic(). The check is made between chunks, as
        the timeout of the socket covers one receive call only.
      max_bytes: Largest accepted size.

    Raises:
      HTTPError: The body is late, too long or broken.
    """
    parts = []
    size = 0
    try:
        while chunk := response.read1(CHUNK_BYTES, decode_content=False):
            parts.append(chunk)
            size += len(chunk)
            if size > max_bytes:
                raise urllib3.exceptions.HTTPError("the answer is too long")
            if time.monotonic() > deadline_s:
                raise urllib3.exceptions.HTTPError("the answer is too slow")
    except BaseException:
        response.close()
        raise
    finally:
        response.release_conn()
    return b"".join(parts)


def check_length_stated(
    order: calls.Order, response: urllib3.BaseHTTPResponse
) -> None:
    """Raises HTTPError for a body that only the end of the connection ends.

    Such a body can't be told from one that was cut.
    """
    if order.method == "HEAD" or response.status in NO_BODY_STATUSES:
        return
    coding = response.headers.get("Transfer-Encoding", "").lower()
    if coding != "chunked" and "Content-Length" not in response.headers:
        raise urllib3.exceptions.HTTPError("the answer states no length")


def send_failure(address: str, error: Exception) -> exceptions.Refusal:
    """Returns the refusal for an order that got no complete answer.

    An order counts as not run only for errors that occur before the first
    byte is sent. A connection that the server closed as idle while the order
    was on its way looks like a crash and is reported as unknown.
    """
    cause = error.args[1] if len(error.args) > 1 else error
    if isinstance(error, urllib3.exceptions.EmptyPoolError):
        return exceptions.Overloaded(
            f"all connections to backend server {address} are in use",
            "try again, or raise the number of connections",
            SHED_RETRY_MS,
        )
    if isinstance(error, NEVER_SENT):
        return unavailable(address, str(error))
    # http.client and urllib3 check names and values before they send.
    if isinstance(cause, http.client.InvalidURL) or not isinstance(
        error, urllib3.exceptions.HTTPError
    ):
        return exceptions.BadRequest(
            f"request can't be sent: {error}",
            "correct the method, path or headers",
        )
    crashed = isinstance(
        cause, (ConnectionError, http.client.IncompleteRead)
    ) and not isinstance(error, urllib3.exceptions.TimeoutError)
    return calls.BrokenAnswer(
        f"backend server {address} gave no complete answer: {error}",
        "find out whether the request ran before you send it again",
        crashed,
    )


def raise_refusal(address: str, reason: str) -> None:
    """Raises what the header Backend-Refusal stands for, if anything."""
    if reason == "shed":
        raise exceptions.Overloaded(
            f"backend server {address} shed the request",
            "try again later",
            SHED_RETRY_MS,
        )
    if reason == "draining":
        raise exceptions.Draining(
            f"backend server {address} is draining",
            "send the request to another node",
            SHED_RETRY_MS,
        )
    if reason == "fence":
        raise exceptions.NotOwner(
            f"backend server {address} refused the fence",
            "send the request to the current owner",
            SHED_RETRY_MS,
        )


def unavailable(address: str, why: str) -> exceptions.BackendUnavailable:
    """Returns the error for a server without a connection."""
    return exceptions.BackendUnavailable(
        f"backend server {address} can't be reached: {why}",
        "check that it runs, then try again",
        SHED_RETRY_MS,
    )
