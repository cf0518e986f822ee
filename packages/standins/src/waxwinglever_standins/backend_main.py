"""Command-line program of the stand-in backend server."""

import random
import threading

import click

from waxwinglever_model import exceptions
from waxwinglever_standins import backend as backend_state
from waxwinglever_standins import backend_http
from waxwinglever_standins import serving

# Threads for cancellations and health checks while all connections are busy.
CONTROL_THREADS = 4


@click.command()
@click.option("--listen", required=True, help="host:port to listen on.")
@click.option("--daemon", help="host:port of the daemon to announce to.")
@click.option("--tenant", required=True, help="Tenant to announce.")
@click.option("--service", required=True, help="Service to announce.")
@click.option(
    "--slots",
    default=10,
    show_default=True,
    help="Requests that run at once; further ones are shed.",
)
@click.option(
    "--connections",
    default=100,
    show_default=True,
    help="Connections served at once.",
)
@click.option(
    "--service-ms",
    default=5.0,
    show_default=True,
    help="Mean service time of a request, in milliseconds.",
)
@click.option(
    "--checks-fences/--no-checks-fences",
    default=True,
    help="Whether to refuse stale or expired fencing tokens.",
)
@click.option(
    "--cold-start-s",
    default=0.0,
    show_default=True,
    help="Duration of the cold start, in seconds.",
)
@click.option(
    "--cold-slots",
    default=2,
    show_default=True,
    help="Requests that may run at once during the cold start.",
)
@click.option(
    "--cold-crash/--no-cold-crash",
    default=False,
    help="Whether requests beyond --cold-slots crash a cold server.",
)
@click.option(
    "--seed",
    default=1,
    show_default=True,
    help="Random seed of the service times.",
)
def main(
    listen: str,
    daemon: str | None,
    tenant: str,
    service: str,
    slots: int,
    connections: int,
    service_ms: float,
    checks_fences: bool,
    cold_start_s: float,
    cold_slots: int,
    cold_crash: bool,
    seed: int,
) -> None:
    """Runs a stand-in backend server until SIGTERM or SIGINT."""
    try:
        settings = backend_state.Settings(
            slots,
            service_ms / 1000,
            checks_fences,
            cold_start_s,
            cold_slots,
            cold_crash,
        )
        backend = backend_state.Backend(settings, rng=random.Random(seed))
        server = serving.serve(
            listen,
            backend_http.handler(backend),
            connections + CONTROL_THREADS,
        )
    except (exceptions.InvalidInput, ValueError) as error:
        raise click.ClickException(str(error)) from error

    def make_announcement() -> dict:
        return {
            "tenant": tenant,
            "service": service,
            "address": listen,
            "boot_id": backend.boot_id,
            "slots": slots,
            "connections": connections,
            "checks_fences": checks_fences,
            "state": backend_state.get_state(backend),
        }

    stopped = threading.Event()
    if daemon:
        threading.Thread(
            target=backend_http.announce,
            args=(daemon, make_announcement, stopped),
            name="announce",
            daemon=True,
        ).start()
    serving.wait_for_signal()
    stopped.set()
    backend_state.shut_down(backend)
    server.close()


if __name__ == "__main__":
    main()  # pylint: disable=no-value-for-parameter  # click passes them
