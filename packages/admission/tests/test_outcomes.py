"""Tests of waxwinglever_admission.outcomes."""

import threading

import hypothesis
import testtools
from hypothesis import stateful
from hypothesis import strategies

from waxwinglever_admission import outcomes
from waxwinglever_admission import tickets
from waxwinglever_model import exceptions
from waxwinglever_model import limits

CELL = "t/s/0"
IDS = strategies.sampled_from("abcd")


def table_at(now, **bounds) -> outcomes.OutcomeTable:
    return outcomes.OutcomeTable("i1", now, len, **bounds)


def all_outcomes(table) -> list[outcomes.Outcome]:
    periods = [
        period
        for epoch in table.epochs.values()
        for period in epoch.periods.values()
    ]
    return [outcome for period in periods for outcome in period.values()]


class OutcomesTest(testtools.TestCase):
    """Guards against a request that runs twice or whose outcome is dropped."""

    def setUp(self):
        super().setUp()
        self.now_s = 50.0
        self.table = table_at(lambda: self.now_s, max_outcomes=4, max_bytes=10)
        self.ticket = outcomes.current_ticket(self.table, CELL, 7)

    def begin_attempt(self, request_id="a", ticket=None, deadline_s=0.0):
        return outcomes.begin_attempt(
            self.table, ticket or self.ticket, request_id, deadline_s
        )

    def finish(self, request_id, response):
        outcomes.finish(self.table, self.ticket, request_id, response)

    def abandon(self, request_id):
        outcomes.abandon(self.table, self.ticket, request_id)

    def begin_and_wait(self, request_id, results):
        try:
            results.append(self.begin_attempt(request_id, deadline_s=1000.0))
        except (exceptions.OutcomeUnknown, exceptions.TicketRequired):
            results.append(None)

    def test_a_later_attempt_runs_only_if_the_first_was_abandoned(self):
        # Request id, how the first attempt ends, and the expected message.
        for request_id, end, message in (
            ("a", lambda: None, "still running"),
            ("b", lambda: self.finish("b", b"x" * 11), "too large to keep"),
            (
                "c",
                lambda: outcomes.mark_unknown(self.table, self.ticket, "c"),
                "may",
            ),
        ):
            self.begin_attempt(request_id)
            end()
            error = self.assertRaises(
                exceptions.OutcomeUnknown, self.begin_attempt, request_id
            )
            self.assertIn(message, error.message)
        self.begin_attempt("d")
        self.abandon("d")
        self.assertEqual(outcomes.Start(), self.begin_attempt("d"))

    def test_a_response_is_not_evicted_for_a_newer_one(self):
        for request_id in "ab":
            self.begin_attempt(request_id)
            self.finish(request_id, b"x" * 6)
        self.assertEqual(outcomes.Replay(b"x" * 6), self.begin_attempt("a"))
        self.assertRaises(exceptions.OutcomeUnknown, self.begin_attempt, "b")

    def test_a_full_table_refuses_new_ids_until_a_period_expires(self):
        for request_id in "abcd":
            self.begin_attempt(request_id)
        self.assertRaises(exceptions.OutcomeTableFull, self.begin_attempt, "e")
        self.now_s += 2 * limits.TICKET_PERIOD_S
        fresh = outcomes.current_ticket(self.table, CELL, 7)
        self.assertEqual(outcomes.Start(), self.begin_attempt("e", fresh))
        self.assertEqual((1, 0), (self.table.count, self.table.kept_bytes))

    def test_only_tickets_of_this_and_the_last_period_are_valid(self):
        self.now_s += 3 * limits.TICKET_PERIOD_S
        for text in ("i1;3", "i1;2", "i1;1", "i1;4", "i2;3"):
            ticket = tickets.parse_ticket(f"{CELL};7;{text}")
            if text in ("i1;3", "i1;2"):
                self.assertEqual(
                    outcomes.Start(), self.begin_attempt("a", ticket)
                )
                continue
            error = self.assertRaises(
                exceptions.TicketRequired, self.begin_attempt, "a", ticket
            )
            self.assertEqual(f"{CELL};7;i1;3", error.ticket)

    def test_tickets_from_before_a_drop_stay_stale(self):
        self.begin_attempt()
        outcomes.drop_epoch(self.table, CELL, 7)
        self.finish("a", b"late")
        self.assertRaises(exceptions.TicketRequired, self.begin_attempt)
        self.assertEqual(0, self.table.count)

    def test_a_waiting_attempt_gets_the_result_of_the_run(self):
        # The second attempt may also begin after the run ended, with the same
        # result.
        for request_id, end, result in (
            ("a", lambda: self.finish("a", b"yes"), outcomes.Replay(b"yes")),
            ("b", lambda: self.abandon("b"), outcomes.Start()),
            ("c", lambda: outcomes.drop_epoch(self.table, CELL, 7), None),
        ):
            self.begin_attempt(request_id)
            results = []
            thread = threading.Thread(
                target=self.begin_and_wait, args=(request_id, results)
            )
            thread.start()
            end()
            thread.join(30)
            self.assertFalse(thread.is_alive())
            self.assertEqual([result], results)


