"""Tests of tools/run_tests.py."""

import run_tests
import testtools

TEXT = """
# Known red tests; fix these first.
test: packages/a/tests/test_b.py::BTest::test_c
  command: make test; seed 4
  test:packages/d/tests/test_e.py::ETest::test_f
the word test: in a sentence lists nothing
"""


class ListedTestsTest(testtools.TestCase):
    """Guards against skipping more tests than the file lists."""

    def test_only_marked_lines_name_tests(self):
        self.assertEqual(
            [
                "packages/a/tests/test_b.py::BTest::test_c",
                "packages/d/tests/test_e.py::ETest::test_f",
            ],
            run_tests.listed_tests(TEXT),
        )
        self.assertEqual([], run_tests.listed_tests(""))
