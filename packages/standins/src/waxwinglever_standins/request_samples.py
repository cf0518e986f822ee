"""Whole, cut and malformed HTTP requests, for the tests of all servers."""

import attrs

BODY = b"0123456789" * 6
CHUNKS = b"3c\r\n%s\r\n0\r\n\r\n" % BODY


@attrs.frozen
class Sample:
    """Requests that are sent one behind the other on a connection.

    Attributes:
      requests: The bytes of each request.
      bodies: The body of each request.
    """

    requests: tuple[bytes, ...]
    bodies: tuple[bytes, ...]


def make_head(
    *lines: bytes,
    request_line: bytes = b"POST /echo HTTP/1.1",
    headers: tuple[bytes, ...] = (b"Host: x.example",),
) -> bytes:
    """Returns a head with the given lines behind `headers`."""
    return b"\r\n".join((request_line, *headers, *lines, b"", b""))


def whole() -> dict[str, Sample]:
    """Returns requests that each server reads to their end."""
    length = make_head(b"Content-Length: %d" % len(BODY)) + BODY
    chunks = (
        make_head(b"Transfer-Encoding: chunked")
        + b"1e;name=value\r\n%s\r\n1E\r\n%s\r\n" % (BODY[:30], BODY[30:])
        + b"000;last\r\nX-Trailer: 1\r\nX-Other: 2\r\n\r\n"
    )
    plain = make_head(b"X-Text: a b\t\xe9", b"X-Empty:")
    return {
        "no body": Sample((plain,), (b"",)),
        "empty body": Sample((make_head(b"content-length:0"),), (b"",)),
        "length": Sample((length,), (BODY,)),
        "chunks with extensions and trailers": Sample((chunks,), (BODY,)),
        "pipelined": Sample(
            (length, chunks, plain, length), (BODY, BODY, b"", BODY)
        ),
    }


def malformed_headers() -> dict[str, bytes]:
    """Returns requests with a line that is no header."""
    length = b"Content-Length: %d" % len(BODY)
    lines = {
        "no colon": (b"garbage", length),
        "space in a name": (b"X Text: 1", length),
        "space before the colon": (b"X-Text : 1", length),
        "space before the colon of the length": (b"Content-Length : 60",),
        "empty name": (b": 60", length),
        "folded line": (b"X-Text: 1", b" 2", length),
        "NUL in a name": (b"X-Te\x00xt: 1", length),
        "letter beyond ASCII in a name": (b"X-T\xe9xt: 1", length),
        "NUL in a value": (b"X-Text: a\x00b", length),
        "control character in a value": (b"X-Text: a\x0bb", length),
        "DEL in a value": (b"X-Text: a\x7fb", length),
        "control character before a coding": (
            b"X-Text: a",
            b"Transfer-Encoding: \x0bchunked",
        ),
        "bare carriage return": (b"X-Text: a\rX-Other: b", length),
        "bare carriage return at the end": (b"X-Text: a\r", length),
        "bare line feed": (b"X-Text: a\nX-Other: b", length),
    }
    samples = {name: make_head(*parts) + BODY for name, parts in lines.items()}
    samples["folded first line"] = (
        make_head(b" folded", length, headers=()) + BODY
    )
    return samples


def repeated_headers() -> dict[str, bytes]:
    """Returns requests that have a header twice that decides what they are."""
    length = b"Content-Length: %d" % len(BODY)
    chunked = b"Transfer-Encoding: chunked"
    return {
        "hosts": make_head(b"Host: y.example", length) + BODY,
        "the same host": make_head(b"host: x.example", length) + BODY,
        "lengths": make_head(b"Content-Length: 10", length) + BODY,
        "the same length": make_head(length, length) + BODY,
        "an empty length": make_head(b"Content-Length:", length) + BODY,
        "codings": make_head(chunked, chunked) + CHUNKS,
        "an empty coding": make_head(b"Transfer-Encoding:", chunked) + CHUNKS,
    }


