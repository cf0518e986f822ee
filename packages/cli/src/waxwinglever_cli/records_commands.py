"""Commands that read, write and check configuration documents."""

import difflib
import json
import pathlib

import attrs
import click

from waxwinglever_cli import check_command
from waxwinglever_cli import global_options as global_options_module
from waxwinglever_cli import options
from waxwinglever_cli import output
from waxwinglever_cli import writes
from waxwinglever_model import exceptions
from waxwinglever_model import limits
from waxwinglever_records import config
from waxwinglever_records import schemas
from waxwinglever_records import stored_config

DOCUMENT_FILE = click.Path(
    exists=True, dir_okay=False, allow_dash=True, path_type=pathlib.Path
)


def load_document(path: pathlib.Path) -> dict:
    """Reads a document from a file.

    Raises:
      InvalidInput: The file is not a JSON object; the message names it.
    """
    try:
        with click.open_file(str(path), "rb") as stream:
            data = stream.read(limits.MAX_RECORD_BYTES + 1)
        content = schemas.load_json(data.decode("utf-8"))
        if not isinstance(content, dict):
            raise exceptions.InvalidInput(
                "$: a document must be an object", "use a JSON object"
            )
        return content
    except exceptions.InvalidInput as error:
        raise with_file_name(path, error) from error
    except UnicodeDecodeError as error:
        raise exceptions.InvalidInput(
            f"{path}: not UTF-8: {error}", "save the file as UTF-8"
        ) from error


def with_file_name(
    path: pathlib.Path, error: exceptions.InvalidInput
) -> exceptions.InvalidInput:
    """Returns the error with the name of the file before its message."""
    return exceptions.InvalidInput(f"{path}: {error.message}", error.remedy)


def load_documents(paths: tuple[pathlib.Path, ...]) -> dict[int, dict]:
    """Reads and validates documents, and returns them by schema version.

    Raises:
      InvalidInput: A document is invalid, or two have the same schema version,
        or their tenants, zones or generations differ.
    """
    documents = {}
    for path in paths:
        document = load_document(path)
        check_command.refuse_errors(path, document)
        # A document that was never applied may lack a generation.
        parsed = config.parse_document({"generation": 1, **document})
        if parsed.schema_version in documents:
            raise exceptions.InvalidInput(
                f"{path}: second document of schema version"
                f" {parsed.schema_version}",
                "give one document for each schema version",
            )
        documents[parsed.schema_version] = document
    stored_config.check_documents(documents, 1)
    generations = {
        document["generation"]
        for document in documents.values()
        if "generation" in document
    }
    if len(generations) > 1:
        raise exceptions.InvalidInput(
            f"$.generation: {sorted(generations)} differ between the files",
            "give documents of the same generation",
        )
    return documents


def check_generation(
    tenant: str,
    documents: dict[int, dict],
    expected: int | None,
    current: writes.StoredValue,
) -> None:
    """Raises Conflict unless the change is based on the stored generation.

    By default the expected generation is the one in the documents, which is
    the generation that `get` printed. The one in the documents is ignored when
    the tenant has no stored value yet.
    """
    if expected is None and current.value is not None:
        for document in documents.values():
            expected = document.get("generation", expected)
    if expected is not None and expected != current.generation:
        raise exceptions.Conflict(
            f"tenant {tenant!r} is at generation {current.generation}, the"
            f" change is based on {expected}; nothing was written",
            "run `get`, merge the changes and apply again",
        )


def check_schema_versions(
    documents: dict[int, dict], current: writes.StoredValue
) -> None:
    """Raises InvalidInput if a stored schema version would be removed."""
    stored = current.value.documents if current.value else {}
    missing = sorted(set(stored) - {str(version) for version in documents})
    if missing:
        raise exceptions.InvalidInput(
            f"the store also has schema version {', '.join(missing)}",
            "give a document of each version, or --drop-missing when no daemon"
            " reads it any more",
        )


@click.command()
@click.argument("files", nargs=-1, required=True, type=DOCUMENT_FILE)
@click.option(
    "--expect-generation",
    type=click.IntRange(min=0),
    help="Write only if the store has this generation (0: no value yet).",
)
@click.option(
    "--drop-missing",
    is_flag=True,
    help="Remove stored schema versions for which no file is given.",
)
@options.author
@options.message
@click.pass_obj
def apply(
    global_options: global_options_module.GlobalOptions,
    files: tuple[pathlib.Path, ...],
    expect_generation: int | None,
    drop_missing: bool,
    author: str,
    message: str,
) -> None:
    """Writes FILES, one for each schema version, as the next generation.

    A `generation` in the files is the one that the edit is based on.
    """
    documents = load_documents(files)
    for path, document in zip(files, documents.values()):
        warnings = check_command.refuse_errors(path, document)
        check_command.print_warnings(path, warnings)
    tenant = next(iter(documents.values()))["tenant"]
    if global_options.tenant not in (None, tenant):
        raise click.UsageError(
            f"--tenant is {global_options.tenant!r}, the files have {tenant!r}"
        )
    with global_options_module.opened_store(global_options) as store:
        current = writes.read(store, tenant)
        check_generation(tenant, documents, expect_generation, current)
        if not drop_missing:
            check_schema_versions(documents, current)
        text = stored_config.make_next_value(
            current.text, documents, author, message
        )
        sleep = global_options.connections.sleep
        result = writes.write(store, tenant, current, text, sleep)
    print_write_result(global_options, tenant, result)


