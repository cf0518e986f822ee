"""Connections that are known to reach the same process of a server.

An address names whichever process listens there, and a server that crashes may
listen again before anybody hears of it. A connection ends with the process at
its other end, so calls that are meant for one process go over connections that
reach it.

A first connection defines the process. One that was opened later reaches the
same process if that one has answered a call afterwards: only one process
listens at a time. When no connection is left, the next one counts as reaching
another process, also if the same one answers.
"""

import threading
from collections.abc import Callable, Mapping

import attrs

from waxwinglever_model import clock
from waxwinglever_relay import connection_pool
from waxwinglever_relay import http_client
from waxwinglever_relay import messages

# With two, the process is still known after one of them was reset.
MIN_CONNECTIONS = 2


class ProcessUnreachable(connection_pool.ConnectFailed):
    """No connection to the process is free; nothing was sent."""

    kind = "process-unreachable"


@attrs.define(eq=False)
class ProcessConnections:
    """Connections to the process that listens at an address.

    Attributes:
      client: Opens the connections and keeps the idle ones to the process.
      address: host:port.
      max_connections: How many there may be, besides those in `unconfirmed`.
      process: Number of the process; 0 before the first connection.
      in_use: Connections to the process that carry a call now.
      unconfirmed: Connections that were opened later and may reach another
        process.
      changed: Notified when a connection becomes idle or ends.
    """

    client: connection_pool.Client
    address: str
    max_connections: int
    process: int = 0
    in_use: int = 0
    unconfirmed: list[connection_pool.PooledConnection] = attrs.field(
        factory=list
    )
    changed: threading.Condition = attrs.Factory(threading.Condition)


def connect(connections: ProcessConnections, calls: int) -> int:
    """Returns the number of the process that calls reach.

    It rises when no earlier connection is left. One thread at a time may call
    this.

    Args:
      connections: The connections.
      calls: How many calls follow, to open connections for them.

    Raises:
      ConnectFailed: None is left, and none could be opened.
    """
    with connections.changed:
        count = connections.in_use + connection_pool.count_idle(
            connections.client, connections.address
        )
        if not count:
            close_unconfirmed(connections)
            pooled = open_connection(connections)
            connections.process += 1
            connection_pool.return_idle(
                connections.client, connections.address, pooled
            )
            count = 1
        wanted = max(MIN_CONNECTIONS, min(calls, connections.max_connections))
        missing = wanted - count - len(connections.unconfirmed)
    for _ in range(missing):
        try:
            pooled = open_connection(connections)
        except connection_pool.ConnectFailed:
            # The process has ended, or calls go over fewer connections.
            break
        with connections.changed:
            connections.unconfirmed.append(pooled)
    return connections.process


def send(
    connections: ProcessConnections,
    process: int,
    method: str,
    target: str,
    headers: Mapping[str, str],
    body: messages.Body,
    timeout_s: float,
    check: Callable[[http_client.Response], bool],
) -> http_client.Response:
    """Sends a request to one process and returns its complete response.

    Args:
      connections: The connections.
      process: Number of the process.
      method: HTTP method.
      target: Path and query.
      headers: All headers except Content-Length.
      body: The whole body.
      timeout_s: Time limit.
      check: See http_client.send_request.

    Raises:
      ProcessUnreachable: No connection to the process is left, or none became
        free in time; nothing was sent.
      ResponseLost: The response is missing, incomplete or not the right one.
    """
    deadline_s = clock.boottime_s() + timeout_s
    pooled, opened_before = take(connections, process, deadline_s)
    is_answered = False
    try:
        response = http_client.send_on(
            connections.client,
            connections.address,
            pooled,
            method,
            target,
            headers,
            body,
            deadline_s,
            check=check,
        )
        is_answered = True
        return response
    finally:
        with connections.changed:
            connections.in_use -= 1
            if is_answered:
                confirm(connections, opened_before)
            connections.changed.notify_all()


def take(
    connections: ProcessConnections, process: int, deadline_s: float
) -> tuple[connection_pool.PooledConnection, tuple]:
    """Takes a connection to a process, and waits for one if all are in use.

    Returns:
      The connection, and the unconfirmed ones that were opened before.

    Raises:
      ProcessUnreachable: None is left, or none became free in time.
    """
    with connections.changed:
        while connections.process == process:
            # The connection is looked at after the unconfirmed ones, so that
            # an answer on it was sent after they were opened.
            opened_before = tuple(connections.unconfirmed)
            pooled = connection_pool.take_idle(
                connections.client, connections.address, "", oldest_first=True
            )
            if pooled is not None:
                connections.in_use += 1
                return pooled, opened_before
            left_s = deadline_s - clock.boottime_s()
            if not connections.in_use or left_s <= 0:
                break
            connections.changed.wait(left_s)
    raise ProcessUnreachable(
        f"no connection to process {process} at {connections.address} is free",
        "the call is repeated when another connection is open",
    )


def confirm(connections: ProcessConnections, opened_before: tuple) -> None:
    """Adds connections that reach the process; requires the lock."""
    for pooled in opened_before:
        if pooled in connections.unconfirmed:
            connections.unconfirmed.remove(pooled)
            connection_pool.return_idle(
                connections.client, connections.address, pooled
            )


def open_connection(
    connections: ProcessConnections,
) -> connection_pool.PooledConnection:
    """Opens a connection; raises ConnectFailed."""
    return connection_pool.PooledConnection(
        connection_pool.open_connection(
            connections.client,
            connections.address,
            connections.client.connect_timeout_s,
        )
    )


def close_unconfirmed(connections: ProcessConnections) -> None:
    """Closes the unconfirmed connections; requires the lock."""
    for pooled in connections.unconfirmed:
        pooled.connection.close()
    connections.unconfirmed.clear()
