"""Tests of waxwinglever_ownership.record_planning."""

import typing

import attrs
import testtools

from waxwinglever_model import limits
from waxwinglever_ownership import leader_state
from waxwinglever_ownership import record_planning

KEYED_CONSTRAINTS = record_planning.PlacementConstraints(
    keyed=True, max_moves=0
)


class ReassignmentTest(testtools.TestCase):
    """Guards against slices that are reassigned too early or never (R7, R9)."""

    builders: typing.Any = None

    def owner_after(self, cell, constraints=KEYED_CONSTRAINTS):
        """Returns the owner of slice 1 after planning, '' without a plan."""
        record = record_planning.plan_change(cell.leader, constraints, cell.now)
        if record is None:
            return ""
        leader_state.confirm_change(cell.leader, cell.leader.version + 1)
        return record.slices[1].owner

    def test_an_unresponsive_member_keeps_its_slice_until_its_lease_expires(
        self,
    ):
        cell = self.builders.cell()
        cell.exchange_heartbeats(rounds=3)
        expires_at = cell.leader.lease_expiry[cell.ref(1)]
        while cell.now < expires_at:
            self.assertEqual("", self.owner_after(cell), cell.now)
            self.assertTrue(cell.lease_holders(1) <= {"b"})
            cell.now += 0.1
            cell.exchange_heartbeats("a", "c")
        self.assertEqual(set(), cell.lease_holders(1))
        self.assertIn(self.owner_after(cell), "ac")
        self.assertEqual(4, cell.leader.record.slices[1].epoch)

    def test_a_draining_member_releases_its_slice_before_it_moves(self):
        cell = self.builders.cell()
        cell.exchange_heartbeats(rounds=3)
        cell.members["b"].draining = True
        cell.exchange_heartbeats()
        self.assertEqual("", self.owner_after(cell))
        self.assertEqual({cell.ref(1)}, set(cell.leader.revoking_since))
        self.assertEqual({"b"}, cell.lease_holders(1))
        cell.exchange_heartbeats()
        self.assertEqual(set(), cell.lease_holders(1))
        self.assertIn(self.owner_after(cell), "ac")

    def test_a_handover_renews_the_lease_for_a_bounded_time(self):
        cell = self.builders.cell()
        cell.exchange_heartbeats(rounds=3)
        state, point = cell.members["b"], cell.leader.record.slices[1].start
        state.draining = True
        state.in_flight[point] += 1
        started_at = cell.now
        while not (owner := self.owner_after(cell)):
            cell.exchange_heartbeats()
            cell.now += 0.1
            self.assertTrue(cell.now < started_at + 9)
        self.assertIn(owner, "ac")
        self.assertEqual(set(), cell.lease_holders(1))
        self.assertTrue(cell.now >= started_at + limits.HANDOVER_TIMEOUT_S)

    def test_zones_out_and_retired_nodes_lose_their_slices(self):
        for constraints in (
            attrs.evolve(KEYED_CONSTRAINTS, excluded_zones=frozenset({"out"})),
            attrs.evolve(KEYED_CONSTRAINTS, allowed_zones=frozenset({"z"})),
            attrs.evolve(KEYED_CONSTRAINTS, retired=frozenset({"b"})),
        ):
            members = list(self.builders.record().members)
            members[1] = self.builders.member("b", zone="out")
            stored = self.builders.record(members=tuple(members))
            cell = self.builders.cell(stored)
            cell.exchange_heartbeats(rounds=3)
            self.owner_after(cell, constraints)
            cell.exchange_heartbeats(rounds=2)
            self.assertIn(
                self.owner_after(cell, constraints), "ac", constraints
            )

    def test_nothing_is_planned_while_a_write_is_pending(self):
        cell = self.builders.cell(self.builders.record(["", "", ""]))
        cell.exchange_heartbeats(rounds=2)
        cell.now += record_planning.FORMATION_DELAY_S
        cell.exchange_heartbeats()
        record = record_planning.plan_change(
            cell.leader, KEYED_CONSTRAINTS, cell.now
        )
        self.assertNotEqual(None, record)
        cell.leader.pending_joins["d"] = self.builders.member("d")
        self.assertIsNone(
            record_planning.plan_change(
                cell.leader, KEYED_CONSTRAINTS, cell.now
            )
        )
        epochs = [item.epoch for item in record.slices]
        self.assertEqual(len(epochs), len(set(epochs)))
        self.assertTrue(max(epochs) < record.next_epoch)


