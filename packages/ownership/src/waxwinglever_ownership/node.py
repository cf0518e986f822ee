"""State of a cell's node, shared by the threads of its daemon."""

import threading
from collections.abc import Callable

import attrs

from waxwinglever_model import cells
from waxwinglever_model import clock
from waxwinglever_ownership import config_cache
from waxwinglever_ownership import directory
from waxwinglever_ownership import leader_state
from waxwinglever_ownership import membership
from waxwinglever_peers import links
from waxwinglever_peers import messages
from waxwinglever_store import client as store_client

# Pause after a failed store call.
STORE_RETRY_S = 0.2


@attrs.frozen
class NodeDependencies:
    """Dependencies that the daemon provides to its node.

    Attributes:
      store: Client of the platform's store.
      peers: Client for messages to other daemons.
      log: Called with an event name and fields.
      now: Returns the seconds on this node's clock.
      loads: Returns the loads of this node's slices.
      on_crash_report: Called with each crash report of another daemon.
    """

    store: store_client.StoreClient
    peers: links.PeerClient
    log: Callable[..., None]
    now: Callable[[], float] = clock.boottime_s
    loads: Callable[[], tuple[messages.SliceLoad, ...]] = tuple
    on_crash_report: Callable[[messages.CrashReport], None] = lambda _: None


@attrs.define(eq=False)
class CellNode:
    """State of a daemon as a node of its cell.

    Attributes:
      tenant: Name of the tenant.
      service: Name of the service.
      local_member: Member entry of this node that the record should have.
      dependencies: Dependencies that the daemon provides.
      config_cache: Active configurations.
      directory: Directory of the tenant's cells.
      state: Membership state in the cell.
      leader: State of the current leadership; None unless this node leads.
      takeover_requested: Whether a leaving leader asked this node to take
        over.
      leaving: Whether this node asks to be removed from the record.
      is_removed: Whether this node is no longer recorded, or leaves a cell in
        which no other member can be reached.
      next_load_report_at: When the next load report is due, in seconds.
      stopping: Set when the threads must end.
      threads: Control, configuration and directory threads.
    """

    tenant: str
    service: str
    local_member: cells.Member
    dependencies: NodeDependencies
    config_cache: config_cache.ConfigCache
    directory: directory.CellDirectory
    state: membership.MemberState
    leader: leader_state.LeaderState | None = None
    takeover_requested: bool = False
    leaving: bool = False
    is_removed: bool = False
    next_load_report_at: float = 0.0
    stopping: threading.Event = attrs.Factory(threading.Event)
    threads: list[threading.Thread] = attrs.Factory(list)


def cell_name(tenant: str, service: str) -> str:
    """Returns the name of the only cell of a service."""
    return f"{tenant}/{service}/0"


def new_node(
    tenant: str,
    service: str,
    local_member: cells.Member,
    dependencies: NodeDependencies,
    cache: config_cache.ConfigCache,
    cell_directory: directory.CellDirectory,
) -> CellNode:
    """Returns a node that has not joined its cell yet.

    Args:
      tenant: Name of the tenant.
      service: Name of the service.
      local_member: Member entry of the node.
      dependencies: Dependencies that the daemon provides.
      cache: Active configurations.
      cell_directory: Directory of the tenant's cells.
    """
    state = membership.MemberState(
        cell=cell_name(tenant, service),
        node=local_member.node,
        incarnation=local_member.incarnation,
        last_heartbeat_s=dependencies.now(),
    )
    return CellNode(
        tenant,
        service,
        local_member,
        dependencies,
        cache,
        cell_directory,
        state,
    )


def is_own_cell(node: CellNode, cell: str) -> bool:
    """Returns whether `cell` is the name of this node's cell."""
    return cell == node.state.cell


def leader_address(node: CellNode) -> str:
    """Returns the peer address of the known leader, or ''."""
    with node.state.lock:
        record = node.state.record
        name = node.state.leader
    member = record.member(name) if record is not None else None
    return member.peer_address if member is not None else ""


def log_ownership(node: CellNode) -> None:
    """Logs each lease that began or ended since the last call."""
    for change in membership.take_changes(node.state):
        node.dependencies.log(
            change.event,
            cell=node.state.cell,
            start=change.item.start,
            last=change.item.last,
            epoch=change.item.epoch,
            term=change.term,
            at_s=change.at_s,
            reason=change.reason,
        )


def log_expired_leases(node: CellNode) -> None:
    """Removes and logs the leases that expired without a heartbeat."""
    with node.state.lock:
        membership.drop_expired_leases(node.state, node.dependencies.now())
    log_ownership(node)


def reset_election_timeout(node: CellNode) -> None:
    """Restarts the election timeout, to wait for another leader."""
    with node.state.lock:
        node.state.last_heartbeat_s = node.dependencies.now()
