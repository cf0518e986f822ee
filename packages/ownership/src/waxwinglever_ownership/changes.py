"""The next change of a cell's record, as a decision of its leader."""

import math

import attrs

from waxwinglever_model import cells
from waxwinglever_model import identifiers
from waxwinglever_model import limits
from waxwinglever_ownership import leadership
from waxwinglever_placement import plan
from waxwinglever_placement import splits
from waxwinglever_routing import hotkeys

FULL_ROUND_DELAY_S = 0.5
NOISE_DEVIATIONS = 3.0
# Scatter of the loads, as a share of a node's load, above which they say
# nothing about single slices. It is the share at which a slice is split.
MAX_NOISE = splits.SPLIT_FACTOR
# Measured rates of a slice are good enough after this time.
ESTIMATE_VALIDITY_S = 4.0
# A new cell waits this long for members before it assigns its first slices,
# so that the first node does not get all of them and hands most back.
FORMATION_DELAY_S = 1.0


@attrs.frozen
class Rules:
    """What the accepted configuration says about a cell.

    Attributes:
      keyed: Whether the service is divided by key.
      zones_out: Zones that the operators took out.
      allowed_zones: Zones in which the service may be placed; empty for all.
      retired: Nodes that the operators declared lost for good.
      move_cost: Cost of moving one slice; see plan.plan_moves.
      max_moves: Number of planned moves at a time.
    """

    keyed: bool
    zones_out: frozenset[str] = frozenset()
    allowed_zones: frozenset[str] = frozenset()
    retired: frozenset[str] = frozenset()
    move_cost: float = 0.05
    max_moves: int = 4


def plan_change(
    leader: leadership.LeaderState, rules: Rules, now: float
) -> cells.CellRecord | None:
    """Returns the next record to write, or None; begins its change.

    Slices that must move but are still leased are put under handover (R9).

    Args:
      leader: The leader; nothing is planned while a change is pending.
      rules: What the configuration says.
      now: Seconds on the leader's clock.
    """
    leadership.retire(leader, rules.retired, now)
    with leader.lock:
        if leader.pending is not None or leader.stepped_down:
            return None
        record = change_members(leader, leader.record, now)
        if rules.keyed and leadership.is_liveness_known(leader, now):
            record = change_slices(leader, record, rules, now)
        if record == leader.record:
            return None
        record = attrs.evolve(record, nonce=identifiers.new_id())
        if rules.keyed and leader.record.slices:
            update_load_estimates(leader, record, now)
        leadership.begin_change(leader, record)
        return record


def change_members(
    leader: leadership.LeaderState, record: cells.CellRecord, now: float
) -> cells.CellRecord:
    """Applies joins, incarnation replacements, leaves and removals."""
    members = {member.node: member for member in record.members}
    for node, member in leader.joins.items():
        known = members.get(node)
        is_same_vm = known and known.peer_address == member.peer_address
        # Another VM under a recorded name has not shown that the earlier one
        # is gone, so the earlier one must be silent and own nothing.
        is_replaceable = known and is_removable(leader, node, now)
        if is_same_vm or is_replaceable:
            members[node] = member
        elif known is None and len(members) < limits.MAX_MEMBERS:
            members[node] = member
    for node in list(members):
        if node == leader.node:
            continue
        is_leaving = node in leader.leaving or node in leader.retired
        if is_leaving and not owns_any(record, node):
            del members[node]
        elif node not in leader.joins and is_removable(leader, node, now):
            # One at a time, so that the remaining members stay a majority of
            # those before.
            del members[node]
            break
    return attrs.evolve(record, members=tuple(members.values()))


def is_removable(leader: leadership.LeaderState, node: str, now: float) -> bool:
    """Returns whether a member has been silent for long and owns nothing."""
    if owns_any(leader.record, node):
        return False
    if leader.takeover_at is None or now < leader.takeover_at:
        return False
    return leadership.silence_s(leader, node, now) > limits.MEMBER_REMOVAL_S


