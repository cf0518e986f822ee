"""The planner: the node that decides which node should own which range.

The planner holds a key of the store under its session's lease. Two planners at
a time do no harm, as ownership tables change by compare-and-swap.
"""

import threading
from collections.abc import Callable, Collection, Mapping, Sequence
from concurrent import futures

import attrs

from waxwinglever_assignment import capacities
from waxwinglever_assignment import commits
from waxwinglever_assignment import eras
from waxwinglever_assignment import fleet_view
from waxwinglever_assignment import loads
from waxwinglever_assignment import planning
from waxwinglever_assignment import promises
from waxwinglever_assignment import rebalancing
from waxwinglever_assignment import sessions
from waxwinglever_assignment import speeds
from waxwinglever_assignment import tables
from waxwinglever_model import clock
from waxwinglever_model import exceptions
from waxwinglever_store import leased

# Longest time between two planning passes.
PASS_S = 0.25
# The initial table is created when the number of members that may get ranges
# has not changed for this long: the first assignment of ranges is free of
# charge on the platform, and later moves are priced. The first list of voters
# is written after the same time.
SETTLE_S = 1.0
# Interval between requests for the load reports of a small fleet, and how many
# reports the planner requests in a second at most. At 153 owners and a fixed
# interval the planner spent most of a core on them.
REPORT_S = 0.3
MAX_REPORTS_PER_S = 150.0
# Interval between moves for balance, beyond that between load reports; measured
# loads follow a move in about this time.
BALANCE_S = 0.5
# Concurrent requests for load reports.
REPORT_THREADS = 8
# Missing owners whose ranges one pass takes over. A transaction changes at
# least one part, with a condition and a write, and has a condition for each
# owner.
MAX_EXPIRED_OWNERS = commits.MAX_ENTRIES - 2
# Bound on the moves that one log line lists.
MAX_LOGGED_MOVES = 8
# The planner acts, and counts owners as missing, only while the last
# confirmation of its own session is younger than this.
MAX_CONFIRMATION_AGE_S = 1.2


@attrs.define(eq=False)
class Planner:
    """The state of the planner's threads.

    Attributes:
      fleet: View of all members and ownership tables.
      session: The session of this node.
      store: Client of the platform's store.
      services: Returns the names of the configured keyed services.
      closed_zones: Returns the zones whose members must not own ranges.
      can_be_planner: Returns whether this node may become the planner; it must
        watch the store itself.
      fetch_load_report: Returns the load report of a member; raises
        PeerUnavailable.
      request_clearance: Asks a voter to clear an owner for takeover and returns
        the result of promises.clear_takeover; raises PeerUnavailable.
      request_era_clearance: Asks a voter to clear all eras before one and
        returns the result of promises.clear_earlier_eras; raises
        PeerUnavailable.
      log: Called with an event name and fields.
      first_start: Whether the whole system starts for the first time, so that
        nobody has had a list of voters before.
      target_s: Returns the target latency by which the ranges of a service are
        placed, or None to place them by capacity alone.
      now: Returns the time in seconds.
      missing: When each owner without an entry was first noticed.
      receiver_counts: Number of members of each service that may get ranges,
        and when it last changed.
      balanced_s: When balance was last planned for each service.
      reports: Latest load report of each member.
      speed_meter: Averaged speeds of the backend servers.
      asked: Members that were asked for a report in this era.
      cleared: Owners that a majority of the voters cleared for takeover.
      voters_seen: Era and version of the list of voters, and when it was first
        seen.
      era: Era of the store that the fields above belong to.
      cleared_era: Era for which all earlier ones were cleared.
      voter_executor: Threads that ask voters.
      report_executor: Threads that fetch load reports.
      is_planner: Whether this node is the planner.
      stopping: Set when the threads must end.
    """

    fleet: fleet_view.FleetView
    session: sessions.Session
    store: leased.LeasedStoreClient
    services: Callable[[], Sequence[str]]
    closed_zones: Callable[[], frozenset[str]]
    can_be_planner: Callable[[], bool]
    fetch_load_report: Callable[[fleet_view.Member], loads.LoadReport]
    request_clearance: Callable[[str, str], float | None]
    request_era_clearance: Callable[[str, int], float | None]
    log: Callable[..., None]
    first_start: bool = False
    target_s: Callable[[str], float | None] = lambda service: None
    now: Callable[[], float] = clock.boottime_s
    missing: dict[str, float] = attrs.Factory(dict)
    receiver_counts: dict[str, tuple[int, float]] = attrs.Factory(dict)
    balanced_s: dict[str, float] = attrs.Factory(dict)
    reports: dict[str, loads.LoadReport] = attrs.field(factory=dict)
    speed_meter: speeds.SpeedMeter = attrs.Factory(speeds.SpeedMeter)
    asked: set[str] = attrs.Factory(set)
    cleared: set[str] = attrs.Factory(set)
    voters_seen: tuple[int, int, float] = (0, -1, 0.0)
    era: int = 0
    cleared_era: int = -1
    voter_executor: futures.ThreadPoolExecutor = attrs.Factory(
        lambda: futures.ThreadPoolExecutor(promises.MAX_VOTERS, "voters")
    )
    report_executor: futures.ThreadPoolExecutor = attrs.Factory(
        lambda: futures.ThreadPoolExecutor(REPORT_THREADS, "reports")
    )
    is_planner: bool = False
    stopping: threading.Event = attrs.Factory(threading.Event)


