"""Tests of waxwinglever_relay.notices."""

import attrs
import testtools

from waxwinglever_assignment import fleet_view
from waxwinglever_relay import messages
from waxwinglever_relay import notices


class LeavingNodesTest(testtools.TestCase):
    """Guards against requests to a backend server that leaves."""

    def test_notice_counts_for_the_run_that_gave_it(self):
        member = fleet_view.Member(
            "n1", "1", "127.0.0.1:1", "a", "ledger", state=fleet_view.READY
        )
        known = {}
        notices.record(known, "n1", messages.ServerNotice("i1@5", leaving=True))
        for boot_id, expected in (("i1@5", ["n1"]), ("i1@6", [])):
            run = attrs.evolve(member, instance=fleet_view.run_id(boot_id, "1"))
            candidates = fleet_view.find_candidates(
                [run], "ledger", frozenset()
            )
            self.assertEqual(
                expected, notices.leaving_nodes(known, candidates), boot_id
            )
