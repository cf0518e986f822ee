"""Options that several commands have."""

import getpass

import click


def default_author() -> str:
    """Returns the name of the user who runs the program."""
    try:
        return getpass.getuser()
    except (OSError, KeyError, ImportError):
        return "unknown"


author = click.option(
    "--author",
    envvar="WAXWINGLEVER_AUTHOR",
    default=default_author,
    help="Name for the history; the user name by default.",
)
message = click.option(
    "--message", "-m", default="", help="Reason for the history."
)
