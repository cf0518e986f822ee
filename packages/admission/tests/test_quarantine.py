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

    def test_a_suspect_expires_and_a_conviction_does_not(self):
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
