"""The owner's side: grants to the backend server beside this daemon.

A range is granted for as long as the session is valid and no longer, so that
no grant is in force when the planner gives the range to another node.
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

# Grants are looked at this often; a renewal without an answer is repeated then.
RENEW_S = 0.5
# A grant is renewed when less than this is left, so that there is time to
# repeat the renewal once. Renewing each time took a third of the processor
# time of an idle daemon.
RENEW_BELOW_S = 1.25
# A backend server's clock may run 2% slow.
CLOCK_FACTOR = 1.02
# Time that a grant may need to its arrival.
ARRIVAL_S = 0.05
# Shorter grants are not worth a call.
LEAST_HOLD_S = 0.3
CALL_TIMEOUT_S = 0.4
# A release is answered when the work on its keys has ended.
RELEASE_TIMEOUT_S = 1.5
# Ranges are handed over only when the store has confirmed the session within
# this time.
IN_TOUCH_S = 1.2
# Calls to the backend server at a time; one without an answer must not delay
# the renewal of all other ranges.
CALLERS = 4


class FenceTooLow(exceptions.WaxwingleverError):
    """The backend server has seen a higher fence on one of the keys."""

    kind = "fence-too-low"


@attrs.frozen
class Orders:
    """Calls to the backend server; each raises BackendUnavailable.

    Attributes:
      grant: Takes a range, seconds to hold it and the time limit of the call.
        Raises FenceTooLow.
      release: Takes a range and the time limit of the call; returns the
        handover token.
    """

    grant: Callable[[tables.Range, float, float], None]
    release: Callable[[tables.Range, float], str]


@attrs.define(eq=False)
class Holder:
    """The ranges that the backend server holds.

    Attributes:
      name: Name of this node.
      service: Its service.
      fleet: What is known of the others.
      session: The session of this node.
      store: The store.
      orders: Calls to the backend server.
      log: Called with an event name and fields.
      held: Until when each range is held, by fence, on this node's clock.
      ranges: The ranges of `held`, by fence.
      leaving: Fences of ranges that are released or being released.
      latest_end_s: When the last grant that was sent ends at the latest.
      instance: Life of the backend server that the grants went to.
      unanswered: First and last shard of grants without an answer, and when
        they end at the latest.
      sending: Held while renewals are sent.
      callers: Threads that call the backend server.
      stopping: Ends the threads.
    """

    name: str
    service: str
    fleet: fleets.Fleet
    session: sessions.Session
    store: leased.LeasedStore
    orders: Orders
    log: Callable[..., None]
    now: Callable[[], float] = clock.boottime_s
    held: dict[int, float] = attrs.field(factory=dict)
    ranges: dict[int, tables.Range] = attrs.field(factory=dict)
    leaving: set[int] = attrs.Factory(set)
    # An earlier life of the daemon may have granted ranges just before.
    latest_end_s: float = attrs.Factory(
        lambda self: self.now() + sessions.TAKEOVER_WAIT_S, takes_self=True
    )
    instance: str = ""
    unanswered: dict[tuple[int, int], float] = attrs.Factory(dict)
    lock: threading.Lock = attrs.Factory(threading.Lock)
    sending: threading.Lock = attrs.Factory(threading.Lock)
    callers: futures.ThreadPoolExecutor = attrs.Factory(
        lambda: futures.ThreadPoolExecutor(CALLERS, "grants")
    )
    stopping: threading.Event = attrs.Factory(threading.Event)


def fence_for(holder: Holder, shard: int) -> int | None:
    """Returns the fence under which a shard is held now, or None.

    Only what the backend server has acknowledged counts.
    """
    now_s = holder.now()
    with holder.lock:
        for fence, item in holder.ranges.items():
            if item.first <= shard <= item.last:
                if holder.held[fence] > now_s and fence not in holder.leaving:
                    return fence
    return None


def run_grants(holder: Holder) -> None:
    """Renews the grants; one thread's task."""
    known = -1
    while not holder.stopping.is_set():
        began_s = holder.now()
        try:
            renew(holder)
        except exceptions.WaxwingleverError as error:
            holder.log("ranges-not-claimed", error=error.message)
        known = wait(holder, known, began_s + RENEW_S)


def run_handovers(holder: Holder) -> None:
    """Hands over the ranges that should move; one thread's task."""
    known = -1
    while not holder.stopping.is_set():
        began_s = holder.now()
        try:
            hand_over(holder)
        except exceptions.WaxwingleverError as error:
            holder.log("ranges-not-handed-over", error=error.message)
        known = wait(holder, known, began_s + RENEW_S)


def wait(holder: Holder, known: int, until_s: float) -> int:
    """Waits for a change of the fleet, at most until a time."""
    replica = holder.fleet.replica
    with replica.moved:
        replica.moved.wait_for(
            lambda: replica.changed != known or holder.stopping.is_set(),
            max(0.01, until_s - holder.now()),
        )
        return replica.changed


def my_table(holder: Holder) -> tables.Table | None:
    """Returns the ownership record when it is fit to act on."""
    if holder.fleet.replica.version < holder.session.min_record_version:
        return None
    if sessions.valid_until_s(holder.session) <= holder.now():
        return None
    return fleets.table(holder.fleet, holder.service)


