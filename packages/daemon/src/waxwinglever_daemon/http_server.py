"""CherryPy's HTTP server, with bodies that are read to their end.

cheroot takes a body in chunks that is cut for a whole one. It leaves the lines
behind the last chunk, and the rest of a body that nobody reads, to be parsed as
the next request of the connection.
"""

import io

import cherrypy
from cheroot import server as cheroot_server
from cherrypy import _cpwsgi_server

from waxwinglever_front import http_codec
from waxwinglever_hops import bodies
from waxwinglever_hops import heads
from waxwinglever_hops import progress
from waxwinglever_model import exceptions
from waxwinglever_relay import messages


class BodyReader(io.RawIOBase):
    """The body of a request as a file, which fails if the body is cut.

    Attributes:
      body: The body.
      max_bytes: Size up to which it is read, or None.
      size: How much of it was read.
      pending: A part of that which was not returned yet.
    """

    def __init__(self, body: bodies.RequestBody, max_bytes: int | None):
        super().__init__()
        self.body = body
        self.max_bytes = max_bytes
        self.size = 0
        self.pending = b""

    def readable(self) -> bool:
        """Returns True; see io.RawIOBase."""
        return True

    def readinto(self, buffer, /) -> int:
        """Reads some bytes; see io.RawIOBase.

        Raises:
          BadRequest: The body is cut or malformed.
          TooLarge: It is longer than `max_bytes`.
        """
        try:
            if not self.pending:
                self.pending = next(bodies.read_pieces(self.body), b"")
                self.size += len(self.pending)
        except messages.CallerDisconnected as error:
            raise exceptions.BadRequest(
                "the body ended early", "send as many bytes as announced"
            ) from error
        bodies.check_size(self.size, self.max_bytes)
        size = min(len(self.pending), len(buffer))
        buffer[:size] = self.pending[:size]
        self.pending = self.pending[size:]
        return size


class Request(heads.Request, _cpwsgi_server.CPWSGIHTTPRequest):
    """A request that leaves its connection at the start of the next one."""

    header_reader = heads.make_header_reader(http_codec.SINGLE_HEADERS)

    def respond(self):
        body = bodies.find_body(self)
        if body.broken:
            self.simple_response(
                "400 Bad Request",
                "The end of the body is not clear; send either Content-Length"
                " or valid chunks.",
            )
            bodies.linger(self.conn)
            self.close_connection = True
            return
        max_bytes = self.server.max_request_body_size or None
        self.rfile = io.BufferedReader(BodyReader(body, max_bytes))
        self.server.gateway(self).respond()
        if self.ready:
            self.ensure_headers_sent()
        if self.chunked_write:
            self.conn.wfile.write(b"0\r\n\r\n")
        if not self.close_connection:
            self.close_connection = not bodies.discard(body)


class Connection(cheroot_server.HTTPConnection):
    """A connection that carries such requests.

    Attributes:
      progress: How far its present request has come; not watched here.
    """

    RequestHandlerClass = Request

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.progress = progress.Progress()


class Server(_cpwsgi_server.CPWSGIServer):
    """CherryPy's server with such connections."""

    ConnectionClass = Connection

    def __init__(self, server_adapter=cherrypy.server):
        super().__init__(server_adapter)
        # CherryPy sets a class of its own.
        Connection.RequestHandlerClass = Request
