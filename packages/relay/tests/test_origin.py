"""Tests of waxwinglever_relay.origin."""

import types

import pytest
import testtools

from waxwinglever_assignment import tables
from waxwinglever_model import exceptions
from waxwinglever_relay import messages
from waxwinglever_relay import origin as origins

HALF = 32_768
UNKNOWN = exceptions.OutcomeUnknown("lost", "none")
FULL = exceptions.Overloaded("full", "none")
SHED = messages.Shed("shed", "none")


@pytest.mark.usefixtures("build")
class OriginTest(testtools.TestCase):
    """Guards against requests that run twice, or are given up too early."""

    # Set by the fixture.
    build: types.SimpleNamespace = types.SimpleNamespace()

    def setUp(self):
        super().setUp()
        self.tries = origins.Tries()
        self.clock = self.build.Clock()
        table = tables.deal(
            "dispatch", [("n1", "n1@1", HALF), ("n2", "n2@1", HALF)]
        )
        members = [self.build.make_member(n, "dispatch") for n in ("n1", "n2")]
        members += [self.build.make_member(n, "intake") for n in ("m1", "m2")]
        self.origin, self.fake_backend, self.sent = self.build.make_origin(
            self.clock, members, table
        )

    def handle(self, **fields):
        self.tries.path.clear()
        self.tries.refused.clear()
        self.tries.sent = 0
        return origins.handle(
            self.origin,
            self.build.make_request(self.clock, **fields),
            self.tries,
            None,
        )

    def unkeyed(self, **fields):
        return self.handle(service="intake", shard=None, keyed=False, **fields)

    def test_owner_gets_the_request(self):
        self.handle(shard=1)
        self.handle(shard=HALF)
        self.assertEqual(["n1", "n2"], self.sent)

    def test_unknown_outcome_is_never_repeated_unless_safe(self):
        self.fake_backend.results = [UNKNOWN]
        self.assertRaises(
            exceptions.OutcomeUnknown, self.unkeyed, repeatable=False
        )
        self.assertEqual(1, len(self.sent))

    def test_unknown_outcome_of_a_safe_request_is_repeated_once(self):
        self.fake_backend.results = [UNKNOWN]
        self.assertRaises(exceptions.OutcomeUnknown, self.unkeyed)
        self.assertEqual(2, len(self.sent))

    def test_repeats_stay_in_the_budget(self):
        self.fake_backend.results = [UNKNOWN]
        for _ in range(100):
            self.assertRaises(exceptions.OutcomeUnknown, self.unkeyed)
        extra = len(self.sent) - 100
        self.assertLessEqual(
            extra, 100 * origins.RETRY_RATIO + origins.RETRY_BURST
        )

    def test_refusals_of_servers_draw_on_the_budget(self):
        # They have arrived at a server, which the platform counts.
        self.fake_backend.results = [SHED]
        for _ in range(100):
            self.assertRaises(messages.Shed, self.unkeyed, repeatable=False)
        extra = len(self.sent) - 100
        self.assertLessEqual(
            extra, 100 * origins.RETRY_RATIO + origins.RETRY_BURST
        )

    def test_full_node_sends_work_to_another(self):
        self.fake_backend.results = [FULL, self.build.ANSWER]
        self.unkeyed(repeatable=False)
        self.assertEqual({"m1", "m2"}, set(self.sent))

    def test_every_node_is_asked_once(self):
        self.fake_backend.results = [FULL]
        self.assertRaises(exceptions.Overloaded, self.unkeyed)
        self.assertEqual({"m1", "m2"}, set(self.sent))
        self.assertEqual(2, len(self.sent))

    def test_full_owner_is_not_asked_again(self):
        self.fake_backend.results = [FULL]
        self.assertRaises(exceptions.Overloaded, self.handle)
        self.assertEqual(["n1"], self.sent)

    def test_unknown_service_has_no_node(self):
        self.assertRaises(
            exceptions.BackendUnavailable,
            self.handle,
            service="none",
            keyed=False,
        )

    def test_nodes_of_closed_zones_get_nothing(self):
        self.origin.book.closed_zones = frozenset("a")
        self.assertRaises(exceptions.BackendUnavailable, self.unkeyed)
        self.assertEqual([], self.sent)

    def test_tries_tell_the_way(self):
        self.fake_backend.results = [FULL, self.build.ANSWER]
        self.unkeyed()
        self.assertEqual(
            ["overloaded", "ran"], [t.split(":")[1] for t in self.tries.path]
        )

    def test_nothing_is_sent_again_without_time(self):
        self.fake_backend.results = [FULL, self.build.ANSWER]
        self.assertRaises(
            exceptions.Overloaded,
            self.unkeyed,
            deadline_s=self.clock.now_s + 0.01,
        )
        self.assertEqual(1, len(self.sent))
