"""Tests of waxwinglever_bench.injection."""

import pathlib

import testtools

from waxwinglever_bench import fleet as fleets
from waxwinglever_bench import injection
from waxwinglever_bench import schedule


def make_ground():
    vms = fleets.make_vms("t", ["a", "b"], {"keyed": 5, "other": 3}, 1)
    fleet = fleets.Fleet(pathlib.Path(), {vm.name: vm for vm in vms})
    return injection.Ground(fleet)


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
    """Guards against kills beyond what the design tolerates."""

    def test_only_a_minority_of_a_cell_is_down(self):
        ground = make_ground()
        names = [f"keyed-{n}" for n in range(5)]
        done = [injection.reserve(ground, name) for name in names]
        self.assertEqual([True, True, False, False, False], done)
        self.assertTrue(injection.reserve(ground, "other-0"))
        injection.release(ground, "keyed-0")
        self.assertTrue(injection.reserve(ground, "keyed-4"))

    def test_a_vm_is_not_hit_twice(self):
        ground = make_ground()
        injection.reserve(ground, "keyed-0")
        self.assertFalse(injection.reserve(ground, "keyed-0"))


class SwitchesTest(testtools.TestCase):
    """Guards against cuts and store faults that have no effect."""

    def test_cuts_by_kind(self):
        ground = make_ground()
        one = injection.links_of(ground, fault(schedule.CUT_ONE_SIDE))
        self.assertEqual({("keyed-0", "keyed-1")}, one)
        both = injection.links_of(ground, fault(schedule.CUT_PAIR))
        self.assertEqual(2, len(both))
        isolated = injection.links_of(ground, fault(schedule.ISOLATE))
        self.assertEqual(14, len(isolated))

    def test_store_faults_by_kind(self):
        ground = make_ground()
        cut = injection.store_switches(ground, fault(schedule.CUT_STORE))
        self.assertEqual({"blocked_clients": ["127.1.0.2"]}, cut)
        down = injection.store_switches(ground, fault(schedule.STORE_DOWN))
        self.assertEqual({"down": True, "down_mode": "refuse"}, down)
