"""Command that retires a node."""

from collections.abc import Callable

import click

from waxwinglever_cli import global_options as global_options_module
from waxwinglever_cli import options
from waxwinglever_cli import records_commands
from waxwinglever_cli import writes
from waxwinglever_model import exceptions


def make_retire_edit(node: str) -> Callable[[dict], bool]:
    """Returns an edit for edit_documents that adds a node to `retired`."""

    def edit(document: dict) -> bool:
        # Schema version 1 has no such list; daemons that read it ignore
        # retired nodes.
        if document["schema_version"] == 1:
            return False
        retired_nodes = document.setdefault("retired", [])
        if node in retired_nodes:
            return False
        retired_nodes.append(node)
        return True

    return edit


@click.command()
@click.argument("node")
@options.author
@options.message
@click.pass_obj
def retire(
    global_options: global_options_module.GlobalOptions,
    node: str,
    author: str,
    message: str,
) -> None:
    """Marks NODE as permanently lost, so that its cell can continue.

    Use it only for a node whose daemon and backend server will never run again.
    """
    tenant = global_options_module.require_tenant(global_options)
    with global_options_module.opened_store(global_options) as store:
        documents = writes.read_existing(store, tenant).value.documents
        if set(documents) == {"1"}:
            raise exceptions.InvalidInput(
                "the store has only schema version 1, which can't list retired"
                " nodes",
                "apply a document of schema version 2 first",
            )
        result = writes.edit_documents(
            store,
            tenant,
            make_retire_edit(node),
            author,
            message or f"retire {node}",
            global_options.connections.sleep,
        )
    records_commands.print_write_result(global_options, tenant, result)
