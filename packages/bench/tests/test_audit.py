"""Tests of waxwinglever_bench.audit."""

import testtools

from waxwinglever_bench import audit

RUN_END_S = 100.0


def lease_line(event, at_s, start=0, last=9, epoch=1):
    return {
        "event": event,
        "start": start,
        "last": last,
        "epoch": epoch,
        "at_s": at_s,
    }


def began(at_s, **fields):
    return lease_line(audit.LEASE_BEGAN, at_s, **fields)


def ended(at_s, **fields):
    return lease_line(audit.LEASE_ENDED, at_s, **fields)


def leases_of(node, lines, process_ends=()):
    return audit.lease_intervals(node, lines, process_ends, RUN_END_S)


def execution(server, began_s, ended_s, **fields):
    values = {
        "call_id": f"{server}-{began_s}",
        "identity": "",
        "key": "k",
        "epoch": 1,
        "end": "done",
        **fields,
    }
    return audit.Execution(
        server=server, began_s=began_s, ended_s=ended_s, **values
    )


class LeaseTest(testtools.TestCase):
    """The audit must find each overlap of leases and report no other."""

    def overlaps(self, *logs):
        return audit.lease_overlaps([item for log in logs for item in log])

    def test_two_holders_of_a_point_are_found(self):
        a = leases_of("a", [began(1.0), ended(5.0)])
        b = leases_of(
            "b", [began(4.9, start=5, epoch=2), ended(6.0, start=5, epoch=2)]
        )
        self.assertEqual(1, len(self.overlaps(a, b)))

    def test_a_handover_is_no_overlap(self):
        a = leases_of("a", [began(1.0), ended(5.0)])
        b = leases_of("b", [began(5.0, epoch=2)])
        self.assertEqual([], self.overlaps(a, b))

    def test_the_lease_of_a_killed_daemon_ends_with_its_kill(self):
        a = leases_of("a", [began(1.0)], process_ends=[3.0])
        b = leases_of("b", [began(4.0, epoch=2)])
        self.assertEqual([], self.overlaps(a, b))

    def test_a_holder_killed_after_the_next_lease_began_is_found(self):
        a = leases_of("a", [began(1.0)], process_ends=[4.5])
        b = leases_of("b", [began(4.0, epoch=2)])
        self.assertEqual(1, len(self.overlaps(a, b)))

    def test_a_frozen_daemon_logs_the_end_of_its_lease_late(self):
        # Node a resumes after b's lease began and logs the time at which its
        # own lease expired.
        a = leases_of("a", [began(1.0), ended(2.5)])
        b = leases_of("b", [began(2.6, epoch=2), ended(2.7, epoch=2)])
        self.assertEqual([], self.overlaps(a, b))

    def test_a_frozen_holder_whose_lease_lasted_too_long_is_found(self):
        a = leases_of("a", [began(1.0), ended(2.65)])
        b = leases_of("b", [began(2.6, epoch=2)])
        self.assertEqual(1, len(self.overlaps(a, b)))

    def test_a_restarted_daemon_does_not_extend_an_earlier_lease(self):
        a = leases_of(
            "a", [began(1.0), began(8.0), ended(9.0)], process_ends=[3.0]
        )
        b = leases_of("b", [began(5.0, epoch=2), ended(6.0, epoch=2)])
        self.assertEqual([], self.overlaps(a, b))

    def test_a_restarted_daemon_does_not_split_an_earlier_lease(self):
        a = leases_of(
            "a", [began(1.0), began(8.0, start=5, epoch=3)], process_ends=[3.0]
        )
        b = leases_of("b", [began(5.0, epoch=2), ended(6.0, epoch=2)])
        self.assertEqual([], self.overlaps(a, b))

    def test_a_part_that_was_split_off_may_move(self):
        a = leases_of(
            "a",
            [began(1.0), began(2.0, start=5), ended(3.0, start=5)],
        )
        b = leases_of("b", [began(4.0, start=5, epoch=2)])
        self.assertEqual([], self.overlaps(a, b))
        early = leases_of("b", [began(2.5, start=5, epoch=2)])
        self.assertEqual(1, len(self.overlaps(a, early)))

    def test_a_merged_part_is_held_from_the_merge_on(self):
        a = leases_of(
            "a",
            [
                began(1.0, last=4),
                began(2.0, start=5),
                ended(3.0, start=5),
                ended(6.0),
            ],
        )
        before = leases_of(
            "b", [began(1.0, start=5, epoch=2), ended(2.0, start=5, epoch=2)]
        )
        self.assertEqual([], self.overlaps(a, before))
        after = leases_of("b", [began(5.0, start=5, epoch=2)])
        self.assertEqual(1, len(self.overlaps(a, after)))


class ExecutionTest(testtools.TestCase):
    """The audit must find repeated and concurrent executions.

    A server that is frozen during an execution must not be reported.
    """

    def test_a_request_that_was_executed_twice_is_found(self):
        runs = [
            execution("a", 1.0, 1.1, identity="r1"),
            execution("b", 2.0, 2.1, identity="r1"),
            execution("b", 3.0, 3.1, identity="r2"),
        ]
        self.assertEqual([tuple(runs[:2])], audit.repeated_executions(runs))

    def test_one_execution_collected_twice_counts_once(self):
        run = execution("a", 1.0, 1.1, identity="r1")
        self.assertEqual([], audit.repeated_executions([run, run]))

    def test_an_execution_after_not_run_is_found(self):
        run = execution("a", 1.0, 1.1, identity="r1")
        self.assertEqual([run], audit.false_refusals({"r1"}, [run]))

    def test_two_servers_on_a_key_are_found(self):
        a = execution("a", 1.0, 2.0)
        b = execution("b", 1.9, 2.1)
        self.assertEqual([(a, b)], audit.key_overlaps([a, b], []))
        other = execution("b", 1.9, 2.1, key="k2")
        self.assertEqual([], audit.key_overlaps([a, other], []))

    def test_a_frozen_server_is_not_active(self):
        a = execution("a", 1.0, 5.0)
        b = execution("b", 3.0, 3.1)
        freeze = audit.Span("a", 1.5, 4.9)
        self.assertEqual([], audit.key_overlaps([a, b], [freeze]))
        self.assertEqual(
            1, len(audit.key_overlaps([a, b], [audit.Span("a", 1.5, 2.5)]))
        )

    def test_an_epoch_that_decreases_is_found(self):
        first = execution("a", 1.0, 1.1, epoch=3)
        second = execution("b", 2.0, 2.1, epoch=2)
        self.assertEqual(
            [(first, second)], audit.epoch_regressions([second, first])
        )


class GenerationTest(testtools.TestCase):
    """The audit must find a configuration that is reverted or late."""

    def test_a_generation_that_decreases_is_found(self):
        samples = [
            audit.StatusSample(1.0, "a", "i1", 3),
            audit.StatusSample(2.0, "a", "i2", 0),
            audit.StatusSample(3.0, "a", "i2", 2),
            audit.StatusSample(3.0, "b", "i3", 1),
        ]
        self.assertEqual(
            [(samples[0], samples[2])], audit.generation_regressions(samples)
        )

    def test_a_late_generation_is_found_only_after_an_undisturbed_period(self):
        sample = audit.StatusSample(9.0, "a", "i1", 1)

        def late(disturbances=(), started=0.0):
            return audit.late_generations(
                {2: 1.0}, [sample], disturbances, {"a": [started]}, 7.0
            )

        self.assertEqual([(2, sample)], late())
        self.assertEqual([], late([audit.Span("store", 2.0, 3.0)]))
        self.assertEqual([], late(started=3.0))
