"""Pools of connections to HTTP servers, by address."""

import http.client
import select
import socket
import threading
from collections.abc import Callable

import attrs
import urllib3

from waxwinglever_framing import client as framing_client
from waxwinglever_model import clock
from waxwinglever_model import exceptions

# A connection that was idle for longer is not reused. The server may close it
# at any time, and then it is unknown whether a request sent on it has run.
MAX_IDLE_S = 4.0
MAX_IDLE_PER_ADDRESS = 64
# A connection is closed when sent data stays unacknowledged for this time; a VM
# that lost power sends no reset.
USER_TIMEOUT_MS = 2_000
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# Bounds what a server has sent and nobody has read, up to 6 MB otherwise. It is
# enough for 14 Mbit/s at a round trip of 70 ms.
UNREAD_BYTES = 131_072
# A response of unknown size that has begun may go on past its deadline while it
# arrives at this rate at least, 2% of a link of 5 Mbit/s. A slower one ends, as
# bytes that trickle in would hold the thread.
MIN_BYTES_PER_S = 12_500

SOCKET_OPTIONS = (
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
    (socket.SOL_SOCKET, socket.SO_RCVBUF, UNREAD_BYTES),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
)


class ConnectFailed(exceptions.WaxwingleverError):
    """No connection could be opened; nothing was sent.

    Attributes:
      refused: Whether the address refused it, as nobody listens there.
    """

    kind = "not-connected"
    refused = False


class ServerGone(ConnectionError):
    """The server has ended together with its response."""


class ResponseTooLong(OSError):
    """The response has more bytes than the caller takes."""


class BoundedSocket(socket.socket):
    """A socket whose reads for one response are bounded in time and bytes.

    A time-out for each read alone never ends a response whose bytes trickle in.

    Attributes:
      deadline_s: When reads fail with TimeoutError, on the boot clock.
      bytes_left: Bytes that may still be read before reads fail with
        ResponseTooLong.
      max_bytes: How many bytes the response may have.
      stall_s: How long a response that has begun may pause; extends the
        deadline. None if the deadline is fixed.
      begun_s: When the response began, or None.
    """

    deadline_s: float = float("inf")
    bytes_left: int = 0
    max_bytes: int = 0
    stall_s: float | None = None
    begun_s: float | None = None

    def recv_into(self, *args) -> int:
        """Reads some bytes; see socket.socket.recv_into."""
        left_s = self.deadline_s - clock.boottime_s()
        if left_s <= 0:
            raise TimeoutError("the deadline of the response has passed")
        self.settimeout(left_s)
        count = super().recv_into(*args)
        self.bytes_left -= count
        if self.bytes_left < 0:
            raise ResponseTooLong("the response exceeds its limit")
        if self.stall_s is not None:
            self.extend_deadline(self.stall_s)
        return count

    def extend_deadline(self, stall_s: float) -> None:
        """Extends the deadline for a response that has made progress."""
        now_s = clock.boottime_s()
        if self.begun_s is None:
            self.begun_s = now_s
        received = self.max_bytes - self.bytes_left
        latest_s = self.begun_s + stall_s + received / MIN_BYTES_PER_S
        self.deadline_s = max(self.deadline_s, min(now_s + stall_s, latest_s))


@attrs.define(eq=False)
class PooledConnection:
    """A connection that is used for one request after the other.

    Attributes:
      connection: The connection.
      idle_since_s: When it became idle.
      was_used: Whether a request was sent on it.
      request_ids: Ids of the requests that were sent on it, and when each of
        them can't be sent again, as its deadline has passed.
      opened: Position among the connections of process_connections.
      process: Number of the process that it reaches there.
    """

    connection: framing_client.Connection
    idle_since_s: float = float("-inf")
    was_used: bool = False
    request_ids: dict[str, float] = attrs.field(factory=dict)
    opened: int = 0
    process: int = 0


@attrs.define(eq=False)
class Client:
    """Pool of HTTP connections, by address.

    Attributes:
      connect_timeout_s: Maximum time to open a connection.
      max_idle_s: Maximum time that an idle connection is kept.
      idle_connections: Idle connections by address, the most recently used
        last.
      sweep_due_s: When idle connections to all addresses are looked at next.
      opened: Number of connections opened so far.
      count_response: Called with the framing of each complete response.
      count_incomplete: Called with the reason for each incomplete response.
    """

    connect_timeout_s: float
    max_idle_s: float = MAX_IDLE_S
    idle_connections: dict[str, list[PooledConnection]] = attrs.field(
        factory=dict
    )
    sweep_due_s: float = float("-inf")
    opened: int = 0
    count_response: Callable[[str], None] = lambda framing: None
    count_incomplete: Callable[[str], None] = lambda reason: None
    lock: threading.Lock = attrs.Factory(threading.Lock)


