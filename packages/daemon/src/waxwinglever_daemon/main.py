"""Command line, HTTP server and signals of the program `waxwingleverd`."""

import logging
import os
import queue
import signal
import socket
import sys
import threading

import cherrypy
import click

from waxwinglever_daemon import assembly
from waxwinglever_daemon import fault_pages
from waxwinglever_daemon import http_server
from waxwinglever_daemon import settings as settings_module
from waxwinglever_front import application
from waxwinglever_front import pages
from waxwinglever_model import exceptions
from waxwinglever_model import limits
from waxwinglever_telemetry import logs

EXIT_BAD_SETTINGS = 2
EXIT_FORCED = 3
# Idle connections, such as those of other daemons, are closed after this time.
IDLE_TIMEOUT_S = 60
# How long the HTTP server lets open connections finish after the drain.
SHUTDOWN_TIMEOUT_S = 5


@click.command()
@click.option(
    "--settings",
    "settings_path",
    required=True,
    type=click.Path(dir_okay=False),
    help="JSON file with the daemon's settings.",
)
@click.option("--check", is_flag=True, help="Check the settings and exit.")
def main(settings_path: str, check: bool) -> None:
    """Runs the daemon beside one backend server.

    SIGTERM or SIGINT drains: the daemon hands its key ranges over, finishes the
    requests in flight and exits with code 0. A second signal stops it at once
    with exit code 3. Exit code 2 means that the settings are invalid.
    """
    try:
        settings = settings_module.load(settings_path)
    except exceptions.InvalidInput as error:
        click.echo(f"waxwingleverd: {error}", err=True)
        sys.exit(EXIT_BAD_SETTINGS)
    if check:
        click.echo(f"settings of node {settings.node} are valid")
        return
    logs.configure(sys.stdout, settings.node)
    try:
        check_http_address(settings.http_address)
        daemon = assembly.assemble(settings)
    except exceptions.InvalidInput as error:
        click.echo(f"waxwingleverd: {error}", err=True)
        sys.exit(EXIT_BAD_SETTINGS)
    code = run(daemon)
    if code == EXIT_FORCED:
        # sys.exit would wait for the threads that serve requests.
        sys.stdout.flush()
        os._exit(code)
    sys.exit(code)


def check_http_address(address: str) -> None:
    """Checks that the HTTP address can be bound.

    Without this check, CherryPy would end the process with a traceback.

    Raises:
      InvalidInput: The address is in use or does not belong to this VM.
    """
    host, _, port = address.rpartition(":")
    is_ipv6 = host.startswith("[")
    family = socket.AF_INET6 if is_ipv6 else socket.AF_INET
    with socket.socket(family, socket.SOCK_STREAM) as probe:
        # CherryPy's server sets the same option, so that closing connections
        # of an earlier daemon don't block the address.
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((host.strip("[]"), int(port)))
        except OSError as error:
            raise exceptions.InvalidInput(
                f"http_address {address} can't be bound: {error}",
                "stop the process that uses it, or correct the settings",
            ) from error


def run(daemon: assembly.Daemon) -> int:
    """Serves requests until SIGTERM or SIGINT, then drains.

    Returns:
      0 after the drain, or EXIT_FORCED after a second signal.
    """
    # A handler may interrupt the code that waits for it at any instruction.
    # SimpleQueue.put is reentrant; threading.Event.set would wait for a lock
    # that the interrupted code holds.
    signals = queue.SimpleQueue()

    def on_signal(number: int, _: object) -> None:
        signals.put(number)

    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, on_signal)
    start_http(daemon)
    daemon.context.log("daemon-started", zone=daemon.settings.zone)
    # Not engine.block(), which polls.
    signals.get()
    drained = drain_unless_forced(daemon, signals)
    if not drained and not signals.empty():
        daemon.context.log("daemon-stopped", reason="second signal")
        return EXIT_FORCED
    cherrypy.engine.exit()
    assembly.close(daemon)
    daemon.context.log("daemon-stopped", reason="drained", left_cell=drained)
    return 0


def drain_unless_forced(
    daemon: assembly.Daemon, signals: queue.SimpleQueue
) -> bool:
    """Drains in a separate thread until done or until another signal arrives.

    Returns:
      Whether the node left its cell in time; False also if forced.
    """
    result: list[bool] = []
    done = threading.Event()

    def run_drain() -> None:
        result.append(assembly.drain(daemon))
        done.set()

    thread = threading.Thread(target=run_drain, name="drain", daemon=True)
    thread.start()
    while not done.wait(0.1):
        if not signals.empty():
            return False
    return result[0]


def start_http(daemon: assembly.Daemon) -> None:
    """Starts the HTTP server with the operators' pages and the request path."""
    settings = daemon.settings
    host, _, port = settings.http_address.rpartition(":")
    logging.getLogger("cherrypy").setLevel(logging.WARNING)
    cherrypy.config.update(
        {
            "environment": "production",
            "engine.autoreload.on": False,
            "log.screen": False,
            "server.socket_host": host.strip("[]"),
            "server.socket_port": int(port),
            "server.thread_pool": settings.http_threads,
            "server.socket_queue_size": 128,
            "server.socket_timeout": IDLE_TIMEOUT_S,
            "server.shutdown_timeout": SHUTDOWN_TIMEOUT_S,
            "server.max_request_body_size": limits.MAX_BODY_BYTES,
            "server.max_request_header_size": limits.MAX_HEADER_BYTES,
            "tools.log_headers.on": False,
        }
    )
    root = pages.Pages(
        daemon.context,
        lambda announcement: assembly.handle_announcement(daemon, announcement),
    )
    cherrypy.tree.mount(root, "/")
    if settings.fault_injection:
        cherrypy.tree.mount(
            fault_pages.FaultPages(daemon.link_faults), "/faults"
        )
    cherrypy.tree.graft(application.make_application(daemon.context), "/s")
    cherrypy.server.instance = http_server.Server()
    cherrypy.engine.start()


if __name__ == "__main__":
    main()  # pylint: disable=no-value-for-parameter  # click passes them