def run(planner: Planner) -> None:
    """Becomes the planner if there is none, and plans; runs in a thread.

    There is a pass after each change of the replica, and at least every PASS_S.
    """
    replica = planner.fleet.replica
    known = -1
    while not planner.stopping.is_set():
        with replica.condition:
            replica.condition.wait_for(
                lambda: replica.revision != known, PASS_S  # pylint: disable=cell-var-from-loop
            )
            known = replica.revision
        try:
            run_pass(planner)
        except exceptions.Conflict:
            # The table or the planner has changed; the watch will return it.
            planner.stopping.wait(0.02)
        except exceptions.WaxwingleverError as error:
            planner.log("plan-failed", error=error.message)
            planner.stopping.wait(PASS_S)


def run_pass(planner: Planner) -> None:
    """Makes one planning pass over all services.

    Raises:
      Conflict: Another node changed one of the keys first.
      StoreRestored: The store was restored since the replica was read.
      StoreUnavailable: The store did not answer.
    """
    forget_earlier_era(planner)
    update_role(planner)
    if not planner.is_planner:
        return
    track_missing(planner)
    update_voters(planner)
    for service in planner.services():
        plan_service(planner, service)


def forget_earlier_era(planner: Planner) -> None:
    """Discards what was learnt before a restore of the store."""
    era = planner.fleet.replica.era
    if planner.era != era:
        planner.era = era
        planner.missing.clear()
        planner.cleared.clear()
        planner.reports.clear()
        planner.asked.clear()


def confirmed_recently(planner: Planner) -> bool:
    """Returns whether the store confirmed the session recently.

    The confirmation must belong to the era of the replica.
    """
    confirmed_s = planner.session.confirmations.get(planner.era, float("-inf"))
    return planner.now() - confirmed_s < MAX_CONFIRMATION_AGE_S


def update_role(planner: Planner) -> None:
    """Updates whether this node is the planner; becomes it if there is none.

    Raises:
      Conflict: Another node became the planner first.
      StoreUnavailable: The store did not answer.
    """
    member = planner.session.member
    is_planner = False
    if confirmed_recently(planner) and not member.leaving:
        item = planner.fleet.replica.items.get(fleet_view.PLANNER)
        free = item is None and planner.fleet.replica.synced
        if free and planner.can_be_planner():
            lease = planner.session.lease
            planner.store.commit(
                {
                    fleet_view.PLANNER: leased.ABSENT,
                    **eras.condition(planner.era),
                },
                [
                    leased.Write(
                        fleet_view.PLANNER,
                        member.incarnation.encode(),
                        lease.id,
                    )
                ],
                [],
                lease.era,
            )
            is_planner = True
        elif item is not None:
            is_planner = (
                fleet_view.planner_incarnation(planner.fleet)
                == member.incarnation
            )
    if is_planner != planner.is_planner:
        planner.is_planner = is_planner
        planner.missing.clear()
        planner.log("planner-seat", leading=is_planner)


def track_missing(planner: Planner) -> None:
    """Updates the time since which each owner has had no entry.

    Discards all times when the session was not confirmed recently, as the
    planner may then have missed entries.
    """
    now_s = planner.now()
    if not confirmed_recently(planner):
        planner.missing.clear()
        return
    present = {member.name for member in fleet_view.list_members(planner.fleet)}
    owners = set()
    for service in planner.services():
        table = fleet_view.ownership_table(planner.fleet, service)
        if table is not None:
            owners |= {item.node for item in table.ranges}
    for name in owners - present - set(planner.missing):
        planner.missing[name] = now_s
        planner.log("owner-missing", node_name=name)
    for name in list(planner.missing):
        if name in present or name not in owners:
            del planner.missing[name]
    planner.cleared &= set(planner.missing)


