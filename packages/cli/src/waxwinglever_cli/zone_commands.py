"""Commands that take zones out of service and back in."""

from collections.abc import Callable

import click

from waxwinglever_cli import options
from waxwinglever_cli import records_commands
from waxwinglever_cli import settings as settings_module
from waxwinglever_cli import writes
from waxwinglever_model import exceptions
from waxwinglever_records import config


@click.group()
def zone() -> None:
    """Takes availability zones out of service and back in."""


def set_state(name: str, state: str) -> Callable[[dict], bool]:
    """Returns the edit that gives a zone a state."""

    def change(document: dict) -> bool:
        for item in document["zones"]:
            if item["name"] == name:
                before = item.get("state", config.ZONE_IN)
                item["state"] = state
                return before != state
        names = ", ".join(item["name"] for item in document["zones"])
        raise exceptions.InvalidInput(
            f"zone {name!r} does not exist", f"use one of: {names}"
        )

    return change


def write_state(
    settings: settings_module.Settings,
    name: str,
    state: str,
    author: str,
    message: str,
) -> None:
    """Gives a zone a state in every stored document."""
    tenant = settings_module.tenant(settings)
    note = message or f"zone {state} {name}"
    with settings_module.opened_store(settings) as store:
        written = writes.edit(
            store,
            tenant,
            set_state(name, state),
            author,
            note,
            settings.connections.sleep,
        )
    records_commands.show_written(settings, tenant, written)


@zone.command("out")
@click.argument("name")
@options.author
@options.message
@click.pass_obj
def zone_out(
    settings: settings_module.Settings, name: str, author: str, message: str
) -> None:
    """Takes zone NAME out: it gets no new work after a few seconds."""
    write_state(settings, name, config.ZONE_OUT, author, message)


@zone.command("in")
@click.argument("name")
@options.author
@options.message
@click.pass_obj
def zone_in(
    settings: settings_module.Settings, name: str, author: str, message: str
) -> None:
    """Takes zone NAME back in."""
    write_state(settings, name, config.ZONE_IN, author, message)
