"""Tests of waxwinglever_front.http_messages."""

import typing

import attrs
import testtools

from waxwinglever_front import http_messages


class RequestTest(testtools.TestCase):
    """Guards against unsafe retries and against fingerprint collisions."""

    make_front: typing.Any = None

    def test_only_safe_methods_may_run_twice(self):
        front = self.make_front()
        safe = [
            method
            for method in "GET HEAD OPTIONS PUT DELETE POST PATCH get".split()
            if front.request(method).is_safe
        ]
        self.assertEqual(["GET", "HEAD", "OPTIONS"], safe)

    def test_different_requests_have_different_fingerprints(self):
        base = self.make_front().request()
        same = attrs.evolve(base, deadline_s=0.0, hops=1, ticket="x")
        others = [
            attrs.evolve(base, **change)
            for change in (
                {"method": "PUT"},
                {"path": "/y"},
                {"key": "l"},
                {"body": b"1"},
                {"path": "/xk", "key": ""},
                {"request_id": "1"},
            )
        ]
        fingerprints = {
            http_messages.fingerprint(item) for item in (base, same, *others)
        }
        self.assertEqual(1 + len(others), len(fingerprints))
