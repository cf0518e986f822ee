"""Tests of waxwinglever_cli.output."""

import testtools

from waxwinglever_cli import output

CASES = (
    ({}, ""),
    ({"a": 1, "long": None}, "a     1\nlong  -"),
    ({"a": {"b": [1, 2]}, "c": {}}, "a.b  1, 2\nc    -"),
    ({"rows": [{"x": 1}, {"y": True}]}, "rows:\nx  y\n1  -\n-  yes"),
    ({"rows": [{"x": 1}, 2]}, "rows:\nx\n1  -\n-  2"),
    ({"a": "\x1b[2J\n"}, "a  ?[2J?"),
)


class FormatObjectTest(testtools.TestCase):
    """Guards against values that are not printed or control the terminal."""

    def test_each_shape_is_formatted(self):
        for content, expected in CASES:
            self.assertEqual(expected, output.format_object(content))
