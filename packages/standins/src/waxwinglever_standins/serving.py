"""HTTP serving that the stand-ins share, on cheroot's WSGI server."""

import collections
import http
import json
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

# A client sees its own limit before the server closes the connection.
MAX_BODY_BYTES = limits.MAX_BODY_BYTES + 1_000_000
MAX_HEADER_BYTES = 2 * limits.MAX_HEADER_BYTES
IDLE_TIMEOUT_S = 30
# The oldest connections without an answer are closed beyond this number, so
# that a long fault does not use up the file descriptors.
MAX_HELD_SOCKETS = 256
MAX_KEPT_CONNECTIONS = 1_000


@attrs.frozen
class Request:
    """A request, read completely.

    Attributes:
      method: HTTP method.
      path: Path, decoded.
      query: The last value of each query parameter.
      headers: Values by name in lower case.
      body: The whole body.
      client: IP number of the client.
    """

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    client: str


@attrs.frozen
class Response:
    """What the client gets.

    Attributes:
      status: HTTP status.
      body: The whole body.
      headers: Names and values, without Content-Length.
      delivery: SEND, or CLOSE to close the connection without an answer, or
        HANG to leave it open without one.
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
    """Returns a response that names an error."""
    return json_response({"error": error}, status)


class DroppingGateway(wsgi.Gateway_10):
    """Lets the application end a request without an answer."""

    def get_environ(self) -> dict:
        environ = super().get_environ()
        environ["standins.drop"] = self.drop
        return environ

    def drop(self, hold: bool) -> None:
        """Sends nothing; closes the connection, or holds it open."""
        self.req.close_connection = True
        self.req.sent_headers = True
        self.req.chunked_write = False
        if hold:
            # The worker thread goes on to other connections.
            self.req.conn.linger = True
            self.req.server.held_sockets.append(self.req.conn.socket)


def wsgi_application(handle: Handler) -> Callable:
    """Returns the WSGI application that answers with `handle`."""

    def application(environ: dict, start_response: Callable) -> list[bytes]:
        response = handle(request_of(environ))
        if response.delivery != SEND:
            environ["standins.drop"](response.delivery == HANG)
            return []
        phrase = http.HTTPStatus(response.status).phrase
        size = ("Content-Length", str(len(response.body)))
        start_response(f"{response.status} {phrase}", [*response.headers, size])
        return [] if environ["REQUEST_METHOD"] == "HEAD" else [response.body]

    return application


def request_of(environ: dict) -> Request:
    """Reads the request of a WSGI environment."""
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
class Serving:
    """A server that runs in its own threads."""

    server: wsgi.Server
    thread: threading.Thread

    def close(self) -> None:
        self.server.stop()
        self.thread.join()
        while self.server.held_sockets:
            self.server.held_sockets.pop().close()


def serve(address: str, handle: Handler, threads: int) -> Serving:
    """Listens on host:port and answers each request with `handle`.

    Args:
      address: host:port to listen on.
      handle: Called in the thread of the connection; may block.
      threads: Most requests that are handled at once.

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
    server.held_sockets = collections.deque(maxlen=MAX_HELD_SOCKETS)
    server.max_request_body_size = MAX_BODY_BYTES
    server.max_request_header_size = MAX_HEADER_BYTES
    server.keep_alive_conn_limit = MAX_KEPT_CONNECTIONS
    try:
        server.prepare()
    except OSError as error:
        raise exceptions.InvalidInput(
            f"address {address} can't be bound: {error}",
            "stop the process that holds it, or choose another address",
        ) from error
    thread = threading.Thread(target=server.serve, name="http", daemon=True)
    thread.start()
    return Serving(server, thread)


def wait_for_signal() -> None:
    """Blocks the main thread until SIGTERM or SIGINT."""
    ended = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: ended.set())
    ended.wait()
