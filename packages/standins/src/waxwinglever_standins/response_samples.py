"""Whole, cut and malformed HTTP responses, for the tests of all readers."""

import attrs

BODY = b"0123456789" * 60


@attrs.frozen
class Sample:
    """A response as bytes, and what a reader must make of it.

    Attributes:
      data: The bytes.
      status: Its status.
      body: Its body.
    """

    data: bytes
    status: int = 200
    body: bytes = BODY


def make_head(
    *lines: bytes,
    status_line: bytes = b"HTTP/1.1 200 OK",
    headers: tuple[bytes, ...] = (),
) -> bytes:
    """Returns a head with the given lines behind `headers`."""
    return b"\r\n".join((status_line, *headers, *lines, b"", b""))


def encode_chunks(body: bytes, size: int = 250) -> bytes:
    """Returns a body in chunks without trailers."""
    pieces = [body[i : i + size] for i in range(0, len(body), size)]
    return b"".join(
        b"%x\r\n%s\r\n" % (len(piece), piece) for piece in (*pieces, b"")
    )


def whole(*headers: bytes, body: bytes = BODY) -> dict[str, Sample]:
    """Returns responses whose end does not depend on the connection.

    Args:
      *headers: Lines that each head begins with.
      body: The body, of 600 bytes.
    """
    chunked = make_head(b"Transfer-Encoding: chunked", headers=headers)
    length = make_head(b"Content-Length: %d" % len(body), headers=headers)
    return {
        "length": Sample(length + body, body=body),
        "empty body": Sample(
            make_head(b"Content-Length: 0", headers=headers), body=b""
        ),
        "chunks": Sample(chunked + encode_chunks(body), body=body),
        "chunks with extensions and trailers": Sample(
            chunked
            + b"258;name=value\r\n"
            + body
            + b"\r\n000;last\r\nX-Trailer: 1\r\n\r\n",
            body=body,
        ),
        "interim response": Sample(
            b"HTTP/1.1 103 Early Hints\r\nLink: </style.css>\r\n\r\n"
            + length
            + body,
            body=body,
        ),
        "no content": Sample(
            make_head(status_line=b"HTTP/1.1 204 No Content", headers=headers),
            204,
            b"",
        ),
        "no reason phrase": Sample(
            make_head(
                b"content-length:%d" % len(body),
                status_line=b"HTTP/1.1 200",
                headers=headers,
            )
            + body,
            body=body,
        ),
    }


def until_close(*headers: bytes, body: bytes = BODY) -> bytes:
    """Returns a response that ends with its connection."""
    return make_head(headers=headers) + body


def invalid_statuses(*headers: bytes, body: bytes = BODY) -> dict[str, bytes]:
    """Returns whole responses whose status has no meaning.

    Args:
      *headers: Lines that each head begins with.
      body: The body, of 600 bytes.
    """
    samples = {}
    for status in (
        *("000", "001", "099", "600", "601", "700", "999", "1000", "2000"),
        *("0", "2", "20", "0200", "-01", "-1", "-200", "2 00"),
    ):
        for name, reason in (("", b" OK"), (" without a reason", b"")):
            status_line = b"HTTP/1.1 " + status.encode() + reason
            samples[f"{status}{name}"] = make_head(
                b"Content-Length: %d" % len(body),
                status_line=status_line,
                headers=headers,
            )
            samples[f"{status}{name}"] += body
        samples[f"{status}, no body"] = make_head(
            b"Content-Length: 0",
            status_line=b"HTTP/1.1 %s " % status.encode(),
            headers=headers,
        )
        samples[f"{status}, no length"] = (
            make_head(
                status_line=b"HTTP/1.1 %s OK" % status.encode(),
                headers=headers,
            )
            + body
        )
    return samples


def other_versions(*headers: bytes, body: bytes = BODY) -> dict[str, bytes]:
    """Returns whole responses of versions that no reader knows."""
    return {
        version: make_head(
            b"Content-Length: %d" % len(body),
            status_line=f"HTTP/{version} 200 OK".encode(),
            headers=headers,
        )
        + body
        for version in ("0.9", "1", "1.2", "1.10", "2", "2.0", "3")
    }


