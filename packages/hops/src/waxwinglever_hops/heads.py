"""Heads of requests that have one meaning only.

cheroot takes a name with spaces or control characters and a folded line for
headers. Another server may see other headers there, or another end of the body.
"""

from cheroot import server as cheroot_server

from waxwinglever_framing import heads

CRLF = b"\r\n"


class HeaderReader(cheroot_server.HeaderReader):
    """Reads the headers of a request, and no other lines."""

    def __call__(self, rfile, hdict=None):
        """Adds the headers up to the empty line to `hdict`.

        Args:
          rfile: The file that the lines are read from.
          hdict: Values by name in title case; a new dict if None.

        Returns:
          The dict.

        Raises:
          ValueError: A line is no header, or the head ends before its empty
            line.
        """
        headers = {} if hdict is None else hdict
        while (line := rfile.readline()) != CRLF:
            match = heads.HEADER.fullmatch(line.removesuffix(CRLF))
            if match is None or not line.endswith(CRLF):
                raise ValueError("A line of the head is not a header.")
            name = match[1].title()
            value = match[2].rstrip(b" \t")
            earlier = headers.get(name)
            if earlier and name in cheroot_server.comma_separated_headers:
                value = b", ".join((earlier, value))
            headers[name] = value
        return headers
