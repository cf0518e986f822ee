"""Tests of tools/check_wire_names.py."""

import check_wire_names
import testtools

# Text and the number of findings.
CASES = (
    ('x["virtualHosts"]', 1),
    ("Waxwinglever-Shard-Key", 1),
    ("Waxwinglever-Request-Id", 0),
    ("shard and host", 0),
)


class CheckWireNamesTest(testtools.TestCase):
    """Guards against a check that misses platform names or reports others."""

    def test_only_platform_names_are_found(self):
        for text, expected in CASES:
            found = check_wire_names.findings_in(text)
            self.assertEqual(expected, len(found), text)
