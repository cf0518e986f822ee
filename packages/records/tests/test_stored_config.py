"""Tests of waxwinglever_records.stored_config."""

import testtools

from waxwinglever_model import exceptions
from waxwinglever_records import config
from waxwinglever_records import stored_config

DOCUMENT = {
    "schema_version": 2,
    "tenant": "tulpar",
    "zones": [{"name": "taraz", "region": "kz-south"}],
    "services": [],
    "placement": {"move_cost": 1, "max_moves": 1},
}
DOCUMENT_V1 = {**DOCUMENT, "schema_version": 1}
DOCUMENT_V1["zones"] = [{"name": "taraz", "region": "kz-south", "state": "in"}]
# Documents, author and message.
INVALID_ARGUMENTS = (
    ({}, "a", "m"),
    ({3: {**DOCUMENT, "schema_version": 3}}, "a", "m"),
    ({1: DOCUMENT}, "a", "m"),
    ({1: DOCUMENT_V1, 2: {**DOCUMENT, "tenant": "x"}}, "a", "m"),
    ({1: DOCUMENT_V1, 2: {**DOCUMENT, "zones": []}}, "a", "m"),
    ({2: []}, "a", "m"),
    ({2: DOCUMENT}, "a\n", "m"),
    ({2: DOCUMENT}, "a", "\ud800"),
    ({2: DOCUMENT}, "a", "m" * 501),
    ({2: {**DOCUMENT, "retired": ["n" * 60] * 20_000}}, "a", "m"),
)


class NextValueTest(testtools.TestCase):
    """Guards against values that readers would refuse or misread."""

    def test_generation_and_history_grow_and_nonces_differ(self):
        text = None
        for expected in range(1, stored_config.MAX_HISTORY_ENTRIES + 3):
            text = stored_config.make_next_value(
                text, {1: DOCUMENT_V1, 2: DOCUMENT}, "a", "m"
            )
            self.assertEqual(expected, config.parse_value(text).generation)
        history = stored_config.parse_stored_config(text).history
        self.assertEqual(stored_config.MAX_HISTORY_ENTRIES, len(history))
        self.assertEqual(expected, history[-1].generation)
        self.assertEqual(len(history), len({entry.nonce for entry in history}))

    def test_invalid_documents_and_texts_are_refused(self):
        for arguments in INVALID_ARGUMENTS:
            self.assertRaises(
                exceptions.InvalidInput,
                stored_config.make_next_value,
                None,
                *arguments,
            )

    def test_a_value_over_the_limit_is_refused(self):
        retired = [f"node-{i:050}" for i in range(20_000)]
        self.assertRaises(
            exceptions.InvalidInput,
            stored_config.make_next_value,
            None,
            {2: {**DOCUMENT, "retired": retired}},
            "a",
            "m",
        )

    def test_unknown_versions_are_not_edited(self):
        text = stored_config.make_next_value(None, {2: DOCUMENT}, "a", "m")
        newer = stored_config.parse_stored_config(
            text.replace('"2": {', '"9": {')
        )
        self.assertRaises(
            exceptions.InvalidInput, stored_config.editable_documents, newer
        )
