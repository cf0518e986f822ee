"""Checks that names of the platform's wire protocol occur in platform/ only."""

import pathlib
import re
import sys

# Headers that only the platform uses, calls and keys of its store, and fields
# of its message bodies whose names are too specific to have another use.
PLATFORM_NAMES = re.compile(
    r"Waxwinglever-(Request-Id|Shard-Key|Deadline-Ms|Expected-Instance"
    r"|Not-Executed|Caller-Service|Response-Signature|Server-Load|Handover"
    r"|Cold-Ms|Credential|Tenant)\b"
    r"|virtualHosts|pathPrefix|trafficSplit|targetLatencyMs|apiKeys|ratePerS"
    r"|kv-(key|range|watch|txn|lease|keep)|storeRevision"
    r"|op/(config|evacuate)"
    r"|coldRemainingMs|holdMs|heartbeatMs"
)
# Headers with the same names in the product's own interface, which is older
# than the platform's.
PRODUCT_HEADERS = frozenset(
    {"Waxwinglever-Request-Id", "Waxwinglever-Handover"}
)
FOLDERS = ("packages", "tools")
# This module and its tests, which contain the names by necessity.
EXCLUDED = "check_wire_names.py"


def findings_in(text: str) -> list[tuple[int, str]]:
    """Returns the line and name of each platform name in a text."""
    return [
        (number, found.group())
        for number, line in enumerate(text.splitlines(), start=1)
        for found in PLATFORM_NAMES.finditer(line)
        if found.group() not in PRODUCT_HEADERS
    ]


def main() -> int:
    top = pathlib.Path(__file__).resolve().parent.parent
    findings = []
    for folder in FOLDERS:
        for path in sorted((top / folder).rglob("*.py")):
            if EXCLUDED in path.name:
                continue
            for number, name in findings_in(path.read_text("utf-8")):
                findings.append(
                    f"{path.relative_to(top)}:{number}: {name} belongs in"
                    " platform/; use the product's own name"
                )
    print("\n".join(findings) or "wire names: in platform/ only")
    return 1 if findings else 0


if __name__ == "__main__":
    sys.exit(main())
