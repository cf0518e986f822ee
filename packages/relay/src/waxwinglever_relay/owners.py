"""Owners of the shards that requests are for."""

from collections.abc import Callable

from waxwinglever_assignment import fleet_view
from waxwinglever_assignment import replicas
from waxwinglever_assignment import tables
from waxwinglever_model import exceptions
from waxwinglever_relay import messages

# While a range is handed over, a request waits at most this share of the time
# left to its target, as a handover takes about as long as one request.
OWNER_WAIT_SHARE = 0.6


def reachable_owner(
    fleet: fleet_view.FleetView, request: messages.Request
) -> fleet_view.Member | None:
    """Returns the reachable owner of a request's shard, or None."""
    table = fleet_view.ownership_table(fleet, request.service)
    if table is None or request.shard is None:
        return None
    item = tables.range_at(table, request.shard)
    return fleet_view.find_recent_member(fleet, item.node)


def wait_for_change(
    fleet: fleet_view.FleetView,
    request: messages.Request,
    last_refusal: exceptions.Refusal | None,
    fleet_revision: int,
    now: Callable[[], float],
    caller: messages.CallerConnection | None,
) -> bool:
    """Waits until the ownership of a shard may have changed.

    Args:
      fleet: The members and range tables.
      request: A request that its owner refused.
      last_refusal: The refusal.
      fleet_revision: The replica's `revision` before the choice of the owner.
      now: Returns seconds of the boot clock.
      caller: The connection of the caller, if any.

    Returns:
      Whether the fleet's records changed in time; False at once if the owner
      refused the request for another reason, or can't be reached.

    Raises:
      CallerDisconnected: The caller has closed its connection.
    """
    if not isinstance(last_refusal, (exceptions.NotOwner, exceptions.Draining)):
        return False
    if reachable_owner(fleet, request) is None:
        # It takes a second or more until a lost owner's range is reassigned.
        return False
    wait_s = (request.latency_target_s - now()) * OWNER_WAIT_SHARE
    changed = (
        replicas.wait_for_change(fleet.replica, fleet_revision, wait_s)
        != fleet_revision
    )
    if caller is not None and caller.is_closed():
        raise messages.caller_disconnected_error()
    return changed