def expired_owners(planner: Planner) -> frozenset[str]:
    """Returns missing owners whose ranges may be taken over.

    There are MAX_EXPIRED_OWNERS at most; later passes return the others.
    """
    found: set[str] = set()
    for name, since_s in planner.missing.items():
        missing_s = planner.now() - since_s
        if (
            missing_s < sessions.TAKEOVER_WAIT_S
            or len(found) == MAX_EXPIRED_OWNERS
        ):
            continue
        if missing_s >= promises.EXPIRED_S or obtain_clearance(planner, name):
            found.add(name)
    return frozenset(found)


def obtain_clearance(planner: Planner, name: str) -> bool:
    """Asks the voters to clear an owner for takeover.

    Returns:
      Whether majorities of both the current and the previous list of voters
      have no promise to the owner outstanding.
    """
    if name in planner.cleared:
        return True
    record = fleet_view.voter_list(planner.fleet)
    if record is None:
        # Without voters there can be no promises.
        return True
    voters = sorted({*record.names, *record.before} - {name})
    agreeing = clearing_voters(
        planner, voters, lambda voter: planner.request_clearance(voter, name)
    )
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


def clearing_voters(
    planner: Planner,
    voters: Sequence[str],
    request: Callable[[str], float | None],
) -> list[str]:
    """Returns the voters that have no promise outstanding.

    Args:
      planner: State of the planner.
      voters: Names of the voters to ask.
      request: Asks a voter; returns seconds until its last promise ends, or
        None if it doesn't know; raises PeerUnavailable.
    """

    def ask_voter(voter: str) -> bool:
        try:
            return request(voter) == 0.0
        except exceptions.WaxwingleverError as error:
            planner.log("voter-silent", voter=voter, error=error.message)
            return False

    answers = planner.voter_executor.map(ask_voter, voters)
    return [voter for voter, clears in zip(voters, answers) if clears]


def obtain_era_clearance(planner: Planner) -> bool:
    """Asks the voters to clear all eras before the current one.

    Returns:
      Whether nobody can hold a range since an earlier era. That is certain
      EXPIRED_S after the restore, and earlier if majorities of the list of
      voters from before the restore and of its predecessor have no promise for
      an earlier era outstanding.
    """
    if planner.cleared_era == planner.era:
        return True
    age_s = planner.now() - planner.fleet.replica.era_seen_s
    if age_s < sessions.TAKEOVER_WAIT_S:
        return False
    agreeing = []
    cleared = age_s >= promises.EXPIRED_S
    record = fleet_view.voter_list(planner.fleet)
    if not cleared and record is not None and record.era < planner.era:
        agreeing = clearing_voters(
            planner,
            sorted({*record.names, *record.before}),
            lambda voter: planner.request_era_clearance(voter, planner.era),
        )
        cleared = promises.is_majority(
            record.names, agreeing
        ) and promises.is_majority(record.before, agreeing)
    planner.log(
        "era-cleared" if cleared else "era-not-cleared",
        era=planner.era,
        age_s=round(age_s, 3),
        agreeing=len(agreeing),
    )
    if cleared:
        planner.cleared_era = planner.era
    return cleared


def update_voters(planner: Planner) -> None:
    """Writes the next list of voters, at most once in VOTERS_CHANGE_S.

    The first list of a new system is written after SETTLE_S. A list that is
    missing later may have been lost in a restore of the store.

    Raises:
      Conflict: Another node changed the list first.
      StoreUnavailable: The store did not answer.
    """
    item = planner.fleet.replica.items.get(fleet_view.VOTERS)
    version = item.version if item is not None else leased.ABSENT
    now_s = planner.now()
    if planner.voters_seen[:2] != (planner.era, version):
        planner.voters_seen = (planner.era, version, now_s)
    present = [
        (member.name, member.zone)
        for member in fleet_view.list_members(planner.fleet)
    ]
    record = fleet_view.voter_list(planner.fleet)
    waited_s = now_s - planner.voters_seen[2]
    is_first = (
        record is None
        and planner.first_start
        and not planner.fleet.replica.restored
    )
    if waited_s < (SETTLE_S if is_first else promises.VOTERS_CHANGE_S):
        return
    next_list = promises.next_voters(record, present, planner.era)
    if next_list is None:
        return
    planner.store.commit(
        {fleet_view.VOTERS: version, **eras.condition(planner.era)},
        [leased.Write(fleet_view.VOTERS, promises.encode(next_list))],
        [],
        planner.era,
    )
    planner.log(
        "voters-changed", names=next_list.names, before=next_list.before
    )


