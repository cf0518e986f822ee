"""Announcements of a backend server to the daemon on its VM."""

import attrs
import msgspec

from waxwinglever_model import exceptions
from waxwinglever_model import identifiers

STATES = ("starting", "ready", "draining")


def validate_state(_, attribute, value: str) -> None:
    """Rejects a state that is not one of STATES."""
    if value not in STATES:
        raise ValueError(f"{attribute.name} must be one of {STATES}")


def validate_name(_, attribute, value: str) -> None:
    """Rejects a value that is not a valid name of a tenant or service."""
    if not identifiers.is_name(value):
        raise ValueError(f"{attribute.name} {value[:64]!r} is not a name")


def validate_address(_, attribute, value: str) -> None:
    """Rejects a value that is not IP:port."""
    if not identifiers.is_address(value):
        raise ValueError(f"{attribute.name} {value[:64]!r} is not IP:port")


def validate_positive(_, attribute, value: int) -> None:
    """Rejects a number below 1."""
    if value < 1:
        raise ValueError(f"{attribute.name} must be at least 1")


@attrs.frozen
class Announcement:
    """One announcement; the server repeats it every second.

    Attributes:
      tenant: Name of the tenant.
      service: Name of the service.
      address: IP:port of the backend server.
      boot_id: Random id that the server chooses each time it starts.
      slots: Number of requests that it can run at once.
      connections: Number of connections that it accepts.
      checks_fences: Whether it refuses requests with an outdated epoch.
      state: One of STATES.
    """

    tenant: str = attrs.field(validator=validate_name)
    service: str = attrs.field(validator=validate_name)
    address: str = attrs.field(validator=validate_address)
    boot_id: str
    slots: int = attrs.field(validator=validate_positive)
    connections: int = attrs.field(validator=validate_positive)
    checks_fences: bool
    state: str = attrs.field(validator=validate_state)


DECODER = msgspec.json.Decoder(dict)


def parse(body: bytes) -> Announcement:
    """Parses the JSON body of an announcement.

    Raises:
      InvalidInput: The body is not a valid announcement.
    """
    try:
        values = msgspec.convert(DECODER.decode(body), Announcement)
        attrs.validate(values)
        return values
    except (msgspec.MsgspecError, ValueError) as error:
        raise exceptions.InvalidInput(
            f"the announcement is malformed: {error}",
            "send the JSON object that docs/OPERATIONS.md describes",
        ) from error
