"""Requests and answers, apart from how HTTP carries them."""

import hashlib
from collections.abc import Callable

import attrs

from waxwinglever_model import exceptions

Headers = tuple[tuple[str, str], ...]


@attrs.frozen
class Request:
    """One attempt of a caller, routed to a service.

    Attributes:
      request_id: The caller's id of the attempt.
      method: HTTP method.
      target: Path and query as the caller sent them.
      headers: End-to-end headers for the backend server.
      body: The whole body.
      service: Service that should run it.
      route: Name of the route; histograms and shares are kept for it.
      repeatable: Whether it may run more than once.
      shard: Shard of a keyed service, or None.
      caller: Service on whose machine the request began.
      target_s: When an answer is worth most, on the boot clock.
      deadline_s: When the answer must be given, on the boot clock.
      keyed: Whether the service is divided by key.
      max_attempts: Backend servers that it may be sent to.
    """

    request_id: str
    method: str
    target: str
    headers: Headers
    body: bytes
    service: str
    route: str
    repeatable: bool
    shard: int | None
    caller: str
    target_s: float
    deadline_s: float
    keyed: bool = False
    max_attempts: int = 1


@attrs.frozen
class Answer:
    """What a backend server answered, complete and checked."""

    status: int
    headers: Headers
    body: bytes


@attrs.frozen
class Caller:
    """The connection that waits for an answer.

    Attributes:
      fileno: Its descriptor, to be polled together with others.
      has_left: Returns whether its other side has closed it.
    """

    fileno: int
    has_left: Callable[[], bool]


class CallerLeft(exceptions.WaxwingleverError):
    """The caller has closed its connection; nobody waits for an answer."""

    kind = "caller-left"


class Shed(exceptions.Overloaded):
    """The backend server itself refused the request.

    It has not run, but it has reached a backend server, so another send counts
    as a repeat.
    """

    kind = "shed"


def caller_left() -> CallerLeft:
    """Returns the error for a request that nobody waits for."""
    return CallerLeft("the caller has left", "nothing is to be done")


def fingerprint(request: Request) -> str:
    """Returns what a request that is sent again has in common."""
    digest = hashlib.blake2b(digest_size=12)
    for part in (request.caller, request.method, request.target):
        digest.update(part.encode("utf-8", "surrogateescape"))
        digest.update(b"\0")
    digest.update(request.body)
    return digest.hexdigest()
