"""Tests of waxwinglever_ownership.elections."""

import typing

import testtools

from waxwinglever_model import limits
from waxwinglever_ownership import elections
from waxwinglever_peers import messages

# Members, the silent ones among the answers, the hearing ones, the retired,
# and whether node a may stand.
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
    """Guards against a minority that deposes a working leader (R10)."""

    builders: typing.Any = None

    def test_only_a_silent_majority_lets_a_member_stand(self):
        for names, silent, hearing, retired, expected in CASES:
            replies = [
                messages.ElectionProbeReply(name, name in silent, 1)
                for name in silent + hearing
            ]
            got = elections.may_stand(
                self.builders.record(names=names),
                "a",
                replies,
                frozenset(retired),
            )
            self.assertEqual(expected, got, (names, silent, hearing, retired))

    def test_the_silence_limit_is_staggered_and_bounded(self):
        record = self.builders.record(names="abcdefghijklmnopqrstuvwxyz")
        waits = [
            elections.silence_limit_s(record, name, 0.0) for name in "abz?"
        ]
        self.assertEqual(limits.ELECTION_SILENCE_S, waits[0])
        self.assertEqual(sorted(waits), waits)
        most = elections.silence_limit_s(record, "z", 1.0)
        self.assertAlmostEqual(limits.ELECTION_SILENCE_S + 0.3, most)

    def test_the_next_term_keeps_owners_and_epochs(self):
        before = self.builders.record()
        after = elections.next_term(before, "b", "b-0")
        self.assertEqual((2, "b"), (after.term, after.leader))
        self.assertEqual(before.slices, after.slices)
        self.assertEqual(before.next_epoch, after.next_epoch)
        self.assertNotEqual(before.nonce, after.nonce)