def malformed(*headers: bytes, body: bytes = BODY) -> dict[str, bytes]:
    """Returns responses that no reader may take for complete.

    Each goes on until the server ends the connection, and has a part of the
    body, so that a reader that ignores what it can't read returns that.

    Args:
      *headers: Lines that each head begins with.
      body: The body, of 600 bytes.
    """
    half = body[:300]
    full_length = b"Content-Length: %d" % len(body)
    heads = {
        "line without a colon": (b"garbage", full_length),
        "length without a colon": (b"Content-Length 600",),
        "space in a name": (b"Content Length: 600",),
        "space before the colon": (b"Content-Length : 600",),
        "empty name": (b": 600", full_length),
        "folded line": (b"X-Folded: 1", b" 2", full_length),
        "control character": (b"X-Text: a\x00b", full_length),
        "bare carriage return": (b"X-Text: a\rContent-Length: 600",),
        "bare line feed": (b"X-Text: a\nContent-Length: 600",),
        "length with letters": (b"Content-Length: 600x",),
        "length with NUL": (b"Content-Length: 600\x00",),
        "length with a sign": (b"Content-Length: +600",),
        "negative length": (b"Content-Length: -600",),
        "length with an underscore": (b"Content-Length: 6_00",),
        "length in hexadecimal": (b"Content-Length: 0x258",),
        "length with a fraction": (b"Content-Length: 600.0",),
        "length in other digits": ("Content-Length: ٦٠٠".encode(),),
        "empty length": (b"Content-Length:",),
        "list of lengths": (b"Content-Length: 300, 300",),
        "two lengths": (b"Content-Length: 300", b"Content-Length: 300"),
        "different lengths": (b"Content-Length: 300", full_length),
        "unknown transfer coding": (b"Transfer-Encoding: chunke",),
        "two transfer codings": (b"Transfer-Encoding: gzip, chunked",),
        "repeated transfer coding": (
            b"Transfer-Encoding: chunked",
            b"Transfer-Encoding: chunked",
        ),
        "empty transfer coding": (b"Transfer-Encoding:",),
    }
    samples = {
        name: make_head(*lines, headers=headers) + half
        for name, lines in heads.items()
    }
    status_lines = {
        "no status": b"HTTP/1.1",
        "status of two digits": b"HTTP/1.1 20",
        "status with a letter": b"HTTP/1.1 20x OK",
        "status with a sign": b"HTTP/1.1 +200 OK",
        "other protocol": b"HTTQ/1.1 200 OK",
        "other version": b"HTTP/2.0 200 OK",
        "version with letters": b"HTTP/1.x 200 OK",
        "control character in the reason": b"HTTP/1.1 200 O\x00K",
        "line before the status": b"garbage\r\nHTTP/1.1 200 OK",
    }
    samples |= {
        name: make_head(full_length, status_line=line, headers=headers) + half
        for name, line in status_lines.items()
    }
    chunked = make_head(b"Transfer-Encoding: chunked", headers=headers)
    chunks = {
        "last size cut": b"12c\r\n" + half + b"\r\n00",
        "size with an underscore": b"1_2c\r\n" + half + b"\r\n0\r\n\r\n",
        "size with a prefix": b"0x12c\r\n" + half + b"\r\n0\r\n\r\n",
        "size with a sign": b"+12c\r\n" + half + b"\r\n0\r\n\r\n",
        "empty size": b"12c\r\n" + half + b"\r\n\r\n0\r\n\r\n",
        "size without a carriage return": (b"12c\n" + half + b"\r\n0\r\n\r\n"),
        "chunk longer than its size": (b"12b\r\n" + half + b"\r\n0\r\n\r\n"),
        "wrong byte behind a chunk": b"12c\r\n" + half + b"\rx0\r\n\r\n",
        "no empty line at the end": b"12c\r\n" + half + b"\r\n0\r\n",
        "trailer without a colon": (
            b"12c\r\n" + half + b"\r\n0\r\ngarbage\r\n\r\n"
        ),
    }
    samples |= {name: chunked + data for name, data in chunks.items()}
    samples["length and chunks"] = make_head(
        full_length, b"Transfer-Encoding: chunked", headers=headers
    ) + encode_chunks(half)
    samples["chunks over HTTP/1.0"] = make_head(
        b"Transfer-Encoding: chunked",
        status_line=b"HTTP/1.0 200 OK",
        headers=headers,
    ) + encode_chunks(half)
    return samples
