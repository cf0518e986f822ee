"""Tests of waxwinglever_bench.bench."""

import contextlib
from unittest import mock

import testtools
import tqdm
from waxwinglever_bench import bench
from waxwinglever_bench import environment as environments
from waxwinglever_bench import results as results_module


class RunGroupTest(testtools.TestCase):
    """Guards against a failed experiment that is lost or stops the others."""

    def run_group(self, *outcomes) -> tuple[list, results_module.Results]:
        """Runs an experiment for each outcome.

        Args:
          *outcomes: For each experiment, the exception that it raises or None.

        Returns:
          The numbers of the experiments that ran, and the results.
        """
        run_numbers = []

        def make_experiment(number: int, outcome) -> bench.Experiment:
            def run(_) -> None:
                run_numbers.append(number)
                if outcome is not None:
                    raise outcome

            return bench.Experiment(f"e{number}", bench.TULPAR, run)

        @contextlib.contextmanager
        def running_environment(*_):
            yield object()

        results = results_module.Results()
        group = [make_experiment(*item) for item in enumerate(outcomes)]
        with mock.patch.object(
            environments, "running_environment", running_environment
        ):
            with tqdm.tqdm(disable=True) as progress:
                bench.run_group(
                    bench.TULPAR, group, None, results, None, 1, progress
                )
        return run_numbers, results

    def test_all_run_after_a_failure(self):
        run_numbers, results = self.run_group(None, TimeoutError("slow"), None)
        self.assertEqual([0, 1, 2], run_numbers)
        self.assertEqual(["tulpar_e1"], list(results.failed_experiments))

    def test_each_runs_once(self):
        run_numbers, results = self.run_group(None, None)
        self.assertEqual([0, 1], run_numbers)
        self.assertEqual({}, results.failed_experiments)
