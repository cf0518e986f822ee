"""Formats and prints results and errors as text or JSON."""

import json
import typing

import click

from waxwinglever_cli import exits
from waxwinglever_model import exceptions


class CommandError(click.ClickException):
    """Ends the program with the message and exit code of an error.

    Attributes:
      exit_code: Exit code of the program.
      error: The error that ended the command.
      as_json: Whether to print the error as JSON.
    """

    def __init__(self, error: exceptions.WaxwingleverError, as_json: bool):
        super().__init__(str(error))
        self.exit_code = exits.exit_code_for(error)
        self.error = error
        self.as_json = as_json

    def show(self, file: typing.IO | None = None) -> None:
        """Prints the error to `file`, or else to the standard error stream."""
        text = f"Error: {format_value(self.message)}"
        if self.as_json:
            text = json.dumps(
                {
                    "kind": self.error.kind,
                    "message": self.error.message,
                    "remedy": self.error.remedy,
                }
            )
        click.echo(text, file=file, err=file is None)


def print_result(as_json: bool, content: object, text: str) -> None:
    """Prints `content` as JSON if `as_json` is set, and otherwise `text`."""
    click.echo(json.dumps(content, indent=2) if as_json else text)


def format_value(value: object) -> str:
    """Formats a value as one line without control characters.

    Each character that is not printable becomes `?`, so that a value can't
    control the terminal.
    """
    if isinstance(value, (list, tuple)):
        return ", ".join(format_value(item) for item in value) or "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    text = "-" if value is None else str(value)
    return "".join(c if c.isprintable() else "?" for c in text)


def format_table(rows: list[dict]) -> str:
    """Formats rows as aligned columns, with their keys as headers."""
    headers = list(dict.fromkeys(key for row in rows for key in row))
    lines = [[format_value(header) for header in headers]]
    lines += [
        [format_value(row.get(header)) for header in headers] for row in rows
    ]
    widths = [max(map(len, column)) for column in zip(*lines)]
    return "\n".join(
        "  ".join(
            text.ljust(width) for text, width in zip(line, widths)
        ).rstrip()
        for line in lines
    )


def format_object(content: dict) -> str:
    """Formats an object as text.

    Plain values come first, one per line with the dotted path of their keys;
    lists of objects follow as tables.
    """
    plain_values = {}
    tables = []

    def collect(prefix: str, section: dict) -> None:
        for key, value in section.items():
            name = f"{prefix}{format_value(key)}"
            if isinstance(value, dict) and value:
                collect(f"{name}.", value)
            elif isinstance(value, list) and any(
                isinstance(item, dict) for item in value
            ):
                rows = [
                    item if isinstance(item, dict) else {"": item}
                    for item in value
                ]
                tables.append(f"{name}:\n{format_table(rows)}")
            else:
                plain_values[name] = "-" if value == {} else format_value(value)

    collect("", content)
    width = max(map(len, plain_values), default=0)
    lines = [
        f"{name.ljust(width)}  {text}" for name, text in plain_values.items()
    ]
    return "\n\n".join(["\n".join(lines)] * bool(lines) + tables)
