"""Commands on single nodes."""

from collections.abc import Callable

import click

from waxwinglever_cli import options
from waxwinglever_cli import records_commands
from waxwinglever_cli import settings as settings_module
from waxwinglever_cli import writes
from waxwinglever_model import exceptions


def add_retired(node: str) -> Callable[[dict], bool]:
    """Returns the edit that lists a node under `retired`."""

    def change(document: dict) -> bool:
        # Version 1 has no such list, and its readers retire no node.
        if document["schema_version"] == 1:
            return False
        nodes = document.setdefault("retired", [])
        if node in nodes:
            return False
        nodes.append(node)
        return True

    return change


@click.command()
@click.argument("node")
@options.author
@options.message
@click.pass_obj
def retire(
    settings: settings_module.Settings, node: str, author: str, message: str
) -> None:
    """Records that NODE is lost for good, so that its cell can go on.

    Only for a node whose daemon and backend server will never run again.
    """
    tenant = settings_module.tenant(settings)
    with settings_module.opened_store(settings) as store:
        documents = writes.read_existing(store, tenant).value.documents
        if set(documents) == {"1"}:
            raise exceptions.InvalidInput(
                "the store has only schema version 1, which can't list retired"
                " nodes",
                "apply a document of schema version 2 first",
            )
        written = writes.edit(
            store,
            tenant,
            add_retired(node),
            author,
            message or f"retire {node}",
            settings.connections.sleep,
        )
    records_commands.show_written(settings, tenant, written)
