"""Commands that take availability zones out of service and put them back."""

from collections.abc import Callable

import click

from waxwinglever_cli import global_options as global_options_module
from waxwinglever_cli import options
from waxwinglever_cli import records_commands
from waxwinglever_cli import writes
from waxwinglever_model import exceptions
from waxwinglever_records import config


@click.group()
def zone() -> None:
    """Takes availability zones out of service or puts them back."""


def make_state_edit(name: str, state: str) -> Callable[[dict], bool]:
    """Returns an edit for edit_documents that sets the state of a zone."""

    def edit(document: dict) -> bool:
        for item in document["zones"]:
            if item["name"] == name:
                previous_state = item.get("state", config.ZONE_IN)
                item["state"] = state
                return previous_state != state
        names = ", ".join(item["name"] for item in document["zones"])
        raise exceptions.InvalidInput(
            f"zone {name!r} does not exist", f"use one of: {names}"
        )

    return edit


def write_zone_state(
    global_options: global_options_module.GlobalOptions,
    name: str,
    state: str,
    author: str,
    message: str,
) -> None:
    """Sets the state of a zone in every stored document."""
    tenant = global_options_module.require_tenant(global_options)
    reason = message or f"zone {state} {name}"
    with global_options_module.opened_store(global_options) as store:
        result = writes.edit_documents(
            store,
            tenant,
            make_state_edit(name, state),
            author,
            reason,
            global_options.connections.sleep,
        )
    records_commands.print_write_result(global_options, tenant, result)


@zone.command("out")
@click.argument("name")
@options.author
@options.message
@click.pass_obj
def zone_out(
    global_options: global_options_module.GlobalOptions,
    name: str,
    author: str,
    message: str,
) -> None:
    """Takes zone NAME out of service: no new work after a few seconds."""
    write_zone_state(global_options, name, config.ZONE_OUT, author, message)


@zone.command("in")
@click.argument("name")
@options.author
@options.message
@click.pass_obj
def zone_in(
    global_options: global_options_module.GlobalOptions,
    name: str,
    author: str,
    message: str,
) -> None:
    """Puts zone NAME back into service."""
    write_zone_state(global_options, name, config.ZONE_IN, author, message)
