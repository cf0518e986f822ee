"""Tests of waxwinglever_bench.bench."""

import contextlib
from unittest import mock

import testtools
import tqdm
from waxwinglever_bench import bench
from waxwinglever_bench import results as results_module
from waxwinglever_bench import scenes


class RunGroupTest(testtools.TestCase):
    """A failed experiment is reported and hides no other one."""

    def run_group(self, *outcomes) -> tuple[list, results_module.Results]:
        """Runs experiments that return or raise; returns which ran."""
        ran = []

        def experiment(number: int, outcome) -> bench.Experiment:
            def run(_) -> None:
                ran.append(number)
                if outcome is not None:
                    raise outcome

            return bench.Experiment(f"e{number}", bench.TULPAR, run)

        @contextlib.contextmanager
        def running(*_):
            yield object()

        results = results_module.Results()
        group = [experiment(*item) for item in enumerate(outcomes)]
        with mock.patch.object(scenes, "running", running):
            with tqdm.tqdm(disable=True) as progress:
                bench.run_group(
                    bench.TULPAR, group, None, results, None, 1, progress
                )
        return ran, results

    def test_all_run_after_a_failure(self):
        ran, results = self.run_group(None, TimeoutError("slow"), None)
        self.assertEqual([0, 1, 2], ran)
        self.assertEqual(["tulpar_e1"], list(results.failures))

    def test_each_runs_once(self):
        ran, results = self.run_group(None, None)
        self.assertEqual([0, 1], ran)
        self.assertEqual({}, results.failures)
