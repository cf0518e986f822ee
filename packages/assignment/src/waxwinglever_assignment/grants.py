"""Grants of owned ranges to the backend server of this node.

Every grant ends before the session's validity does, so that no grant is in
force when the planner assigns the range to another node.
"""

import random
import threading
from collections.abc import Callable, Collection, Mapping
from concurrent import futures

import attrs

from waxwinglever_assignment import commits
from waxwinglever_assignment import fleet_view
from waxwinglever_assignment import holds
from waxwinglever_assignment import sessions
from waxwinglever_assignment import tables
from waxwinglever_model import clock
from waxwinglever_model import exceptions
from waxwinglever_store import leased

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
# Concurrent calls to the backend server; an unanswered one must not delay the
# renewal of all other ranges.
CALL_THREADS = 4


class FenceTooLow(exceptions.WaxwingleverError):
    """The backend server has seen a higher fence for one of the shards."""

    kind = "fence-too-low"


class NotSent(exceptions.BackendUnavailable):
    """No connection reaches the process that a call is meant for."""


@attrs.frozen
class GrantCalls:
    """Calls to the backend server; each raises BackendUnavailable.

    Attributes:
      connect: Returns the number of the process of the backend server that
        grants reach, which rises whenever it can't be shown to be the same one.
      add_connection: Prepares for a number of grants at the same time.
      grant: Grants a range; called with the range, the seconds to hold it, the
        timeout of the call and the number of the process that it is meant for.
        Raises FenceTooLow, or NotSent if that process can't be reached.
      release: Releases a range; called with the range and the timeout of the
        call. Returns the handover token.
    """

    connect: Callable[[], int]
    add_connection: Callable[[int], None]
    grant: Callable[[tables.Range, float, float, int], None]
    release: Callable[[tables.Range, float], str]


@attrs.frozen
class FenceUse:
    """The processes of the backend server that were granted a fence.

    Attributes:
      first: Number of the first one, which has the lowest token.
      newest: Number of the last one.
    """

    first: int
    newest: int


@attrs.frozen
class Restart:
    """A backend server that runs anew.

    Attributes:
      instance: Its current run.
      earlier: Runs that the ownership table names for its ranges.
    """

    instance: str
    earlier: frozenset[str]


@attrs.define(eq=False)
class GrantManager:
    """State of the grants to the backend server of this node.

    Attributes:
      name: Name of this node.
      service: Name of the service of the backend server.
      fleet: View of all members and ownership tables.
      session: The session of this node.
      store: Client of the platform's store.
      grant_calls: Calls to the backend server.
      log: Called with an event name and fields.
      now: Returns the time in seconds.
      grant_end_s: When the grant of each range ends on this node's clock, by
        fence.
      ranges: The ranges of `grant_end_s`, by fence.
      releasing: Fences of ranges that are released or being released.
      handing_over: Fences of ranges that are being handed over, or were and are
        still this node's in its copy of the table. They stay in `releasing`
        even if the copy shows that their move was cancelled: a release that is
        answered already may still move them.
      hold_book: Until when the backend server may hold each shard.
      instance: Id of the run of the backend server that the grants went to.
      process: Number of the process of the backend server that was reached
        last.
      fence_uses: The processes that each fence was granted to.
      lock: Held while the fields above are read or changed.
      send_lock: Held while renewals are sent.
      executor: Threads that call the backend server.
      stopping: Set when the threads must end.
    """

    name: str
    service: str
    fleet: fleet_view.FleetView
    session: sessions.Session
    store: leased.LeasedStoreClient
    grant_calls: GrantCalls
    log: Callable[..., None]
    now: Callable[[], float] = clock.boottime_s
    grant_end_s: dict[int, float] = attrs.field(factory=dict)
    ranges: dict[int, tables.Range] = attrs.field(factory=dict)
    releasing: set[int] = attrs.Factory(set)
    handing_over: set[int] = attrs.Factory(set)
    # The previous run of the daemon may have granted ranges just before.
    hold_book: holds.HoldBook = attrs.Factory(
        lambda self: holds.earlier_run(self.now() + sessions.TAKEOVER_WAIT_S),
        takes_self=True,
    )
    instance: str = ""
    process: int = 0
    fence_uses: dict[int, FenceUse] = attrs.field(factory=dict)
    lock: threading.Lock = attrs.Factory(threading.Lock)
    send_lock: threading.Lock = attrs.Factory(threading.Lock)
    executor: futures.ThreadPoolExecutor = attrs.Factory(
        lambda: futures.ThreadPoolExecutor(CALL_THREADS, "grants")
    )
    stopping: threading.Event = attrs.Factory(threading.Event)