class MembersTest(testtools.TestCase):
    """Guards against a record with wrong incarnations of nodes (R5)."""

    builders: typing.Any = None

    def members_after(self, cell, constraints=KEYED_CONSTRAINTS):
        record_planning.plan_change(cell.leader, constraints, cell.now)
        if cell.leader.pending is not None:
            leader_state.confirm_change(cell.leader, cell.leader.version + 1)
        return [m.incarnation for m in cell.leader.record.members]

    def test_a_restarted_member_replaces_its_earlier_incarnation(self):
        cell = self.builders.cell()
        cell.exchange_heartbeats(rounds=3)
        cell.restart("b")
        cell.leader.pending_joins["b"] = self.builders.member("b", 1)
        self.assertEqual(["a-0", "b-1", "c-0"], self.members_after(cell))
        cell.exchange_heartbeats(rounds=3)
        self.assertEqual({"b"}, cell.lease_holders(1))
        self.assertEqual(2, cell.leader.record.slices[1].epoch)

    def test_another_vm_does_not_replace_a_member_that_may_be_alive(self):
        cell = self.builders.cell()
        cell.exchange_heartbeats(rounds=3)
        other = attrs.evolve(self.builders.member("b", 1), peer_address="x:p")
        cell.leader.pending_joins["b"] = other
        self.assertEqual(["a-0", "b-0", "c-0"], self.members_after(cell))

    def test_a_leaving_member_stays_while_it_owns_a_slice(self):
        cell = self.builders.cell(self.builders.record("aab"))
        cell.exchange_heartbeats(rounds=3)
        cell.leader.pending_leaves |= {"b", "c"}
        self.assertEqual(["a-0", "b-0"], self.members_after(cell))

    def test_a_whole_cell_that_restarted_recovers(self):
        cell = self.builders.cell()
        cell.exchange_heartbeats(rounds=3)
        for name in "abc":
            cell.restart(name)
        cell.now += limits.LEASE_DURATION_S
        cell.elect("a")
        for name in "abc":
            cell.leader.pending_joins[name] = self.builders.member(name, 1)
        cell.exchange_heartbeats(rounds=2)
        self.assertEqual(["a-1", "b-1", "c-1"], self.members_after(cell))
        cell.exchange_heartbeats(rounds=3)
        self.assertEqual(
            [{"a"}, {"b"}, {"c"}], [cell.lease_holders(i) for i in range(3)]
        )

    def test_a_cell_that_lost_half_recovers_when_it_is_retired(self):
        cell = self.builders.cell(self.builders.record("ab", "ab"))
        cell.exchange_heartbeats(rounds=3)
        constraints = attrs.evolve(KEYED_CONSTRAINTS, retired=frozenset("b"))
        for _ in range(60):
            cell.exchange_heartbeats("a")
            cell.now += 0.1
            self.members_after(cell, constraints)
        self.assertEqual(["a-0"], self.members_after(cell, constraints))
        self.assertEqual(
            [{"a"}, {"a"}], [cell.lease_holders(i) for i in range(2)]
        )


class JoinTest(testtools.TestCase):
    """Guards against a new member that is removed as soon as it is recorded."""

    builders: typing.Any = None

    def test_a_node_that_joins_a_long_running_leader_stays(self):
        cell = self.builders.cell()
        cell.now += 2 * limits.MEMBER_REMOVAL_DELAY_S
        cell.exchange_heartbeats(rounds=3)
        joined = self.builders.member("d")
        cell.leader.pending_joins["d"] = joined
        for _ in range(3):
            record = record_planning.plan_change(
                cell.leader, KEYED_CONSTRAINTS, cell.now
            )
            if record is not None:
                version = cell.leader.version + 1
                leader_state.confirm_change(cell.leader, version)
            cell.now += 0.1
            cell.exchange_heartbeats("a", "b", "c")
        self.assertEqual(joined, cell.leader.record.member("d"))


class NoiseTest(testtools.TestCase):
    """Guards against slice moves that are due to random variation only."""

    def test_only_few_requests_exceed_the_noise_limit(self):
        loads = {"x": 1.0}
        self.assertTrue(
            record_planning.sampling_noise(loads, 6) > record_planning.MAX_NOISE
        )
        loads = {"x": 600.0}
        self.assertTrue(
            record_planning.sampling_noise(loads, 6) < record_planning.MAX_NOISE
        )
