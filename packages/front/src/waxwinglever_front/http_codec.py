"""HTTP encoding of requests and responses, for callers and between daemons."""

import json
import math
from collections.abc import Callable

from waxwinglever_front import http_messages
from waxwinglever_model import clock
from waxwinglever_model import exceptions
from waxwinglever_model import identifiers
from waxwinglever_model import limits

HEADER_PREFIX = "Waxwinglever-"
KEY_HEADER = "Waxwinglever-Key"
TIMEOUT_MS_HEADER = "Waxwinglever-Timeout-Ms"
CLASS_HEADER = "Waxwinglever-Class"
REQUEST_ID_HEADER = "Waxwinglever-Request-Id"
TICKET_HEADER = "Waxwinglever-Ticket"
HOPS_HEADER = "Waxwinglever-Hops"
OUTCOME_HEADER = "Waxwinglever-Outcome"
OWNER_HEADER = "Waxwinglever-Owner"
MAP_VERSION_HEADER = "Waxwinglever-Map-Version"
REFUSAL_HEADER = "Waxwinglever-Refusal"
# Headers of a request that decide how it is handled.
SINGLE_HEADERS = (
    KEY_HEADER,
    TIMEOUT_MS_HEADER,
    CLASS_HEADER,
    REQUEST_ID_HEADER,
    TICKET_HEADER,
    HOPS_HEADER,
)

DEFAULT_CLASS = "default"
MAX_KEY_CHARACTERS = 1024
MAX_DIGITS = 9

