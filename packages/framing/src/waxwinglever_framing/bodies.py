"""Bodies of HTTP responses, read to their end."""

import http
import io
import re
import select
import socket
from collections.abc import Iterator

import attrs

from waxwinglever_framing import heads

PIECE_BYTES = 65_536
MAX_HEAD_BYTES = 65_536
MAX_CHUNK_LINE_BYTES = 4_096
MAX_TRAILER_BYTES = 16_384
# int() takes signs, prefixes and underscores as well.
CHUNK_SIZE = re.compile(rb"([0-9A-Fa-f]{1,15})[ \t]*(;[^\x00-\x08\x0a-\x1f]*)?")
CRLF = b"\r\n"
# The head of a second response, up to the name of its first header, and one
# that the end of the connection cuts before that.
STATUS_LINE = rb"HTTP/1\.[01] ([0-9]{3})(?: ([^\r\n]{0,200}))?"
SECOND_HEAD = re.compile(
    STATUS_LINE + rb"\r\n" + heads.NAME_CHARACTER + rb"{1,100}:"
)
CUT_SECOND_HEAD = re.compile(
    STATUS_LINE + rb"(\r(?:\n" + heads.NAME_CHARACTER + rb"{0,100})?)?\Z"
)
MAX_SECOND_HEAD_BYTES = 330
# A server that breaks off a response may end the connection before it resets
# it. Both arrive within this time, unless the server is held up in between.
RESET_WAIT_S = 0.1


@attrs.define(eq=False)
class Source:
    """The bytes of one response and what was received behind it.

    Attributes:
      sock: The connection.
      raw: Its unbuffered file.
      buffer: The last bytes that were received.
      start: How many of them were read. Cutting them off at each read would
        copy the buffer for each chunk, however small.
      ended: Whether the end of the connection was received.
      send_failed: Whether the request could not be sent to its end.
    """

    sock: socket.socket
    raw: io.RawIOBase
    buffer: bytes = b""
    start: int = 0
    ended: bool = False
    send_failed: bool = False


def unread_bytes(source: Source) -> int:
    """Returns how many bytes were received and not read yet."""
    return len(source.buffer) - source.start


def receive(source: Source) -> bool:
    """Receives some bytes; returns False at the end of the connection."""
    data = source.raw.read(PIECE_BYTES)
    if not data:
        source.ended = True
        return False
    unread = source.buffer[source.start :]
    source.buffer = unread + data if unread else data
    source.start = 0
    return True


def take(source: Source, size: int) -> bytes:
    """Returns the next `size` bytes that were received, or those there are."""
    end = min(source.start + size, len(source.buffer))
    data = source.buffer[source.start : end]
    source.start = end
    return data


def read_up_to(source: Source, end: bytes, max_bytes: int) -> bytes | None:
    """Returns the bytes up to `end` and with it.

    Returns None if `end` is not among the next `max_bytes` bytes, or the
    connection ends before it.
    """
    searched = source.start
    while (index := source.buffer.find(end, searched)) < 0:
        unread = unread_bytes(source)
        if unread > max_bytes or not receive(source):
            return None
        # The bytes that were unread are at the begin of the buffer now.
        searched = max(0, unread - len(end) + 1)
    return take(source, index + len(end) - source.start)


def read_some(source: Source, max_bytes: int) -> bytes:
    """Returns at least one byte; none at the end of the connection."""
    if not unread_bytes(source) and not receive(source):
        return b""
    return take(source, max_bytes)


def read_pieces(source: Source, framing: heads.Framing) -> Iterator[bytes]:
    """Yields the body of a response.

    Raises:
      IncompleteResponse: The body ended early, or its end can't be found.
      OSError: The connection was reset, or a read took too long.
    """
    if framing.kind == heads.LENGTH:
        yield from read_length(source, framing.length)
    elif framing.kind == heads.CHUNKED:
        yield from read_chunks(source)
    elif framing.kind == heads.UNTIL_CLOSE:
        yield from read_until_close(source)


def read_until_close(source: Source) -> Iterator[bytes]:
    """Yields all bytes up to the end of the connection.

    A server that answers twice sends its second response behind the first one,
    where nothing marks the end of that.
    """
    received = 0
    tail = b""
    while piece := read_some(source, PIECE_BYTES):
        received += len(piece)
        tail = tail[-MAX_SECOND_HEAD_BYTES:] + piece
        if SECOND_HEAD.search(tail):
            raise heads.IncompleteResponse(heads.SECOND_RESPONSE, received)
        yield piece
    if ends_with_cut_head(tail):
        raise heads.IncompleteResponse(heads.SECOND_RESPONSE, received)
    # The kernel reports a reset once, and the send may have got it.
    if source.send_failed or was_reset(source.sock):
        raise heads.IncompleteResponse(heads.RESET_AFTER_END, received)


def ends_with_cut_head(tail: bytes) -> bool:
    """Returns whether a body ends with the begin of another response."""
    match = CUT_SECOND_HEAD.search(tail)
    if match is None:
        return False
    status, phrase, line_end = match.groups(b"")
    if line_end:
        return True
    # Text that quotes a status line goes on otherwise.
    try:
        known_phrase = http.HTTPStatus(int(status)).phrase
    except ValueError:
        known_phrase = ""
    return known_phrase.startswith(phrase.decode("latin-1"))


def read_length(source: Source, length: int) -> Iterator[bytes]:
    """Yields `length` bytes in pieces."""
    left = length
    while left:
        piece = read_some(source, left)
        if not piece:
            raise heads.IncompleteResponse(
                heads.SHORT_BODY, length - left, length
            )
        left -= len(piece)
        yield piece


def read_chunks(source: Source) -> Iterator[bytes]:
    """Yields the body in the chunks up to the last one and its trailers."""
    received = 0
    while size := read_chunk_size(source, received):
        left = size
        while left:
            piece = read_some(source, left)
            if not piece:
                raise heads.IncompleteResponse(heads.SHORT_BODY, received)
            left -= len(piece)
            received += len(piece)
            yield piece
        while unread_bytes(source) < len(CRLF) and receive(source):
            pass
        if take(source, len(CRLF)) != CRLF:
            raise chunk_error(source, received)
    trailer_bytes = 0
    while (line := read_up_to(source, CRLF, MAX_TRAILER_BYTES)) != CRLF:
        if line is None or trailer_bytes > MAX_TRAILER_BYTES:
            raise chunk_error(source, received)
        trailer_bytes += len(line)
        heads.parse_headers([line.removesuffix(CRLF)], received)


def read_chunk_size(source: Source, received: int) -> int:
    """Returns the size of the next chunk, behind `received` bytes of body."""
    line = read_up_to(source, CRLF, MAX_CHUNK_LINE_BYTES)
    match = line and CHUNK_SIZE.fullmatch(line.removesuffix(CRLF))
    if not match:
        raise chunk_error(source, received)
    return int(match[1], 16)


def chunk_error(source: Source, received: int) -> heads.IncompleteResponse:
    """Returns the error for a chunk that is cut or malformed."""
    reason = heads.SHORT_BODY if source.ended else heads.MALFORMED_CHUNK
    return heads.IncompleteResponse(reason, received)


def was_reset(sock: socket.socket) -> bool:
    """Returns whether a connection was reset behind its end.

    A read shows the end alone; the kernel keeps the reset as an error of the
    socket.
    """
    poller = select.poll()
    # Errors are reported without being asked for.
    poller.register(sock.fileno(), 0)
    poller.poll(RESET_WAIT_S * 1000)
    return bool(sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR))
