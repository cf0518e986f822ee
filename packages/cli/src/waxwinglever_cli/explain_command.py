"""Command that reconstructs the history of one request from log files."""

import json
import typing

import click

from waxwinglever_cli import global_options as global_options_module
from waxwinglever_cli import output
from waxwinglever_model import exceptions

# Prefixes of events that record a change of a node's state. Those of the nodes
# that handled the request may explain its outcome.
STATE_EVENT_PREFIXES = (
    "backend-",
    "crash-",
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
MAX_STATE_LINES = 20


@click.command()
@click.argument("request_id")
@click.argument("files", nargs=-1, required=True, type=click.File("r"))
@click.pass_obj
def explain(
    global_options: global_options_module.GlobalOptions,
    request_id: str,
    files: tuple[typing.TextIO, ...],
) -> None:
    """Prints the log lines about the request REQUEST_ID from log FILES.

    The lines of the request come first, in order of time. Then come the latest
    changes of state, up to its last line, of the nodes that handled it.
    """
    lines = [line for file in files for line in parse_lines(file)]
    request_lines = sorted(
        (line for line in lines if line.get("request") == request_id),
        key=lambda line: line["time"],
    )
    if not request_lines:
        raise exceptions.InvalidInput(
            f"no log line of request {request_id!r}",
            "give the logs of the node that received it; its line may have been"
            " suppressed under load",
        )
    state_lines = select_state_lines(lines, request_lines)
    text = [format_line(line) for line in request_lines]
    text += [
        f"left its zone {line['left_zone']}"
        for line in request_lines
        if line.get("left_zone")
    ]
    text += ["state changes before that on these nodes:"] if state_lines else []
    text += [format_line(line) for line in state_lines]
    output.print_result(
        global_options.as_json,
        {"request": request_lines, "before": state_lines},
        "\n".join(text),
    )


def parse_lines(file: typing.TextIO) -> list[dict]:
    """Parses the log lines of a file.

    Text before the JSON object of a line and lines without one are skipped.
    """
    found = []
    for line in file:
        start = line.find("{")
        try:
            item = json.loads(line[start:]) if start >= 0 else None
        except ValueError:
            # Part of a crash report, or a line that was cut off.
            continue
        if isinstance(item, dict) and "time" in item:
            found.append(item)
    return found


def select_state_lines(
    lines: list[dict], request_lines: list[dict]
) -> list[dict]:
    """Returns the latest changes of state before the end of a request.

    Args:
      lines: All log lines.
      request_lines: The lines of the request, in order of time.

    Returns:
      At most MAX_STATE_LINES lines, in order of time, of the nodes that logged
      the request or are in its path.
    """
    nodes = {line.get("node") for line in request_lines}
    for line in request_lines:
        nodes |= {step.split(":")[0] for step in line.get("path", ())}
    end = request_lines[-1]["time"]
    found = [
        line
        for line in lines
        if line.get("node") in nodes
        and line["time"] <= end
        and str(line.get("event", "")).startswith(STATE_EVENT_PREFIXES)
    ]
    found.sort(key=lambda line: line["time"])
    return found[-MAX_STATE_LINES:]


def format_line(line: dict) -> str:
    """Formats a log line as text."""
    omitted_keys = ("time", "level", "event", "node")
    rest = [
        f"{key}={output.format_value(value)}"
        for key, value in line.items()
        if key not in omitted_keys
    ]
    return "  ".join(
        [line["time"], str(line.get("node")), str(line.get("event")), *rest]
    )