# Hop-by-hop headers (RFC 9110) and headers that the HTTP client library sets.
NOT_FORWARDED = frozenset(
    {
        "connection",
        "content-length",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


def end_to_end_headers(headers) -> tuple[tuple[str, str], ...]:
    """Returns the end-to-end headers, without the Waxwinglever- headers."""
    return tuple(
        (name, value)
        for name, value in headers
        if name.lower() not in NOT_FORWARDED
        and not name.lower().startswith(HEADER_PREFIX.lower())
    )


def parse_request(
    environ: dict, timeout_ms: Callable[[str, str], int]
) -> http_messages.Request:
    """Returns the request in a WSGI environment.

    Args:
      environ: The environment. REQUEST_URI is the request target as it was
        sent: `<SCRIPT_NAME>/<tenant>/<service>/<path>`.
      timeout_ms: Returns the default timeout of a tenant's service.

    Raises:
      BadRequest: A header or the path is malformed.
      TooLarge: The body is over the limit.
    """
    tenant, service, path = split_target(environ)
    headers = list(iter_headers(environ))
    headers_by_name = {name.lower(): value for name, value in headers}
    key = headers_by_name.get(KEY_HEADER.lower())
    if key is not None and len(key) > MAX_KEY_CHARACTERS:
        raise exceptions.BadRequest(
            f"{KEY_HEADER} has {len(key)} characters",
            f"send at most {MAX_KEY_CHARACTERS}",
        )
    timeout = parse_integer(
        headers_by_name,
        TIMEOUT_MS_HEADER,
        timeout_ms(tenant, service),
        limits.MAX_TIMEOUT_MS,
    )
    request_id = headers_by_name.get(REQUEST_ID_HEADER.lower())
    if request_id is not None and not identifiers.is_request_id(request_id):
        raise exceptions.BadRequest(
            f"{REQUEST_ID_HEADER} is malformed",
            "send 1 to 128 letters, digits or ._:-",
        )
    return http_messages.Request(
        tenant=tenant,
        service=service,
        method=environ["REQUEST_METHOD"],
        path=path,
        headers=end_to_end_headers(headers),
        body=read_body(environ),
        key=key,
        request_class=headers_by_name.get(CLASS_HEADER.lower(), DEFAULT_CLASS),
        deadline_s=clock.boottime_s() + timeout / 1000,
        request_id=request_id,
        ticket=headers_by_name.get(TICKET_HEADER.lower()),
        hops=parse_integer(headers_by_name, HOPS_HEADER, 0, limits.MAX_HOPS),
    )


def split_target(environ: dict) -> tuple[str, str, str]:
    """Returns the tenant, the service, and the rest of the path with its query.

    The path stays percent-encoded. It is not taken from PATH_INFO, which is
    decoded and so may name another resource.

    Raises:
      BadRequest: The target has no tenant or no service.
    """
    prefix = environ.get("SCRIPT_NAME", "") + "/"
    target, separator, query = environ["REQUEST_URI"].partition("?")
    parts = target.removeprefix(prefix).split("/", 2)
    is_complete = target.startswith(prefix) and len(parts) == 3
    if not is_complete or not all(map(identifiers.is_name, parts[:2])):
        raise exceptions.BadRequest(
            "the path names no tenant and service",
            "send to /s/<tenant>/<service>/<path>",
        )
    tenant, service, path = parts
    return tenant, service, f"/{path}{separator}{query}"


def iter_headers(environ: dict):
    """Yields the name and value of each header in a WSGI environment."""
    for name, value in environ.items():
        if name.startswith("HTTP_"):
            yield name[5:].replace("_", "-").title(), value
    if environ.get("CONTENT_TYPE"):
        yield "Content-Type", environ["CONTENT_TYPE"]


def parse_integer(
    headers_by_name: dict[str, str], name: str, default: int, maximum: int
) -> int:
    """Returns the value of a header as an integer from 0 to `maximum`.

    Args:
      headers_by_name: Values by lowercase header name.
      name: Name of the header.
      default: Returned if the header is missing.
      maximum: Largest accepted value.

    Raises:
      BadRequest: The value is not such an integer.
    """
    text = headers_by_name.get(name.lower())
    if text is None:
        return default
    # int() raises ValueError for thousands of digits.
    is_number = text.isascii() and text.isdigit() and len(text) <= MAX_DIGITS
    if not (is_number and int(text) <= maximum):
        raise exceptions.BadRequest(
            f"{name} is {text[:32]!r}",
            f"send a whole number from 0 to {maximum}",
        )
    return int(text)


def read_body(environ: dict) -> bytes:
    """Returns the whole body.

    Raises:
      BadRequest: Content-Length is malformed, or the body is shorter.
      TooLarge: It is over the limit.
    """
    stream = environ["wsgi.input"]
    text = environ.get("CONTENT_LENGTH") or ""
    if not text and "HTTP_TRANSFER_ENCODING" not in environ:
        return b""
    if text and not (text.isascii() and text.isdigit()):
        raise exceptions.BadRequest(
            "Content-Length is not a number", "send the length in bytes"
        )
    declared_length = int(text) if text else None
    if declared_length is not None and declared_length > limits.MAX_BODY_BYTES:
        raise too_large_error()
    body = stream.read(
        limits.MAX_BODY_BYTES + 1
        if declared_length is None
        else declared_length
    )
    if len(body) > limits.MAX_BODY_BYTES:
        raise too_large_error()
    if declared_length is not None and len(body) < declared_length:
        raise exceptions.BadRequest(
            "the body ended early", "send as many bytes as announced"
        )
    return body


def too_large_error() -> exceptions.TooLarge:
    """Returns the error for a body over the limit."""
    return exceptions.TooLarge(
        "the body is over the limit",
        f"send at most {limits.MAX_BODY_BYTES} bytes",
    )


def refusal_response(
    error: exceptions.Refusal, owner: str = "", map_version: int = 0
) -> http_messages.Response:
    """Returns the response for a refusal: JSON with kind, message, remedy."""
    body = {
        "kind": error.kind,
        "message": error.message,
        "remedy": error.remedy,
    }
    headers = [
        ("Content-Type", "application/json"),
        (REFUSAL_HEADER, error.kind),
    ]
    if error.retry_after_ms is not None:
        seconds = math.ceil(error.retry_after_ms / 1000)
        headers.append(("Retry-After", str(seconds)))
    return http_messages.Response(
        status=error.status,
        headers=tuple(headers),
        body=json.dumps(body).encode("utf-8"),
        outcome=error.outcome,
        owner=owner,
        map_version=map_version,
        ticket=getattr(error, "ticket", ""),
    )


def response_headers(response: http_messages.Response) -> list[tuple[str, str]]:
    """Returns all headers of a response, as sent to the caller."""
    headers = [
        *response.headers,
        ("Content-Length", str(len(response.body))),
        (OUTCOME_HEADER, response.outcome),
        (OWNER_HEADER, response.owner),
        (MAP_VERSION_HEADER, str(response.map_version)),
    ]
    if response.ticket:
        headers.append((TICKET_HEADER, response.ticket))
    return headers


def forwarded_headers(
    request: http_messages.Request, remaining_ms: int
) -> list[tuple[str, str]]:
    """Returns the headers of a request to another daemon.

    Args:
      request: The request to forward.
      remaining_ms: Time left until its deadline.
    """
    headers = [
        *request.headers,
        (TIMEOUT_MS_HEADER, str(remaining_ms)),
        (CLASS_HEADER, request.request_class),
        (HOPS_HEADER, str(request.hops + 1)),
    ]
    for name, value in (
        (KEY_HEADER, request.key),
        (REQUEST_ID_HEADER, request.request_id),
        (TICKET_HEADER, request.ticket),
    ):
        if value is not None:
            headers.append((name, value))
    return headers


def parse_response(status: int, headers, body: bytes) -> http_messages.Response:
    """Returns the decoded response of another daemon.

    The outcome is `unknown` if the response does not state one.
    """
    headers_by_name = {name.lower(): value for name, value in headers}
    kept = [
        (name, value)
        for name, value in headers
        if name.lower() not in NOT_FORWARDED
        and name.lower() not in ("server", "date")
        and (
            not name.lower().startswith(HEADER_PREFIX.lower())
            or name.lower() == REFUSAL_HEADER.lower()
        )
    ]
    version = headers_by_name.get(MAP_VERSION_HEADER.lower(), "0")
    return http_messages.Response(
        status=status,
        headers=tuple(kept),
        body=body,
        outcome=headers_by_name.get(OUTCOME_HEADER.lower(), "unknown"),
        owner=headers_by_name.get(OWNER_HEADER.lower(), ""),
        map_version=int(version) if version.isdigit() else 0,
        ticket=headers_by_name.get(TICKET_HEADER.lower(), ""),
    )
