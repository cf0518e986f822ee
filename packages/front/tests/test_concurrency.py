"""Tests of waxwinglever_front.concurrency."""

import testtools
from waxwinglever_front import concurrency
from waxwinglever_model import exceptions


class RequestLimitsTest(testtools.TestCase):
    """Guards against requests of callers that block forwarded ones."""

    def setUp(self):
        super().setUp()
        # One permit for callers, two for other daemons.
        self.request_limits = concurrency.limits_for_threads(4)

    def acquire(self, is_forwarded: bool):
        """Holds a permit until the end of the test."""
        permit = concurrency.request_permit(self.request_limits, is_forwarded)
        permit.__enter__()
        self.addCleanup(permit.__exit__, None, None, None)

    def test_a_refusal_over_the_limit_is_not_run(self):
        self.acquire(is_forwarded=False)
        error = self.assertRaises(
            exceptions.Overloaded, self.acquire, is_forwarded=False
        )
        self.assertEqual("not-run", error.outcome)

    def test_forwarded_requests_have_their_own_limit(self):
        # With a common limit, daemons whose permits are all held by requests of
        # callers would wait for each other.
        self.acquire(is_forwarded=False)
        self.acquire(is_forwarded=True)
        self.acquire(is_forwarded=True)

    def test_threads_are_left_for_refusals(self):
        for threads in (4, 64, 1024):
            request_limits = concurrency.limits_for_threads(threads)
            count = 0
            for semaphore in (request_limits.callers, request_limits.forwarded):
                while semaphore.acquire(blocking=False):
                    count += 1
            self.assertTrue(count < threads, threads)

    def test_a_permit_is_released_after_a_failure(self):
        for _ in range(3):
            try:
                with concurrency.request_permit(self.request_limits, False):
                    raise exceptions.BadRequest("x", "y")
            except exceptions.BadRequest:
                pass
        self.acquire(is_forwarded=False)

    def test_one_daemon_can_not_take_all_permits(self):
        peer_limits = concurrency.PeerLimits(2)
        with (
            concurrency.peer_permit(peer_limits, "a"),
            concurrency.peer_permit(peer_limits, "a"),
        ):
            self.assertRaises(
                exceptions.Overloaded,
                concurrency.peer_permit(peer_limits, "a").__enter__,
            )
            with concurrency.peer_permit(peer_limits, "b"):
                pass
        self.assertEqual(0, peer_limits.waiting.total())