def held_fence(grant_manager: GrantManager, shard: int) -> int | None:
    """Returns the fence under which the backend server holds a shard, or None.

    Only grants that the backend server has acknowledged count.
    """
    now_s = grant_manager.now()
    with grant_manager.lock:
        for fence, item in grant_manager.ranges.items():
            if item.first <= shard <= item.last:
                if (
                    grant_manager.grant_end_s[fence] > now_s
                    and fence not in grant_manager.releasing
                ):
                    return fence
    return None


def may_be_held(grant_manager: GrantManager, first: int, last: int) -> bool:
    """Returns whether the backend server may still hold any of some shards.

    Unlike in `held_fence`, grants without an answer count, and so do those of
    the daemon's previous run.
    """
    with grant_manager.lock:
        end_s = holds.latest_end_s(grant_manager.hold_book, first, last)
    return end_s > grant_manager.now()


def holds_owned_ranges(grant_manager: GrantManager) -> bool:
    """Returns whether the backend server may hold ranges of this node."""
    table = fleet_view.ownership_table(
        grant_manager.fleet, grant_manager.service
    )
    return table is not None and any(
        may_be_held(grant_manager, item.first, item.last)
        for item in tables.owned_ranges(table, grant_manager.name)
    )


def ranges_held_since_restore(
    grant_manager: GrantManager,
) -> tuple[tables.Range, ...]:
    """Returns the held ranges whose record is older than the store's era.

    Nobody else can have got these ranges, as this node has held them since
    before the restore. The planner writes them to the table again.
    """
    era = grant_manager.store.era()
    now_s = grant_manager.now()
    with grant_manager.lock:
        return tuple(
            item
            for fence, item in grant_manager.ranges.items()
            if not tables.is_current(item, era)
            and fence not in grant_manager.releasing
            and grant_manager.grant_end_s[fence] > now_s
        )


def outdated_eras(grant_manager: GrantManager) -> set[int]:
    """Returns the earlier eras in which held ranges were recorded."""
    return {item.era for item in ranges_held_since_restore(grant_manager)}


def run_grants(grant_manager: GrantManager) -> None:
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


def wait(grant_manager: GrantManager, known: int, until_s: float) -> int:
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


def usable_table(grant_manager: GrantManager) -> tables.OwnershipTable | None:
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
    grant_manager: GrantManager, table: tables.OwnershipTable
) -> tuple[tables.Range, ...]:
    """Returns the ranges that this node owns by up-to-date records."""
    return tuple(
        item
        for item in tables.owned_ranges(table, grant_manager.name)
        if tables.is_current(item, table.era)
    )


def renew_grants(grant_manager: GrantManager) -> None:
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
                claim_ranges(grant_manager, table, member.instance)
                return
        held = ranges_held_since_restore(grant_manager)
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
        if not staying or not reach_process(grant_manager):
            return
        used_up = {
            item.fence
            for item in staying
            if next_token_index(grant_manager, item) >= tables.TOKENS_PER_FENCE
        }
        if table is not None and any(item.fence in used_up for item in owned):
            claim_ranges(grant_manager, table, member.instance, used_up)
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
    try:
        grant_manager.grant_calls.add_connection(len(due))
    except exceptions.BackendUnavailable as error:
        grant_manager.log("grants-not-sent", error=error.message)


def reach_process(grant_manager: GrantManager) -> bool:
    """Finds out which process of the backend server grants would reach.

    Returns:
      Whether there is one.
    """
    try:
        process = grant_manager.grant_calls.connect()
    except exceptions.BackendUnavailable as error:
        grant_manager.log("grants-not-sent", error=error.message)
        return False
    if process != grant_manager.process:
        grant_manager.log(
            "grants-reconnected",
            process=process,
            before=grant_manager.process,
            instance=grant_manager.instance,
        )
        grant_manager.process = process
    return True


def is_due(grant_manager: GrantManager, item: tables.Range) -> bool:
    """Returns whether a range should be granted or renewed now.

    A process other than the one that got the last grant may hold nothing.
    """
    due_s = grant_manager.now() + RENEW_BELOW_S
    with grant_manager.lock:
        use = grant_manager.fence_uses.get(item.fence)
        return (
            grant_manager.ranges.get(item.fence) != item
            or grant_manager.grant_end_s[item.fence] < due_s
            or use is None
            or use.newest != grant_manager.process
        )


def next_token_index(grant_manager: GrantManager, item: tables.Range) -> int:
    """Returns the number of the token of a range for the present process."""
    with grant_manager.lock:
        use = grant_manager.fence_uses.get(item.fence)
    return 0 if use is None else grant_manager.process - use.first


