"""Tests of waxwinglever_front.places."""

import testtools
from waxwinglever_front import places as places_module
from waxwinglever_model import exceptions


class PlacesTest(testtools.TestCase):
    """Callers' requests can't take the threads of forwarded ones."""

    def setUp(self):
        super().setUp()
        # One place for callers, two for other daemons.
        self.places = places_module.for_threads(4)

    def take(self, is_forwarded: bool):
        """Takes a place until the end of the test."""
        place = places_module.taken(self.places, is_forwarded)
        place.__enter__()
        self.addCleanup(place.__exit__, None, None, None)

    def test_full_refuses_as_not_run(self):
        self.take(is_forwarded=False)
        error = self.assertRaises(
            exceptions.Overloaded, self.take, is_forwarded=False
        )
        self.assertEqual("not-run", error.outcome)

    def test_forwarded_have_places_of_their_own(self):
        # Daemons full of callers' requests would wait for each other.
        self.take(is_forwarded=False)
        self.take(is_forwarded=True)
        self.take(is_forwarded=True)

    def test_a_thread_is_left_to_refuse(self):
        for threads in (4, 64, 1024):
            places = places_module.for_threads(threads)
            count = 0
            for place in (places.first, places.forwarded):
                while place.acquire(blocking=False):
                    count += 1
            self.assertTrue(count < threads, threads)

    def test_place_is_free_after_a_failure(self):
        for _ in range(3):
            try:
                with places_module.taken(self.places, False):
                    raise exceptions.BadRequest("x", "y")
            except exceptions.BadRequest:
                pass
        self.take(is_forwarded=False)

    def test_one_daemon_can_not_take_all_places(self):
        links = places_module.Links(2)
        with places_module.link(links, "a"), places_module.link(links, "a"):
            self.assertRaises(
                exceptions.Overloaded, places_module.link(links, "a").__enter__
            )
            with places_module.link(links, "b"):
                pass
        self.assertEqual(0, links.waiting.total())
