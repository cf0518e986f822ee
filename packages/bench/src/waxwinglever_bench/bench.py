"""The command `bench`: experiments on emulated tenants."""

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

from waxwinglever_bench import executions
from waxwinglever_bench import latency
from waxwinglever_bench import load
from waxwinglever_bench import operations
from waxwinglever_bench import recovery
from waxwinglever_bench import results as results_module
from waxwinglever_bench import scenes

TULPAR = scenes.Setup(scenes.TULPAR)
ASSOCIATION = scenes.Setup(scenes.ASSOCIATION)
# With 5 ms one server's slots carry 2,000 requests a second, more than this
# machine drives. With 100 ms the slots are the limit, not its processors.
TULPAR_SLOW = scenes.Setup(scenes.TULPAR, service_ms=100.0)
ASSOCIATION_SLOW = scenes.Setup(scenes.ASSOCIATION, service_ms=100.0)
TULPAR_COLD = scenes.Setup(scenes.TULPAR, cold_start_s=5.0)


@attrs.frozen
class Experiment:
    """One experiment.

    Attributes:
      name: Name for `--only`; several setups may share it.
      setup: The fleet that it runs on; neighbours with the same one share it.
      run: Runs it.
    """

    name: str
    setup: scenes.Setup
    run: Callable[[scenes.Scene], None]


EXPERIMENTS = (
    Experiment("latency", TULPAR, latency.bound),
    Experiment("overhead", TULPAR, latency.overhead),
    Experiment("zone", TULPAR, operations.zone),
    Experiment("at-most-once", TULPAR, executions.at_most_once),
    Experiment("crash", TULPAR, executions.crash),
    Experiment("configuration", TULPAR, operations.configuration),
    Experiment("drain", TULPAR, operations.drain),
    Experiment("recovery", TULPAR, recovery.recovery),
    Experiment("zone-lost", TULPAR, recovery.zone_lost),
    Experiment("store-down", TULPAR, recovery.leader_without_store),
    Experiment("latency", ASSOCIATION, latency.bound),
    Experiment("zone", ASSOCIATION, operations.zone),
    Experiment("at-most-once", ASSOCIATION, executions.at_most_once),
    Experiment("zone-lost", ASSOCIATION, recovery.zone_lost),
    Experiment("stragglers", TULPAR_SLOW, latency.stragglers),
    Experiment("levels", TULPAR_SLOW, latency.levels),
    Experiment("stragglers", ASSOCIATION_SLOW, latency.stragglers),
    Experiment("cold-start", TULPAR_COLD, executions.cold_start),
)
NAMES = tuple(dict.fromkeys(item.name for item in EXPERIMENTS))


@click.command()
@click.option(
    "--output",
    default="build/bench.json",
    show_default=True,
    type=click.Path(dir_okay=False, path_type=pathlib.Path),
    help="JSON file for the figures; plots go beside it.",
)
@click.option("--only", type=click.Choice(NAMES), help="One experiment.")
@click.option("--seed", default=1, show_default=True)
def bench(output: pathlib.Path, only: str | None, seed: int) -> None:
    """Measures the fleet against the stated bounds.

    Exits 0 when all experiments ran to their end, whether or not the bounds
    were met.
    """
    chosen = [item for item in EXPERIMENTS if only in (None, item.name)]
    results = results_module.Results()
    began = time.monotonic()
    run(chosen, results, output.parent, seed)
    results.add("bench_duration_s", time.monotonic() - began)
    results.add("bench_seed_count", seed)
    results_module.write(results, output)
    click.echo(results_module.table(results))
    sys.exit(1 if results.failures else 0)


def run(
    chosen: list[Experiment],
    results: results_module.Results,
    folder: pathlib.Path,
    seed: int,
) -> None:
    """Runs experiments, one fleet after the other."""
    # Forked senders would inherit the locks of this process's threads.
    context = multiprocessing.get_context("spawn")
    with (
        futures.ProcessPoolExecutor(
            load.PROCESSES, mp_context=context
        ) as executor,
        tqdm.tqdm(total=len(chosen), unit="experiment") as progress,
    ):
        load.start_senders(executor)
        for setup, group in itertools.groupby(chosen, lambda e: e.setup):
            run_group(
                setup, list(group), executor, results, folder, seed, progress
            )


def run_group(
    setup: scenes.Setup,
    group: list[Experiment],
    executor: futures.Executor,
    results: results_module.Results,
    folder: pathlib.Path,
    seed: int,
    progress: tqdm.tqdm,
) -> None:
    """Runs experiments on one fleet, and on a new one after a failure."""
    left = list(group)
    while left:
        item = left[0]
        try:
            with scenes.running(
                setup, executor, results, folder, seed
            ) as scene:
                while left:
                    item = left.pop(0)
                    progress.set_description(f"{setup.tenant.name} {item.name}")
                    item.run(scene)
                    progress.update()
        except Exception as error:  # pylint: disable=broad-exception-caught
            # One failed experiment must not hide the figures of the others.
            results.failures[f"{setup.tenant.name}_{item.name}"] = repr(error)
            if item in left:
                left.remove(item)
            progress.update()
