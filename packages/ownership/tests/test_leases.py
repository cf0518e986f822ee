"""Tests of waxwinglever_ownership.leases."""

import testtools

from waxwinglever_model import limits
from waxwinglever_ownership import leases

# Acknowledgement time of each member, and the expected majority time.
MAJORITIES = (
    ([5.0], 5.0),
    ([None], None),
    ([5.0, None], None),
    ([5.0, 3.0], 3.0),
    ([9.0, 5.0, None], 5.0),
    ([9.0, None, None], None),
    ([9.0, 7.0, 5.0, 3.0], 5.0),
    ([9.0, 7.0, 5.0, 3.0, None], 5.0),
)
# Majority times, the time of the grant, and the expected remaining time.
REMAINING = (
    ([10.0], 10.0, limits.LEASE_DURATION_S),
    ([12.0], 10.0, limits.LEASE_DURATION_S),
    ([10.0], 11.0, limits.LEASE_DURATION_S - 1),
    ([10.0], 99.0, 0.0),
    ([None], 10.0, 0.0),
    ([10.0, 9.5], 10.0, limits.LEASE_DURATION_S - 0.5),
    ([10.0, None], 10.0, 0.0),
)


class LeasesTest(testtools.TestCase):
    """Guards against a lease that outlives its majority (R2, R3, R6)."""

    def test_majority_ack_time(self):
        for ack_times, expected in MAJORITIES:
            by_member = dict(enumerate(ack_times))
            got = leases.majority_ack_time(tuple(by_member), by_member.get)
            self.assertEqual(expected, got, ack_times)

    def test_remaining(self):
        for ack_times, now, expected in REMAINING:
            got = leases.remaining_s(ack_times, now)
            self.assertAlmostEqual(expected, got, msg=(ack_times, now))
