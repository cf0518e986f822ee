"""Tests of waxwinglever_relay.delivery."""

import types

import pytest
import testtools

from waxwinglever_assignment import fleet as fleets
from waxwinglever_model import exceptions
from waxwinglever_relay import backend as backends
from waxwinglever_relay import delivery
from waxwinglever_relay import exchanges
from waxwinglever_relay import messages

LOST = exchanges.AnswerLost("reset", "none")
LATE = exchanges.AnswerLate("late", "none")
REFUSED = exchanges.NotConnected("refused", "none")


@pytest.mark.usefixtures("build")
class DeliveryTest(testtools.TestCase):
    """Guards against work that a backend server must not get."""

    # Set by the fixture.
    build: types.SimpleNamespace = types.SimpleNamespace()

    def setUp(self):
        super().setUp()
        self.clock = self.build.Clock()
        self.desk, self.runner, _ = self.build.desk(self.clock)

    def deliver(self, caller=None, **fields):
        request = self.build.request(self.clock, **fields)
        return delivery.deliver(self.desk, request, caller)

    def refused(self, kind, **fields):
        ran = len(self.runner.ran)
        self.assertRaises(kind, self.deliver, **fields)
        self.assertEqual(ran, len(self.runner.ran))

    def test_answer(self):
        self.assertEqual(self.build.ANSWER, self.deliver())

    def test_other_service(self):
        self.refused(exceptions.NotOwner, service="workshop")

    def test_shard_that_is_not_held(self):
        self.refused(exceptions.NotOwner, shard=100)
        self.refused(exceptions.NotOwner, shard=None)

    def test_hold_that_has_ended(self):
        self.desk.holder.held[5] = self.clock.now_s
        self.refused(exceptions.NotOwner)

    def test_leaving_server_gets_no_new_work(self):
        backends.deregister(self.desk.backend, "i1")
        self.deliver()
        self.clock.now_s += backends.LEAVING_WORK_S + 0.1
        self.refused(exceptions.Draining)

    def test_closed_zone_gets_no_new_work(self):
        self.desk.closed_since_s = self.clock.now_s
        self.deliver()
        self.clock.now_s += delivery.CLOSED_ZONE_WORK_S + 0.1
        self.refused(exceptions.Draining)

    def test_server_that_is_down(self):
        backends.mark_down(self.desk.backend, "test")
        self.refused(exceptions.BackendUnavailable)

    def test_no_time_left(self):
        self.refused(
            exceptions.Overloaded,
            deadline_s=self.clock.now_s + delivery.LEAST_TIME_S / 2,
        )

    def test_caller_that_has_left(self):
        caller = messages.Caller(-1, lambda: True)
        self.refused(messages.CallerLeft, caller=caller)

    def test_lost_answer_is_not_called_refused(self):
        for error in (LOST, LATE):
            self.runner.results = [error]
            self.assertRaises(exceptions.OutcomeUnknown, self.deliver)

    def test_lost_answer_of_a_living_server_keeps_it_ready(self):
        self.runner.results = [LOST]
        self.assertRaises(exceptions.OutcomeUnknown, self.deliver)
        self.assertEqual(fleets.READY, self.desk.backend.state)

    def test_crash_is_noticed_and_makes_suspects(self):
        self.runner.results = [LOST]
        self.runner.up = False
        self.assertRaises(exceptions.OutcomeUnknown, self.deliver)
        self.assertEqual(fleets.DOWN, self.desk.backend.state)

    def test_refused_connection_has_not_run(self):
        self.runner.results = [REFUSED]
        self.runner.up = False
        self.assertRaises(exceptions.BackendUnavailable, self.deliver)
        self.assertEqual(fleets.DOWN, self.desk.backend.state)
