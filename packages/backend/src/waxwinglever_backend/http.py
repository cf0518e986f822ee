"""HTTP client of the backend server."""

import contextlib
import http.client
import json
import time
import typing
import urllib.parse

import urllib3

from waxwinglever_backend import client as backend_client
from waxwinglever_framing import client as framing_client
from waxwinglever_framing import heads
from waxwinglever_model import exceptions
from waxwinglever_model import limits

CHUNK_BYTES = 65_536
CONTROL_CONNECTIONS = 2
CONTROL_TIMEOUT_S = 0.5
MAX_CONTROL_BYTES = 10_000
# Shorter than the 5 s or more that servers keep idle connections open. A server
# that closes an idle connection while a request is in transit leaves the
# request's outcome unknown.
MAX_IDLE_S = 4.0
RETRY_AFTER_MS = 50
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
# Errors that occur before any byte of the request is sent.
NOT_SENT_ERRORS = (
    urllib3.exceptions.NewConnectionError,
    urllib3.exceptions.ConnectTimeoutError,
    urllib3.exceptions.ClosedPoolError,
)


class IdleLimitedConnection(framing_client.FramedConnection):
    """A connection that counts as closed after MAX_IDLE_S without use."""

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


class IdleLimitedPool(framing_client.FramedConnectionPool):
    """A pool that does not reuse connections idle for MAX_IDLE_S or longer."""

    ConnectionCls = IdleLimitedConnection


def new_http_client(
    address: str, connections: int = 100
) -> backend_client.BackendClient:
    """Returns an HTTP client of the backend server at `address`.

    Args:
      address: host:port of the server.
      connections: Maximum number of connections that requests use at a time.
        Cancellations and health checks have connections of their own.
    """
    host, _, port = address.rpartition(":")
    pool = IdleLimitedPool(host, int(port), maxsize=connections, block=True)
    control = IdleLimitedPool(
        host, int(port), maxsize=CONTROL_CONNECTIONS, block=True
    )

    def send(
        request: backend_client.BackendRequest,
    ) -> backend_client.BackendResponse:
        timeout_s = request.timeout_ms / 1000
        deadline_s = time.monotonic() + timeout_s
        try:
            response = pool.urlopen(
                request.method,
                request.path,
                body=request.body or None,
                headers=request_headers(request),
                retries=False,
                redirect=False,
                # The connect timeout also limits the time to send the body.
                timeout=urllib3.Timeout(connect=timeout_s, read=timeout_s),
                pool_timeout=timeout_s,
                preload_content=False,
                decode_content=False,
            )
            body = read_body(response, deadline_s, limits.MAX_BODY_BYTES)
        except (urllib3.exceptions.HTTPError, ValueError) as error:
            raise send_error(address, error) from error
        headers = tuple(
            (name, value)
            for name, value in response.headers.items()
            if name.lower() not in CONNECTION_HEADERS
        )
        backend_response = backend_client.BackendResponse(
            response.status,
            headers,
            body,
            response.headers.get("Backend-Boot-Id", ""),
        )
        if response.status == 503:
            raise_refusal(address, response.headers.get("Backend-Refusal", ""))
        return backend_response

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
        return read_body(response, deadline_s, MAX_CONTROL_BYTES)

    def cancel(call_id: str) -> None:
        quoted = urllib.parse.quote(call_id, safe="")
        with contextlib.suppress(urllib3.exceptions.HTTPError):
            control_call("POST", f"/_backend/cancel/{quoted}")

    def health() -> backend_client.Health:
        try:
            document = json.loads(control_call("GET", "/_backend/health"))
            return backend_client.Health(document["boot_id"], document["state"])
        except (
            urllib3.exceptions.HTTPError,
            KeyError,
            TypeError,
            ValueError,
        ) as error:
            raise unavailable_error(address, str(error)) from error

    def close() -> None:
        pool.close()
        control.close()

    return backend_client.BackendClient(send, cancel, health, close)


