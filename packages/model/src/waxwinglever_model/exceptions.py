"""The exception tree. Every message names the remedy."""


class WaxwingleverError(Exception):
    """Base of all errors of the project.

    Attributes:
      remedy: What the reader can do about the error, as one sentence.
    """

    kind = "error"

    def __init__(self, message: str, remedy: str):
        super().__init__(f"{message}; {remedy}")
        self.message = message
        self.remedy = remedy


class InvalidInput(WaxwingleverError):
    """A settings file, record, message or request that is malformed."""

    kind = "invalid-input"


class Conflict(WaxwingleverError):
    """A compare-and-swap found another version than the expected one."""

    kind = "conflict"


class StoreUnavailable(WaxwingleverError):
    """The store did not answer, or answered with a failure.

    A write that ends with this error may have taken effect.
    """

    kind = "store-unavailable"


class PeerUnavailable(WaxwingleverError):
    """Another daemon did not answer within the time limit."""

    kind = "peer-unavailable"


class Refusal(WaxwingleverError):
    """Base of the refusals that a caller may see.

    Attributes:
      status: HTTP status code.
      retry_after_ms: When the caller may try again, or None for never.
    """

    kind = "refusal"
    status = 503
    outcome = "refused"

    def __init__(
        self, message: str, remedy: str, retry_after_ms: int | None = None
    ):
        super().__init__(message, remedy)
        self.retry_after_ms = retry_after_ms


class NotRun(Refusal):
    """This try has not reached a backend server and never will."""

    kind = "not-run"
    outcome = "not-run"


class NotOwner(NotRun):
    """This node holds no lease for the key."""

    kind = "not-owner"


class Overloaded(NotRun):
    """The queue is full, or the deadline would pass before a slot is free."""

    kind = "overloaded"


class OverShare(NotRun):
    """The class or tenant uses more than its share of an overloaded service."""

    kind = "over-share"
    status = 429


class Draining(NotRun):
    """This node takes no new work because it, or its zone, is leaving."""

    kind = "draining"


class BackendUnavailable(NotRun):
    """No connection to the backend server could be opened."""

    kind = "backend-unavailable"


class TicketRequired(NotRun):
    """A request id came without a ticket, or with one that is not valid here.

    Attributes:
      ticket: A ticket that the owner accepts now.
    """

    kind = "ticket-required"
    status = 428

    def __init__(self, message: str, remedy: str, ticket: str):
        super().__init__(message, remedy, retry_after_ms=0)
        self.ticket = ticket


class OutcomesFull(NotRun):
    """The table of outcomes can take no further request id."""

    kind = "outcomes-full"


class BadRequest(NotRun):
    """The request is malformed or names something unknown."""

    kind = "bad-request"
    status = 400


class UnknownService(BadRequest):
    """No accepted configuration has this tenant or service."""

    kind = "unknown-service"
    status = 404


class TooLarge(BadRequest):
    """The body is over the limit."""

    kind = "too-large"
    status = 413


class OutcomeUnknown(Refusal):
    """The request may have run; its answer is lost."""

    kind = "outcome-unknown"
    outcome = "unknown"
    status = 504


class RefusedForGood(Refusal):
    """The request crashed backend servers and is never run again."""

    kind = "quarantined"
    status = 422
