"""Tests of tools/check_imports.py."""

import pathlib
import tempfile

import check_imports
import testtools

# Package, source, whether it is a test, and the number of findings.
CASES = (
    ("model", "import waxwinglever_store", False, 1),
    ("store", "import waxwinglever_model", False, 0),
    ("store", "import waxwinglever_standins", False, 1),
    ("store", "import waxwinglever_standins", True, 0),
    ("daemon", "import waxwinglever_bench", True, 1),
    ("cli", "import waxwinglever_unknown", False, 1),
    ("cli", "from waxwinglever_model.cells import Member", False, 1),
)


class CheckSourceTest(testtools.TestCase):
    """Guards against a check that allows a forbidden import."""

    def test_forbidden_imports_are_found(self):
        for package, source, is_test, count in CASES:
            with tempfile.TemporaryDirectory() as folder:
                path = pathlib.Path(folder) / "module.py"
                path.write_text(source, encoding="utf-8")
                findings = check_imports.check_source(
                    package, path, [], is_test
                )
            self.assertEqual(count, len(findings), source)
