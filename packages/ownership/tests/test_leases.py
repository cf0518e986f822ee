"""Tests of waxwinglever_ownership.leases."""

import testtools

from waxwinglever_model import limits
from waxwinglever_ownership import leases

# Dates of the members, and the newest date that a majority has reached.
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
# Majority dates, the time of the grant, and what remains of a lease then.
REMAINING = (
    ([10.0], 10.0, limits.LEASE_S),
    ([12.0], 10.0, limits.LEASE_S),
    ([10.0], 11.0, limits.LEASE_S - 1),
    ([10.0], 99.0, 0.0),
    ([None], 10.0, 0.0),
    ([10.0, 9.5], 10.0, limits.LEASE_S - 0.5),
    ([10.0, None], 10.0, 0.0),
)


class LeasesTest(testtools.TestCase):
    """Guards against a lease that outlives its majority (R2, R3, R6)."""

    def test_majority_date(self):
        for dates, expected in MAJORITIES:
            known = dict(enumerate(dates))
            got = leases.majority_date(tuple(known), known.get)
            self.assertEqual(expected, got, dates)

    def test_remaining(self):
        for dates, now, expected in REMAINING:
            got = leases.remaining_s(dates, now)
            self.assertAlmostEqual(expected, got, msg=(dates, now))
