"""CherryPy's HTTP server, with bodies in chunks read to their end.

cheroot reads the rest of a body with a length, but leaves the rest of one in
chunks, and the lines behind its last chunk. They would be parsed as the next
request of the connection.
"""

import cherrypy
from cheroot import errors
from cheroot import server as cheroot_server
from cherrypy import _cpwsgi_server

from waxwinglever_front import http_codec
from waxwinglever_hops import heads

# The rest of a body that was not read is discarded up to this size and within
# this time. Past that the connection is closed.
MAX_DISCARDED_BYTES = 262_144
DISCARD_TIMEOUT_S = 1.0
PIECE_BYTES = 8_192


class Request(heads.Request, _cpwsgi_server.CPWSGIHTTPRequest):
    """A request that leaves its connection at the start of the next one."""

    header_reader = heads.make_header_reader(http_codec.SINGLE_HEADERS)

    def respond(self):
        super().respond()
        if self.chunked_read and not self.close_connection:
            self.close_connection = not discard_chunks(self)


class Connection(cheroot_server.HTTPConnection):
    """A connection that carries such requests."""

    RequestHandlerClass = Request


class Server(_cpwsgi_server.CPWSGIServer):
    """CherryPy's server with such connections."""

    ConnectionClass = Connection

    def __init__(self, server_adapter=cherrypy.server):
        super().__init__(server_adapter)
        # CherryPy sets a class of its own.
        Connection.RequestHandlerClass = Request


def discard_chunks(request: cheroot_server.HTTPRequest) -> bool:
    """Reads the rest of a body in chunks, within bounds.

    Returns:
      Whether the next request follows; otherwise the connection must be closed.
    """
    sock = request.conn.socket
    timeout_s = sock.gettimeout()
    sock.settimeout(DISCARD_TIMEOUT_S)
    size = 0
    try:
        while not request.rfile.closed:
            size += len(request.rfile.read(PIECE_BYTES))
            if size > MAX_DISCARDED_BYTES:
                return False
        for _ in request.rfile.read_trailer_lines():
            pass
    except (OSError, ValueError, errors.MaxSizeExceeded):
        return False
    sock.settimeout(timeout_s)
    return True
