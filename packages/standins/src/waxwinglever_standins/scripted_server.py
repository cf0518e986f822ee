"""A server that answers with given bytes and ends its connections as told."""

import re
import socket
import struct
import threading
import time

import attrs

KEEP_OPEN = "keep-open"
CLOSE = "close"
RESET = "reset"
# The end of the connection arrives first, the reset behind it.
CLOSE_THEN_RESET = "close-then-reset"
ENDINGS = (KEEP_OPEN, CLOSE, RESET, CLOSE_THEN_RESET)

CONTENT_LENGTH = re.compile(rb"\r\ncontent-length: *([0-9]+)", re.IGNORECASE)
LINGER_OFF = struct.pack("ii", 1, 0)


@attrs.define(eq=False)
class ScriptedServer:
    """A server with the same answer to all requests.

    Attributes:
      listener: The listening socket.
      address: Its host:port.
      data: Bytes of the answer.
      ending: What becomes of the connection behind them, one of ENDINGS.
      reset_delay_s: Time between the end of a connection and its reset.
      reads_bodies: Whether it reads a request to its end before it answers.
      requests: The requests that arrived, as they were sent.
      connections: How many connections were accepted.
    """

    listener: socket.socket
    address: str
    data: bytes = b""
    ending: str = CLOSE
    reset_delay_s: float = 0.0
    reads_bodies: bool = True
    requests: list[bytes] = attrs.field(factory=list)
    connections: int = 0


def start(data: bytes = b"", ending: str = CLOSE) -> ScriptedServer:
    """Starts a server on a free port of the loopback interface."""
    listener = socket.create_server(("127.0.0.1", 0), backlog=128)
    server = ScriptedServer(
        listener, f"127.0.0.1:{listener.getsockname()[1]}", data, ending
    )
    threading.Thread(target=run_accept, args=(server,), daemon=True).start()
    return server


def stop(server: ScriptedServer) -> None:
    """Refuses further connections."""
    # A thread that is blocked in accept keeps the listener open.
    server.listener.shutdown(socket.SHUT_RDWR)
    server.listener.close()


def run_accept(server: ScriptedServer) -> None:
    """Accepts connections until the listener is closed; runs in a thread."""
    while True:
        try:
            sock, _ = server.listener.accept()
        except OSError:
            return
        server.connections += 1
        threading.Thread(
            target=run_connection, args=(server, sock), daemon=True
        ).start()


def run_connection(server: ScriptedServer, sock: socket.socket) -> None:
    """Answers the requests of one connection; runs in a thread."""
    with sock:
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            while request := read_request(sock, server.reads_bodies):
                server.requests.append(request)
                sock.sendall(server.data)
                if server.ending != KEEP_OPEN:
                    end(sock, server.ending, server.reset_delay_s)
                    return
        except OSError:
            # The client has closed the connection.
            return


def read_request(sock: socket.socket, reads_body: bool = True) -> bytes:
    """Returns a request whose body has a length; empty at the end.

    Args:
      sock: The connection.
      reads_body: Whether to read the body to its end.
    """
    data = b""
    while b"\r\n\r\n" not in data:
        received = sock.recv(65_536)
        if not received:
            return b""
        data += received
    head, _, body = data.partition(b"\r\n\r\n")
    length = CONTENT_LENGTH.search(head)
    missing = int(length[1]) - len(body) if length and reads_body else 0
    while missing > 0:
        received = sock.recv(min(missing, 65_536))
        if not received:
            return b""
        missing -= len(received)
        data += received
    return data


def end(sock: socket.socket, ending: str, reset_delay_s: float = 0.0) -> None:
    """Ends a connection: CLOSE, RESET or CLOSE_THEN_RESET."""
    if ending != CLOSE:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_OFF)
    if ending == CLOSE_THEN_RESET:
        sock.shutdown(socket.SHUT_WR)
        # Each call between the two lets other threads run first.
        if reset_delay_s:
            time.sleep(reset_delay_s)
    sock.close()
