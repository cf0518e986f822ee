"""Connections between daemons: requests and replies over pynng."""

import threading
from collections.abc import Callable

import attrs
import pynng

from waxwinglever_model import exceptions
from waxwinglever_model import limits
from waxwinglever_peers import codec
from waxwinglever_peers import messages

RECONNECT_MIN_MS = 20
RECONNECT_MAX_MS = 200
NEVER_RESEND = -1


@attrs.define(eq=False)
class TrafficCounters:
    """Counters of message bytes between daemons, without TCP overhead.

    They are updated without a lock: a lost update does not matter.

    Attributes:
      sent_bytes: Bytes of the messages sent.
      received_bytes: Bytes of the messages received.
    """

    sent_bytes: int = 0
    received_bytes: int = 0


@attrs.frozen
class PeerClient:
    """Client for requests to other daemons.

    Attributes:
      call: Sends a message and returns the reply. The arguments are an address
        host:port, the message and a timeout in seconds. Raises
        PeerUnavailable.
      close: Closes all connections.
    """

    call: Callable[[str, messages.Message, float], messages.Message]
    close: Callable[[], None]


@attrs.define(eq=False)
class PeerConnection:
    """A connection to one daemon; `lock` admits one request at a time."""

    socket: pynng.Req0
    lock: threading.Lock = attrs.Factory(threading.Lock)


def new_peer_client(
    traffic_counters: TrafficCounters | None = None,
) -> PeerClient:
    """Returns a client that keeps one connection open to each address.

    Args:
      traffic_counters: Counters of the message bytes, or None.
    """
    counters = (
        traffic_counters if traffic_counters is not None else TrafficCounters()
    )
    connections: dict[str, PeerConnection] = {}
    lock = threading.Lock()

    def get_connection(address: str) -> PeerConnection:
        with lock:
            connection = connections.get(address)
            if connection is None:
                socket = pynng.Req0(
                    resend_time=NEVER_RESEND,
                    reconnect_time_min=RECONNECT_MIN_MS,
                    reconnect_time_max=RECONNECT_MAX_MS,
                    recv_max_size=limits.MAX_MESSAGE_BYTES,
                )
                socket.dial(f"tcp://{address}", block=False)
                connection = connections[address] = PeerConnection(socket)
            return connection

    def call(
        address: str, message: messages.Message, timeout_s: float
    ) -> messages.Message:
        connection = get_connection(address)
        timeout_ms = max(1, int(timeout_s * 1000))
        if not connection.lock.acquire(timeout=timeout_s):
            raise unavailable_error(address, "the connection is busy")
        try:
            connection.socket.send_timeout = timeout_ms
            connection.socket.recv_timeout = timeout_ms
            data = codec.encode(message)
            connection.socket.send(data)
            counters.sent_bytes += len(data)
            data = receive(connection.socket)
            counters.received_bytes += len(data)
            return codec.decode(data)
        except (pynng.NNGException, exceptions.InvalidInput) as error:
            raise unavailable_error(address, str(error)) from error
        finally:
            connection.lock.release()

    def close() -> None:
        with lock:
            for connection in connections.values():
                connection.socket.close()
            connections.clear()

    return PeerClient(call, close)


def receive(socket: pynng.Socket) -> bytes:
    """Returns the next message.

    It uses recv_msg() because recv() raises RuntimeError for an empty message.
    """
    return socket.recv_msg().bytes


def unavailable_error(address: str, reason: str) -> exceptions.PeerUnavailable:
    """Returns the error for a daemon that did not answer a request."""
    return exceptions.PeerUnavailable(
        f"daemon at {address} did not answer: {reason}",
        "check that the daemon runs and that the network between the VMs is up",
    )


@attrs.define(eq=False)
class PeerServer:
    """Server for requests of other daemons; one thread handles all of them.

    A handler must return within milliseconds, as a slow one delays heartbeats.

    Attributes:
      socket: The listening socket.
      thread: The thread that handles requests.
    """

    socket: pynng.Rep0
    thread: threading.Thread | None = None

    def close(self) -> None:
        """Closes the socket and waits until the thread has ended."""
        self.socket.close()
        if self.thread is not None:
            self.thread.join()


def serve(
    address: str,
    handle: Callable[[messages.Message], messages.Message],
    on_error: Callable[[exceptions.WaxwingleverError], None],
    traffic_counters: TrafficCounters | None = None,
) -> PeerServer:
    """Starts a server that replies to each message with the result of `handle`.

    Args:
      address: host:port to listen on. Only one process can bind it, which
        proves that an earlier incarnation of this node has terminated.
      handle: Returns the reply to a message; may raise WaxwingleverError.
      on_error: Called with the error of each message that got an ErrorReply.
      traffic_counters: Counters of the message bytes, or None.

    Raises:
      InvalidInput: The address is in use or can't be bound.
    """
    socket = pynng.Rep0(recv_max_size=limits.MAX_MESSAGE_BYTES)
    try:
        socket.listen(f"tcp://{address}")
    except pynng.NNGException as error:
        socket.close()
        raise exceptions.InvalidInput(
            f"peer_address {address} can't be bound: {error}",
            "stop the process that holds it, or correct the settings",
        ) from error

    counters = (
        traffic_counters if traffic_counters is not None else TrafficCounters()
    )

    def make_reply(data: bytes) -> bytes:
        try:
            return codec.encode(handle(codec.decode(data)))
        except exceptions.WaxwingleverError as error:
            on_error(error)
            reply = messages.ErrorReply(error.kind, error.message, error.remedy)
            return codec.encode(reply)

    def run() -> None:
        while True:
            try:
                data = receive(socket)
                counters.received_bytes += len(data)
                data = make_reply(data)
                counters.sent_bytes += len(data)
                socket.send(data)
            except pynng.Closed:
                return
            except pynng.NNGException:
                # The requester disconnected before its reply was sent.
                continue

    server = PeerServer(socket)
    server.thread = threading.Thread(target=run, name="peers", daemon=True)
    server.thread.start()
    return server
