"""Tests of waxwinglever_routing.budgets."""

import testtools

from waxwinglever_routing import budgets


class BudgetTest(testtools.TestCase):
    """Guards against retries that multiply the load of a failing service."""

    def test_retries_are_a_share_of_the_requests_after_the_burst(self):
        budget = budgets.Budget(ratio=0.125, burst=4)
        granted = 0
        for _ in range(800):
            budgets.deposit(budget)
            granted += budgets.withdraw(budget) + budgets.withdraw(budget)
        self.assertEqual(103, granted)

    def test_unused_tokens_are_kept_up_to_the_burst(self):
        budget = budgets.Budget(ratio=0.5, burst=2)
        for _ in range(100):
            budgets.deposit(budget)
        granted = [budgets.withdraw(budget) for _ in range(3)]
        self.assertEqual([True, True, False], granted)

    def test_invalid_ratio_or_burst_is_rejected(self):
        for ratio, burst in ((-0.1, 1), (1.5, 1), (0.1, -1)):
            self.assertRaises(ValueError, budgets.Budget, ratio, burst)
