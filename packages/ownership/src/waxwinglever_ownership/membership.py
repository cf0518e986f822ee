"""State of a cell's member: the term that it acknowledges, and its leases."""

import threading
from collections import Counter

import attrs

from waxwinglever_model import cells
from waxwinglever_model import exceptions
from waxwinglever_model import limits
from waxwinglever_peers import messages

# Send times of acknowledgements are kept because a later heartbeat refers to
# one of them: to the last that the leader received, at most a few behind.
MAX_SEND_TIMES = 32


@attrs.define(eq=False)
class HeldLease:
    """A lease on one slice.

    Attributes:
      slice_: The slice.
      granted_at_s: When the lease was granted, in seconds.
      expires_at_s: When it expires unless it is renewed, in seconds.
      accepting: Whether new requests may start; False during a handover.
    """

    slice_: cells.Slice
    granted_at_s: float
    expires_at_s: float
    accepting: bool = True


@attrs.frozen
class OwnershipChange:
    """A log event: a lease began or ended.

    Attributes:
      event: `lease-began` or `lease-ended`.
      item: The slice.
      term: Term of the leader that granted the lease.
      at_s: Time of the event, in seconds; for an expired lease, its expiry.
      reason: Why it began or ended.
    """

    event: str
    item: cells.Slice
    term: int
    at_s: float
    reason: str


@attrs.define(eq=False)
class MemberState:
    """State of one member; `lock` guards all of it.

    Attributes:
      cell: Name of the cell.
      node: Node name.
      incarnation: Random id of the running daemon; new after each restart.
      term: Highest term acknowledged or seen.
      leader: Node name of the leader of that term, or "" if unknown.
      sequence: Sequence of the last accepted heartbeat of that term.
      record: Newest known record of the cell, if any.
      version: Store version of that record.
      send_times: When the acknowledgement of each sequence was sent, in
        seconds.
      last_heartbeat_s: When the last heartbeat was accepted, in seconds.
      leases: Leases of this member, by slice.
      released: Slices that were released; leases on them are not accepted
        again.
      in_flight: Number of running requests, by point of the hash space.
      draining: Whether this node is leaving.
      changes: Ownership changes that have not been logged yet.
    """

    cell: str
    node: str
    incarnation: str
    last_heartbeat_s: float
    term: int = 0
    leader: str = ""
    sequence: int = 0
    record: cells.CellRecord | None = None
    version: int = 0
    send_times: dict[int, float] = attrs.Factory(dict)
    leases: dict[cells.SliceRef, HeldLease] = attrs.Factory(dict)
    released: set[cells.SliceRef] = attrs.Factory(set)
    in_flight: Counter[int] = attrs.Factory(Counter)
    draining: bool = False
    changes: list[OwnershipChange] = attrs.Factory(list)
    lock: threading.Condition = attrs.Factory(threading.Condition)


def apply_heartbeat(
    state: MemberState, heartbeat: messages.Heartbeat, now: float
) -> messages.HeartbeatAck:
    """Applies a heartbeat and returns its acknowledgement (rules R1 and R3).

    Args:
      state: State of the member.
      heartbeat: The received heartbeat.
      now: Seconds on this node's clock. The acknowledgement is sent after
        this time, so a lease that counts from it ends early, never late.

    Returns:
      The acknowledgement; not accepted if the heartbeat is obsolete.
    """
    with state.lock:
        if not is_current(state, heartbeat):
            return build_ack(state, heartbeat.sequence, False)
        if heartbeat.term > state.term:
            state.term = heartbeat.term
            state.leader = heartbeat.leader
            state.sequence = 0
            state.send_times.clear()
        state.leader = heartbeat.leader
        state.sequence = heartbeat.sequence
        state.last_heartbeat_s = now
        if heartbeat.record is not None:
            state.record = heartbeat.record
            state.version = heartbeat.record_version
        drop_expired_leases(state, now)
        has_record = state.record is not None
        if has_record and state.version == heartbeat.record_version:
            apply_grants(state, heartbeat, now)
        release_idle_slices(state, now)
        state.send_times[heartbeat.sequence] = now
        while len(state.send_times) > MAX_SEND_TIMES:
            del state.send_times[min(state.send_times)]
        state.lock.notify_all()
        return build_ack(state, heartbeat.sequence, True)


def is_current(state: MemberState, heartbeat: messages.Heartbeat) -> bool:
    """Returns whether the heartbeat is newer than the last accepted one.

    A heartbeat for another member or cell, or of another leader of the same
    term, is not.
    """
    if (heartbeat.cell, heartbeat.member) != (state.cell, state.node):
        return False
    if heartbeat.term < state.term:
        return False
    if heartbeat.term > state.term:
        return True
    if state.leader and heartbeat.leader != state.leader:
        return False
    return heartbeat.sequence > state.sequence


