"""Plans the next change of a cell's record, on the cell's leader."""

import math

import attrs

from waxwinglever_model import cells
from waxwinglever_model import identifiers
from waxwinglever_model import limits
from waxwinglever_ownership import leader_state
from waxwinglever_placement import plan
from waxwinglever_placement import splits
from waxwinglever_routing import hotkeys

# Time to the next rebalancing after one that used up its move budget.
FULL_ROUND_DELAY_S = 0.5
# Standard deviations by which a load must differ to count as a real difference.
NOISE_DEVIATIONS = 3.0
# Sampling noise, as a share of a node's load, above which loads are too
# imprecise to compare single slices. It is the share at which a slice is split.
MAX_NOISE = splits.SPLIT_FACTOR
# After this time the owner of a changed slice has measured its rate.
ESTIMATE_VALIDITY_S = 4.0
# A new cell waits this long for members before it assigns its first slices.
# Otherwise the first node gets all of them and has to hand most over.
FORMATION_DELAY_S = 1.0


@attrs.frozen
class PlacementConstraints:
    """Settings of the active configuration that apply to a cell.

    Attributes:
      keyed: Whether the service is sharded by key.
      excluded_zones: Zones that the operators took out of service.
      allowed_zones: Zones in which the service may be placed; empty for all.
      retired: Nodes that the operators declared permanently lost.
      move_cost: Minimum gain of a planned move; see plan.plan_moves.
      max_moves: Maximum number of planned moves at a time.
    """

    keyed: bool
    excluded_zones: frozenset[str] = frozenset()
    allowed_zones: frozenset[str] = frozenset()
    retired: frozenset[str] = frozenset()
    move_cost: float = 0.05
    max_moves: int = 4


def plan_change(
    leader: leader_state.LeaderState,
    constraints: PlacementConstraints,
    now: float,
) -> cells.CellRecord | None:
    """Returns the next record to write and marks it as pending.

    Slices that must move but are still leased are put under handover (R9).

    Args:
      leader: The leader; nothing is planned while a change is pending.
      constraints: Settings of the cell's service.
      now: Seconds on the leader's clock.

    Returns:
      The record, or None when there is nothing to change.
    """
    leader_state.retire(leader, constraints.retired, now)
    with leader.lock:
        if leader.pending is not None or leader.stepped_down:
            return None
        record = change_members(leader, leader.record, now)
        if constraints.keyed and leader_state.is_liveness_known(leader, now):
            record = change_slices(leader, record, constraints, now)
        if record == leader.record:
            return None
        record = attrs.evolve(record, nonce=identifiers.new_id())
        if constraints.keyed and leader.record.slices:
            update_load_estimates(leader, record, now)
        leader_state.begin_change(leader, record)
        return record


def change_members(
    leader: leader_state.LeaderState, record: cells.CellRecord, now: float
) -> cells.CellRecord:
    """Applies joins, incarnation replacements, leaves and removals."""
    members = {member.node: member for member in record.members}
    for node, member in leader.pending_joins.items():
        known = members.get(node)
        is_same_vm = known and known.peer_address == member.peer_address
        # Another VM under a recorded name doesn't prove that the earlier VM
        # is gone, so the earlier one must be unresponsive and own nothing.
        is_replaceable = known and is_removable(leader, node, now)
        if is_same_vm or is_replaceable:
            members[node] = member
        elif known is None and len(members) < limits.MAX_MEMBERS:
            members[node] = member
    for node in list(members):
        if node == leader.node:
            continue
        is_leaving = node in leader.pending_leaves or node in leader.retired
        if is_leaving and not owns_any(record, node):
            del members[node]
        elif node not in leader.pending_joins and is_removable(
            leader, node, now
        ):
            # Remove one member at a time, so that the remaining members are a
            # majority of the previous ones.
            del members[node]
            break
    return attrs.evolve(record, members=tuple(members.values()))


def is_removable(
    leader: leader_state.LeaderState, node: str, now: float
) -> bool:
    """Returns whether a member can be removed because it is unresponsive.

    It must own no slice and have been unresponsive for more than
    MEMBER_REMOVAL_DELAY_S. No member is removable before the leases of earlier
    leaders have expired.
    """
    if owns_any(leader.record, node):
        return False
    if leader.takeover_at is None or now < leader.takeover_at:
        return False
    return (
        leader_state.unresponsive_s(leader, node, now)
        > limits.MEMBER_REMOVAL_DELAY_S
    )


