"""Exceptions of the project; each has a message and a remedy."""


class WaxwingleverError(Exception):
    """Base class of all errors of the project.

    Attributes:
      kind: Name of the error in messages and responses.
      message: What went wrong.
      remedy: What the reader can do about it.
    """

    kind = "error"

    def __init__(self, message: str, remedy: str):
        super().__init__(f"{message}; {remedy}")
        self.message = message
        self.remedy = remedy


class InvalidInput(WaxwingleverError):
    """A settings file, record, message or request is malformed."""

    kind = "invalid-input"


class Conflict(WaxwingleverError):
    """A compare-and-swap found a version other than the expected one."""

    kind = "conflict"


class StoreUnavailable(WaxwingleverError):
    """The store did not respond, or responded with an error.

    A write that raises this error may have taken effect.
    """

    kind = "store-unavailable"


class PeerUnavailable(WaxwingleverError):
    """Another daemon did not reply within the time limit."""

    kind = "peer-unavailable"


class Refusal(WaxwingleverError):
    """Base class of the errors that callers can get as a response.

    Attributes:
      status: HTTP status code.
      outcome: Whether the request ran: "not-run", "unknown" or "refused".
      retry_after_ms: Delay before the caller may retry; None if it should not
        retry.
      load: The load of the backend server that refused, if it is known; a
        relay.messages.ServerLoad.
    """

    kind = "refusal"
    status = 503
    outcome = "refused"

    def __init__(
        self, message: str, remedy: str, retry_after_ms: int | None = None
    ):
        super().__init__(message, remedy)
        self.retry_after_ms = retry_after_ms
        self.load: object | None = None


class NotExecuted(Refusal):
    """This attempt has not reached a backend server and never will."""

    kind = "not-run"
    outcome = "not-run"


class NotOwner(NotExecuted):
    """This node holds no lease on the key."""

    kind = "not-owner"


class Overloaded(NotExecuted):
    """The queue is full, or no slot will be free before the deadline."""

    kind = "overloaded"


class ShareExceeded(NotExecuted):
    """The class or tenant uses more than its share of an overloaded service."""

    kind = "over-share"
    status = 429


class RateLimited(NotExecuted):
    """The backend server limits the requests a second that it takes."""

    kind = "rate-limited"
    status = 429


class QuotaExceeded(NotExecuted):
    """The tenant has sent more requests than its quota allows."""

    kind = "over-quota"
    status = 429


class Draining(NotExecuted):
    """This node takes no new requests: it or its zone is being drained."""

    kind = "draining"


class BackendUnavailable(NotExecuted):
    """No connection to the backend server could be opened."""

    kind = "backend-unavailable"


class ConfigOutdated(NotExecuted):
    """The configuration of the node may have been replaced."""

    kind = "config-outdated"


class TicketRequired(NotExecuted):
    """A request id came without a ticket, or with one not valid on this node.

    Attributes:
      ticket: A ticket that the owner accepts now.
    """

    kind = "ticket-required"
    status = 428

    def __init__(self, message: str, remedy: str, ticket: str):
        super().__init__(message, remedy, retry_after_ms=0)
        self.ticket = ticket


class OutcomeTableFull(NotExecuted):
    """The table of request outcomes has no room for another request id."""

    kind = "outcomes-full"


class BadRequest(NotExecuted):
    """The request is malformed or names something unknown."""

    kind = "bad-request"
    status = 400


class Unauthorized(BadRequest):
    """The API key is missing, unknown or withdrawn."""

    kind = "unauthorized"
    status = 401


class UnknownService(BadRequest):
    """No active configuration contains this tenant or service."""

    kind = "unknown-service"
    status = 404


class TooLarge(BadRequest):
    """The body is over the limit."""

    kind = "too-large"
    status = 413


class OutcomeUnknown(Refusal):
    """The request may have run; its response is lost."""

    kind = "outcome-unknown"
    outcome = "unknown"
    status = 504


class Quarantined(Refusal):
    """The request crashed backend servers and is never run again."""

    kind = "quarantined"
    status = 422
