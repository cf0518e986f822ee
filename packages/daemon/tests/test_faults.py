"""Tests of waxwinglever_daemon.faults."""

import testtools

from waxwinglever_daemon import faults
from waxwinglever_model import exceptions
from waxwinglever_peers import links


class FaultsTest(testtools.TestCase):
    """Guards against a cut that lets a message pass, or cuts too much."""

    def test_a_cut_request_is_not_sent_and_a_cut_reply_is(self):
        cuts = faults.Cuts(frozenset({"a"}), frozenset({"b"}))
        sent = []
        calls = faults.cut_calls(
            links.PeerCalls(
                lambda address, *_: sent.append(address), lambda: None
            ),
            cuts,
        )
        forward = faults.cut_forward(
            lambda address, _: sent.append(address), cuts
        )
        for address, kind, refusal in (
            ("a", exceptions.PeerUnavailable, exceptions.BackendUnavailable),
            ("b", exceptions.PeerUnavailable, exceptions.OutcomeUnknown),
        ):
            self.assertRaises(kind, calls.call, address, None, 1.0)
            self.assertRaises(refusal, forward, address, None)
        calls.call("c", None, 1.0)
        forward("c", None)
        self.assertEqual(["b", "b", "c", "c"], sent)
