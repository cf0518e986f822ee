"""HTTP servers based on cheroot, the server of CherryPy.

A custom gateway replaces WSGI, which hides the connection's socket: a handler
that waits needs the socket to notice that its caller has disconnected.
"""

import functools
import http
import select
import socket
import threading
from collections.abc import Callable
from collections.abc import Collection

import attrs
from cheroot import server as cheroot_server

from waxwinglever_hops import bodies
from waxwinglever_hops import heads
from waxwinglever_hops import pipelining
from waxwinglever_hops import progress as progress_module
from waxwinglever_hops import workers
from waxwinglever_model import exceptions
from waxwinglever_relay import memory_budget
from waxwinglever_relay import messages

BACKLOG = 256
# Maximum size of all headers, and how long an idle connection stays open. For
# the server of the callers, the configuration sets others.
DEFAULT_HEADER_BYTES = 65_536
DEFAULT_IDLE_TIMEOUT_S = 30.0
# How long a head may take to arrive; the configuration sets another.
DEFAULT_HEADER_TIMEOUT_S = 30.0
# New connections beyond the bound are accepted while idle ones are being closed
# for them, up to this many.
CLOSING_CONNECTIONS = 16
SENT_BYTES = 262_144
# Requests that are handled beside earlier ones of their connections.
PIPELINED_THREADS = 32


class CloseWithoutResponse(Exception):
    """Raised by a handler to close the connection without a response."""


@attrs.frozen
class HttpRequest:
    """HTTP request as received.

    Attributes:
      method: HTTP method.
      target: Path and query, unchanged.
      headers: Values by header name; the names are in title case.
      read_body: Reads and returns the whole body, of at most the given size;
        see bodies.read_all.
      caller: The connection of the caller.
      progress: How far the requests on its connection have come.
      on_finished: Called in turn once the response is written, or when there is
        none and the connection is about to be closed.
    """

    method: str
    target: str
    headers: dict[str, str]
    read_body: Callable[..., messages.Body]
    caller: messages.CallerConnection
    progress: progress_module.Progress = attrs.Factory(progress_module.Progress)
    on_finished: list[Callable[[], None]] = attrs.field(factory=list)

    def count_received(self) -> Callable[[], int]:
        """Returns a function that counts the bytes of the body from now on."""
        before = self.progress.moved
        return lambda: self.progress.moved - before


@attrs.frozen
class HttpResponse:
    """HTTP response to send.

    Attributes:
      status: HTTP status.
      headers: All headers except Content-Length.
      body: The whole body.
      close: Whether to close the connection after the response.
    """

    status: int
    headers: messages.Headers
    body: messages.Body
    close: bool = False


Handler = Callable[[HttpRequest], HttpResponse]


class Request(heads.Request):
    """A request whose refusal by cheroot itself arrives as well.

    cheroot closes the connection after it, with the rest of the request unread.
    """

    @property
    def header_reader(self):
        return self.server.header_reader

    def respond(self):
        # cheroot would send the headers itself if the gateway has not.
        self.server.gateway(self).respond()

    def simple_response(self, status, msg=""):
        pipeline = self.conn.pipeline
        if pipeline is not None:
            # This response must not overtake those of the requests before.
            pipelining.answer_all(pipeline)
            if pipeline.is_broken:
                return
        super().simple_response(status, msg)
        bodies.linger(self.conn)


class Connection(cheroot_server.HTTPConnection):
    """A connection that carries such requests.

    Attributes:
      progress: How far its present request has come.
      was_served: Whether it has carried a request that was answered.
      pipelines: Whether its client has sent a request before the one before it
        was answered.
      pipeline: Its requests that are not answered yet, while a thread has it
        and its server handles some requests beside others.
    """

    RequestHandlerClass = Request

    def __init__(self, *args, **options):
        super().__init__(*args, **options)
        self.progress = progress_module.Progress(progress_module.IDLE)
        self.was_served = False
        self.pipelines = False
        self.pipeline = None

    def communicate(self):
        if self.server.may_overlap is None:
            return self.handle_request()
        self.pipeline = pipelining.Pipeline(self.server.pipelined_slots)
        try:
            return pipelining.serve(
                self.pipeline,
                self.socket.fileno(),
                self.rfile.has_data,
                self.handle_request,
            )
        except (CloseWithoutResponse, messages.CallerDisconnected):
            return False
        finally:
            self.pipeline = None

    def handle_request(self) -> bool:
        """Reads a request, and answers or begins it.

        Returns:
          Whether the caller may send another one.
        """
        self.progress.requests += 1
        self.progress.phase = progress_module.HEAD
        return super().communicate()

    def close(self):
        self.server.open_connections.discard(self)
        super().close()


