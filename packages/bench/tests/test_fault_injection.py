"""Tests of waxwinglever_bench.fault_injection."""

import pathlib

import testtools

from waxwinglever_bench import fault_injection
from waxwinglever_bench import fault_schedule
from waxwinglever_bench import fleet as fleets


def make_state():
    vms = fleets.make_vms("t", ["a", "b"], {"keyed": 5, "other": 3}, 1)
    fleet = fleets.Fleet(pathlib.Path(), {vm.name: vm for vm in vms})
    return fault_injection.SoakState(fleet)


def fault(kind):
    return fault_schedule.Fault(
        number=1,
        start_s=0.0,
        kind=kind,
        node="keyed-0",
        peer_node="keyed-1",
        duration_s=1.0,
        variation=0.6,
    )


class ReserveTest(testtools.TestCase):
    """At most a minority of a cell may be down by kills and drains."""

    def test_only_a_minority_of_a_cell_is_down(self):
        state = make_state()
        names = [f"keyed-{n}" for n in range(5)]
        reserved = [fault_injection.reserve_vm(state, name) for name in names]
        self.assertEqual([True, True, False, False, False], reserved)
        self.assertTrue(fault_injection.reserve_vm(state, "other-0"))
        fault_injection.release_vm(state, "keyed-0")
        self.assertTrue(fault_injection.reserve_vm(state, "keyed-4"))

    def test_a_vm_that_is_down_is_not_reserved_again(self):
        state = make_state()
        fault_injection.reserve_vm(state, "keyed-0")
        self.assertFalse(fault_injection.reserve_vm(state, "keyed-0"))


class FaultTest(testtools.TestCase):
    """Each kind of fault must cut the right links or set the right switches."""

    def test_cuts_by_kind(self):
        state = make_state()
        one = fault_injection.links_to_cut(
            state, fault(fault_schedule.CUT_ONE_SIDE)
        )
        self.assertEqual({("keyed-0", "keyed-1")}, one)
        both = fault_injection.links_to_cut(
            state, fault(fault_schedule.CUT_PAIR)
        )
        self.assertEqual(2, len(both))
        isolated = fault_injection.links_to_cut(
            state, fault(fault_schedule.ISOLATE)
        )
        self.assertEqual(14, len(isolated))

    def test_store_faults_by_kind(self):
        state = make_state()
        cut = fault_injection.store_fault_switches(
            state, fault(fault_schedule.CUT_STORE)
        )
        self.assertEqual({"blocked_clients": ["127.1.0.2"]}, cut)
        down = fault_injection.store_fault_switches(
            state, fault(fault_schedule.STORE_DOWN)
        )
        self.assertEqual({"down": True, "down_mode": "refuse"}, down)
