"""Options that several commands share."""

import getpass

import click


def default_author() -> str:
    """Returns the name of the user who runs the program, or "unknown"."""
    try:
        return getpass.getuser()
    except (OSError, KeyError, ImportError):
        return "unknown"


author = click.option(
    "--author",
    envvar="WAXWINGLEVER_AUTHOR",
    default=default_author,
    help="Author recorded in the history; the user name by default.",
)
message = click.option(
    "--message", "-m", default="", help="Reason recorded in the history."
)
