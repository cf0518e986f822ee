"""Tickets, which bind all attempts of a request to one owner.

The text form is `cell;epoch;incarnation;period`.
"""

import re

import attrs

from waxwinglever_model import exceptions

CELL_PATTERN = re.compile(r"[a-z0-9-]+(/[a-z0-9-]+){0,2}")
INCARNATION_PATTERN = re.compile(r"[A-Za-z0-9-]{1,64}")
# 18 digits keep both numbers within 64 bits.
NUMBER_PATTERN = re.compile(r"0|[1-9][0-9]{0,17}")
NUMBER_END = 10**18
MAX_TICKET_CHARACTERS = 320
SEPARATOR = ";"


def validate_number(_, attribute: attrs.Attribute, value: int) -> None:
    """Rejects a number that does not fit in the text form."""
    if not 0 <= value < NUMBER_END:
        raise ValueError(f"{attribute.name} {value} is out of range")


@attrs.frozen
class Ticket:
    """Identifies the table of outcomes that records a request's attempts.

    Attributes:
      cell: Name of the cell.
      epoch: Epoch of the slice when the ticket was issued.
      incarnation: Incarnation of the daemon that issued the ticket.
      period: Index of the ticket period in which the ticket was issued.
    """

    cell: str = attrs.field(
        validator=[
            attrs.validators.max_len(192),
            attrs.validators.matches_re(CELL_PATTERN),
        ]
    )
    epoch: int = attrs.field(validator=validate_number)
    incarnation: str = attrs.field(
        validator=attrs.validators.matches_re(INCARNATION_PATTERN)
    )
    period: int = attrs.field(validator=validate_number)


def format_ticket(ticket: Ticket) -> str:
    """Returns the text form of a ticket."""
    return SEPARATOR.join(
        (ticket.cell, str(ticket.epoch), ticket.incarnation, str(ticket.period))
    )


def parse_ticket(text: str) -> Ticket:
    """Parses the text form of a ticket.

    Raises:
      BadRequest: The text is not a ticket.
    """
    try:
        if len(text) > MAX_TICKET_CHARACTERS:
            raise ValueError(f"it has {len(text)} characters")
        cell, epoch, incarnation, period = text.split(SEPARATOR)
        if not NUMBER_PATTERN.fullmatch(epoch) or not NUMBER_PATTERN.fullmatch(
            period
        ):
            raise ValueError("its epoch or period index is not a number")
        return Ticket(cell, int(epoch), incarnation, int(period))
    except ValueError as error:
        raise exceptions.BadRequest(
            f"ticket {text[:64]!r} is malformed",
            "send the ticket of an earlier response unchanged, or none to get a"
            " new one",
        ) from error
