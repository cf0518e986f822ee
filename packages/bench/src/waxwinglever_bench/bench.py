"""The command `bench`: runs experiments on emulated tenants."""

import itertools
import multiprocessing
import pathlib
import sys
import time
from collections.abc import Callable
from concurrent import futures

import attrs
import click
import tqdm

from waxwinglever_bench import environment as environments
from waxwinglever_bench import execution_experiments
from waxwinglever_bench import latency
from waxwinglever_bench import load
from waxwinglever_bench import operations
from waxwinglever_bench import recovery
from waxwinglever_bench import results as results_module

TULPAR = environments.FleetSetup(environments.TULPAR)
ASSOCIATION = environments.FleetSetup(environments.ASSOCIATION)
# With the default service time of 5 ms, the slots of one backend server carry
# 2,000 requests per second, more than the test host can generate. With 100 ms
# the slots are the bottleneck, not the host's CPU.
TULPAR_SLOW = environments.FleetSetup(environments.TULPAR, service_ms=100.0)
ASSOCIATION_SLOW = environments.FleetSetup(
    environments.ASSOCIATION, service_ms=100.0
)
TULPAR_COLD = environments.FleetSetup(environments.TULPAR, cold_start_s=5.0)


@attrs.frozen
class Experiment:
    """An experiment on one fleet.

    Attributes:
      name: Name for `--only`; experiments with different setups may share it.
      setup: Setup of the fleet. Consecutive experiments with the same setup run
        on the same fleet.
      run: Runs the experiment and adds its measurements to the results.
    """

    name: str
    setup: environments.FleetSetup
    run: Callable[[environments.Environment], None]


EXPERIMENTS = (
    Experiment("latency", TULPAR, latency.latency_at_base_load),
    Experiment("overhead", TULPAR, latency.overhead),
    Experiment("zone", TULPAR, operations.zone_out),
    Experiment("at-most-once", TULPAR, execution_experiments.at_most_once),
    Experiment("crash", TULPAR, execution_experiments.crash),
    Experiment("configuration", TULPAR, operations.config_rollout),
    Experiment("drain", TULPAR, operations.drain),
    Experiment("recovery", TULPAR, recovery.single_losses),
    Experiment("zone-lost", TULPAR, recovery.zone_loss),
    Experiment("store-down", TULPAR, recovery.leader_loss_without_store),
    Experiment("latency", ASSOCIATION, latency.latency_at_base_load),
    Experiment("zone", ASSOCIATION, operations.zone_out),
    Experiment("at-most-once", ASSOCIATION, execution_experiments.at_most_once),
    Experiment("zone-lost", ASSOCIATION, recovery.zone_loss),
    Experiment("stragglers", TULPAR_SLOW, latency.stragglers),
    Experiment("levels", TULPAR_SLOW, latency.load_levels),
    Experiment("stragglers", ASSOCIATION_SLOW, latency.stragglers),
    Experiment("cold-start", TULPAR_COLD, execution_experiments.cold_start),
)
EXPERIMENT_NAMES = tuple(
    dict.fromkeys(experiment.name for experiment in EXPERIMENTS)
)


@click.command()
@click.option(
    "--output",
    default="build/bench.json",
    show_default=True,
    type=click.Path(dir_okay=False, path_type=pathlib.Path),
    help="JSON file for the results; plots go to the same folder.",
)
@click.option(
    "--only",
    type=click.Choice(EXPERIMENT_NAMES),
    help="Run only the experiments of this name.",
)
@click.option("--seed", default=1, show_default=True)
def bench(output: pathlib.Path, only: str | None, seed: int) -> None:
    """Runs experiments and compares the measurements with their bounds.

    Exits 1 if an experiment failed to complete; a missed bound doesn't change
    the exit status.
    """
    selected = [
        experiment
        for experiment in EXPERIMENTS
        if only in (None, experiment.name)
    ]
    results = results_module.Results()
    started_s = time.monotonic()
    run_experiments(selected, results, output.parent, seed)
    results.add("bench_duration_s", time.monotonic() - started_s)
    results.add("bench_seed_count", seed)
    results_module.write(results, output)
    click.echo(results_module.table(results))
    sys.exit(1 if results.failed_experiments else 0)


def run_experiments(
    selected: list[Experiment],
    results: results_module.Results,
    folder: pathlib.Path,
    seed: int,
) -> None:
    """Runs experiments, one fleet after the other.

    Args:
      selected: The experiments; consecutive ones with the same setup share a
        fleet.
      results: Results to which measurements and failures are added.
      folder: Folder for plots.
      seed: Seed of the load.
    """
    # Forked processes would inherit locks that threads of this process hold.
    context = multiprocessing.get_context("spawn")
    with (
        futures.ProcessPoolExecutor(
            load.PROCESSES, mp_context=context
        ) as executor,
        tqdm.tqdm(total=len(selected), unit="experiment") as progress,
    ):
        load.start_senders(executor)
        for setup, group in itertools.groupby(
            selected, lambda experiment: experiment.setup
        ):
            run_group(
                setup, list(group), executor, results, folder, seed, progress
            )


def run_group(
    setup: environments.FleetSetup,
    group: list[Experiment],
    executor: futures.Executor,
    results: results_module.Results,
    folder: pathlib.Path,
    seed: int,
    progress: tqdm.tqdm,
) -> None:
    """Runs experiments on one fleet, and starts a new one after a failure.

    An experiment that raises an exception is recorded in
    `results.failed_experiments`; the following ones still run.
    """
    remaining = list(group)
    while remaining:
        experiment = remaining[0]
        try:
            with environments.running_environment(
                setup, executor, results, folder, seed
            ) as environment:
                while remaining:
                    experiment = remaining.pop(0)
                    progress.set_description(
                        f"{setup.tenant.name} {experiment.name}"
                    )
                    experiment.run(environment)
                    progress.update()
        except Exception as error:  # pylint: disable=broad-exception-caught
            # A failed experiment must not discard the results of the others.
            results.failed_experiments[
                f"{setup.tenant.name}_{experiment.name}"
            ] = repr(error)
            if experiment in remaining:
                remaining.remove(experiment)
            progress.update()