def plan_service(planner: Planner, service: str) -> None:
    """Plans the ranges of one service and writes the changes.

    Raises:
      Conflict: Another node changed the table first.
      StoreUnavailable: The store did not answer.
    """
    members = tuple(
        member
        for member in fleet_view.list_members(planner.fleet)
        if member.service == service
    )
    table = fleet_view.ownership_table(planner.fleet, service)
    if table is None:
        create_initial_table(planner, service, members)
        return
    if table.era != planner.era:
        return
    now_s = planner.now()
    names = {member.name for member in members}
    reports = {n: r for n, r in planner.reports.items() if n in names}
    if update_outdated_ranges(planner, table, members, reports):
        return
    target_s = planner.target_s(service)
    plan_input = planning.PlanInput(
        table,
        members,
        expired_owners(planner),
        planner.closed_zones(),
        loads.merge_rates(reports),
        capacities.find_capacities(
            members, reports, planner.speed_meter, target_s
        ),
        cold_receivers=target_s is not None,
    )
    planner.balanced_s.setdefault(service, now_s)
    balance_interval_s = BALANCE_S + report_interval_s(len(members))
    balance = now_s - planner.balanced_s[service] >= balance_interval_s
    planned = planning.plan(
        plan_input,
        balance,
        None if target_s is None else rebalancing.balance_table,
    )
    if balance:
        planner.balanced_s[service] = now_s
    if planned == table:
        return
    write_plan(planner, service, plan_input, planned)


def update_outdated_ranges(
    planner: Planner,
    table: tables.OwnershipTable,
    members: Sequence[fleet_view.Member],
    reports: Mapping[str, loads.LoadReport],
) -> bool:
    """Brings records from before a restore of the store up to date.

    Ranges that a member has held since before the restore are written as its
    own. Any other may be held by a node that the restored table doesn't name.
    When no grant from before the restore can be in force, they stay with their
    recorded owner under a new fence, or are free to be placed.

    Returns:
      Whether the table was written.

    Raises:
      Conflict: Another node changed the table first.
      StoreRestored: The store was restored since the replica was read.
      StoreUnavailable: The store did not answer.
    """
    if all(tables.is_current(item, table.era) for item in table.ranges):
        return False
    after = table
    for name, report in sorted(reports.items()):
        if report.era == table.era:
            after = tables.confirm_held(after, name, report.held)
    cleared = (
        any(not tables.is_current(item, table.era) for item in after.ranges)
        # A member that holds ranges must have had the chance to report them.
        and {member.name for member in members} <= planner.asked
        and obtain_era_clearance(planner)
    )
    if cleared:
        after = renew_outdated_ranges(after, members)
    if after == table:
        return False
    commits.commit(planner.store, table, after)
    planner.log(
        "ranges-confirmed",
        service=table.service,
        era=table.era,
        cleared=cleared,
        outdated=sum(
            not tables.is_current(item, table.era) for item in after.ranges
        ),
        ranges=len(after.ranges),
    )
    return True


def renew_outdated_ranges(
    table: tables.OwnershipTable, members: Sequence[fleet_view.Member]
) -> tables.OwnershipTable:
    """Returns the table with new fences for its outdated ranges.

    Ranges of nodes that are no members lose their owner.
    """
    instances = {member.name: member.instance for member in members}
    return tables.update_ranges(
        table,
        {
            item.fence: {
                "node": item.node
                if item.node in instances
                else tables.NO_OWNER,
                "instance": instances.get(item.node, ""),
                "handover": "",
                "to_node": tables.NO_OWNER,
            }
            for item in table.ranges
            if not tables.is_current(item, table.era)
        },
    )


