"""Runs pytest without the failing tests that KNOWN-RED.txt lists."""

import pathlib
import subprocess
import sys

KNOWN_RED = "KNOWN-RED.txt"
MARKER = "test:"


def listed_tests(text: str) -> list[str]:
    """Returns the test ids from the lines `test: ID`."""
    lines = (line.strip() for line in text.splitlines())
    return [
        line.removeprefix(MARKER).strip()
        for line in lines
        if line.startswith(MARKER)
    ]


def main() -> int:
    top = pathlib.Path(__file__).resolve().parent.parent
    list_file = top / KNOWN_RED
    known_red = (
        listed_tests(list_file.read_text("utf-8")) if list_file.exists() else []
    )
    for test_id in known_red:
        print(f"known red, not run: {test_id}")
    deselect = [f"--deselect={test_id}" for test_id in known_red]
    command = [sys.executable, "-m", "pytest", *deselect, *sys.argv[1:]]
    return subprocess.run(command, cwd=top, check=False).returncode


if __name__ == "__main__":
    sys.exit(main())
