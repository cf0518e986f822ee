"""Which nodes watch the store, and whom the others ask.

A few nodes of the fleet are watchers, and a few of each zone are readers. They
follow from the list of members alone, so all nodes agree on them.
"""

import itertools
from collections.abc import Sequence

from waxwinglever_assignment import fleet_view

# Limits the load of a reader: each follower occupies two of its threads.
NODES_PER_READER = 12
# Each change costs a call of the store for each watcher, so their number must
# not follow the number of zones: a fleet of 24 nodes in 6 zones made half of
# its calls for the watches of 6 readers. With three, two may be lost at a time.
MIN_WATCHERS = 3
# Limits the load of a watcher: 8 readers of 12 nodes each ask it.
NODES_PER_WATCHER = 96


def zone_readers(
    members: Sequence[fleet_view.Member], zone: str
) -> list[fleet_view.Member]:
    """Returns the readers of a zone: its nodes with the most cores.

    Nodes that are leaving are no readers.
    """
    present = [m for m in members if m.zone == zone]
    candidates = [m for m in present if not m.leaving]
    count = -(-len(present) // NODES_PER_READER)
    candidates.sort(key=lambda member: (-member.cores, member.name))
    return candidates[:count]


def watchers(
    members: Sequence[fleet_view.Member], planner: str
) -> list[fleet_view.Member]:
    """Returns the nodes that watch the store: some readers of all zones.

    They are spread over the zones, so that the loss of a zone leaves some. The
    planner watches the store in any case, so it is one of them.

    Args:
      members: All members.
      planner: Incarnation of the planner, or '' if there is none.
    """
    zones = sorted({member.zone for member in members})
    by_rank = itertools.zip_longest(
        *(zone_readers(members, zone) for zone in zones)
    )
    found = [m for rank in by_rank for m in rank if m is not None]
    planners = [m for m in members if m.incarnation == planner]
    found = planners + [m for m in found if m not in planners]
    count = max(MIN_WATCHERS, -(-len(members) // NODES_PER_WATCHER))
    return found[:count]


def nodes_to_ask(
    members: Sequence[fleet_view.Member], planner: str, name: str, zone: str
) -> list[fleet_view.Member]:
    """Returns the nodes that a node asks, in order; none for a watcher.

    For a reader these are the watchers, those of its zone first.

    Args:
      members: All members.
      planner: Incarnation of the planner, or '' if there is none.
      name: Name of the node.
      zone: Availability zone of the node.
    """
    found = zone_readers(members, zone)
    is_reader = name in [member.name for member in found]
    if is_reader:
        found = watchers(members, planner)
        if name in [member.name for member in found]:
            return []
    if not found:
        return []
    # All nodes use the same order, so the followers spread evenly.
    position = sum(
        member.zone == zone and member.name < name for member in members
    ) % len(found)
    found = found[position:] + found[:position]
    if is_reader:
        found.sort(key=lambda member: member.zone != zone)
    return found
