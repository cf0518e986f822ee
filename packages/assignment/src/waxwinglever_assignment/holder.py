"""Grants of owned ranges to the backend server of this node.

Every grant ends before the session's validity does, so that no grant is in
force when the planner assigns the range to another node.
"""

import threading
from collections.abc import Callable, Mapping
from concurrent import futures

import attrs

from waxwinglever_assignment import commits
from waxwinglever_assignment import fleet as fleets
from waxwinglever_assignment import sessions
from waxwinglever_assignment import tables
from waxwinglever_model import clock
from waxwinglever_model import exceptions
from waxwinglever_store import leased

# Interval between checks for grants that are due; a renewal without an answer
# is repeated then.
RENEW_S = 0.5
# A grant is renewed when less than this is left, which leaves time to repeat
# the renewal once. Renewing at every check took a third of the processor time
# of an idle daemon.
RENEW_BELOW_S = 1.25
# The clock of a backend server may run 2% slow.
CLOCK_FACTOR = 1.02
# Allowance for the delivery of a grant.
DELIVERY_S = 0.05
# Grants shorter than this are not sent.
MIN_HOLD_S = 0.3
CALL_TIMEOUT_S = 0.4
# The backend server answers a release when all requests for the keys have
# ended.
RELEASE_TIMEOUT_S = 1.5
# Ranges are handed over only if the last confirmation of the session is at most
# this old.
MAX_CONFIRMATION_AGE_S = 1.2
# Concurrent calls to the backend server; one without an answer must not delay
# the renewal of all other ranges.
CALL_THREADS = 4


class FenceTooLow(exceptions.WaxwingleverError):
    """The backend server has seen a higher fence for one of the shards."""

    kind = "fence-too-low"


@attrs.frozen
class Orders:
    """Calls to the backend server; each raises BackendUnavailable.

    Attributes:
      grant: Takes a range, the seconds to hold it and the timeout of the call.
        Raises FenceTooLow.
      release: Takes a range and the timeout of the call; returns the handover
        token.
    """

    grant: Callable[[tables.Range, float, float], None]
    release: Callable[[tables.Range, float], str]


@attrs.define(eq=False)
class Holder:
    """The ranges that the backend server holds.

    Attributes:
      name: Name of this node.
      service: Name of the service of the backend server.
      fleet: View of all members and ownership tables.
      session: The session of this node.
      store: The store.
      orders: Calls to the backend server.
      log: Called with an event name and fields.
      now: Returns the time in seconds.
      held: When the grant of each range ends on this node's clock, by fence.
      ranges: The ranges of `held`, by fence.
      releasing: Fences of ranges that are released or being released.
      latest_end_s: Latest end of any grant that was sent.
      instance: Id of the run of the backend server that the grants went to.
      unanswered: Latest end of each grant without an answer, by its first and
        last shard.
      lock: Held while the fields above are read or changed.
      send_lock: Held while renewals are sent.
      callers: Threads that call the backend server.
      stopping: Stops the threads.
    """

    name: str
    service: str
    fleet: fleets.Fleet
    session: sessions.Session
    store: leased.LeasedStoreClient
    orders: Orders
    log: Callable[..., None]
    now: Callable[[], float] = clock.boottime_s
    held: dict[int, float] = attrs.field(factory=dict)
    ranges: dict[int, tables.Range] = attrs.field(factory=dict)
    releasing: set[int] = attrs.Factory(set)
    # The previous run of the daemon may have granted ranges just before.
    latest_end_s: float = attrs.Factory(
        lambda self: self.now() + sessions.TAKEOVER_WAIT_S, takes_self=True
    )
    instance: str = ""
    unanswered: dict[tuple[int, int], float] = attrs.Factory(dict)
    lock: threading.Lock = attrs.Factory(threading.Lock)
    send_lock: threading.Lock = attrs.Factory(threading.Lock)
    callers: futures.ThreadPoolExecutor = attrs.Factory(
        lambda: futures.ThreadPoolExecutor(CALL_THREADS, "grants")
    )
    stopping: threading.Event = attrs.Factory(threading.Event)


def fence_for(holder: Holder, shard: int) -> int | None:
    """Returns the fence under which the backend server holds a shard, or None.

    Only grants that the backend server has acknowledged count.
    """
    now_s = holder.now()
    with holder.lock:
        for fence, item in holder.ranges.items():
            if item.first <= shard <= item.last:
                if holder.held[fence] > now_s and fence not in holder.releasing:
                    return fence
    return None


def run_grants(holder: Holder) -> None:
    """Renews the grants until `stopping` is set; runs in a thread."""
    known = -1
    while not holder.stopping.is_set():
        began_s = holder.now()
        try:
            renew(holder)
        except exceptions.WaxwingleverError as error:
            holder.log("ranges-not-claimed", error=error.message)
        known = wait(holder, known, began_s + RENEW_S)


