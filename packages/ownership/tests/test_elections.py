"""Tests of waxwinglever_ownership.elections."""

import typing

import testtools

from waxwinglever_model import limits
from waxwinglever_ownership import elections
from waxwinglever_peers import messages

# Members; members whose replies report silence; members whose replies report
# a leader; retired nodes; and whether node a may start an election.
CASES = (
    ("a", "", "", "", True),
    ("ab", "", "", "", False),
    ("ab", "", "", "b", True),
    ("abc", "b", "", "", True),
    ("abc", "", "bc", "", False),
    ("abc", "x", "", "", False),
    ("abcd", "b", "", "", False),
    ("abcd", "bc", "d", "", True),
    ("bcd", "b", "", "", False),
)


class ElectionTest(testtools.TestCase):
    """Guards against a minority that replaces a working leader (R10)."""

    builders: typing.Any = None

    def test_an_election_needs_a_majority_without_heartbeats(self):
        for names, silent, has_leader, retired, expected in CASES:
            replies = [
                messages.ElectionProbeReply(name, name in silent, 1)
                for name in silent + has_leader
            ]
            got = elections.has_election_quorum(
                self.builders.record(names=names),
                "a",
                replies,
                frozenset(retired),
            )
            self.assertEqual(
                expected, got, (names, silent, has_leader, retired)
            )

    def test_the_election_timeout_is_staggered_and_bounded(self):
        record = self.builders.record(names="abcdefghijklmnopqrstuvwxyz")
        timeouts = [
            elections.election_timeout_s(record, name, 0.0) for name in "abz?"
        ]
        self.assertEqual(limits.ELECTION_TIMEOUT_S, timeouts[0])
        self.assertEqual(sorted(timeouts), timeouts)
        longest = elections.election_timeout_s(record, "z", 1.0)
        self.assertAlmostEqual(limits.ELECTION_TIMEOUT_S + 0.3, longest)

    def test_the_next_term_keeps_owners_and_epochs(self):
        before = self.builders.record()
        after = elections.next_term(before, "b", "b-0")
        self.assertEqual((2, "b"), (after.term, after.leader))
        self.assertEqual(before.slices, after.slices)
        self.assertEqual(before.next_epoch, after.next_epoch)
        self.assertNotEqual(before.nonce, after.nonce)