class AtMostOnceMachine(stateful.RuleBasedStateMachine):
    """Attempts, ends of runs, clock steps and dropped epochs in any order."""

    def __init__(self):
        super().__init__()
        self.now_s = 0.0
        self.table = table_at(lambda: self.now_s, max_outcomes=6, max_bytes=8)
        self.tickets = [outcomes.current_ticket(self.table, CELL, 1)]
        self.ran = set()
        self.running = []

    @stateful.rule(request_id=IDS, age=strategies.integers(0, 3))
    def send(self, request_id, age):
        """Sends a request id with a recent ticket."""
        ticket = self.tickets[max(0, len(self.tickets) - 1 - age)]
        try:
            result = outcomes.begin_attempt(
                self.table, ticket, request_id, self.now_s
            )
        except exceptions.Refusal:
            return
        if isinstance(result, outcomes.Start):
            assert (ticket, request_id) not in self.ran
            self.ran.add((ticket, request_id))
            self.running.append((ticket, request_id))
        else:
            assert (ticket, request_id) in self.ran

    @stateful.precondition(lambda self: self.running)
    @stateful.rule(data=strategies.data(), size=strategies.integers(0, 5))
    def end(self, data, size):
        """Ends a run in one of the three ways."""
        run = data.draw(strategies.sampled_from(self.running))
        self.running.remove(run)
        how = data.draw(
            strategies.sampled_from(("finish", "abandon", "unknown"))
        )
        if how == "finish":
            outcomes.finish(self.table, *run, b"x" * size)
        elif how == "unknown":
            outcomes.mark_unknown(self.table, *run)
        else:
            outcomes.abandon(self.table, *run)
            self.ran.discard(run)

    @stateful.rule(seconds=strategies.sampled_from((10.0, 200.0, 700.0)))
    def advance_clock(self, seconds):
        self.now_s += seconds
        self.tickets.append(outcomes.current_ticket(self.table, CELL, 1))

    @stateful.rule()
    def drop(self):
        outcomes.drop_epoch(self.table, CELL, 1)
        self.tickets.append(outcomes.current_ticket(self.table, CELL, 1))

    @stateful.invariant()
    def bounds_hold(self):
        entries = all_outcomes(self.table)
        assert len(entries) == self.table.count <= 6
        assert sum(e.size for e in entries) == self.table.kept_bytes <= 8


class AtMostOnceTest(testtools.TestCase):
    """Guards against a request id that runs twice within a ticket."""

    def test_no_id_runs_twice_and_the_bounds_hold(self):
        stateful.run_state_machine_as_test(
            AtMostOnceMachine,
            settings=hypothesis.settings(deadline=None, max_examples=150),
        )
