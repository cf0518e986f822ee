"""Tests of waxwinglever_cli.exits."""

import testtools

from waxwinglever_cli import exits
from waxwinglever_model import exceptions

EXIT_CODES = (
    (exceptions.InvalidInput, 3),
    (exceptions.Conflict, 4),
    (exceptions.StoreUnavailable, 5),
    (exceptions.PeerUnavailable, 5),
    (exceptions.Draining, 5),
    (exceptions.UnknownService, 2),
    (exits.WriteUnknown, 6),
    (exceptions.WaxwingleverError, 1),
)


class ExitCodesTest(testtools.TestCase):
    """Guards against changed exit codes, which scripts rely on."""

    def test_each_error_has_its_documented_exit_code(self):
        for error_class, code in EXIT_CODES:
            self.assertEqual(code, exits.exit_code_for(error_class("m", "r")))
