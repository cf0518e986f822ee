"""Tests of waxwinglever_assignment.holds."""

import attrs
import hypothesis
import testtools
from hypothesis import strategies

from waxwinglever_assignment import holds
from waxwinglever_assignment import tables

SHARDS = 8
HOLD_S = 2.0
# An unanswered grant is applied this much later at most.
DELIVERY_S = 0.5


@attrs.define(eq=False)
class ServerModel:
    """A backend server, shard by shard.

    Attributes:
      now_s: The time.
      end_s: When the hold of each shard ends.
      delayed: Shards and ends of grants that are applied later.
    """

    now_s: float = 0.0
    end_s: list[float] = attrs.field(factory=lambda: [float("-inf")] * SHARDS)
    delayed: list[tuple[int, int, float]] = attrs.field(factory=list)


def apply_grant(
    server: ServerModel, first: int, last: int, end_s: float
) -> None:
    """Lets the server hold some shards."""
    for shard in range(first, last + 1):
        server.end_s[shard] = max(server.end_s[shard], end_s)


def shard_pairs():
    """Returns a strategy for the first and last shard of a range."""
    return strategies.tuples(
        strategies.integers(0, SHARDS - 1), strategies.integers(0, SHARDS - 1)
    ).map(sorted)


def grants_sent(book, server, first, last, answered, applied):
    """Sends a grant whose answer may be lost, applied now, later or never."""
    sent = holds.record_sent(
        book, first, last, server.now_s + DELIVERY_S + HOLD_S
    )
    if answered or applied:
        apply_grant(server, first, last, server.now_s + HOLD_S)
    else:
        end_s = server.now_s + DELIVERY_S + HOLD_S
        server.delayed.append((first, last, end_s))
    if answered:
        holds.record_answer(book, sent, server.now_s + HOLD_S)


def release_sent(book, server, first, last, answered, granted):
    """Sends a release; a grant of other shards may be answered meanwhile."""
    position = holds.begin_release(book)
    for shard in range(first, last + 1):
        server.end_s[shard] = float("-inf")
    if granted is not None:
        grants_sent(book, server, *granted, answered=True, applied=True)
    if answered:
        holds.record_release(book, first, last, position)


OPERATIONS = strategies.lists(
    strategies.one_of(
        strategies.tuples(
            strategies.just("grant"),
            shard_pairs(),
            strategies.booleans(),
            strategies.booleans(),
        ),
        strategies.tuples(
            strategies.just("release"),
            shard_pairs(),
            strategies.booleans(),
            strategies.none() | shard_pairs(),
        ),
        strategies.tuples(
            strategies.just("wait"), strategies.floats(0.01, 1.0)
        ),
        strategies.tuples(strategies.just("late")),
    ),
    max_size=30,
)


class HoldsTest(testtools.TestCase):
    """Guards against shards that count as free while a server holds them."""

    @hypothesis.given(OPERATIONS)
    def test_book_never_ends_before_the_server(self, operations):
        book = holds.HoldBook()
        server = ServerModel()
        for kind, *arguments in operations:
            if kind == "grant":
                (first, last), answered, applied = arguments
                grants_sent(book, server, first, last, answered, applied)
            elif kind == "release":
                (first, last), answered, granted = arguments
                release_sent(book, server, first, last, answered, granted)
            elif kind == "wait":
                server.now_s += arguments[0]
                holds.forget_ended(book, server.now_s)
            else:
                for delayed in server.delayed:
                    apply_grant(server, *delayed)
                server.delayed.clear()
            for shard in range(SHARDS):
                end_s = holds.latest_end_s(book, shard, shard)
                if server.end_s[shard] > server.now_s:
                    self.assertGreaterEqual(end_s, server.end_s[shard])
                self.assertLessEqual(end_s, server.now_s + DELIVERY_S + HOLD_S)

    def test_renewals_do_not_add_up(self):
        book = holds.HoldBook()
        for time_s in range(100):
            sent = holds.record_sent(book, 0, 99, time_s + 3.0)
            holds.record_answer(book, sent, time_s + 2.0)
        self.assertEqual(1, len(book.holds))

    def test_answered_release_frees_only_its_shards(self):
        book = holds.HoldBook()
        sent = holds.record_sent(book, 0, 99, 3.0)
        holds.record_answer(book, sent, 2.0)
        holds.record_release(book, 40, 59, holds.begin_release(book))
        free = float("-inf")
        self.assertEqual(free, holds.latest_end_s(book, 40, 59))
        for shard in (39, 60):
            self.assertEqual(2.0, holds.latest_end_s(book, shard, shard))

    def test_unanswered_grant_outlasts_an_answered_release(self):
        # The backend server may apply the grant after the release.
        book = holds.HoldBook()
        holds.record_sent(book, 0, 99, 3.0)
        holds.record_release(book, 0, 99, holds.begin_release(book))
        self.assertEqual(3.0, holds.latest_end_s(book, 50, 50))

    def test_grant_that_was_not_sent_is_not_held(self):
        book = holds.HoldBook()
        holds.withdraw(book, holds.record_sent(book, 0, 99, 3.0))
        self.assertEqual(float("-inf"), holds.latest_end_s(book, 0, 99))

    def test_grants_of_an_earlier_run_count_until_they_end(self):
        book = holds.earlier_run(2.0)
        self.assertEqual(2.0, holds.latest_end_s(book, 5, 5))
        holds.forget_ended(book, 2.0)
        self.assertEqual(
            float("-inf"), holds.latest_end_s(book, 0, tables.LAST_SHARD)
        )