def owns_any(record: cells.CellRecord, node: str) -> bool:
    """Returns whether the record assigns a slice to the node."""
    return any(item.owner == node for item in record.slices)


def change_slices(
    leader: leader_state.LeaderState,
    record: cells.CellRecord,
    constraints: PlacementConstraints,
    now: float,
) -> cells.CellRecord:
    """Assigns free slices, begins handovers, and splits or merges slices."""
    if not record.slices:
        return attrs.evolve(record, slices=cells.equal_slices())
    nodes = [
        plan.Node(
            member.node,
            member.zone,
            node_weight(leader, member, constraints, now),
        )
        for member in record.members
    ]
    if now - leader.started_at < FORMATION_DELAY_S and record.next_epoch == 1:
        return record
    is_due = now >= leader.next_balance_at
    if (
        not is_due
        and not leader.revoking_since
        and can_owners_stay(leader, nodes)
    ):
        return record
    loads = slice_loads(leader, now)
    free = {
        item.ref
        for item in record.slices
        if leader_state.is_free(leader, item, now)
        and (item.owner == cells.NO_OWNER or must_reassign(leader, item, nodes))
    }
    planning_slices = tuple(
        attrs.evolve(item, owner=cells.NO_OWNER) if item.ref in free else item
        for item in record.slices
    )
    move_budget = (
        max(0, constraints.max_moves - len(leader.revoking_since))
        if is_due
        else 0
    )
    noise = sampling_noise(loads, len(nodes))
    if noise > MAX_NOISE:
        # Too few requests to tell busy slices from idle ones: balance the
        # number of slices instead of their loads.
        loads, noise = {}, 0.0
    move_cost = max(constraints.move_cost, noise)
    moves = plan.plan_moves(
        planning_slices, nodes, loads, move_cost, move_budget
    )
    targets = {move.ref: move.to_node for move in moves}
    begin_handovers(leader, record, nodes, free, targets, now)
    assigned = assign(record, {ref: targets.get(ref) for ref in free})
    if is_due:
        # If the moves use up the budget, more moves are probably needed.
        is_budget_used = 0 < move_budget <= len(moves)
        delay_s = (
            FULL_ROUND_DELAY_S if is_budget_used else limits.BALANCE_INTERVAL_S
        )
        leader.next_balance_at = now + delay_s
    if assigned != record or not is_due:
        return assigned
    return split_or_merge(leader, record, loads)


def sampling_noise(
    loads: dict[cells.SliceRef, float], node_count: int
) -> float:
    """Returns the random variation of a node's measured load, as a share.

    The standard deviation of a request count is its square root. A gain below
    NOISE_DEVIATIONS deviations doesn't justify moving a slice.

    Args:
      loads: Requests per second, by slice.
      node_count: Number of nodes that share the load.
    """
    request_count = sum(loads.values()) / node_count * hotkeys.WINDOW_S
    return (
        NOISE_DEVIATIONS / math.sqrt(request_count)
        if request_count > 0
        else 0.0
    )


def node_weight(
    leader: leader_state.LeaderState,
    member: cells.Member,
    constraints: PlacementConstraints,
    now: float,
) -> float:
    """Returns the placement weight of a member; 0 if it may own no slice."""
    follower = leader.followers.get(member.node)
    if follower is None or follower.last_ack is None:
        return 0.0
    is_excluded = (
        follower.draining
        or member.node in leader.pending_leaves
        or member.node in constraints.retired
        or member.zone in constraints.excluded_zones
        or (
            constraints.allowed_zones
            and member.zone not in constraints.allowed_zones
        )
        or leader_state.is_unresponsive(leader, member.node, now)
    )
    return 0.0 if is_excluded else 1.0


def must_reassign(
    leader: leader_state.LeaderState,
    item: cells.Slice,
    nodes: list[plan.Node],
) -> bool:
    """Returns whether a free slice must get another assignment.

    That is so when its owner has released it, it is under handover, or its
    owner may own no slices.
    """
    follower = leader.followers.get(item.owner)
    if follower is not None and item.ref in follower.released:
        return True
    if item.ref in leader.revoking_since:
        return True
    return not any(
        node.name == item.owner and node.weight > 0 for node in nodes
    )


