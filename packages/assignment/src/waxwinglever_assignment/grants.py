"""Grants of owned ranges to the backend server of this node.

Every grant ends before the session's validity does, so that no grant is in
force when the planner assigns the range to another node.
"""

import random
from collections.abc import Collection

from waxwinglever_assignment import claims
from waxwinglever_assignment import fleet_view
from waxwinglever_assignment import grant_state
from waxwinglever_assignment import holds
from waxwinglever_assignment import sessions
from waxwinglever_assignment import tables
from waxwinglever_model import exceptions

# Interval between checks for grants that are due; an unanswered renewal is
# repeated then.
RENEW_S = 0.5
# A grant is renewed when less than this is left, which leaves time to repeat
# the renewal once. Renewing at every check took a third of the processor time
# of an idle daemon.
RENEW_BELOW_S = 1.25
# The clock of a backend server may run 2% slow.
CLOCK_FACTOR = 1.02
# Allowance for the delivery of a grant.
DELIVERY_S = 0.05
# Shorter grants are not sent, as they are not worth a call.
MIN_HOLD_S = 0.3
CALL_TIMEOUT_S = 0.4
# Spread of the next attempts of owners, several times a round trip to the store
# (4 ms and the time for parts of 4 KB on a link of 5 Mbit/s).
CLAIM_SPREAD_S = 0.1


def run_grants(grant_manager: grant_state.GrantManager) -> None:
    """Renews the grants until `stopping` is set; runs in a thread."""
    known = -1
    while not grant_manager.stopping.is_set():
        began_s = grant_manager.now()
        try:
            renew_grants(grant_manager)
        except exceptions.WaxwingleverError as error:
            grant_manager.log("ranges-not-claimed", error=error.message)
            # All that have failed will see the change that was first together.
            grant_manager.stopping.wait(random.uniform(0, CLAIM_SPREAD_S))
        known = wait(grant_manager, known, began_s + RENEW_S)


def wait(
    grant_manager: grant_state.GrantManager, known: int, until_s: float
) -> int:
    """Waits for a change of the replica, at most until a time.

    Args:
      grant_manager: State of the grants.
      known: Revision of the replica that the caller has seen.
      until_s: End of the wait.

    Returns:
      The revision of the replica after the wait.
    """
    replica = grant_manager.fleet.replica
    with replica.condition:
        replica.condition.wait_for(
            lambda: replica.revision != known
            or grant_manager.stopping.is_set(),
            max(0.01, until_s - grant_manager.now()),
        )
        return replica.revision


def usable_table(
    grant_manager: grant_state.GrantManager,
) -> tables.OwnershipTable | None:
    """Returns the ownership table, or None when it must not be used.

    It must not be used while the session is invalid, when the replica is older
    than the session's entry, or when the two belong to different eras of the
    store.
    """
    session = grant_manager.session
    if grant_manager.fleet.replica.version < session.min_record_version:
        return None
    if sessions.valid_until_s(session) <= grant_manager.now():
        return None
    table = fleet_view.ownership_table(
        grant_manager.fleet, grant_manager.service
    )
    if table is not None and table.era != session.lease.era:
        return None
    return table


def current_ranges(
    grant_manager: grant_state.GrantManager, table: tables.OwnershipTable
) -> tuple[tables.Range, ...]:
    """Returns the ranges that this node owns by up-to-date records."""
    return tuple(
        item
        for item in tables.owned_ranges(table, grant_manager.name)
        if tables.is_current(item, table.era)
    )


