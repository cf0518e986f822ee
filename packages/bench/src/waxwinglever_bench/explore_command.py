"""The command `explore`: simulates the ownership rules for a range of seeds."""

import contextlib
import re

import click

from waxwinglever_bench import exploration


def parse_seeds(text: str) -> range:
    """Returns the seeds from A to B, both included, for the text `A-B`.

    Raises:
      click.BadParameter: The text has another form, or A is above B.
    """
    match = re.fullmatch(r"(\d+)-(\d+)", text)
    if match is None or int(match[1]) > int(match[2]):
        raise click.BadParameter(f"{text!r} is not a range A-B with A <= B")
    return range(int(match[1]), int(match[2]) + 1)


def run(seeds: range, mutation: str | None) -> bool:
    """Runs one simulation for each seed and prints the totals.

    Args:
      seeds: The seeds.
      mutation: The rule to disable, a key of exploration.MUTATIONS, or None.

    Returns:
      Whether no run had overlapping leases or unserved slices.
    """
    context = exploration.mutated(mutation) if mutation else None
    with context or contextlib.nullcontext():
        results = [exploration.explore(seed) for seed in seeds]
    overlaps = [item for item in results if item.overlap is not None]
    # A run stops at an overlap, so its count of unserved slices means nothing.
    unserved = [
        item for item in results if item.unserved and item.overlap is None
    ]
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
    type=click.Choice(sorted(exploration.MUTATIONS)),
    help="Disable one ownership rule; a run should then find an overlap.",
)
@click.pass_context
def explore(ctx: click.Context, seeds: str, planted: str | None) -> None:
    """Simulates the ownership rules in virtual time, under random faults.

    Exits 1 if two nodes held leases on one point, or if a slice had no lease
    after all faults had ended.
    """
    ctx.exit(0 if run(parse_seeds(seeds), planted) else 1)
