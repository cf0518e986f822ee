"""The planner: the one node that decides who should own what.

It holds a key of the store under its session's lease. Two planners at a time
do no harm, as the record changes by compare-and-swap.
"""

import threading
from collections.abc import Callable, Collection, Mapping, Sequence
from concurrent import futures

import attrs

from waxwinglever_assignment import commits
from waxwinglever_assignment import fleet as fleets
from waxwinglever_assignment import loads
from waxwinglever_assignment import planning
from waxwinglever_assignment import promises
from waxwinglever_assignment import sessions
from waxwinglever_assignment import tables
from waxwinglever_model import clock
from waxwinglever_model import exceptions
from waxwinglever_store import leased

PASS_S = 0.25
# A first table is made when no member has joined for this long, as its
# grants are free and later moves are not.
SETTLE_S = 1.0
# Ranges move for balance this often; the loads follow a move in about this
# time.
BALANCE_S = 0.8
# Loads are asked for this often.
REPORT_S = 0.3
# Time that a request holds a slot before any node has measured it.
FIRST_SERVICE_S = 0.15
# Share of its capacity that a backend server has in its cold start; on the
# platform's deployments it bears about 22 of 70 requests a second.
COLD_CAPACITY = 0.3
# Moves that are named in one log line.
LOGGED_MOVES = 8
# An owner counts as missing only while the planner itself is in touch.
IN_TOUCH_S = 1.2


@attrs.define(eq=False)
class Planner:
    """The state of the planner's task.

    Attributes:
      fleet: What is known of the members and tables.
      session: The session of this node.
      store: The store.
      services: Returns the names of keyed services in force.
      closed_zones: Returns the zones that get no work.
      may_lead: Returns whether this node may take the planner's seat; it must
        watch the store itself.
      ask: Returns the load report of a member; raises PeerUnavailable.
      ask_word: Asks a voter for its word about an owner (promises.give_word);
        raises PeerUnavailable.
      log: Called with an event name and fields.
      missing: When each owner without an entry was first missed.
      joined: Number of ready members of a service, and since when.
      balanced_s: When ranges of a service last moved for balance.
      reports: Newest load reports by member.
      cleared: Owners whose voters have given their word.
      voters_s: When the present list of voters was first seen, with its
        version.
      askers: Threads that ask voters.
      leading: Whether this node is the planner.
    """

    fleet: fleets.Fleet
    session: sessions.Session
    store: leased.LeasedStore
    services: Callable[[], Sequence[str]]
    closed_zones: Callable[[], frozenset[str]]
    may_lead: Callable[[], bool]
    ask: Callable[[fleets.Member], loads.Report]
    ask_word: Callable[[str, str], float | None]
    log: Callable[..., None]
    now: Callable[[], float] = clock.boottime_s
    missing: dict[str, float] = attrs.Factory(dict)
    joined: dict[str, tuple[int, float]] = attrs.Factory(dict)
    balanced_s: dict[str, float] = attrs.Factory(dict)
    reports: dict[str, loads.Report] = attrs.Factory(dict)
    cleared: set[str] = attrs.Factory(set)
    voters_s: tuple[int, float] = (-1, 0.0)
    askers: futures.ThreadPoolExecutor = attrs.Factory(
        lambda: futures.ThreadPoolExecutor(promises.MOST_VOTERS, "voters")
    )
    leading: bool = False
    stopping: threading.Event = attrs.Factory(threading.Event)


def run(planner: Planner) -> None:
    """Takes the planner's seat when it is free, and plans; one thread."""
    replica = planner.fleet.replica
    known = -1
    while not planner.stopping.is_set():
        with replica.condition:
            replica.condition.wait_for(
                lambda: replica.changed != known, PASS_S  # pylint: disable=cell-var-from-loop
            )
            known = replica.changed
        try:
            plan_all(planner)
        except exceptions.Conflict:
            # The record or the seat has changed; the watch brings it.
            planner.stopping.wait(0.02)
        except exceptions.WaxwingleverError as error:
            planner.log("plan-failed", error=error.message)
            planner.stopping.wait(PASS_S)


def plan_all(planner: Planner) -> None:
    """Makes one pass; raises Conflict when another one was quicker."""
    take_seat(planner)
    if not planner.leading:
        return
    track_missing(planner)
    keep_voters(planner)
    for service in planner.services():
        plan_service(planner, service)


