"""Tests of waxwinglever_bench.fault_schedule."""

import testtools

from waxwinglever_bench import fault_schedule

NODES = ("a", "b", "c")
SECONDS = 3 * fault_schedule.CYCLE_S


class ScheduleTest(testtools.TestCase):
    """Guards against irreproducible schedules and faults in the calm."""

    def test_the_same_seed_gives_the_same_schedule(self):
        first = fault_schedule.make_schedule(7, SECONDS, NODES)
        self.assertEqual(first, fault_schedule.make_schedule(7, SECONDS, NODES))
        self.assertNotEqual(
            first, fault_schedule.make_schedule(8, SECONDS, NODES)
        )

    def test_faults_end_before_the_calm(self):
        calm = (fault_schedule.APPLY_IN_CALM, fault_schedule.DRAIN_IN_CALM)
        for seed in range(20):
            for fault in fault_schedule.make_schedule(seed, SECONDS, NODES):
                if fault.kind in calm:
                    continue
                end_s = (
                    fault.start_s % fault_schedule.CYCLE_S + fault.duration_s
                )
                self.assertTrue(
                    end_s <= fault_schedule.FAULT_PHASE_S + 1e-6, fault
                )

    def test_some_faults_start_together_and_all_kinds_occur(self):
        faults = [
            fault
            for seed in range(20)
            for fault in fault_schedule.make_schedule(seed, SECONDS, NODES)
        ]
        self.assertEqual(
            set(fault_schedule.KINDS),
            {f.kind for f in faults} & set(fault_schedule.KINDS),
        )
        times = [(fault.start_s, fault.duration_s) for fault in faults]
        self.assertTrue(any(a[0] == b[0] for a, b in zip(times, times[1:])))
