"""Tests of waxwinglever_ownership.changes."""

import typing

import attrs
import testtools

from waxwinglever_model import limits
from waxwinglever_ownership import changes
from waxwinglever_ownership import leadership

KEYED = changes.Rules(keyed=True, max_moves=0)


class ReassignmentTest(testtools.TestCase):
    """Guards against slices that move too early, or never (R7, R9)."""

    make: typing.Any = None

    def owner_after(self, cell, rules=KEYED):
        """Returns the owner of slice 1 after a plan, '' while none is made."""
        record = changes.plan_change(cell.leader, rules, cell.now)
        if record is None:
            return ""
        leadership.confirm_change(cell.leader, cell.leader.version + 1)
        return record.slices[1].owner

    def test_a_silent_member_keeps_its_slice_until_its_lease_is_out(self):
        cell = self.make.cell()
        cell.beat(rounds=3)
        until = cell.leader.lease_expiry[cell.ref(1)]
        while cell.now < until:
            self.assertEqual("", self.owner_after(cell), cell.now)
            self.assertTrue(cell.holders(1) <= {"b"})
            cell.now += 0.1
            cell.beat("a", "c")
        self.assertEqual(set(), cell.holders(1))
        self.assertIn(self.owner_after(cell), "ac")
        self.assertEqual(4, cell.leader.record.slices[1].epoch)

    def test_a_drained_member_hands_back_before_its_slice_moves(self):
        cell = self.make.cell()
        cell.beat(rounds=3)
        cell.members["b"].draining = True
        cell.beat()
        self.assertEqual("", self.owner_after(cell))
        self.assertEqual({cell.ref(1)}, set(cell.leader.revoking))
        self.assertEqual({"b"}, cell.holders(1))
        cell.beat()
        self.assertEqual(set(), cell.holders(1))
        self.assertIn(self.owner_after(cell), "ac")

    def test_a_handover_renews_the_lease_for_a_bounded_time(self):
        cell = self.make.cell()
        cell.beat(rounds=3)
        state, point = cell.members["b"], cell.leader.record.slices[1].start
        state.draining = True
        state.in_flight[point] += 1
        began = cell.now
        while not (owner := self.owner_after(cell)):
            cell.beat()
            cell.now += 0.1
            self.assertTrue(cell.now < began + 9)
        self.assertIn(owner, "ac")
        self.assertEqual(set(), cell.holders(1))
        self.assertTrue(cell.now >= began + limits.HANDOVER_S)

    def test_zones_out_and_retired_nodes_lose_their_slices(self):
        for rules in (
            attrs.evolve(KEYED, zones_out=frozenset({"out"})),
            attrs.evolve(KEYED, allowed_zones=frozenset({"z"})),
            attrs.evolve(KEYED, retired=frozenset({"b"})),
        ):
            members = list(self.make.record().members)
            members[1] = self.make.member("b", zone="out")
            stored = self.make.record(members=tuple(members))
            cell = self.make.cell(stored)
            cell.beat(rounds=3)
            self.owner_after(cell, rules)
            cell.beat(rounds=2)
            self.assertIn(self.owner_after(cell, rules), "ac", rules)

    def test_nothing_is_planned_while_a_write_is_outstanding(self):
        cell = self.make.cell(self.make.record(["", "", ""]))
        cell.beat(rounds=2)
        cell.now += changes.FORMATION_DELAY_S
        cell.beat()
        record = changes.plan_change(cell.leader, KEYED, cell.now)
        self.assertNotEqual(None, record)
        cell.leader.joins["d"] = self.make.member("d")
        self.assertIsNone(changes.plan_change(cell.leader, KEYED, cell.now))
        epochs = [item.epoch for item in record.slices]
        self.assertEqual(len(epochs), len(set(epochs)))
        self.assertTrue(max(epochs) < record.next_epoch)


class MembersTest(testtools.TestCase):
    """Guards against a record that names the wrong lives of nodes (R5)."""

    make: typing.Any = None

    def members_after(self, cell, rules=KEYED):
        changes.plan_change(cell.leader, rules, cell.now)
        if cell.leader.pending is not None:
            leadership.confirm_change(cell.leader, cell.leader.version + 1)
        return [m.incarnation for m in cell.leader.record.members]

    def test_a_restarted_member_replaces_its_earlier_life(self):
        cell = self.make.cell()
        cell.beat(rounds=3)
        cell.restart("b")
        cell.leader.joins["b"] = self.make.member("b", 1)
        self.assertEqual(["a-0", "b-1", "c-0"], self.members_after(cell))
        cell.beat(rounds=3)
        self.assertEqual({"b"}, cell.holders(1))
        self.assertEqual(2, cell.leader.record.slices[1].epoch)

    def test_another_vm_does_not_replace_a_member_that_may_live(self):
        cell = self.make.cell()
        cell.beat(rounds=3)
        other = attrs.evolve(self.make.member("b", 1), peer_address="x:p")
        cell.leader.joins["b"] = other
        self.assertEqual(["a-0", "b-0", "c-0"], self.members_after(cell))

    def test_a_leaving_member_stays_while_it_owns_a_slice(self):
        cell = self.make.cell(self.make.record("aab"))
        cell.beat(rounds=3)
        cell.leader.leaving |= {"b", "c"}
        self.assertEqual(["a-0", "b-0"], self.members_after(cell))

    def test_a_whole_cell_that_restarted_recovers(self):
        cell = self.make.cell()
        cell.beat(rounds=3)
        for name in "abc":
            cell.restart(name)
        cell.now += limits.LEASE_S
        cell.succeed("a")
        for name in "abc":
            cell.leader.joins[name] = self.make.member(name, 1)
        cell.beat(rounds=2)
        self.assertEqual(["a-1", "b-1", "c-1"], self.members_after(cell))
        cell.beat(rounds=3)
        self.assertEqual(
            [{"a"}, {"b"}, {"c"}], [cell.holders(i) for i in range(3)]
        )

    def test_a_cell_that_lost_half_recovers_when_it_is_retired(self):
        cell = self.make.cell(self.make.record("ab", "ab"))
        cell.beat(rounds=3)
        rules = attrs.evolve(KEYED, retired=frozenset("b"))
        for _ in range(60):
            cell.beat("a")
            cell.now += 0.1
            self.members_after(cell, rules)
        self.assertEqual(["a-0"], self.members_after(cell, rules))
        self.assertEqual([{"a"}, {"a"}], [cell.holders(i) for i in range(2)])


class JoinTest(testtools.TestCase):
    """Guards against members that are recorded and removed in turn."""

    make: typing.Any = None

    def test_a_node_that_joins_an_old_leader_stays(self):
        cell = self.make.cell()
        cell.now += 2 * limits.MEMBER_REMOVAL_S
        cell.beat(rounds=3)
        joined = self.make.member("d")
        cell.leader.joins["d"] = joined
        for _ in range(3):
            record = changes.plan_change(cell.leader, KEYED, cell.now)
            if record is not None:
                version = cell.leader.version + 1
                leadership.confirm_change(cell.leader, version)
            cell.now += 0.1
            cell.beat("a", "b", "c")
        self.assertEqual(joined, cell.leader.record.member("d"))


class NoiseTest(testtools.TestCase):
    """Guards against churn that chance causes."""

    def test_few_requests_scatter_and_many_do_not(self):
        loads = {"x": 1.0}
        self.assertTrue(changes.sampling_noise(loads, 6) > changes.MAX_NOISE)
        loads = {"x": 600.0}
        self.assertTrue(changes.sampling_noise(loads, 6) < changes.MAX_NOISE)
