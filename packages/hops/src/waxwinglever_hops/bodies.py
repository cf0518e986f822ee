"""Bodies of requests, read up to the start of the next request.

cheroot leaves the end of a body in chunks to its gateway: the lines behind the
last chunk, and the whole body if the response comes before it was read. What is
left would be parsed as the next request of the connection.
"""

import contextlib
import functools
import re
import select
import socket
import threading
from collections.abc import Iterator

import attrs
from cheroot import server as cheroot_server

from waxwinglever_framing import bodies as framing_bodies
from waxwinglever_framing import heads as framing_heads
from waxwinglever_hops import progress as progress_module
from waxwinglever_model import clock
from waxwinglever_model import exceptions
from waxwinglever_relay import memory_budget
from waxwinglever_relay import messages

# The rest of a body that nobody reads is discarded up to this size, as that
# costs less than a new connection. Otherwise the connection is closed.
MAX_DISCARDED_BYTES = 262_144
# Time for the rest of such a body to arrive, as a worker thread waits for it.
DISCARD_TIMEOUT_S = 1.0
# How much is read, and for how long, while a connection closes.
MAX_LINGER_BYTES = 1_048_576
LINGER_TIMEOUT_S = 1.0
PIECE_BYTES = 8_192
# Address space for a body whose size has no other bound.
MAX_BODY_BYTES = 2**30
# Most bytes of a long body that are read at a time.
RECEIVED_BYTES = 262_144
# Bounds of the lines between the chunks: a size with its extensions, and all
# trailers of a body.
MAX_CHUNK_LINE_BYTES = 4_096
MAX_TRAILER_BYTES = 16_384
# int() takes signs and underscores too, so that two servers in a row
# could see different bodies.
LENGTH = re.compile(rb"[0-9]{1,18}")
CRLF = b"\r\n"
# The size of a chunk without extensions, with the end of its line.
WHOLE_CHUNK_SIZE = re.compile(rb"([0-9A-Fa-f]{1,7})\r\n")
# Chunks up to this size are decoded by one thread at a time. Threads that only
# use the processor each delay all others by a switch interval (5 ms), so that a
# hundred of them would leave an ordinary request no chance.
TINY_CHUNK_BYTES = 256
TINY_CHUNK_LOCK = threading.Lock()
# Chunks of equal size up to this one are copied byte by byte of the chunk,
# which is faster than chunk by chunk.
MAX_STRIDE_BYTES = 64
CONTINUE = b"100-continue"
CHUNKED = b"chunked"


class MalformedBody(exceptions.BadRequest):
    """The end of a body can't be found; its connection can't be used again."""

    kind = "malformed-body"


@attrs.define(eq=False)
class RequestBody:
    """The body of a request and how much of it was read.

    Attributes:
      connection: The connection that it arrives on.
      is_chunked: Whether it comes in chunks, not with a length.
      left: Bytes left of the body, or of the present chunk.
      ended: Whether it was read whole; the next request follows.
      broken: Whether its end can't be found any more.
      deadline_s: When reads fail with TimeoutError, on the boot clock. Without
        it, each read may take as long as the socket allows.
      progress: How far the request on the connection has come.
      budget: What long bodies draw on.
    """

    connection: cheroot_server.HTTPConnection
    is_chunked: bool = False
    left: int = 0
    ended: bool = False
    broken: bool = False
    deadline_s: float | None = None
    progress: progress_module.Progress = attrs.Factory(progress_module.Progress)
    budget: memory_budget.Budget = attrs.Factory(memory_budget.Budget)


