"""Tests of waxwinglever_front.hedging."""

import threading
from concurrent import futures

import testtools

from waxwinglever_front import hedging
from waxwinglever_front import http_messages

FIRST = http_messages.Response(200, (), b"first")
SECOND = http_messages.Response(200, (), b"second")
UNKNOWN = http_messages.Response(504, (), b"", "unknown")


class HedgingTest(testtools.TestCase):
    """Guards against a second attempt that replaces a better response."""

    def hedge(self, first, second, may_hedge=True, delay_s=0.0):
        with futures.ThreadPoolExecutor(2) as executor:
            return hedging.run_hedged(
                executor, first, second, delay_s, lambda: may_hedge
            )

    def test_a_quick_response_needs_no_second_attempt(self):
        def never():
            raise AssertionError("a second attempt")

        got = self.hedge(lambda: FIRST, never, delay_s=30.0)
        self.assertEqual(FIRST, got)

    def test_the_first_of_two_responses_is_returned(self):
        done = threading.Event()

        def slow():
            done.wait(30)
            return FIRST

        def second():
            return SECOND

        with futures.ThreadPoolExecutor(2) as executor:
            got = hedging.run_hedged(executor, slow, second, 0.0, lambda: True)
            done.set()
        self.assertEqual(SECOND, got)

    def test_a_failed_attempt_waits_for_the_other(self):
        failed = threading.Event()

        def slow():
            failed.wait(30)
            return FIRST

        def second():
            failed.set()
            return UNKNOWN

        self.assertEqual(FIRST, self.hedge(slow, second))

    def test_without_budget_there_is_one_attempt(self):
        release = threading.Event()
        threading.Timer(0.01, release.set).start()

        def slow():
            release.wait(30)
            return FIRST

        self.assertEqual(FIRST, self.hedge(slow, lambda: SECOND, False))
