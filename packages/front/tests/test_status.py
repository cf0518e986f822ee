"""Tests of waxwinglever_front.status."""

import json
import typing

import testtools

from waxwinglever_front import status
from waxwinglever_model import limits
from waxwinglever_ownership import configs


class StatusTest(testtools.TestCase):
    """Guards against a status page that hides a problem."""

    make_front: typing.Any = None

    def test_readiness_names_what_is_missing(self):
        front = self.make_front()
        site = front.site
        self.assertEqual("", status.unready_reason(site))
        for name, value in (
            ("closing", True),
            ("book", configs.ConfigBook()),
            ("node", None),
        ):
            before = getattr(site, name)
            setattr(site, name, value)
            self.assertNotEqual("", status.unready_reason(site), name)
            setattr(site, name, before)

    def test_the_snapshot_is_json_and_counts_only_valid_leases(self):
        front = self.make_front()
        configs.offer(front.site.book, "t", "{")
        snapshot = json.loads(json.dumps(status.snapshot(front.site)))
        self.assertEqual(1, snapshot["cell"]["owned"])
        self.assertEqual({"t": 1}, snapshot["generations"])
        self.assertIn("t", snapshot["config_errors"])
        (lease,) = front.site.node.state.held.values()
        lease.until = 0.0
        self.assertEqual(0, status.snapshot(front.site)["cell"]["owned"])
        front.site.local = None
        self.assertIsNone(status.snapshot(front.site)["gate"])

    def test_a_server_is_present_while_it_announces_itself(self):
        site = self.make_front().site
        for state, age_s, expected in (
            ("ready", 0.0, True),
            ("starting", 0.0, False),
            ("draining", 0.0, False),
            ("ready", limits.BACKEND_ABSENCE_TIMEOUT_S, False),
        ):
            site.local.state = state
            site.local.heard_s = site.now() - age_s
            self.assertEqual(expected, status.is_present(site), state)
