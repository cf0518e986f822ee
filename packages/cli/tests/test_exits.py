"""Tests of waxwinglever_cli.exits."""

import testtools

from waxwinglever_cli import exits
from waxwinglever_model import exceptions

CODES = (
    (exceptions.InvalidInput, 3),
    (exceptions.Conflict, 4),
    (exceptions.StoreUnavailable, 5),
    (exceptions.PeerUnavailable, 5),
    (exceptions.Draining, 5),
    (exceptions.UnknownService, 2),
    (exits.WriteUnknown, 6),
    (exceptions.WaxwingleverError, 1),
)


class CodesTest(testtools.TestCase):
    """Guards against a changed code, which scripts rely on."""

    def test_each_kind_has_its_documented_code(self):
        for kind, code in CODES:
            self.assertEqual(code, exits.code_of(kind("m", "r")))
