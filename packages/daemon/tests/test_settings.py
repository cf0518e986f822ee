"""Tests of waxwinglever_daemon.settings."""

import json
import pathlib
import tempfile

import attrs
import testtools

from waxwinglever_daemon import settings
from waxwinglever_model import exceptions
from waxwinglever_model import limits

GOOD = {
    "node": "a-1",
    "zone": "z",
    "http_address": "127.0.0.1:8080",
    "peer_address": "127.0.0.1:8081",
    "store_address": "127.0.0.1:7000",
}
# Changes that make GOOD invalid, and what the message must contain.
BAD = (
    ({"colour": 1}, "colour"),
    ({"node": "A"}, "node"),
    ({"zone": 7}, "settings.zone"),
    ({"http_address": "host:80"}, "http_address"),
    ({"peer_address": "127.0.0.1"}, "peer_address"),
    ({"store_address": "127.0.0.1:0"}, "store_address"),
    ({"http_threads": "8"}, "settings.http_threads"),
    ({"http_threads": 8.5}, "settings.http_threads"),
    ({"http_threads": True}, "settings.http_threads"),
    ({"http_threads": 1}, "http_threads"),
    ({"drain_timeout_s": 0}, "drain_timeout_s"),
    ({"drain_timeout_s": float("nan")}, "drain_timeout_s"),
    ({"fault_injection": 1}, "settings.fault_injection"),
)


class SettingsTest(testtools.TestCase):
    """Guards against invalid settings that are accepted, and vague errors."""

    def test_good_settings_are_read(self):
        parsed = settings.parse(json.dumps({**GOOD, "drain_timeout_s": 3}))
        self.assertEqual(
            {**GOOD, "drain_timeout_s": 3.0, "http_threads": 128},
            {
                name: value
                for name, value in attrs.asdict(parsed).items()
                if name != "fault_injection"
            },
        )

    def test_an_error_names_the_key_and_the_remedy(self):
        for change, expected_text in BAD:
            error = self.assertRaises(
                exceptions.InvalidInput,
                settings.parse,
                json.dumps({**GOOD, **change}),
            )
            self.assertIn(expected_text, error.message, change)
            self.assertIn("settings file", error.remedy)
        missing = json.dumps({"node": "a"})
        error = self.assertRaises(
            exceptions.InvalidInput, settings.parse, missing
        )
        self.assertIn("settings.zone", error.message)

    def test_malformed_or_too_long_text_is_refused(self):
        large = json.dumps({**GOOD, "node": "a" * limits.MAX_RECORD_BYTES})
        for text in ("", "{", "[]", "7", "[" * 99_999, large):
            self.assertRaises(exceptions.InvalidInput, settings.parse, text)

    def test_an_unreadable_file_is_refused(self):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "settings.json"
            for content in (None, b"\xff"):
                if content is not None:
                    path.write_bytes(content)
                error = self.assertRaises(
                    exceptions.InvalidInput, settings.load, str(path)
                )
                self.assertIn(str(path), error.message)
