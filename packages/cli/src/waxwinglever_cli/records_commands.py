"""Commands on whole configuration records."""

import difflib
import json
import pathlib

import attrs
import click

from waxwinglever_cli import options
from waxwinglever_cli import output
from waxwinglever_cli import settings as settings_module
from waxwinglever_cli import writes
from waxwinglever_model import exceptions
from waxwinglever_model import limits
from waxwinglever_records import config
from waxwinglever_records import schemas
from waxwinglever_records import value

FILE = click.Path(
    exists=True, dir_okay=False, allow_dash=True, path_type=pathlib.Path
)


def load(path: pathlib.Path) -> dict:
    """Returns the document in a file.

    Raises:
      InvalidInput: The file is no JSON object; names the file.
    """
    try:
        with click.open_file(str(path), "rb") as stream:
            data = stream.read(limits.MAX_RECORD_BYTES + 1)
        content = schemas.load_json(data.decode("utf-8"))
        if not isinstance(content, dict):
            raise exceptions.InvalidInput(
                "$: a document is an object", "use a JSON object"
            )
        return content
    except exceptions.InvalidInput as error:
        raise in_file(path, error) from error
    except UnicodeDecodeError as error:
        raise exceptions.InvalidInput(
            f"{path}: not UTF-8: {error}", "save the file as UTF-8"
        ) from error


def in_file(
    path: pathlib.Path, error: exceptions.InvalidInput
) -> exceptions.InvalidInput:
    """Returns the error with the name of the file."""
    return exceptions.InvalidInput(f"{path}: {error.message}", error.remedy)


