"""Tests of waxwinglever_peers.links."""

import threading

import pynng
import testtools

from waxwinglever_model import exceptions
from waxwinglever_peers import links
from waxwinglever_peers import messages

ADDRESS = "127.0.0.1:17401"


class LinksTest(testtools.TestCase):
    """Guards against a link that ends its daemon or hides a lost peer."""

    def setUp(self):
        super().setUp()
        self.errors = []
        self.calls = links.pynng_calls()
        self.addCleanup(self.calls.close)

    def start(self, handle):
        server = links.serve(ADDRESS, handle, self.errors.append)
        self.addCleanup(server.close)
        return server

    def test_a_call_gets_the_answer_of_the_handler(self):
        self.start(lambda m: messages.MapReply(m.cell, 7))
        reply = self.calls.call(ADDRESS, messages.MapRequest("t/s/0"), 2.0)
        self.assertEqual(messages.MapReply("t/s/0", 7), reply)

    def test_no_listener_is_a_typed_error(self):
        self.assertRaises(
            exceptions.PeerUnavailable,
            self.calls.call,
            "127.0.0.1:17402",
            messages.Accepted(),
            0.05,
        )

    def test_an_address_has_one_listener(self):
        self.start(lambda m: m)
        self.assertRaises(
            exceptions.InvalidInput, links.serve, ADDRESS, None, None
        )

    def test_garbage_gets_an_error_reply_and_the_server_goes_on(self):
        self.start(lambda m: messages.Accepted())
        with pynng.Req0(send_timeout=2000, recv_timeout=2000) as socket:
            socket.dial(f"tcp://{ADDRESS}", block=True)
            for garbage in (b"garbage", b""):
                socket.send(garbage)
                socket.recv()
        self.assertEqual(2, len(self.errors))
        reply = self.calls.call(ADDRESS, messages.Accepted(), 2.0)
        self.assertEqual(messages.Accepted(), reply)

    def test_an_answer_that_is_garbage_counts_as_none(self):
        with pynng.Rep0(listen=f"tcp://{ADDRESS}", recv_timeout=2000) as socket:

            def answer():
                for garbage in (b"garbage", b""):
                    socket.recv()
                    socket.send(garbage)

            thread = threading.Thread(target=answer)
            thread.start()
            for _ in range(2):
                self.assertRaises(
                    exceptions.PeerUnavailable,
                    self.calls.call,
                    ADDRESS,
                    messages.Accepted(),
                    2.0,
                )
            thread.join()

    def test_a_reconnect_after_the_listener_came_back(self):
        server = self.start(lambda m: messages.Accepted())
        self.calls.call(ADDRESS, messages.Accepted(), 2.0)
        server.close()
        self.start(lambda m: messages.Accepted())
        reply = self.calls.call(ADDRESS, messages.Accepted(), 2.0)
        self.assertEqual(messages.Accepted(), reply)
