"""Keeps request outcomes, so that a request id runs at most once per ticket."""

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
MAX_RESPONSE_BYTES = 16 * 1024 * 1024
# Interval of the sweep that discards expired periods in all epochs, including
# those that get no more requests.
SWEEP_INTERVAL_S = 30.0
MAX_DROPPED_EPOCHS = 10_000
RESPONSE_OVERHEAD_BYTES = 200

RUNNING = "running"
# The run ended and its response is kept.
ANSWERED = "answered"
# The run ended, but the table had no room for its response.
NOT_KEPT = "not kept"
# It is not known whether the request ran.
LOST = "lost"
# The request did not run; another attempt may run it.
ABANDONED = "abandoned"


@attrs.frozen
class Start:
    """The attempt must run the request.

    Afterwards it must call finish, abandon or mark_unknown.
    """


@attrs.frozen
class Replay:
    """The request has run before.

    Attributes:
      response: The response of that run.
    """

    response: typing.Any


@attrs.define(eq=False)
class Outcome:
    """The state of one request id.

    Attributes:
      changed: Notified when the run ends; other attempts of the request wait
        on it. It shares the table's lock.
      state: RUNNING, ANSWERED, NOT_KEPT, LOST or ABANDONED.
      response: The response, if the state is ANSWERED.
      size: Bytes of the response that count towards the table's max_bytes.
    """

    changed: threading.Condition
    state: str = RUNNING
    response: typing.Any = None
    size: int = 0


@attrs.define(eq=False)
class EpochOutcomes:
    """The outcomes of one epoch.

    Attributes:
      start_s: When the first period began.
      first_period: Index of the first period. It is above 0 if the epoch was
        dropped before, because earlier tickets must not be accepted again.
      periods: Period index to request id to outcome.
    """

    start_s: float
    first_period: int
    periods: dict[int, dict[str, Outcome]] = attrs.Factory(dict)


def response_size(response: typing.Any) -> int:
    """Returns the size of a backend server's response in bytes."""
    headers = sum(len(name) + len(value) for name, value in response.headers)
    return len(response.body) + headers + RESPONSE_OVERHEAD_BYTES


@attrs.define(eq=False)
class OutcomeTable:
    """The table of outcomes of one incarnation of a daemon.

    Attributes:
      incarnation: Incarnation of this daemon.
      now: The clock.
      size_of: Returns the size of a response in bytes.
      max_outcomes: Maximum number of request ids in the table.
      max_bytes: Maximum total size of the kept responses.
      lock: Guards the attributes below and every outcome in the table.
      epochs: Cell and epoch to their outcomes.
      dropped: Cell and epoch to the first period that is valid if this node
        gets the epoch again.
      count: Number of request ids in the table.
      kept_bytes: Total size of the kept responses.
      next_sweep_s: When the next sweep is due.
    """

    incarnation: str
    now: Callable[[], float] = clock.boottime_s
    size_of: Callable[[typing.Any], int] = response_size
    max_outcomes: int = MAX_OUTCOMES
    max_bytes: int = MAX_RESPONSE_BYTES
    lock: threading.Lock = attrs.Factory(threading.Lock)
    epochs: dict[tuple[str, int], EpochOutcomes] = attrs.Factory(dict)
    dropped: collections.OrderedDict[tuple[str, int], int] = attrs.Factory(
        collections.OrderedDict
    )
    count: int = 0
    kept_bytes: int = 0
    next_sweep_s: float = 0.0


def current_ticket(
    table: OutcomeTable, cell: str, epoch: int
) -> tickets.Ticket:
    """Returns the ticket for new requests in an epoch that this node holds."""
    with table.lock:
        period = current_period(table, open_epoch(table, cell, epoch))
        return tickets.Ticket(cell, epoch, table.incarnation, period)


