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
    changed: threading.Condition = attrs.field(factory=threading.Condition)


def connect(connections: ProcessConnections) -> int:
    """Returns the number of the process that calls reach.

    It rises when no earlier connection is left. One thread at a time may call
    this.

    Raises:
      ConnectFailed: None is left, and none could be opened.
    """
    with connections.changed:
        if not count_confirmed(connections):
            for pooled in connections.unconfirmed:
                pooled.connection.close()
            connections.unconfirmed.clear()
            pooled = open_connection(connections)
            connections.process += 1
            connection_pool.return_idle(
                connections.client, connections.address, pooled
            )
        return connections.process


def add_connection(connections: ProcessConnections, calls: int) -> None:
    """Opens one more connection if there are too few.

    It is used once it is known to reach the same process. Called between calls,
    as a busy server may take long to accept it.

    Args:
      connections: The connections.
      calls: How many calls there may be at the same time.

    Raises:
      ConnectFailed: It could not be opened.
    """
    wanted = max(MIN_CONNECTIONS, min(calls, connections.max_connections))
    with connections.changed:
        count = count_confirmed(connections) + len(connections.unconfirmed)
    if count < wanted:
        pooled = open_connection(connections)
        with connections.changed:
            connections.unconfirmed.append(pooled)


def count_confirmed(connections: ProcessConnections) -> int:
    """Returns how many connections to the process are open; needs the lock."""
    return connections.in_use + connection_pool.count_idle(
        connections.client, connections.address
    )


def send(
    connections: ProcessConnections,
    process: int,
    method: str,
    target: str,
    headers: Mapping[str, str],
    make_body: Callable[[float], messages.Body],
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
      make_body: Returns the whole body; called with how long the call waited
        for a connection, in seconds.
      timeout_s: Time limit.
      check: See http_client.send_request.

    Raises:
      ProcessUnreachable: No connection to the process is left, or none became
        free in time; nothing was sent.
      ResponseLost: The response is missing, incomplete or not the right one.
    """
    deadline_s = clock.boottime_s() + timeout_s
    pooled, opened_before, waited_s = take(connections, process, deadline_s)
    body = make_body(waited_s)
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
) -> tuple[connection_pool.PooledConnection, tuple, float]:
    """Takes a connection to a process, and waits for one if all are in use.

    Returns:
      The connection, the unconfirmed ones that were opened before, and the
      seconds of the wait.

    Raises:
      ProcessUnreachable: None is left, or none became free in time.
    """
    waited_s = 0.0
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
                return pooled, opened_before, waited_s
            began_s = clock.boottime_s()
            if not connections.in_use or began_s >= deadline_s:
                break
            connections.changed.wait(deadline_s - began_s)
            waited_s += clock.boottime_s() - began_s
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
