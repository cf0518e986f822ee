"""Tests of waxwinglever_hops.peers."""

import json

import testtools

from waxwinglever_hops import peers
from waxwinglever_model import exceptions
from waxwinglever_relay import exchanges


class PeersTest(testtools.TestCase):
    """Guards against refusals that change their meaning between daemons."""

    def reply(self, kind: str, body: bytes) -> exchanges.Reply:
        """Returns another daemon's reply with the given outcome."""
        return exchanges.Reply(200, ((peers.OUTCOME_HEADER, kind),), body)

    def test_every_refusal_is_raised_again_by_the_entry_daemon(self):
        for kind in peers.REFUSALS_BY_KIND.values():
            error = kind("why", "do this", 250)
            sent = peers.encode_refusal(error, False)
            reply = exchanges.Reply(sent.status, sent.headers, sent.body)
            raised = self.assertRaises(kind, peers.decode_reply, reply)
            self.assertEqual(
                ("why", "do this", 250),
                (raised.message, raised.remedy, raised.retry_after_ms),
            )

    def test_reply_with_an_unknown_outcome_may_have_run(self):
        for kind in ("", "later-version"):
            self.assertRaises(
                exceptions.OutcomeUnknown,
                peers.decode_reply,
                self.reply(kind, json.dumps({}).encode()),
            )

    def test_headers_between_daemons_are_dropped(self):
        reply = exchanges.Reply(
            200,
            (
                (peers.OUTCOME_HEADER, peers.OUTCOME_RAN),
                ("date", "x"),
                ("x-own", "1"),
            ),
            b"done",
        )
        self.assertEqual((("x-own", "1"),), peers.decode_reply(reply).headers)
