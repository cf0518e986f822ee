"""Command-line program of the stand-in store."""

import click

from waxwinglever_model import exceptions
from waxwinglever_standins import serving
from waxwinglever_standins import store as store_state
from waxwinglever_standins import store_http

# Enough for about 150 waiting watches and concurrent short calls.
THREADS = 200


@click.command()
@click.option("--listen", required=True, help="host:port to listen on.")
@click.option(
    "--writes-per-s",
    default=500.0,
    show_default=True,
    help="Rate limit of writes; further ones get status 429.",
)
@click.option(
    "--reads-per-s",
    default=2000.0,
    show_default=True,
    help="Rate limit of reads; further ones get status 429.",
)
def main(listen: str, writes_per_s: float, reads_per_s: float) -> None:
    """Runs a stand-in of the platform's store until SIGTERM or SIGINT."""
    store = store_state.new_store(writes_per_s, reads_per_s)
    try:
        server = serving.serve(listen, store_http.handler(store), THREADS)
    except exceptions.InvalidInput as error:
        raise click.ClickException(str(error)) from error
    serving.wait_for_signal()
    store_state.close(store)
    server.close()


if __name__ == "__main__":
    main()  # pylint: disable=no-value-for-parameter  # click passes them
