"""Runs pytest, passing over exactly the tests that KNOWN-RED.txt lists."""

import pathlib
import subprocess
import sys

KNOWN_RED = "KNOWN-RED.txt"
MARKER = "test:"


def known_red(text: str) -> list[str]:
    """Returns the test ids from the lines `test: ID`."""
    lines = (line.strip() for line in text.splitlines())
    return [
        line.removeprefix(MARKER).strip()
        for line in lines
        if line.startswith(MARKER)
    ]


def main() -> int:
    top = pathlib.Path(__file__).resolve().parent.parent
    listing = top / KNOWN_RED
    red = known_red(listing.read_text("utf-8")) if listing.exists() else []
    for test in red:
        print(f"known red, not run: {test}")
    deselect = [f"--deselect={test}" for test in red]
    command = [sys.executable, "-m", "pytest", *deselect, *sys.argv[1:]]
    return subprocess.run(command, cwd=top, check=False).returncode


if __name__ == "__main__":
    sys.exit(main())
