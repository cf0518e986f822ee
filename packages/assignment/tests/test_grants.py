"""Tests of waxwinglever_assignment.grants."""

import threading
import time
import types
from concurrent import futures

import attrs
import pytest
import testtools

from waxwinglever_assignment import commits
from waxwinglever_assignment import fleet_view
from waxwinglever_assignment import claims
from waxwinglever_assignment import grant_state
from waxwinglever_assignment import grants
from waxwinglever_assignment import handovers
from waxwinglever_assignment import promises
from waxwinglever_assignment import replicas
from waxwinglever_assignment import sessions
from waxwinglever_assignment import tables
from waxwinglever_model import exceptions
from waxwinglever_standins import inline_executor
from waxwinglever_standins import memory_leased_store

# Runs the calls in the calling thread.
INLINE_EXECUTOR = inline_executor.InlineExecutor()
# Fence of the first range of an initial table.
FIRST_FENCE = tables.FENCES_PER_ERA


@attrs.define(eq=False)
class Server:
    """Records the calls that a backend server gets.

    Attributes:
      granted: Fence and seconds of each grant.
      released: Fence of each release.
      silent: Whether calls fail as if they were not answered.
      process: Number of the process that connections reach.
    """

    granted: list[tuple[int, float]] = attrs.field(factory=list)
    released: list[int] = attrs.field(factory=list)
    silent: bool = False
    process: int = 1

    def connect(self):
        return self.process

    def add_connection(self, _):
        pass

    def grant(self, item, hold_s, *_):
        self.granted.append((item.fence, hold_s))
        if self.silent:
            raise exceptions.BackendUnavailable("no answer", "none")

    def release(self, item, _):
        self.released.append(item.fence)
        if self.silent:
            raise exceptions.BackendUnavailable("no answer", "none")
        return "token"


