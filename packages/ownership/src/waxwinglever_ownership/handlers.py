"""Handles the messages of other daemons."""

import attrs

from waxwinglever_model import exceptions
from waxwinglever_ownership import config_cache
from waxwinglever_ownership import directory
from waxwinglever_ownership import membership
from waxwinglever_ownership import node as nodes
from waxwinglever_ownership import propagation
from waxwinglever_peers import messages

LOAD_REPORT_INTERVAL_S = 2.0


def handle(node: nodes.CellNode, message: messages.Message) -> messages.Message:
    """Returns the reply to a message of another daemon.

    Raises:
      InvalidInput: The message is not a request, or is for another cell or
        node.
    """
    match message:
        case messages.Heartbeat():
            return handle_heartbeat(node, message)
        case messages.ElectionProbe():
            return messages.ElectionProbeReply(
                node.local_member.node,
                membership.is_leader_lost(node.state, node.dependencies.now()),
                node.state.term,
            )
        case messages.TransferLeadership():
            with node.state.lock:
                is_current = message.term >= node.state.term
                if nodes.is_own_cell(node, message.cell) and is_current:
                    node.takeover_requested = True
                    node.state.lock.notify_all()
            return messages.Accepted()
        case messages.JoinRequest():
            return handle_join_request(node, message)
        case messages.MapRequest():
            return handle_map_request(node, message)
        case messages.DirectoryExchange():
            return handle_directory_exchange(node, message)
        case messages.CrashReport():
            node.dependencies.on_crash_report(message)
            return messages.Accepted()
    raise exceptions.InvalidInput(
        f"{type(message).__name__} is not a request",
        "check which program sends to the peer port",
    )


def handle_heartbeat(
    node: nodes.CellNode, heartbeat: messages.Heartbeat
) -> messages.HeartbeatAck:
    """Applies a heartbeat and returns its acknowledgement.

    Configurations and directory entries in the heartbeat are applied too.

    Raises:
      InvalidInput: The heartbeat is for another node or cell.
    """
    if (heartbeat.cell, heartbeat.member) != (
        node.state.cell,
        node.local_member.node,
    ):
        raise exceptions.InvalidInput(
            f"the heartbeat is for node {heartbeat.member!r} of cell"
            f" {heartbeat.cell!r}, but this address belongs to node"
            f" {node.local_member.node!r} of cell {node.state.cell!r} now",
            "wait until the replaced node is removed from the record",
        )
    for update in heartbeat.configs:
        propagation.apply_config(node, update.tenant, update.value)
    if heartbeat.directory is not None:
        directory.merge(node.directory, heartbeat.directory)
    loads = take_due_loads(node)
    ack = membership.apply_heartbeat(
        node.state, heartbeat, node.dependencies.now()
    )
    nodes.log_ownership(node)
    return attrs.evolve(
        ack,
        generations=config_cache.generations(node.config_cache),
        directory_version=heartbeat.directory_version,
        loads=loads,
    )


def take_due_loads(
    node: nodes.CellNode,
) -> tuple[messages.SliceLoad, ...] | None:
    """Returns the loads of this node's slices if a report is due, or None.

    A report takes about 1.5 KB, too much for every acknowledgement. The next
    one is due LOAD_REPORT_INTERVAL_S later.
    """
    now = node.dependencies.now()
    if now < node.next_load_report_at:
        return None
    node.next_load_report_at = now + LOAD_REPORT_INTERVAL_S
    return node.dependencies.loads()


def handle_join_request(
    node: nodes.CellNode, request: messages.JoinRequest
) -> messages.JoinReply:
    """Queues a join or leave if this node leads the cell.

    Returns:
      The reply. It names the known leader, and is not accepted unless this
      node leads the cell.
    """
    leader = node.leader
    if (
        leader is None
        or leader.stepped_down
        or not nodes.is_own_cell(node, request.cell)
    ):
        return messages.JoinReply(False, nodes.leader_address(node))
    with leader.lock:
        recorded = leader.record.member(request.member.node)
        if request.leaving:
            if recorded is not None:
                leader.pending_leaves.add(request.member.node)
            is_applied = recorded is None
        else:
            leader.pending_leaves.discard(request.member.node)
            is_applied = recorded == request.member
            if not is_applied:
                leader.pending_joins[request.member.node] = request.member
        leader.lock.notify_all()
    return messages.JoinReply(True, node.local_member.peer_address, is_applied)


def handle_map_request(
    node: nodes.CellNode, request: messages.MapRequest
) -> messages.MapReply:
    """Returns this cell's record if it is newer than the requester's.

    Raises:
      InvalidInput: The request is for another cell.
    """
    if not nodes.is_own_cell(node, request.cell):
        raise exceptions.InvalidInput(
            f"node {node.local_member.node} is not in cell {request.cell!r}",
            "discard the address and read the directory again",
        )
    with node.state.lock:
        record, version = node.state.record, node.state.version
    if record is None or version <= request.known_version:
        return messages.MapReply(request.cell, version)
    return messages.MapReply(request.cell, version, record)


def handle_directory_exchange(
    node: nodes.CellNode, message: messages.DirectoryExchange
) -> messages.DirectoryExchange:
    """Merges another leader's directory and returns what it doesn't have."""
    directory.merge(node.directory, message.lines)
    for update in message.configs:
        propagation.apply_config(node, update.tenant, update.value)
    return propagation.build_directory_exchange(node, message.generations)
