"""Finds the lines of values in a JSON text."""

import json
import re
from collections.abc import Iterable

from waxwinglever_model import findings

# Of the other values, such as numbers, no part needs to be read.
TOKEN_PATTERN = re.compile(r'"(?:[^"\\]|\\.)*"|[\[\]{},:\n]', re.DOTALL)
SPACE_PATTERN = re.compile(r"\s*")


def find_lines(
    text: str, locations: Iterable[findings.Location]
) -> dict[findings.Location, int]:
    """Returns the lines, from 1, on which values of a JSON text begin.

    A value that doesn't exist, such as a missing key, gets the line of the
    nearest value around it.

    Args:
      text: A valid JSON text.
      locations: Keys and indexes from the root to each value.
    """
    wanted = set(locations)
    prefixes = {
        location[:size]
        for location in wanted
        for size in range(len(location) + 1)
    }
    lines = {(): 1}
    path: list[str | int] = []
    is_object: list[bool] = []
    line = 1
    key = ""
    for match in TOKEN_PATTERN.finditer(text):
        token = match.group()
        first = token[0]
        if first == "\n":
            line += 1
        elif first == '"':
            key = token
        elif first == ":":
            path[-1] = json.loads(key, strict=False)
            record(lines, prefixes, path, line)
        elif first in "[{":
            is_object.append(first == "{")
            path.append("" if first == "{" else 0)
            if first == "[":
                record(lines, prefixes, path, line_of_next(text, match, line))
        elif first in "]}":
            is_object.pop()
            path.pop()
        elif not is_object[-1]:
            path[-1] += 1
            record(lines, prefixes, path, line_of_next(text, match, line))
    return {
        location: next(
            lines[location[:size]]
            for size in range(len(location), -1, -1)
            if location[:size] in lines
        )
        for location in wanted
    }


def line_of_next(text: str, match: re.Match, line: int) -> int:
    """Returns the line of what follows a token that ends on a line."""
    following = SPACE_PATTERN.match(text, match.end())
    return line + following.group().count("\n")


def record(
    lines: dict[findings.Location, int],
    prefixes: set[findings.Location],
    path: list[str | int],
    line: int,
) -> None:
    """Records the line of a value if it is needed."""
    location = tuple(path)
    if location in prefixes:
        lines[location] = line