class Server(cheroot_server.HTTPServer):
    """A server with a bounded number of connections.

    Attributes:
      header_reader: Reads the headers of requests.
      budget: What long bodies draw on.
      max_connections: Number of open connections, or None if not bounded.
      open_connections: The open connections. Adding, removing and copying are
        atomic, so they need no lock.
      header_timeout_s: How long a head may take to arrive.
      may_overlap: Returns whether a request without a body may be handled
        beside earlier ones of its connection; None if none may.
      pipelined_slots: Bounds the number of such requests.
      count_drop: Called with the reason when a connection is closed for lack
        of progress or of room.
    """

    ConnectionClass = Connection
    header_reader: heads.HeaderReader
    budget: memory_budget.Budget
    max_connections: int | None = None
    open_connections: set[Connection]
    header_timeout_s = DEFAULT_HEADER_TIMEOUT_S
    may_overlap: Callable[["HttpRequest"], bool] | None = None
    pipelined_slots: threading.Semaphore

    @staticmethod
    def count_drop(reason: str) -> None:
        """Does nothing unless it is replaced."""

    def process_conn(self, conn: Connection) -> None:
        """Hands a connection to a worker as soon as it has bytes to read.

        A worker thread that waited for the first bytes of a new connection
        would be kept by clients that send none.
        """
        if conn.last_used is None and not admit_connection(self, conn):
            conn.close()
        elif conn.last_used is None and not has_arrived(conn):
            self.put_conn(conn)
        else:
            # It has a request, so it is not idle while it waits for a thread.
            conn.progress.phase = progress_module.OWN
            super().process_conn(conn)

    def put_conn(self, conn: Connection) -> None:
        conn.progress.phase = progress_module.IDLE
        super().put_conn(conn)


def admit_connection(server: Server, connection: Connection) -> bool:
    """Makes room for a new connection; returns False if there is none.

    Of the idle connections, one that was never used is closed first, then the
    one that has been idle for longest.
    """
    opened = server.open_connections
    limit = server.max_connections
    if limit is not None and len(opened) >= limit:
        idle = [
            item
            for item in tuple(opened)
            if item.progress.phase == progress_module.IDLE
        ]
        if idle:
            drop(
                min(
                    idle,
                    key=lambda item: (item.was_served, item.last_used or 0.0),
                ),
                progress_module.CONNECTIONS_SHORT,
            )
        if not idle or len(opened) >= limit + CLOSING_CONNECTIONS:
            server.count_drop(progress_module.CONNECTIONS_SHORT)
            return False
    opened.add(connection)
    return True


def drop(connection: Connection, reason: str) -> None:
    """Ends a connection; the thread that has it notices and closes it."""
    connection.server.count_drop(reason)
    # It is not idle any more, so it isn't chosen again.
    connection.progress.phase = progress_module.OWN
    try:
        connection.socket.shutdown(socket.SHUT_RDWR)
    except OSError:
        # It has ended meanwhile.
        pass


def has_arrived(connection: Connection) -> bool:
    """Returns whether a new connection has bytes to read."""
    poller = select.poll()
    poller.register(connection.socket.fileno(), select.POLLIN)
    return bool(poller.poll(0))