@pytest.mark.usefixtures("build")
class GrantsTest(testtools.TestCase):
    """Guards against shards that are granted by two nodes at the same time."""

    # Set by the fixture.
    build: types.SimpleNamespace = types.SimpleNamespace()

    def setUp(self):
        super().setUp()
        self.clock, self.memory_store = self.build.make_store()
        self.node = self.build.node(self.memory_store, self.clock, "n1")
        self.server = Server()
        self.grant_manager = grant_state.GrantManager(
            "n1",
            "dispatch",
            self.node.fleet,
            self.node.session,
            self.node.session.store,
            grant_state.GrantCalls(
                self.server.connect,
                self.server.add_connection,
                self.server.grant,
                self.server.release,
            ),
            self.build.ignore,
            now=self.clock,
            executor=INLINE_EXECUTOR,
        )
        self.write(
            tables.initial_table(
                "dispatch",
                [("n1", "n1@1", 32_768), ("n2", "n2@1", 32_768)],
                era=self.memory_store.era,
            )
        )
        sessions.confirm(self.node.session)
        self.refresh()

    def write(self, table):
        store = memory_leased_store.connect(self.memory_store)
        if all(table.versions):
            commits.commit(store, self.table(), table)
        else:
            commits.create(store, table)

    def refresh(self):
        replicas.read_prefix(self.node.replica)

    def table(self):
        items = [
            self.memory_store.items[fleet_view.part_key("dispatch", part)]
            for part in range(tables.PARTS)
        ]
        return tables.assemble_table(
            "dispatch",
            [tables.decode(item.value) for item in items],
            [item.version for item in items],
            self.memory_store.era,
        )

    def plan_first_move(self):
        table = tables.update_ranges(
            self.table(), {FIRST_FENCE: {"to_node": "n2"}}
        )
        self.write(table)
        self.add_other_member()

    def add_other_member(self):
        """Adds an entry of n2, whose lease expires within seconds."""
        other = self.build.node(self.memory_store, self.clock, "n2")
        sessions.confirm(other.session)
        self.refresh()

    def reopen_session(self):
        """Opens new sessions of both nodes."""
        sessions.reset_lease(self.node.session)
        sessions.confirm(self.node.session)
        self.add_other_member()

    def advance_to_renewal(self):
        """Moves the clock to the next renewal and confirms the session."""
        self.clock.now_s += sessions.CONFIRMATION_VALID_S - grants.RENEW_BELOW_S
        sessions.confirm(self.node.session)

    def test_grant_is_renewed_only_when_little_time_is_left(self):
        # Renewing at every check would call the backend server needlessly.
        grants.renew_grants(self.grant_manager)
        count = len(self.server.granted)
        grants.renew_grants(self.grant_manager)
        self.assertEqual(count, len(self.server.granted))
        self.advance_to_renewal()
        grants.renew_grants(self.grant_manager)
        self.assertEqual(2 * count, len(self.server.granted))

    def first_tokens(self) -> list[int]:
        """Returns the tokens under which the first range was granted."""
        step = tables.FENCE_STEP
        return [
            token
            for token, _ in self.server.granted
            if token // step == FIRST_FENCE // step and not token % tables.PARTS
        ]

    def test_other_process_gets_higher_tokens_at_once(self):
        # A backend server that had crashed and was not heard yet got the grants
        # of the run before, under the same tokens.
        grants.renew_grants(self.grant_manager)
        self.server.process = 2
        for _ in range(2):
            grants.renew_grants(self.grant_manager)
        token = FIRST_FENCE + tables.PARTS
        self.assertEqual([FIRST_FENCE, token], self.first_tokens())
        self.plan_first_move()
        handovers.hand_over_ranges(self.grant_manager)
        self.assertEqual([token], self.server.released)
        moved = self.table().ranges[0]
        self.assertGreater(
            moved.fence,
            FIRST_FENCE + tables.PARTS * (tables.TOKENS_PER_FENCE - 1),
        )

    def test_unanswered_grant_counts_for_the_process_that_may_have_it(self):
        self.server.silent = True
        grants.renew_grants(self.grant_manager)
        self.server.silent = False
        self.server.process = 2
        grants.renew_grants(self.grant_manager)
        self.assertEqual(
            [FIRST_FENCE, FIRST_FENCE + tables.PARTS], self.first_tokens()
        )

    def test_range_whose_tokens_are_used_up_is_claimed(self):
        grants.renew_grants(self.grant_manager)
        self.server.process = tables.TOKENS_PER_FENCE
        grants.renew_grants(self.grant_manager)
        self.server.process += 1
        for _ in range(2):
            grants.renew_grants(self.grant_manager)
            self.refresh()
        last = FIRST_FENCE + tables.PARTS * (tables.TOKENS_PER_FENCE - 1)
        self.assertEqual([FIRST_FENCE, last], self.first_tokens())
        fence = FIRST_FENCE + tables.FENCE_STEP
        self.assertEqual(fence, self.table().ranges[0].fence)
        self.assertIn(fence, [token for token, _ in self.server.granted])

    def test_grant_without_a_connection_is_not_held(self):
        def grant(*_):
            raise grant_state.NotSent("no connection", "none")

        self.grant_manager.hold_book.holds.clear()
        self.grant_manager.grant_calls = grant_state.GrantCalls(
            self.server.connect,
            self.server.add_connection,
            grant,
            self.server.release,
        )
        grants.renew_grants(self.grant_manager)
        self.assertFalse(
            grant_state.may_be_held(self.grant_manager, 0, tables.LAST_SHARD)
        )

    def test_nothing_is_granted_while_nobody_listens(self):
        def connect():
            raise exceptions.BackendUnavailable("refused", "none")

        self.grant_manager.grant_calls = grant_state.GrantCalls(
            connect,
            self.server.add_connection,
            self.server.grant,
            self.server.release,
        )
        grants.renew_grants(self.grant_manager)
        self.assertEqual([], self.server.granted)

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
            fence = FIRST_FENCE + min(2, number + 1) * tables.FENCE_STEP
            self.assertEqual(fence, self.table().ranges[0].fence)
            self.assertEqual(
                fence, grant_state.held_fence(self.grant_manager, 0)
            )

    def test_only_own_ranges_are_granted(self):
        grants.renew_grants(self.grant_manager)
        # n1 owns the first half: one range in each of four parts.
        self.assertEqual(
            [FIRST_FENCE + part for part in range(4)],
            [fence for fence, _ in self.server.granted],
        )
        self.assertEqual(
            FIRST_FENCE, grant_state.held_fence(self.grant_manager, 100)
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
                    FIRST_FENCE: {"to_node": "n2"},
                    FIRST_FENCE + 1: {"to_node": "n2"},
                },
            )
        )
        self.add_other_member()
        resume = threading.Event()

        def release(item, _):
            if item.fence == FIRST_FENCE:
                resume.wait(5)
            return "token"

        self.grant_manager.grant_calls = grant_state.GrantCalls(
            self.server.connect,
            self.server.add_connection,
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
        fences = (FIRST_FENCE, FIRST_FENCE + 1)
        self.write(
            tables.update_ranges(
                self.table(), {fence: {"to_node": "n2"} for fence in fences}
            )
        )
        self.add_other_member()
        self.patch(handovers, "GATHER_S", 5.0)
        first_released = threading.Event()

        def release(item, _):
            if item.fence == FIRST_FENCE:
                first_released.set()
            else:
                first_released.wait(5)
                time.sleep(0.05)
            return "token"

        self.grant_manager.grant_calls = grant_state.GrantCalls(
            self.server.connect,
            self.server.add_connection,
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
        table = tables.split_range(self.table(), FIRST_FENCE, [1_000])
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
                self.table(), {FIRST_FENCE: {"to_node": tables.NO_OWNER}}
            )
            self.write(tables.split_range(table, FIRST_FENCE, [1_000]))
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
            self.server.connect,
            self.server.add_connection,
            self.server.grant,
            release,
        )
        handovers.hand_over_ranges(self.grant_manager)
        self.assertEqual(
            [
                (FIRST_FENCE, handovers.RELEASE_TIMEOUT_S),
                (FIRST_FENCE, handovers.RELEASE_TIMEOUT_S - 0.5),
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
            tables.update_ranges(self.table(), {FIRST_FENCE: {"to_node": "n2"}})
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

    def test_restarted_server_gets_new_fences(self):
        grants.renew_grants(self.grant_manager)
        sessions.update_member(self.node.session, instance="n1@2")
        grants.renew_grants(self.grant_manager)
        self.assertIsNone(grant_state.held_fence(self.grant_manager, 100))
        self.refresh()
        grants.renew_grants(self.grant_manager)
        claimed = self.table().ranges[0]
        fence = FIRST_FENCE + tables.FENCE_STEP
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
            self.server.connect, self.server.add_connection, grant, release
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
                self.table(), {FIRST_FENCE: {"to_node": tables.NO_OWNER}}
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
            self.server.connect,
            self.server.add_connection,
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
        self.assertEqual([FIRST_FENCE], self.server.released)
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
        self.assertIn(FIRST_FENCE, [f for f, _ in self.server.granted])
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
                        self.table(), {FIRST_FENCE: {"to_node": node}}
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
        self.assertNotIn(FIRST_FENCE, [f for f, _ in self.server.granted])
        self.assertIsNone(grant_state.held_fence(self.grant_manager, 0))

    def test_moving_piece_of_a_split_range_is_not_held(self):
        grants.renew_grants(self.grant_manager)
        table = tables.split_range(self.table(), FIRST_FENCE, [1_000])
        fence = tables.range_at(table, 1_000).fence
        self.write(tables.update_ranges(table, {fence: {"to_node": "n2"}}))
        self.add_other_member()
        handovers.hand_over_ranges(self.grant_manager)
        self.assertIsNone(grant_state.held_fence(self.grant_manager, 1_000))
        self.assertEqual(
            FIRST_FENCE, grant_state.held_fence(self.grant_manager, 999)
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
        self.assertNotIn(FIRST_FENCE, [f for f, _ in self.server.granted])

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
        self.assertNotIn(FIRST_FENCE, [f for f, _ in self.server.granted])
        held = grant_state.ranges_held_since_restore(self.grant_manager)
        self.assertNotIn(FIRST_FENCE, [item.fence for item in held])
