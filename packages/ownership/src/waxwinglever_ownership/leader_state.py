"""State of a cell's leader, and its decisions on leases and members."""

import threading

import attrs

from waxwinglever_model import cells
from waxwinglever_model import limits
from waxwinglever_ownership import leases
from waxwinglever_peers import messages

# Send times that are kept for each member, to match late acknowledgements.
MAX_SEND_TIMES = 32


@attrs.define(eq=False)
class Follower:
    """State that the leader keeps for one member.

    Attributes:
      send_times: When the last heartbeats were sent, in seconds, by sequence.
      acked_sequence: Highest acknowledged sequence.
      acked_send_times: Send time of the newest acknowledged heartbeat, by
        incarnation of the member (R2).
      incarnation: Incarnation of the last acknowledgement.
      first_sent: When the first heartbeat was sent, in seconds, or None.
      last_ack: When the last acknowledgement arrived, in seconds, or None.
      record_version: Version of the record that the member has.
      released: Slices whose leases the member has released.
      generations: Generation of the active configuration at the member, by
        tenant.
      directory_version: Version of the directory that the member has.
      draining: Whether the member is leaving.
      loads: Last reported loads of its busiest slices.
    """

    send_times: dict[int, float] = attrs.Factory(dict)
    acked_sequence: int = 0
    acked_send_times: dict[str, float] = attrs.Factory(dict)
    incarnation: str = ""
    first_sent: float | None = None
    last_ack: float | None = None
    record_version: int = 0
    released: set[cells.SliceRef] = attrs.Factory(set)
    generations: dict[str, int] = attrs.Factory(dict)
    directory_version: int = 0
    draining: bool = False
    loads: tuple[messages.SliceLoad, ...] = ()


@attrs.define(eq=False)
class LeaderState:
    """State of one leadership; `lock` guards all of it.

    Attributes:
      node: Node name of the leader.
      incarnation: Incarnation of the leader.
      record: The record that the store has confirmed.
      version: Store version of that record.
      initial_nodes: Members in the record at the start of the term (R4).
      started_at: When the term began, in seconds.
      takeover_at: When all leases of earlier leaders have certainly expired,
        in seconds; None until a majority has acknowledged this term.
      acknowledged_nodes: Members that have acknowledged this term or were
        declared lost, so that they acknowledge no earlier leader any more.
      sequence: Sequence of the last heartbeat to any member. One counter for
        all members keeps it rising for a member that is removed and rejoins.
      followers: State of each member, by node name.
      lease_expiry: When each granted lease has certainly expired, in seconds
        on the leader's clock.
      revoking_since: When the handover of each slice under handover began, in
        seconds.
      pending: A record whose write is not confirmed (R6), or None.
      suspended_slices: Slices whose ownership the pending record changes; no
        lease on them is granted.
      pending_joins: Members that asked to be recorded, by node name.
      pending_leaves: Members that asked to be removed.
      retired: Nodes that the operators declared lost.
      owners: Nodes that own a slice in the record, with NO_OWNER if some
        slice has none.
      estimated_loads: Estimates for slices that have not been measured yet,
        in requests per second.
      estimates_valid_until: When the estimates expire, in seconds.
      next_balance_at: When the next rebalancing is due, in seconds.
      stepped_down: Whether the leadership has ended; no lease is granted
        after that.
    """

    node: str
    incarnation: str
    record: cells.CellRecord
    version: int
    initial_nodes: frozenset[str]
    started_at: float
    takeover_at: float | None = None
    acknowledged_nodes: set[str] = attrs.Factory(set)
    sequence: int = 0
    followers: dict[str, Follower] = attrs.Factory(dict)
    lease_expiry: dict[cells.SliceRef, float] = attrs.Factory(dict)
    revoking_since: dict[cells.SliceRef, float] = attrs.Factory(dict)
    pending: cells.CellRecord | None = None
    suspended_slices: frozenset[cells.SliceRef] = frozenset()
    pending_joins: dict[str, cells.Member] = attrs.Factory(dict)
    pending_leaves: set[str] = attrs.Factory(set)
    retired: frozenset[str] = frozenset()
    owners: frozenset[str] = frozenset()
    estimated_loads: dict[cells.SliceRef, float] = attrs.Factory(dict)
    estimates_valid_until: float = 0.0
    next_balance_at: float = 0.0
    stepped_down: bool = False
    lock: threading.Condition = attrs.Factory(threading.Condition)


