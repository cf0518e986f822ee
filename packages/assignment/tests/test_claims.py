"""Tests of waxwinglever_assignment.claims."""

import attrs
import pytest

from waxwinglever_assignment import claims
from waxwinglever_assignment import fleet_view
from waxwinglever_assignment import grant_state
from waxwinglever_assignment import grants
from waxwinglever_assignment import replicas
from waxwinglever_assignment import sessions
from waxwinglever_assignment import tables
from waxwinglever_standins import grant_harness


@pytest.mark.usefixtures("build")
class ClaimsTest(grant_harness.GrantCase):
    """Guards against owners that start again and use earlier fences."""

    def test_range_whose_tokens_are_used_up_is_claimed(self):
        self.patch(tables, "TOKENS_PER_FENCE", 3)
        first = grant_harness.FIRST_FENCE
        for process in (1, 2, 3):
            self.server.process = process
            grants.renew_grants(self.grant_manager)
        self.assertEqual(
            [first + tables.PARTS * index for index in range(3)],
            self.first_tokens(),
        )
        for _ in range(2):
            grants.renew_grants(self.grant_manager)
            self.refresh()
        fence = first + tables.FENCE_STEP
        self.assertEqual(fence, self.table().ranges[0].fence)
        self.assertIn(fence, [token for token, _ in self.server.granted])

    def test_restarted_daemon_grants_under_new_fences(self):
        # It can't know which run of the server got the grants of its previous
        # run, and a late announcement may come from one that has ended.
        member = self.node.session.member
        for number, incarnation in enumerate(("1", "2", "2")):
            self.node.session.member = attrs.evolve(
                member, incarnation=incarnation
            )
            sessions.publish_server(self.node.session, "n1@1")
            sessions.confirm(self.node.session)
            for _ in range(2):
                self.refresh()
                grants.renew_grants(self.grant_manager)
            fence = (
                grant_harness.FIRST_FENCE
                + min(2, number + 1) * tables.FENCE_STEP
            )
            self.assertEqual(fence, self.table().ranges[0].fence)
            self.assertEqual(
                fence, grant_state.held_fence(self.grant_manager, 0)
            )

    def test_restarted_server_gets_new_fences(self):
        grants.renew_grants(self.grant_manager)
        sessions.update_member(self.node.session, instance="n1@2")
        grants.renew_grants(self.grant_manager)
        self.assertIsNone(grant_state.held_fence(self.grant_manager, 100))
        self.refresh()
        grants.renew_grants(self.grant_manager)
        claimed = self.table().ranges[0]
        fence = grant_harness.FIRST_FENCE + tables.FENCE_STEP
        self.assertEqual(("n1@2", fence), (claimed.instance, claimed.fence))
        self.assertEqual(fence, grant_state.held_fence(self.grant_manager, 100))

    def restart_servers(self) -> sessions.Session:
        """Restarts the servers of both nodes; returns the session of n2."""
        other = self.build.node(self.memory_store, self.clock, "n2")
        sessions.update_member(other.session, instance="n2@2")
        sessions.confirm(other.session)
        sessions.update_member(self.node.session, instance="n1@2")
        sessions.confirm(self.node.session)
        self.refresh()
        return other.session

    def test_owner_claims_for_others_that_were_restarted(self):
        # After a power failure, 58 owners that each claimed their own ranges
        # took 4.5 s, as their claims conflicted with each other.
        self.restart_servers()
        grants.renew_grants(self.grant_manager)
        self.assertEqual(
            {"n1": "n1@2", "n2": "n2@2"},
            {item.node: item.instance for item in self.table().ranges},
        )

    def test_owner_claims_for_others_after_a_conflict(self):
        # Copies lag behind the store by some claims, so that claims for others
        # never succeeded at the first attempt.
        self.restart_servers()
        table = self.table()
        changed = table.ranges[-1]
        self.write(
            tables.update_ranges(table, {changed.fence: {"to_node": "n1"}})
        )
        grants.renew_grants(self.grant_manager)
        *others, last = self.table().ranges
        self.assertEqual(
            {"n1": "n1@2", "n2": "n2@2"},
            {item.node: item.instance for item in others},
        )
        self.assertEqual(("n2@1", "n1"), (last.instance, last.to_node))

    def test_claim_by_an_old_copy_undoes_none(self):
        # The entry of n2 in the copy of n1 is older than its last claim.
        other = self.restart_servers()
        sessions.update_member(other, instance="n2@3")
        sessions.confirm(other)
        table = self.table()
        self.write(
            tables.update_ranges(
                table,
                {
                    item.fence: {"instance": "n2@3"}
                    for item in table.ranges
                    if item.node == "n2"
                },
            )
        )
        grants.renew_grants(self.grant_manager)
        self.assertEqual(
            {"n1": "n1@2", "n2": "n2@3"},
            {item.node: item.instance for item in self.table().ranges},
        )

    def test_range_on_its_way_is_not_claimed_by_others(self):
        self.plan_first_move()
        sessions.update_member(self.node.session, instance="n1@2")
        sessions.confirm(self.node.session)
        self.refresh()
        moving = self.table().ranges[0]
        other = self.build.node(self.memory_store, self.clock, "n2")
        sessions.update_member(other.session, instance="n2@2")
        sessions.confirm(other.session)
        replicas.read_prefix(other.replica)
        claims.claim_ranges(
            attrs.evolve(
                self.grant_manager,
                name="n2",
                fleet=other.fleet,
                session=other.session,
            ),
            fleet_view.ownership_table(other.fleet, "dispatch"),
            "n2@2",
        )
        first, *rest = self.table().ranges
        self.assertEqual(moving, first)
        self.assertEqual(
            {"n1": "n1@2", "n2": "n2@2"},
            {item.node: item.instance for item in rest},
        )