def write_plan(
    planner: Planner,
    service: str,
    plan_input: planning.PlanInput,
    planned: tables.OwnershipTable,
) -> None:
    """Writes a planned table.

    Raises:
      Conflict: The table changed, or an owner's entry is back. Batches of parts
        that were written before stay.
      StoreUnavailable: The store did not answer.
    """
    before = plan_input.table
    all_displaced = set()
    for parts in group_parts(plan_input, planned):
        displaced = displaced_owners(plan_input, planned, parts)
        all_displaced |= displaced
        # An owner whose entry is back by now keeps its ranges.
        commits.commit(
            planner.store,
            before,
            commits.merge_parts(before, planned, parts),
            [fleet_view.entry_key(name) for name in displaced],
        )
    planner.log(
        "ranges-planned",
        service=service,
        record_versions=before.versions,
        gone=sorted(all_displaced),
        moving=[
            [item.first, item.last, item.node, item.to_node]
            for item in planned.ranges
            if item.to_node
        ][:MAX_LOGGED_MOVES],
        ranges=len(planned.ranges),
    )


def displaced_owners(
    plan_input: planning.PlanInput,
    planned: tables.OwnershipTable,
    parts: Collection[int],
) -> set[str]:
    """Returns the expired owners that lose ranges in some parts."""
    kept = {(item.fence, item.node) for item in planned.ranges}
    return {
        item.node
        for item in plan_input.table.ranges
        if (item.fence, item.node) not in kept
        and item.node in plan_input.expired_owners
        and tables.part_of(item.first) in parts
    }


def group_parts(
    plan_input: planning.PlanInput, planned: tables.OwnershipTable
) -> list[list[int]]:
    """Returns the changed parts, grouped into transactions of allowed size."""
    found: list[list[int]] = []
    for part in tables.changed_parts(plan_input.table, planned):
        extended = found[-1] + [part] if found else [part]
        displaced = displaced_owners(plan_input, planned, extended)
        if found and 2 * len(extended) + len(displaced) <= commits.MAX_ENTRIES:
            found[-1] = extended
        else:
            found.append([part])
    return found


def report_interval_s(owners: int) -> float:
    """Returns the interval between two load reports of a node."""
    return max(REPORT_S, owners / MAX_REPORTS_PER_S)


def run_reports(planner: Planner) -> None:
    """Fetches load reports while this node is the planner; runs in a thread."""
    interval_s = REPORT_S
    while not planner.stopping.wait(interval_s):
        if not planner.is_planner:
            planner.reports.clear()
            planner.speed_meter.speeds.clear()
            continue
        services = set(planner.services())
        members = [
            member
            for member in fleet_view.list_members(planner.fleet)
            if member.service in services
        ]
        interval_s = report_interval_s(len(members))
        # In parallel, as silent nodes must not delay the reports of ranges that
        # others hold since before a restore.
        list(
            planner.report_executor.map(
                lambda member: fetch_report(planner, member), members
            )
        )


def fetch_report(planner: Planner, member: fleet_view.Member) -> None:
    """Fetches the load report of a member; a failure is logged."""
    era = planner.era
    try:
        report = planner.fetch_load_report(member)
        planner.reports[member.name] = report
        speeds.observe(
            planner.speed_meter,
            member.name,
            member.instance,
            report.service_s,
            planner.now(),
        )
    except exceptions.WaxwingleverError as error:
        planner.reports.pop(member.name, None)
        planner.log("load-unknown", node_name=member.name, error=error.message)
    if era == planner.era:
        planner.asked.add(member.name)


def create_initial_table(
    planner: Planner, service: str, members: Sequence[fleet_view.Member]
) -> None:
    """Writes the initial table when the members have settled.

    They have settled when the number of members that may get ranges has not
    changed for SETTLE_S.

    Raises:
      Conflict: The service already has a table.
      StoreRestored: The store was restored since the replica was read.
      StoreUnavailable: The store did not answer.
    """
    candidates = planning.eligible_receivers(
        planning.eligible_owners(members, planner.closed_zones())
    )
    count, since_s = planner.receiver_counts.get(service, (0, 0.0))
    now_s = planner.now()
    if len(candidates) != count:
        planner.receiver_counts[service] = (len(candidates), now_s)
        return
    if not candidates or now_s - since_s < SETTLE_S:
        return
    replica = planner.fleet.replica
    table = planning.plan_initial_table(
        service,
        candidates,
        capacities.find_capacities(candidates, planner.reports),
        planner.era,
    )
    if replica.restored or not planner.first_start:
        # A table may have been lost in a restore, with ranges that nodes hold.
        table = tables.mark_outdated(table)
    commits.create(planner.store, table)
    planner.log(
        "ranges-dealt",
        service=service,
        ranges=len(table.ranges),
        nodes=[member.name for member in candidates],
    )