def owns_any(record: cells.CellRecord, node: str) -> bool:
    """Returns whether the record assigns a slice to the node."""
    return any(item.owner == node for item in record.slices)


def change_slices(
    leader: leadership.LeaderState,
    record: cells.CellRecord,
    rules: Rules,
    now: float,
) -> cells.CellRecord:
    """Assigns free slices, begins handovers, and splits or merges slices."""
    if not record.slices:
        return attrs.evolve(record, slices=cells.even_slices())
    nodes = [
        plan.Node(
            member.node,
            member.zone,
            node_weight(leader, member, rules, now),
        )
        for member in record.members
    ]
    if now - leader.started_at < FORMATION_DELAY_S and record.next_epoch == 1:
        return record
    is_due = now >= leader.next_balance_at
    if not is_due and not leader.revoking and can_owners_stay(leader, nodes):
        return record
    loads = slice_loads(leader, now)
    free = {
        item.ref
        for item in record.slices
        if leadership.is_free(leader, item, now)
        and (item.owner == cells.NO_OWNER or must_reassign(leader, item, nodes))
    }
    view = tuple(
        attrs.evolve(item, owner=cells.NO_OWNER) if item.ref in free else item
        for item in record.slices
    )
    budget = max(0, rules.max_moves - len(leader.revoking)) if is_due else 0
    noise = sampling_noise(loads, len(nodes))
    if noise > MAX_NOISE:
        # Too few requests to tell busy slices from idle ones: count slices.
        loads, noise = {}, 0.0
    cost = max(rules.move_cost, noise)
    moves = plan.plan_moves(view, nodes, loads, cost, budget)
    targets = {move.ref: move.to_node for move in moves}
    begin_handovers(leader, record, nodes, free, targets, now)
    assigned = assign(record, {ref: targets.get(ref) for ref in free})
    if is_due:
        # A full round of moves means that there is more to even out.
        is_more = 0 < budget <= len(moves)
        pause = FULL_ROUND_DELAY_S if is_more else limits.BALANCE_INTERVAL_S
        leader.next_balance_at = now + pause
    if assigned != record or not is_due:
        return assigned
    return split_or_merge(leader, record, loads)


def sampling_noise(
    loads: dict[cells.SliceRef, float], node_count: int
) -> float:
    """Returns by how much measured loads of equal nodes differ by chance.

    Counts of a few seconds scatter by their square root; a gain below a few
    deviations is no reason to move a slice.
    """
    counted = sum(loads.values()) / node_count * hotkeys.WINDOW_S
    return NOISE_DEVIATIONS / math.sqrt(counted) if counted > 0 else 0.0


def node_weight(
    leader: leadership.LeaderState,
    member: cells.Member,
    rules: Rules,
    now: float,
) -> float:
    """Returns the placement weight of a member; 0 to own nothing."""
    follower = leader.followers.get(member.node)
    if follower is None or follower.last_ack is None:
        return 0.0
    is_out = (
        follower.draining
        or member.node in leader.leaving
        or member.node in rules.retired
        or member.zone in rules.zones_out
        or (rules.allowed_zones and member.zone not in rules.allowed_zones)
        or leadership.is_silent(leader, member.node, now)
    )
    return 0.0 if is_out else 1.0


def must_reassign(
    leader: leadership.LeaderState,
    item: cells.Slice,
    nodes: list[plan.Node],
) -> bool:
    """Returns whether the owner can't go on owning a slice that is free."""
    follower = leader.followers.get(item.owner)
    if follower is not None and item.ref in follower.released:
        return True
    if item.ref in leader.revoking:
        return True
    return not any(
        node.name == item.owner and node.weight > 0 for node in nodes
    )


def can_owners_stay(
    leader: leadership.LeaderState, nodes: list[plan.Node]
) -> bool:
    """Returns whether each owner may keep its slices, at a low cost.

    The slices are not looked at: this is asked many times a second.
    """
    usable = {node.name for node in nodes if node.weight > 0}
    is_handed_back = any(
        follower.released for follower in leader.followers.values()
    )
    return not is_handed_back and leader.owners <= usable