def new_leader(
    record: cells.CellRecord, version: int, now: float, is_new_cell: bool
) -> LeaderState:
    """Returns the state of a leader whose term the store has confirmed.

    Args:
      record: The record with the new term.
      version: Store version of the record.
      now: Seconds on the leader's clock.
      is_new_cell: Whether the record is the first of the cell, so that no
        earlier lease can exist.
    """
    return LeaderState(
        node=record.leader,
        incarnation=record.leader_incarnation,
        record=record,
        version=version,
        initial_nodes=frozenset(member.node for member in record.members),
        started_at=now,
        takeover_at=now if is_new_cell else None,
        owners=owners_of(record),
        next_balance_at=now + limits.BALANCE_INTERVAL_S,
    )


def owners_of(record: cells.CellRecord) -> frozenset[str]:
    """Returns the owners of the slices; NO_OWNER if some slice has none."""
    return frozenset(item.owner for item in record.slices)


def get_or_add_follower(leader: LeaderState, node: str) -> Follower:
    """Returns a member's state, new if absent; the caller holds the lock."""
    return leader.followers.setdefault(node, Follower())


def next_heartbeat(
    leader: LeaderState, node: str, now: float
) -> messages.Heartbeat | None:
    """Returns the next heartbeat to a member, with its leases (R3, R6, R7).

    Args:
      leader: The leader.
      node: Node name of the member.
      now: Seconds on the leader's clock. The heartbeat is sent after this
        time, so leases that count from it end early, never late.

    Returns:
      The heartbeat, or None once the leader has stepped down.
    """
    with leader.lock:
        if leader.stepped_down:
            return None
        follower = get_or_add_follower(leader, node)
        if follower.first_sent is None:
            follower.first_sent = now
        leader.sequence += 1
        follower.send_times[leader.sequence] = now
        while len(follower.send_times) > MAX_SEND_TIMES:
            del follower.send_times[min(follower.send_times)]
        remaining = lease_remaining_s(leader, now)
        owned = [item for item in leader.record.slices if item.owner == node]
        withheld = tuple(
            item.ref
            for item in owned
            if not is_grantable(leader, follower, item.ref, now)
        )
        if remaining > 0 and follower.last_ack is not None:
            # The member counts the lease from before it sent its last
            # acknowledgement, so last_ack bounds the expiry, and the lease of
            # a member that has stopped answering is not extended.
            expires_at = (
                follower.last_ack + remaining * limits.CLOCK_DRIFT_FACTOR
            )
            withheld_refs = set(withheld)
            for item in owned:
                if item.ref not in withheld_refs:
                    previous = leader.lease_expiry.get(item.ref, 0.0)
                    leader.lease_expiry[item.ref] = max(previous, expires_at)
        has_record = follower.record_version == leader.version
        return messages.Heartbeat(
            cell=leader.record.cell,
            term=leader.record.term,
            leader=leader.node,
            leader_incarnation=leader.incarnation,
            sequence=leader.sequence,
            base_sequence=follower.acked_sequence,
            remaining_s=remaining,
            record_version=leader.version,
            record=None if has_record else leader.record,
            withheld=withheld,
            revoke=tuple(
                item.ref for item in owned if item.ref in leader.revoking_since
            ),
            member=node,
        )


def lease_remaining_s(leader: LeaderState, now: float) -> float:
    """Returns the remaining time of a lease granted now, in seconds."""
    member_lists = [leader.record.members]
    if leader.pending is not None:
        member_lists.append(leader.pending.members)

    def ack_time_of(member: cells.Member) -> float | None:
        follower = leader.followers.get(member.node)
        if follower is None:
            return None
        return follower.acked_send_times.get(member.incarnation)

    ack_times = [
        leases.majority_ack_time(members, ack_time_of)
        for members in member_lists
    ]
    return leases.remaining_s(ack_times, now)


