"""Heads of requests that have one meaning only.

cheroot takes a name with spaces or control characters and a folded line for
headers, keeps the last value of most headers that are repeated, and takes
control characters in the request line. Another server may see another request
there, or another end of the body.
"""

import io
import re
import urllib.parse
from collections.abc import Iterable

from cheroot import server as cheroot_server

from waxwinglever_framing import heads

CRLF = b"\r\n"
# cheroot checks the method, the form of the target and the version further.
REQUEST_LINE = re.compile(
    rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+ [\x21-\x7e]+ HTTP/[0-9]\.[0-9]\r\n"
)
# Headers that name the resource or the end of the body.
SINGLE = frozenset((b"Host", b"Content-Length", b"Transfer-Encoding"))


class HeaderReader(cheroot_server.HeaderReader):
    """Reads the headers of a request, and no other lines.

    Attributes:
      single: Names, in title case, of the headers that may not be repeated.
    """

    def __init__(self, single: frozenset[bytes]):
        super().__init__()
        self.single = single

    def __call__(self, rfile, hdict=None):
        """Adds the headers up to the empty line to `hdict`.

        Args:
          rfile: The file that the lines are read from.
          hdict: Values by name in title case; a new dict if None.

        Returns:
          The dict.

        Raises:
          ValueError: A line is no header, the head ends before its empty
            line, or a header may not be repeated.
        """
        headers = {} if hdict is None else hdict
        while (line := rfile.readline()) != CRLF:
            match = heads.HEADER.fullmatch(line.removesuffix(CRLF))
            if match is None or not line.endswith(CRLF):
                raise ValueError("A line of the head is not NAME: VALUE.")
            name = match[1].title()
            value = match[2].rstrip(b" \t")
            if name in headers:
                if name in self.single:
                    raise ValueError("A header is repeated; send it once.")
                separator = b"; " if name == b"Cookie" else b", "
                value = headers[name] + separator + value
            headers[name] = value
        return headers


def make_header_reader(single_headers: Iterable[str]) -> HeaderReader:
    """Returns a reader that refuses requests which repeat certain headers.

    Args:
      single_headers: Names of headers besides those of SINGLE.
    """
    return HeaderReader(
        SINGLE.union(name.title().encode("ascii") for name in single_headers)
    )


def split_slashes(line: bytes) -> tuple[bytes, bytes, bytes]:
    """Splits a request line before the last of its target's leading slashes.

    cheroot takes what follows two slashes for the authority of an absolute
    target and refuses it. A request line holds no authority there: two slashes
    begin a path (RFC 9112, section 3.2.1).

    Returns:
      The method and its space, all leading slashes of the target but the last,
      and the rest of the line.
    """
    method, space, rest = line.partition(b" ")
    slashes = max(0, len(rest) - len(rest.lstrip(b"/")) - 1)
    return method + space, rest[:slashes], rest[slashes:]


class Request(cheroot_server.HTTPRequest):
    """A request whose head is clear.

    Attributes:
      rfile: What the head is read from; cheroot sets it for each request.
      uri: The target as it was sent.
      path: The path of the target, decoded.
    """

    rfile = None
    uri = b""
    path = b""
    header_reader = make_header_reader(())

    def read_request_line(self):
        lines = self.rfile
        line = lines.readline()
        # From here on, cheroot answers a timeout with 408.
        self.started_request = True
        if line == CRLF:
            # One empty line before a request is allowed.
            line = lines.readline()
        if line and not REQUEST_LINE.fullmatch(line):
            return self.refuse_request_line()
        head, slashes, rest = split_slashes(line)
        self.rfile = io.BytesIO(head + rest)
        try:
            if slashes:
                # Raises ValueError at a bracket that no path may hold there.
                urllib.parse.urlsplit(slashes + rest.partition(b" ")[0])
            is_valid = super().read_request_line()
            if is_valid and slashes:
                self.uri = slashes + self.uri
                self.path = slashes + self.path
            return is_valid
        except ValueError:
            # What follows two slashes has a bracket without its partner.
            return self.refuse_request_line()
        finally:
            self.rfile = lines

    def refuse_request_line(self) -> bool:
        """Writes the response to a malformed request line; returns False."""
        self.simple_response("400 Bad Request", "Malformed Request-Line")
        return False
