"""Random identifiers and their checks."""

import re
import secrets

NAME = re.compile(r"[a-z0-9][a-z0-9-]{0,62}")
REQUEST_ID = re.compile(r"[A-Za-z0-9._:-]{1,128}")


def new_id() -> str:
    """Returns a random identifier of 16 hexadecimal digits."""
    return secrets.token_hex(8)


def is_name(text: str) -> bool:
    """Returns whether `text` may name a tenant, service, zone or node."""
    return NAME.fullmatch(text) is not None


def is_request_id(text: str) -> bool:
    """Returns whether `text` may be a request id."""
    return REQUEST_ID.fullmatch(text) is not None
