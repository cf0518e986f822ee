"""Disconnects the clients that hold threads or memory and don't go on."""

import threading
from collections.abc import Sequence

from waxwinglever_hops import progress as progress_module
from waxwinglever_hops import server as servers
from waxwinglever_model import clock

INTERVAL_S = 0.25
# How long the memory counts as short after a body or response did not fit.
SHORTAGE_S = 2.0
# A process that was held up for longer forgets what it has watched: its
# clients may have gone on meanwhile.
MAX_GAP_S = 1.0


def run(
    watched: Sequence[servers.Server],
    stopping: threading.Event,
) -> None:
    """Watches the connections of some servers until `stopping` is set."""
    last_s = clock.boottime_s()
    while not stopping.wait(INTERVAL_S):
        now_s = clock.boottime_s()
        for server in watched:
            check(server, now_s, now_s - last_s > MAX_GAP_S)
        last_s = now_s


def check(server: servers.Server, now_s: float, forgets: bool = False) -> None:
    """Drops the connections of a server that must make room.

    Args:
      server: The server.
      now_s: The time, on the boot clock.
      forgets: Whether to start to watch its connections anew.
    """
    connections = {
        connection.progress: connection
        for connection in tuple(server.requests.active)
    }
    for progress in connections:
        if forgets:
            progress.watched_phase = ""
        progress_module.observe(progress, now_s)
    for progress, reason in progress_module.choose_drops(
        connections,
        server.requests.qsize,
        now_s - server.budget.short_s < SHORTAGE_S,
        server.header_timeout_s,
        now_s,
    ):
        # It may have gone on since it was observed.
        if progress.phase == progress.watched_phase:
            servers.drop(connections[progress], reason)
