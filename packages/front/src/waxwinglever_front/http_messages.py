"""A caller's request and its response, independent of their HTTP encoding."""

import hashlib

import attrs

from waxwinglever_model import hashing

# Methods that RFC 9110 defines as safe. PUT and DELETE are not included, as
# services of tenants need not implement them as idempotent.
SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})

OUTCOME_RAN = "ran"


@attrs.frozen
class Request:
    """One attempt of a caller's request.

    Attributes:
      tenant: Name of the tenant.
      service: Name of the service.
      method: HTTP method.
      path: Path and query for the backend server, without tenant and service.
      headers: End-to-end headers for the backend server.
      body: The whole body.
      key: Key, or None for a service that is not sharded by key.
      request_class: Class, for weighted scheduling and metrics.
      deadline_s: When the caller stops waiting, in seconds of clock.boottime_s.
      request_id: Id that all attempts of the request share, or None.
      ticket: Text form of the ticket, or None.
      hops: How many daemons forwarded the request.
    """

    tenant: str
    service: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    key: str | None
    request_class: str
    deadline_s: float
    request_id: str | None = None
    ticket: str | None = None
    hops: int = 0

    @property
    def is_safe(self) -> bool:
        """Whether the request may run more than once."""
        return self.method in SAFE_METHODS

    @property
    def point(self) -> int:
        """Point of the key in the hash space."""
        return hashing.key_point(self.service, self.key or "")


@attrs.frozen
class Response:
    """The response to a caller's request.

    Attributes:
      status: HTTP status code.
      headers: End-to-end headers.
      body: The whole body.
      outcome: `ran`, `not-run`, `unknown` or `refused`.
      owner: HTTP address of the daemon to send the next request to, or ''.
      map_version: Version of the cell record that lists the owner.
      ticket: Ticket for the next request with an id, or ''.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    outcome: str = OUTCOME_RAN
    owner: str = ""
    map_version: int = 0
    ticket: str = ""


def fingerprint(request: Request) -> str:
    """Returns an identifier that is the same for all attempts of a request.

    It is the request id, or else a digest of method, path, key and body.
    """
    if request.request_id is not None:
        return f"id:{request.request_id}"
    digest = hashlib.blake2b(digest_size=16)
    for part in (request.method, request.path, request.key or ""):
        digest.update(part.encode("utf-8", "surrogatepass"))
        digest.update(b"\0")
    digest.update(request.body)
    return f"body:{digest.hexdigest()}"