def request_headers(
    request: backend_client.BackendRequest,
) -> urllib3.HTTPHeaderDict:
    """Returns the headers to send with a request."""
    headers = urllib3.HTTPHeaderDict()
    for name, value in request.headers:
        if name.lower() not in CONNECTION_HEADERS:
            headers.add(name, value)
    for name in ("User-Agent", "Accept-Encoding"):
        # Keeps urllib3 from adding a value of its own.
        headers.setdefault(name, urllib3.util.SKIP_HEADER)
    headers["Waxwinglever-Call-Id"] = request.call_id
    headers["Waxwinglever-Timeout-Ms"] = str(request.timeout_ms)
    if request.fence is not None:
        headers["Waxwinglever-Slice"] = str(request.fence.start)
        headers["Waxwinglever-Epoch"] = str(request.fence.epoch)
        headers["Waxwinglever-Expires-Ns"] = str(request.fence.expires_ns)
    return headers


def read_body(
    response: urllib3.BaseHTTPResponse, deadline_s: float, max_bytes: int
) -> bytes:
    """Returns the body of a response, within limits of time and size.

    Args:
      response: A response whose body was not read yet.
      deadline_s: Time of time.monotonic() by which the body must be read. It
        is checked between chunks, because the socket's timeout applies to a
        single receive call.
      max_bytes: Largest accepted size.

    Raises:
      HTTPError: The body is late, too long or incomplete.
    """
    chunks = []
    size = 0
    try:
        while chunk := response.read1(CHUNK_BYTES, decode_content=False):
            chunks.append(chunk)
            size += len(chunk)
            if size > max_bytes:
                raise urllib3.exceptions.HTTPError(
                    "the response body is too long"
                )
            if time.monotonic() > deadline_s:
                raise urllib3.exceptions.HTTPError(
                    "the response body arrives too slowly"
                )
    except BaseException:
        response.close()
        raise
    finally:
        response.release_conn()
    return b"".join(chunks)


def send_error(address: str, error: Exception) -> exceptions.Refusal:
    """Returns the exception for a request without a complete response.

    A request counts as not run only if the error occurs before its first byte
    is sent. If the server closes the connection as idle while the request is
    in transit, this looks like a crash, and the outcome is unknown.
    """
    cause = error.args[1] if len(error.args) > 1 else error
    if isinstance(error, urllib3.exceptions.EmptyPoolError):
        return exceptions.Overloaded(
            f"all connections to backend server {address} are in use",
            "try again, or raise the number of connections",
            RETRY_AFTER_MS,
        )
    if isinstance(error, NOT_SENT_ERRORS):
        return unavailable_error(address, str(error))
    # http.client and urllib3 validate the request before they send it.
    if isinstance(cause, http.client.InvalidURL) or not isinstance(
        error, urllib3.exceptions.HTTPError
    ):
        return exceptions.BadRequest(
            f"request can't be sent: {error}",
            "correct the method, path or headers",
        )
    is_cut = (
        isinstance(cause, heads.IncompleteResponse)
        and cause.reason in heads.CUTS
    )
    connection_broken = (
        is_cut or isinstance(cause, ConnectionError)
    ) and not isinstance(error, urllib3.exceptions.TimeoutError)
    return backend_client.ResponseLost(
        f"backend server {address} sent no complete response: {error}",
        "check whether the request ran before sending it again",
        connection_broken,
    )


def raise_refusal(address: str, reason: str) -> None:
    """Raises the exception for a known value of the header Backend-Refusal."""
    if reason == "shed":
        raise exceptions.Overloaded(
            f"backend server {address} shed the request",
            "try again later",
            RETRY_AFTER_MS,
        )
    if reason == "draining":
        raise exceptions.Draining(
            f"backend server {address} is draining",
            "send the request to another node",
            RETRY_AFTER_MS,
        )
    if reason == "fence":
        raise exceptions.NotOwner(
            f"backend server {address} refused the fence",
            "send the request to the current owner",
            RETRY_AFTER_MS,
        )


def unavailable_error(
    address: str, reason: str
) -> exceptions.BackendUnavailable:
    """Returns the exception for a server that can't be reached."""
    return exceptions.BackendUnavailable(
        f"backend server {address} can't be reached: {reason}",
        "check that it runs, then try again",
        RETRY_AFTER_MS,
    )
