"""Tests of waxwinglever_bench.injection."""

import pathlib

import testtools

from waxwinglever_bench import fleet as fleets
from waxwinglever_bench import injection
from waxwinglever_bench import schedule


def make_state():
    vms = fleets.make_vms("t", ["a", "b"], {"keyed": 5, "other": 3}, 1)
    fleet = fleets.Fleet(pathlib.Path(), {vm.name: vm for vm in vms})
    return injection.SoakState(fleet)


def fault(kind):
    return schedule.Fault(
        number=1,
        at_s=0.0,
        kind=kind,
        node="keyed-0",
        other="keyed-1",
        length_s=1.0,
        value=0.6,
    )


class ReserveTest(testtools.TestCase):
    """At most a minority of a cell may be down by kills and drains."""

    def test_only_a_minority_of_a_cell_is_down(self):
        state = make_state()
        names = [f"keyed-{n}" for n in range(5)]
        reserved = [injection.reserve_vm(state, name) for name in names]
        self.assertEqual([True, True, False, False, False], reserved)
        self.assertTrue(injection.reserve_vm(state, "other-0"))
        injection.release_vm(state, "keyed-0")
        self.assertTrue(injection.reserve_vm(state, "keyed-4"))

    def test_a_vm_that_is_down_is_not_reserved_again(self):
        state = make_state()
        injection.reserve_vm(state, "keyed-0")
        self.assertFalse(injection.reserve_vm(state, "keyed-0"))


class FaultTest(testtools.TestCase):
    """Each kind of fault must cut the right links or set the right switches."""

    def test_cuts_by_kind(self):
        state = make_state()
        one = injection.links_to_cut(state, fault(schedule.CUT_ONE_SIDE))
        self.assertEqual({("keyed-0", "keyed-1")}, one)
        both = injection.links_to_cut(state, fault(schedule.CUT_PAIR))
        self.assertEqual(2, len(both))
        isolated = injection.links_to_cut(state, fault(schedule.ISOLATE))
        self.assertEqual(14, len(isolated))

    def test_store_faults_by_kind(self):
        state = make_state()
        cut = injection.store_fault_switches(state, fault(schedule.CUT_STORE))
        self.assertEqual({"blocked_clients": ["127.1.0.2"]}, cut)
        down = injection.store_fault_switches(state, fault(schedule.STORE_DOWN))
        self.assertEqual({"down": True, "down_mode": "refuse"}, down)
