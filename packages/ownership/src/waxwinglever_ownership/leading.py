"""The work of a leader: heartbeats, record changes and the handover.

One thread for each member runs `run_peer`; the control thread runs `lead`.
"""

import threading

import attrs

from waxwinglever_model import cells
from waxwinglever_model import exceptions
from waxwinglever_model import limits
from waxwinglever_ownership import changes
from waxwinglever_ownership import configs
from waxwinglever_ownership import directory
from waxwinglever_ownership import handlers
from waxwinglever_ownership import leadership
from waxwinglever_ownership import node as nodes
from waxwinglever_ownership import records
from waxwinglever_peers import messages

CHANGE_INTERVAL_S = 0.1


def lead(node: nodes.CellNode, leader: leadership.LeaderState) -> None:
    """Leads the cell until a higher term is seen or the node stops."""
    node.leader = leader
    peers: dict[str, threading.Thread] = {}
    is_handed_over = False
    try:
        while not leader.stepped_down and not node.stopping.is_set():
            start_peers(node, leader, peers)
            rules = configs.rules_for(node.book, node.tenant, node.service)
            with leader.lock:
                note_own_membership(node, leader)
            if rules is not None:
                record = changes.plan_change(leader, rules, node.around.now())
                if record is not None:
                    write_change(node, leader, record)
                    continue
            if node.leaving and transfer(node, leader):
                is_handed_over = True
                break
            with leader.lock:
                if not leader.stepped_down:
                    leader.lock.wait(CHANGE_INTERVAL_S)
    finally:
        leadership.step_down(leader)
        node.leader = None
        for thread in peers.values():
            thread.join()
        node.around.log(
            "leader-ended",
            cell=leader.record.cell,
            term=leader.record.term,
            reason=end_reason(node, is_handed_over),
        )
        nodes.restart_silence(node)


def end_reason(node: nodes.CellNode, is_handed_over: bool) -> str:
    """Returns why a leadership ended, for the log."""
    if is_handed_over:
        return "handed over"
    return "stopping" if node.stopping.is_set() else "higher term"


def note_own_membership(
    node: nodes.CellNode, leader: leadership.LeaderState
) -> None:
    """Records the leader's own incarnation and address when they differ."""
    recorded = leader.record.member(node.me.node)
    if recorded != node.me and not node.leaving:
        leader.joins[node.me.node] = node.me
    elif node.leaving:
        leader.leaving.add(node.me.node)


def start_peers(
    node: nodes.CellNode,
    leader: leadership.LeaderState,
    peers: dict[str, threading.Thread],
) -> None:
    """Starts the thread of each member that has none that runs."""
    with leader.lock:
        members = {member.node: member for member in leader.record.members}
    for name, thread in list(peers.items()):
        if not thread.is_alive():
            del peers[name]
    for name in members:
        if name not in peers:
            peers[name] = threading.Thread(
                target=run_peer,
                args=(node, leader, name),
                name=f"peer-{name}",
                daemon=True,
            )
            peers[name].start()


def run_peer(
    node: nodes.CellNode, leader: leadership.LeaderState, name: str
) -> None:
    """Sends heartbeats to one member until it leaves or the term ends."""
    while not leader.stepped_down:
        with leader.lock:
            member = leader.record.member(name)
        if member is None:
            return
        began = node.around.now()
        heartbeat = leadership.next_heartbeat(leader, name, began)
        if heartbeat is None:
            return
        heartbeat = attach_news(node, leader, name, heartbeat)
        try:
            if name == node.me.node:
                reply = handlers.handle_heartbeat(node, heartbeat)
            else:
                reply = node.around.peers.call(
                    member.peer_address, heartbeat, limits.PEER_TIMEOUT_S
                )
        except exceptions.WaxwingleverError:
            reply = None
        if isinstance(reply, messages.HeartbeatAck):
            leadership.accept_ack(leader, name, reply, node.around.now())
        wait_for_next_heartbeat(node, leader, name, heartbeat, began)


def wait_for_next_heartbeat(
    node: nodes.CellNode,
    leader: leadership.LeaderState,
    name: str,
    heartbeat: messages.Heartbeat,
    began: float,
) -> None:
    """Waits for the interval, or less when the member must hear of a change."""
    with leader.lock:
        while not leader.stepped_down:
            left = began + limits.HEARTBEAT_INTERVAL_S - node.around.now()
            if left <= 0:
                return
            if has_news(leader, name, heartbeat):
                return
            leader.lock.wait(left)


def has_news(
    leader: leadership.LeaderState, name: str, heartbeat: messages.Heartbeat
) -> bool:
    """Returns whether a change concerns the member since its heartbeat."""
    if leader.version != heartbeat.record_version:
        return True
    revoked = {
        item.ref
        for item in leader.record.slices
        if item.owner == name and item.ref in leader.revoking
    }
    return revoked != set(heartbeat.revoke)


def attach_news(
    node: nodes.CellNode,
    leader: leadership.LeaderState,
    name: str,
    heartbeat: messages.Heartbeat,
) -> messages.Heartbeat:
    """Adds the configurations and the directory that the member lacks."""
    with leader.lock:
        follower = leadership.follower_of(leader, name)
        known, known_version = follower.generations, follower.directory_version
    version, lines = directory.snapshot(node.lines)
    return attrs.evolve(
        heartbeat,
        configs=configs.updates_for(node.book, known, (node.tenant,)),
        directory=lines if known_version != version else None,
        directory_version=version,
    )


def write_change(
    node: nodes.CellNode,
    leader: leadership.LeaderState,
    record: cells.CellRecord,
) -> None:
    """Writes the pending record until it is confirmed or the term ends.

    An unconfirmed write is never given up: the store may apply it late, and a
    successor would then read owners that this leader does not know of.
    """
    while not leader.stepped_down and not node.stopping.is_set():
        try:
            version = records.write(node.around.store, record, leader.version)
        except exceptions.StoreUnavailable as error:
            node.around.log("record-write-unknown", error=str(error))
            with leader.lock:
                if not leader.stepped_down:
                    leader.lock.wait(nodes.STORE_RETRY_S)
            continue
        except exceptions.Conflict:
            leadership.step_down(leader)
            return
        log_assignments(node, leader.record, record)
        leadership.confirm_change(leader, version)
        return


def log_assignments(
    node: nodes.CellNode, before: cells.CellRecord, after: cells.CellRecord
) -> None:
    """Logs each change of ownership that the store has confirmed."""
    known = {item.ref: item.owner for item in before.slices}
    for item in after.slices:
        if item.ref not in known and item.owner != cells.NO_OWNER:
            node.around.log(
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
        node.around.log(
            "member-joined" if name not in members else "member-left",
            cell=after.cell,
            member=name,
            term=after.term,
        )


def transfer(node: nodes.CellNode, leader: leadership.LeaderState) -> bool:
    """Hands the leadership over when this leaving node owns nothing.

    Returns:
      Whether the node may stop leading.
    """
    with leader.lock:
        record = leader.record
        is_ready = leader.pending is None and not changes.owns_any(
            record, node.me.node
        )
        silent = {
            member.node
            for member in record.members
            if leadership.is_silent(leader, member.node, node.around.now())
        }
    if not is_ready:
        return False
    for member in record.members:
        if member.node in silent or member.node == node.me.node:
            continue
        request = messages.TransferLeadership(record.cell, record.term)
        try:
            node.around.peers.call(
                member.peer_address, request, limits.PEER_TIMEOUT_S
            )
            return True
        except exceptions.PeerUnavailable:
            continue
    # The only member has nobody to hand over to.
    node.removed = True
    return True
