"""Runs the exploration of the ownership rules over a range of seeds."""

import contextlib
import re

import click

from waxwinglever_bench import exploration


def parse_seeds(text: str) -> range:
    """Returns the seeds in `A-B`, both included.

    Raises:
      click.BadParameter: The text is not such a range.
    """
    match = re.fullmatch(r"(\d+)-(\d+)", text)
    if match is None or int(match[1]) > int(match[2]):
        raise click.BadParameter(f"{text!r} is not A-B with A at most B")
    return range(int(match[1]), int(match[2]) + 1)


def run(seeds: range, planted: str | None) -> bool:
    """Explores each seed, prints the totals and returns whether all held."""
    context = exploration.planted(planted) if planted else None
    with context or contextlib.nullcontext():
        results = [exploration.explore(seed) for seed in seeds]
    overlaps = [item for item in results if item.overlap is not None]
    # A run stops at an overlap, so its slices tell nothing.
    unserved = [i for i in results if i.unserved and i.overlap is None]
    for item in overlaps:
        click.echo(f"seed {item.seed}: {item.overlap}", err=True)
    for item in unserved:
        click.echo(f"seed {item.seed}: {item.unserved} unserved", err=True)
    click.echo(
        f"{len(results)} seeds, {len(overlaps)} with an overlap,"
        f" {len(unserved)} with unserved slices,"
        f" {sum(item.term for item in results)} terms,"
        f" {sum(item.epochs for item in results)} assignments,"
        f" {sum(item.dispatched for item in results)} dispatched"
    )
    return not overlaps and not unserved


@click.command()
@click.option("--seeds", default="1-200", show_default=True, metavar="A-B")
@click.option(
    "--planted",
    type=click.Choice(sorted(exploration.PLANTED)),
    help="Switch one rule off; the overlaps that follow show its worth.",
)
@click.pass_context
def explore(ctx: click.Context, seeds: str, planted: str | None) -> None:
    """Explores the ownership rules in virtual time.

    Exits 1 when two nodes held leases on one point, or when a slice had no
    lease after all faults were healed.
    """
    ctx.exit(0 if run(parse_seeds(seeds), planted) else 1)