def load_all(paths: tuple[pathlib.Path, ...]) -> dict[int, dict]:
    """Returns checked documents by schema version.

    Raises:
      InvalidInput: A file is invalid, or they do not belong together.
    """
    documents = {}
    for path in paths:
        document = load(path)
        try:
            # A document that was never applied may lack a generation.
            parsed = config.parse_document({"generation": 1, **document})
        except exceptions.InvalidInput as error:
            raise in_file(path, error) from error
        if parsed.schema_version in documents:
            raise exceptions.InvalidInput(
                f"{path}: second document of schema version"
                f" {parsed.schema_version}",
                "give one document for each schema version",
            )
        documents[parsed.schema_version] = document
    value.check_documents(documents, 1)
    generations = {
        d["generation"] for d in documents.values() if "generation" in d
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
    current: writes.Current,
) -> None:
    """Raises Conflict when the change is not based on the present value.

    Without an expected generation the one in the documents counts, which is
    the generation that `get` printed. It is not looked at for the first write
    of a tenant.
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


def check_versions(documents: dict[int, dict], current: writes.Current) -> None:
    """Raises InvalidInput when a stored schema version would disappear."""
    stored = current.value.documents if current.value else {}
    missing = sorted(set(stored) - {str(version) for version in documents})
    if missing:
        raise exceptions.InvalidInput(
            f"the store also has schema version {', '.join(missing)}",
            "give a document of each version, or --drop-missing when no daemon"
            " reads it any more",
        )


@click.command()
@click.argument("files", nargs=-1, required=True, type=FILE)
@click.option(
    "--expect-generation",
    type=click.IntRange(min=0),
    help="Write only if the store has this generation (0: none).",
)
@click.option(
    "--drop-missing",
    is_flag=True,
    help="Drop stored schema versions for which no file is given.",
)
@options.author
@options.message
@click.pass_obj
def apply(
    settings: settings_module.Settings,
    files: tuple[pathlib.Path, ...],
    expect_generation: int | None,
    drop_missing: bool,
    author: str,
    message: str,
) -> None:
    """Writes FILES, one for each schema version, as the next generation.

    A `generation` in the files is the one that they were edited from.
    """
    documents = load_all(files)
    tenant = next(iter(documents.values()))["tenant"]
    if settings.tenant not in (None, tenant):
        raise click.UsageError(
            f"--tenant is {settings.tenant!r}, the files have {tenant!r}"
        )
    with settings_module.opened_store(settings) as store:
        current = writes.read(store, tenant)
        check_generation(tenant, documents, expect_generation, current)
        if not drop_missing:
            check_versions(documents, current)
        text = value.next_value(current.text, documents, author, message)
        sleep = settings.connections.sleep
        written = writes.write(store, tenant, current, text, sleep)
    show_written(settings, tenant, written)


def show_written(
    settings: settings_module.Settings,
    tenant: str,
    written: writes.Written | None,
) -> None:
    """Prints the result of a write."""
    if written is None:
        content = {"tenant": tenant, "changed": False}
        output.show(settings.as_json, content, f"{tenant}: nothing to change")
        return
    content = {"tenant": tenant, "changed": True, **attrs.asdict(written)}
    text = f"{tenant}: generation {written.generation} is written"
    if written.answer_lost:
        text += " (an answer of the store was lost; the write took effect)"
    output.show(settings.as_json, content, text)


def document_of(current: writes.Current, schema_version: int | None) -> dict:
    """Returns a stored document, by default of the newest version."""
    documents = current.value.documents
    if schema_version is None:
        return value.documents_of(current.value)[max(map(int, documents))]
    if str(schema_version) not in documents:
        raise exceptions.InvalidInput(
            f"the store has no document of schema version {schema_version}",
            f"use one of: {', '.join(sorted(documents))}",
        )
    return documents[str(schema_version)]


@click.command()
@click.option("--schema-version", type=int, help="The newest by default.")
@click.pass_obj
def get(settings: settings_module.Settings, schema_version: int | None) -> None:
    """Prints the stored document of a tenant."""
    tenant = settings_module.tenant(settings)
    with settings_module.opened_store(settings) as store:
        current = writes.read_existing(store, tenant)
    click.echo(json.dumps(document_of(current, schema_version), indent=2))


@click.command()
@click.argument("file", type=FILE)
@click.pass_obj
def diff(settings: settings_module.Settings, file: pathlib.Path) -> None:
    """Compares FILE with the stored document of its schema version."""
    documents = load_all((file,))
    version, document = next(iter(documents.items()))
    tenant = settings.tenant or document["tenant"]
    with settings_module.opened_store(settings) as store:
        current = writes.read(store, tenant)
    stored = current.value.documents if current.value else {}
    lines = list(
        difflib.unified_diff(
            comparable(stored.get(str(version), {})),
            comparable(document),
            f"store (generation {current.generation})",
            str(file),
            lineterm="",
        )
    )
    content = {"tenant": tenant, "differs": bool(lines), "diff": lines}
    output.show(settings.as_json, content, "\n".join(lines) or "no difference")


def comparable(document: dict) -> list[str]:
    """Returns a document as lines, without its generation."""
    content = {k: v for k, v in document.items() if k != "generation"}
    return json.dumps(content, indent=2, sort_keys=True).splitlines()


@click.command()
@click.pass_obj
def history(settings: settings_module.Settings) -> None:
    """Lists the newest changes of a tenant, oldest first."""
    tenant = settings_module.tenant(settings)
    with settings_module.opened_store(settings) as store:
        current = writes.read_existing(store, tenant)
    rows = [attrs.asdict(entry) for entry in current.value.history]
    output.show(settings.as_json, rows, output.table(rows))


@click.command()
@click.argument("files", nargs=-1, required=True, type=FILE)
@click.pass_obj
def validate(
    settings: settings_module.Settings, files: tuple[pathlib.Path, ...]
) -> None:
    """Checks FILES without the store."""
    documents = load_all(files)
    tenant = next(iter(documents.values()))["tenant"]
    versions = sorted(documents)
    output.show(
        settings.as_json,
        {"tenant": tenant, "schema_versions": versions, "valid": True},
        f"{tenant}: valid (schema version {output.cell(versions)})",
    )
