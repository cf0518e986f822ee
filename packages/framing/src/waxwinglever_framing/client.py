"""Connections of urllib3 that return complete responses only."""

import contextlib
import functools
import http.client
import io
import socket
import typing
from collections.abc import Iterator

import urllib3
from urllib3 import connection

from waxwinglever_framing import bodies
from waxwinglever_framing import heads

MAX_INTERIM_RESPONSES = 16
SWITCHING_PROTOCOLS = 101


class BodyFile(io.BufferedIOBase):
    """The body of a response as the file that http.client reads.

    Attributes:
      source: The connection.
      pieces: The body from here on.
      pending: A part of it that was not returned yet.
    """

    def __init__(self, source: bodies.Source, pieces: Iterator[bytes]):
        super().__init__()
        self.source = source
        self.pieces = pieces
        self.pending = b""

    def read(self, size: int | None = -1, /) -> bytes:
        """Returns the body, up to `size` bytes if that is not negative."""
        if size is None or size < 0:
            data = b"".join((self.pending, *self.pieces))
            self.pending = b""
            return data
        while len(self.pending) < size and (piece := next(self.pieces, b"")):
            self.pending += piece
        data, self.pending = self.pending[:size], self.pending[size:]
        return data

    def read1(self, size: int = -1, /) -> bytes:
        """Returns some bytes of the body, none at its end."""
        data = self.pending or next(self.pieces, b"")
        size = len(data) if size < 0 else size
        self.pending = data[size:]
        return data[:size]

    def close(self) -> None:
        """Releases the connection, which another response may use."""
        if not self.closed and bodies.unread_bytes(self.source):
            # Bytes behind the response belong to no request. The connection
            # counts as dropped from here on, so that no pool uses it again.
            with contextlib.suppress(OSError):
                self.source.sock.shutdown(socket.SHUT_RDWR)
        self.source.raw.close()
        super().close()


class Response(http.client.HTTPResponse):
    """A response whose head and body are complete.

    Attributes:
      sock: The connection that it arrives on.
      framing: How its end is found; set by begin().
      send_failed: Whether the request could not be sent to its end.
    """

    def __init__(
        self,
        sock: socket.socket,
        debuglevel: int = 0,
        method: str | None = None,
        url: str | None = None,
        send_failed: bool = False,
    ):
        super().__init__(sock, debuglevel, method, url)
        self.sock = sock
        self.method = method or "GET"
        self.framing: heads.Framing | None = None
        self.send_failed = send_failed

    def begin(self) -> None:
        """Reads the head; see http.client.HTTPResponse.begin.

        Raises:
          IncompleteResponse: The head is cut or malformed.
          RemoteDisconnected: The connection ended before the head began.
        """
        if self.headers is not None:
            return
        # A buffer of the file would hide what follows the response.
        self.fp = self.fp.detach()
        source = bodies.Source(self.sock, self.fp, send_failed=self.send_failed)
        head = read_head(source)
        self.framing = heads.find_framing(head, self.method)
        self.fp = BodyFile(source, bodies.read_pieces(source, self.framing))
        self.status = head.status
        self.reason = head.phrase
        self.version = 10 + head.minor_version
        self.headers = self.msg = http.client.HTTPMessage()
        for name, value in head.headers:
            self.msg[name] = value
        # The file ends with the body, so http.client need not find the end.
        self.chunked = False
        self.length = None
        self.will_close = self.framing.closes


class FramedResponse(Response):
    """A response whose end does not depend on that of its connection."""

    def begin(self) -> None:
        """Reads the head; see Response.begin.

        Raises:
          IncompleteResponse: The response would end with its connection, and so
            could not be told from one that was cut off.
        """
        super().begin()
        if self.framing.kind == heads.UNTIL_CLOSE:
            raise heads.IncompleteResponse(heads.UNCLEAR_LENGTH, 0)


def read_head(source: bodies.Source) -> heads.Head:
    """Returns the next head that is not one of an interim response.

    Raises:
      IncompleteResponse: It is cut, malformed or too long.
      RemoteDisconnected: The connection ended before it began.
    """
    for _ in range(MAX_INTERIM_RESPONSES):
        data = bodies.read_up_to(source, b"\r\n\r\n", bodies.MAX_HEAD_BYTES)
        if data is None and not bodies.unread_bytes(source):
            raise http.client.RemoteDisconnected(
                "the connection was closed without a response"
            )
        if data is None:
            reason = heads.CUT_HEAD if source.ended else heads.MALFORMED_HEAD
            raise heads.IncompleteResponse(reason, bodies.unread_bytes(source))
        head = heads.parse_head(data)
        if head.status >= 200:
            return head
        if head.status == SWITCHING_PROTOCOLS:
            break
    raise heads.IncompleteResponse(heads.MALFORMED_HEAD, 0)


class Connection(connection.HTTPConnection):
    """A connection whose responses are complete."""

    response_class = Response

    def connect(self) -> None:
        """Opens the connection; see urllib3's HTTPConnection.connect."""
        self.response_class = type(self).response_class
        super().connect()

    def send(self, data: typing.Any) -> None:
        """Sends a part of a request; see http.client.HTTPConnection.send."""
        try:
            super().send(data)
        except OSError:
            # urllib3 reads the response after some of these errors.
            self.response_class = functools.partial(
                type(self).response_class, send_failed=True
            )
            raise

    def read_response(self) -> Response:
        """Returns the response to the request that was sent, unread.

        It is not wrapped in the response of urllib3, which costs processor
        time and would decode it.
        """
        return http.client.HTTPConnection.getresponse(self)


class FramedConnection(Connection):
    """A connection for servers that mark the end of all their responses."""

    response_class = FramedResponse


class ConnectionPool(urllib3.HTTPConnectionPool):
    """A pool of connections whose responses are complete."""

    ConnectionCls = Connection


class FramedConnectionPool(urllib3.HTTPConnectionPool):
    """A pool for a server that marks the end of all its responses."""

    ConnectionCls = FramedConnection


def new_pool_manager(
    pool_class: type[urllib3.HTTPConnectionPool] = ConnectionPool, **options
) -> urllib3.PoolManager:
    """Returns a manager of pools whose responses are complete.

    Args:
      pool_class: ConnectionPool or FramedConnectionPool.
      **options: Options of urllib3.PoolManager.
    """
    manager = urllib3.PoolManager(**options)
    manager.pool_classes_by_scheme = {"http": pool_class}
    return manager
