"""Tests of waxwinglever_bench.traffic."""

import concurrent.futures
import pathlib
import random
from unittest import mock

import testtools

from waxwinglever_bench import callers
from waxwinglever_bench import fault_injection
from waxwinglever_bench import fleet as fleets
from waxwinglever_bench import traffic as traffics

REQUEST = callers.Request("POST", "t", "keyed", "/claims/1", "k", b"x")
RAN = callers.Response(200, "ran", is_correct=True)
NO_RESPONSE = callers.Response(0, "none")
BUSY = callers.Response(503, "not-run", "overloaded")


def ticket(name):
    kind = traffics.TICKET_REQUIRED
    return callers.Response(428, "not-run", kind, ticket=name)


class RetryTest(testtools.TestCase):
    """The senders must follow the retry rules of section 10 of the design."""

    def setUp(self):
        super().setUp()
        self.sent = []

    def send(self, *responses):
        """Returns the result of a request that gets the given responses."""
        vms = fleets.make_vms("t", ["a"], {"keyed": 3}, 1)
        fleet = fleets.Fleet(pathlib.Path(), {vm.name: vm for vm in vms})
        traffic = traffics.Traffic(
            fault_injection.SoakState(fleet), "t", "keyed", "other"
        )
        remaining = iter(responses)

        def fake_send(pool, address, request, timeout_s):
            del pool, address, timeout_s
            headers = dict(request.headers)
            self.sent.append(headers.get("Waxwinglever-Ticket"))
            return next(remaining, BUSY)

        with (
            mock.patch.object(callers, "send", fake_send),
            mock.patch.object(traffics, "DUPLICATE_SHARE", 0.0),
            concurrent.futures.ThreadPoolExecutor(1) as executor,
        ):
            return traffics.send_with_retries(
                traffic, random.Random(1), executor, REQUEST
            )

    def test_all_attempts_carry_the_first_ticket(self):
        result = self.send(ticket("a"), NO_RESPONSE, BUSY, RAN)
        self.assertEqual("ran", result)
        self.assertEqual([None, "a", "a", "a"], self.sent)

    def test_no_new_ticket_while_an_attempt_may_have_run(self):
        result = self.send(ticket("a"), NO_RESPONSE, ticket("b"))
        self.assertEqual("unknown", result)
        self.assertEqual([None, "a", "a"], self.sent)

    def test_a_new_ticket_when_each_attempt_was_refused(self):
        result = self.send(ticket("a"), BUSY, ticket("b"), RAN)
        self.assertEqual("ran", result)
        self.assertEqual([None, "a", "a", "b"], self.sent)

    def test_not_run_only_when_each_attempt_was_refused(self):
        self.assertEqual("not-run", self.send(ticket("a"), BUSY))
        self.assertEqual("unknown", self.send(ticket("a"), NO_RESPONSE))
