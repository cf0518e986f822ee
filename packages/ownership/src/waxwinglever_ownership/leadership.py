"""The leader of a cell: what it grants, and what it knows of members."""

import threading

import attrs

from waxwinglever_model import cells
from waxwinglever_model import limits
from waxwinglever_ownership import leases
from waxwinglever_peers import messages

# Heartbeats whose acknowledgement may still come.
KEPT_SEND_TIMES = 32


@attrs.define(eq=False)
class Follower:
    """What the leader knows of one member.

    Attributes:
      send_times: When the last heartbeats were sent, by sequence.
      acked_sequence: Last sequence acknowledged.
      acked_dates: Send time of the newest acknowledged heartbeat, by
        incarnation of the member (R2).
      incarnation: Incarnation that acknowledged last.
      first_sent: When the first heartbeat was sent, in seconds, or None.
      last_ack: When the last acknowledgement came, in seconds, or None.
      record_version: Version of the record that the member has.
      released: Slices that the member has handed back.
      generations: Generation that the member obeys, by tenant.
      directory_version: Version of the directory that the member has.
      draining: Whether the member is leaving.
      loads: Loads of its busiest slices.
    """

    send_times: dict[int, float] = attrs.Factory(dict)
    acked_sequence: int = 0
    acked_dates: dict[str, float] = attrs.Factory(dict)
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
      incarnation: Its incarnation.
      record: The record that the store has confirmed.
      version: Store version of that record.
      taken_nodes: Members in the record that this leader took (R4).
      since: When the term was taken, in seconds.
      takeover_at: When leases of an earlier leader are over for certain, in
        seconds; None until a majority has advanced to this term.
      advanced: Members that have advanced to this term.
      sequence: Sequence of the last heartbeat to any member. One count for
        all keeps it rising for a member that was removed and joined again.
      followers: By node name.
      lease_until: When each granted lease is over for certain, in seconds on
        this clock.
      revoking: Slices under handover and since when, in seconds.
      pending: A record whose write is not confirmed (R6), or None.
      held_back: Slices whose ownership the pending record changes.
      joins: Members that asked to be recorded, by node name.
      leaving: Members that asked to be removed.
      retired: Nodes that the operators declared lost.
      owners: Nodes that the record assigns slices to, with NO_OWNER if some
        slice has none.
      estimates: Loads of slices that have not been measured yet.
      estimates_until: Until when the estimates count, in seconds.
      next_balance: When load is evened out next, in seconds.
      stepped_down: Whether a higher term was seen; nothing is granted then.
    """

    node: str
    incarnation: str
    record: cells.CellRecord
    version: int
    taken_nodes: frozenset[str]
    since: float
    takeover_at: float | None = None
    advanced: set[str] = attrs.Factory(set)
    sequence: int = 0
    followers: dict[str, Follower] = attrs.Factory(dict)
    lease_until: dict[cells.SliceRef, float] = attrs.Factory(dict)
    revoking: dict[cells.SliceRef, float] = attrs.Factory(dict)
    pending: cells.CellRecord | None = None
    held_back: frozenset[cells.SliceRef] = frozenset()
    joins: dict[str, cells.Member] = attrs.Factory(dict)
    leaving: set[str] = attrs.Factory(set)
    retired: frozenset[str] = frozenset()
    owners: frozenset[str] = frozenset()
    estimates: dict[cells.SliceRef, float] = attrs.Factory(dict)
    estimates_until: float = 0.0
    next_balance: float = 0.0
    stepped_down: bool = False
    lock: threading.Condition = attrs.Factory(threading.Condition)


def new_leader(
    record: cells.CellRecord, version: int, now: float, is_new_cell: bool
) -> LeaderState:
    """Returns the state of a leader whose term the store has confirmed.

    Args:
      record: The record with the new term.
      version: Its store version.
      now: Seconds.
      is_new_cell: Whether the record is the first of the cell, so that no
        earlier lease can exist.
    """
    return LeaderState(
        node=record.leader,
        incarnation=record.leader_incarnation,
        record=record,
        version=version,
        taken_nodes=frozenset(member.node for member in record.members),
        since=now,
        takeover_at=now if is_new_cell else None,
        owners=owners_of(record),
        next_balance=now + limits.BALANCE_INTERVAL_S,
    )


def owners_of(record: cells.CellRecord) -> frozenset[str]:
    """Returns the owners of the slices; NO_OWNER if some slice has none."""
    return frozenset(item.owner for item in record.slices)


def follower_of(leader: LeaderState, node: str) -> Follower:
    """Returns what the leader knows of a member; the caller has the lock."""
    return leader.followers.setdefault(node, Follower())


def next_heartbeat(
    leader: LeaderState, node: str, now: float
) -> messages.Heartbeat | None:
    """Returns the next heartbeat to a member, with its leases (R3, R6, R7).

    Args:
      leader: The leader.
      node: Node name of the member.
      now: Seconds on the leader's clock. The heartbeat is sent after this
        moment, so an acknowledgement is dated early, never late.

    Returns:
      The heartbeat, or None once the leader has stepped down.
    """
    with leader.lock:
        if leader.stepped_down:
            return None
        follower = follower_of(leader, node)
        if follower.first_sent is None:
            follower.first_sent = now
        leader.sequence += 1
        follower.send_times[leader.sequence] = now
        while len(follower.send_times) > KEPT_SEND_TIMES:
            del follower.send_times[min(follower.send_times)]
        remaining = lease_remaining_s(leader, now)
        own = [item for item in leader.record.slices if item.owner == node]
        withheld = tuple(
            item.ref
            for item in own
            if not is_grantable(leader, follower, item.ref, now)
        )
        if remaining > 0 and follower.last_ack is not None:
            # The member counts from before it sent its last acknowledgement,
            # so a member that has stopped to answer gets no longer lease.
            until = follower.last_ack + remaining * limits.DRIFT_FACTOR
            skipped = set(withheld)
            for item in own:
                if item.ref not in skipped:
                    before = leader.lease_until.get(item.ref, 0.0)
                    leader.lease_until[item.ref] = max(before, until)
        is_known = follower.record_version == leader.version
        return messages.Heartbeat(
            cell=leader.record.cell,
            term=leader.record.term,
            leader=leader.node,
            leader_incarnation=leader.incarnation,
            sequence=leader.sequence,
            base_sequence=follower.acked_sequence,
            remaining_s=remaining,
            record_version=leader.version,
            record=None if is_known else leader.record,
            withheld=withheld,
            revoke=tuple(
                item.ref for item in own if item.ref in leader.revoking
            ),
            member=node,
        )


def lease_remaining_s(leader: LeaderState, now: float) -> float:
    """Returns the remaining time of a lease granted now, in seconds."""
    lists = [leader.record.members]
    if leader.pending is not None:
        lists.append(leader.pending.members)

    def date_of(member: cells.Member) -> float | None:
        follower = leader.followers.get(member.node)
        if follower is None:
            return None
        return follower.acked_dates.get(member.incarnation)

    dates = [leases.majority_date(members, date_of) for members in lists]
    return leases.remaining_s(dates, now)


def is_grantable(
    leader: LeaderState,
    follower: Follower,
    ref: cells.SliceRef,
    now: float,
) -> bool:
    """Returns whether the recorded owner may get or keep the lease now."""
    if ref in leader.held_back or ref in follower.released:
        return False
    revoked_at = leader.revoking.get(ref)
    return revoked_at is None or now - revoked_at < limits.HANDOVER_S


def accept_ack(
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
        follower = follower_of(leader, node)
        sent = follower.send_times.get(ack.sequence)
        if sent is None:
            return
        follower.acked_sequence = max(follower.acked_sequence, ack.sequence)
        date = follower.acked_dates.get(ack.incarnation, sent)
        # Dates of earlier incarnations are dropped: they can't be renewed.
        follower.acked_dates = {ack.incarnation: max(date, sent)}
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
                leader.lease_until.pop(ref, None)
                leader.lock.notify_all()
        note_advanced(leader, node, now)


def note_advanced(leader: LeaderState, node: str, now: float) -> None:
    """Counts a member as advanced to this term; the caller has the lock."""
    if node not in leader.taken_nodes or node in leader.advanced:
        return
    leader.advanced.add(node)
    needed = cells.majority(len(leader.taken_nodes))
    if leader.takeover_at is None and len(leader.advanced) >= needed:
        leader.takeover_at = now + limits.LEASE_WAIT_S
        leader.lock.notify_all()


def retire(leader: LeaderState, nodes: frozenset[str], now: float) -> None:
    """Counts nodes that the operators declared lost as advanced (R4)."""
    with leader.lock:
        leader.retired = nodes
        for node in sorted(nodes & leader.taken_nodes):
            note_advanced(leader, node, now)


def step_down(leader: LeaderState) -> None:
    """Ends a leadership: nothing is granted from here on."""
    with leader.lock:
        leader.stepped_down = True
        leader.lock.notify_all()


def silence_s(leader: LeaderState, node: str, now: float) -> float:
    """Returns for how long a member has left heartbeats without answer.

    A member that no heartbeat was sent to is not silent: a node that has just
    joined would be removed again at once.
    """
    follower = leader.followers.get(node)
    if follower is None or follower.first_sent is None:
        return 0.0
    last = follower.last_ack
    return now - (follower.first_sent if last is None else last)


def is_silent(leader: LeaderState, node: str, now: float) -> bool:
    """Returns whether a member has not acknowledged for a lease time."""
    return silence_s(leader, node, now) > limits.LEASE_S


def is_settled(leader: LeaderState, now: float) -> bool:
    """Returns whether each member has acknowledged this term or is silent.

    Before that, owners that are about to answer can't be told from lost ones.
    """
    for member in leader.record.members:
        follower = leader.followers.get(member.node)
        is_heard = follower is not None and follower.last_ack is not None
        if not is_heard and not is_silent(leader, member.node, now):
            return False
    return True


def is_free(leader: LeaderState, item: cells.Slice, now: float) -> bool:
    """Returns whether no node can hold a lease on the slice any more (R7).

    The slice is free when it has no owner, when its owner handed it back, or
    when every lease on it has run out: those of this leader and, after the
    takeover, those of an earlier one.
    """
    if item.owner == cells.NO_OWNER:
        return True
    follower = leader.followers.get(item.owner)
    if follower is not None and item.ref in follower.released:
        return True
    if leader.takeover_at is None or now < leader.takeover_at:
        return False
    if now < leader.lease_until.get(item.ref, 0.0):
        return False
    revoked_at = leader.revoking.get(item.ref)
    is_overdue = (
        revoked_at is not None and now - revoked_at >= limits.HANDOVER_S
    )
    return is_overdue or is_silent(leader, item.owner, now)


def begin_change(leader: LeaderState, record: cells.CellRecord) -> None:
    """Marks a record as being written; the caller has the lock.

    From here on no lease is granted on what the record changes. The check
    that a slice is free and this call must be in one hold of the lock: a
    returning owner could otherwise get a lease in between.
    """
    leader.pending = record
    leader.held_back = frozenset(
        item.ref
        for item in leader.record.slices
        if not keeps_ownership(item, record)
    )


def keeps_ownership(item: cells.Slice, record: cells.CellRecord) -> bool:
    """Returns whether the record leaves owner and epoch of all points."""
    return all(
        (other.owner, other.epoch) == (item.owner, item.epoch)
        for other in record.slices
        if other.start <= item.last and other.last >= item.start
    )


def inherited_leases(
    leader: LeaderState, record: cells.CellRecord
) -> dict[cells.SliceRef, float]:
    """Returns until when leases on the slices of a new record may last.

    The lease on a slice that is split or merged covers its parts, so a new
    slice takes the latest end of all that it overlaps.
    """
    ends = [
        (item, leader.lease_until[item.ref])
        for item in leader.record.slices
        if item.ref in leader.lease_until
    ]
    known = {item.ref for item, _ in ends}
    inherited = {}
    for item in record.slices:
        if item.ref in known:
            inherited[item.ref] = leader.lease_until[item.ref]
            continue
        overlapping = [
            until
            for other, until in ends
            if other.start <= item.last and other.last >= item.start
        ]
        if overlapping:
            inherited[item.ref] = max(overlapping)
    return inherited


def confirm_change(leader: LeaderState, version: int) -> None:
    """Makes the pending record the current one after the store has it."""
    with leader.lock:
        leader.lease_until = inherited_leases(leader, leader.pending)
        leader.record = leader.pending
        leader.owners = owners_of(leader.record)
        leader.version = version
        leader.pending = None
        leader.held_back = frozenset()
        current = {item.ref: item.owner for item in leader.record.slices}
        for ref in [ref for ref in leader.revoking if ref not in current]:
            del leader.revoking[ref]
        for node, follower in leader.followers.items():
            follower.released = {
                ref for ref in follower.released if current.get(ref) == node
            }
        for member in leader.record.members:
            if leader.joins.get(member.node) == member:
                del leader.joins[member.node]
        nodes = {member.node for member in leader.record.members}
        leader.leaving &= nodes
        for node in [node for node in leader.followers if node not in nodes]:
            del leader.followers[node]
        leader.lock.notify_all()
