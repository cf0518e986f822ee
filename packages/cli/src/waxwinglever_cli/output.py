"""Prints results and errors as text or JSON."""

import json
import typing

import click

from waxwinglever_cli import exits
from waxwinglever_model import exceptions


class Failure(click.ClickException):
    """An error of the project, with its exit code."""

    def __init__(self, error: exceptions.WaxwingleverError, as_json: bool):
        super().__init__(str(error))
        self.exit_code = exits.code_of(error)
        self.error = error
        self.as_json = as_json

    def show(self, file: typing.IO | None = None) -> None:
        """Prints the error to the standard error stream."""
        text = f"Error: {cell(self.message)}"
        if self.as_json:
            text = json.dumps(
                {
                    "kind": self.error.kind,
                    "message": self.error.message,
                    "remedy": self.error.remedy,
                }
            )
        click.echo(text, file=file, err=file is None)


def show(as_json: bool, content: object, text: str) -> None:
    """Prints `content` as JSON, or `text`."""
    click.echo(json.dumps(content, indent=2) if as_json else text)


def cell(value: object) -> str:
    """Returns one line that can't control the terminal."""
    if isinstance(value, (list, tuple)):
        return ", ".join(cell(item) for item in value) or "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    text = "-" if value is None else str(value)
    return "".join(c if c.isprintable() else "?" for c in text)


def table(rows: list[dict]) -> str:
    """Returns rows as columns below the names of their keys."""
    heads = list(dict.fromkeys(key for row in rows for key in row))
    lines = [[cell(head) for head in heads]]
    lines += [[cell(row.get(head)) for head in heads] for row in rows]
    widths = [max(map(len, column)) for column in zip(*lines)]
    return "\n".join(
        "  ".join(t.ljust(w) for t, w in zip(line, widths)).rstrip()
        for line in lines
    )


def describe(content: dict) -> str:
    """Returns an object as text: its plain values, then its tables."""
    plain = {}
    tables = []

    def collect(prefix: str, part: dict) -> None:
        for key, value in part.items():
            name = f"{prefix}{cell(key)}"
            if isinstance(value, dict) and value:
                collect(f"{name}.", value)
            elif isinstance(value, list) and any(
                isinstance(item, dict) for item in value
            ):
                rows = [x if isinstance(x, dict) else {"": x} for x in value]
                tables.append(f"{name}:\n{table(rows)}")
            else:
                plain[name] = "-" if value == {} else cell(value)

    collect("", content)
    width = max(map(len, plain), default=0)
    lines = [f"{name.ljust(width)}  {text}" for name, text in plain.items()]
    return "\n\n".join(["\n".join(lines)] * bool(lines) + tables)