def renew_grants(grant_manager: grant_state.GrantManager) -> None:
    """Grants or renews the ranges of this node that should not move.

    While the table can't be used or lacks up-to-date records after a restore of
    the store, the ranges that are held are renewed as long as they are valid.

    Raises:
      Conflict: The ownership table changed while ranges were claimed.
      StoreUnavailable: The store did not answer a claim.
    """
    with grant_manager.send_lock:
        member = grant_manager.session.member
        reset_on_restart(grant_manager, member.instance)
        if not member.instance or member.state == fleet_view.DOWN:
            return
        table = usable_table(grant_manager)
        owned = ()
        if table is not None:
            owned = current_ranges(grant_manager, table)
            sync_ranges(grant_manager, table)
            if any(item.instance != member.instance for item in owned):
                claims.claim_ranges(grant_manager, table, member.instance)
                return
        held = grant_state.ranges_held_since_restore(grant_manager)
        with grant_manager.lock:
            if table is not None:
                forget_fences(grant_manager, (*owned, *held))
                # A range whose move was cancelled is granted again, unless the
                # record of its move was lost in a restore of the store.
                grant_manager.releasing &= (
                    {item.fence for item in owned if item.to_node}
                    | grant_manager.handing_over
                    | {
                        fence
                        for fence, item in grant_manager.ranges.items()
                        if not tables.is_current(item, table.era)
                    }
                )
            staying = [
                item
                for item in (*owned, *held)
                if not item.to_node
                and item.fence not in grant_manager.releasing
            ]
        used_up = {
            item.fence for item in staying if is_used_up(grant_manager, item)
        }
        if table is not None and any(item.fence in used_up for item in owned):
            claims.claim_ranges(grant_manager, table, member.instance, used_up)
            return
        due = [
            item
            for item in staying
            if item.fence not in used_up and is_due(grant_manager, item)
        ]
        list(
            grant_manager.executor.map(
                lambda item: grant(grant_manager, item), due
            )
        )


def is_due(grant_manager: grant_state.GrantManager, item: tables.Range) -> bool:
    """Returns whether a range should be granted or renewed now.

    That is also the case if the process that got the last grant can't be
    reached any more: another one may hold nothing.
    """
    due_s = grant_manager.now() + RENEW_BELOW_S
    with grant_manager.lock:
        use = grant_manager.fence_uses.get(item.fence)
        if (
            use is None
            or grant_manager.ranges.get(item.fence) != item
            or grant_manager.grant_end_s[item.fence] < due_s
        ):
            return True
    return not grant_manager.grant_calls.is_connected(use.process)


def is_used_up(
    grant_manager: grant_state.GrantManager, item: tables.Range
) -> bool:
    """Returns whether a fence has no token for another process."""
    with grant_manager.lock:
        use = grant_manager.fence_uses.get(item.fence)
    return use is not None and use.index >= tables.TOKENS_PER_FENCE - 1


def use_token(
    grant_manager: grant_state.GrantManager, item: tables.Range, process: int
) -> int:
    """Returns the fencing token of a range for a process that is granted it.

    A process gets the token of its last grant again, unless another one got a
    grant since; then it gets the next one. So no process has a shard by a token
    that another one had, or by a lower one. The fence itself was never granted
    before this run of the daemon, as that claims its ranges anew.
    """
    with grant_manager.lock:
        use = grant_manager.fence_uses.get(item.fence)
        if use is None:
            use = grant_state.FenceUse(0, process)
        elif use.process != process:
            use = grant_state.FenceUse(use.index + 1, process)
            grant_manager.log(
                "fencing-token-raised",
                fence=item.fence,
                index=use.index,
                process=process,
            )
        grant_manager.fence_uses[item.fence] = use
    return tables.fencing_token(item, use.index)


def newest_token(
    grant_manager: grant_state.GrantManager, item: tables.Range
) -> int:
    """Returns the highest token under which a range was granted, if it was."""
    with grant_manager.lock:
        use = grant_manager.fence_uses.get(item.fence)
    return tables.fencing_token(item, use.index if use is not None else 0)


def newest_process(
    grant_manager: grant_state.GrantManager, item: tables.Range
) -> int:
    """Returns the number of the process that got a range last, or 0."""
    with grant_manager.lock:
        use = grant_manager.fence_uses.get(item.fence)
    return 0 if use is None else use.process


