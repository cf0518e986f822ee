"""Commands that ask a daemon."""

import click

from waxwinglever_cli import output
from waxwinglever_cli import settings as settings_module


@click.command()
@click.pass_obj
def status(settings: settings_module.Settings) -> None:
    """Prints the status of a daemon."""
    content = settings_module.fetch(settings, "/status", {})
    output.show(settings.as_json, content, output.describe(content))


@click.command()
@click.argument("key")
@click.option("--service", required=True, help="Service that owns the key.")
@click.pass_obj
def owner(settings: settings_module.Settings, key: str, service: str) -> None:
    """Prints the owner of KEY as a daemon knows it."""
    params = {
        "tenant": settings_module.tenant(settings),
        "service": service,
        "key": key,
    }
    content = settings_module.fetch(settings, "/owner", params)
    output.show(settings.as_json, content, output.describe(content))