def run_handovers(holder: Holder) -> None:
    """Hands over ranges until `stopping` is set; runs in a thread."""
    known = -1
    while not holder.stopping.is_set():
        began_s = holder.now()
        try:
            hand_over(holder)
        except exceptions.WaxwingleverError as error:
            holder.log("ranges-not-handed-over", error=error.message)
        known = wait(holder, known, began_s + RENEW_S)


def wait(holder: Holder, known: int, until_s: float) -> int:
    """Waits for a change of the replica, at most until a time.

    Args:
      holder: The ranges that the backend server holds.
      known: Change count of the replica that the caller has seen.
      until_s: End of the wait.

    Returns:
      The change count of the replica after the wait.
    """
    replica = holder.fleet.replica
    with replica.condition:
        replica.condition.wait_for(
            lambda: replica.changed != known or holder.stopping.is_set(),
            max(0.01, until_s - holder.now()),
        )
        return replica.changed


def usable_table(holder: Holder) -> tables.Table | None:
    """Returns the ownership table, or None when it must not be acted on.

    It must not while the session is invalid, or when the replica is older than
    the session's entry.
    """
    if holder.fleet.replica.version < holder.session.min_record_version:
        return None
    if sessions.valid_until_s(holder.session) <= holder.now():
        return None
    return fleets.table(holder.fleet, holder.service)


def renew(holder: Holder) -> None:
    """Grants or renews the ranges of this node that should not move.

    Raises:
      Conflict: The ownership table changed while ranges were claimed.
      StoreUnavailable: The store did not answer a claim.
    """
    with holder.send_lock:
        member = holder.session.member
        reset_on_restart(holder, member.instance)
        table = usable_table(holder)
        if table is None or not member.instance or member.state == fleets.DOWN:
            return
        owned = tables.owned_ranges(table, holder.name)
        sync_ranges(holder, owned)
        if any(item.instance != member.instance for item in owned):
            claim_ranges(holder, table, member.instance)
            return
        with holder.lock:
            # A range whose move was cancelled is granted again.
            holder.releasing &= {item.fence for item in owned if item.to_node}
            due_s = holder.now() + RENEW_BELOW_S
            due = [
                item
                for item in owned
                if not item.to_node
                and item.fence not in holder.releasing
                and (
                    holder.ranges.get(item.fence) != item
                    or holder.held[item.fence] < due_s
                )
            ]
        list(holder.callers.map(lambda item: grant(holder, item), due))


def reset_on_restart(holder: Holder, instance: str) -> None:
    """Discards all grants when the backend server has been restarted."""
    with holder.lock:
        if holder.instance != instance:
            holder.instance = instance
            holder.held.clear()
            holder.ranges.clear()
            holder.releasing.clear()
            holder.unanswered.clear()


def sync_ranges(holder: Holder, owned: tuple[tables.Range, ...]) -> None:
    """Updates the held ranges to those that this node owns.

    A range that was split keeps its fence for one of the pieces.
    """
    known = {item.fence: item for item in owned}
    with holder.lock:
        for fence in list(holder.ranges):
            if fence in known:
                holder.ranges[fence] = known[fence]
            else:
                del holder.ranges[fence]
                del holder.held[fence]


def claim_ranges(holder: Holder, table: tables.Table, instance: str) -> None:
    """Takes over this node's ranges for the current run of its backend server.

    The previous run held them under its own fences and has ended.

    Raises:
      Conflict: Other nodes changed the table at each attempt.
      StoreUnavailable: The store did not answer.
    """

    def claimed(current: tables.Table) -> tables.Table:
        changes = {
            item.fence: {"instance": instance, "handover": "", "to_node": ""}
            for item in tables.owned_ranges(current, holder.name)
            if item.instance != instance
        }
        return tables.update_ranges(current, changes)

    commits.update(holder.store, table, claimed)
    holder.log("ranges-claimed", instance=instance)


def grant(holder: Holder, item: tables.Range) -> None:
    """Grants or renews one range; failures are logged."""
    sent_s = holder.now()
    valid_s = sessions.valid_until_s(holder.session) - sent_s
    hold_s = valid_s / CLOCK_FACTOR - DELIVERY_S
    if hold_s < MIN_HOLD_S:
        return
    holder.latest_end_s = max(holder.latest_end_s, sent_s + valid_s)
    try:
        holder.orders.grant(item, hold_s, CALL_TIMEOUT_S)
    except FenceTooLow as error:
        holder.log("grant-refused", fence=item.fence, error=error.message)
        return
    except exceptions.WaxwingleverError as error:
        holder.log("grant-unanswered", fence=item.fence, error=error.message)
        with holder.lock:
            holder.unanswered[item.first, item.last] = sent_s + valid_s
        return
    with holder.lock:
        if holder.instance == item.instance:
            if item.fence not in holder.held:
                holder.log(
                    "range-held",
                    first=item.first,
                    last=item.last,
                    fence=item.fence,
                    hold_s=round(hold_s, 3),
                )
            holder.held[item.fence] = sent_s + hold_s
            holder.ranges[item.fence] = item


