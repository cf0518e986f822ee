"""Refusals as daemons send them to each other."""

import attrs

from waxwinglever_model import exceptions
from waxwinglever_relay import messages

# By the value of forwarding.OUTCOME_HEADER.
REFUSALS_BY_KIND = {
    refusal.kind: refusal
    for refusal in (
        exceptions.NotOwner,
        exceptions.Overloaded,
        exceptions.ShareExceeded,
        exceptions.RateLimited,
        exceptions.QuotaExceeded,
        exceptions.Draining,
        exceptions.BackendUnavailable,
        exceptions.ConfigOutdated,
        exceptions.BadRequest,
        exceptions.Unauthorized,
        exceptions.UnknownService,
        exceptions.TooLarge,
        exceptions.OutcomeUnknown,
        exceptions.Quarantined,
        messages.ShedByBackend,
        messages.NoFreeSlot,
    )
}


@attrs.frozen
class RefusalDetails:
    """The body of a refusal that is sent between daemons.

    Attributes:
      message: What went wrong.
      remedy: What the caller can do about it.
      retry_after_ms: Delay before the caller may retry, or None.
      crash_chain: Chain of crashes of the request, 0 if the backend server has
        not crashed.
    """

    message: str
    remedy: str
    retry_after_ms: float | None
    crash_chain: int = 0