def make_server(
    address: str,
    threads: int,
    handle: Handler,
    single_headers: Collection[str] = (),
    budget: memory_budget.Budget | None = None,
    max_connections: int | None = None,
    may_overlap: Callable[[HttpRequest], bool] | None = None,
) -> Server:
    """Returns a server that passes each request to `handle`.

    Args:
      address: host:port to listen on.
      threads: Most requests that are handled at the same time, each in a
        thread that is started when it is needed.
      handle: Returns the response, or raises CloseWithoutResponse or
        CallerDisconnected.
      single_headers: Headers that the handler decides by. A request that
        repeats one of them is refused, while others are joined.
      budget: What long bodies draw on; None if they are not bounded.
      max_connections: Number of open connections, or None if not bounded.
      may_overlap: Returns whether a request may be handled beside earlier ones
        of its connection; None if none may.
    """
    host, _, port = address.rpartition(":")
    server = Server(
        (host, int(port)),
        gateway=make_gateway_class(handle),
    )
    server.budget = budget or memory_budget.Budget()
    server.max_connections = max_connections
    server.open_connections = set()
    server.may_overlap = may_overlap
    server.pipelined_slots = threading.BoundedSemaphore(PIPELINED_THREADS)
    server.header_reader = heads.make_header_reader(single_headers)
    server.requests = workers.WorkerPool(server, threads)
    server.request_queue_size = BACKLOG
    server.timeout = DEFAULT_IDLE_TIMEOUT_S
    server.max_request_header_size = DEFAULT_HEADER_BYTES
    server.keep_alive_conn_limit = None
    server.shutdown_timeout = 0
    return server


def make_gateway_class(handle: Handler) -> type[cheroot_server.Gateway]:
    """Returns the gateway class that cheroot instantiates for each request."""

    class Gateway(cheroot_server.Gateway):
        """Calls the handler with the request and writes its response."""

        def respond(self):
            request = self.req
            connection = request.conn
            connection.progress.phase = progress_module.OWN
            body = bodies.find_body(request, request.server.budget)
            # cheroot would read on from this file before the response.
            request.rfile = None
            incoming = HttpRequest(
                request.method.decode("latin-1"),
                request.uri.decode("latin-1"),
                {
                    name.decode("latin-1"): value.decode("latin-1")
                    for name, value in request.inheaders.items()
                },
                functools.partial(bodies.read_all, body),
                watch_connection(connection.socket),
                connection.progress,
            )
            if may_begin(connection, body, incoming) and pipelining.begin(
                connection.pipeline,
                functools.partial(call_handler, handle, incoming),
                functools.partial(answer_begun, request, body, incoming),
            ):
                return

            def answer() -> HttpResponse:
                if connection.pipeline is not None:
                    pipelining.answer_all(connection.pipeline)
                bodies.send_continue(request)
                return call_handler(handle, incoming)

            finish_request(request, body, incoming, answer)

    return Gateway


def may_begin(
    connection: Connection, body: bodies.RequestBody, incoming: HttpRequest
) -> bool:
    """Returns whether a request is handled beside others of its connection.

    That is so if the client pipelines its requests.
    """
    if connection.pipeline is None or not body.ended:
        return False
    connection.pipelines = connection.pipelines or connection.rfile.has_data()
    return connection.pipelines and connection.server.may_overlap(incoming)


def finish_request(
    request: cheroot_server.HTTPRequest,
    body: bodies.RequestBody,
    incoming: HttpRequest,
    answer: Callable[[], HttpResponse],
) -> None:
    """Writes the response to a request and leaves its connection in order.

    Args:
      request: The request.
      body: Its body, which may be unread.
      incoming: The request as its handler has got it.
      answer: Returns the response, or raises CloseWithoutResponse or
        CallerDisconnected.
    """
    connection = request.conn
    try:
        write_response(request, body, answer())
    except (CloseWithoutResponse, messages.CallerDisconnected):
        request.close_connection = True
        request.ready = False
    finally:
        connection.progress.held_bytes = 0
        for callback in incoming.on_finished:
            callback()
    if request.ready:
        connection.was_served = True
        end_request(request, body)
        if connection.pipeline is not None and not connection.pipelines:
            connection.pipelines = bodies.has_unread_bytes(connection)


