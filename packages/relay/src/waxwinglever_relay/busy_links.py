"""What an ingress node does with a long body whose receivers have no room."""

import time

from waxwinglever_assignment import fleet_view
from waxwinglever_relay import backend_state
from waxwinglever_relay import delivery
from waxwinglever_relay import messages
from waxwinglever_relay import transfers

# Outcome of an attempt for which the link had no room, in the path of the log
# line `request`.
LINK_BUSY = "link-busy"


def local_node(
    link: transfers.Link,
    name: str,
    local_delivery: delivery.LocalDelivery,
    request: messages.Request,
    candidates: fleet_view.Candidates,
) -> fleet_view.Member | None:
    """Returns this node if it should take a long body itself.

    The body takes no link then. It does so while its server has a free slot.
    """
    member = candidates.members.get(name)
    if member is None or not transfers.must_ask(link, len(request.body)):
        return None
    backend = local_delivery.backend
    if backend_state.is_cold(backend):
        return None
    return member if delivery.has_free_slot(local_delivery) else None


def wait_for_room(
    request: messages.Request,
    error: messages.LinkBusy,
    now_s: float,
    caller: messages.CallerConnection | None,
) -> bool:
    """Waits until a link may have room; returns False if it would be late.

    A request waits up to its target. Later, its caller is told when to return,
    as the threads and the memory that it takes are needed by others.

    Raises:
      CallerDisconnected: The caller has closed its connection.
    """
    wait_s = error.retry_after_ms / 1000
    end_s = min(request.latency_target_s, request.deadline_s)
    if now_s + wait_s + delivery.MIN_REMAINING_S >= end_s:
        return False
    time.sleep(wait_s)
    if caller is not None and caller.is_closed():
        raise messages.caller_disconnected_error()
    return True
