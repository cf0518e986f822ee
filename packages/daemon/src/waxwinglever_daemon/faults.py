"""Cuts of links between daemons, for failure tests.

Only active when the settings allow fault injection. Each daemon cuts its own
calls; since all links are request and reply, a cut on both sides is complete.
"""

import threading
from collections.abc import Callable

import attrs

from waxwinglever_front import exchange
from waxwinglever_model import exceptions
from waxwinglever_peers import links
from waxwinglever_peers import messages


@attrs.define(eq=False)
class Cuts:
    """Addresses to which calls fail; `lock` guards them.

    Attributes:
      requests: Calls to these host:port addresses are not sent.
      replies: Calls to these are sent, and their answers are dropped.
    """

    requests: frozenset[str] = frozenset()
    replies: frozenset[str] = frozenset()
    lock: threading.Lock = attrs.Factory(threading.Lock)


def cut_calls(calls: links.PeerCalls, cuts: Cuts) -> links.PeerCalls:
    """Returns calls that fail for the cut addresses."""

    def call(
        address: str, message: messages.Message, timeout_s: float
    ) -> messages.Message:
        if address in cuts.requests:
            raise links.unavailable(address, "cut by fault injection")
        reply = calls.call(address, message, timeout_s)
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
        reply = forward(address, request)
        if address in cuts.replies:
            raise exceptions.OutcomeUnknown(
                f"reply of {address} is cut by fault injection",
                "check whether the request took effect",
            )
        return reply

    return cut