def is_grantable(
    leader: LeaderState,
    follower: Follower,
    ref: cells.SliceRef,
    now: float,
) -> bool:
    """Returns whether a lease may be granted to the recorded owner now."""
    if ref in leader.suspended_slices or ref in follower.released:
        return False
    revoked_at = leader.revoking_since.get(ref)
    return revoked_at is None or now - revoked_at < limits.HANDOVER_TIMEOUT_S


def apply_ack(
    leader: LeaderState, node: str, ack: messages.HeartbeatAck, now: float
) -> None:
    """Applies the acknowledgement of a heartbeat (R2, R4, R5, R11)."""
    if ack.node != node:
        return
    with leader.lock:
        if ack.highest_term > leader.record.term:
            leader.stepped_down = True
            leader.lock.notify_all()
            return
        if not ack.accepted:
            return
        follower = get_or_add_follower(leader, node)
        sent_at = follower.send_times.get(ack.sequence)
        if sent_at is None:
            return
        follower.acked_sequence = max(follower.acked_sequence, ack.sequence)
        previous = follower.acked_send_times.get(ack.incarnation, sent_at)
        # An earlier incarnation sends no more acknowledgements, so its entry
        # is dropped.
        follower.acked_send_times = {ack.incarnation: max(previous, sent_at)}
        follower.incarnation = ack.incarnation
        follower.last_ack = now
        follower.record_version = ack.record_version
        follower.generations = ack.generations
        follower.directory_version = ack.directory_version
        if ack.loads is not None:
            follower.loads = ack.loads
        follower.draining = ack.draining
        for ref in ack.released:
            if ref not in follower.released:
                follower.released.add(ref)
                leader.lease_expiry.pop(ref, None)
                leader.lock.notify_all()
        record_term_acknowledgement(leader, node, now)


def record_term_acknowledgement(
    leader: LeaderState, node: str, now: float
) -> None:
    """Records that a member acknowledged this term or was declared lost (R4).

    The caller holds the lock.
    """
    if node not in leader.initial_nodes or node in leader.acknowledged_nodes:
        return
    leader.acknowledged_nodes.add(node)
    needed = cells.majority(len(leader.initial_nodes))
    if leader.takeover_at is None and len(leader.acknowledged_nodes) >= needed:
        leader.takeover_at = now + limits.LEASE_EXPIRY_WAIT_S
        leader.lock.notify_all()


def retire(leader: LeaderState, nodes: frozenset[str], now: float) -> None:
    """Sets the nodes that the operators declared lost (R4).

    Such a node counts like one that has acknowledged this term.
    """
    with leader.lock:
        leader.retired = nodes
        for node in sorted(nodes & leader.initial_nodes):
            record_term_acknowledgement(leader, node, now)


def step_down(leader: LeaderState) -> None:
    """Ends a leadership; no lease is granted after that."""
    with leader.lock:
        leader.stepped_down = True
        leader.lock.notify_all()


def unresponsive_s(leader: LeaderState, node: str, now: float) -> float:
    """Returns the seconds since a member last acknowledged a heartbeat.

    Before the first acknowledgement the time counts from the first heartbeat.
    The result is 0 for a member that no heartbeat was sent to: a node that has
    just joined would otherwise be removed at once.
    """
    follower = leader.followers.get(node)
    if follower is None or follower.first_sent is None:
        return 0.0
    last_ack = follower.last_ack
    return now - (follower.first_sent if last_ack is None else last_ack)


def is_unresponsive(leader: LeaderState, node: str, now: float) -> bool:
    """Returns whether a member's last acknowledgement is out of date.

    That is so once it is older than LEASE_DURATION_S.
    """
    return unresponsive_s(leader, node, now) > limits.LEASE_DURATION_S


