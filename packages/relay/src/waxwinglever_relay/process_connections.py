"""Connections of which it is known whether they reach the same process.

An address names whichever process listens there, and a server that crashes may
listen again before anybody hears of it. A connection ends with the process at
its other end, so a call reaches the process that got an earlier one if it goes
over the same connection.

Each connection counts as reaching a process of its own until it is known
better: if an older one answers a call that was sent after it was opened, both
reach the same process, as only one listens at a time.
"""

import threading
from collections.abc import Callable, Mapping

import attrs

from waxwinglever_model import clock
from waxwinglever_relay import connection_pool
from waxwinglever_relay import http_client
from waxwinglever_relay import messages


@attrs.define(eq=False)
class ProcessConnections:
    """Connections to the processes that listen at an address in turn.

    Attributes:
      client: Opens the connections and keeps the idle ones.
      address: host:port.
      opened: How many were opened so far.
      connections: Those that are open.
      lock: Held while the fields above are read or changed.
    """

    client: connection_pool.Client
    address: str
    opened: int = 0
    connections: list[connection_pool.PooledConnection] = attrs.field(
        factory=list
    )
    lock: threading.Lock = attrs.field(factory=threading.Lock)


def is_connected(connections: ProcessConnections, process: int) -> bool:
    """Returns whether a process can still be reached, while no call is made."""
    with connections.lock:
        return any(
            item.process == process
            and not connection_pool.is_readable(item.connection.sock)
            for item in connections.connections
        )


def send(
    connections: ProcessConnections,
    process: int,
    method: str,
    target: str,
    headers: Mapping[str, str],
    make_body: Callable[[int], messages.Body],
    timeout_s: float,
    check: Callable[[http_client.Response], bool],
) -> http_client.Response:
    """Sends a request and returns its complete response.

    Args:
      connections: The connections.
      process: Number of the process that it should reach, if that is possible.
      method: HTTP method.
      target: Path and query.
      headers: All headers except Content-Length.
      make_body: Returns the whole body; called with the number of the process
        that it reaches.
      timeout_s: Time limit.
      check: See http_client.send_request.

    Raises:
      ConnectFailed: No connection could be opened; nothing was sent.
      ResponseLost: The response is missing, incomplete or not the right one.
    """
    deadline_s = clock.boottime_s() + timeout_s
    pooled, opened = take(connections, process, deadline_s)
    response = http_client.send_on(
        connections.client,
        connections.address,
        pooled,
        method,
        target,
        headers,
        make_body(pooled.process),
        deadline_s,
        check=check,
    )
    with connections.lock:
        for item in connections.connections:
            if pooled.opened < item.opened <= opened:
                item.process = pooled.process
    return response


def take(
    connections: ProcessConnections, process: int, deadline_s: float
) -> tuple[connection_pool.PooledConnection, int]:
    """Takes an idle connection, to a given process if possible, or opens one.

    Returns:
      The connection, and how many were opened before it was last looked at. An
      answer on it was sent after that.

    Raises:
      ConnectFailed: No connection could be opened.
    """
    client = connections.client
    while pooled := connection_pool.take_idle(
        client,
        connections.address,
        "",
        lambda item: item.process == process,
    ):
        with connections.lock:
            opened = connections.opened
        if not connection_pool.is_readable(pooled.connection.sock):
            return pooled, opened
        pooled.connection.close()
    pooled = connection_pool.PooledConnection(
        connection_pool.open_connection(
            client,
            connections.address,
            min(
                client.connect_timeout_s,
                connection_pool.remaining_s(deadline_s),
            ),
        )
    )
    with connections.lock:
        connections.opened += 1
        pooled.opened = pooled.process = connections.opened
        # A closed connection has no socket.
        connections.connections = [
            item
            for item in connections.connections
            if item.connection.sock is not None
        ] + [pooled]
        return pooled, connections.opened
