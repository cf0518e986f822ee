"""HTTP server of the stand-ins, based on cheroot's WSGI server."""

import collections
import http
import json
import queue
import signal
import threading
import typing
import urllib.parse
from collections.abc import Callable

import attrs
from cheroot import wsgi

from waxwinglever_model import exceptions
from waxwinglever_model import limits

SEND = "send"
CLOSE = "close"
HANG = "hang"

# Larger than the product's limits, so that a client reports its own limit
# before the server closes the connection.
MAX_BODY_BYTES = limits.MAX_BODY_BYTES + 1_000_000
MAX_HEADER_BYTES = 2 * limits.MAX_HEADER_BYTES
IDLE_TIMEOUT_S = 30
# Beyond this number of unanswered connections the oldest one is closed, so that
# a long fault doesn't use up the file descriptors.
MAX_UNANSWERED_SOCKETS = 256
MAX_KEPT_CONNECTIONS = 1_000


@attrs.frozen
class Request:
    """An HTTP request with its complete body.

    Attributes:
      method: HTTP method.
      path: Percent-decoded path.
      query: The last value of each query parameter.
      headers: Header values by lower-case name.
      body: The whole body.
      client: IP address of the client.
    """

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    client: str


@attrs.frozen
class Response:
    """An HTTP response, or the way to end the request without one.

    Attributes:
      status: HTTP status.
      body: The whole body.
      headers: Header names and values, without Content-Length.
      delivery: SEND to send the response, CLOSE to close the connection without
        one, or HANG to leave the connection open without one.
    """

    status: int = 200
    body: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()
    delivery: str = attrs.field(
        default=SEND, validator=attrs.validators.in_((SEND, CLOSE, HANG))
    )


Handler = Callable[[Request], Response]


def json_response(document: typing.Any, status: int = 200) -> Response:
    """Returns a response whose body is `document` as JSON."""
    body = json.dumps(document).encode("utf-8")
    return Response(status, body, (("Content-Type", "application/json"),))


def error_response(status: int, error: str) -> Response:
    """Returns a JSON response with an error message."""
    return json_response({"error": error}, status)


class DroppingGateway(wsgi.Gateway_10):
    """WSGI gateway whose application can end a request without a response."""

    def get_environ(self) -> dict:
        environ = super().get_environ()
        environ["standins.drop"] = self.drop
        return environ

    def drop(self, keep_open: bool) -> None:
        """Sends no response and closes the connection or keeps it open."""
        self.req.close_connection = True
        self.req.sent_headers = True
        self.req.chunked_write = False
        if keep_open:
            # The connection stays open, but doesn't occupy the worker thread.
            self.req.conn.linger = True
            self.req.server.unanswered_sockets.append(self.req.conn.socket)


def wsgi_application(handle: Handler) -> Callable:
    """Returns a WSGI application that calls `handle` for each request."""

    def application(environ: dict, start_response: Callable) -> list[bytes]:
        response = handle(parse_request(environ))
        if response.delivery != SEND:
            environ["standins.drop"](response.delivery == HANG)
            return []
        reason = http.HTTPStatus(response.status).phrase
        size = ("Content-Length", str(len(response.body)))
        start_response(f"{response.status} {reason}", [*response.headers, size])
        return [] if environ["REQUEST_METHOD"] == "HEAD" else [response.body]

    return application


def parse_request(environ: dict) -> Request:
    """Reads the request from a WSGI environment."""
    size = int(environ.get("CONTENT_LENGTH") or 0)
    path = environ["PATH_INFO"].encode("latin-1").decode("utf-8", "replace")
    return Request(
        environ["REQUEST_METHOD"],
        path,
        dict(urllib.parse.parse_qsl(environ["QUERY_STRING"])),
        {
            name[5:].replace("_", "-").lower(): value
            for name, value in environ.items()
            if name.startswith("HTTP_")
        },
        environ["wsgi.input"].read(size) if size else b"",
        environ["REMOTE_ADDR"],
    )


@attrs.define(eq=False)
class RunningServer:
    """A started HTTP server and the thread that runs it."""

    server: wsgi.Server
    thread: threading.Thread

    def close(self) -> None:
        self.server.stop()
        self.thread.join()
        while self.server.unanswered_sockets:
            self.server.unanswered_sockets.pop().close()


def serve(address: str, handle: Handler, threads: int) -> RunningServer:
    """Starts a server on host:port that responds to each request with `handle`.

    Args:
      address: host:port to listen on.
      handle: Called in a worker thread; may block.
      threads: Number of worker threads, which bounds the concurrent requests.

    Returns:
      The running server.

    Raises:
      InvalidInput: The address can't be bound.
    """
    host, _, port = address.rpartition(":")
    server = wsgi.Server(
        (host, int(port)),
        wsgi_application(handle),
        numthreads=threads,
        request_queue_size=128,
        timeout=IDLE_TIMEOUT_S,
        shutdown_timeout=1,
    )
    server.gateway = DroppingGateway
    server.unanswered_sockets = collections.deque(maxlen=MAX_UNANSWERED_SOCKETS)
    server.max_request_body_size = MAX_BODY_BYTES
    server.max_request_header_size = MAX_HEADER_BYTES
    server.keep_alive_conn_limit = MAX_KEPT_CONNECTIONS
    try:
        server.prepare()
    except OSError as error:
        raise exceptions.InvalidInput(
            f"address {address} can't be bound: {error}",
            "stop the process that uses it, or choose another address",
        ) from error
    thread = threading.Thread(target=server.serve, name="http", daemon=True)
    thread.start()
    return RunningServer(server, thread)


def wait_for_signal() -> None:
    """Blocks the main thread until SIGTERM or SIGINT."""
    # SimpleQueue.put is reentrant, so a handler can't wait for a lock that the
    # interrupted code holds.
    signals = queue.SimpleQueue()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, lambda number, _: signals.put(number))
    signals.get()