def open_connection(
    client: Client, address: str, timeout_s: float
) -> framing_client.Connection:
    """Opens a connection.

    Raises:
      ConnectFailed: The connection could not be opened in time.
    """
    # Requests that get no response return no connection.
    close_stale(client, clock.boottime_s())
    host, _, port = address.rpartition(":")
    try:
        conn = framing_client.Connection(
            host, int(port), timeout=timeout_s, socket_options=SOCKET_OPTIONS
        )
    except (ValueError, http.client.InvalidURL) as error:
        raise ConnectFailed(
            f"the address {address!r} is invalid",
            "correct the settings or the record that names it",
        ) from error
    try:
        conn.connect()
        conn.sock = BoundedSocket(fileno=conn.sock.detach())
    except (OSError, urllib3.exceptions.HTTPError) as error:
        conn.close()
        failure = ConnectFailed(
            f"no connection to {address}: {type(error).__name__}",
            "check that it runs and is reachable",
        )
        failure.refused = isinstance(error.__cause__, ConnectionRefusedError)
        raise failure from error
    client.opened += 1
    return conn


def check_accepts_connections(
    client: Client, address: str, deadline_s: float
) -> None:
    """Raises ConnectionError if nobody listens at an address.

    An idle connection that is still open shows that the server runs. Without
    one a connection is opened, which the next request uses.
    """
    # Whoever takes a connection out of the pool may close it.
    with client.lock:
        for item in client.idle_connections.get(address, ()):
            if not is_readable(item.connection.sock):
                return
    timeout_s = min(client.connect_timeout_s, remaining_s(deadline_s))
    try:
        conn = open_connection(client, address, timeout_s)
    except ConnectFailed as error:
        if error.refused:
            raise ServerGone("the server does not listen any more") from error
        # The network may be at fault, and the response has ended.
        return
    return_idle(client, address, PooledConnection(conn))


def remaining_s(deadline_s: float) -> float:
    """Returns the time until a deadline, at least 1 ms, as a socket timeout."""
    return max(0.001, deadline_s - clock.boottime_s())


def take_idle(
    client: Client,
    address: str,
    request_id: str,
    is_preferred: Callable[[PooledConnection], bool] = lambda _: True,
) -> PooledConnection | None:
    """Returns an idle connection that is still open, or None.

    Args:
      client: The connection pool.
      address: host:port.
      request_id: If not empty, the connection has not carried this id.
      is_preferred: Whether to take a connection before others.
    """
    while True:
        with client.lock:
            idle = client.idle_connections.get(address, [])
            usable = [
                i
                for i in reversed(range(len(idle)))
                if request_id not in idle[i].request_ids
            ]
            if not usable:
                return None
            preferred = (i for i in usable if is_preferred(idle[i]))
            found = idle.pop(next(preferred, usable[0]))
        if is_usable(client, found):
            return found
        found.connection.close()


def is_usable(client: Client, pooled: PooledConnection) -> bool:
    """Returns whether an idle connection can carry a request.

    A readable one was closed by the server, or has data that belongs to no
    request.
    """
    age_s = clock.boottime_s() - pooled.idle_since_s
    return age_s < client.max_idle_s and not is_readable(pooled.connection.sock)


def return_idle(client: Client, address: str, pooled: PooledConnection) -> None:
    """Returns a connection to the pool and closes those idle for too long."""
    replaced = None
    now_s = clock.boottime_s()
    pooled.idle_since_s = now_s
    forget_ended_requests(pooled)
    with client.lock:
        idle = client.idle_connections.setdefault(address, [])
        if len(idle) >= MAX_IDLE_PER_ADDRESS:
            replaced = idle.pop(0)
        idle.append(pooled)
    if replaced is not None:
        replaced.connection.close()
    close_stale(client, now_s)


def close_stale(client: Client, now_s: float) -> None:
    """Closes the connections to all addresses that were idle for too long.

    Looks at them once in `max_idle_s`, so that a connection is closed after
    twice this time while the pool is in use. Addresses that are not used any
    more would keep theirs otherwise.
    """
    if now_s < client.sweep_due_s:
        return
    stale = []
    with client.lock:
        client.sweep_due_s = now_s + client.max_idle_s
        for address, idle in list(client.idle_connections.items()):
            while idle and now_s - idle[0].idle_since_s > client.max_idle_s:
                stale.append(idle.pop(0))
            if not idle:
                del client.idle_connections[address]
    for item in stale:
        item.connection.close()


def forget_ended_requests(pooled: PooledConnection) -> None:
    """Forgets the oldest ids of a connection, as far as they have ended."""
    request_ids = pooled.request_ids
    while request_ids:
        oldest = next(iter(request_ids))
        if request_ids[oldest] > pooled.idle_since_s:
            return
        del request_ids[oldest]


def close_idle(client: Client, address: str) -> None:
    """Closes the idle connections to an address."""
    with client.lock:
        idle = client.idle_connections.pop(address, [])
    for item in idle:
        item.connection.close()


def is_readable(sock: socket.socket | None) -> bool:
    """Returns whether a read would not block; true without a socket."""
    if sock is None:
        return True
    poller = select.poll()
    poller.register(sock.fileno(), select.POLLIN)
    return bool(poller.poll(0))
