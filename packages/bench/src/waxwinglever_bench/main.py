"""The program `waxwinglever-bench`."""

import pathlib
import sys

import click

from waxwinglever_bench import bench as benches
from waxwinglever_bench import demo as demos

BUILD = pathlib.Path("build")


@click.group()
def main() -> None:
    """Runs waxwinglever with stand-ins on loopback addresses."""


@main.command()
@click.option("--seed", default=1, show_default=True)
def demo(seed: int) -> None:
    """Shows the whole path and exits 0 only if every answer was right."""
    sys.exit(0 if demos.run(BUILD / "demo", seed) else 1)


main.add_command(benches.bench)

if __name__ == "__main__":
    main()
