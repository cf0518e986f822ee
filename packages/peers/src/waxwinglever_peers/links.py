"""Links between daemons: request and reply over pynng."""

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
class Traffic:
    """Bytes of messages between daemons, without TCP's own.

    Counted without a lock: a lost count does not matter.
    """

    sent_bytes: int = 0
    received_bytes: int = 0


@attrs.frozen
class PeerCalls:
    """The client side of the links to all other daemons.

    Attributes:
      call: Sends a message to host:port and returns the answer within a
        number of seconds; raises PeerUnavailable.
      close: Closes all links.
    """

    call: Callable[[str, messages.Message, float], messages.Message]
    close: Callable[[], None]


@attrs.define(eq=False)
class Link:
    """One open link; its lock lets one request at a time use it."""

    socket: pynng.Req0
    lock: threading.Lock = attrs.Factory(threading.Lock)


def pynng_calls(traffic: Traffic | None = None) -> PeerCalls:
    """Returns calls over pynng that keep one link to each address open."""
    count = traffic if traffic is not None else Traffic()
    links: dict[str, Link] = {}
    lock = threading.Lock()

    def link_to(address: str) -> Link:
        with lock:
            link = links.get(address)
            if link is None:
                socket = pynng.Req0(
                    resend_time=NEVER_RESEND,
                    reconnect_time_min=RECONNECT_MIN_MS,
                    reconnect_time_max=RECONNECT_MAX_MS,
                    recv_max_size=limits.MAX_MESSAGE_BYTES,
                )
                socket.dial(f"tcp://{address}", block=False)
                link = links[address] = Link(socket)
            return link

    def call(
        address: str, message: messages.Message, timeout_s: float
    ) -> messages.Message:
        link = link_to(address)
        timeout_ms = max(1, int(timeout_s * 1000))
        if not link.lock.acquire(timeout=timeout_s):
            raise unavailable(address, "the link is busy")
        try:
            link.socket.send_timeout = timeout_ms
            link.socket.recv_timeout = timeout_ms
            data = codec.encode(message)
            link.socket.send(data)
            count.sent_bytes += len(data)
            data = receive(link.socket)
            count.received_bytes += len(data)
            return codec.decode(data)
        except (pynng.NNGException, exceptions.InvalidInput) as error:
            raise unavailable(address, str(error)) from error
        finally:
            link.lock.release()

    def close() -> None:
        with lock:
            for link in links.values():
                link.socket.close()
            links.clear()

    return PeerCalls(call, close)


def receive(socket: pynng.Socket) -> bytes:
    """Returns the next message; recv() raises RuntimeError for an empty one."""
    return socket.recv_msg().bytes


def unavailable(address: str, why: str) -> exceptions.PeerUnavailable:
    """Returns the error for a daemon that did not answer."""
    return exceptions.PeerUnavailable(
        f"daemon at {address} did not answer: {why}",
        "check that it runs and that the network between the VMs is up",
    )


@attrs.define(eq=False)
class PeerServer:
    """The listening side of the links; one thread answers all messages.

    A handler must return within milliseconds: a slow one delays heartbeats.
    """

    socket: pynng.Rep0
    thread: threading.Thread | None = None

    def close(self) -> None:
        self.socket.close()
        if self.thread is not None:
            self.thread.join()


def serve(
    address: str,
    handle: Callable[[messages.Message], messages.Message],
    on_error: Callable[[exceptions.WaxwingleverError], None],
    traffic: Traffic | None = None,
) -> PeerServer:
    """Listens on host:port and answers each message with `handle`.

    Args:
      address: host:port to listen on. Only one process can hold it, which
        proves that an earlier incarnation of this node has terminated.
      handle: Returns the answer to a message; may raise WaxwingleverError.
      on_error: Told of each message that got an ErrorReply.
      traffic: Counts the bytes.

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

    count = traffic if traffic is not None else Traffic()

    def answer(data: bytes) -> bytes:
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
                count.received_bytes += len(data)
                data = answer(data)
                count.sent_bytes += len(data)
                socket.send(data)
            except pynng.Closed:
                return
            except pynng.NNGException:
                # The requester went away before its answer could be sent.
                continue

    server = PeerServer(socket)
    server.thread = threading.Thread(target=run, name="peers", daemon=True)
    server.thread.start()
    return server
