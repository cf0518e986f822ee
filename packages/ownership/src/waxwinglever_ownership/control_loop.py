"""The control thread: joins the cell, runs elections and leads the cell."""

import random
import threading

from waxwinglever_model import cells
from waxwinglever_model import exceptions
from waxwinglever_model import limits
from waxwinglever_ownership import config_cache
from waxwinglever_ownership import elections
from waxwinglever_ownership import leader_loop
from waxwinglever_ownership import leader_state
from waxwinglever_ownership import node as nodes
from waxwinglever_ownership import records
from waxwinglever_peers import messages

JOIN_INTERVAL_S = 0.5


def run_control(node: nodes.CellNode) -> None:
    """Joins the cell, waits for election timeouts and leads when elected."""
    while not node.stopping.is_set():
        wait_for_election_timeout(node)
        if node.stopping.is_set():
            return
        try:
            leader = run_election(node)
        except (exceptions.StoreUnavailable, exceptions.InvalidInput) as error:
            node.dependencies.log("election-failed", error=str(error))
            node.stopping.wait(nodes.STORE_RETRY_S)
            continue
        except exceptions.Conflict:
            # Another candidate won; wait for its first heartbeats.
            nodes.reset_election_timeout(node)
            continue
        if leader is None:
            # For example a stale read or no majority: don't retry at once.
            node.stopping.wait(nodes.STORE_RETRY_S)
        else:
            leader_loop.run_leader(node, leader)


def wait_for_election_timeout(node: nodes.CellNode) -> None:
    """Waits until the election timeout, a takeover request or the stop.

    If the record's entry of this node is absent or outdated, the leader is
    asked to record it in the meantime. Leases that expire are removed.
    """
    timeout_s = elections.election_timeout_s(
        node.state.record, node.local_member.node, random.random()
    )
    next_join = node.dependencies.now()
    while not node.stopping.is_set() and not node.takeover_requested:
        now = node.dependencies.now()
        if now - node.state.last_heartbeat_s > timeout_s:
            return
        if now >= next_join:
            send_join_request(node)
            next_join = now + JOIN_INTERVAL_S
        wait_s = min(node.state.last_heartbeat_s + timeout_s, next_join) - now
        with node.state.lock:
            if not node.stopping.is_set() and not node.takeover_requested:
                node.state.lock.wait(max(0.01, wait_s))
        nodes.log_expired_leases(node)


def send_join_request(node: nodes.CellNode) -> None:
    """Asks the leader to record this node's member entry, or to remove it.

    Nothing is sent if the entry is recorded already or no leader is known.
    """
    record = node.state.record
    recorded = (
        record.member(node.local_member.node) if record is not None else None
    )
    if recorded == node.local_member and not node.leaving:
        return
    address = nodes.leader_address(node)
    if not address:
        return
    request = messages.JoinRequest(
        node.state.cell, node.local_member, node.leaving
    )
    try:
        reply = node.dependencies.peers.call(
            address, request, limits.PEER_TIMEOUT_S
        )
    except exceptions.PeerUnavailable:
        return
    if isinstance(reply, messages.JoinReply) and reply.accepted:
        node.is_removed = node.leaving and reply.recorded


def run_election(node: nodes.CellNode) -> leader_state.LeaderState | None:
    """Starts the next term if a majority receives no heartbeats (R4, R10).

    A requested takeover needs no majority.

    Returns:
      The state of the new leadership, or None when this node must not lead.

    Raises:
      StoreUnavailable: The store did not answer.
      Conflict: Another candidate won.
      InvalidInput: The stored record is malformed.
    """
    was_requested = node.takeover_requested
    node.takeover_requested = False
    record, version = records.read(node.dependencies.store, node.state.cell)
    if record is None:
        return create_cell(node)
    with node.state.lock:
        if record.term < node.state.term:
            # A stale read: this node has seen a higher term.
            return None
        if node.state.record is None or version > node.state.version:
            node.state.record, node.state.version = record, version
        is_new_term = record.term > node.state.term
        if is_new_term:
            # Another node started this term: wait for its heartbeats first.
            node.state.term = record.term
            node.state.leader = record.leader
            node.state.sequence = 0
            node.state.send_times.clear()
    if record.member(node.local_member.node) is None or node.leaving:
        nodes.reset_election_timeout(node)
        send_join_request(node)
        return None
    if is_new_term and record.leader != node.local_member.node:
        nodes.reset_election_timeout(node)
        return None
    if not was_requested and not has_majority_support(node, record):
        return None
    new_record = elections.next_term(
        record, node.local_member.node, node.local_member.incarnation
    )
    version = records.write(node.dependencies.store, new_record, version)
    return begin_leadership(node, new_record, version, is_new_cell=False)


def create_cell(node: nodes.CellNode) -> leader_state.LeaderState | None:
    """Creates the cell's record with this node as its only member.

    Returns:
      The state of the new leadership, or None without a configuration of the
      service.

    Raises:
      StoreUnavailable: The store did not answer.
      Conflict: Another node has created the cell.
    """
    constraints = config_cache.constraints_for(
        node.config_cache, node.tenant, node.service
    )
    if constraints is None:
        # The configuration thread has not read it from the store yet.
        return None
    record = elections.initial_record(
        node.state.cell, node.local_member, constraints.keyed
    )
    version = records.write(node.dependencies.store, record, 0)
    return begin_leadership(node, record, version, is_new_cell=True)


def begin_leadership(
    node: nodes.CellNode,
    record: cells.CellRecord,
    version: int,
    is_new_cell: bool,
) -> leader_state.LeaderState:
    """Logs a leadership that the store has confirmed and returns its state."""
    node.dependencies.log(
        "leader-began", cell=record.cell, term=record.term, reason="elected"
    )
    return leader_state.new_leader(
        record, version, node.dependencies.now(), is_new_cell
    )


def has_majority_support(
    node: nodes.CellNode, record: cells.CellRecord
) -> bool:
    """Returns whether a majority of members receives no heartbeats (R10).

    All other members are asked at the same time, one thread each.
    """
    replies: list[messages.ElectionProbeReply] = []
    probe = messages.ElectionProbe(
        node.state.cell, node.state.term, node.local_member.node
    )

    def send_probe(address: str) -> None:
        try:
            reply = node.dependencies.peers.call(
                address, probe, limits.PEER_TIMEOUT_S
            )
        except exceptions.PeerUnavailable:
            return
        if isinstance(reply, messages.ElectionProbeReply):
            replies.append(reply)

    threads = [
        threading.Thread(
            target=send_probe, args=(member.peer_address,), daemon=True
        )
        for member in record.members
        if member.node != node.local_member.node
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    constraints = config_cache.constraints_for(
        node.config_cache, node.tenant, node.service
    )
    retired = constraints.retired if constraints is not None else frozenset()
    return elections.has_election_quorum(
        record, node.local_member.node, replies, retired
    )
