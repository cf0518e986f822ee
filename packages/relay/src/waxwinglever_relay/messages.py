"""Requests and responses, independent of their HTTP encoding."""

import hashlib
from collections.abc import Callable

import attrs

from waxwinglever_model import exceptions

Headers = tuple[tuple[str, str], ...]
# Long bodies are views of a memory_budget.Buffer.
Body = bytes | memoryview


@attrs.frozen
class ServerNotice:
    """What a backend server says of itself in its answers.

    Attributes:
      boot_id: Boot id of its process.
      rate_limit_per_s: Requests a second that it takes from all daemons
        together, or None.
      leaving: Whether it is about to shut down.
      unreadable: A limit that could not be read; the one before stays in force.
    """

    boot_id: str
    rate_limit_per_s: float | None = None
    leaving: bool = False
    unreadable: str = ""


@attrs.frozen
class ServerLoad:
    """The load of the backend server of a node, as the node reports it.

    Attributes:
      running: Requests that run on it.
      waiting: Requests that wait for it.
      slots: Requests that it runs at the same time.
      wait_ms: Expected wait of a new request.
      service_ms: Mean time that a request takes; 0 when unknown.
      slowness: How long work takes on its machine now; 100 is usual.
      age_ms: Age of what the backend server itself has stated.
    """

    running: int
    waiting: int
    slots: int
    wait_ms: int
    service_ms: int
    slowness: int = 100
    age_ms: int = 0


@attrs.frozen
class Request:
    """One attempt of a caller to get a response, routed to a service.

    Attributes:
      request_id: The caller's id of this attempt.
      method: HTTP method.
      target: Path and query as the caller sent them.
      headers: End-to-end headers for the backend server.
      body: The whole body.
      service: Service that should run it; '' if no route is chosen yet.
      route: Name of the route; histograms and gate shares are kept by route.
      idempotent: Whether it may run more than once.
      shard: Shard of a keyed service, or None.
      caller: Service on whose VM the request originated.
      latency_target_s: End of the target latency, on the boot clock. Without a
        route, when the request arrived.
      deadline_s: When the response is due at the latest, on the boot clock.
      keyed: Whether the service is sharded by key.
      max_attempts: Maximum number of backend servers that it may be sent to.
      known_chain: Its chain of crashes, as far as its sender knows; see
        admission.quarantine.
      notice: What its sender last heard of the backend server, if anything.
      host: Host that the caller has named, with its port if it has one.
      priority: Priority of its tenant or its route; 0 is the most urgent.
      tenant: Name of the tenant that sends it; '' if there is none.
      credential: API key of the caller, while no route is chosen yet.
      movable: Whether a node without a free slot sends it back, so that another
        one is tried before it waits.
    """

    request_id: str
    method: str
    target: str
    headers: Headers
    body: Body
    service: str
    route: str
    idempotent: bool
    shard: int | None
    caller: str
    latency_target_s: float
    deadline_s: float
    keyed: bool = False
    max_attempts: int = 1
    known_chain: int = 0
    notice: ServerNotice | None = None
    host: str = ""
    priority: int = 0
    tenant: str = ""
    credential: str = attrs.field(default="", repr=False)
    movable: bool = False


@attrs.frozen
class Response:
    """Complete and validated response of a backend server.

    Attributes:
      status: HTTP status.
      headers: End-to-end headers.
      body: The whole body.
      notice: What the backend server says of itself, if anything.
      load: Load of the backend server, if overload control is in force.
    """

    status: int
    headers: Headers
    body: Body
    notice: ServerNotice | None = None
    load: ServerLoad | None = None


@attrs.frozen
class CallerConnection:
    """The caller's connection, which waits for a response.

    Attributes:
      fileno: File descriptor, to be polled together with others.
      is_closed: Returns whether the caller has closed the connection.
    """

    fileno: int
    is_closed: Callable[[], bool]


class CallerDisconnected(exceptions.WaxwingleverError):
    """The caller closed its connection before it got a response."""

    kind = "caller-left"


class ShedByBackend(exceptions.Overloaded):
    """The backend server itself refused the request.

    The request has not run, but it has reached a backend server, so another
    attempt counts as a retry.
    """

    kind = "shed"


class NoFreeSlot(exceptions.Overloaded):
    """A movable request would have to wait here."""

    kind = "no-free-slot"


class LinkBusy(exceptions.Overloaded):
    """A body was not sent, as the link of its receiver has no room for it."""


class ServerCrashed(exceptions.OutcomeUnknown):
    """The backend server crashed while it ran the request.

    Attributes:
      chain: Chain of crashes of the request, see admission.quarantine.
    """

    def __init__(
        self,
        message: str,
        remedy: str,
        retry_after_ms: int | None = None,
        chain: int = 1,
    ):
        super().__init__(message, remedy, retry_after_ms)
        self.chain = chain


def caller_disconnected_error() -> CallerDisconnected:
    """Returns the error for a request whose caller has disconnected."""
    return CallerDisconnected(
        "the caller has closed its connection", "no action is needed"
    )


def fingerprint(request: Request) -> str:
    """Returns a hash that is equal for all attempts, wherever they begin.

    The service on whose VM an attempt begins is not part of it: the same
    request may come to any VM.
    """
    digest = hashlib.blake2b(digest_size=12)
    for part in (request.method, request.target):
        digest.update(part.encode("utf-8", "surrogateescape"))
        digest.update(b"\0")
    digest.update(request.body)
    return digest.hexdigest()
