"""Tests of waxwinglever_relay.messages."""

import types

import pytest
import testtools

from waxwinglever_relay import messages


@pytest.mark.usefixtures("build")
class FingerprintTest(testtools.TestCase):
    """Guards against a crashing request that is not recognised elsewhere."""

    # Set by the fixture.
    build: types.SimpleNamespace = types.SimpleNamespace()

    def fingerprint(self, **fields) -> str:
        """Returns the fingerprint of a request with some other fields."""
        request = self.build.make_request(self.build.Clock(), **fields)
        return messages.fingerprint(request)

    def test_same_request_on_a_vm_of_another_service_is_recognised(self):
        for fields in (
            {"caller": "dispatch"},
            {"request_id": "r2"},
            {"deadline_s": 1.0},
        ):
            self.assertEqual(
                self.fingerprint(), self.fingerprint(**fields), fields
            )

    def test_other_requests_have_other_fingerprints(self):
        for fields in (
            {"method": "POST"},
            {"target": "/jobs/2"},
            {"body": b"1"},
        ):
            self.assertNotEqual(
                self.fingerprint(), self.fingerprint(**fields), fields
            )
