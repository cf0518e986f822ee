"""Tests of waxwinglever_hops.json_headers."""

import msgspec
import testtools

from waxwinglever_hops import forwarding
from waxwinglever_hops import json_headers


class JsonHeadersTest(testtools.TestCase):
    """Guards against names that make a request impossible to forward."""

    def test_names_in_all_scripts_arrive(self):
        # Each forwarded request on a route with such a name was answered 400.
        for name in ("all", "café", "тақта", "ルート", "\U0001f600", 'a"\\\n'):
            hop = forwarding.Hop(
                *("r1", name, name, False, None, name, 0.5, 1.0, False),
                tenant=name,
            )
            text = json_headers.encode(hop)
            self.assertTrue(text.isascii(), name)
            self.assertEqual(
                hop, msgspec.json.decode(text, type=forwarding.Hop)
            )