def slice_loads(
    leader: leadership.LeaderState, now: float
) -> dict[cells.SliceRef, float]:
    """Returns the loads of the busy slices, in requests a second.

    A slice that has just got a new epoch or bounds keeps an estimate until
    its owner has measured it; it would count as idle otherwise.
    """
    loads = {}
    if now < leader.estimates_valid_until:
        loads.update(leader.estimated_loads)
    for follower in leader.followers.values():
        for load in follower.loads:
            loads[load.ref] = load.requests_per_s
    return loads


def update_load_estimates(
    leader: leadership.LeaderState, record: cells.CellRecord, now: float
) -> None:
    """Keeps the loads of slices whose epoch or bounds the record changes."""
    loads = slice_loads(leader, now)
    known = {item.ref for item in leader.record.slices}
    estimates = splits.split_loads(
        leader.record.slices, loads, hot_keys(leader), record.slices
    )
    leader.estimated_loads = {
        ref: rate
        for ref, rate in estimates.items()
        if ref not in known and rate > 0
    }
    leader.estimates_valid_until = now + ESTIMATE_VALIDITY_S


def hot_keys(
    leader: leadership.LeaderState,
) -> dict[cells.SliceRef, tuple[int, float]]:
    """Returns point and share of the most frequent key of busy slices."""
    return {
        load.ref: (load.hot_point, load.hot_share)
        for follower in leader.followers.values()
        for load in follower.loads
        if load.hot_point is not None
    }


def begin_handovers(
    leader: leadership.LeaderState,
    record: cells.CellRecord,
    nodes: list[plan.Node],
    free: set[cells.SliceRef],
    targets: dict[cells.SliceRef, str],
    now: float,
) -> None:
    """Puts leased slices that must move under handover, and takes others off.

    A handover that is no longer wanted ends unless it has been released: an
    owner that comes back in time keeps its slices.
    """
    heard = {
        node
        for node in leader.followers
        if not leadership.is_silent(leader, node, now)
    }
    has_weight = {node.name for node in nodes if node.weight > 0}
    for item in record.slices:
        ref = item.ref
        if ref in free:
            continue
        if ref in targets and item.owner in heard:
            leader.revoking.setdefault(ref, now)
        elif ref in leader.revoking and item.owner in has_weight:
            follower = leader.followers.get(item.owner)
            is_late = now - leader.revoking[ref] >= limits.HANDOVER_S
            if follower and ref not in follower.released and is_late:
                del leader.revoking[ref]


def assign(
    record: cells.CellRecord, owners: dict[cells.SliceRef, str | None]
) -> cells.CellRecord:
    """Returns the record with new owners, each at an epoch of its own.

    Args:
      record: The record.
      owners: New owner by slice; None leaves the slice as it is.
    """
    epoch = record.next_epoch
    slices = []
    for item in record.slices:
        owner = owners.get(item.ref)
        if owner is not None:
            item = attrs.evolve(item, owner=owner, epoch=epoch)
            epoch += 1
        slices.append(item)
    return attrs.evolve(record, slices=tuple(slices), next_epoch=epoch)


def split_or_merge(
    leader: leadership.LeaderState,
    record: cells.CellRecord,
    loads: dict[cells.SliceRef, float],
) -> cells.CellRecord:
    """Splits hot slices or merges cold ones, one kind at a time.

    Only slices outside a handover are touched; both parts of a split keep
    owner and epoch, so no lease changes hands.
    """
    if leader.revoking:
        return record
    hot = hot_keys(leader)
    cuts = splits.plan_splits(record.slices, loads, hot, len(record.members))
    if cuts:
        resized = splits.apply_splits(record.slices, cuts)
    else:
        merges = splits.plan_merges(record.slices, loads, len(record.members))
        resized = splits.apply_merges(record.slices, merges)
    return attrs.evolve(record, slices=resized)
