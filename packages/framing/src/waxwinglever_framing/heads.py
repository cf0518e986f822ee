"""Heads of HTTP responses and what they say of the end of the body.

http.client ends a head at the end of the connection or at the first line that
is no header, and takes a length that it can't read for none. A response that is
cut or spoiled there would look complete, so nothing is tolerated here.
"""

import http.client
import re
from collections.abc import Sequence

import attrs

# What marks the end of a response.
NO_BODY = "no-body"
LENGTH = "length"
CHUNKED = "chunked"
UNTIL_CLOSE = "until-close"

# Why a response is not complete.
CUT_HEAD = "cut-head"
MALFORMED_HEAD = "malformed-head"
INVALID_STATUS = "invalid-status"
UNCLEAR_LENGTH = "unclear-length"
SHORT_BODY = "short-body"
MALFORMED_CHUNK = "malformed-chunk"
RESET_AFTER_END = "reset-after-end"
SECOND_RESPONSE = "second-response"
# Reasons that a connection which breaks off explains.
CUTS = frozenset((CUT_HEAD, SHORT_BODY, RESET_AFTER_END))

STATUS_LINE = re.compile(
    rb"HTTP/1\.([01]) (-?[0-9]+)(?: ([^\x00-\x08\x0a-\x1f\x7f]*))?"
)
# Others have no meaning (RFC 9110, section 15). Servers in trouble send them.
STATUS = re.compile(rb"[1-5][0-9]{2}")
NAME_CHARACTER = rb"[!#$%&'*+.^_`|~0-9A-Za-z-]"
HEADER = re.compile(
    rb"(" + NAME_CHARACTER + rb"+):[ \t]*([^\x00-\x08\x0a-\x1f\x7f]*)"
)
# int() takes signs, spaces, underscores and digits of other scripts as well.
DIGITS = re.compile(r"[0-9]{1,18}")
BODILESS_STATUSES = (204, 304)


class IncompleteResponse(http.client.HTTPException):
    """A response ended early, or its end can't be found.

    Attributes:
      reason: Why, one of the constants of this module.
      received: Bytes of the part that breaks off, the head or the body.
      expected: Bytes that the body should have, or None if unknown.
    """

    def __init__(self, reason: str, received: int, expected: int | None = None):
        of_expected = "" if expected is None else f" of {expected}"
        super().__init__(f"{reason} after {received}{of_expected} bytes")
        self.reason = reason
        self.received = received
        self.expected = expected


@attrs.frozen
class Head:
    """The head of a response.

    Attributes:
      minor_version: 0 for HTTP/1.0, 1 for HTTP/1.1.
      status: The status.
      phrase: The reason phrase.
      headers: Names and values as they were sent.
    """

    minor_version: int
    status: int
    phrase: str
    headers: tuple[tuple[str, str], ...]


@attrs.frozen
class Framing:
    """How the end of a response is found.

    Attributes:
      kind: NO_BODY, LENGTH, CHUNKED or UNTIL_CLOSE.
      length: Bytes of the body if its kind is LENGTH.
      closes: Whether no other response may follow on the connection.
    """

    kind: str
    length: int
    closes: bool


def parse_head(data: bytes) -> Head:
    """Returns the head in `data`, which ends with its empty line.

    Raises:
      IncompleteResponse: A line is malformed, or the status is not 100 to 599.
    """
    first, *lines = data.removesuffix(b"\r\n\r\n").split(b"\r\n")
    status_line = STATUS_LINE.fullmatch(first)
    if status_line is None:
        raise IncompleteResponse(MALFORMED_HEAD, len(data))
    minor_version, status, phrase = status_line.groups(b"")
    if not STATUS.fullmatch(status):
        raise IncompleteResponse(INVALID_STATUS, len(data))
    return Head(
        int(minor_version),
        int(status),
        phrase.decode("latin-1"),
        parse_headers(lines, len(data)),
    )


def parse_headers(
    lines: Sequence[bytes], received: int
) -> tuple[tuple[str, str], ...]:
    """Returns the headers in the lines of a head or of trailers.

    Raises:
      IncompleteResponse: A line is no header; it names `received` bytes.
    """
    headers = []
    for line in lines:
        match = HEADER.fullmatch(line)
        if match is None:
            raise IncompleteResponse(MALFORMED_HEAD, received)
        name, value = match.groups()
        headers.append(
            (name.decode("ascii"), value.rstrip(b" \t").decode("latin-1"))
        )
    return tuple(headers)


def find_framing(head: Head, method: str) -> Framing:
    """Returns how the end of the response to a request is found.

    Raises:
      IncompleteResponse: The head is not clear about it.
    """
    lengths, codings, options = [], [], []
    for name, value in head.headers:
        name = name.lower()
        if name == "content-length":
            lengths.append(value)
        elif name == "transfer-encoding":
            codings.append(value.lower())
        elif name == "connection":
            options += [option.strip().lower() for option in value.split(",")]
    # Servers and clients may disagree on the end if there are several of these,
    # even if they are equal.
    is_clear = len(lengths) + len(codings) <= 1
    if codings:
        is_clear &= codings == ["chunked"] and head.minor_version == 1
    elif lengths:
        is_clear &= DIGITS.fullmatch(lengths[0]) is not None
    if not is_clear:
        raise IncompleteResponse(UNCLEAR_LENGTH, 0)
    closes = head.minor_version == 0 or "close" in options
    if method == "HEAD" or head.status in BODILESS_STATUSES:
        return Framing(NO_BODY, 0, closes)
    if codings:
        return Framing(CHUNKED, 0, closes)
    if lengths:
        return Framing(LENGTH, int(lengths[0]), closes)
    return Framing(UNTIL_CLOSE, 0, True)
