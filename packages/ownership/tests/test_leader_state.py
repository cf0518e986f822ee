"""Tests of waxwinglever_ownership.leader_state."""

import typing

import attrs
import testtools

from waxwinglever_model import limits
from waxwinglever_ownership import leader_state
from waxwinglever_placement import splits


class AcknowledgementTest(testtools.TestCase):
    """Guards against acknowledgements that extend leases wrongly (R2, R5)."""

    builders: typing.Any = None

    def test_an_unrecorded_incarnation_never_supports_a_lease(self):
        # After restarts of b and c, a alone is no majority.
        cell = self.builders.cell()
        cell.restart("b")
        cell.restart("c")
        cell.exchange_heartbeats(rounds=5)
        self.assertEqual(0.0, cell.next_heartbeat("a").remaining_s)
        self.assertEqual(set(), cell.lease_holders(0))

    def test_a_restart_drops_the_time_of_the_earlier_incarnation(self):
        cell = self.builders.cell()
        cell.exchange_heartbeats(rounds=2)
        cell.restart("b")
        cell.restart("c")
        cell.exchange_heartbeats("b", "c")
        self.assertEqual(0.0, cell.next_heartbeat("a").remaining_s)

    def test_a_restarted_member_counts_as_acknowledging_the_term(self):
        cell = self.builders.cell()
        cell.elect("a")
        cell.restart("b")
        cell.exchange_heartbeats("a", "b")
        self.assertIsNotNone(cell.leader.takeover_at)
        self.assertEqual(0.0, cell.next_heartbeat("a").remaining_s)

    def test_a_lease_counts_from_when_the_heartbeat_was_sent(self):
        cell = self.builders.cell()
        cell.exchange_heartbeats()
        sent_at = cell.now
        pending = {name: cell.next_heartbeat(name) for name in "abc"}
        cell.now += 0.2
        for name, heartbeat in pending.items():
            ack = cell.deliver(name, heartbeat)
            leader_state.apply_ack(cell.leader, name, ack, cell.now)
        remaining = cell.next_heartbeat("b").remaining_s
        self.assertAlmostEqual(
            sent_at + limits.LEASE_DURATION_S - cell.now, remaining
        )

    def test_rejections_and_unknown_sequences_change_nothing(self):
        cell = self.builders.cell()
        ack = cell.deliver("b", cell.next_heartbeat("b"))
        for wrong in (
            attrs.evolve(ack, accepted=False),
            attrs.evolve(ack, sequence=77),
        ):
            leader_state.apply_ack(cell.leader, "b", wrong, cell.now)
        self.assertIsNone(cell.leader.followers["b"].last_ack)

    def test_an_acknowledgement_of_another_node_changes_nothing(self):
        # The address of a replaced VM may belong to another node now, even to
        # one of another cell with a higher term.
        cell = self.builders.cell()
        ack = cell.deliver("b", cell.next_heartbeat("b"))
        for accepted, term in ((True, 1), (False, 9)):
            other = attrs.evolve(
                ack, node="x", accepted=accepted, highest_term=term
            )
            leader_state.apply_ack(cell.leader, "b", other, cell.now)
        self.assertIsNone(cell.leader.followers["b"].last_ack)
        self.assertFalse(cell.leader.stepped_down)

    def test_a_higher_term_ends_the_leadership(self):
        cell = self.builders.cell()
        cell.exchange_heartbeats(rounds=2)
        ack = cell.deliver("b", cell.next_heartbeat("b"))
        refused = attrs.evolve(ack, accepted=False, highest_term=2)
        leader_state.apply_ack(cell.leader, "b", refused, cell.now)
        self.assertIsNone(cell.next_heartbeat("b"))


class RejoinTest(testtools.TestCase):
    """Guards against a rejoined member that rejects all heartbeats."""

    builders: typing.Any = None

    def test_a_removed_member_accepts_heartbeats_after_it_rejoined(self):
        cell = self.builders.cell()
        cell.exchange_heartbeats(rounds=5)
        record = cell.leader.record
        for members in (record.members[:2], record.members):
            leader_state.begin_change(
                cell.leader, attrs.evolve(record, members=members)
            )
            leader_state.confirm_change(cell.leader, cell.leader.version + 1)
        ack = cell.deliver("c", cell.next_heartbeat("c"))
        self.assertTrue(ack.accepted)


