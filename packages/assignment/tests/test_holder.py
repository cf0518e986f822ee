"""Tests of waxwinglever_assignment.holder."""

import threading
import types

import attrs
import pytest
import testtools

from waxwinglever_assignment import commits
from waxwinglever_assignment import fleet as fleets
from waxwinglever_assignment import holder as holders
from waxwinglever_assignment import replicas
from waxwinglever_assignment import sessions
from waxwinglever_assignment import tables
from waxwinglever_model import exceptions
from waxwinglever_standins import leased_memory

INLINE = types.SimpleNamespace(map=map)
# Fence of the first range of a new table.
FIRST = tables.PARTS


@attrs.define(eq=False)
class Server:
    """Records the orders that a backend server gets."""

    granted: list[tuple[int, float]] = attrs.field(factory=list)
    released: list[int] = attrs.field(factory=list)
    silent: bool = False

    def grant(self, item, hold_s, _):
        self.granted.append((item.fence, hold_s))
        if self.silent:
            raise exceptions.BackendUnavailable("no answer", "none")

    def release(self, item, _):
        self.released.append(item.fence)
        if self.silent:
            raise exceptions.BackendUnavailable("no answer", "none")
        return "token"


@pytest.mark.usefixtures("build")
class HolderTest(testtools.TestCase):
    """Guards against grants that outlive the right to make them."""

    # Set by the fixture.
    build: types.SimpleNamespace = types.SimpleNamespace()

    def setUp(self):
        super().setUp()
        self.clock = self.build.Clock()
        self.memory = leased_memory.Memory(now=self.clock)
        self.node = self.build.node(self.memory, self.clock, "n1")
        self.server = Server()
        self.holder = holders.Holder(
            "n1",
            "dispatch",
            self.node.fleet,
            self.node.session,
            self.node.session.store,
            holders.Orders(self.server.grant, self.server.release),
            self.build.ignore,
            now=self.clock,
            callers=INLINE,
        )
        self.write(
            tables.deal(
                "dispatch", [("n1", "n1@1", 32_768), ("n2", "n2@1", 32_768)]
            )
        )
        sessions.confirm(self.node.session)
        self.see()

    def write(self, table):
        store = leased_memory.connect(self.memory)
        if all(table.versions):
            commits.commit(store, self.table(), table)
        else:
            commits.create(store, table)

    def see(self):
        replicas.load(self.node.replica)

    def table(self):
        items = [
            self.memory.items[fleets.part_key("dispatch", part)]
            for part in range(tables.PARTS)
        ]
        return tables.join(
            "dispatch",
            [tables.decode(item.value) for item in items],
            [item.version for item in items],
        )

    def move_first(self):
        table = tables.replace(self.table(), {FIRST: {"to_node": "n2"}})
        self.write(table)
        self.confirm_other()

    def confirm_other(self):
        """Gives the other node an entry, whose lease ends within seconds."""
        other = self.build.node(self.memory, self.clock, "n2")
        sessions.confirm(other.session)
        self.see()

    def start_session(self):
        """Opens a session after the last one has ended."""
        sessions.forget(self.node.session)
        sessions.confirm(self.node.session)
        self.confirm_other()

    def let_holds_run_low(self):
        """Lets time pass until the holds are due for renewal."""
        self.clock.now_s += sessions.VALID_S - holders.RENEW_BELOW_S
        sessions.confirm(self.node.session)

    def test_hold_is_renewed_before_it_runs_low(self):
        # Each renewal is a call to the backend server.
        holders.renew(self.holder)
        count = len(self.server.granted)
        holders.renew(self.holder)
        self.assertEqual(count, len(self.server.granted))
        self.let_holds_run_low()
        holders.renew(self.holder)
        self.assertEqual(2 * count, len(self.server.granted))

    def test_only_own_ranges_are_granted(self):
        holders.renew(self.holder)
        # n1 owns the first half, so one range in each of four parts.
        self.assertEqual(
            [FIRST + part for part in range(4)],
            [fence for fence, _ in self.server.granted],
        )
        self.assertEqual(FIRST, holders.fence_for(self.holder, 100))
        self.assertIsNone(holders.fence_for(self.holder, 40_000))

    def test_grant_ends_with_the_session(self):
        self.clock.now_s += 0.8
        holders.renew(self.holder)
        hold_s = self.server.granted[0][1]
        slow_end_s = self.clock.now_s + hold_s * holders.CLOCK_FACTOR
        self.assertLessEqual(
            slow_end_s, sessions.valid_until_s(self.node.session)
        )

    def test_nothing_is_granted_without_a_valid_session(self):
        self.clock.now_s += sessions.VALID_S
        holders.renew(self.holder)
        self.assertEqual([], self.server.granted)

    def test_nothing_is_granted_on_a_record_from_before_the_session(self):
        self.node.session.min_record_version = self.node.replica.version + 1
        holders.renew(self.holder)
        self.assertEqual([], self.server.granted)

    def test_unanswered_grant_serves_nobody(self):
        self.server.silent = True
        holders.renew(self.holder)
        self.assertIsNone(holders.fence_for(self.holder, 100))

    def test_held_shards_are_served_until_the_hold_ends(self):
        holders.renew(self.holder)
        self.clock.now_s += self.server.granted[0][1] + 0.01
        self.assertIsNone(holders.fence_for(self.holder, 100))

    def test_handover_carries_the_token_and_a_new_fence(self):
        holders.renew(self.holder)
        self.move_first()
        sessions.confirm(self.node.session)
        holders.hand_over(self.holder)
        moved = self.table().ranges[0]
        self.assertEqual(("n2", "n2@1"), (moved.node, moved.instance))
        self.assertEqual("token", moved.handover)
        self.assertGreater(moved.fence, 2)
        self.assertIsNone(holders.fence_for(self.holder, 100))

    def test_unanswered_release_waits_for_the_end_of_the_grant(self):
        holders.renew(self.holder)
        self.move_first()
        self.server.silent = True
        holders.hand_over(self.holder)
        self.assertEqual("n1", self.table().ranges[0].node)
        self.clock.now_s += sessions.VALID_S + holders.margin_s()
        self.start_session()
        holders.hand_over(self.holder)
        moved = self.table().ranges[0]
        self.assertEqual(("n2", ""), (moved.node, moved.handover))

    def test_nothing_is_released_while_the_store_is_away(self):
        holders.renew(self.holder)
        self.move_first()
        self.clock.now_s += holders.IN_TOUCH_S + 0.1
        holders.hand_over(self.holder)
        self.assertEqual([], self.server.released)

    def test_new_daemon_waits_for_grants_of_its_earlier_life(self):
        # It does not know them, and its server has not announced itself.
        self.move_first()
        sessions.announce(self.node.session, state=fleets.STARTING, instance="")
        holders.hand_over(self.holder)
        self.assertEqual("n1", self.table().ranges[0].node)
        self.clock.now_s += sessions.TAKEOVER_WAIT_S
        self.start_session()
        holders.hand_over(self.holder)
        self.assertEqual("n2", self.table().ranges[0].node)

    def test_new_life_of_the_server_takes_new_fences(self):
        holders.renew(self.holder)
        sessions.announce(self.node.session, instance="n1@2")
        holders.renew(self.holder)
        self.assertIsNone(holders.fence_for(self.holder, 100))
        self.see()
        holders.renew(self.holder)
        claimed = self.table().ranges[0]
        fence = FIRST + tables.PARTS
        self.assertEqual(("n1@2", fence), (claimed.instance, claimed.fence))
        self.assertEqual(fence, holders.fence_for(self.holder, 100))

    def test_release_waits_for_renewals_on_their_way(self):
        # A renewal that arrives after the release would be in force beside
        # the next owner's grant.
        holders.renew(self.holder)
        self.let_holds_run_low()
        order = []
        began = threading.Event()
        go_on = threading.Event()

        def grant(*_):
            began.set()
            go_on.wait(5)
            order.append("grant")

        def release(*_):
            order.append("release")
            return "token"

        self.holder.orders = holders.Orders(grant, release)
        renewing = threading.Thread(target=holders.renew, args=[self.holder])
        renewing.start()
        began.wait(5)
        self.move_first()
        moving = threading.Thread(target=holders.hand_over, args=[self.holder])
        moving.start()
        moving.join(0.2)
        self.assertEqual([], order)
        go_on.set()
        renewing.join(5)
        moving.join(5)
        self.assertEqual(["grant"] * 4 + ["release"], order)

    def test_cut_range_is_not_served_where_it_moves(self):
        holders.renew(self.holder)
        table = tables.split(self.table(), FIRST, [1_000])
        fence = tables.range_of(table, 1_000).fence
        self.write(tables.replace(table, {fence: {"to_node": "n2"}}))
        self.confirm_other()
        holders.hand_over(self.holder)
        self.assertIsNone(holders.fence_for(self.holder, 1_000))
        self.assertEqual(FIRST, holders.fence_for(self.holder, 999))

    def test_range_with_an_unanswered_grant_is_not_passed_on(self):
        holders.renew(self.holder)
        self.let_holds_run_low()
        self.server.silent = True
        holders.renew(self.holder)
        self.server.silent = False
        self.move_first()
        holders.hand_over(self.holder)
        self.assertEqual("n1", self.table().ranges[0].node)
