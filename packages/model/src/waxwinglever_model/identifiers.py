"""Random identifiers, and checks of names, request ids and addresses."""

import ipaddress
import re
import secrets

NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9-]{0,62}")
REQUEST_ID_PATTERN = re.compile(r"[A-Za-z0-9._:-]{1,128}")


def new_id() -> str:
    """Returns a random identifier of 16 hexadecimal digits."""
    return secrets.token_hex(8)


def is_name(text: str) -> bool:
    """Returns whether `text` may name a tenant, service, zone or node."""
    return NAME_PATTERN.fullmatch(text) is not None


def is_request_id(text: str) -> bool:
    """Returns whether `text` may be a request id."""
    return REQUEST_ID_PATTERN.fullmatch(text) is not None


def is_address(text: str) -> bool:
    """Returns whether `text` is IP:port, with an IPv6 address in brackets."""
    host, _, port = text.rpartition(":")
    is_bracketed = host.startswith("[") and host.endswith("]")
    try:
        ip_version = ipaddress.ip_address(
            host[1:-1] if is_bracketed else host
        ).version
        port_number = int(port) if port.isascii() and port.isdigit() else 0
    except ValueError:
        return False
    return is_bracketed == (ip_version == 6) and 0 < port_number < 65536
