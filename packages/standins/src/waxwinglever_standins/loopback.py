"""Loopback addresses that belong to one process, for tests with fixed ports.

Two test runs on one machine that listen on the same address fail.
"""

import functools
import os
import socket

# The networks below 127.100 belong to the product's bench and its soak.
FIRST_NETWORK = 100
NETWORK_COUNT = 150
SUBNET_COUNT = 250
# A process holds a prefix while it listens on this address of the prefix.
CLAIM_HOST = 254
CLAIM_PORT = 7000


@functools.cache
def own_prefix() -> str:
    """Returns the first three bytes of this process's loopback addresses."""
    prefix, listener = claim_prefix(os.getpid())
    # Kept open until the process ends.
    listener.detach()
    return prefix


def claim_prefix(number: int) -> tuple[str, socket.socket]:
    """Claims the first free prefix from a number on.

    Args:
      number: Where to start; processes that differ in it seldom meet.

    Returns:
      The prefix and the socket whose close gives it back.

    Raises:
      OSError: No prefix is free.
    """
    error = None
    for offset in range(SUBNET_COUNT):
        index = number + offset
        network = FIRST_NETWORK + index // SUBNET_COUNT % NETWORK_COUNT
        prefix = f"127.{network}.{index % SUBNET_COUNT}"
        listener = socket.socket()
        try:
            listener.bind((f"{prefix}.{CLAIM_HOST}", CLAIM_PORT))
            listener.listen(1)
            return prefix, listener
        except OSError as caught:
            listener.close()
            error = caught
    raise error


def own_host(number: int) -> str:
    """Returns one of this process's loopback addresses, 1 to 249."""
    return f"{own_prefix()}.{number}"