def in_touch(planner: Planner) -> bool:
    """Returns whether the store has confirmed this node lately."""
    return planner.now() - planner.session.confirmed_s < IN_TOUCH_S


def take_seat(planner: Planner) -> None:
    """Finds out whether this node is the planner; takes a free seat."""
    me = planner.session.member
    leading = False
    if in_touch(planner) and not me.leaving:
        item = planner.fleet.replica.items.get(fleets.PLANNER)
        free = item is None and planner.fleet.replica.synced
        if free and planner.may_lead():
            planner.store.commit(
                {fleets.PLANNER: leased.ABSENT},
                [
                    leased.Write(
                        fleets.PLANNER,
                        me.incarnation.encode(),
                        planner.session.lease,
                    )
                ],
                [],
            )
            leading = True
        elif item is not None:
            leading = item.value.decode() == me.incarnation
    if leading != planner.leading:
        planner.leading = leading
        planner.missing.clear()
        planner.log("planner-seat", leading=leading)


def track_missing(planner: Planner) -> None:
    """Notes since when owners have no entry."""
    now_s = planner.now()
    if not in_touch(planner):
        planner.missing.clear()
        return
    present = {member.name for member in fleets.members(planner.fleet)}
    owners = set()
    for service in planner.services():
        table = fleets.table(planner.fleet, service)
        if table is not None:
            owners |= {item.node for item in table.ranges}
    for name in owners - present - set(planner.missing):
        planner.missing[name] = now_s
        planner.log("owner-missing", node_name=name)
    for name in list(planner.missing):
        if name in present or name not in owners:
            del planner.missing[name]
    planner.cleared &= set(planner.missing)


def gone(planner: Planner) -> frozenset[str]:
    """Returns the owners whose ranges may be taken."""
    found = set()
    for name, since_s in planner.missing.items():
        missing_s = planner.now() - since_s
        if missing_s < sessions.TAKEOVER_WAIT_S:
            continue
        if missing_s >= promises.EXPIRED_S or is_cleared(planner, name):
            found.add(name)
    return frozenset(found)


def is_cleared(planner: Planner, name: str) -> bool:
    """Asks the voters for their word about an owner.

    Returns:
      Whether a majority, of the list before as well, has no promise to it
      outstanding.
    """
    if name in planner.cleared:
        return True
    record = fleets.voters(planner.fleet)
    if record is None:
        # Nobody can have promised anything yet.
        return True
    voters = sorted({*record.names, *record.before} - {name})

    def ask(voter: str) -> str | None:
        try:
            return voter if planner.ask_word(voter, name) == 0.0 else None
        except exceptions.WaxwingleverError as error:
            planner.log("voter-silent", voter=voter, error=error.message)
            return None

    agreeing = [v for v in planner.askers.map(ask, voters) if v is not None]
    cleared = promises.is_majority(
        record.names, agreeing
    ) and promises.is_majority(record.before, agreeing)
    planner.log(
        "owner-gone" if cleared else "owner-not-cleared",
        node_name=name,
        missing_s=round(planner.now() - planner.missing[name], 3),
        voters=len(voters),
        agreeing=len(agreeing),
    )
    if cleared:
        planner.cleared.add(name)
    return cleared


def keep_voters(planner: Planner) -> None:
    """Writes the list of voters when it should change and may."""
    item = planner.fleet.replica.items.get(fleets.VOTERS)
    version = item.version if item is not None else leased.ABSENT
    now_s = planner.now()
    if planner.voters_s[0] != version:
        planner.voters_s = (version, now_s)
    present = [
        (member.name, member.zone) for member in fleets.members(planner.fleet)
    ]
    record = fleets.voters(planner.fleet)
    waited_s = now_s - planner.voters_s[1]
    if waited_s < (promises.CHANGE_S if record is not None else SETTLE_S):
        return
    wanted = promises.next_voters(record, present)
    if wanted is None:
        return
    planner.store.commit(
        {fleets.VOTERS: version},
        [leased.Write(fleets.VOTERS, promises.encode(wanted))],
        [],
    )
    planner.log("voters-changed", names=wanted.names, before=wanted.before)


