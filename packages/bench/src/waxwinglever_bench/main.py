"""The program `waxwinglever-bench`."""

import pathlib
import sys

import click

from waxwinglever_bench import bench as benches
from waxwinglever_bench import demo as demos
from waxwinglever_bench import explore_command
from waxwinglever_bench import slopes as slopes_module
from waxwinglever_bench import soak

BUILD = pathlib.Path("build")


@click.group()
def main() -> None:
    """Runs waxwinglever with stand-ins on loopback addresses."""


@main.command()
@click.option(
    "--seed",
    default=1,
    show_default=True,
    help="Seed of the request bodies.",
)
def demo(seed: int) -> None:
    """Shows the whole path and exits 0 only if every answer was right."""
    sys.exit(0 if demos.run(BUILD / "demo", seed) else 1)


@main.command()
@click.option("--members", "sizes", multiple=True, default=(10, 30))
@click.option("--seconds", default=20.0, show_default=True)
@click.option("--network", default=40, show_default=True)
def slopes(sizes: tuple[int, ...], seconds: float, network: int) -> None:
    """Measures what control costs a daemon, by the size of its cell."""
    for size in sizes:
        for cost in slopes_module.measure(int(size), seconds, network):
            click.echo(
                f"{cost.role} of {cost.members}: {cost.cpu_percent:.2f}% of a"
                f" core, {cost.rss_mb:.1f} MB, {cost.kb_per_s:.2f} KB/s,"
                f" {cost.threads:.0f} threads"
            )


main.add_command(explore_command.explore)
main.add_command(soak.soak)
main.add_command(benches.bench)

if __name__ == "__main__":
    main()
