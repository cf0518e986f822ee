"""Tests of waxwinglever_front.application."""

import json
import typing
from unittest import mock

import testtools

from waxwinglever_front import application
from waxwinglever_front import http_codec
from waxwinglever_front import router
from waxwinglever_model import exceptions

# Error, status, outcome, and whether Retry-After is sent.
REFUSALS = (
    (exceptions.NotOwner("m", "r", 300), 503, "not-run", True),
    (exceptions.Overloaded("m", "r", 1), 503, "not-run", True),
    (exceptions.Draining("m", "r", 1), 503, "not-run", True),
    (exceptions.OutcomeTableFull("m", "r", 1), 503, "not-run", True),
    (exceptions.TicketRequired("m", "r", "ticket"), 428, "not-run", True),
    (exceptions.ShareExceeded("m", "r", 1), 429, "not-run", True),
    (exceptions.BadRequest("m", "r"), 400, "not-run", False),
    (exceptions.UnknownService("m", "r"), 404, "not-run", False),
    (exceptions.TooLarge("m", "r"), 413, "not-run", False),
    (exceptions.OutcomeUnknown("m", "r"), 504, "unknown", False),
    (exceptions.Quarantined("m", "r"), 422, "refused", False),
)


class ApplicationTest(testtools.TestCase):
    """Guards against a response whose outcome is missing or wrong (G6)."""

    make_front: typing.Any = None
    environ: typing.Any = None

    def setUp(self):
        super().setUp()
        self.front = self.make_front()

    def send(self, environ):
        started = []
        body = b"".join(
            application.make_application(self.front.context)(
                environ, lambda *given: started.append(given)
            )
        )
        status, headers = started[0]
        self.assertEqual(len(body), int(dict(headers)["Content-Length"]))
        return int(status.split()[0]), dict(headers), body

    def test_a_response_has_headers_for_outcome_owner_and_map(self):
        environ = self.environ("/t/keyed/x", HTTP_WAXWINGLEVER_KEY="k")
        status, headers, body = self.send(environ)
        self.assertEqual((200, b"done"), (status, body))
        self.assertEqual(
            ("ran", "a:h", "1"),
            (
                headers[http_codec.OUTCOME_HEADER],
                headers[http_codec.OWNER_HEADER],
                headers[http_codec.MAP_VERSION_HEADER],
            ),
        )

    def test_each_refusal_has_its_status_outcome_and_remedy(self):
        for error, status, outcome, has_retry in REFUSALS:
            with mock.patch.object(router, "route", side_effect=error):
                got, headers, body = self.send(self.environ("/t/keyed/x"))
            self.assertEqual(
                (status, outcome, error.kind, has_retry),
                (
                    got,
                    headers[http_codec.OUTCOME_HEADER],
                    headers[http_codec.REFUSAL_HEADER],
                    "Retry-After" in headers,
                ),
            )
            self.assertEqual(
                {"kind": error.kind, "message": "m", "remedy": "r"},
                json.loads(body),
            )
            self.assertEqual(
                getattr(error, "ticket", None),
                headers.get(http_codec.TICKET_HEADER),
            )

    def test_an_error_before_the_request_is_read_is_not_run(self):
        class BrokenBody:

            def read(self, _):
                raise RuntimeError("bad chunk")

        environ = self.environ("/t/keyed/x", "POST", b"1")
        status, headers, _ = self.send({**environ, "wsgi.input": BrokenBody()})
        self.assertEqual(
            (400, "not-run"), (status, headers[http_codec.OUTCOME_HEADER])
        )

    def test_an_unexpected_error_leaves_the_outcome_unknown(self):
        with mock.patch.object(router, "route", side_effect=KeyError("k")):
            status, headers, body = self.send(self.environ("/t/keyed/x"))
        self.assertEqual(
            (500, "unknown"), (status, headers[http_codec.OUTCOME_HEADER])
        )
        self.assertTrue(json.loads(body)["remedy"])
        self.assertEqual("request-failed", self.front.events[0][0])
