"""The program `waxwinglever-bench`."""

import pathlib
import sys

import click

from waxwinglever_bench import bench as bench_module
from waxwinglever_bench import demo as demo_module
from waxwinglever_bench import exchange as exchange_module
from waxwinglever_bench import explore_command
from waxwinglever_bench import slopes as slopes_module
from waxwinglever_bench import soak

BUILD_FOLDER = pathlib.Path("build")


@click.group()
def main() -> None:
    """Tests and measures waxwinglever with stand-in servers on loopback."""


@main.command()
@click.option(
    "--seed",
    default=1,
    show_default=True,
    help="Seed of the request bodies.",
)
def demo(seed: int) -> None:
    """Runs a small fleet and checks each response; exits 1 if a check fails."""
    sys.exit(0 if demo_module.run(BUILD_FOLDER / "demo", seed) else 1)


@main.command()
@click.option("--members", "sizes", multiple=True, default=(10, 30))
@click.option("--seconds", default=20.0, show_default=True)
@click.option("--network", default=40, show_default=True)
def slopes(sizes: tuple[int, ...], seconds: float, network: int) -> None:
    """Measures the cost of the control plane in a daemon, by cell size."""
    for size in sizes:
        for cost in slopes_module.measure_cell(int(size), seconds, network):
            click.echo(
                f"{cost.role} of {cost.members}: {cost.cpu_percent:.2f}% of a"
                f" core, {cost.rss_mb:.1f} MB, {cost.kb_per_s:.2f} KB/s,"
                f" {cost.threads:.0f} threads"
            )


@main.command()
@click.option(
    "--requests",
    default=1_500,
    show_default=True,
    help="Requests in each of the rounds.",
)
def exchange(requests: int) -> None:
    """Measures the processor time of a request with the daemons' client."""
    for framing in exchange_module.FRAMINGS:
        cost_us = exchange_module.measure(framing, requests)
        click.echo(f"{framing}: {cost_us:.0f} microseconds a request")


main.add_command(explore_command.explore)
main.add_command(soak.soak)
main.add_command(bench_module.bench)

if __name__ == "__main__":
    main()
