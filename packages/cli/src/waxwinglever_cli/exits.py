"""Exit codes of the program."""

from waxwinglever_model import exceptions

OK = 0
UNEXPECTED = 1
USAGE = 2
INVALID = 3
CONFLICT = 4
UNAVAILABLE = 5
WRITE_UNKNOWN = 6

HELP = """\b
Exit codes:
  0  ok
  1  unexpected error
  2  wrong usage
  3  invalid record
  4  conflict with another change
  5  store or daemon unavailable
  6  outcome of the write unknown
"""


class WriteUnknown(exceptions.WaxwingleverError):
    """The store did not say whether a write took effect."""

    kind = "write-unknown"


# The first match counts, so subclasses come before their bases.
CODES = (
    (exceptions.InvalidInput, INVALID),
    (exceptions.Conflict, CONFLICT),
    (exceptions.StoreUnavailable, UNAVAILABLE),
    (exceptions.PeerUnavailable, UNAVAILABLE),
    (WriteUnknown, WRITE_UNKNOWN),
    (exceptions.BadRequest, USAGE),
    (exceptions.Refusal, UNAVAILABLE),
)


def code_of(error: exceptions.WaxwingleverError) -> int:
    """Returns the exit code for an error."""
    for kind, code in CODES:
        if isinstance(error, kind):
            return code
    return UNEXPECTED
