"""Tests of waxwinglever_assignment.promises."""

import types

import pytest
import testtools

from waxwinglever_assignment import promises

MAJORITIES = (
    (("a",), ("a",), True),
    (("a", "b"), ("a",), False),
    (("a", "b", "c"), ("a", "c"), True),
    (("a", "b", "c"), ("a", "x", "y"), False),
    ((), (), True),
)


@pytest.mark.usefixtures("build")
class PromisesTest(testtools.TestCase):
    """Guards against voters that extend an owner while it is taken over."""

    # Set by the fixture.
    build: types.SimpleNamespace = types.SimpleNamespace()

    def setUp(self):
        super().setUp()
        self.clock = self.build.Clock()
        self.voter = promises.VoterState(now=self.clock)
        self.clock.now_s += promises.PROMISE_DENIAL_S

    def test_clearing_returns_the_rest_of_the_promise(self):
        self.assertTrue(promises.promise(self.voter, "n1", 1))
        self.clock.now_s += 0.5
        self.assertAlmostEqual(
            promises.PROMISE_S - 0.5, promises.clear_takeover(self.voter, "n1")
        )
        self.clock.now_s += promises.PROMISE_S
        self.assertEqual(0.0, promises.clear_takeover(self.voter, "n1"))

    def test_no_promise_after_the_owner_was_cleared(self):
        promises.clear_takeover(self.voter, "n1")
        self.clock.now_s += promises.PROMISE_DENIAL_S - 0.1
        self.assertFalse(promises.promise(self.voter, "n1", 1))
        self.assertTrue(promises.promise(self.voter, "n2", 1))
        self.clock.now_s += 0.2
        self.assertTrue(promises.promise(self.voter, "n1", 1))

    def test_new_voter_neither_promises_nor_clears(self):
        voter = promises.VoterState(now=self.clock)
        self.assertFalse(promises.promise(voter, "n1", 1))
        self.assertIsNone(promises.clear_takeover(voter, "n1"))

    def test_first_voters_of_a_fleet_promise_at_once(self):
        # Otherwise an outage of the store in the first seconds would stop all
        # owners.
        voter = promises.VoterState(now=self.clock)
        promises.record_startup_list(voter, has_list=True)
        self.assertFalse(promises.promise(voter, "n1", 1))
        promises.record_startup_list(voter, has_list=False)
        self.assertTrue(promises.promise(voter, "n1", 1))

    def test_denial_outlasts_any_extension(self):
        # Otherwise a voter could clear an owner and promise to it in the same
        # outage.
        self.assertGreater(promises.PROMISE_DENIAL_S, promises.EXTENSION_S)
        self.assertGreater(promises.VOTERS_CHANGE_S, promises.EXTENSION_S)

    def test_majority(self):
        for names, agreeing, expected in MAJORITIES:
            self.assertEqual(
                expected, promises.is_majority(names, agreeing), names
            )

    def test_voters_are_spread_over_zones_and_kept(self):
        present = [(f"{zone}{n}", zone) for zone in "abc" for n in range(9)]
        first = promises.next_voters(None, present)
        self.assertEqual(promises.MAX_VOTERS, len(first.names))
        self.assertEqual({"a", "b", "c"}, {name[0] for name in first.names})
        self.assertIsNone(promises.next_voters(first, present))
        left = [pair for pair in present if pair[0] != first.names[0]]
        second = promises.next_voters(first, left)
        self.assertEqual(first.names, second.before)
        self.assertEqual(
            set(first.names[1:]), set(first.names) & set(second.names)
        )

    def test_promise_for_a_cleared_era_is_refused(self):
        # An owner that the restored store doesn't name would go on holding its
        # ranges beside their new owner.
        self.assertTrue(promises.promise(self.voter, "n1", 1))
        self.assertTrue(promises.promise(self.voter, "n2", 2))
        self.clock.now_s += 0.5
        self.assertAlmostEqual(
            promises.PROMISE_S - 0.5,
            promises.clear_earlier_eras(self.voter, 2),
        )
        self.assertFalse(promises.promise(self.voter, "n1", 1))
        self.assertTrue(promises.promise(self.voter, "n2", 2))
        self.clock.now_s += promises.PROMISE_S
        self.assertEqual(0.0, promises.clear_earlier_eras(self.voter, 2))

    def test_new_voter_clears_no_era(self):
        voter = promises.VoterState(now=self.clock)
        self.assertIsNone(promises.clear_earlier_eras(voter, 2))
