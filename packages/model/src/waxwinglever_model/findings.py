"""What a check of a configuration finds, and its form for operators.

Addresses mistakes that would otherwise show only under load: refused versions,
entries without requests, and changes with an effect that nobody intended.
"""

from collections.abc import Iterable, Mapping

import attrs

# The configuration is refused.
ERROR = "error"
# The configuration is accepted.
WARNING = "warning"

Location = tuple[str | int, ...]


@attrs.frozen
class Finding:
    """An error or a warning.

    Attributes:
      severity: ERROR or WARNING.
      location: Where it was found: keys and indexes of a document, or the kind
        and the names of an entry.
      message: What is wrong.
      remedy: What to do about it.
      line: Line of the document, from 1, or None if it isn't known.
    """

    severity: str
    location: Location
    message: str
    remedy: str
    line: int | None = None


@attrs.frozen
class Difference:
    """An entry that differs between two versions.

    Attributes:
      kind: Kind of the entry, such as "route".
      location: Names that identify it.
      effects: What changes for requests.
    """

    kind: str
    location: tuple[str, ...]
    effects: tuple[str, ...]


def format_location(location: Location) -> str:
    """Returns a location as text, such as `services[2].name`."""
    text = ""
    for part in location:
        if isinstance(part, int):
            text += f"[{part}]"
        else:
            text += f".{part}" if text else part
    return text or "$"


def format_finding(finding: Finding) -> str:
    """Returns a finding as one line of text."""
    line = "" if finding.line is None else f"line {finding.line}: "
    return printable(
        f"{finding.severity}: {line}{format_location(finding.location)}:"
        f" {finding.message}; {finding.remedy}"
    )


def format_difference(difference: Difference) -> str:
    """Returns a difference as one line of text."""
    name = "".join((difference.kind, " ", *difference.location)).rstrip()
    return printable(f"{name}: {'; '.join(difference.effects)}")


def printable(text: str) -> str:
    """Returns a text that can't control the terminal."""
    return "".join(c if c.isprintable() else "?" for c in text)


def format_text(
    found: Iterable[Finding], differences: Iterable[Difference] | None
) -> str:
    """Returns the report of a check as text.

    Args:
      found: All findings.
      differences: Differences from another version, or None if none was
        compared.
    """
    lines = [format_finding(finding) for finding in found] or ["no findings"]
    if differences is not None:
        lines += [format_difference(item) for item in differences] or [
            "no differences"
        ]
    return "\n".join(lines)


def as_content(
    found: Iterable[Finding], differences: Iterable[Difference] | None
) -> Mapping:
    """Returns the report of a check as content of a JSON document."""
    return {
        "findings": [
            {
                "severity": finding.severity,
                "line": finding.line,
                "path": format_location(finding.location),
                "message": finding.message,
                "remedy": finding.remedy,
            }
            for finding in found
        ],
        "differences": differences
        if differences is None
        else [
            {
                "kind": item.kind,
                "name": "".join(item.location),
                "effects": item.effects,
            }
            for item in differences
        ],
    }