def can_owners_stay(
    leader: leader_state.LeaderState, nodes: list[plan.Node]
) -> bool:
    """Returns whether every owner may keep its slices.

    It is called many times a second, so it does not iterate over the slices.
    """
    eligible = {node.name for node in nodes if node.weight > 0}
    has_released = any(
        follower.released for follower in leader.followers.values()
    )
    return not has_released and leader.owners <= eligible


def slice_loads(
    leader: leader_state.LeaderState, now: float
) -> dict[cells.SliceRef, float]:
    """Returns the loads of the busy slices, in requests per second.

    A slice whose epoch or bounds have just changed has an estimate until its
    owner has measured it. Without the estimate it would count as idle.
    """
    loads = {}
    if now < leader.estimates_valid_until:
        loads.update(leader.estimated_loads)
    for follower in leader.followers.values():
        for load in follower.loads:
            loads[load.ref] = load.requests_per_s
    return loads


def update_load_estimates(
    leader: leader_state.LeaderState, record: cells.CellRecord, now: float
) -> None:
    """Estimates the loads of slices that get a new epoch or new bounds."""
    loads = slice_loads(leader, now)
    known = {item.ref for item in leader.record.slices}
    estimates = splits.estimate_loads(
        leader.record.slices, loads, hot_keys(leader), record.slices
    )
    leader.estimated_loads = {
        ref: rate
        for ref, rate in estimates.items()
        if ref not in known and rate > 0
    }
    leader.estimates_valid_until = now + ESTIMATE_VALIDITY_S


def hot_keys(
    leader: leader_state.LeaderState,
) -> dict[cells.SliceRef, tuple[int, float]]:
    """Returns point and share of the most frequent key, by busy slice."""
    return {
        load.ref: (load.hot_point, load.hot_share)
        for follower in leader.followers.values()
        for load in follower.loads
        if load.hot_point is not None
    }


def begin_handovers(
    leader: leader_state.LeaderState,
    record: cells.CellRecord,
    nodes: list[plan.Node],
    free: set[cells.SliceRef],
    targets: dict[cells.SliceRef, str],
    now: float,
) -> None:
    """Begins the planned handovers of leased slices and cancels obsolete ones.

    A handover that is no longer planned is cancelled after HANDOVER_TIMEOUT_S,
    if the owner is eligible again and has not released the slice. The owner
    keeps it.

    Args:
      leader: The leader; its `revoking_since` is changed in place.
      record: The record that is being planned.
      nodes: The members with their placement weights.
      free: Slices that can be reassigned without a handover.
      targets: New owner of each slice that is planned to move.
      now: Seconds on the leader's clock.
    """
    responsive = {
        node
        for node in leader.followers
        if not leader_state.is_unresponsive(leader, node, now)
    }
    eligible = {node.name for node in nodes if node.weight > 0}
    for item in record.slices:
        ref = item.ref
        if ref in free:
            continue
        if ref in targets and item.owner in responsive:
            leader.revoking_since.setdefault(ref, now)
        elif ref in leader.revoking_since and item.owner in eligible:
            follower = leader.followers.get(item.owner)
            is_overdue = (
                now - leader.revoking_since[ref] >= limits.HANDOVER_TIMEOUT_S
            )
            if follower and ref not in follower.released and is_overdue:
                del leader.revoking_since[ref]


def assign(
    record: cells.CellRecord, owners: dict[cells.SliceRef, str | None]
) -> cells.CellRecord:
    """Returns the record with new owners and a new epoch for each new owner.

    Args:
      record: The record.
      owners: New owner by slice; None leaves the slice unchanged.
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
    leader: leader_state.LeaderState,
    record: cells.CellRecord,
    loads: dict[cells.SliceRef, float],
) -> cells.CellRecord:
    """Splits hot slices or, if there are none, merges cold ones.

    Nothing is changed during a handover. Both parts of a split keep owner and
    epoch, so every lease stays with its holder.
    """
    if leader.revoking_since:
        return record
    hot = hot_keys(leader)
    planned = splits.plan_splits(record.slices, loads, hot, len(record.members))
    if planned:
        slices = splits.apply_splits(record.slices, planned)
    else:
        merges = splits.plan_merges(record.slices, loads, len(record.members))
        slices = splits.apply_merges(record.slices, merges)
    return attrs.evolve(record, slices=slices)