class SuccessionTest(testtools.TestCase):
    """Guards against a new leader that reassigns slices too early (R4, R7)."""

    builders: typing.Any = None

    def test_recorded_owners_get_leases_at_once(self):
        cell = self.builders.cell()
        cell.exchange_heartbeats(rounds=3)
        cell.elect("c")
        cell.exchange_heartbeats(rounds=3)
        self.assertEqual({"b"}, cell.lease_holders(1))

    def test_an_unresponsive_owners_slice_is_free_once_old_leases_expire(self):
        cell = self.builders.cell()
        cell.elect("c")
        item = cell.leader.record.slices[1]
        # The time without an acknowledgement counts from the first heartbeat.
        cell.next_heartbeat("b")
        cell.now += 60
        # The wait begins only once a majority has acknowledged the term.
        self.assertFalse(leader_state.is_free(cell.leader, item, cell.now))
        cell.exchange_heartbeats("a", "c")
        free_at = cell.leader.takeover_at
        self.assertTrue(free_at >= cell.now - 0.01 + limits.LEASE_EXPIRY_WAIT_S)
        for now, expected in ((free_at - 0.01, False), (free_at, True)):
            self.assertEqual(
                expected, leader_state.is_free(cell.leader, item, now)
            )

    def test_a_slice_is_not_free_before_its_lease_expires(self):
        cell = self.builders.cell()
        cell.exchange_heartbeats(rounds=3)
        item = cell.leader.record.slices[1]
        expires_at = cell.members["b"].leases[item.ref].expires_at_s
        self.assertTrue(cell.leader.lease_expiry[item.ref] >= expires_at)
        for now, expected in ((expires_at, False), (expires_at + 1, True)):
            self.assertEqual(
                expected, leader_state.is_free(cell.leader, item, now)
            )

    def test_a_released_slice_is_free_at_once(self):
        cell = self.builders.cell()
        cell.exchange_heartbeats(rounds=3)
        item = cell.leader.record.slices[1]
        cell.leader.revoking_since[item.ref] = cell.now
        cell.exchange_heartbeats("b")
        self.assertTrue(leader_state.is_free(cell.leader, item, cell.now))

    def test_retired_nodes_count_as_acknowledging_the_term(self):
        stored = self.builders.record("ab", "ab")
        cell = self.builders.cell(stored)
        cell.elect("a")
        cell.exchange_heartbeats("a")
        self.assertIsNone(cell.leader.takeover_at)
        leader_state.retire(cell.leader, frozenset("b"), cell.now)
        self.assertIsNotNone(cell.leader.takeover_at)


class PendingChangeTest(testtools.TestCase):
    """Guards against grants that depend on an unconfirmed write (R6, R8)."""

    builders: typing.Any = None

    def test_only_reassigned_slices_are_withheld(self):
        cell = self.builders.cell()
        cell.exchange_heartbeats(rounds=3)
        record = cell.leader.record
        moved = attrs.evolve(record.slices[1], owner="c", epoch=4)
        slices = (record.slices[0], moved, record.slices[2])
        next_record = attrs.evolve(record, slices=slices, next_epoch=5)
        leader_state.begin_change(cell.leader, next_record)
        self.assertEqual(
            (record.slices[1].ref,), cell.next_heartbeat("b").withheld
        )
        self.assertEqual((), cell.next_heartbeat("c").withheld)
        self.assertTrue(cell.next_heartbeat("c").remaining_s > 0)
        cell.now += limits.LEASE_DURATION_S
        cell.exchange_heartbeats(rounds=3)
        self.assertEqual(set(), cell.lease_holders(1))
        self.assertEqual({"c"}, cell.lease_holders(2))
        leader_state.confirm_change(cell.leader, 2)
        cell.exchange_heartbeats(rounds=3)
        self.assertEqual({"c"}, cell.lease_holders(1))

    def test_leases_need_a_majority_of_both_member_lists(self):
        cell = self.builders.cell()
        cell.exchange_heartbeats(rounds=2)
        others = tuple(map(self.builders.member, "defg"))
        record = cell.leader.record
        leader_state.begin_change(
            cell.leader, attrs.evolve(record, members=record.members + others)
        )
        self.assertEqual(0.0, cell.next_heartbeat("a").remaining_s)

    def test_a_split_keeps_leases_and_epochs(self):
        cell = self.builders.cell()
        cell.exchange_heartbeats(rounds=3)
        record = cell.leader.record
        ref, split_point = record.slices[1].ref, record.slices[1].start + 10
        slices = splits.apply_splits(
            record.slices, [splits.Split(ref=ref, at=split_point)]
        )
        before = cell.members["b"].leases[ref].expires_at_s
        leader_state.begin_change(
            cell.leader, attrs.evolve(record, slices=slices)
        )
        self.assertEqual(frozenset(), cell.leader.suspended_slices)
        leader_state.confirm_change(cell.leader, 2)
        cell.exchange_heartbeats("b")
        leases = cell.members["b"].leases
        self.assertEqual(
            [(ref.start, 2), (split_point, 2)],
            [(r.start, r.epoch) for r in leases],
        )
        self.assertTrue(
            all(lease.expires_at_s >= before for lease in leases.values())
        )
        expiries = [cell.leader.lease_expiry[r] for r in leases]
        self.assertTrue(min(expiries) >= before)
