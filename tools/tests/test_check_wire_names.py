"""Tests of the check for names of the platform's wire."""

import check_wire_names
import testtools

CASES = (
    ('x["virtualHosts"]', 1),
    ("Waxwinglever-Shard-Key", 1),
    ("Waxwinglever-Request-Id", 0),
    ("shard and host", 0),
)


class CheckWireNamesTest(testtools.TestCase):
    """Guards against wire names that spread through the product."""

    def test_findings(self):
        for text, expected in CASES:
            found = check_wire_names.findings_in(text)
            self.assertEqual(expected, len(found), text)
