"""The table that lets a request id run at most once within a ticket."""

import collections
import threading
import typing
from collections.abc import Callable

import attrs

from waxwinglever_admission import tickets
from waxwinglever_model import clock
from waxwinglever_model import exceptions
from waxwinglever_model import limits

MAX_OUTCOMES = 10_000
MAX_ANSWER_BYTES = 16 * 1024 * 1024
# Finds outcomes of expired indexes in epochs that get no more requests.
SWEEP_S = 30.0
MAX_DROPPED_EPOCHS = 10_000
ANSWER_OVERHEAD_BYTES = 200

RUNNING = "running"
ANSWERED = "answered"
NOT_KEPT = "not kept"
LOST = "lost"
ABANDONED = "abandoned"


@attrs.frozen
class Start:
    """The request has to be run now; finish, abandon or lose must follow."""


@attrs.frozen
class Replay:
    """The request has run.

    Attributes:
      answer: The answer that was kept.
    """

    answer: typing.Any


@attrs.define(eq=False)
class Outcome:
    """The state of one request id.

    Attributes:
      changed: Shares the table's lock; joined tries wait on it.
    """

    changed: threading.Condition
    state: str = RUNNING
    answer: typing.Any = None
    size: int = 0


@attrs.define(eq=False)
class Epoch:
    """The outcomes of one epoch.

    Attributes:
      start_s: When the first index began.
      first_mint: The first index. It is above 0 when the epoch was dropped
        before, as tickets from then must not be accepted again.
      mints: Index to request id to outcome.
    """

    start_s: float
    first_mint: int
    mints: dict[int, dict[str, Outcome]] = attrs.Factory(dict)


def answer_size(answer: typing.Any) -> int:
    """Returns the bytes that a backend server's answer takes up."""
    headers = sum(len(name) + len(value) for name, value in answer.headers)
    return len(answer.body) + headers + ANSWER_OVERHEAD_BYTES


@attrs.define(eq=False)
class Outcomes:
    """The outcomes that one incarnation of a daemon knows.

    Attributes:
      incarnation: Incarnation of this daemon.
      now: The clock.
      size_of: Returns the bytes of an answer.
      max_outcomes: Bound of the request ids in the table.
      max_bytes: Bound of the kept answers.
      dropped: Cell and epoch to the first index that is valid if the epoch
        comes back.
    """

    incarnation: str
    now: Callable[[], float] = clock.boottime_s
    size_of: Callable[[typing.Any], int] = answer_size
    max_outcomes: int = MAX_OUTCOMES
    max_bytes: int = MAX_ANSWER_BYTES
    lock: threading.Lock = attrs.Factory(threading.Lock)
    epochs: dict[tuple[str, int], Epoch] = attrs.Factory(dict)
    dropped: collections.OrderedDict[tuple[str, int], int] = attrs.Factory(
        collections.OrderedDict
    )
    count: int = 0
    kept_bytes: int = 0
    next_sweep_s: float = 0.0


def current_ticket(table: Outcomes, cell: str, epoch: int) -> tickets.Ticket:
    """Returns the ticket for new requests under an epoch that is held."""
    with table.lock:
        mint = current_mint(table, open_epoch(table, cell, epoch))
        return tickets.Ticket(cell, epoch, table.incarnation, mint)


def begin(
    table: Outcomes, ticket: tickets.Ticket, request_id: str, deadline_s: float
) -> Start | Replay:
    """Decides what a try does; waits while another try is running.

    The caller has checked that this node holds the epoch of the ticket.

    Args:
      table: The table.
      ticket: Ticket of the try.
      request_id: Request id of the try.
      deadline_s: Until when the try may wait.

    Raises:
      TicketRequired: The ticket is of another incarnation or has expired.
      OutcomesFull: The table is full.
      NotOwner: The epoch was dropped while the try waited.
      OutcomeUnknown: The request may have run, and its answer is not known.
    """
    with table.lock:
        while True:
            outcome = find_or_start(table, ticket, request_id)
            if outcome is None:
                return Start()
            while outcome.state == RUNNING:
                left_s = deadline_s - table.now()
                if left_s <= 0:
                    raise unknown(
                        f"request {request_id} is still running in another try"
                    )
                outcome.changed.wait(left_s)
            if outcome.state == ANSWERED:
                return Replay(outcome.answer)
            if outcome.state == NOT_KEPT:
                raise unknown(
                    f"request {request_id} ran, but its answer was too large to"
                    " keep"
                )
            if outcome.state == LOST:
                raise unknown(f"request {request_id} may have run")
            # The other try did not run. A dropped epoch must not be opened
            # again by a try that has waited.
            if (ticket.cell, ticket.epoch) not in table.epochs:
                raise exceptions.NotOwner(
                    f"this node no longer holds epoch {ticket.epoch} of"
                    f" {ticket.cell}",
                    "send the request again to the owner",
                    retry_after_ms=0,
                )


