"""Tests of waxwinglever_hops.control."""

import msgspec
import testtools

from waxwinglever_hops import control
from waxwinglever_relay import http_client
from waxwinglever_store import leased


def make_changes(value: bytes) -> leased.Changes:
    """Returns a change of one key to a value."""
    item = leased.Item("routing", value, 7, 0)
    return leased.Changes((leased.Change(item.key, item.version, item),), 8)


def make_config(routes: int) -> bytes:
    """Returns a stored configuration with a number of routes."""
    return msgspec.json.encode(
        [
            {"name": f"r-{number * 7919:x}", "prefix": f"/p{number}/"}
            | {"type": "safe", "timeout_ms": 1500, "target_ms": 1077}
            | {"priority": 2, "service": "ledger", "max_attempts": 2}
            for number in range(routes)
        ]
    )


class ChangesTest(testtools.TestCase):
    """Guards against changes that take too long to reach a follower."""

    def send(self, changes: leased.Changes) -> http_client.Response:
        """Returns the response with changes as its receiver reads it."""
        response = control.encode_changes(changes)
        headers = tuple((n.lower(), v) for n, v in response.headers)
        return http_client.Response(response.status, headers, response.body)

    def test_large_configuration_fits_a_slow_link(self):
        # On a link of 5 Mbit/s, 62,500 bytes take a tenth of a second. The
        # uncompressed response took half a second, and one that was cut at its
        # timeout began again.
        response = self.send(make_changes(make_config(1_550)))
        self.assertLess(len(response.body), 62_500)

    def test_changes_of_any_size_arrive_unchanged(self):
        for routes in (0, 1, 1_550):
            changes = make_changes(make_config(routes))
            self.assertEqual(
                changes, control.decode_changes(self.send(changes))
            )

    def test_small_change_is_not_compressed(self):
        self.assertEqual((), self.send(make_changes(b"x" * 1_000)).headers)

    def test_only_the_last_value_of_a_key_is_sent(self):
        # After a series of configurations, a follower got all of them.
        values = [leased.Item("routing", b"x", n, 0) for n in (3, 5, 6)]
        changes = leased.Changes(
            (
                leased.Change("routing", 3, values[0]),
                leased.Change("other", 4, None),
                leased.Change("routing", 5, values[1]),
                leased.Change("routing", 6, values[2]),
            ),
            9,
        )
        self.assertEqual(
            leased.Changes(
                (
                    leased.Change("other", 4, None),
                    leased.Change("routing", 6, values[2]),
                ),
                9,
            ),
            control.latest_changes(changes),
        )
