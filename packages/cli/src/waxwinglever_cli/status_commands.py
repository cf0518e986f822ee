"""Commands that query a daemon."""

import click

from waxwinglever_cli import global_options as global_options_module
from waxwinglever_cli import output


@click.command()
@click.pass_obj
def status(global_options: global_options_module.GlobalOptions) -> None:
    """Prints the status of a daemon."""
    content = global_options_module.fetch_from_daemon(
        global_options, "/status", {}
    )
    output.print_result(
        global_options.as_json, content, output.format_object(content)
    )


@click.command()
@click.argument("key")
@click.option("--service", required=True, help="Service that owns the key.")
@click.pass_obj
def owner(
    global_options: global_options_module.GlobalOptions, key: str, service: str
) -> None:
    """Prints the owner of KEY according to a daemon."""
    params = {
        "tenant": global_options_module.require_tenant(global_options),
        "service": service,
        "key": key,
    }
    content = global_options_module.fetch_from_daemon(
        global_options, "/owner", params
    )
    output.print_result(
        global_options.as_json, content, output.format_object(content)
    )