def find_body(
    request: cheroot_server.HTTPRequest,
    budget: memory_budget.Budget | None = None,
) -> RequestBody:
    """Returns the body that the headers of a request announce.

    Args:
      request: The request, on a connection with the attribute `progress`.
      budget: What a long body draws on; None if that is not bounded.
    """
    coding = request.inheaders.get(b"Transfer-Encoding")
    length = request.inheaders.get(b"Content-Length")
    body = RequestBody(
        request.conn,
        progress=request.conn.progress,
        budget=budget or memory_budget.Budget(),
    )
    if coding is not None:
        # With both headers, or a coding that cheroot skips, servers may
        # disagree on where the body ends.
        body.is_chunked = True
        body.broken = (
            length is not None
            or not request.chunked_read
            or coding.strip().lower() != CHUNKED
        )
    elif length is None:
        body.ended = True
    elif not LENGTH.fullmatch(length):
        body.broken = True
    else:
        body.left = int(length)
        body.ended = not body.left
    return body


def send_continue(request: cheroot_server.HTTPRequest) -> None:
    """Lets a caller that waits for it send its body.

    cheroot does so itself only if the header is in lower case.
    """
    expected = request.inheaders.get(b"Expect", b"")
    if expected != CONTINUE and expected.lower() == CONTINUE:
        request.conn.wfile.write(b"HTTP/1.1 100 Continue\r\n\r\n")


def read_all(body: RequestBody, max_bytes: int | None = None) -> messages.Body:
    """Returns the whole body.

    A long body is read into one buffer that draws on the budget first.

    Args:
      body: The body, of which nothing was read.
      max_bytes: Size up to which it is read, if it is bounded.

    Raises:
      CallerDisconnected: The connection ended before the body did.
      MalformedBody: Its end can't be found.
      Overloaded: There is no memory left for it; the rest of it was not read.
      TooLarge: It is longer than `max_bytes`; the rest of it was not read.
    """
    if body.ended:
        return b""
    body.progress.phase = progress_module.BODY
    try:
        if body.broken:
            raise malformed_error(body, "its length is not clear")
        if not body.is_chunked:
            check_size(body.left, max_bytes)
        is_unbounded = body.budget.total_bytes == float("inf")
        if body.is_chunked or (is_unbounded and body.left > MAX_BODY_BYTES):
            return read_growing(body, max_bytes)
        if body.left > memory_budget.SMALL_BYTES:
            return read_long(body)
        return read_small(body)
    finally:
        body.progress.phase = progress_module.OWN


def read_small(body: RequestBody) -> bytes:
    """Returns a body of at most memory_budget.SMALL_BYTES with a length."""
    parts = []
    while body.left:
        part = read_some(body, body.left)
        body.left -= len(part)
        body.progress.moved += len(part)
        parts.append(part)
    body.ended = True
    return b"".join(parts)


def read_long(body: RequestBody) -> memoryview:
    """Returns a long body whose length is known."""
    size = body.left
    if size > body.budget.total_bytes:
        raise memory_budget.refusal(size)
    buffer = memory_budget.Buffer(body.budget, memory_budget.BODY, size)
    if not memory_budget.reserve(buffer, size):
        raise memory_budget.refusal(size)
    body.progress.held_bytes = size
    while body.left:
        if body.connection.rfile.has_data():
            piece = read_some(body, min(body.left, PIECE_BYTES))
            memory_budget.append(buffer, piece)
            count = len(piece)
        else:
            end = buffer.size + min(body.left, RECEIVED_BYTES)
            count = body.connection.socket.recv_into(
                buffer.view[buffer.size : end]
            )
            buffer.size += count
        if not count:
            body.broken = True
            raise messages.caller_disconnected_error()
        body.left -= count
        body.progress.moved += count
    body.ended = True
    return memory_budget.content(buffer)


def read_growing(body: RequestBody, max_bytes: int | None) -> messages.Body:
    """Returns a body that draws on the budget as it arrives; see read_all."""
    small = bytearray()
    buffer = None
    for piece in read_pieces(body):
        size = len(piece) + (buffer.size if buffer else len(small))
        check_size(size, max_bytes)
        body.progress.moved += len(piece)
        if buffer is None:
            if size <= memory_budget.SMALL_BYTES:
                small += piece
                continue
            limit = min(
                body.budget.total_bytes,
                MAX_BODY_BYTES if max_bytes is None else max_bytes,
            )
            buffer = memory_budget.Buffer(
                body.budget, memory_budget.BODY, int(limit)
            )
            piece = small + piece
        if not memory_budget.reserve(buffer, len(piece)):
            raise memory_budget.refusal(size)
        body.progress.held_bytes = buffer.claim.held_bytes
        memory_budget.append(buffer, piece)
    return memory_budget.content(buffer) if buffer else bytes(small)


