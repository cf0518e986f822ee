"""Heads of requests that have one meaning only.

cheroot takes a name with spaces or control characters and a folded line for
headers, keeps the last value of most headers that are repeated, and takes
control characters in the request line. Another server may see another request
there, or another end of the body.
"""

import re

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
                raise ValueError("A line of the head is not a header.")
            name = match[1].title()
            value = match[2].rstrip(b" \t")
            if name in headers:
                if name in self.single:
                    raise ValueError("A header that decides is repeated.")
                separator = b"; " if name == b"Cookie" else b", "
                value = headers[name] + separator + value
            headers[name] = value
        return headers