def print_write_result(
    global_options: global_options_module.GlobalOptions,
    tenant: str,
    result: writes.WriteResult | None,
) -> None:
    """Prints the result of a write; None means that nothing changed."""
    if result is None:
        content = {"tenant": tenant, "changed": False}
        output.print_result(
            global_options.as_json, content, f"{tenant}: nothing to change"
        )
        return
    content = {"tenant": tenant, "changed": True, **attrs.asdict(result)}
    text = f"{tenant}: generation {result.generation} is written"
    if result.answer_lost:
        text += " (a response of the store was lost; the write took effect)"
    output.print_result(global_options.as_json, content, text)


def select_document(
    current: writes.StoredValue, schema_version: int | None
) -> dict:
    """Returns a stored document, by default of the newest schema version.

    Raises:
      InvalidInput: No document of this schema version is stored.
    """
    documents = current.value.documents
    if schema_version is None:
        return stored_config.editable_documents(current.value)[
            max(map(int, documents))
        ]
    if str(schema_version) not in documents:
        raise exceptions.InvalidInput(
            f"the store has no document of schema version {schema_version}",
            f"use one of: {', '.join(sorted(documents))}",
        )
    return documents[str(schema_version)]


@click.command()
@click.option(
    "--schema-version", type=int, help="Schema version; the newest by default."
)
@click.pass_obj
def get(
    global_options: global_options_module.GlobalOptions,
    schema_version: int | None,
) -> None:
    """Prints the stored document of a tenant."""
    tenant = global_options_module.require_tenant(global_options)
    with global_options_module.opened_store(global_options) as store:
        current = writes.read_existing(store, tenant)
    click.echo(json.dumps(select_document(current, schema_version), indent=2))


@click.command()
@click.argument("file", type=DOCUMENT_FILE)
@click.pass_obj
def diff(
    global_options: global_options_module.GlobalOptions, file: pathlib.Path
) -> None:
    """Compares FILE with the stored document of its schema version."""
    documents = load_documents((file,))
    version, document = next(iter(documents.items()))
    tenant = global_options.tenant or document["tenant"]
    with global_options_module.opened_store(global_options) as store:
        current = writes.read(store, tenant)
    stored = current.value.documents if current.value else {}
    lines = list(
        difflib.unified_diff(
            lines_for_diff(stored.get(str(version), {})),
            lines_for_diff(document),
            f"store (generation {current.generation})",
            str(file),
            lineterm="",
        )
    )
    content = {"tenant": tenant, "differs": bool(lines), "diff": lines}
    output.print_result(
        global_options.as_json, content, "\n".join(lines) or "no difference"
    )


def lines_for_diff(document: dict) -> list[str]:
    """Returns a document as lines for a diff, without its generation."""
    content = {
        key: item for key, item in document.items() if key != "generation"
    }
    return json.dumps(content, indent=2, sort_keys=True).splitlines()


@click.command()
@click.pass_obj
def history(global_options: global_options_module.GlobalOptions) -> None:
    """Lists the newest changes of a tenant, oldest first."""
    tenant = global_options_module.require_tenant(global_options)
    with global_options_module.opened_store(global_options) as store:
        current = writes.read_existing(store, tenant)
    rows = [attrs.asdict(entry) for entry in current.value.history]
    output.print_result(global_options.as_json, rows, output.format_table(rows))


@click.command()
@click.argument("files", nargs=-1, required=True, type=DOCUMENT_FILE)
@click.pass_obj
def validate(
    global_options: global_options_module.GlobalOptions,
    files: tuple[pathlib.Path, ...],
) -> None:
    """Validates FILES without access to the store."""
    documents = load_documents(files)
    tenant = next(iter(documents.values()))["tenant"]
    versions = sorted(documents)
    output.print_result(
        global_options.as_json,
        {"tenant": tenant, "schema_versions": versions, "valid": True},
        f"{tenant}: valid (schema version {output.format_value(versions)})",
    )
