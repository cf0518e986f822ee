"""A daemon's view of all members and ownership tables in the store."""

from collections.abc import Callable, Mapping, Sequence

import attrs
import msgspec

from waxwinglever_assignment import promises
from waxwinglever_assignment import replicas
from waxwinglever_assignment import tables
from waxwinglever_model import clock
from waxwinglever_model import exceptions
from waxwinglever_store import leased

PREFIX = "waxwinglever/"
NODES = PREFIX + "nodes/"
TABLES = PREFIX + "ranges/"
PLANNER = PREFIX + "planner"
VOTERS = PREFIX + "voters"

# Requests are still sent to a member for this long after its entry was removed.
LINGER_S = 1.0

# The daemon has started but its backend server has not announced itself yet.
# The server may hold ranges that the previous run of the daemon granted.
STARTING = "starting"
READY = "ready"
DRAINING = "draining"
# The backend server does not answer, and none of its grants is in force any
# more.
DOWN = "down"


@attrs.frozen
class Member:
    """One node: a daemon and its backend server.

    Attributes:
      name: Name of the node.
      incarnation: Random id of this run of the daemon.
      address: host:port at which other daemons reach it.
      zone: Availability zone.
      service: Service of the backend server.
      instance: Id of the run of the backend server under this run of the
        daemon, see run_id, or '' until the server has announced itself.
      instance_id: Id that the backend server uses for itself.
      slots: Requests that the backend server runs concurrently.
      state: STARTING, READY, DRAINING or DOWN.
      cold: Whether the backend server is in its cold start.
      leaving: Whether the daemon is about to stop.
      cores: Processor cores that the node may use.
    """

    name: str
    incarnation: str
    address: str
    zone: str
    service: str
    instance: str = ""
    instance_id: str = ""
    slots: int = 0
    state: str = STARTING
    cold: bool = False
    leaving: bool = False
    cores: float = 1.0


def run_id(boot_id: str, incarnation: str) -> str:
    """Returns the id of a run of a backend server under one run of its daemon.

    A daemon that starts again can't know which run of the backend server got
    the grants of its previous run, so it claims its ranges under new fences.

    Args:
      boot_id: Id of the run of the backend server.
      incarnation: Id of the run of the daemon.
    """
    return f"{boot_id}/{incarnation}"


def run_boot_id(instance: str) -> str:
    """Returns the id of the run of a backend server from that of `run_id`."""
    return instance.partition("/")[0]


def entry_key(name: str) -> str:
    """Returns the key of a node's entry.

    It ends with a slash, so that a watch of it as a prefix does not match nodes
    whose names begin with this one.
    """
    return f"{NODES}{name}/"


def encode_member(item: Member) -> bytes:
    """Returns a member, encoded for its entry in the store."""
    return msgspec.json.encode(item)


def decode_member(data: bytes) -> Member:
    """Decodes the member in an entry; raises InvalidInput."""
    try:
        return msgspec.json.decode(data, type=Member)
    except msgspec.MsgspecError as error:
        raise exceptions.InvalidInput(
            f"the entry of a node in the store can't be decoded: {error}",
            "run the same version of all daemons",
        ) from error


@attrs.frozen
class Candidates:
    """The nodes of a service that may get requests.

    Attributes:
      members: The nodes by name.
      names: Their names.
      names_by_zone: The names in each availability zone.
    """

    members: Mapping[str, Member]
    names: tuple[str, ...]
    names_by_zone: Mapping[str, tuple[str, ...]]


@attrs.define(eq=False)
class FleetView:
    """Members and tables, decoded once for each version of their keys.

    Attributes:
      replica: Copy of the store below PREFIX.
      log: Called with an event name and fields.
      decoded: Item and decoded value of each key.
      now: Returns the time in seconds.
      member_cache: All members, and the revision of the replica for which
        the list was made.
      voters_seen: Version and era of the list of voters, and when that list was
        noticed.
      departed: Members whose entries were removed, and when that was noticed.
      candidate_cache: Candidates of each service, and the members and closed
        zones for which they were found.
      table_cache: Table of each service, and the revision of the replica
        for which it was made.
    """

    replica: replicas.Replica
    log: Callable[..., None]
    decoded: dict[str, tuple[leased.Item, object]] = attrs.Factory(dict)
    now: Callable[[], float] = clock.boottime_s
    member_cache: tuple[int, tuple[Member, ...]] = (-1, ())
    voters_seen: tuple[int, int, float] = (0, 0, float("-inf"))
    departed: dict[str, tuple[Member, float]] = attrs.Factory(dict)
    candidate_cache: dict[
        str, tuple[Sequence[Member], frozenset[str], Candidates]
    ] = attrs.Factory(dict)
    table_cache: dict[str, tuple[int, tables.OwnershipTable | None]] = (
        attrs.Factory(dict)
    )


def read_decoded(
    fleet: FleetView, key: str, decode: Callable[[bytes], object]
) -> object:
    """Returns the decoded value of a key.

    Returns None if the key doesn't exist or its value can't be decoded, which
    is logged.
    """
    item = fleet.replica.items.get(key)
    return None if item is None else decode_item(fleet, item, decode)


def decode_item(
    fleet: FleetView, item: leased.Item, decode: Callable[[bytes], object]
) -> object:
    """Returns the decoded value of an item, or None as read_decoded does."""
    key = item.key
    known = fleet.decoded.get(key)
    if known is not None and known[0] is item:
        return known[1]
    try:
        value = decode(item.value)
    except exceptions.InvalidInput as error:
        fleet.log("store-value-unreadable", key=key, error=error.message)
        value = None
    fleet.decoded[key] = (item, value)
    return value


