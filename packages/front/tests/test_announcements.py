"""Tests of waxwinglever_front.announcements."""

import json

import testtools

from waxwinglever_front import announcements
from waxwinglever_model import exceptions

GOOD = {
    "tenant": "t",
    "service": "s",
    "address": "127.0.0.1:9000",
    "boot_id": "b",
    "slots": 10,
    "connections": 100,
    "checks_fences": True,
    "state": "ready",
}
BAD = (
    {"tenant": "T"},
    {"service": ""},
    {"slots": 0},
    {"slots": "9"},
    {"connections": -1},
    {"checks_fences": 1},
    {"state": "well"},
    {"boot_id": None},
    {"address": "nonsense"},
    {"address": "127.0.0.1:0"},
    {"address": "host:9000"},
)


class AnnouncementsTest(testtools.TestCase):
    """Guards against a malformed announcement that is accepted."""

    def test_a_valid_announcement_is_parsed(self):
        parsed = announcements.parse(json.dumps(GOOD).encode())
        self.assertEqual(announcements.Announcement(**GOOD), parsed)

    def test_a_malformed_announcement_is_refused(self):
        bodies = [json.dumps({**GOOD, **change}) for change in BAD]
        bodies += ["", "[]", "{}", "{", "\xff"]
        for body in bodies:
            self.assertRaises(
                exceptions.InvalidInput,
                announcements.parse,
                body.encode("latin-1"),
            )
