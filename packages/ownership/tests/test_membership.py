"""Tests of waxwinglever_ownership.membership."""

import typing

import attrs
import testtools

from waxwinglever_model import exceptions
from waxwinglever_ownership import membership


class HeartbeatTest(testtools.TestCase):
    """Guards against an obsolete heartbeat that changes a member (R1)."""

    builders: typing.Any = None

    def test_only_a_newer_heartbeat_of_the_same_leader_is_accepted(self):
        cell = self.builders.cell()
        cell.exchange_heartbeats("b", rounds=2)
        last = cell.next_heartbeat("b")
        cell.deliver("b", last)
        held = dict(cell.members["b"].held)
        cases = (
            ("repeated", {}),
            ("late", {"sequence": 1}),
            ("lower term", {"term": 0, "sequence": 99}),
            ("other leader", {"leader": "c", "sequence": 99}),
            ("other member", {"member": "c", "sequence": 99}),
            ("other cell", {"cell": "t/x/0", "sequence": 99, "term": 9}),
        )
        for name, changes in cases:
            cell.now += 0.01
            ack = cell.deliver("b", attrs.evolve(last, **changes))
            self.assertFalse(ack.accepted, name)
            self.assertEqual(1, ack.highest_term, name)
            self.assertEqual(held, cell.members["b"].held, name)

    def test_a_heartbeat_without_any_record_grants_nothing(self):
        cell = self.builders.cell()
        bare = attrs.evolve(
            cell.next_heartbeat("b"), record=None, record_version=0
        )
        self.assertTrue(cell.deliver("b", bare).accepted)
        self.assertEqual({}, cell.members["b"].held)

    def test_a_higher_term_starts_a_new_sequence(self):
        cell = self.builders.cell()
        cell.exchange_heartbeats(rounds=3)
        cell.elect("c")
        ack = cell.deliver("b", cell.next_heartbeat("b"))
        self.assertEqual((True, 2), (ack.accepted, ack.highest_term))

    def test_a_lease_counts_from_the_acknowledgement_it_refers_to(self):
        cell = self.builders.cell()
        cell.exchange_heartbeats(rounds=2)
        acked_at = cell.now - 0.01
        heartbeat = cell.next_heartbeat("b")
        cell.now += 0.7
        cell.deliver("b", heartbeat)
        (lease,) = cell.members["b"].held.values()
        self.assertAlmostEqual(acked_at + heartbeat.remaining_s, lease.until)

    def test_no_lease_without_the_time_of_the_acknowledgement(self):
        cell = self.builders.cell()
        cell.exchange_heartbeats(rounds=2)
        heartbeat = cell.next_heartbeat("b")
        cell.restart("b")
        cell.deliver("b", heartbeat)
        self.assertEqual({}, cell.members["b"].held)


class HandoverTest(testtools.TestCase):
    """Guards against a handover that cuts off running work (R9)."""

    builders: typing.Any = None

    def test_a_slice_is_released_once_no_request_of_it_runs(self):
        cell = self.builders.cell()
        cell.exchange_heartbeats(rounds=3)
        state, item = cell.members["b"], cell.leader.record.slices[1]
        membership.begin(state, item.last, cell.now)
        cell.leader.revoking[item.ref] = cell.now
        cell.exchange_heartbeats("b")
        self.assertEqual(set(), state.released)
        self.assertRaises(
            exceptions.NotOwner, membership.begin, state, item.start, cell.now
        )
        membership.finish(state, item.last)
        cell.exchange_heartbeats("b")
        self.assertEqual({item.ref}, state.released)
        self.assertEqual({item.ref}, cell.leader.followers["b"].released)

    def test_a_released_slice_is_never_accepted_again(self):
        cell = self.builders.cell()
        cell.exchange_heartbeats(rounds=3)
        granting = cell.next_heartbeat("b")
        cell.leader.revoking[cell.ref(1)] = cell.now
        cell.exchange_heartbeats("b")
        cell.leader.revoking.clear()
        later = attrs.evolve(granting, sequence=granting.sequence + 5)
        cell.deliver("b", later)
        self.assertEqual({}, cell.members["b"].held)
        cell.exchange_heartbeats("b", rounds=3)
        self.assertEqual(set(), cell.lease_holders(1))


class DispatchTest(testtools.TestCase):
    """Guards against work without a lease (R12)."""

    builders: typing.Any = None

    def test_an_ended_or_foreign_lease_dispatches_nothing(self):
        cell = self.builders.cell()
        cell.exchange_heartbeats(rounds=3)
        state, item = cell.members["b"], cell.leader.record.slices[1]
        until = state.held[item.ref].until
        membership.begin(state, item.start, until - 0.001)
        for point, now in ((item.start, until), (item.last + 1, cell.now)):
            self.assertRaises(
                exceptions.NotOwner, membership.begin, state, point, now
            )

    def test_ended_leases_are_reported_once(self):
        cell = self.builders.cell()
        cell.exchange_heartbeats(rounds=3)
        state = cell.members["b"]
        membership.drop_ended(state, cell.now + 9)
        events = [(c.event, c.reason) for c in membership.take_changes(state)]
        self.assertEqual(
            [("lease-began", "granted"), ("lease-ended", "expired")], events
        )
        self.assertEqual([], membership.take_changes(state))
