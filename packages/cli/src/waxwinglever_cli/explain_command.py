"""The command that tells what became of one request, from log files."""

import json
import typing

import click

from waxwinglever_cli import output
from waxwinglever_cli import settings as settings_module
from waxwinglever_model import exceptions

# Lines of the nodes on the request's way that may tell why, and how long
# before its end they are looked for.
STATE_EVENTS = (
    "backend-",
    "session-",
    "store-",
    "ranges-",
    "owner-",
    "planner-",
    "daemon-",
    "zones-",
    "configuration-",
    "settings-",
)
MOST_STATE_LINES = 20


@click.command()
@click.argument("request_id")
@click.argument("files", nargs=-1, required=True, type=click.File("r"))
@click.pass_obj
def explain(
    settings: settings_module.Settings,
    request_id: str,
    files: tuple[typing.TextIO, ...],
) -> None:
    """Prints what became of the request REQUEST_ID, from log FILES.

    The lines of the request come in order of time, then what the nodes on its
    way believed before its end.
    """
    lines = [line for file in files for line in parsed(file)]
    own = sorted(
        (line for line in lines if line.get("request") == request_id),
        key=lambda line: line["time"],
    )
    if not own:
        raise exceptions.InvalidInput(
            f"no line of request {request_id!r}",
            "give the logs of the node that took it; its line may have been"
            " suppressed under load",
        )
    states = state_lines(lines, own)
    text = [told(line) for line in own]
    text += ["before that, on these nodes:"] if states else []
    text += [told(line) for line in states]
    output.show(
        settings.as_json,
        {"request": own, "before": states},
        "\n".join(text),
    )


def parsed(file: typing.TextIO) -> list[dict]:
    """Returns the JSON lines of a file; other text before them is skipped."""
    found = []
    for line in file:
        start = line.find("{")
        try:
            item = json.loads(line[start:]) if start >= 0 else None
        except ValueError:
            # A crash report or a line that was cut off.
            continue
        if isinstance(item, dict) and "time" in item:
            found.append(item)
    return found


def state_lines(lines: list[dict], own: list[dict]) -> list[dict]:
    """Returns the newest lines on the way's nodes up to the request's end."""
    nodes = {line.get("node") for line in own}
    for line in own:
        nodes |= {step.split(":")[0] for step in line.get("path", ())}
    end = own[-1]["time"]
    found = [
        line
        for line in lines
        if line.get("node") in nodes
        and line["time"] <= end
        and str(line.get("event", "")).startswith(STATE_EVENTS)
    ]
    found.sort(key=lambda line: line["time"])
    return found[-MOST_STATE_LINES:]


def told(line: dict) -> str:
    """Returns one line for a reader."""
    common = ("time", "level", "event", "node")
    rest = [
        f"{key}={output.cell(value)}"
        for key, value in line.items()
        if key not in common
    ]
    return "  ".join(
        [line["time"], str(line.get("node")), str(line.get("event")), *rest]
    )
