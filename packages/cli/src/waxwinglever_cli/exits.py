"""Exit codes of the program."""

from waxwinglever_model import exceptions

OK = 0
UNEXPECTED = 1
USAGE = 2
INVALID = 3
CONFLICT = 4
UNAVAILABLE = 5
WRITE_UNKNOWN = 6

EXIT_CODES_HELP = """\b
Exit codes:
  0  ok
  1  unexpected error; for check: findings
  2  wrong usage
  3  invalid record
  4  conflict with another change
  5  store or daemon unavailable
  6  outcome of the write unknown
"""


class WriteUnknown(exceptions.WaxwingleverError):
    """The store did not confirm a write, which may have taken effect."""

    kind = "write-unknown"


# The first match counts, so subclasses come before their base classes.
EXIT_CODES = (
    (exceptions.InvalidInput, INVALID),
    (exceptions.Conflict, CONFLICT),
    (exceptions.StoreUnavailable, UNAVAILABLE),
    (exceptions.PeerUnavailable, UNAVAILABLE),
    (WriteUnknown, WRITE_UNKNOWN),
    (exceptions.BadRequest, USAGE),
    (exceptions.Refusal, UNAVAILABLE),
)


def exit_code_for(error: exceptions.WaxwingleverError) -> int:
    """Returns the exit code for an error, UNEXPECTED if it has none."""
    for error_class, code in EXIT_CODES:
        if isinstance(error, error_class):
            return code
    return UNEXPECTED