def forget_fences(
    grant_manager: grant_state.GrantManager, current: Collection[tables.Range]
) -> None:
    """Forgets fences that won't be granted any more; requires the lock."""
    kept = {item.fence for item in current} | set(grant_manager.ranges)
    for fence in set(grant_manager.fence_uses) - kept:
        del grant_manager.fence_uses[fence]


def reset_on_restart(
    grant_manager: grant_state.GrantManager, instance: str
) -> None:
    """Discards all grants when the backend server has been restarted.

    The hold book stays: the new run may have got grants before it was heard,
    and one without an answer may still reach it.
    """
    with grant_manager.lock:
        if grant_manager.instance != instance:
            grant_manager.instance = instance
            grant_manager.grant_end_s.clear()
            grant_manager.ranges.clear()
            grant_manager.releasing.clear()
            grant_manager.handing_over.clear()


def sync_ranges(
    grant_manager: grant_state.GrantManager, table: tables.OwnershipTable
) -> None:
    """Updates the held ranges to those that this node owns.

    A range that was split keeps its fence for one of the pieces. A range that
    is held since before a restore of the store stays until the table has an
    up-to-date record of its shards.
    """
    known = {item.fence: item for item in current_ranges(grant_manager, table)}
    with grant_manager.lock:
        grant_manager.handing_over &= set(known)
        for fence, item in list(grant_manager.ranges.items()):
            if fence in known:
                grant_manager.ranges[fence] = known[fence]
            elif tables.is_current(item, table.era) or any(
                tables.is_current(other, table.era)
                for other in tables.overlapping_ranges(table, item)
            ):
                del grant_manager.ranges[fence]
                del grant_manager.grant_end_s[fence]


def grant(grant_manager: grant_state.GrantManager, item: tables.Range) -> None:
    """Grants or renews one range; failures are logged."""
    sent_s = grant_manager.now()
    valid_s = valid_until_s(grant_manager, item) - sent_s
    hold_s = valid_s / CLOCK_FACTOR - DELIVERY_S
    if hold_s < MIN_HOLD_S:
        return
    book = grant_manager.hold_book
    with grant_manager.lock:
        holds.forget_ended(book, sent_s)
        sent = holds.record_sent(
            book, item.first, item.last, sent_s + CALL_TIMEOUT_S + valid_s
        )
    try:
        grant_manager.grant_calls.grant(
            item,
            hold_s,
            CALL_TIMEOUT_S,
            newest_process(grant_manager, item),
            lambda process: use_token(grant_manager, item, process),
        )
    except grant_state.NotSent as error:
        grant_manager.log(
            "grant-not-sent", fence=item.fence, error=error.message
        )
        with grant_manager.lock:
            holds.withdraw(book, sent)
        return
    except grant_state.FenceTooLow as error:
        # The answer may be a copy of an earlier one, so the hold stays.
        grant_manager.log(
            "grant-refused", fence=item.fence, error=error.message
        )
        return
    except exceptions.WaxwingleverError as error:
        grant_manager.log(
            "grant-unanswered",
            fence=item.fence,
            first=item.first,
            last=item.last,
            may_hold_s=round(sent.end_s - grant_manager.now(), 3),
            error=error.message,
        )
        return
    with grant_manager.lock:
        # The time of a grant runs from its arrival, before its answer.
        end_s = grant_manager.now() + hold_s * CLOCK_FACTOR
        holds.record_answer(book, sent, end_s)
        if grant_manager.instance == item.instance:
            if item.fence not in grant_manager.grant_end_s:
                grant_manager.log(
                    "range-held",
                    first=item.first,
                    last=item.last,
                    fence=item.fence,
                    hold_s=round(hold_s, 3),
                )
            grant_manager.grant_end_s[item.fence] = sent_s + hold_s
            grant_manager.ranges[item.fence] = item


def valid_until_s(
    grant_manager: grant_state.GrantManager, item: tables.Range
) -> float:
    """Returns the time until which the node may hold a range."""
    session = grant_manager.session
    if tables.is_current(item, grant_manager.store.era()):
        return sessions.valid_until_s(session)
    return sessions.outdated_valid_until_s(session, item.era)
