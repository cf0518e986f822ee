"""Tests of waxwinglever_admission.tickets."""

import hypothesis
import testtools
from hypothesis import strategies

from waxwinglever_admission import tickets
from waxwinglever_model import exceptions

NUMBERS = strategies.integers(0, tickets.NUMBER_END - 1)


class TicketsTest(testtools.TestCase):
    """Guards against a ticket that is read as another one."""

    @hypothesis.given(
        NUMBERS,
        NUMBERS,
        strategies.from_regex(tickets.INCARNATION_PATTERN, fullmatch=True),
    )
    def test_a_ticket_round_trips(self, epoch, period, incarnation):
        ticket = tickets.Ticket("tulpar/dispatch/0", epoch, incarnation, period)
        text = tickets.format_ticket(ticket)
        self.assertEqual(ticket, tickets.parse_ticket(text))

    @hypothesis.given(strategies.text() | strategies.text("a/;019-"))
    def test_text_is_refused_or_canonical(self, text):
        try:
            ticket = tickets.parse_ticket(text)
        except exceptions.BadRequest as error:
            self.assertTrue(error.remedy)
        else:
            self.assertEqual(text, tickets.format_ticket(ticket))

    def test_malformed_text_is_refused(self):
        malformed = (
            "|t/s/0;1;abc|t/s/0;1;abc;2;3|t/s/0;01;abc;2|t/s/0;-1;abc;2|"
            "t/s/0;1;abc;\u0662|t/s/0;1;abc;2\n|T/s/0;1;abc;2|t/s/0;1;;2|"
            f"t/s/0;1;abc;{'9' * 19}|{'t' * 400};1;abc;2"
        )
        for text in malformed.split("|"):
            self.assertRaises(exceptions.BadRequest, tickets.parse_ticket, text)