def find_or_start(
    table: Outcomes, ticket: tickets.Ticket, request_id: str
) -> Outcome | None:
    """Returns the known outcome, or None after it noted a new run."""
    epoch = open_epoch(table, ticket.cell, ticket.epoch)
    mint = current_mint(table, epoch)
    if ticket.incarnation != table.incarnation or not (
        max(mint - 1, epoch.first_mint) <= ticket.mint <= mint
    ):
        fresh = tickets.Ticket(
            ticket.cell, ticket.epoch, table.incarnation, mint
        )
        raise exceptions.TicketRequired(
            "stale ticket: this node can't know earlier tries under it",
            "send the request with the new ticket, unless another try under the"
            " old one is unanswered",
            tickets.format_ticket(fresh),
        )
    known = epoch.mints.get(ticket.mint, {}).get(request_id)
    if known is not None:
        return known
    if table.count >= table.max_outcomes:
        sweep(table)
    if table.count >= table.max_outcomes:
        raise exceptions.OutcomesFull(
            f"the table of outcomes holds {table.max_outcomes} request ids",
            f"try again within {limits.TICKET_PERIOD_S:.0f} s",
            retry_after_ms=1000,
        )
    outcome = Outcome(threading.Condition(table.lock))
    epoch.mints.setdefault(ticket.mint, {})[request_id] = outcome
    table.count += 1
    return None


def finish(
    table: Outcomes,
    ticket: tickets.Ticket,
    request_id: str,
    answer: typing.Any,
) -> None:
    """Keeps the answer of a run, if there is room for it."""
    size = table.size_of(answer)
    with table.lock:
        outcome = running(table, ticket, request_id)
        if outcome is None:
            return
        if table.kept_bytes + size > table.max_bytes:
            sweep(table)
        if table.kept_bytes + size > table.max_bytes:
            settle(outcome, NOT_KEPT)
            return
        table.kept_bytes += size
        outcome.size = size
        outcome.answer = answer
        settle(outcome, ANSWERED)


def abandon(table: Outcomes, ticket: tickets.Ticket, request_id: str) -> None:
    """Forgets a run that is known not to have happened.

    One of the tries that joined it runs the request instead.
    """
    with table.lock:
        outcome = running(table, ticket, request_id)
        if outcome is not None:
            epoch = table.epochs[ticket.cell, ticket.epoch]
            del epoch.mints[ticket.mint][request_id]
            table.count -= 1
            settle(outcome, ABANDONED)


def lose(table: Outcomes, ticket: tickets.Ticket, request_id: str) -> None:
    """Notes that a run may have happened, so that no later try repeats it."""
    with table.lock:
        outcome = running(table, ticket, request_id)
        if outcome is not None:
            settle(outcome, LOST)


def drop_epoch(table: Outcomes, cell: str, epoch: int) -> None:
    """Forgets an epoch that this node no longer holds."""
    with table.lock:
        dropped = table.epochs.pop((cell, epoch), None)
        if dropped is None:
            return
        table.dropped[cell, epoch] = current_mint(table, dropped) + 1
        for mint in list(dropped.mints):
            discard(table, dropped, mint)
        while len(table.dropped) > MAX_DROPPED_EPOCHS:
            table.dropped.popitem(last=False)


def running(
    table: Outcomes, ticket: tickets.Ticket, request_id: str
) -> Outcome | None:
    """Returns the outcome of a run that has not ended, if it is still known."""
    epoch = table.epochs.get((ticket.cell, ticket.epoch))
    if epoch is None:
        return None
    outcome = epoch.mints.get(ticket.mint, {}).get(request_id)
    if outcome is None or outcome.state != RUNNING:
        return None
    return outcome


def settle(outcome: Outcome, state: str) -> None:
    """Ends a run and wakes the tries that joined it."""
    outcome.state = state
    outcome.changed.notify_all()


def open_epoch(table: Outcomes, cell: str, epoch: int) -> Epoch:
    """Returns the epoch's outcomes without those of expired indexes."""
    if table.now() >= table.next_sweep_s:
        sweep(table)
    found = table.epochs.get((cell, epoch))
    if found is None:
        first_mint = table.dropped.pop((cell, epoch), 0)
        found = Epoch(table.now(), first_mint)
        table.epochs[cell, epoch] = found
    rotate(table, found)
    return found


def current_mint(table: Outcomes, epoch: Epoch) -> int:
    """Returns the index of the present period."""
    passed_s = table.now() - epoch.start_s
    return epoch.first_mint + int(passed_s // limits.TICKET_PERIOD_S)


def sweep(table: Outcomes) -> None:
    """Forgets the outcomes of expired indexes in all epochs."""
    table.next_sweep_s = table.now() + SWEEP_S
    for epoch in table.epochs.values():
        rotate(table, epoch)


def rotate(table: Outcomes, epoch: Epoch) -> None:
    """Forgets the outcomes of an epoch's expired indexes."""
    oldest = current_mint(table, epoch) - 1
    for mint in [mint for mint in epoch.mints if mint < oldest]:
        discard(table, epoch, mint)


def discard(table: Outcomes, epoch: Epoch, mint: int) -> None:
    """Forgets the outcomes of one index; joined tries end as unknown."""
    for outcome in epoch.mints.pop(mint).values():
        table.count -= 1
        table.kept_bytes -= outcome.size
        if outcome.state == RUNNING:
            settle(outcome, LOST)


def unknown(message: str) -> exceptions.OutcomeUnknown:
    """Returns the error for a try whose outcome is not known."""
    return exceptions.OutcomeUnknown(
        message, "look up the effect of the request before sending a new one"
    )
