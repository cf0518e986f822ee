"""Checks that names of the platform's wire stand in platform/ only."""

import pathlib
import re
import sys

# Headers that only the platform has, calls and keys of its store, and fields
# of its bodies that nothing else would be called.
NAMES = re.compile(
    r"Waxwinglever-(Request-Id|Shard-Key|Deadline-Ms|Expected-Instance"
    r"|Not-Executed|Caller-Service|Response-Signature|Server-Load|Handover"
    r"|Cold-Ms)\b"
    r"|virtualHosts|pathPrefix|trafficSplit|targetLatencyMs"
    r"|kv-(key|range|watch|txn|lease|keep)|storeRevision"
    r"|op/(config|evacuate)"
    r"|coldRemainingMs|holdMs|heartbeatMs"
)
# Headers of the product's own interface, older than the platform's.
OWN = frozenset({"Waxwinglever-Request-Id", "Waxwinglever-Handover"})
FOLDERS = ("packages", "tools")
SELF = "check_wire_names.py"


def findings_in(text: str) -> list[tuple[int, str]]:
    """Returns line and name of each of the platform's names in a text."""
    return [
        (number, found.group())
        for number, line in enumerate(text.splitlines(), start=1)
        for found in NAMES.finditer(line)
        if found.group() not in OWN
    ]


def main() -> int:
    top = pathlib.Path(__file__).resolve().parent.parent
    findings = []
    for folder in FOLDERS:
        for path in sorted((top / folder).rglob("*.py")):
            if SELF in path.name:
                continue
            for number, name in findings_in(path.read_text("utf-8")):
                findings.append(
                    f"{path.relative_to(top)}:{number}: {name} belongs in"
                    " platform/; use the project's own name"
                )
    print("\n".join(findings) or "wire names: in platform/ only")
    return 1 if findings else 0


if __name__ == "__main__":
    sys.exit(main())