def check_size(size: int, max_bytes: int | None) -> None:
    """Raises TooLarge if a body is longer than allowed."""
    if max_bytes is not None and size > max_bytes:
        raise exceptions.TooLarge(
            f"the body has more than {max_bytes} bytes",
            f"send at most {max_bytes}",
        )


def read_pieces(body: RequestBody) -> Iterator[bytes]:
    """Yields the rest of a body in pieces of at most PIECE_BYTES.

    Raises:
      CallerDisconnected: The connection ended before the body did.
      MalformedBody: Its end can't be found.
      TimeoutError: The deadline of the body has passed.
    """
    if body.broken:
        raise malformed_error(body, "its length is not clear")
    while not body.ended:
        if not body.left:
            if pieces := take_whole_chunks(body):
                yield pieces
            else:
                begin_chunk(body)
            continue
        piece = read_some(body, min(body.left, PIECE_BYTES))
        body.left -= len(piece)
        if not body.left and not body.is_chunked:
            body.ended = True
        elif not body.left and read_line(body, len(CRLF)) != CRLF:
            raise malformed_error(body, "a chunk is longer than its size")
        yield piece


def take_whole_chunks(body: RequestBody) -> bytes:
    """Returns the data of the next chunks that have arrived whole.

    Reading each chunk from the connection takes 20 us, so that a client that
    sends tiny ones would use up the processor.

    Returns:
      The data; none if the next chunk has not arrived whole, is the last, or is
      malformed.
    """
    rfile = body.connection.rfile
    if not rfile.has_data():
        return b""
    available = rfile.peek()
    match = WHOLE_CHUNK_SIZE.match(available)
    if not match:
        return b""
    is_tiny = int(match[1], 16) <= TINY_CHUNK_BYTES
    with TINY_CHUNK_LOCK if is_tiny else contextlib.nullcontext():
        data, end = decode_whole_chunks(available)
    if end:
        rfile.read1(end)
    return data


def decode_whole_chunks(available: bytes) -> tuple[bytes, int]:
    """Returns the data of the whole chunks at the begin, and where they end.

    The last chunk, and a malformed one, are left.
    """
    parts = []
    at = 0
    while match := WHOLE_CHUNK_SIZE.match(available, at):
        size = int(match[1], 16)
        start = match.end()
        end = start + size
        if not size or available[end : end + len(CRLF)] != CRLF:
            break
        if size <= MAX_STRIDE_BYTES:
            run = equal_chunks(match[0], size).match(available, at)
            end = run.end()
            parts.append(join_equal_chunks(run[0], len(match[0]), size))
            at = end
        else:
            parts.append(available[start:end])
            at = end + len(CRLF)
    return b"".join(parts), at


@functools.lru_cache(maxsize=128)
def equal_chunks(size_line: bytes, size: int) -> re.Pattern[bytes]:
    """Returns the pattern of one chunk or more that begin with a size line."""
    return re.compile(b"(?:%b.{%d}\r\n)+" % (size_line, size), re.DOTALL)


