"""Tests of waxwinglever_daemon.faults."""

from unittest import mock

import testtools

from waxwinglever_daemon import faults
from waxwinglever_front import http_messages
from waxwinglever_model import exceptions
from waxwinglever_peers import links

OTHER_ADDRESS = "127.0.0.1:8080"
DELAYED_ADDRESS = "127.0.0.2:8080"


def make_request() -> http_messages.Request:
    return http_messages.Request(
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


class CutTest(testtools.TestCase):
    """Guards against cuts that pass messages or affect other links."""

    def test_a_cut_request_is_not_sent_and_a_cut_reply_is(self):
        link_faults = faults.LinkFaults(frozenset({"a"}), frozenset({"b"}))
        sent = []
        client = faults.wrap_client(
            links.PeerClient(
                lambda address, *_: sent.append(address), lambda: None
            ),
            link_faults,
        )
        forward = faults.wrap_forward(
            lambda address, _: sent.append(address), link_faults
        )
        for address, call_error, forward_error in (
            ("a", exceptions.PeerUnavailable, exceptions.BackendUnavailable),
            ("b", exceptions.PeerUnavailable, exceptions.OutcomeUnknown),
        ):
            self.assertRaises(call_error, client.call, address, None, 1.0)
            self.assertRaises(forward_error, forward, address, None)
        client.call("c", None, 1.0)
        forward("c", None)
        self.assertEqual(["b", "b", "c", "c"], sent)


class DelayTest(testtools.TestCase):
    """Guards against latency one way only, or to other addresses."""

    def forward(self, link_faults: faults.LinkFaults, address: str) -> list:
        """Returns the sleeps and sends of one forwarded request, in order."""
        events = []
        response = http_messages.Response(200, (), b"")

        def send(to: str, _) -> http_messages.Response:
            events.append(to)
            return response

        call = faults.wrap_forward(send, link_faults)
        with mock.patch.object(faults.time, "sleep", events.append):
            self.assertIs(response, call(address, make_request()))
        return events

    def test_latency_applies_to_request_and_reply(self):
        link_faults = faults.LinkFaults(delays_ms={DELAYED_ADDRESS: 1.5})
        self.assertEqual(
            [0.0015, DELAYED_ADDRESS, 0.0015],
            self.forward(link_faults, DELAYED_ADDRESS),
        )

    def test_another_address_is_not_delayed(self):
        link_faults = faults.LinkFaults(delays_ms={DELAYED_ADDRESS: 1.5})
        self.assertEqual(
            [OTHER_ADDRESS], self.forward(link_faults, OTHER_ADDRESS)
        )

    def test_a_cut_request_is_refused_without_a_send(self):
        link_faults = faults.LinkFaults(
            requests=frozenset({DELAYED_ADDRESS}),
            delays_ms={DELAYED_ADDRESS: 1.5},
        )
        call = faults.wrap_forward(self.fail, link_faults)
        self.assertRaises(
            exceptions.BackendUnavailable, call, DELAYED_ADDRESS, make_request()
        )