def build_ack(
    state: MemberState, sequence: int, accepted: bool
) -> messages.HeartbeatAck:
    """Returns the acknowledgement of a heartbeat, or its rejection."""
    return messages.HeartbeatAck(
        node=state.node,
        incarnation=state.incarnation,
        accepted=accepted,
        highest_term=state.term,
        sequence=sequence,
        record_version=state.version,
        released=tuple(sorted(state.released, key=lambda ref: ref.start)),
        draining=state.draining,
    )


def apply_grants(
    state: MemberState, heartbeat: messages.Heartbeat, now: float
) -> None:
    """Grants, renews, suspends and ends leases as the heartbeat specifies.

    The caller holds the lock, and has the record that the heartbeat refers to.
    """
    owned = {
        item.ref: item
        for item in state.record.slices
        if item.owner == state.node
    }
    state.released &= owned.keys()
    for ref in [ref for ref in state.leases if ref not in owned]:
        remove_lease(state, ref, now, "reassigned")
    # The remaining time counts from when an earlier acknowledgement was sent.
    # If that time is not known, no lease is granted or renewed.
    acked_at = state.send_times.get(heartbeat.base_sequence)
    expires_at = (
        acked_at + heartbeat.remaining_s if acked_at is not None else now
    )
    withheld = set(heartbeat.withheld)
    revoked = set(heartbeat.revoke)
    for ref, item in owned.items():
        lease = state.leases.get(ref)
        if lease is not None:
            lease.slice_ = item
            lease.accepting = ref not in revoked
        if ref in withheld or ref in state.released or expires_at <= now:
            continue
        if lease is not None:
            lease.expires_at_s = max(lease.expires_at_s, expires_at)
        elif ref not in revoked:
            state.leases[ref] = HeldLease(item, now, expires_at)
            queue_change(state, "lease-began", item, now, "granted")


def drop_expired_leases(state: MemberState, now: float) -> None:
    """Removes the expired leases; the caller holds the lock."""
    for ref, lease in list(state.leases.items()):
        if lease.expires_at_s <= now:
            remove_lease(state, ref, lease.expires_at_s, "expired")


def release_idle_slices(state: MemberState, now: float) -> None:
    """Releases the slices under handover that no running request uses."""
    for ref, lease in list(state.leases.items()):
        if not lease.accepting and not is_in_use(state, lease.slice_):
            remove_lease(state, ref, now, "released")
            state.released.add(ref)


def is_in_use(state: MemberState, item: cells.Slice) -> bool:
    """Returns whether a request for a point of the slice is running."""
    return any(item.start <= point <= item.last for point in state.in_flight)


def remove_lease(
    state: MemberState, ref: cells.SliceRef, at_s: float, reason: str
) -> None:
    """Removes a lease and queues the log event."""
    lease = state.leases.pop(ref)
    queue_change(state, "lease-ended", lease.slice_, at_s, reason)


def queue_change(
    state: MemberState, event: str, item: cells.Slice, at_s: float, reason: str
) -> None:
    """Queues an ownership change for the log."""
    change = OwnershipChange(event, item, state.term, at_s, reason)
    state.changes.append(change)


def take_changes(state: MemberState) -> list[OwnershipChange]:
    """Returns and clears the ownership changes that are not logged yet."""
    with state.lock:
        changes, state.changes = state.changes, []
        return changes


def begin_request(state: MemberState, point: int, now: float) -> HeldLease:
    """Checks the lease on a point and counts a request as running (R12).

    Each successful call must be followed by a call of `finish_request`.

    Args:
      state: State of the member.
      point: Point of the request's key in the hash space.
      now: Seconds on this node's clock.

    Returns:
      The lease that covers the point.

    Raises:
      NotOwner: This node holds no lease on the point, or its slice is under
        handover.
    """
    with state.lock:
        lease = lease_at(state, point)
        if lease is None or lease.expires_at_s <= now or not lease.accepting:
            raise not_owner_error(state)
        state.in_flight[point] += 1
        return lease


def not_owner_error(state: MemberState) -> exceptions.NotOwner:
    """Returns the error for a key on which this node holds no lease."""
    return exceptions.NotOwner(
        f"node {state.node} holds no lease on this key",
        "send the request again; the response names the owner if it is known",
        retry_after_ms=int(limits.HEARTBEAT_INTERVAL_S * 1000),
    )


def finish_request(state: MemberState, point: int) -> None:
    """Counts a request that `begin_request` admitted as finished."""
    with state.lock:
        state.in_flight[point] -= 1
        if state.in_flight[point] <= 0:
            del state.in_flight[point]


def lease_at(state: MemberState, point: int) -> HeldLease | None:
    """Returns the lease that covers a point; the caller holds the lock."""
    if state.record is None:
        return None
    item = state.record.slice_at(point)
    return state.leases.get(item.ref) if item is not None else None


def is_leader_lost(state: MemberState, now: float) -> bool:
    """Returns whether no heartbeat was accepted for ELECTION_TIMEOUT_S."""
    with state.lock:
        return now - state.last_heartbeat_s > limits.ELECTION_TIMEOUT_S
