"""Tests of waxwinglever_bench.exchange."""

import testtools

from waxwinglever_bench import exchange


class ExchangeTest(testtools.TestCase):
    """Guards against a measurement whose requests fail."""

    def test_each_framing_has_a_cost(self):
        for framing in exchange.FRAMINGS:
            self.assertGreater(exchange.measure(framing, 3), 0)
