"""Tests of waxwinglever_daemon.faults."""

from unittest import mock

import testtools

from waxwinglever_daemon import faults
from waxwinglever_front import exchange
from waxwinglever_model import exceptions
from waxwinglever_peers import links

NEAR = "127.0.0.1:8080"
FAR = "127.0.0.2:8080"


def make_request() -> exchange.Request:
    return exchange.Request(
        tenant="t",
        service="s",
        method="GET",
        path="/",
        headers=(),
        body=b"",
        key=None,
        request_class="default",
        deadline_s=0.0,
    )


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


class DelayTest(testtools.TestCase):
    """The emulated latency applies to both ways and only to its address."""

    def forward(self, cuts: faults.Cuts, address: str) -> list:
        """Returns the waits and sends of one forwarded request, in order."""
        events = []
        reply = exchange.Reply(200, (), b"")

        def send(to: str, _) -> exchange.Reply:
            events.append(to)
            return reply

        call = faults.cut_forward(send, cuts)
        with mock.patch.object(faults.time, "sleep", events.append):
            self.assertIs(reply, call(address, make_request()))
        return events

    def test_waits_before_and_after(self):
        cuts = faults.Cuts(delays_ms={FAR: 1.5})
        self.assertEqual([0.0015, FAR, 0.0015], self.forward(cuts, FAR))

    def test_other_address_is_not_delayed(self):
        cuts = faults.Cuts(delays_ms={FAR: 1.5})
        self.assertEqual([NEAR], self.forward(cuts, NEAR))

    def test_cut_link_refuses_without_a_send(self):
        cuts = faults.Cuts(requests=frozenset({FAR}), delays_ms={FAR: 1.5})
        call = faults.cut_forward(self.fail, cuts)
        self.assertRaises(
            exceptions.BackendUnavailable, call, FAR, make_request()
        )
