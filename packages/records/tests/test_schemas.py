"""Tests of waxwinglever_records.schemas."""

import testtools

from waxwinglever_model import exceptions
from waxwinglever_records import schemas

ENTRY = {"generation": 1, "time": "", "author": "", "message": ""}
# Content of a value, and the start of the error message, which names the path.
INVALID_VALUES = (
    ([], "$:"),
    ({"documents": {}}, "$.generation: missing"),
    ({"generation": "1", "documents": {}}, "$.generation: a str"),
    ({"generation": True, "documents": {}}, "$.generation: a bool"),
    ({"generation": 2**60, "documents": {}}, "$.generation: the integer"),
    ({"generation": 0, "documents": {}}, "$.generation: 0 is out"),
    ({"generation": 1, "documents": []}, "$.documents: a list"),
    ({"generation": 1, "documents": {"1": 2}}, "$.documents: a int"),
    ({"generation": 1, "documents": {}, "x": 1}, "$.x: unknown key"),
    (
        {"generation": 1, "documents": {}, "history": [ENTRY]},
        "$.history[0].nonce: missing",
    ),
)
INVALID_TEXTS = ("", "{", "NaN", '{"a": 1, "a": 2}', "[" * 100_000, "9" * 5000)


class StructureTest(testtools.TestCase):
    """Guards against errors that don't name the path of the invalid value."""

    def test_an_error_names_the_path(self):
        for content, expected in INVALID_VALUES:
            error = self.assertRaises(
                exceptions.InvalidInput,
                schemas.structure,
                content,
                schemas.StoredConfig,
            )
            self.assertTrue(str(error).startswith(expected), str(error))
            self.assertTrue(error.remedy)

    def test_text_that_is_not_json_is_refused(self):
        for text in INVALID_TEXTS:
            self.assertRaises(exceptions.InvalidInput, schemas.load_json, text)
