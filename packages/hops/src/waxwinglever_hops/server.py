"""HTTP servers on CherryPy's own server.

The gateway hands the connection's socket to the handler, which WSGI would
hide: a handler that waits must notice that its caller has left.
"""

import functools
import http
import select
import socket
import threading
from collections.abc import Callable

import attrs
from cheroot import server as cheroot_server

from waxwinglever_relay import messages

BACKLOG = 256
# Longest block of headers before the configuration names another.
HEADER_BYTES = 65_536
# How long an unused connection stays open before the configuration names it.
IDLE_S = 30.0


class NoAnswer(Exception):
    """The connection must be closed without an answer."""


@attrs.frozen
class Incoming:
    """A request as it came in.

    Attributes:
      method: HTTP method.
      target: Path and query, unchanged.
      headers: Names in title case, and values.
      read_body: Reads the whole body; raises CallerLeft when it ends early.
      caller: The connection.
    """

    method: str
    target: str
    headers: dict[str, str]
    read_body: Callable[[], bytes]
    caller: messages.Caller


@attrs.frozen
class Outgoing:
    """An answer; `close` ends the connection after it."""

    status: int
    headers: messages.Headers
    body: bytes
    close: bool = False


Handler = Callable[[Incoming], Outgoing]


def make_server(address: str, threads: int, handle: Handler):
    """Returns a server that passes each request to `handle`.

    Args:
      address: host:port to listen on.
      threads: Requests that are handled at a time.
      handle: Returns the answer, or raises NoAnswer or CallerLeft.
    """
    host, _, port = address.rpartition(":")
    server = cheroot_server.HTTPServer(
        (host, int(port)), gateway=gateway_for(handle), minthreads=threads
    )
    server.request_queue_size = BACKLOG
    server.timeout = IDLE_S
    server.max_request_header_size = HEADER_BYTES
    server.keep_alive_conn_limit = None
    server.shutdown_timeout = 0
    return server


def gateway_for(handle: Handler) -> type[cheroot_server.Gateway]:
    """Returns the class that cheroot makes for each request."""

    class Gateway(cheroot_server.Gateway):
        """Turns cheroot's request into a call of the handler."""

        def respond(self):
            request = self.req
            incoming = Incoming(
                request.method.decode("latin-1"),
                request.uri.decode("latin-1"),
                {
                    name.decode("latin-1"): value.decode("latin-1")
                    for name, value in request.inheaders.items()
                },
                functools.partial(read_whole, request),
                watch(request.conn.socket),
            )
            try:
                answer = handle(incoming)
            except (NoAnswer, messages.CallerLeft):
                request.close_connection = True
                request.ready = False
                return
            write(request, answer)

    return Gateway


def read_whole(request: cheroot_server.HTTPRequest) -> bytes:
    """Returns the body; cheroot takes the end of a connection for its end."""
    body = request.rfile.read()
    announced = int(request.inheaders.get(b"Content-Length", 0))
    if len(body) < announced:
        raise messages.caller_left()
    return body


def write(request: cheroot_server.HTTPRequest, answer: Outgoing) -> None:
    """Writes an answer."""
    try:
        reason = http.HTTPStatus(answer.status).phrase
    except ValueError:
        reason = "Unknown"
    request.status = f"{answer.status} {reason}".encode("latin-1")
    if answer.close:
        request.close_connection = True
    request.outheaders = [
        (name.encode("latin-1"), value.encode("latin-1"))
        for name, value in answer.headers
    ]
    has_body = answer.status >= 200 and answer.status not in (204, 205, 304)
    if has_body:
        size = str(len(answer.body)).encode("ascii")
        request.outheaders.append((b"Content-Length", size))
    request.ensure_headers_sent()
    if has_body and answer.body and request.method != b"HEAD":
        request.write(answer.body)


def watch(sock: socket.socket) -> messages.Caller:
    """Returns what is needed to notice that the other side has closed."""

    def has_left() -> bool:
        poller = select.poll()
        poller.register(sock.fileno(), select.POLLIN | select.POLLRDHUP)
        for _, events in poller.poll(0):
            if events & (select.POLLHUP | select.POLLERR):
                return True
            try:
                return not sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
            except BlockingIOError:
                return False
            except OSError:
                return True
        return False

    return messages.Caller(sock.fileno(), has_left)


def start(server: cheroot_server.HTTPServer, name: str) -> None:
    """Binds the address and serves in a thread."""
    server.prepare()
    threading.Thread(target=server.serve, name=name, daemon=True).start()
