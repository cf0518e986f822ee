"""Injects faults into the links between daemons, for failure tests.

Faults can be set only when the settings allow fault injection. Each daemon
affects only the calls that it makes. A link carries nothing but calls and their
replies, so faults on both sides cut it completely.
"""

import threading
import time
from collections.abc import Callable
from collections.abc import Mapping

import attrs

from waxwinglever_front import http_messages
from waxwinglever_model import exceptions
from waxwinglever_peers import links
from waxwinglever_peers import messages


@attrs.define(eq=False)
class LinkFaults:
    """The injected faults, by host:port address of the other daemon.

    Attributes:
      requests: Addresses to which calls fail without being sent.
      replies: Addresses to which calls are sent but the replies are dropped.
      delays_ms: One-way latency to emulate, by address.
      lock: Held while the faults are changed.
    """

    requests: frozenset[str] = frozenset()
    replies: frozenset[str] = frozenset()
    delays_ms: Mapping[str, float] = attrs.Factory(dict)
    lock: threading.Lock = attrs.Factory(threading.Lock)


def emulate_latency(link_faults: LinkFaults, address: str) -> None:
    """Sleeps for the emulated one-way latency to an address."""
    delay_ms = link_faults.delays_ms.get(address, 0.0)
    if delay_ms > 0:
        time.sleep(delay_ms / 1000)


def wrap_client(
    client: links.PeerClient, link_faults: LinkFaults
) -> links.PeerClient:
    """Returns `client` with the current faults applied to each call.

    A cut request or reply raises PeerUnavailable.
    """

    def call(
        address: str, message: messages.Message, timeout_s: float
    ) -> messages.Message:
        if address in link_faults.requests:
            raise links.unavailable_error(address, "cut by fault injection")
        emulate_latency(link_faults, address)
        reply = client.call(address, message, timeout_s)
        emulate_latency(link_faults, address)
        if address in link_faults.replies:
            raise links.unavailable_error(
                address, "reply cut by fault injection"
            )
        return reply

    return links.PeerClient(call, client.close)


def wrap_forward(
    forward: Callable[[str, http_messages.Request], http_messages.Response],
    link_faults: LinkFaults,
) -> Callable[[str, http_messages.Request], http_messages.Response]:
    """Returns `forward` with the current faults applied to each request.

    A cut request raises BackendUnavailable, a cut response OutcomeUnknown.
    """

    def forward_with_faults(
        address: str, request: http_messages.Request
    ) -> http_messages.Response:
        if address in link_faults.requests:
            raise exceptions.BackendUnavailable(
                f"link to {address} is cut by fault injection",
                "send the request again",
                retry_after_ms=500,
            )
        emulate_latency(link_faults, address)
        response = forward(address, request)
        emulate_latency(link_faults, address)
        if address in link_faults.replies:
            raise exceptions.OutcomeUnknown(
                f"reply of {address} is cut by fault injection",
                "check whether the request took effect",
            )
        return response

    return forward_with_faults