def answer_begun(
    request: cheroot_server.HTTPRequest,
    body: bodies.RequestBody,
    incoming: HttpRequest,
    result: object,
    has_more: bool,
    may_read: bool,
) -> bool:
    """Writes the response to a request that was begun beside others.

    Only the last response on a connection closes it.

    Args:
      request: The request.
      body: Its body, which is empty.
      incoming: The request as its handler has got it.
      result: Its response, what its handler raised, or None to write nothing.
      has_more: Whether other responses follow.
      may_read: Whether the caller may send further requests.

    Returns:
      Whether it may still send further requests.

    Raises:
      CloseWithoutResponse: There is no response, so none may follow.
    """

    def answer() -> HttpResponse:
        nonlocal may_read
        if result is None:
            raise CloseWithoutResponse
        if isinstance(result, HttpResponse):
            response = result
        elif isinstance(
            result, (CloseWithoutResponse, messages.CallerDisconnected)
        ):
            raise result
        else:
            request.server.error_log(f"a request failed: {result!r}")
            response = HttpResponse(500, (), b"", close=True)
        may_read = may_read and not response.close
        return attrs.evolve(response, close=not may_read and not has_more)

    request.close_connection = False
    finish_request(request, body, incoming, answer)
    if result is not None and not request.ready:
        raise CloseWithoutResponse
    return may_read


def call_handler(handle: Handler, incoming: HttpRequest) -> HttpResponse:
    """Returns the response to a request, also if its body can't be read."""
    try:
        return handle(incoming)
    except (exceptions.BadRequest, exceptions.Overloaded) as error:
        text = f"{error.message}; {error.remedy}"
        return HttpResponse(error.status, (), text.encode(), close=True)


def end_request(
    request: cheroot_server.HTTPRequest, body: bodies.RequestBody
) -> None:
    """Leaves the connection at the start of its next request, or to be closed.

    Args:
      request: A request whose response was written.
      body: Its body, which may be unread.
    """
    if not request.close_connection:
        request.close_connection = not bodies.discard(body)
    if request.close_connection and (
        not body.ended or bodies.has_unread_bytes(request.conn)
    ):
        bodies.linger(request.conn)


def write_response(
    request: cheroot_server.HTTPRequest,
    body: bodies.RequestBody,
    response: HttpResponse,
) -> None:
    """Writes a response with its Content-Length to the connection.

    Args:
      request: The request.
      body: Its body; if it can't be read to its end, the response closes the
        connection.
      response: The response.
    """
    try:
        reason = http.HTTPStatus(response.status).phrase
    except ValueError:
        reason = "Unknown"
    request.status = f"{response.status} {reason}".encode("latin-1")
    if response.close or not bodies.is_discardable(body):
        request.close_connection = True
    request.outheaders = [
        (name.encode("latin-1"), value.encode("latin-1"))
        for name, value in response.headers
    ]
    has_body = response.status >= 200 and response.status not in (204, 304)
    if has_body:
        size = str(len(response.body)).encode("ascii")
        request.outheaders.append((b"Content-Length", size))
    progress = request.conn.progress
    progress.phase = progress_module.RESPONSE
    request.ensure_headers_sent()
    if has_body and response.body and request.method != b"HEAD":
        if isinstance(response.body, memoryview):
            progress.held_bytes = len(response.body)
        write_body(request.conn, response.body)
    progress.phase = progress_module.OWN


def write_body(connection: Connection, body: messages.Body) -> None:
    """Writes a body without copying it; cheroot's file copies it twice."""
    left = memoryview(body)
    while left:
        count = connection.socket.send(left[:SENT_BYTES])
        connection.progress.moved += count
        left = left[count:]


def watch_connection(sock: socket.socket) -> messages.CallerConnection:
    """Returns a CallerConnection that detects a closed socket."""

    def is_closed() -> bool:
        # Requests that the caller has pipelined may still be unread, so that
        # bytes to read say nothing. Looking at them could wait for others, as
        # the thread of the connection may take them meanwhile.
        poller = select.poll()
        poller.register(sock.fileno(), select.POLLRDHUP)
        return bool(poller.poll(0))

    return messages.CallerConnection(sock.fileno(), is_closed)


def start(server: cheroot_server.HTTPServer, name: str) -> None:
    """Binds the address and serves requests in a daemon thread."""
    server.prepare()
    if server.max_connections is not None:
        # Accepted connections inherit it. Without it, the kernel would receive
        # up to 6 MB for each that nobody reads.
        server.socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, memory_budget.UNREAD_BYTES
        )
        # Otherwise the kernel holds up to 4 MB of each response that nobody
        # reads, and the progress of its reader can't be seen.
        server.socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, memory_budget.UNSENT_BYTES
        )
    threading.Thread(target=server.serve, name=name, daemon=True).start()
