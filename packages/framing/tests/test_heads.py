"""Tests of waxwinglever_framing.heads."""

import hypothesis
import testtools
from hypothesis import strategies

from waxwinglever_framing import heads
from waxwinglever_standins import response_samples

# Bytes that matter to a parser of heads, and some that do not.
ODD_BYTES = strategies.sampled_from(
    [bytes((value,)) for value in b"\x00\t\n\r \x7f:,;0123456789+-_xX\xff"]
)


class HeadsTest(testtools.TestCase):
    """Guards against heads that are read with more than one meaning."""

    def parse(self, data: bytes) -> heads.Head:
        """Returns the head in a response."""
        return heads.parse_head(data[: data.index(b"\r\n\r\n") + 4])

    def test_names_and_values_are_kept_without_surrounding_spaces(self):
        head = self.parse(
            b"HTTP/1.1 200 All is well\r\nX-A:1\r\nx-b: \t 2 3\t \r\n"
            b"X-A:\r\nX-C: \xe9\r\n\r\n"
        )
        self.assertEqual((1, 200, "All is well"), status_parts(head))
        self.assertEqual(
            (("X-A", "1"), ("x-b", "2 3"), ("X-A", ""), ("X-C", "é")),
            head.headers,
        )

    def test_framing_of_each_kind(self):
        for text, method, expected in (
            (b"Content-Length: 7", "GET", heads.Framing("length", 7, False)),
            (b"content-length:0", "GET", heads.Framing("length", 0, False)),
            (b"Content-Length: 7", "HEAD", heads.Framing("no-body", 0, False)),
            (
                b"Transfer-Encoding: Chunked",
                "GET",
                heads.Framing("chunked", 0, False),
            ),
            (b"X-A: 1", "GET", heads.Framing("until-close", 0, True)),
            (
                b"Content-Length: 7\r\nConnection: keep-alive, Close",
                "GET",
                heads.Framing("length", 7, True),
            ),
        ):
            head = self.parse(b"HTTP/1.1 200 OK\r\n" + text + b"\r\n\r\n")
            self.assertEqual(expected, heads.find_framing(head, method))

    def test_connection_of_http_1_0_is_not_kept(self):
        head = self.parse(b"HTTP/1.0 200 OK\r\nContent-Length: 7\r\n\r\n")
        framing = heads.find_framing(head, "GET")
        self.assertEqual(heads.Framing("length", 7, True), framing)

    def test_statuses_without_a_body(self):
        for status in (204, 304):
            head = self.parse(b"HTTP/1.1 %d \r\n\r\n" % status)
            self.assertEqual(
                heads.NO_BODY, heads.find_framing(head, "GET").kind
            )

    @hypothesis.given(
        strategies.sampled_from(sorted(response_samples.whole())),
        strategies.integers(0, 90),
        ODD_BYTES,
        strategies.booleans(),
    )
    def test_spoilt_heads_are_refused_or_as_clear_as_before(
        self, name, index, odd_byte, is_inserted
    ):
        data = response_samples.whole()[name].data
        head_size = data.index(b"\r\n\r\n") + 4
        index = min(index, head_size - 4)
        spoilt = (data[:index] + odd_byte + data[index + (not is_inserted) :])[
            : head_size + is_inserted
        ]
        if not spoilt.endswith(b"\r\n\r\n"):
            return
        try:
            head = heads.parse_head(spoilt)
            framing = heads.find_framing(head, "GET")
        except heads.IncompleteResponse:
            return
        lengths = [v for n, v in head.headers if n.lower() == "content-length"]
        if framing.kind == heads.LENGTH:
            self.assertEqual(
                [str(framing.length)],
                [length.lstrip("0") or "0" for length in lengths],
            )
        # No line may hide in another one.
        for line in (head.phrase, *(v for _, v in head.headers)):
            self.assertNotIn("\n", line)
            self.assertNotIn("\r", line)


def status_parts(head: heads.Head) -> tuple[int, int, str]:
    """Returns the parts of a status line."""
    return head.minor_version, head.status, head.phrase
