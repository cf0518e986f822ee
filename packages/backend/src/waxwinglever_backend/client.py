"""Client interface of the backend server, independent of the transport."""

from collections.abc import Callable

import attrs

from waxwinglever_model import exceptions


class ResponseLost(exceptions.OutcomeUnknown):
    """No complete response arrived for a request that may have run.

    Attributes:
      connection_broken: True when the connection broke, False when the request
        timed out or the response could not be read.
    """

    kind = "broken-answer"

    def __init__(self, message: str, remedy: str, connection_broken: bool):
        super().__init__(message, remedy)
        self.connection_broken = connection_broken


@attrs.frozen
class Fence:
    """Fencing data that lets a backend server refuse an earlier owner's work.

    Attributes:
      start: First hash point of the slice.
      epoch: Epoch of the slice's assignment.
      expires_ns: End of the lease, as a time of clock.boottime_ns().
    """

    start: int
    epoch: int
    expires_ns: int


@attrs.frozen
class BackendRequest:
    """A request for the backend server.

    Attributes:
      call_id: Identifies this attempt, so that it can be cancelled.
      method: HTTP method.
      path: Path with the query string.
      headers: Names and values; connection headers are not sent.
      body: The complete body.
      timeout_ms: Time limit for the response. The server also stops the
        request's work when it has passed.
      fence: Set for servers that check fences.
    """

    call_id: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    timeout_ms: int = attrs.field(validator=attrs.validators.ge(1))
    fence: Fence | None = None


@attrs.frozen
class BackendResponse:
    """The complete response of a backend server.

    Attributes:
      status: HTTP status code.
      headers: Names and values, without connection headers.
      body: The complete body.
      boot_id: Boot id of the server, empty when it sent none.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    boot_id: str


@attrs.frozen
class Health:
    """State that the backend server reports in its health check.

    Attributes:
      boot_id: Boot id of the server.
      state: `starting`, `ready` or `draining`.
    """

    boot_id: str
    state: str


@attrs.frozen
class BackendClient:
    """Client of one backend server.

    Attributes:
      send: Sends a request and returns the response. Raises
        BackendUnavailable, Overloaded, Draining, NotOwner or BadRequest when
        the request was not run, ResponseLost when it may have run.
      cancel: Asks the server to stop the requests with a call id. A failed
        call is not reported, because the server stops them at their deadline
        in any case.
      health: Returns the server's health; raises BackendUnavailable when the
        health check fails.
      close: Closes all connections.
    """

    send: Callable[[BackendRequest], BackendResponse]
    cancel: Callable[[str], None]
    health: Callable[[], Health]
    close: Callable[[], None]
