"""Cuts and delays of links between daemons, for failure tests.

Only active when the settings allow fault injection. Each daemon cuts its own
calls; since all links are request and reply, a cut on both sides is complete.
"""

import threading
import time
from collections.abc import Callable
from collections.abc import Mapping

import attrs

from waxwinglever_front import exchange
from waxwinglever_model import exceptions
from waxwinglever_peers import links
from waxwinglever_peers import messages


@attrs.define(eq=False)
class Cuts:
    """Addresses to which calls fail or are delayed; `lock` guards them.

    Attributes:
      requests: Calls to these host:port addresses are not sent.
      replies: Calls to these are sent, and their answers are dropped.
      delays_ms: One-way latency to emulate, by host:port address.
    """

    requests: frozenset[str] = frozenset()
    replies: frozenset[str] = frozenset()
    delays_ms: Mapping[str, float] = attrs.Factory(dict)
    lock: threading.Lock = attrs.Factory(threading.Lock)


def delay(cuts: Cuts, address: str) -> None:
    """Waits for the emulated one-way latency to an address."""
    delay_ms = cuts.delays_ms.get(address, 0.0)
    if delay_ms > 0:
        time.sleep(delay_ms / 1000)


def cut_calls(calls: links.PeerCalls, cuts: Cuts) -> links.PeerCalls:
    """Returns calls that fail for the cut addresses."""

    def call(
        address: str, message: messages.Message, timeout_s: float
    ) -> messages.Message:
        if address in cuts.requests:
            raise links.unavailable(address, "cut by fault injection")
        delay(cuts, address)
        reply = calls.call(address, message, timeout_s)
        delay(cuts, address)
        if address in cuts.replies:
            raise links.unavailable(address, "reply cut by fault injection")
        return reply

    return links.PeerCalls(call, calls.close)


def cut_forward(
    forward: Callable[[str, exchange.Request], exchange.Reply], cuts: Cuts
) -> Callable[[str, exchange.Request], exchange.Reply]:
    """Returns a function for forwarded requests that fails for the cut ones."""

    def cut(address: str, request: exchange.Request) -> exchange.Reply:
        if address in cuts.requests:
            raise exceptions.BackendUnavailable(
                f"link to {address} is cut by fault injection",
                "send the request again",
                retry_after_ms=500,
            )
        delay(cuts, address)
        reply = forward(address, request)
        delay(cuts, address)
        if address in cuts.replies:
            raise exceptions.OutcomeUnknown(
                f"reply of {address} is cut by fault injection",
                "check whether the request took effect",
            )
        return reply

    return cut
