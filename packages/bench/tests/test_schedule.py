"""Tests of waxwinglever_bench.schedule."""

import testtools

from waxwinglever_bench import schedule

NODES = ("a", "b", "c")
SECONDS = 3 * schedule.CYCLE_S


class ScheduleTest(testtools.TestCase):
    """Guards against irreproducible schedules and faults in the calm."""

    def test_the_same_seed_gives_the_same_schedule(self):
        first = schedule.make_schedule(7, SECONDS, NODES)
        self.assertEqual(first, schedule.make_schedule(7, SECONDS, NODES))
        self.assertNotEqual(first, schedule.make_schedule(8, SECONDS, NODES))

    def test_faults_end_before_the_calm(self):
        calm = (schedule.APPLY, schedule.DRAIN_IN_CALM)
        for seed in range(20):
            for fault in schedule.make_schedule(seed, SECONDS, NODES):
                if fault.kind in calm:
                    continue
                end_s = fault.at_s % schedule.CYCLE_S + fault.length_s
                self.assertTrue(end_s <= schedule.FAULT_PHASE_S + 1e-6, fault)

    def test_some_faults_start_together_and_all_kinds_occur(self):
        faults = [
            fault
            for seed in range(20)
            for fault in schedule.make_schedule(seed, SECONDS, NODES)
        ]
        self.assertEqual(
            set(schedule.KINDS), {f.kind for f in faults} & set(schedule.KINDS)
        )
        times = [(fault.at_s, fault.length_s) for fault in faults]
        self.assertTrue(any(a[0] == b[0] for a, b in zip(times, times[1:])))