def hand_over(holder: Holder) -> None:
    """Releases the ranges that should move and assigns them to the new owners.

    Raises:
      Conflict: Other nodes changed the table at each attempt.
      StoreUnavailable: The store did not answer.
    """
    member = holder.session.member
    table = usable_table(holder)
    if table is None:
        return
    moving = [
        item for item in tables.owned_ranges(table, holder.name) if item.to_node
    ]
    if (
        not moving
        or holder.now() - holder.session.confirmed_s > MAX_CONFIRMATION_AGE_S
    ):
        # While the store is unavailable, a released range could not be assigned
        # to its new owner and would have no holder.
        return
    sync_ranges(holder, tables.owned_ranges(table, holder.name))
    with holder.lock:
        holder.releasing |= {item.fence for item in moving}
    with holder.send_lock:
        # Wait for renewals that are being sent, as they must not arrive after
        # the release. Later ones skip the ranges in `releasing`.
        pass
    unreachable = member.state in (fleets.DOWN, fleets.STARTING)
    if unreachable or moving[0].instance != member.instance:
        # The backend server can't be asked for a release, so wait until all
        # grants have expired.
        if holder.now() < holder.latest_end_s:
            return
        tokens = {item.fence: "" for item in moving}
    else:
        tokens = release(holder, moving)
    reassign(holder, tokens)


def release(holder: Holder, moving: list[tables.Range]) -> dict[int, str]:
    """Releases ranges and returns their handover tokens, by fence.

    A range whose release is not answered counts as released, with an empty
    token, when its last grant has expired.
    """

    def release_range(item: tables.Range) -> tuple[int, str | None]:
        try:
            return item.fence, holder.orders.release(item, RELEASE_TIMEOUT_S)
        except exceptions.WaxwingleverError as error:
            holder.log(
                "release-unanswered", fence=item.fence, error=error.message
            )
            with holder.lock:
                end_s = holder.held.get(item.fence, float("-inf"))
            ended = holder.now() >= end_s + max_overrun_s()
            return item.fence, "" if ended else None

    tokens = dict(holder.callers.map(release_range, moving))
    return {
        item.fence: tokens[item.fence]
        for item in moving
        if tokens[item.fence] is not None and not may_be_granted(holder, item)
    }


def may_be_granted(holder: Holder, item: tables.Range) -> bool:
    """Returns whether an unanswered grant of a range may still take effect."""
    now_s = holder.now()
    with holder.lock:
        for key in [k for k, end in holder.unanswered.items() if end <= now_s]:
            del holder.unanswered[key]
        return any(
            first <= item.last and item.first <= last
            for first, last in holder.unanswered
        )


def max_overrun_s() -> float:
    """Returns by how much a grant may outlast its end on this node's clock."""
    return (
        sessions.CONFIRMATION_VALID_S * (CLOCK_FACTOR - 1)
        + CALL_TIMEOUT_S
        + DELIVERY_S
    )


def reassign(holder: Holder, tokens: Mapping[int, str]) -> None:
    """Writes the new owners of released ranges to the ownership table.

    Args:
      holder: The ranges that the backend server holds.
      tokens: Handover tokens of the released ranges, by fence.

    Raises:
      Conflict: Other nodes changed the table at each attempt.
      StoreUnavailable: The store did not answer.
    """
    table = usable_table(holder)
    if table is None or not tokens:
        return

    def reassigned(current: tables.Table) -> tables.Table:
        return tables.update_ranges(
            current, reassignments(holder, current, tokens)
        )

    commits.update(holder.store, table, reassigned)
    holder.log("ranges-handed-over", fences=sorted(tokens))


def reassignments(
    holder: Holder, table: tables.Table, tokens: Mapping[int, str]
) -> dict[int, dict[str, object]]:
    """Returns the changes that assign released ranges, by fence.

    A range whose next owner has no entry is left out.
    """
    changes = {}
    for item in tables.owned_ranges(table, holder.name):
        if item.fence not in tokens or not item.to_node:
            continue
        target = fleets.member(holder.fleet, item.to_node)
        if target is None:
            continue
        changes[item.fence] = {
            "node": target.name,
            "instance": target.instance,
            "handover": tokens[item.fence],
            "to_node": tables.NO_OWNER,
        }
    return changes