def use_fence(grant_manager: GrantManager, item: tables.Range) -> tables.Range:
    """Returns a range with its fencing token for the present process.

    The fence itself was never granted before this run of the daemon, as that
    claims its ranges anew. A process gets a token above those of all earlier
    ones, so that it never has a shard by a token that another one had.
    """
    process = grant_manager.process
    with grant_manager.lock:
        use = grant_manager.fence_uses.get(item.fence)
        first = process if use is None else use.first
        grant_manager.fence_uses[item.fence] = FenceUse(first, process)
    token = tables.fencing_token(item, process - first)
    return attrs.evolve(item, fence=token)


def newest_token(grant_manager: GrantManager, item: tables.Range) -> int:
    """Returns the highest token under which a range was granted, if it was."""
    with grant_manager.lock:
        use = grant_manager.fence_uses.get(item.fence, FenceUse(0, 0))
    return tables.fencing_token(item, use.newest - use.first)


def forget_fences(
    grant_manager: GrantManager, current: Collection[tables.Range]
) -> None:
    """Forgets fences that won't be granted any more; requires the lock."""
    kept = {item.fence for item in current} | set(grant_manager.ranges)
    for fence in set(grant_manager.fence_uses) - kept:
        del grant_manager.fence_uses[fence]


def reset_on_restart(grant_manager: GrantManager, instance: str) -> None:
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
    grant_manager: GrantManager, table: tables.OwnershipTable
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


def claim_ranges(
    grant_manager: GrantManager,
    table: tables.OwnershipTable,
    instance: str,
    used_up: Collection[int] = (),
) -> None:
    """Claims this node's ranges for the current run of its backend server.

    The previous run held them under its own fences and has ended. After a power
    failure many owners claim at the same time, each in most parts of the table,
    so that one of them succeeds at a time. It claims for the others as well.

    Args:
      grant_manager: State of the grants.
      table: The newest table that this node has.
      instance: The current run of the backend server.
      used_up: Fences of this node whose tokens are used up.

    Raises:
      Conflict: Other nodes changed the table at each attempt.
      StoreUnavailable: The store did not answer.
    """
    restarts = find_restarts(grant_manager, table)

    def claimed(current: tables.OwnershipTable) -> tables.OwnershipTable:
        changes = {}
        for item in current.ranges:
            if not tables.is_current(item, current.era):
                continue
            if item.node == grant_manager.name:
                is_new = item.instance != instance or item.fence in used_up
                run = instance if is_new else ""
            else:
                run = "" if item.to_node else find_run(restarts, item)
            if run:
                changes[item.fence] = {
                    "instance": run,
                    "handover": "",
                    "to_node": "",
                }
        return tables.update_ranges(current, changes)

    if commits.update(grant_manager.store, table, claimed):
        grant_manager.log(
            "ranges-claimed", instance=instance, others=sorted(restarts)
        )


def find_restarts(
    grant_manager: GrantManager, table: tables.OwnershipTable
) -> dict[str, Restart]:
    """Returns the other owners that must claim their ranges, by name.

    The entries are read after the table, so they are as new as it at least, and
    the runs that the table names are earlier ones.
    """
    recorded: dict[str, set[str]] = {}
    for item in table.ranges:
        recorded.setdefault(item.node, set()).add(item.instance)
    found = {}
    for member in fleet_view.list_members(grant_manager.fleet):
        earlier = recorded.get(member.name, set()) - {member.instance}
        if (
            earlier
            and member.name != grant_manager.name
            and member.service == grant_manager.service
            and member.instance
            and member.state != fleet_view.DOWN
        ):
            found[member.name] = Restart(member.instance, frozenset(earlier))
    return found


def find_run(restarts: Mapping[str, Restart], item: tables.Range) -> str:
    """Returns the run to claim a range for, or '' if it must not be claimed.

    A table that came with a conflict may be newer than the entries. Its record
    may name a run that is later than the one in the entry.
    """
    restart = restarts.get(item.node)
    if restart is None or item.instance not in restart.earlier:
        return ""
    return restart.instance


def grant(grant_manager: GrantManager, item: tables.Range) -> None:
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
            use_fence(grant_manager, item),
            hold_s,
            CALL_TIMEOUT_S,
            grant_manager.process,
        )
    except (FenceTooLow, NotSent) as error:
        event = "grant-not-sent"
        if isinstance(error, FenceTooLow):
            event = "grant-refused"
        grant_manager.log(event, fence=item.fence, error=error.message)
        with grant_manager.lock:
            holds.withdraw(book, sent)
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


def valid_until_s(grant_manager: GrantManager, item: tables.Range) -> float:
    """Returns the time until which the node may hold a range."""
    session = grant_manager.session
    if tables.is_current(item, grant_manager.store.era()):
        return sessions.valid_until_s(session)
    return sessions.outdated_valid_until_s(session, item.era)