def begin_attempt(
    table: OutcomeTable,
    ticket: tickets.Ticket,
    request_id: str,
    deadline_s: float,
) -> Start | Replay:
    """Decides whether an attempt runs the request or gets its kept response.

    Waits while another attempt is running.

    The caller has checked that this node holds the epoch of the ticket.

    Args:
      table: The table.
      ticket: Ticket of the attempt.
      request_id: Request id of the attempt.
      deadline_s: Until when the attempt may wait for another one.

    Returns:
      Start if the caller must run the request, or Replay with the response of
      an earlier run.

    Raises:
      TicketRequired: The ticket is from another incarnation or has expired.
      OutcomeTableFull: The table is full.
      NotOwner: The epoch was dropped while the attempt waited.
      OutcomeUnknown: The request may have run, and its response is not known.
    """
    with table.lock:
        while True:
            outcome = find_or_start(table, ticket, request_id)
            if outcome is None:
                return Start()
            while outcome.state == RUNNING:
                left_s = deadline_s - table.now()
                if left_s <= 0:
                    raise outcome_unknown_error(
                        f"request {request_id} is still running in another"
                        " attempt"
                    )
                outcome.changed.wait(left_s)
            if outcome.state == ANSWERED:
                return Replay(outcome.response)
            if outcome.state == NOT_KEPT:
                raise outcome_unknown_error(
                    f"request {request_id} ran, but its response was too large"
                    " to keep"
                )
            if outcome.state == LOST:
                raise outcome_unknown_error(
                    f"request {request_id} may have run"
                )
            # The other attempt was abandoned, so this one starts over. It must
            # not create the epoch anew if it was dropped in the meantime.
            if (ticket.cell, ticket.epoch) not in table.epochs:
                raise exceptions.NotOwner(
                    f"this node no longer holds epoch {ticket.epoch} of"
                    f" {ticket.cell}",
                    "send the request again to the owner",
                    retry_after_ms=0,
                )


def find_or_start(
    table: OutcomeTable, ticket: tickets.Ticket, request_id: str
) -> Outcome | None:
    """Returns the known outcome, or None if the caller must run the request.

    In the latter case it adds a running outcome to the table.

    Raises:
      TicketRequired: The ticket is from another incarnation or has expired.
      OutcomeTableFull: The table is full.
    """
    epoch = open_epoch(table, ticket.cell, ticket.epoch)
    period = current_period(table, epoch)
    if ticket.incarnation != table.incarnation or not (
        max(period - 1, epoch.first_period) <= ticket.period <= period
    ):
        fresh = tickets.Ticket(
            ticket.cell, ticket.epoch, table.incarnation, period
        )
        raise exceptions.TicketRequired(
            "stale ticket: this node has no record of earlier attempts with it",
            "send the request with the new ticket, unless another attempt with"
            " the old one got no response",
            tickets.format_ticket(fresh),
        )
    known = epoch.periods.get(ticket.period, {}).get(request_id)
    if known is not None:
        return known
    if table.count >= table.max_outcomes:
        sweep(table)
    if table.count >= table.max_outcomes:
        raise exceptions.OutcomeTableFull(
            f"the table of outcomes holds {table.max_outcomes} request ids",
            f"try again within {limits.TICKET_PERIOD_S:.0f} s",
            retry_after_ms=1000,
        )
    outcome = Outcome(threading.Condition(table.lock))
    epoch.periods.setdefault(ticket.period, {})[request_id] = outcome
    table.count += 1
    return None


def finish(
    table: OutcomeTable,
    ticket: tickets.Ticket,
    request_id: str,
    response: typing.Any,
) -> None:
    """Ends a run and keeps its response, if there is room for it."""
    size = table.size_of(response)
    with table.lock:
        outcome = find_running(table, ticket, request_id)
        if outcome is None:
            return
        if table.kept_bytes + size > table.max_bytes:
            sweep(table)
        if table.kept_bytes + size > table.max_bytes:
            end_run(outcome, NOT_KEPT)
            return
        table.kept_bytes += size
        outcome.size = size
        outcome.response = response
        end_run(outcome, ANSWERED)


