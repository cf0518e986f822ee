"""Until when the backend server of a node may still hold shards.

Kept by shard, because the ranges and fences of the ownership table change
without a grant: a range that is split off gets a fence under which nothing was
ever granted, while the backend server holds its shards by an earlier one. An
end is lowered only by an answered release or by time.
"""

import attrs

from waxwinglever_assignment import tables


@attrs.frozen
class Hold:
    """Shards that the backend server may hold.

    Attributes:
      first: First shard.
      last: Last shard, inclusive.
      end_s: Latest time at which the hold ends.
      answered: Position of the answer to the grant among all answers and
        releases, or None without an answer. The backend server may apply an
        unanswered grant later, even after a release.
    """

    first: int
    last: int
    end_s: float
    answered: int | None = None


@attrs.define(eq=False)
class HoldBook:
    """All shards that a backend server may hold.

    Attributes:
      holds: Holds that have not ended or been released; they may overlap.
      position: Position of the newest answer or release.
    """

    holds: list[Hold] = attrs.Factory(list)
    position: int = 0


def earlier_run(end_s: float) -> HoldBook:
    """Returns the book of a daemon whose previous run may have made grants.

    An answered release ends them.

    Args:
      end_s: When the last of these grants ends.
    """
    return HoldBook(
        [Hold(tables.FIRST_SHARD, tables.LAST_SHARD, end_s, answered=0)]
    )


def record_sent(book: HoldBook, first: int, last: int, end_s: float) -> Hold:
    """Records a grant that is about to be sent.

    Args:
      book: The holds of the backend server.
      first: First shard of the grant.
      last: Last shard of the grant.
      end_s: Latest end if the grant is applied without an answer.

    Returns:
      The hold, for `record_answer` or `withdraw`.
    """
    hold = Hold(first, last, end_s)
    book.holds.append(hold)
    return hold


def record_answer(book: HoldBook, sent: Hold, end_s: float) -> None:
    """Records that a grant was applied, and when it ends at the latest."""
    book.position += 1
    book.holds = [
        hold
        for hold in book.holds
        if hold is not sent
        and (
            hold.answered is None
            or hold.first < sent.first
            or hold.last > sent.last
            or hold.end_s > end_s
        )
    ]
    book.holds.append(Hold(sent.first, sent.last, end_s, book.position))


def withdraw(book: HoldBook, sent: Hold) -> None:
    """Removes a grant that was not sent."""
    book.holds = [hold for hold in book.holds if hold is not sent]


def begin_release(book: HoldBook) -> int:
    """Returns the position of a release that is about to be sent."""
    book.position += 1
    return book.position


def record_release(
    book: HoldBook, first: int, last: int, position: int
) -> None:
    """Records that the backend server has answered a release.

    Args:
      book: The holds of the backend server.
      first: First shard that was released.
      last: Last shard that was released.
      position: Position of the release; grants that were answered later stay.
    """
    holds = []
    for hold in book.holds:
        if hold.answered is None or hold.answered > position:
            holds.append(hold)
            continue
        if hold.first < first:
            holds.append(attrs.evolve(hold, last=min(hold.last, first - 1)))
        if hold.last > last:
            holds.append(attrs.evolve(hold, first=max(hold.first, last + 1)))
    book.holds = holds


def latest_end_s(book: HoldBook, first: int, last: int) -> float:
    """Returns until when any of some shards may be held.

    Returns:
      The time; negative infinity if none of the shards is held.
    """
    return max(
        (
            hold.end_s
            for hold in book.holds
            if hold.first <= last and first <= hold.last
        ),
        default=float("-inf"),
    )


def forget_ended(book: HoldBook, now_s: float) -> None:
    """Removes the holds that have ended."""
    book.holds = [hold for hold in book.holds if hold.end_s > now_s]
