"""The threads of a leader: heartbeats, record changes, leadership transfer.

One thread for each member runs `run_heartbeats`. The control thread runs
`run_leader`.
"""

import threading

import attrs

from waxwinglever_model import cells
from waxwinglever_model import exceptions
from waxwinglever_model import limits
from waxwinglever_ownership import config_cache
from waxwinglever_ownership import directory
from waxwinglever_ownership import handlers
from waxwinglever_ownership import leader_state
from waxwinglever_ownership import node as nodes
from waxwinglever_ownership import record_planning
from waxwinglever_ownership import records
from waxwinglever_peers import messages

CHANGE_INTERVAL_S = 0.1


def run_leader(node: nodes.CellNode, leader: leader_state.LeaderState) -> None:
    """Leads the cell until the term ends, the node stops or hands over."""
    node.leader = leader
    heartbeat_threads: dict[str, threading.Thread] = {}
    is_handed_over = False
    try:
        while not leader.stepped_down and not node.stopping.is_set():
            start_heartbeat_threads(node, leader, heartbeat_threads)
            constraints = config_cache.constraints_for(
                node.config_cache, node.tenant, node.service
            )
            with leader.lock:
                request_own_membership(node, leader)
            if constraints is not None:
                record = record_planning.plan_change(
                    leader, constraints, node.dependencies.now()
                )
                if record is not None:
                    write_change(node, leader, record)
                    continue
            if node.leaving and transfer_leadership(node, leader):
                is_handed_over = True
                break
            with leader.lock:
                if not leader.stepped_down:
                    leader.lock.wait(CHANGE_INTERVAL_S)
    finally:
        leader_state.step_down(leader)
        node.leader = None
        for thread in heartbeat_threads.values():
            thread.join()
        node.dependencies.log(
            "leader-ended",
            cell=leader.record.cell,
            term=leader.record.term,
            reason=end_reason(node, is_handed_over),
        )
        nodes.reset_election_timeout(node)


def end_reason(node: nodes.CellNode, is_handed_over: bool) -> str:
    """Returns why a leadership ended, for the log."""
    if is_handed_over:
        return "handed over"
    return "stopping" if node.stopping.is_set() else "higher term"


def request_own_membership(
    node: nodes.CellNode, leader: leader_state.LeaderState
) -> None:
    """Requests that the leader's own member is recorded, or removed.

    It is recorded when it differs from the record, and removed when the node
    is leaving. The caller holds the lock.
    """
    recorded = leader.record.member(node.local_member.node)
    if recorded != node.local_member and not node.leaving:
        leader.pending_joins[node.local_member.node] = node.local_member
    elif node.leaving:
        leader.pending_leaves.add(node.local_member.node)


def start_heartbeat_threads(
    node: nodes.CellNode,
    leader: leader_state.LeaderState,
    threads: dict[str, threading.Thread],
) -> None:
    """Starts a heartbeat thread for each member without a running one.

    Args:
      node: The node.
      leader: The current leadership.
      threads: Threads by node name; changed in place.
    """
    with leader.lock:
        members = {member.node: member for member in leader.record.members}
    for name, thread in list(threads.items()):
        if not thread.is_alive():
            del threads[name]
    for name in members:
        if name not in threads:
            threads[name] = threading.Thread(
                target=run_heartbeats,
                args=(node, leader, name),
                name=f"peer-{name}",
                daemon=True,
            )
            threads[name].start()


def run_heartbeats(
    node: nodes.CellNode, leader: leader_state.LeaderState, name: str
) -> None:
    """Sends heartbeats to a member until it is removed or the term ends."""
    while not leader.stepped_down:
        with leader.lock:
            member = leader.record.member(name)
        if member is None:
            return
        started_at = node.dependencies.now()
        heartbeat = leader_state.next_heartbeat(leader, name, started_at)
        if heartbeat is None:
            return
        heartbeat = attach_updates(node, leader, name, heartbeat)
        try:
            if name == node.local_member.node:
                reply = handlers.handle_heartbeat(node, heartbeat)
            else:
                reply = node.dependencies.peers.call(
                    member.peer_address, heartbeat, limits.PEER_TIMEOUT_S
                )
        except exceptions.WaxwingleverError:
            reply = None
        if isinstance(reply, messages.HeartbeatAck):
            leader_state.apply_ack(leader, name, reply, node.dependencies.now())
        wait_for_next_heartbeat(node, leader, name, heartbeat, started_at)


