"""Entry point and global options of the program `waxwinglever`."""

import click

from waxwinglever_cli import check_command
from waxwinglever_cli import exits
from waxwinglever_cli import explain_command
from waxwinglever_cli import global_options as global_options_module
from waxwinglever_cli import node_commands
from waxwinglever_cli import output
from waxwinglever_cli import records_commands
from waxwinglever_cli import status_commands
from waxwinglever_cli import zone_commands
from waxwinglever_model import exceptions


class ErrorHandlingGroup(click.Group):
    """A click group that reports WaxwingleverError with its exit code."""

    def invoke(self, ctx: click.Context) -> object:
        """Runs the command and raises CommandError if it fails."""
        try:
            return super().invoke(ctx)
        except exceptions.WaxwingleverError as error:
            as_json = ctx.params.get("output_format") == "json"
            raise output.CommandError(error, as_json) from error


@click.group(cls=ErrorHandlingGroup, epilog=exits.EXIT_CODES_HELP)
@click.option(
    "--store",
    envvar="WAXWINGLEVER_STORE",
    callback=global_options_module.validate_address,
    metavar="HOST:PORT",
    help="Address of the store (env WAXWINGLEVER_STORE).",
)
@click.option(
    "--daemon",
    envvar="WAXWINGLEVER_DAEMON",
    callback=global_options_module.validate_address,
    metavar="HOST:PORT",
    help="HTTP address of a daemon (env WAXWINGLEVER_DAEMON).",
)
@click.option(
    "--output",
    "output_format",
    type=click.Choice(["text", "json"]),
    default="text",
    help="Format of results and errors.",
)
@click.option(
    "--tenant",
    callback=global_options_module.validate_tenant,
    help="Name of the tenant.",
)
@click.pass_context
def main(
    ctx: click.Context,
    store: str | None,
    daemon: str | None,
    output_format: str,
    tenant: str | None,
) -> None:
    """Controls and inspects waxwinglever."""
    ctx.obj = global_options_module.GlobalOptions(
        store=store,
        daemon=daemon,
        tenant=tenant,
        as_json=output_format == "json",
        connections=ctx.obj or global_options_module.Connections(),
    )


for command in (
    records_commands.apply,
    records_commands.get,
    records_commands.diff,
    records_commands.history,
    records_commands.validate,
    check_command.check,
    zone_commands.zone,
    node_commands.retire,
    status_commands.status,
    status_commands.owner,
    explain_command.explain,
):
    main.add_command(command)


if __name__ == "__main__":
    main.main(prog_name="waxwinglever")
