"""Tests of waxwinglever_front.http_codec."""

import io
import typing

import attrs
import testtools

from waxwinglever_front import http_codec
from waxwinglever_front import http_messages
from waxwinglever_model import exceptions
from waxwinglever_model import limits

PATHS = (
    ("/t/s/", "/"),
    ("/t/s/a/b", "/a/b"),
    ("/t/s/a%2Fb", "/a%2Fb"),
    ("/t/s/%2e%2e/b", "/%2e%2e/b"),
    ("/t/s/a?q=1/2&r=%2F", "/a?q=1/2&r=%2F"),
    ("/t/s/?q", "/?q"),
    ("/t/s//a", "//a"),
)
BAD_PATHS = (
    *("", "/", "/t", "/t/s", "/T/s/x", "//s/x", "/t/s?q=/x"),
    *("/t%2Fs/x", "/t%2Fs/x/y", "/t/s%2Fx/y"),
)
BAD_HEADERS = (
    {"HTTP_WAXWINGLEVER_TIMEOUT_MS": "x"},
    {"HTTP_WAXWINGLEVER_TIMEOUT_MS": "-1"},
    {"HTTP_WAXWINGLEVER_TIMEOUT_MS": "1.5"},
    {"HTTP_WAXWINGLEVER_TIMEOUT_MS": "9" * 5000},
    {"HTTP_WAXWINGLEVER_TIMEOUT_MS": "\u00b2"},
    {"HTTP_WAXWINGLEVER_TIMEOUT_MS": str(limits.MAX_TIMEOUT_MS + 1)},
    {"HTTP_WAXWINGLEVER_HOPS": str(limits.MAX_HOPS + 1)},
    {"HTTP_WAXWINGLEVER_KEY": "k" * (http_codec.MAX_KEY_CHARACTERS + 1)},
    {"HTTP_WAXWINGLEVER_REQUEST_ID": "a b"},
    {"HTTP_WAXWINGLEVER_REQUEST_ID": ""},
    {"CONTENT_LENGTH": "x"},
    {"CONTENT_LENGTH": "5"},
)


class HttpCodecTest(testtools.TestCase):
    """Guards against a request that is changed on its way to the server."""

    make_front: typing.Any = None
    environ: typing.Any = None

    def parse(self, environ):
        return http_codec.parse_request(environ, lambda *_: 700)

    def test_the_path_is_passed_on_unchanged(self):
        for path, expected in PATHS:
            request = self.parse(self.environ(path))
            self.assertEqual(
                ("t", "s", expected),
                (request.tenant, request.service, request.path),
            )

    def test_a_bad_path_or_header_is_refused(self):
        for path in BAD_PATHS:
            environ = self.environ(path)
            self.assertRaises(exceptions.BadRequest, self.parse, environ)
        for headers in BAD_HEADERS:
            environ = self.environ("/t/s/x", "POST", b"1234", **headers)
            error = self.assertRaises(
                exceptions.BadRequest, self.parse, environ
            )
            self.assertEqual(("not-run", 400), (error.outcome, error.status))

    def test_a_body_over_the_limit_is_refused(self):
        maximum = limits.MAX_BODY_BYTES
        whole = self.environ("/t/s/x", "POST", b"x" * maximum)
        self.assertEqual(maximum, len(self.parse(whole).body))
        chunked = {"HTTP_TRANSFER_ENCODING": "chunked", "CONTENT_LENGTH": ""}
        for headers in (
            {"CONTENT_LENGTH": str(maximum + 1)},
            {**chunked, "wsgi.input": io.BytesIO(b"x" * (maximum + 2))},
        ):
            environ = self.environ("/t/s/x", "POST", **headers)
            self.assertRaises(exceptions.TooLarge, self.parse, environ)

    def test_headers_of_the_daemon_are_not_passed_on(self):
        environ = self.environ(
            "/t/s/x",
            HTTP_WAXWINGLEVER_KEY="k",
            HTTP_WAXWINGLEVER_CLASS="photos",
            HTTP_CONNECTION="close",
            HTTP_HOST="h",
            HTTP_ACCEPT="a",
            CONTENT_TYPE="c",
        )
        request = self.parse(environ)
        self.assertEqual(("k", "photos"), (request.key, request.request_class))
        self.assertEqual(
            {("Accept", "a"), ("Content-Type", "c")}, set(request.headers)
        )

    def test_a_forwarded_request_counts_its_hop(self):
        request = self.make_front().request(request_id="1", ticket="x")
        headers = dict(http_codec.forwarded_headers(request, 40))
        environ_headers = {
            "HTTP_" + name.upper().replace("-", "_"): value
            for name, value in headers.items()
        }
        again = self.parse(
            self.environ("/t/keyed/x", "POST", **environ_headers)
        )
        self.assertEqual(1, again.hops)
        same = {"hops": 0, "deadline_s": request.deadline_s}
        self.assertEqual(request, attrs.evolve(again, **same))

    def test_a_response_between_daemons_round_trips(self):
        response = http_messages.Response(
            202, (("X-A", "1"),), b"b", "unknown", "b:h", 7, "ticket"
        )
        sent = http_codec.response_headers(response)
        self.assertEqual(response, http_codec.parse_response(202, sent, b"b"))
        bare = http_codec.parse_response(200, [], b"")
        self.assertEqual("unknown", bare.outcome)