def wait_for_next_heartbeat(
    node: nodes.CellNode,
    leader: leader_state.LeaderState,
    name: str,
    heartbeat: messages.Heartbeat,
    started_at: float,
) -> None:
    """Waits for the interval, or until there is a change for the member."""
    with leader.lock:
        while not leader.stepped_down:
            left_s = (
                started_at
                + limits.HEARTBEAT_INTERVAL_S
                - node.dependencies.now()
            )
            if left_s <= 0:
                return
            if has_pending_updates(leader, name, heartbeat):
                return
            leader.lock.wait(left_s)


def has_pending_updates(
    leader: leader_state.LeaderState, name: str, heartbeat: messages.Heartbeat
) -> bool:
    """Returns whether a member needs a heartbeat before the next interval.

    That is so when the record, or the handovers of the member's slices, changed
    since the last heartbeat.
    """
    if leader.version != heartbeat.record_version:
        return True
    revoked = {
        item.ref
        for item in leader.record.slices
        if item.owner == name and item.ref in leader.revoking_since
    }
    return revoked != set(heartbeat.revoke)


def attach_updates(
    node: nodes.CellNode,
    leader: leader_state.LeaderState,
    name: str,
    heartbeat: messages.Heartbeat,
) -> messages.Heartbeat:
    """Adds the configurations and the directory that the member lacks."""
    with leader.lock:
        follower = leader_state.get_or_add_follower(leader, name)
        known, known_version = follower.generations, follower.directory_version
    version, summaries = directory.snapshot(node.directory)
    return attrs.evolve(
        heartbeat,
        configs=config_cache.updates_for(
            node.config_cache, known, (node.tenant,)
        ),
        directory=summaries if known_version != version else None,
        directory_version=version,
    )


def write_change(
    node: nodes.CellNode,
    leader: leader_state.LeaderState,
    record: cells.CellRecord,
) -> None:
    """Retries the write of the pending record until the store confirms it.

    It ends without a confirmation only if the term ends or the node stops. An
    unconfirmed write is never abandoned: the store may apply it late, and the
    next leader would then read owners that this leader has no record of.
    """
    while not leader.stepped_down and not node.stopping.is_set():
        try:
            version = records.write(
                node.dependencies.store, record, leader.version
            )
        except exceptions.StoreUnavailable as error:
            node.dependencies.log("record-write-unknown", error=str(error))
            with leader.lock:
                if not leader.stepped_down:
                    leader.lock.wait(nodes.STORE_RETRY_S)
            continue
        except exceptions.Conflict:
            leader_state.step_down(leader)
            return
        log_assignments(node, leader.record, record)
        leader_state.confirm_change(leader, version)
        return


def log_assignments(
    node: nodes.CellNode, before: cells.CellRecord, after: cells.CellRecord
) -> None:
    """Logs slice assignments and member changes that the store confirmed."""
    owner_by_ref = {item.ref: item.owner for item in before.slices}
    for item in after.slices:
        if item.ref not in owner_by_ref and item.owner != cells.NO_OWNER:
            node.dependencies.log(
                "slice-assigned",
                cell=after.cell,
                start=item.start,
                last=item.last,
                owner=item.owner,
                epoch=item.epoch,
                term=after.term,
            )
    members = {member.node for member in before.members}
    for name in {member.node for member in after.members} ^ members:
        node.dependencies.log(
            "member-joined" if name not in members else "member-left",
            cell=after.cell,
            member=name,
            term=after.term,
        )


def transfer_leadership(
    node: nodes.CellNode, leader: leader_state.LeaderState
) -> bool:
    """Asks another member to take over, once this leaving node owns nothing.

    Returns:
      Whether the node may stop leading: a member was asked, or none answered
      and the node is marked as removed.
    """
    with leader.lock:
        record = leader.record
        is_ready = leader.pending is None and not record_planning.owns_any(
            record, node.local_member.node
        )
        unresponsive = {
            member.node
            for member in record.members
            if leader_state.is_unresponsive(
                leader, member.node, node.dependencies.now()
            )
        }
    if not is_ready:
        return False
    for member in record.members:
        if member.node in unresponsive or member.node == node.local_member.node:
            continue
        request = messages.TransferLeadership(record.cell, record.term)
        try:
            node.dependencies.peers.call(
                member.peer_address, request, limits.PEER_TIMEOUT_S
            )
            return True
        except exceptions.PeerUnavailable:
            continue
    # No other member can be reached, for example in a cell with one member.
    node.is_removed = True
    return True
