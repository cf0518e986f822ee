"""Commands that query a daemon."""

import click

from waxwinglever_cli import output
from waxwinglever_cli import settings as settings_module


@click.command()
@click.pass_obj
def status(settings: settings_module.Settings) -> None:
    """Prints the status of a daemon."""
    content = settings_module.fetch_from_daemon(settings, "/status", {})
    output.print_result(
        settings.as_json, content, output.format_object(content)
    )


@click.command()
@click.argument("key")
@click.option("--service", required=True, help="Service that owns the key.")
@click.pass_obj
def owner(settings: settings_module.Settings, key: str, service: str) -> None:
    """Prints the owner of KEY according to a daemon."""
    params = {
        "tenant": settings_module.require_tenant(settings),
        "service": service,
        "key": key,
    }
    content = settings_module.fetch_from_daemon(settings, "/owner", params)
    output.print_result(
        settings.as_json, content, output.format_object(content)
    )
