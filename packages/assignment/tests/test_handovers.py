"""Tests of waxwinglever_assignment.handovers."""

import threading
import time
from concurrent import futures

import pytest

from waxwinglever_assignment import fleet_view
from waxwinglever_assignment import grant_state
from waxwinglever_assignment import grants
from waxwinglever_assignment import handovers
from waxwinglever_assignment import sessions
from waxwinglever_assignment import tables
from waxwinglever_model import exceptions
from waxwinglever_standins import grant_harness


@pytest.mark.usefixtures("build")
class HandoversTest(grant_harness.GrantCase):
    """Guards against ranges that are given away while they are held."""

    def test_handover_carries_the_token_and_a_new_fence(self):
        grants.renew_grants(self.grant_manager)
        self.plan_first_move()
        sessions.confirm(self.node.session)
        handovers.hand_over_ranges(self.grant_manager)
        moved = self.table().ranges[0]
        self.assertEqual(("n2", "n2@1"), (moved.node, moved.instance))
        self.assertEqual("token", moved.handover)
        self.assertGreater(moved.fence, 2)
        self.assertIsNone(grant_state.held_fence(self.grant_manager, 100))

    def test_slow_release_does_not_delay_the_others(self):
        # A range without an owner refused thousands of requests while the work
        # on another one went on.
        grants.renew_grants(self.grant_manager)
        self.write(
            tables.update_ranges(
                self.table(),
                {
                    grant_harness.FIRST_FENCE: {"to_node": "n2"},
                    grant_harness.FIRST_FENCE + 1: {"to_node": "n2"},
                },
            )
        )
        self.add_other_member()
        resume = threading.Event()

        def release(item, _):
            if item.fence == grant_harness.FIRST_FENCE:
                resume.wait(5)
            return "token"

        self.grant_manager.grant_calls = grant_state.GrantCalls(
            self.server.is_connected,
            self.server.grant,
            release,
        )
        self.grant_manager.executor = futures.ThreadPoolExecutor(2)
        handing_over = threading.Thread(
            target=handovers.hand_over_ranges, args=[self.grant_manager]
        )
        handing_over.start()
        while self.table().ranges[1].node == "n1" and handing_over.is_alive():
            handing_over.join(0.01)
        owners = [item.node for item in self.table().ranges[:2]]
        resume.set()
        handing_over.join(5)
        self.assertEqual(["n1", "n2"], owners)
        self.assertEqual("n2", self.table().ranges[0].node)

    def test_releases_answered_shortly_after_each_other_share_a_call(self):
        # Each range that was handed over cost a transaction of its own.
        grants.renew_grants(self.grant_manager)
        fences = (grant_harness.FIRST_FENCE, grant_harness.FIRST_FENCE + 1)
        self.write(
            tables.update_ranges(
                self.table(), {fence: {"to_node": "n2"} for fence in fences}
            )
        )
        self.add_other_member()
        self.patch(handovers, "GATHER_S", 5.0)
        first_released = threading.Event()

        def release(item, _):
            if item.fence == grant_harness.FIRST_FENCE:
                first_released.set()
            else:
                first_released.wait(5)
                time.sleep(0.05)
            return "token"

        self.grant_manager.grant_calls = grant_state.GrantCalls(
            self.server.is_connected,
            self.server.grant,
            release,
        )
        self.grant_manager.executor = futures.ThreadPoolExecutor(2)
        self.memory_store.calls.clear()
        handovers.hand_over_ranges(self.grant_manager)
        self.assertEqual(["commit"], self.memory_store.calls)
        owners = [item.node for item in self.table().ranges[:2]]
        self.assertEqual(["n2", "n2"], owners)

    def test_unanswered_release_waits_for_the_end_of_the_grant(self):
        grants.renew_grants(self.grant_manager)
        self.plan_first_move()
        self.server.silent = True
        handovers.hand_over_ranges(self.grant_manager)
        self.assertEqual("n1", self.table().ranges[0].node)
        self.clock.now_s += sessions.TAKEOVER_WAIT_S
        self.reopen_session()
        handovers.hand_over_ranges(self.grant_manager)
        moved = self.table().ranges[0]
        self.assertEqual(("n2", ""), (moved.node, moved.handover))

    def plan_move_of_piece(self) -> int:
        """Splits a piece off the first range and plans its move.

        Returns:
          The fence of the piece, under which nothing was granted.
        """
        table = tables.split_range(
            self.table(), grant_harness.FIRST_FENCE, [1_000]
        )
        fence = tables.range_at(table, 1_000).fence
        self.write(tables.update_ranges(table, {fence: {"to_node": "n2"}}))
        self.add_other_member()
        return fence

    def assert_moves_after(self, shard: int, wait_s: float):
        """Checks that a range whose release is lost moves after a wait only."""
        self.server.silent = True
        handovers.hand_over_ranges(self.grant_manager)
        self.assertEqual("n1", tables.range_at(self.table(), shard).node)
        self.clock.now_s += wait_s
        self.reopen_session()
        handovers.hand_over_ranges(self.grant_manager)
        self.assertEqual("n2", tables.range_at(self.table(), shard).node)

    def test_unanswered_release_of_a_piece_waits_for_the_whole(self):
        # The piece counted as released at once, as nothing was granted under
        # its fence, and its next owner got it beside requests that still ran.
        grants.renew_grants(self.grant_manager)
        self.plan_move_of_piece()
        self.assert_moves_after(1_000, sessions.TAKEOVER_WAIT_S)

    def test_unanswered_release_after_a_restart_waits_for_earlier_grants(self):
        # The server holds what the previous run of the daemon granted.
        self.plan_first_move()
        self.assert_moves_after(0, sessions.TAKEOVER_WAIT_S)

    def test_piece_that_was_granted_again_is_held(self):
        # Its first release was answered, and its move cancelled.
        grants.renew_grants(self.grant_manager)
        fence = self.plan_move_of_piece()
        self.memory_store.down = True
        self.assertRaises(
            exceptions.StoreUnavailable,
            handovers.hand_over_ranges,
            self.grant_manager,
        )
        self.memory_store.down = False
        for node in (tables.NO_OWNER, "n2"):
            self.write(
                tables.update_ranges(self.table(), {fence: {"to_node": node}})
            )
            self.refresh()
            grants.renew_grants(self.grant_manager)
        self.assertEqual([fence], self.server.released)
        self.assertIn(fence, [granted for granted, _ in self.server.granted])
        self.assert_moves_after(1_000, sessions.TAKEOVER_WAIT_S)

    def test_grant_during_a_release_outlasts_its_answer(self):
        # The move was cancelled and the range split while the release ran, and
        # the new piece, which is not part of the release, was granted.
        grants.renew_grants(self.grant_manager)
        self.plan_first_move()

        def split_and_grant():
            table = tables.update_ranges(
                self.table(),
                {grant_harness.FIRST_FENCE: {"to_node": tables.NO_OWNER}},
            )
            self.write(
                tables.split_range(table, grant_harness.FIRST_FENCE, [1_000])
            )
            self.refresh()
            grants.renew_grants(self.grant_manager)

        self.hand_over_beside(split_and_grant)
        for shard, held in ((0, False), (1_000, True)):
            self.assertEqual(
                held, grant_state.may_be_held(self.grant_manager, shard, shard)
            )

    def test_release_whose_connection_breaks_is_sent_again_at_once(self):
        # The range would have no owner until its hold ends.
        grants.renew_grants(self.grant_manager)
        self.plan_first_move()
        calls = []

        def release(item, timeout_s):
            calls.append((item.fence, timeout_s))
            if len(calls) == 1:
                self.clock.now_s += 0.5
                raise exceptions.BackendUnavailable("reset", "none")
            return "token"

        self.grant_manager.grant_calls = grant_state.GrantCalls(
            self.server.is_connected,
            self.server.grant,
            release,
        )
        handovers.hand_over_ranges(self.grant_manager)
        self.assertEqual(
            [
                (grant_harness.FIRST_FENCE, handovers.RELEASE_TIMEOUT_S),
                (grant_harness.FIRST_FENCE, handovers.RELEASE_TIMEOUT_S - 0.5),
            ],
            calls,
        )
        moved = self.table().ranges[0]
        self.assertEqual(("n2", "token"), (moved.node, moved.handover))

    def test_drain_waits_for_a_piece_that_may_be_held(self):
        grants.renew_grants(self.grant_manager)
        self.write(
            tables.update_ranges(
                self.table(),
                {
                    item.fence: {"node": "n2", "instance": "n2@1"}
                    for item in self.table().ranges[1:]
                },
            )
        )
        self.plan_move_of_piece()
        self.server.silent = True
        handovers.hand_over_ranges(self.grant_manager)
        self.assertTrue(grant_state.holds_owned_ranges(self.grant_manager))
        self.server.silent = False
        handovers.hand_over_ranges(self.grant_manager)
        self.write(
            tables.update_ranges(
                self.table(), {grant_harness.FIRST_FENCE: {"to_node": "n2"}}
            )
        )
        self.refresh()
        handovers.hand_over_ranges(self.grant_manager)
        self.refresh()
        self.assertFalse(grant_state.holds_owned_ranges(self.grant_manager))

    def test_nothing_is_released_while_the_store_is_unavailable(self):
        grants.renew_grants(self.grant_manager)
        self.plan_first_move()
        self.clock.now_s += handovers.MAX_CONFIRMATION_AGE_S + 0.1
        handovers.hand_over_ranges(self.grant_manager)
        self.assertEqual([], self.server.released)

    def test_restarted_daemon_waits_for_grants_of_its_previous_run(self):
        # It has no record of them, and its server has not announced itself yet.
        self.plan_first_move()
        sessions.update_member(
            self.node.session, state=fleet_view.STARTING, instance=""
        )
        handovers.hand_over_ranges(self.grant_manager)
        self.assertEqual("n1", self.table().ranges[0].node)
        self.clock.now_s += sessions.TAKEOVER_WAIT_S
        self.reopen_session()
        handovers.hand_over_ranges(self.grant_manager)
        self.assertEqual("n2", self.table().ranges[0].node)

    def test_release_waits_for_renewals_in_progress(self):
        # A renewal that arrives after the release would be in force at the
        # same time as the next owner's grant.
        grants.renew_grants(self.grant_manager)
        self.advance_to_renewal()
        calls = []
        began = threading.Event()
        resume = threading.Event()

        def grant(*_):
            began.set()
            resume.wait(5)
            calls.append("grant")

        def release(*_):
            calls.append("release")
            return "token"

        self.grant_manager.grant_calls = grant_state.GrantCalls(
            self.server.is_connected, grant, release
        )
        renewing = threading.Thread(
            target=grants.renew_grants, args=[self.grant_manager]
        )
        renewing.start()
        began.wait(5)
        self.plan_first_move()
        moving = threading.Thread(
            target=handovers.hand_over_ranges, args=[self.grant_manager]
        )
        moving.start()
        moving.join(0.2)
        self.assertEqual([], calls)
        resume.set()
        renewing.join(5)
        moving.join(5)
        self.assertEqual(["grant"] * 4 + ["release"], calls)

    def cancel_first_move(self):
        """Cancels the planned move, and lets the node see and act on it."""
        self.write(
            tables.update_ranges(
                self.table(),
                {grant_harness.FIRST_FENCE: {"to_node": tables.NO_OWNER}},
            )
        )
        self.refresh()
        grants.renew_grants(self.grant_manager)

    def hand_over_beside(self, during_release) -> None:
        """Hands over the first range; calls a function during its release."""
        release = self.server.release

        def release_beside(*args):
            token = release(*args)
            during_release()
            return token

        self.grant_manager.grant_calls = grant_state.GrantCalls(
            self.server.is_connected,
            self.server.grant,
            release_beside,
        )
        handovers.hand_over_ranges(self.grant_manager)

    def test_range_is_not_granted_again_while_its_release_is_used(self):
        # The move was cancelled and planned again while other ranges of the
        # batch were released. The range was granted and got requests between,
        # and then went to its next owner with the token of the first release.
        grants.renew_grants(self.grant_manager)
        self.add_other_member()
        self.plan_first_move()
        held = []

        def cancel_and_plan_again():
            self.cancel_first_move()
            held.append(grant_state.held_fence(self.grant_manager, 0))
            self.plan_first_move()

        self.hand_over_beside(cancel_and_plan_again)
        self.assertEqual([grant_harness.FIRST_FENCE], self.server.released)
        self.assertEqual([None], held)
        self.refresh()
        self.assertEqual("n2", tables.range_at(self.table(), 0).node)

    def test_range_whose_move_stays_cancelled_is_granted_again(self):
        grants.renew_grants(self.grant_manager)
        self.add_other_member()
        self.plan_first_move()
        self.server.granted.clear()
        self.hand_over_beside(self.cancel_first_move)
        self.refresh()
        grants.renew_grants(self.grant_manager)
        self.assertIn(
            grant_harness.FIRST_FENCE, [f for f, _ in self.server.granted]
        )
        self.assertEqual("n1", tables.range_at(self.table(), 0).node)

    def test_range_that_was_handed_over_is_not_granted_by_an_old_copy(self):
        # The copy may still show the cancelled move, from before the handover.
        grants.renew_grants(self.grant_manager)
        self.add_other_member()
        self.plan_first_move()
        key = fleet_view.part_key("dispatch", tables.part_of(0))
        cancelled = []

        def cancel_and_plan_again():
            for node in (tables.NO_OWNER, "n2"):
                self.write(
                    tables.update_ranges(
                        self.table(),
                        {grant_harness.FIRST_FENCE: {"to_node": node}},
                    )
                )
                cancelled.append(self.memory_store.items[key])

        self.hand_over_beside(cancel_and_plan_again)
        self.assertEqual("n2", tables.range_at(self.table(), 0).node)
        replica = self.node.replica
        replica.items = {**replica.items, key: cancelled[0]}
        replica.revision += 1
        self.server.granted.clear()
        grants.renew_grants(self.grant_manager)
        self.assertNotIn(
            grant_harness.FIRST_FENCE, [f for f, _ in self.server.granted]
        )
        self.assertIsNone(grant_state.held_fence(self.grant_manager, 0))

    def test_moving_piece_of_a_split_range_is_not_held(self):
        grants.renew_grants(self.grant_manager)
        table = tables.split_range(
            self.table(), grant_harness.FIRST_FENCE, [1_000]
        )
        fence = tables.range_at(table, 1_000).fence
        self.write(tables.update_ranges(table, {fence: {"to_node": "n2"}}))
        self.add_other_member()
        handovers.hand_over_ranges(self.grant_manager)
        self.assertIsNone(grant_state.held_fence(self.grant_manager, 1_000))
        self.assertEqual(
            grant_harness.FIRST_FENCE,
            grant_state.held_fence(self.grant_manager, 999),
        )

    def test_range_with_an_unanswered_grant_is_not_reassigned(self):
        grants.renew_grants(self.grant_manager)
        self.advance_to_renewal()
        self.server.silent = True
        grants.renew_grants(self.grant_manager)
        self.server.silent = False
        self.plan_first_move()
        handovers.hand_over_ranges(self.grant_manager)
        self.assertEqual("n1", self.table().ranges[0].node)
