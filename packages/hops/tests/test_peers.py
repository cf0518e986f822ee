"""Tests of waxwinglever_hops.peers."""

import json

import testtools

from waxwinglever_hops import peers
from waxwinglever_model import exceptions
from waxwinglever_relay import exchanges


class PeersTest(testtools.TestCase):
    """Guards against a refusal that changes its meaning between daemons."""

    def reply(self, kind: str, body: bytes) -> exchanges.Reply:
        """Returns another daemon's answer."""
        return exchanges.Reply(200, ((peers.OUTCOME, kind),), body)

    def test_every_refusal_arrives_as_it_was_raised(self):
        for kind in peers.KINDS.values():
            error = kind("why", "do this", 250)
            sent = peers.refusal(error, False)
            reply = exchanges.Reply(sent.status, sent.headers, sent.body)
            raised = self.assertRaises(kind, peers.answer_of, reply)
            self.assertEqual(
                ("why", "do this", 250),
                (raised.message, raised.remedy, raised.retry_after_ms),
            )

    def test_refusal_that_nobody_knows_may_have_run(self):
        for kind in ("", "later-version"):
            self.assertRaises(
                exceptions.OutcomeUnknown,
                peers.answer_of,
                self.reply(kind, json.dumps({}).encode()),
            )

    def test_answer_without_headers_of_one_connection(self):
        reply = exchanges.Reply(
            200,
            ((peers.OUTCOME, peers.RAN), ("date", "x"), ("x-own", "1")),
            b"done",
        )
        self.assertEqual((("x-own", "1"),), peers.answer_of(reply).headers)
