"""Tests of waxwinglever_assignment.grants."""

import pytest

from waxwinglever_assignment import grant_state
from waxwinglever_assignment import grants
from waxwinglever_assignment import handovers
from waxwinglever_assignment import promises
from waxwinglever_assignment import sessions
from waxwinglever_assignment import tables
from waxwinglever_model import exceptions
from waxwinglever_standins import grant_harness
from waxwinglever_standins import memory_leased_store


@pytest.mark.usefixtures("build")
class GrantsTest(grant_harness.GrantCase):
    """Guards against shards that are granted by two nodes at the same time."""

    def test_grant_is_renewed_only_when_little_time_is_left(self):
        # Renewing at every check would call the backend server needlessly.
        grants.renew_grants(self.grant_manager)
        count = len(self.server.granted)
        grants.renew_grants(self.grant_manager)
        self.assertEqual(count, len(self.server.granted))
        self.advance_to_renewal()
        grants.renew_grants(self.grant_manager)
        self.assertEqual(2 * count, len(self.server.granted))

    def test_other_process_gets_higher_tokens_at_once(self):
        # A backend server that had crashed and was not heard yet got the grants
        # of the run before, under the same tokens.
        grants.renew_grants(self.grant_manager)
        self.server.process = 2
        for _ in range(2):
            grants.renew_grants(self.grant_manager)
        token = grant_harness.FIRST_FENCE + tables.PARTS
        self.assertEqual(
            [grant_harness.FIRST_FENCE, token], self.first_tokens()
        )
        self.plan_first_move()
        handovers.hand_over_ranges(self.grant_manager)
        self.assertEqual([token], self.server.released)
        moved = self.table().ranges[0]
        self.assertGreater(
            moved.fence,
            grant_harness.FIRST_FENCE
            + tables.PARTS * (tables.TOKENS_PER_FENCE - 1),
        )

    def test_unanswered_grant_counts_for_the_process_that_may_have_it(self):
        self.server.silent = True
        grants.renew_grants(self.grant_manager)
        self.server.silent = False
        self.server.process = 2
        grants.renew_grants(self.grant_manager)
        self.assertEqual(
            [
                grant_harness.FIRST_FENCE,
                grant_harness.FIRST_FENCE + tables.PARTS,
            ],
            self.first_tokens(),
        )

    def test_grant_without_a_connection_is_not_held(self):
        def grant(*_):
            raise grant_state.NotSent("no connection", "none")

        self.grant_manager.hold_book.holds.clear()
        self.grant_manager.grant_calls = grant_state.GrantCalls(
            self.server.is_connected,
            grant,
            self.server.release,
        )
        grants.renew_grants(self.grant_manager)
        self.assertFalse(
            grant_state.may_be_held(self.grant_manager, 0, tables.LAST_SHARD)
        )

    def test_only_own_ranges_are_granted(self):
        grants.renew_grants(self.grant_manager)
        # n1 owns the first half: one range in each of four parts.
        self.assertEqual(
            [grant_harness.FIRST_FENCE + part for part in range(4)],
            [fence for fence, _ in self.server.granted],
        )
        self.assertEqual(
            grant_harness.FIRST_FENCE,
            grant_state.held_fence(self.grant_manager, 100),
        )
        self.assertIsNone(grant_state.held_fence(self.grant_manager, 40_000))

    def test_grant_ends_with_the_session(self):
        self.clock.now_s += 0.8
        grants.renew_grants(self.grant_manager)
        hold_s = self.server.granted[0][1]
        slow_end_s = self.clock.now_s + hold_s * grants.CLOCK_FACTOR
        self.assertLessEqual(
            slow_end_s, sessions.valid_until_s(self.node.session)
        )

    def test_nothing_is_granted_without_a_valid_session(self):
        self.clock.now_s += sessions.CONFIRMATION_VALID_S
        grants.renew_grants(self.grant_manager)
        self.assertEqual([], self.server.granted)

    def test_nothing_is_granted_on_a_record_from_before_the_session(self):
        self.node.session.min_record_version = self.node.replica.version + 1
        grants.renew_grants(self.grant_manager)
        self.assertEqual([], self.server.granted)

    def test_unanswered_grant_does_not_count_as_held(self):
        self.server.silent = True
        grants.renew_grants(self.grant_manager)
        self.assertIsNone(grant_state.held_fence(self.grant_manager, 100))

    def test_shard_is_not_held_after_the_end_of_its_grant(self):
        grants.renew_grants(self.grant_manager)
        self.clock.now_s += self.server.granted[0][1] + 0.01
        self.assertIsNone(grant_state.held_fence(self.grant_manager, 100))

    def restore(self, copy):
        """Restores the store from a copy; the node notices it."""
        memory_leased_store.restore_store(self.memory_store, copy)
        self.refresh()
        sessions.forget_lease(self.node.session)
        sessions.confirm(self.node.session)
        self.refresh()

    def move(self, shard, node):
        """Writes another owner of the range that contains a shard."""
        fence = tables.range_at(self.table(), shard).fence
        self.write(
            tables.update_ranges(
                self.table(), {fence: {"node": node, "instance": f"{node}@1"}}
            )
        )
        self.refresh()

    def test_range_that_was_handed_over_is_not_granted_after_a_restore(self):
        # The restored table still names this node.
        grants.renew_grants(self.grant_manager)
        copy = memory_leased_store.copy_store(self.memory_store)
        self.move(100, "n2")
        grants.renew_grants(self.grant_manager)
        self.server.granted.clear()
        self.restore(copy)
        self.assertEqual("n1", tables.range_at(self.table(), 100).node)
        self.advance_to_renewal()
        grants.renew_grants(self.grant_manager)
        self.assertIsNone(grant_state.held_fence(self.grant_manager, 100))
        self.assertNotIn(
            grant_harness.FIRST_FENCE, [f for f, _ in self.server.granted]
        )

    def test_range_whose_record_was_lost_is_renewed_after_a_restore(self):
        # The restored table names the node that handed the range over.
        copy = memory_leased_store.copy_store(self.memory_store)
        self.move(40_000, "n1")
        grants.renew_grants(self.grant_manager)
        fence = grant_state.held_fence(self.grant_manager, 40_000)
        self.restore(copy)
        self.assertEqual("n2", tables.range_at(self.table(), 40_000).node)
        self.advance_to_renewal()
        self.server.granted.clear()
        grants.renew_grants(self.grant_manager)
        self.assertIn(fence, [granted for granted, _ in self.server.granted])
        self.assertEqual(
            fence, grant_state.held_fence(self.grant_manager, 40_000)
        )
        held = grant_state.ranges_held_since_restore(self.grant_manager)
        self.assertIn(fence, [item.fence for item in held])

    def test_range_without_a_record_is_given_up_before_others_get_it(self):
        grants.renew_grants(self.grant_manager)
        self.restore(memory_leased_store.copy_store(self.memory_store))
        session = self.node.session
        end_s = session.confirmations[1] + promises.EXTENSION_S
        while self.clock.now_s < end_s:
            self.clock.now_s += 0.5
            sessions.confirm(session)
            grants.renew_grants(self.grant_manager)
        self.assertIsNone(grant_state.held_fence(self.grant_manager, 100))
        latest_s = max(self.grant_manager.grant_end_s.values(), default=0.0)
        self.assertLessEqual(latest_s, end_s)

    def test_range_being_released_is_not_granted_again_after_a_restore(self):
        # Its next owner may have it already; the restored table does not show
        # the move.
        grants.renew_grants(self.grant_manager)
        copy = memory_leased_store.copy_store(self.memory_store)
        self.plan_first_move()
        self.memory_store.lose_commit_answers = True
        self.assertRaises(
            exceptions.StoreUnavailable,
            handovers.hand_over_ranges,
            self.grant_manager,
        )
        self.memory_store.lose_commit_answers = False
        self.restore(copy)
        self.advance_to_renewal()
        self.server.granted.clear()
        grants.renew_grants(self.grant_manager)
        self.assertNotIn(
            grant_harness.FIRST_FENCE, [f for f, _ in self.server.granted]
        )
        held = grant_state.ranges_held_since_restore(self.grant_manager)
        self.assertNotIn(
            grant_harness.FIRST_FENCE, [item.fence for item in held]
        )
