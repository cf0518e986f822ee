"""One daemon's part in its cell: its state and what its threads share."""

import threading
from collections.abc import Callable

import attrs

from waxwinglever_model import cells
from waxwinglever_model import clock
from waxwinglever_ownership import configs
from waxwinglever_ownership import directory
from waxwinglever_ownership import leadership
from waxwinglever_ownership import membership
from waxwinglever_peers import links
from waxwinglever_peers import messages
from waxwinglever_store import calls as store_calls

# Pause after a store call without an answer.
STORE_RETRY_S = 0.2


@attrs.frozen
class Surroundings:
    """What a node uses of its daemon.

    Attributes:
      store: Calls to the platform's store.
      peers: Calls to other daemons.
      now: Seconds on this node's clock.
      log: Called with an event name and fields for each notable event.
      loads: Returns the loads of this node's slices.
      on_crash_report: Told of suspects that another daemon reports.
    """

    store: store_calls.StoreCalls
    peers: links.PeerCalls
    log: Callable[..., None]
    now: Callable[[], float] = clock.boottime_s
    loads: Callable[[], tuple[messages.SliceLoad, ...]] = tuple
    on_crash_report: Callable[[messages.CrashReport], None] = lambda _: None


@attrs.define(eq=False)
class CellNode:
    """State of one daemon's part in its cell.

    Attributes:
      tenant: Name of the tenant.
      service: Name of the service.
      me: This node as it is to be recorded.
      around: What the node uses of its daemon.
      book: Configurations in force.
      lines: Lines of the tenant's cells.
      state: Membership in the cell.
      leader: State of the current leadership, while this node leads.
      takeover_requested: Whether a leaving leader asked this node to stand.
      leaving: Whether this node asks to be removed from the record.
      is_removed: Whether the leader said that it is not recorded any more.
      next_load_report_at: When the loads are reported next, in seconds.
      stopping: Set when the threads must end.
      threads: Control, configuration and directory threads.
    """

    tenant: str
    service: str
    me: cells.Member
    around: Surroundings
    book: configs.ConfigBook
    lines: directory.Directory
    state: membership.MemberState
    leader: leadership.LeaderState | None = None
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
    me: cells.Member,
    around: Surroundings,
    book: configs.ConfigBook,
    lines: directory.Directory,
) -> CellNode:
    """Returns a node that has not joined its cell yet."""
    state = membership.MemberState(
        cell=cell_name(tenant, service),
        node=me.node,
        incarnation=me.incarnation,
        last_heard=around.now(),
    )
    return CellNode(tenant, service, me, around, book, lines, state)


def is_own_cell(node: CellNode, cell: str) -> bool:
    """Returns whether the name is that of this node's cell."""
    return cell == node.state.cell


def leader_address(node: CellNode) -> str:
    """Returns the peer address of the leader that this node hears, or ''."""
    with node.state.lock:
        record = node.state.record
        name = node.state.leader
    member = record.member(name) if record is not None else None
    return member.peer_address if member is not None else ""


def log_ownership(node: CellNode) -> None:
    """Logs each lease that began or ended since the last call."""
    for change in membership.take_changes(node.state):
        node.around.log(
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
    """Drops and logs the leases that ran out without a heartbeat."""
    with node.state.lock:
        membership.drop_ended(node.state, node.around.now())
    log_ownership(node)


def reset_election_timeout(node: CellNode) -> None:
    """Gives another candidate the time to send its first heartbeats."""
    with node.state.lock:
        node.state.last_heard = node.around.now()