def plan_service(planner: Planner, service: str) -> None:
    """Plans one service and writes the changes."""
    members = tuple(
        member
        for member in fleets.members(planner.fleet)
        if member.service == service
    )
    table = fleets.table(planner.fleet, service)
    if table is None:
        make_first(planner, service, members)
        return
    now_s = planner.now()
    names = {member.name for member in members}
    reports = {n: r for n, r in planner.reports.items() if n in names}
    situation = planning.Situation(
        table,
        members,
        gone(planner),
        planner.closed_zones(),
        loads.merge_rates(reports),
        capacities(members, reports),
    )
    planner.balanced_s.setdefault(service, now_s)
    balance = now_s - planner.balanced_s[service] >= BALANCE_S
    planned = planning.plan(situation, balance)
    if balance:
        planner.balanced_s[service] = now_s
    if planned == table:
        return
    write(planner, service, situation, planned)


def write(
    planner: Planner,
    service: str,
    situation: planning.Situation,
    planned: tables.Table,
) -> None:
    """Writes a planned record unless something has changed meanwhile."""
    before = situation.table
    everyone_taken = set()
    for parts in batches(situation, planned):
        taken = taken_in(situation, planned, parts)
        everyone_taken |= taken
        # An owner that comes back in this moment keeps its ranges.
        commits.commit(
            planner.store,
            before,
            commits.merge_parts(before, planned, parts),
            [fleets.entry_key(name) for name in taken],
        )
    planner.log(
        "ranges-planned",
        service=service,
        record_versions=before.versions,
        gone=sorted(everyone_taken),
        moving=[
            [item.first, item.last, item.node, item.to_node]
            for item in planned.ranges
            if item.to_node
        ][:LOGGED_MOVES],
        ranges=len(planned.ranges),
    )


def taken_in(
    situation: planning.Situation,
    planned: tables.Table,
    parts: Collection[int],
) -> set[str]:
    """Returns the lost owners that a plan takes ranges of some parts from."""
    kept = {(item.fence, item.node) for item in planned.ranges}
    return {
        item.node
        for item in situation.table.ranges
        if (item.fence, item.node) not in kept
        and item.node in situation.gone
        and tables.part_of(item.first) in parts
    }


def batches(
    situation: planning.Situation, planned: tables.Table
) -> list[list[int]]:
    """Returns the changed parts, as many together as a transaction takes."""
    found: list[list[int]] = []
    for part in tables.changed_parts(situation.table, planned):
        wider = found[-1] + [part] if found else [part]
        taken = taken_in(situation, planned, wider)
        if found and 2 * len(wider) + len(taken) <= commits.MAX_ENTRIES:
            found[-1] = wider
        else:
            found.append([part])
    return found


def run_reports(planner: Planner) -> None:
    """Asks the owners for their load while this node plans; one thread."""
    while not planner.stopping.wait(REPORT_S):
        if not planner.leading:
            planner.reports.clear()
            continue
        services = set(planner.services())
        for member in fleets.members(planner.fleet):
            if member.service not in services:
                continue
            try:
                planner.reports[member.name] = planner.ask(member)
            except exceptions.WaxwingleverError as error:
                planner.reports.pop(member.name, None)
                planner.log(
                    "load-unknown", node_name=member.name, error=error.message
                )


def capacities(
    members: Sequence[fleets.Member], reports: Mapping[str, loads.Report]
) -> dict[str, float]:
    """Returns the requests a second that each member can serve.

    A member that has not reported counts as fast as the others' mean.
    """
    known = [r.service_s for r in reports.values() if r.service_s > 0]
    usual_s = sum(known) / len(known) if known else FIRST_SERVICE_S
    found = {}
    for member in members:
        report = reports.get(member.name)
        service_s = report.service_s if report and report.service_s else usual_s
        # A few slow requests must not empty a node.
        service_s = min(max(service_s, usual_s / 3), usual_s * 3)
        found[member.name] = max(1, member.slots) / service_s
        if member.cold:
            found[member.name] *= COLD_CAPACITY
    return found


def make_first(
    planner: Planner, service: str, members: Sequence[fleets.Member]
) -> None:
    """Writes the first table once the members have settled."""
    candidates = planning.takers(
        planning.usable(members, planner.closed_zones())
    )
    count, since_s = planner.joined.get(service, (0, 0.0))
    now_s = planner.now()
    if len(candidates) != count:
        planner.joined[service] = (len(candidates), now_s)
        return
    if not candidates or now_s - since_s < SETTLE_S:
        return
    table = planning.first_table(
        service, candidates, capacities(candidates, planner.reports)
    )
    commits.create(planner.store, table)
    planner.log(
        "ranges-dealt",
        service=service,
        ranges=len(table.ranges),
        nodes=[member.name for member in candidates],
    )
