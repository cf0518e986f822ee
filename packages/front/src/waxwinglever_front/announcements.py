"""What a backend server announces to the daemon on its VM."""

import attrs
import msgspec

from waxwinglever_model import exceptions
from waxwinglever_model import identifiers

STATES = ("starting", "ready", "draining")


def is_known_state(_, attribute, value: str) -> None:
    """Checks that the state is one of STATES."""
    if value not in STATES:
        raise ValueError(f"{attribute.name} must be one of {STATES}")


def is_name(_, attribute, value: str) -> None:
    """Checks that a value may name a tenant or service."""
    if not identifiers.is_name(value):
        raise ValueError(f"{attribute.name} {value[:64]!r} is not a name")


def is_address(_, attribute, value: str) -> None:
    """Checks that a value is IP:port."""
    if not identifiers.is_address(value):
        raise ValueError(f"{attribute.name} {value[:64]!r} is not IP:port")


def is_positive(_, attribute, value: int) -> None:
    """Checks that a number is positive."""
    if value < 1:
        raise ValueError(f"{attribute.name} must be at least 1")


@attrs.frozen
class Announcement:
    """One announcement; the server repeats it every second.

    Attributes:
      tenant: Name of the tenant.
      service: Name of the service.
      address: IP:port of the backend server.
      boot_id: Random id of this life of the server.
      slots: Requests that it can run at once.
      connections: Connections that it accepts.
      checks_fences: Whether it refuses orders with an old epoch.
      state: One of STATES.
    """

    tenant: str = attrs.field(validator=is_name)
    service: str = attrs.field(validator=is_name)
    address: str = attrs.field(validator=is_address)
    boot_id: str
    slots: int = attrs.field(validator=is_positive)
    connections: int = attrs.field(validator=is_positive)
    checks_fences: bool
    state: str = attrs.field(validator=is_known_state)


DECODER = msgspec.json.Decoder(dict)


def parse(body: bytes) -> Announcement:
    """Returns the announcement in a JSON body.

    Raises:
      InvalidInput: The body is not an announcement.
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