def join_equal_chunks(chunks: bytes, line_size: int, size: int) -> bytearray:
    """Returns the data of chunks of the same size, without their lines."""
    stride = line_size + size + len(CRLF)
    data = bytearray(len(chunks) // stride * size)
    for index in range(size):
        data[index::size] = chunks[line_size + index :: stride]
    return data


def begin_chunk(body: RequestBody) -> None:
    """Reads the size of the next chunk, and the trailers behind the last."""
    line = read_line(body, MAX_CHUNK_LINE_BYTES)
    match = framing_bodies.CHUNK_SIZE.fullmatch(line.removesuffix(CRLF))
    if match is None or not line.endswith(CRLF):
        raise malformed_error(body, "a chunk has no size")
    body.left = int(match[1], 16)
    if body.left:
        return
    trailer_bytes = 0
    while (line := read_line(body, MAX_TRAILER_BYTES)) != CRLF:
        trailer_bytes += len(line)
        if trailer_bytes > MAX_TRAILER_BYTES or not line.endswith(CRLF):
            raise malformed_error(body, "its trailers don't end")
        if not framing_heads.HEADER.fullmatch(line.removesuffix(CRLF)):
            raise malformed_error(body, "a trailer is no header")
    body.ended = True


def read_line(body: RequestBody, max_bytes: int) -> bytes:
    """Returns a line with its end, or `max_bytes` if it has no end by then."""
    line = b""
    while len(line) < max_bytes and not line.endswith(b"\n"):
        set_timeout(body)
        available = body.connection.rfile.peek(1)[: max_bytes - len(line)]
        end = available.find(b"\n") + 1
        line += read_some(body, end or len(available) or 1)
    return line


def read_some(body: RequestBody, max_bytes: int) -> bytes:
    """Returns at least one byte that has arrived, at most `max_bytes`."""
    set_timeout(body)
    data = body.connection.rfile.read1(max_bytes)
    if not data:
        body.broken = True
        raise messages.caller_disconnected_error()
    return data


def set_timeout(body: RequestBody) -> None:
    """Bounds the next read by the deadline of the body."""
    if body.deadline_s is None:
        return
    left_s = body.deadline_s - clock.boottime_s()
    if left_s <= 0:
        raise TimeoutError("the rest of the body did not arrive in time")
    body.connection.socket.settimeout(left_s)


def malformed_error(body: RequestBody, reason: str) -> MalformedBody:
    """Returns the error for a body whose end can't be found."""
    body.broken = True
    return MalformedBody(
        f"the body can't be read: {reason}",
        "send either Content-Length or valid chunks",
    )


def is_discardable(body: RequestBody) -> bool:
    """Returns whether the connection may be used again if nobody reads on."""
    return not body.broken and (
        body.is_chunked or body.left <= MAX_DISCARDED_BYTES
    )


def discard(body: RequestBody) -> bool:
    """Reads the rest of a body that nobody needs, within bounds.

    Returns:
      Whether the next request follows; otherwise the connection must be closed.
    """
    if body.ended:
        return True
    if not is_discardable(body):
        return False
    sock = body.connection.socket
    body.progress.phase = progress_module.LINGER
    timeout_s = sock.gettimeout()
    body.deadline_s = clock.boottime_s() + DISCARD_TIMEOUT_S
    size = 0
    try:
        for piece in read_pieces(body):
            size += len(piece)
            if size > MAX_DISCARDED_BYTES:
                return False
        sock.settimeout(timeout_s)
    except (OSError, MalformedBody, messages.CallerDisconnected):
        return False
    return True


def linger(connection: cheroot_server.HTTPConnection) -> None:
    """Lets the last response arrive before a connection is closed.

    A socket that is closed with unread bytes is reset, and a reset destroys the
    response if the caller has not read it yet. This ends when the caller closes
    its side, or at the bounds.
    """
    sock = connection.socket
    connection.progress.phase = progress_module.LINGER
    deadline_s = clock.boottime_s() + LINGER_TIMEOUT_S
    size = 0
    try:
        sock.shutdown(socket.SHUT_WR)
        while size <= MAX_LINGER_BYTES:
            left_s = deadline_s - clock.boottime_s()
            if left_s <= 0:
                return
            sock.settimeout(left_s)
            data = sock.recv(PIECE_BYTES)
            if not data:
                return
            size += len(data)
    except OSError:
        # The caller has reset the connection, or sends nothing more.
        pass


def has_unread_bytes(connection: cheroot_server.HTTPConnection) -> bool:
    """Returns whether a caller has sent bytes that were not read."""
    if connection.rfile.has_data():
        return True
    poller = select.poll()
    poller.register(connection.socket.fileno(), select.POLLIN)
    return bool(poller.poll(0))
