"""The command `check`, which checks a document before it is applied."""

import pathlib

import attrs
import click

from waxwinglever_cli import exits
from waxwinglever_cli import global_options as global_options_module
from waxwinglever_cli import output
from waxwinglever_cli import writes
from waxwinglever_model import exceptions
from waxwinglever_model import findings
from waxwinglever_model import json_lines
from waxwinglever_model import limits
from waxwinglever_records import config
from waxwinglever_records import record_differences
from waxwinglever_records import record_findings
from waxwinglever_records import schemas

LIVE = "live"
STANDARD_INPUT = "-"
EXIT_FINDINGS = 1


@attrs.frozen
class Checked:
    """A document with its findings.

    Attributes:
      found: All findings.
      parsed: The configuration, or None if there is an error.
      generation: The generation that the document names, if any.
    """

    found: list[findings.Finding]
    parsed: config.Config | None = None
    generation: int | None = None


def read(path: str) -> str:
    """Returns the text of a file; a longer one than allowed is cut.

    Raises:
      BadRequest: The file can't be read.
    """
    try:
        with click.open_file(path, "rb") as stream:
            data = stream.read(limits.MAX_RECORD_BYTES + 1)
        return data.decode("utf-8")
    except OSError as error:
        raise exceptions.BadRequest(
            f"{path} can't be read: {error.strerror}",
            "give the path of a file that can be read, or - for standard input",
        ) from error
    except UnicodeDecodeError as error:
        raise exceptions.BadRequest(
            f"{path}: not UTF-8: {error}", "save the file as UTF-8"
        ) from error


def check_text(text: str) -> Checked:
    """Returns the findings on the text of a document, with their lines."""
    try:
        content = schemas.load_json(text)
    except exceptions.InvalidInput as error:
        line = getattr(error.__cause__, "lineno", None)
        finding = record_findings.to_finding(error)
        return Checked([attrs.evolve(finding, line=line)])
    found, parsed = check_content(content)
    lines = json_lines.find_lines(text, [item.location[1:] for item in found])
    found = [
        attrs.evolve(item, line=lines[item.location[1:]]) for item in found
    ]
    generation = content.get("generation") if parsed else None
    return Checked(
        sorted(found, key=lambda item: item.line), parsed, generation
    )


def check_content(
    content: object,
) -> tuple[list[findings.Finding], config.Config | None]:
    """Returns the findings on a document, and what it is parsed to."""
    found = record_findings.find_errors(content)
    if found:
        return found, None
    parsed = config.parse_document({"generation": 1, **content})
    return record_findings.find_warnings(parsed), parsed


def compare(
    global_options: global_options_module.GlobalOptions,
    against: str,
    checked: Checked,
) -> tuple[list[findings.Finding], list[findings.Difference] | None]:
    """Returns further findings, and the differences from another version.

    Raises:
      BadRequest: The other version can't be read or is invalid.
      InvalidInput: The value in the store is invalid.
      StoreUnavailable: The store can't be read.
    """
    if against != LIVE:
        other = check_text(read(against))
        if other.parsed is None:
            raise exceptions.BadRequest(
                f"{against}: {other.found[0].message}",
                "compare with a valid document",
            )
        if checked.parsed is None:
            return [], None
        return [], record_differences.compare(other.parsed, checked.parsed)
    tenant = global_options.tenant or getattr(checked.parsed, "tenant", None)
    if tenant is None:
        raise click.UsageError("give --tenant, as the document has errors")
    with global_options_module.opened_store(global_options) as store:
        current = writes.read(store, tenant)
    if checked.parsed is None:
        return [], None
    before = None
    if current.value is not None:
        before = config.parse_structured(
            current.value, config.READABLE_VERSIONS
        )
    found = []
    if checked.generation not in (None, current.generation) and before:
        found.append(
            findings.Finding(
                findings.WARNING,
                (schemas.ROOT, "generation"),
                f"the change is based on {checked.generation}, the store is at"
                f" {current.generation}, so that `apply` refuses it",
                "run `get` and merge the changes",
            )
        )
    return found, record_differences.compare(before, checked.parsed)


@click.command()
@click.argument("file")
@click.option(
    "--against",
    metavar="FILE|live",
    help="Also list the differences from a file or the version in the store.",
)
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
@click.pass_context
def check(
    ctx: click.Context, file: str, against: str | None, as_json: bool
) -> None:
    """Reports all errors and warnings of FILE (- for the standard input).

    Exit code 0: no findings; 1: findings; 2: wrong usage, or a file or the
    store can't be read.
    """
    global_options = ctx.obj
    as_json = as_json or global_options.as_json
    if file == against == STANDARD_INPUT:
        raise click.UsageError("only one of the files can be standard input")
    if against == LIVE and global_options.store is None:
        raise click.UsageError("give --store or set WAXWINGLEVER_STORE")
    checked = check_text(read(file))
    found = checked.found
    differences = None
    failure = None
    if against is not None:
        try:
            more, differences = compare(global_options, against, checked)
            found = found + more
        except (exceptions.WaxwingleverError, click.UsageError) as error:
            failure = error
    output.print_result(
        as_json,
        findings.as_content(found, differences),
        findings.format_text(found, differences),
    )
    if isinstance(failure, exceptions.WaxwingleverError):
        output.CommandError(failure, as_json).show()
        ctx.exit(exits.USAGE)
    if failure is not None:
        raise failure
    ctx.exit(EXIT_FINDINGS if found else exits.OK)


def refuse_errors(path: pathlib.Path, document: dict) -> list[findings.Finding]:
    """Returns the warnings on a document.

    Raises:
      InvalidInput: The document has errors; the message has the first one and
        the number of the others.
    """
    found, parsed = check_content(document)
    if parsed is not None:
        return found
    first = found[0]
    text = f"{findings.format_location(first.location)}: {first.message}"
    if len(found) > 1:
        text += f" (and {len(found) - 1} more; `check` lists all)"
    raise exceptions.InvalidInput(f"{path}: {text}", first.remedy)


def print_warnings(path: pathlib.Path, found: list[findings.Finding]) -> None:
    """Prints warnings on a document to the standard error stream."""
    for finding in found:
        line = findings.format_finding(finding)
        click.echo(f"{output.format_value(path)}: {line}", err=True)