def unclear_lengths() -> dict[str, bytes]:
    """Returns requests whose end two servers may see at different places."""
    lengths = {
        "list": b"60, 60",
        "sign": b"+60",
        "negative": b"-60",
        "underscore": b"6_0",
        "letters": b"60x",
        "hexadecimal": b"0x3c",
        "empty": b"",
        "fraction": b"60.0",
        "other digits": "\u0666\u0660".encode(),
        "more digits than any body needs": b"%030d" % len(BODY),
        "more than any machine holds": b"9" * 25,
    }
    samples = {
        name: make_head(b"Content-Length: " + value) + BODY
        for name, value in lengths.items()
    }
    codings = {
        "both framings": (
            b"Content-Length: 60",
            b"Transfer-Encoding: chunked",
        ),
        "chunks and a length of 0": (
            b"Transfer-Encoding: chunked",
            b"Content-Length: 0",
        ),
        "two codings": (b"Transfer-Encoding: gzip, chunked",),
        "unknown coding": (b"Transfer-Encoding: chunke",),
        "empty coding": (b"Transfer-Encoding:",),
        "chunks twice": (b"Transfer-Encoding: chunked, chunked",),
    }
    samples |= {
        name: make_head(*lines) + CHUNKS for name, lines in codings.items()
    }
    samples["chunks over HTTP/1.0"] = (
        make_head(
            b"Transfer-Encoding: chunked",
            b"Connection: Keep-Alive",
            request_line=b"POST /echo HTTP/1.0",
        )
        + CHUNKS
    )
    return samples


def malformed_request_lines() -> dict[str, bytes]:
    """Returns requests whose first line is malformed."""
    lines = {
        "control character in the method": b"PO\x01ST /echo HTTP/1.1",
        "separator in the method": b"PO(ST /echo HTTP/1.1",
        "method in lower case": b"post /echo HTTP/1.1",
        "space before the method": b" POST /echo HTTP/1.1",
        "NUL in the target": b"POST /ec\x00ho HTTP/1.1",
        "tab in the target": b"POST /ec\tho HTTP/1.1",
        "space in the target": b"POST /ec ho HTTP/1.1",
        "carriage return in the target": b"POST /ec\rho HTTP/1.1",
        "DEL in the target": b"POST /ec\x7fho HTTP/1.1",
        "letter beyond ASCII in the target": b"POST /ec\xe9ho HTTP/1.1",
        "bracket in the authority": b"POST //[a HTTP/1.1",
        "no target": b"POST  HTTP/1.1",
        "no version": b"POST /echo",
        "version with a sign": b"POST /echo HTTP/1.+1",
        "negative version": b"POST /echo HTTP/1.-1",
        "version with zeros": b"POST /echo HTTP/1.01",
        "space behind the version": b"POST /echo HTTP/1.1 ",
        "carriage return behind the version": b"POST /echo HTTP/1.1\r",
        "other version": b"POST /echo HTTP/2.0",
        "other protocol": b"POST /echo HTTQ/1.1",
    }
    length = b"Content-Length: %d" % len(BODY)
    samples = {
        name: make_head(length, request_line=line) + BODY
        for name, line in lines.items()
    }
    samples["bare line feed"] = (
        make_head(length).replace(b"\r\n", b"\n", 1) + BODY
    )
    return samples


def malformed_chunks() -> dict[str, bytes]:
    """Returns requests with a proper head and malformed chunks."""
    chunk = b"3c\r\n" + BODY
    last = b"\r\n0\r\n"
    bodies = {
        "NUL in an extension": b"3c;a\x00b\r\n" + BODY + last + b"\r\n",
        "bare carriage return in an extension": (
            b"3c;a\rb\r\n" + BODY + last + b"\r\n"
        ),
        "bare line feed behind a size": b"3c\n" + BODY + last + b"\r\n",
        "wrong byte behind a chunk": chunk + b"\rx0\r\n\r\n",
        "chunk longer than its size": b"3b\r\n" + BODY + last + b"\r\n",
        "trailer without a colon": chunk + last + b"garbage\r\n\r\n",
        "trailer with a NUL": chunk + last + b"X-Text: a\x00\r\n\r\n",
        "bare line feed behind a trailer": chunk + last + b"X-Text: a\n\r\n",
        "bare line feed at the end": chunk + last + b"X-Text: a\r\n\n",
    }
    head = make_head(b"Transfer-Encoding: chunked")
    return {name: head + data for name, data in bodies.items()}
