"""Tests of waxwinglever_relay.backend."""

import types

import pytest
import testtools

from waxwinglever_assignment import fleet as fleets
from waxwinglever_relay import backend as backends


@pytest.mark.usefixtures("build")
class BackendTest(testtools.TestCase):
    """Guards against an old announcement that undoes a newer one."""

    # Set by the fixture.
    build: types.SimpleNamespace = types.SimpleNamespace()

    def setUp(self):
        super().setUp()
        self.clock = self.build.Clock()
        desk, _, _ = self.build.desk(self.clock)
        self.backend = desk.backend

    def announce(self, born_ms=1, sequence=2, **fields):
        values = {"draining": False, "cold_s": 0.0} | fields
        return backends.take_announcement(
            self.backend,
            backends.Announcement(
                "i1", born_ms, sequence, "dispatch", 2, **values
            ),
        )

    def test_older_sequence_is_ignored(self):
        self.announce(sequence=5, draining=True)
        self.assertFalse(self.announce(sequence=4))
        self.assertEqual(fleets.DRAINING, self.backend.state)

    def test_leaving_is_not_taken_back(self):
        self.announce(sequence=5, draining=True)
        self.assertTrue(self.announce(sequence=6))
        self.assertEqual(fleets.DRAINING, self.backend.state)

    def test_earlier_life_is_ignored(self):
        self.announce(born_ms=10)
        self.assertFalse(self.announce(born_ms=9, sequence=99))
        self.assertEqual("i1@10", self.backend.life)

    def test_new_life_under_the_same_id_starts_anew(self):
        self.announce(sequence=5, draining=True)
        self.assertTrue(self.announce(born_ms=10, sequence=0))
        self.assertEqual(fleets.READY, self.backend.state)

    def test_word_of_another_life_does_not_end_this_one(self):
        backends.deregister(self.backend, "i0")
        self.assertEqual(fleets.READY, self.backend.state)

    def test_cold_server_gets_what_it_bears(self):
        self.announce(cold_s=3.0)
        turns = 0
        end_s = self.clock.now_s + 1.0
        while self.clock.now_s < end_s:
            if backends.cold_turn_s(self.backend, 22.0) is not None:
                turns += 1
            self.clock.now_s += 0.01
        # What waits for its turn is sent within COLD_WAIT_S.
        self.assertLessEqual(turns, 22.0 * (1.0 + backends.COLD_WAIT_S))

    def test_warm_server_needs_no_turns(self):
        self.assertEqual(0.0, backends.cold_turn_s(self.backend, 1.0))

    def test_slots_of_the_gate_follow_the_announcement(self):
        backends.take_announcement(
            self.backend,
            backends.Announcement("i1", 1, 9, "dispatch", 7, False, 0.0),
        )
        self.assertEqual(7, self.backend.gate.policy.slots)
