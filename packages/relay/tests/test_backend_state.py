"""Tests of waxwinglever_relay.backend_state."""

import types

import pytest
import testtools

from waxwinglever_assignment import fleet_view
from waxwinglever_relay import backend_state


@pytest.mark.usefixtures("build")
class BackendStateTest(testtools.TestCase):
    """Guards against outdated announcements and overload in a cold start."""

    # Set by the fixture.
    build: types.SimpleNamespace = types.SimpleNamespace()

    def setUp(self):
        super().setUp()
        self.clock = self.build.Clock()
        local_delivery, _, _ = self.build.make_local_delivery(self.clock)
        self.backend = local_delivery.backend

    def announce(self, started_ms=1, sequence=2, **fields):
        values = {"draining": False, "cold_start_left_s": 0.0} | fields
        return backend_state.apply_announcement(
            self.backend,
            backend_state.Announcement(
                "i1", started_ms, sequence, "dispatch", 2, **values
            ),
        )

    def test_older_sequence_is_ignored(self):
        self.announce(sequence=5, draining=True)
        self.assertFalse(self.announce(sequence=4))
        self.assertEqual(fleet_view.DRAINING, self.backend.state)

    def test_draining_is_not_revoked_by_a_later_announcement(self):
        self.announce(sequence=5, draining=True)
        self.assertTrue(self.announce(sequence=6))
        self.assertEqual(fleet_view.DRAINING, self.backend.state)

    def test_announcement_of_an_earlier_process_is_ignored(self):
        self.announce(started_ms=10)
        self.assertFalse(self.announce(started_ms=9, sequence=99))
        self.assertEqual("i1@10", self.backend.boot_id)

    def test_new_process_with_the_same_id_resets_the_state(self):
        self.announce(sequence=5, draining=True)
        self.assertTrue(self.announce(started_ms=10, sequence=0))
        self.assertEqual(fleet_view.READY, self.backend.state)

    def test_deregistration_of_another_server_is_ignored(self):
        backend_state.deregister(self.backend, "i0")
        self.assertEqual(fleet_view.READY, self.backend.state)

    def test_cold_start_limits_the_request_rate(self):
        self.announce(cold_start_left_s=3.0)
        sends = 0
        end_s = self.clock.now_s + 1.0
        while self.clock.now_s < end_s:
            if backend_state.reserve_cold_send(self.backend, 22.0) is not None:
                sends += 1
            self.clock.now_s += 0.01
        # Reserved requests are sent at most MAX_COLD_WAIT_S later.
        self.assertLessEqual(
            sends, 22.0 * (1.0 + backend_state.MAX_COLD_WAIT_S)
        )

    def test_warm_server_has_no_delay(self):
        self.assertEqual(
            0.0, backend_state.reserve_cold_send(self.backend, 1.0)
        )

    def test_announced_slots_are_passed_to_the_gate(self):
        backend_state.apply_announcement(
            self.backend,
            backend_state.Announcement("i1", 1, 9, "dispatch", 7, False, 0.0),
        )
        self.assertEqual(7, self.backend.gate.policy.slots)