def list_members(fleet: FleetView) -> tuple[Member, ...]:
    """Returns all members with an entry, sorted by name."""
    revision = fleet.replica.revision
    if fleet.member_cache[0] != revision:
        keys = sorted(
            k for k in list(fleet.replica.items) if k.startswith(NODES)
        )
        found = (read_decoded(fleet, key, decode_member) for key in keys)
        before = fleet.member_cache[1]
        fleet.member_cache = (
            revision,
            tuple(m for m in found if m is not None),
        )
        update_departed(fleet, before)
        update_voters_seen(fleet)
    return fleet.member_cache[1]


def list_candidates(
    fleet: FleetView, service: str, closed_zones: frozenset[str]
) -> Candidates:
    """Returns the nodes of a service that may get requests.

    They are found once for each change of the members or of the closed zones.
    A table made for each request cost as much as the fleet is large.
    """
    members = list_members(fleet)
    known = fleet.candidate_cache.get(service)
    if known is None or known[0] is not members or known[1] is not closed_zones:
        known = (
            members,
            closed_zones,
            find_candidates(members, service, closed_zones),
        )
        fleet.candidate_cache[service] = known
    return known[2]


def find_candidates(
    members: Sequence[Member], service: str, closed_zones: frozenset[str]
) -> Candidates:
    """Returns the ready members of a service outside the closed zones."""
    found = {
        member.name: member
        for member in members
        if member.service == service
        and member.state == READY
        and not member.leaving
        and member.zone not in closed_zones
    }
    by_zone: dict[str, list[str]] = {}
    for member in found.values():
        by_zone.setdefault(member.zone, []).append(member.name)
    return Candidates(
        found,
        tuple(found),
        {zone: tuple(names) for zone, names in by_zone.items()},
    )


def update_departed(fleet: FleetView, before: tuple[Member, ...]) -> None:
    """Updates the departed members.

    Args:
      fleet: The view, with the new list of members.
      before: The previous list of members.
    """
    present = {item.name for item in fleet.member_cache[1]}
    for item in before:
        if item.name not in present:
            fleet.departed[item.name] = (item, fleet.now())
    for name in present & set(fleet.departed):
        del fleet.departed[name]


def update_voters_seen(fleet: FleetView) -> None:
    """Notes when the current list of voters was first seen."""
    items, era, _ = replicas.snapshot(fleet.replica)
    item = items.get(VOTERS)
    version = item.version if item is not None else 0
    if fleet.voters_seen[:2] != (version, era):
        fleet.voters_seen = (version, era, fleet.now())


def find_recent_member(fleet: FleetView, name: str) -> Member | None:
    """Returns a member with an entry, or whose entry was removed recently.

    Entries whose leases expire during an outage of the store are written again
    right after it, and their nodes serve requests all the time.

    Returns:
      The member; None when it had no entry in the last LINGER_S.
    """
    list_members(fleet)
    current = find_member(fleet, name)
    if current is not None:
        return current
    found, gone_s = fleet.departed.get(name, (None, 0.0))
    return found if fleet.now() - gone_s < LINGER_S else None


def planner_incarnation(fleet: FleetView) -> str:
    """Returns the incarnation of the planner, or '' if there is none."""
    item = fleet.replica.items.get(PLANNER)
    return "" if item is None else item.value.decode("utf-8", "replace")


def voter_list(fleet: FleetView) -> promises.VoterList | None:
    """Returns the list of voters, or None when there is none."""
    return read_decoded(fleet, VOTERS, promises.decode)


def recent_voter_list(fleet: FleetView) -> promises.VoterList | None:
    """Returns the list of voters; the previous one only after a recent change.

    `before` is empty if the list was first seen longer than PREDECESSOR_S ago.
    """
    list_members(fleet)
    record = voter_list(fleet)
    if (
        record is not None
        and fleet.now() - fleet.voters_seen[2] >= promises.PREDECESSOR_S
    ):
        return attrs.evolve(record, before=())
    return record


def find_member(fleet: FleetView, name: str) -> Member | None:
    """Returns the member of a name, or None when it has no entry."""
    return read_decoded(fleet, entry_key(name), decode_member)


def part_key(service: str, part: int) -> str:
    """Returns the key of one part of a service's ownership table."""
    return f"{TABLES}{service}/{part}"


def ownership_table(
    fleet: FleetView, service: str
) -> tables.OwnershipTable | None:
    """Returns the ownership table of a service.

    Returns None if a part is missing or invalid; the latter is logged.
    """
    known = fleet.table_cache.get(service)
    if known is None or known[0] != fleet.replica.revision:
        items, era, revision = replicas.snapshot(fleet.replica)
        before = known[1] if known is not None else None
        known = fleet.table_cache[service] = (
            revision,
            read_table(fleet, service, items, era, before),
        )
    return known[1]


def read_table(
    fleet: FleetView,
    service: str,
    items: Mapping[str, leased.Item],
    era: int,
    before: tables.OwnershipTable | None,
) -> tables.OwnershipTable | None:
    """Returns the table that consists of the parts among some items.

    Args:
      fleet: The view.
      service: Name of the service.
      items: Items of the store by key.
      era: Era of the store that the items belong to.
      before: The previous table, returned if no part has another version.
    """
    keys = [part_key(service, part) for part in range(tables.PARTS)]
    found = [items.get(key) for key in keys]
    if None in found:
        return None
    versions = tuple(item.version for item in found)
    if before is not None and before.era == era and before.versions == versions:
        return before
    parts = [decode_item(fleet, item, tables.decode) for item in found]
    if None in parts:
        return None
    try:
        return tables.assemble_table(service, parts, versions, era)
    except exceptions.InvalidInput as error:
        fleet.log("store-value-unreadable", key=keys[0], error=error.message)
        return None
