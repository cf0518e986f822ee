"""Tests of waxwinglever_front.places."""

import testtools
from waxwinglever_front import places as places_module
from waxwinglever_model import exceptions


class PlacesTest(testtools.TestCase):
    """Guards against requests of callers that block forwarded ones."""

    def setUp(self):
        super().setUp()
        # One permit for callers, two for other daemons.
        self.places = places_module.for_threads(4)

    def take(self, is_forwarded: bool):
        """Takes a permit until the end of the test."""
        permit = places_module.request_permit(self.places, is_forwarded)
        permit.__enter__()
        self.addCleanup(permit.__exit__, None, None, None)

    def test_a_refusal_over_the_limit_is_not_run(self):
        self.take(is_forwarded=False)
        error = self.assertRaises(
            exceptions.Overloaded, self.take, is_forwarded=False
        )
        self.assertEqual("not-run", error.outcome)

    def test_forwarded_requests_have_their_own_limit(self):
        # With one limit, daemons full of callers' requests would wait for each
        # other.
        self.take(is_forwarded=False)
        self.take(is_forwarded=True)
        self.take(is_forwarded=True)

    def test_threads_are_left_for_refusals(self):
        for threads in (4, 64, 1024):
            places = places_module.for_threads(threads)
            count = 0
            for semaphore in (places.callers, places.forwarded):
                while semaphore.acquire(blocking=False):
                    count += 1
            self.assertTrue(count < threads, threads)

    def test_a_permit_is_released_after_a_failure(self):
        for _ in range(3):
            try:
                with places_module.request_permit(self.places, False):
                    raise exceptions.BadRequest("x", "y")
            except exceptions.BadRequest:
                pass
        self.take(is_forwarded=False)

    def test_one_daemon_can_not_take_all_permits(self):
        peer_limits = places_module.PeerLimits(2)
        with (
            places_module.peer_permit(peer_limits, "a"),
            places_module.peer_permit(peer_limits, "a"),
        ):
            self.assertRaises(
                exceptions.Overloaded,
                places_module.peer_permit(peer_limits, "a").__enter__,
            )
            with places_module.peer_permit(peer_limits, "b"):
                pass
        self.assertEqual(0, peer_limits.waiting.total())