def abandon(
    table: OutcomeTable, ticket: tickets.Ticket, request_id: str
) -> None:
    """Removes the outcome of a request that is known not to have run.

    One of the attempts that wait for it runs the request instead.
    """
    with table.lock:
        outcome = find_running(table, ticket, request_id)
        if outcome is not None:
            epoch = table.epochs[ticket.cell, ticket.epoch]
            del epoch.periods[ticket.period][request_id]
            table.count -= 1
            end_run(outcome, ABANDONED)


def mark_unknown(
    table: OutcomeTable, ticket: tickets.Ticket, request_id: str
) -> None:
    """Marks a run's outcome as unknown, so that no attempt repeats it."""
    with table.lock:
        outcome = find_running(table, ticket, request_id)
        if outcome is not None:
            end_run(outcome, LOST)


def drop_epoch(table: OutcomeTable, cell: str, epoch: int) -> None:
    """Removes the outcomes of an epoch that this node no longer holds."""
    with table.lock:
        dropped = table.epochs.pop((cell, epoch), None)
        if dropped is None:
            return
        table.dropped[cell, epoch] = current_period(table, dropped) + 1
        for period in list(dropped.periods):
            discard_period(table, dropped, period)
        while len(table.dropped) > MAX_DROPPED_EPOCHS:
            table.dropped.popitem(last=False)


def find_running(
    table: OutcomeTable, ticket: tickets.Ticket, request_id: str
) -> Outcome | None:
    """Returns the outcome of a request if it is in the table and running."""
    epoch = table.epochs.get((ticket.cell, ticket.epoch))
    if epoch is None:
        return None
    outcome = epoch.periods.get(ticket.period, {}).get(request_id)
    if outcome is None or outcome.state != RUNNING:
        return None
    return outcome


def end_run(outcome: Outcome, state: str) -> None:
    """Sets the final state of a run and wakes the attempts that wait for it."""
    outcome.state = state
    outcome.changed.notify_all()


def open_epoch(table: OutcomeTable, cell: str, epoch: int) -> EpochOutcomes:
    """Returns the outcomes of an epoch, creating an empty entry if needed.

    Discards expired periods first.
    """
    if table.now() >= table.next_sweep_s:
        sweep(table)
    found = table.epochs.get((cell, epoch))
    if found is None:
        first_period = table.dropped.pop((cell, epoch), 0)
        found = EpochOutcomes(table.now(), first_period)
        table.epochs[cell, epoch] = found
    discard_expired_periods(table, found)
    return found


def current_period(table: OutcomeTable, epoch: EpochOutcomes) -> int:
    """Returns the index of the current period."""
    passed_s = table.now() - epoch.start_s
    return epoch.first_period + int(passed_s // limits.TICKET_PERIOD_S)


def sweep(table: OutcomeTable) -> None:
    """Discards the expired periods of all epochs."""
    table.next_sweep_s = table.now() + SWEEP_INTERVAL_S
    for epoch in table.epochs.values():
        discard_expired_periods(table, epoch)


def discard_expired_periods(table: OutcomeTable, epoch: EpochOutcomes) -> None:
    """Discards the expired periods of an epoch."""
    oldest = current_period(table, epoch) - 1
    for period in [period for period in epoch.periods if period < oldest]:
        discard_period(table, epoch, period)


def discard_period(
    table: OutcomeTable, epoch: EpochOutcomes, period: int
) -> None:
    """Discards one period; attempts that wait in it end as unknown."""
    for outcome in epoch.periods.pop(period).values():
        table.count -= 1
        table.kept_bytes -= outcome.size
        if outcome.state == RUNNING:
            end_run(outcome, LOST)


def outcome_unknown_error(message: str) -> exceptions.OutcomeUnknown:
    """Returns the error for a request whose outcome is not known."""
    return exceptions.OutcomeUnknown(
        message, "look up the effect of the request before sending a new one"
    )
