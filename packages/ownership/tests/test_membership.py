"""Tests of waxwinglever_ownership.membership."""

import typing

import attrs
import testtools

from waxwinglever_model import exceptions
from waxwinglever_ownership import membership


class HeartbeatTest(testtools.TestCase):
    """Guards against obsolete heartbeats that change a member (R1)."""

    builders: typing.Any = None

    def test_only_a_newer_heartbeat_of_the_same_leader_is_accepted(self):
        cell = self.builders.cell()
        cell.exchange_heartbeats("b", rounds=2)
        accepted = cell.next_heartbeat("b")
        cell.deliver("b", accepted)
        leases = dict(cell.members["b"].leases)
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
            ack = cell.deliver("b", attrs.evolve(accepted, **changes))
            self.assertFalse(ack.accepted, name)
            self.assertEqual(1, ack.highest_term, name)
            self.assertEqual(leases, cell.members["b"].leases, name)

    def test_a_heartbeat_without_any_record_grants_nothing(self):
        cell = self.builders.cell()
        heartbeat = attrs.evolve(
            cell.next_heartbeat("b"), record=None, record_version=0
        )
        self.assertTrue(cell.deliver("b", heartbeat).accepted)
        self.assertEqual({}, cell.members["b"].leases)

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
        (lease,) = cell.members["b"].leases.values()
        self.assertAlmostEqual(
            acked_at + heartbeat.remaining_s, lease.expires_at_s
        )

    def test_no_lease_without_the_time_of_the_acknowledgement(self):
        cell = self.builders.cell()
        cell.exchange_heartbeats(rounds=2)
        heartbeat = cell.next_heartbeat("b")
        cell.restart("b")
        cell.deliver("b", heartbeat)
        self.assertEqual({}, cell.members["b"].leases)


class HandoverTest(testtools.TestCase):
    """Guards against a handover that interrupts running requests (R9)."""

    builders: typing.Any = None

    def test_a_slice_is_released_once_its_requests_have_finished(self):
        cell = self.builders.cell()
        cell.exchange_heartbeats(rounds=3)
        state, item = cell.members["b"], cell.leader.record.slices[1]
        membership.begin_request(state, item.last, cell.now)
        cell.leader.revoking_since[item.ref] = cell.now
        cell.exchange_heartbeats("b")
        self.assertEqual(set(), state.released)
        self.assertRaises(
            exceptions.NotOwner,
            membership.begin_request,
            state,
            item.start,
            cell.now,
        )
        membership.finish_request(state, item.last)
        cell.exchange_heartbeats("b")
        self.assertEqual({item.ref}, state.released)
        self.assertEqual({item.ref}, cell.leader.followers["b"].released)

    def test_a_released_slice_is_never_accepted_again(self):
        cell = self.builders.cell()
        cell.exchange_heartbeats(rounds=3)
        grant = cell.next_heartbeat("b")
        cell.leader.revoking_since[cell.ref(1)] = cell.now
        cell.exchange_heartbeats("b")
        cell.leader.revoking_since.clear()
        later = attrs.evolve(grant, sequence=grant.sequence + 5)
        cell.deliver("b", later)
        self.assertEqual({}, cell.members["b"].leases)
        cell.exchange_heartbeats("b", rounds=3)
        self.assertEqual(set(), cell.lease_holders(1))


class DispatchTest(testtools.TestCase):
    """Guards against requests that run without a lease (R12)."""

    builders: typing.Any = None

    def test_no_request_begins_without_an_unexpired_lease(self):
        cell = self.builders.cell()
        cell.exchange_heartbeats(rounds=3)
        state, item = cell.members["b"], cell.leader.record.slices[1]
        expires_at = state.leases[item.ref].expires_at_s
        membership.begin_request(state, item.start, expires_at - 0.001)
        for point, now in ((item.start, expires_at), (item.last + 1, cell.now)):
            self.assertRaises(
                exceptions.NotOwner, membership.begin_request, state, point, now
            )

    def test_expired_leases_are_reported_once(self):
        cell = self.builders.cell()
        cell.exchange_heartbeats(rounds=3)
        state = cell.members["b"]
        membership.drop_expired_leases(state, cell.now + 9)
        events = [(c.event, c.reason) for c in membership.take_changes(state)]
        self.assertEqual(
            [("lease-began", "granted"), ("lease-ended", "expired")], events
        )
        self.assertEqual([], membership.take_changes(state))