def is_liveness_known(leader: LeaderState, now: float) -> bool:
    """Returns whether each member acknowledged this term or is unresponsive.

    Until then an owner that has not answered yet can't be told from a lost
    one.
    """
    for member in leader.record.members:
        follower = leader.followers.get(member.node)
        has_acked = follower is not None and follower.last_ack is not None
        if not has_acked and not is_unresponsive(leader, member.node, now):
            return False
    return True


def is_free(leader: LeaderState, item: cells.Slice, now: float) -> bool:
    """Returns whether no node can hold a lease on the slice any more (R7).

    The slice is free when it has no owner, when its owner released it, or
    when every lease on it has expired: those that this leader granted and
    those of earlier leaders (`takeover_at`). In the last case the owner must
    also be unresponsive, or the handover have timed out.
    """
    if item.owner == cells.NO_OWNER:
        return True
    follower = leader.followers.get(item.owner)
    if follower is not None and item.ref in follower.released:
        return True
    if leader.takeover_at is None or now < leader.takeover_at:
        return False
    if now < leader.lease_expiry.get(item.ref, 0.0):
        return False
    revoked_at = leader.revoking_since.get(item.ref)
    is_overdue = (
        revoked_at is not None and now - revoked_at >= limits.HANDOVER_TIMEOUT_S
    )
    return is_overdue or is_unresponsive(leader, item.owner, now)


def begin_change(leader: LeaderState, record: cells.CellRecord) -> None:
    """Marks a record as being written; the caller holds the lock.

    After that no lease is granted on slices whose ownership the record
    changes. The caller must hold the lock without a break from the check that
    a slice is free until this call: an owner that comes back could otherwise
    get a lease in between.
    """
    leader.pending = record
    leader.suspended_slices = frozenset(
        item.ref
        for item in leader.record.slices
        if not keeps_ownership(item, record)
    )


def keeps_ownership(item: cells.Slice, record: cells.CellRecord) -> bool:
    """Returns whether the record keeps owner and epoch on the whole slice."""
    return all(
        (other.owner, other.epoch) == (item.owner, item.epoch)
        for other in record.slices
        if other.start <= item.last and other.last >= item.start
    )


def inherited_lease_expiry(
    leader: LeaderState, record: cells.CellRecord
) -> dict[cells.SliceRef, float]:
    """Returns the lease expiry of each slice in a new record.

    A lease on a slice that is split or merged covers its parts, so a new slice
    gets the latest expiry of all slices that it overlaps.
    """
    expiries = [
        (item, leader.lease_expiry[item.ref])
        for item in leader.record.slices
        if item.ref in leader.lease_expiry
    ]
    known = {item.ref for item, _ in expiries}
    inherited = {}
    for item in record.slices:
        if item.ref in known:
            inherited[item.ref] = leader.lease_expiry[item.ref]
            continue
        overlapping = [
            expires_at
            for other, expires_at in expiries
            if other.start <= item.last and other.last >= item.start
        ]
        if overlapping:
            inherited[item.ref] = max(overlapping)
    return inherited


def confirm_change(leader: LeaderState, version: int) -> None:
    """Makes the pending record current, after the store confirmed its write."""
    with leader.lock:
        leader.lease_expiry = inherited_lease_expiry(leader, leader.pending)
        leader.record = leader.pending
        leader.owners = owners_of(leader.record)
        leader.version = version
        leader.pending = None
        leader.suspended_slices = frozenset()
        owner_by_ref = {item.ref: item.owner for item in leader.record.slices}
        for ref in [
            ref for ref in leader.revoking_since if ref not in owner_by_ref
        ]:
            del leader.revoking_since[ref]
        for node, follower in leader.followers.items():
            follower.released = {
                ref
                for ref in follower.released
                if owner_by_ref.get(ref) == node
            }
        for member in leader.record.members:
            if leader.pending_joins.get(member.node) == member:
                del leader.pending_joins[member.node]
        nodes = {member.node for member in leader.record.members}
        leader.pending_leaves &= nodes
        for node in [node for node in leader.followers if node not in nodes]:
            del leader.followers[node]
        leader.lock.notify_all()