def renew(holder: Holder) -> None:
    """Grants all ranges of this node that stay here."""
    with holder.sending:
        me = holder.session.member
        notice_life(holder, me.instance)
        table = my_table(holder)
        if table is None or not me.instance or me.state == fleets.DOWN:
            return
        mine = tables.owned_ranges(table, holder.name)
        align(holder, mine)
        if any(item.instance != me.instance for item in mine):
            claim(holder, table, me.instance)
            return
        with holder.lock:
            # A range that was kept after all is granted again.
            holder.leaving &= {item.fence for item in mine if item.to_node}
            due_s = holder.now() + RENEW_BELOW_S
            due = [
                item
                for item in mine
                if not item.to_node
                and item.fence not in holder.leaving
                and (
                    holder.ranges.get(item.fence) != item
                    or holder.held[item.fence] < due_s
                )
            ]
        list(holder.callers.map(lambda item: grant(holder, item), due))


def notice_life(holder: Holder, instance: str) -> None:
    """Forgets what an earlier life of the backend server held."""
    with holder.lock:
        if holder.instance != instance:
            holder.instance = instance
            holder.held.clear()
            holder.ranges.clear()
            holder.leaving.clear()
            holder.unanswered.clear()


def align(holder: Holder, mine: tuple[tables.Range, ...]) -> None:
    """Forgets shards that the record gives to others by now.

    A range that was cut keeps its fence for one of its parts.
    """
    known = {item.fence: item for item in mine}
    with holder.lock:
        for fence in list(holder.ranges):
            if fence in known:
                holder.ranges[fence] = known[fence]
            else:
                del holder.ranges[fence]
                del holder.held[fence]


def claim(holder: Holder, table: tables.Table, instance: str) -> None:
    """Takes this node's ranges over for a new life of its backend server.

    The earlier life held them under its own fence and has ended.
    """

    def taken(current: tables.Table) -> tables.Table:
        changes = {
            item.fence: {"instance": instance, "handover": "", "to_node": ""}
            for item in tables.owned_ranges(current, holder.name)
            if item.instance != instance
        }
        return tables.replace(current, changes)

    commits.update(holder.store, table, taken)
    holder.log("ranges-claimed", instance=instance)


def grant(holder: Holder, item: tables.Range) -> None:
    """Grants or renews one range."""
    sent_s = holder.now()
    valid_s = sessions.valid_until_s(holder.session) - sent_s
    hold_s = valid_s / CLOCK_FACTOR - ARRIVAL_S
    if hold_s < LEAST_HOLD_S:
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
    """Releases the ranges that should move and passes them on."""
    me = holder.session.member
    table = my_table(holder)
    if table is None:
        return
    moving = [
        item for item in tables.owned_ranges(table, holder.name) if item.to_node
    ]
    if not moving or holder.now() - holder.session.confirmed_s > IN_TOUCH_S:
        # What is released while the store is away can't be passed on.
        return
    align(holder, tables.owned_ranges(table, holder.name))
    with holder.lock:
        holder.leaving |= {item.fence for item in moving}
    with holder.sending:
        # A renewal that is being sent must not arrive after the release; the
        # next ones leave these ranges out.
        pass
    unknown = me.state in (fleets.DOWN, fleets.STARTING)
    if unknown or moving[0].instance != me.instance:
        # Nothing can be released; what was granted must run out.
        if holder.now() < holder.latest_end_s:
            return
        tokens = {item.fence: "" for item in moving}
    else:
        tokens = release(holder, moving)
    pass_on(holder, tokens)


def release(holder: Holder, moving: list[tables.Range]) -> dict[int, str]:
    """Returns the handover tokens of released ranges, by fence.

    A range whose release is not answered counts as released when its last
    grant has run out.
    """

    def one(item: tables.Range) -> tuple[int, str | None]:
        try:
            return item.fence, holder.orders.release(item, RELEASE_TIMEOUT_S)
        except exceptions.WaxwingleverError as error:
            holder.log(
                "release-unanswered", fence=item.fence, error=error.message
            )
            with holder.lock:
                end_s = holder.held.get(item.fence, float("-inf"))
            ended = holder.now() >= end_s + margin_s()
            return item.fence, "" if ended else None

    found = dict(holder.callers.map(one, moving))
    return {
        item.fence: found[item.fence]
        for item in moving
        if found[item.fence] is not None and not may_be_granted(holder, item)
    }


def may_be_granted(holder: Holder, item: tables.Range) -> bool:
    """Returns whether a grant without an answer may still come into force."""
    now_s = holder.now()
    with holder.lock:
        for key in [k for k, end in holder.unanswered.items() if end <= now_s]:
            del holder.unanswered[key]
        return any(
            first <= item.last and item.first <= last
            for first, last in holder.unanswered
        )


def margin_s() -> float:
    """Returns by how much a grant may outlast its time on our clock."""
    return sessions.VALID_S * (CLOCK_FACTOR - 1) + CALL_TIMEOUT_S + ARRIVAL_S


def pass_on(holder: Holder, tokens: Mapping[int, str]) -> None:
    """Writes the new owners of released ranges into the record."""
    table = my_table(holder)
    if table is None or not tokens:
        return

    def passed(current: tables.Table) -> tables.Table:
        return tables.replace(current, new_owners(holder, current, tokens))

    commits.update(holder.store, table, passed)
    holder.log("ranges-handed-over", fences=sorted(tokens))


def new_owners(
    holder: Holder, table: tables.Table, tokens: Mapping[int, str]
) -> dict[int, dict[str, object]]:
    """Returns the changes that give released ranges to their next owners."""
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
            "to_node": tables.NOBODY,
        }
    return changes
