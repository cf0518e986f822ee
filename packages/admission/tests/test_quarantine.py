"""Tests of waxwinglever_admission.quarantine."""

import testtools

from waxwinglever_admission import quarantine


class QuarantineTest(testtools.TestCase):
    """Guards against unbounded tables and suspicion that never expires."""

    def setUp(self):
        super().setUp()
        self.now_s = 0.0
        self.table = quarantine.Quarantine(lambda: self.now_s)

    def test_both_tables_drop_the_oldest_entry(self):
        names = [str(i) for i in range(quarantine.MAX_SUSPECTS + 1)]
        quarantine.add_suspects(self.table, names)
        self.assertEqual(names[1:], list(self.table.suspects))
        quarantine.add_convicted(self.table, names)
        self.assertEqual(names[1:], list(self.table.convicted))
        self.assertEqual({}, self.table.suspects)

    def test_a_conviction_outlasts_a_suspicion(self):
        quarantine.add_suspects(self.table, ["a"])
        quarantine.add_convicted(self.table, ["b"])
        self.now_s = quarantine.SUSPECT_EXPIRY_S - 1
        self.assertTrue(quarantine.is_suspect(self.table, "a"))
        self.now_s = quarantine.SUSPECT_EXPIRY_S
        self.assertFalse(quarantine.is_suspect(self.table, "a"))
        self.assertTrue(quarantine.is_convicted(self.table, "b"))

    def test_clearing_or_suspecting_does_not_undo_a_conviction(self):
        quarantine.add_convicted(self.table, ["a"])
        quarantine.clear_suspects(self.table, ["a"])
        quarantine.add_suspects(self.table, ["a"])
        self.assertTrue(quarantine.is_convicted(self.table, "a"))
        self.assertFalse(quarantine.is_suspect(self.table, "a"))

    def crash(self, chain: int) -> None:
        """Adds a crash that ends a chain of the request `a`."""
        quarantine.add_evidence(
            self.table, quarantine.CrashEvidence(f"b{chain}", {"a": chain})
        )

    def test_a_conviction_ends_and_the_next_one_lasts_twice_as_long(self):
        # A wrong one must end; a right one must not cost a server each time.
        lasts_s = quarantine.CONVICTION_S
        for chain in range(quarantine.CONVICTING_CHAIN, 9):
            self.crash(chain)
            self.now_s += lasts_s - 1
            self.assertTrue(quarantine.is_convicted(self.table, "a"))
            self.now_s += 1
            self.assertFalse(quarantine.is_convicted(self.table, "a"))
            self.assertTrue(quarantine.is_suspect(self.table, "a"))
            self.assertEqual(chain, quarantine.known_chain(self.table, "a"))
            lasts_s *= 2

    def test_a_chain_makes_a_suspect_then_a_conviction(self):
        for chain, suspect, convicted in (
            (1, False, False),
            (2, True, False),
            (3, False, True),
        ):
            self.crash(chain)
            self.assertEqual(suspect, quarantine.is_suspect(self.table, "a"))
            self.assertEqual(
                convicted, quarantine.is_convicted(self.table, "a")
            )

    def test_crashes_of_one_moment_make_a_suspect_at_most(self):
        for number in range(20):
            quarantine.add_evidence(
                self.table, quarantine.CrashEvidence(f"b{number}", {"a": 1})
            )
        self.assertTrue(quarantine.is_suspect(self.table, "a"))
        self.assertFalse(quarantine.is_convicted(self.table, "a"))

    def test_a_run_that_completes_clears_all_but_a_conviction(self):
        self.crash(2)
        evidence = quarantine.CrashEvidence("b", {"a": quarantine.COMPLETED})
        quarantine.add_evidence(self.table, evidence)
        self.assertFalse(quarantine.is_suspect(self.table, "a"))
        self.assertEqual(0, quarantine.known_chain(self.table, "a"))
        self.crash(3)
        quarantine.add_evidence(self.table, evidence)
        self.assertTrue(quarantine.is_convicted(self.table, "a"))

    def test_the_histories_are_bounded(self):
        for number in range(2 * quarantine.MAX_SUSPECTS):
            quarantine.add_evidence(
                self.table, quarantine.CrashEvidence("b", {str(number): 3})
            )
        self.assertEqual(quarantine.MAX_SUSPECTS, len(self.table.histories))
