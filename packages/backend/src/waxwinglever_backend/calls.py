"""The calls of the backend server, apart from what carries them."""

from collections.abc import Callable

import attrs

from waxwinglever_model import exceptions


class BrokenAnswer(exceptions.OutcomeUnknown):
    """The order may have reached the backend server; its answer is lost.

    Attributes:
      crashed: True when the connection broke, False when the time ended or
        the answer could not be read.
    """

    kind = "broken-answer"

    def __init__(self, message: str, remedy: str, crashed: bool):
        super().__init__(message, remedy)
        self.crashed = crashed


@attrs.frozen
class Fence:
    """Lets a backend server refuse work of an earlier owner.

    Attributes:
      start: First point of the slice.
      epoch: Epoch of the slice's assignment.
      expires_ns: End of the lease, on clock.boottime_ns().
    """

    start: int
    epoch: int
    expires_ns: int


@attrs.frozen
class Order:
    """One request to run.

    Attributes:
      call_id: Identifies this try, for a cancellation.
      method: HTTP method.
      path: Path with the query.
      headers: Names and values; connection headers are left out on sending.
      body: The whole body.
      timeout_ms: Time for the answer, and for the server to stop the work.
      fence: For servers that check fences.
    """

    call_id: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    timeout_ms: int = attrs.field(validator=attrs.validators.ge(1))
    fence: Fence | None = None


@attrs.frozen
class Answer:
    """The complete answer of a backend server.

    Attributes:
      status: HTTP status.
      headers: Names and values, without connection headers.
      body: The whole body.
      boot_id: Boot id of the server, empty when it sent none.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    boot_id: str


@attrs.frozen
class Health:
    """What the backend server says of itself.

    Attributes:
      boot_id: Boot id of the server.
      state: `starting`, `ready` or `draining`.
    """

    boot_id: str
    state: str


@attrs.frozen
class BackendCalls:
    """The calls of one backend server.

    Attributes:
      send: Runs an order. Raises BackendUnavailable, Overloaded, Draining or
        BadRequest when it was not run, BrokenAnswer when it may have run.
      cancel: Asks the server to stop the orders with a call id; a failure to
        reach it is not reported, as the deadline stops them too.
      health: Returns the server's health; raises BackendUnavailable.
      close: Closes all connections.
    """

    send: Callable[[Order], Answer]
    cancel: Callable[[str], None]
    health: Callable[[], Health]
    close: Callable[[], None]
