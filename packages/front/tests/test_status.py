"""Tests of waxwinglever_front.status."""

import json
import typing

import testtools

from waxwinglever_front import status
from waxwinglever_model import limits
from waxwinglever_ownership import config_cache


class StatusTest(testtools.TestCase):
    """Guards against a status page that hides a problem."""

    make_front: typing.Any = None

    def test_readiness_names_what_is_missing(self):
        front = self.make_front()
        context = front.context
        self.assertEqual("", status.unready_reason(context))
        for name, value in (
            ("is_draining", True),
            ("config_cache", config_cache.ConfigCache()),
            ("node", None),
        ):
            before = getattr(context, name)
            setattr(context, name, value)
            self.assertNotEqual("", status.unready_reason(context), name)
            setattr(context, name, before)

    def test_the_snapshot_is_json_and_counts_only_valid_leases(self):
        front = self.make_front()
        config_cache.apply_if_newer(front.context.config_cache, "t", "{")
        snapshot = json.loads(json.dumps(status.snapshot(front.context)))
        self.assertEqual(1, snapshot["cell"]["owned"])
        self.assertEqual({"t": 1}, snapshot["generations"])
        self.assertIn("t", snapshot["config_errors"])
        (lease,) = front.context.node.state.leases.values()
        lease.expires_at_s = 0.0
        self.assertEqual(0, status.snapshot(front.context)["cell"]["owned"])
        front.context.local_backend = None
        self.assertIsNone(status.snapshot(front.context)["gate"])

    def test_a_server_is_ready_only_while_it_announces_itself(self):
        context = self.make_front().context
        for state, age_s, expected in (
            ("ready", 0.0, True),
            ("starting", 0.0, False),
            ("draining", 0.0, False),
            ("ready", limits.BACKEND_ABSENCE_TIMEOUT_S, False),
        ):
            context.local_backend.state = state
            context.local_backend.last_announced_s = context.now() - age_s
            self.assertEqual(expected, status.backend_is_ready(context), state)
