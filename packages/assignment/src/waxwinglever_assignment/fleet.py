"""What a daemon knows of the others from the store."""

from collections.abc import Callable

import attrs
import msgspec

from waxwinglever_assignment import promises
from waxwinglever_assignment import replicas
from waxwinglever_assignment import tables
from waxwinglever_model import clock
from waxwinglever_model import exceptions

PREFIX = "waxwinglever/"
NODES = PREFIX + "nodes/"
TABLES = PREFIX + "ranges/"
PLANNER = PREFIX + "planner"
VOTERS = PREFIX + "voters"

# A member without an entry is still asked for this long.
LINGER_S = 1.0

# The daemon has just started and has not heard its backend server, which may
# hold ranges that an earlier life of the daemon granted.
STARTING = "starting"
READY = "ready"
DRAINING = "draining"
# The daemon has found that the backend server does not answer; no grant of it
# is in force any more.
DOWN = "down"


@attrs.frozen
class Member:
    """One node: a daemon and the backend server beside it.

    Attributes:
      name: Name of the node.
      incarnation: Random id of this life of the daemon.
      address: host:port at which other daemons reach it.
      zone: Availability zone.
      service: Service of the backend server.
      instance: Life of the backend server, or '' before it was heard.
      instance_id: The id under which the backend server knows itself.
      slots: Requests that it runs at a time.
      state: STARTING, READY, DRAINING or DOWN.
      cold: Whether it is in its cold start.
      leaving: Whether the daemon is about to stop.
      cores: Processor time that its machine gives it.
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


def entry_key(name: str) -> str:
    """Returns the key of a node's entry.

    It ends with a slash, so that a watch over it sees no node whose name
    begins with this one's.
    """
    return f"{NODES}{name}/"


def encode_member(item: Member) -> bytes:
    """Returns the bytes of a member's entry."""
    return msgspec.json.encode(item)


def decode_member(data: bytes) -> Member:
    """Returns the member in an entry; raises InvalidInput."""
    try:
        return msgspec.json.decode(data, type=Member)
    except msgspec.MsgspecError as error:
        raise exceptions.InvalidInput(
            f"the entry of a node can't be read: {error}",
            "run the same version of all daemons",
        ) from error


@attrs.define(eq=False)
class Fleet:
    """Members and tables, decoded once for each version of their keys.

    Attributes:
      replica: Copy of the store below PREFIX.
      log: Called with an event name and fields.
      decoded: Decoded values and their versions, by key.
      member_list: Members, and the state of the replica they belong to.
      departed: Members whose entries have gone, and when that was seen.
      joined: The table of each service, and the state of the replica that it
        belongs to.
    """

    replica: replicas.Replica
    log: Callable[..., None]
    decoded: dict[str, tuple[int, object]] = attrs.Factory(dict)
    now: Callable[[], float] = clock.boottime_s
    member_list: tuple[int, tuple[Member, ...]] = (-1, ())
    departed: dict[str, tuple[Member, float]] = attrs.Factory(dict)
    joined: dict[str, tuple[int, tables.Table | None]] = attrs.Factory(dict)


def read(fleet: Fleet, key: str, decode: Callable[[bytes], object]) -> object:
    """Returns the decoded value of a key, or None when there is none."""
    item = fleet.replica.items.get(key)
    if item is None:
        return None
    known = fleet.decoded.get(key)
    if known is not None and known[0] == item.version:
        return known[1]
    try:
        value = decode(item.value)
    except exceptions.InvalidInput as error:
        fleet.log("store-value-unreadable", key=key, error=error.message)
        value = None
    fleet.decoded[key] = (item.version, value)
    return value


def members(fleet: Fleet) -> tuple[Member, ...]:
    """Returns all members with an entry, by name."""
    at = fleet.replica.changed
    if fleet.member_list[0] != at:
        keys = sorted(
            k for k in list(fleet.replica.items) if k.startswith(NODES)
        )
        found = (read(fleet, key, decode_member) for key in keys)
        before = fleet.member_list[1]
        fleet.member_list = (at, tuple(m for m in found if m is not None))
        note_departed(fleet, before)
    return fleet.member_list[1]


def note_departed(fleet: Fleet, before: tuple[Member, ...]) -> None:
    """Remembers the members whose entries have gone since."""
    present = {item.name for item in fleet.member_list[1]}
    for item in before:
        if item.name not in present:
            fleet.departed[item.name] = (item, fleet.now())
    for name in present & set(fleet.departed):
        del fleet.departed[name]


def reachable(fleet: Fleet, name: str) -> Member | None:
    """Returns a member, also for a while after its entry has gone.

    Entries that lapse during an outage of the store come back right after its
    return, and their nodes serve all the while.
    """
    members(fleet)
    current = member(fleet, name)
    if current is not None:
        return current
    found, gone_s = fleet.departed.get(name, (None, 0.0))
    return found if fleet.now() - gone_s < LINGER_S else None


def voters(fleet: Fleet) -> promises.Voters | None:
    """Returns the record of the voters, or None."""
    return read(fleet, VOTERS, promises.decode)


def member(fleet: Fleet, name: str) -> Member | None:
    """Returns one member, or None when it has no entry."""
    return read(fleet, entry_key(name), decode_member)


def part_key(service: str, part: int) -> str:
    """Returns the key of one part of a service's ownership record."""
    return f"{TABLES}{service}/{part}"


def table(fleet: Fleet, service: str) -> tables.Table | None:
    """Returns the ownership record of a service, or None."""
    at = fleet.replica.changed
    known = fleet.joined.get(service)
    if known is None or known[0] != at:
        before = known[1] if known is not None else None
        known = fleet.joined[service] = (at, join(fleet, service, before))
    return known[1]


def join(
    fleet: Fleet, service: str, before: tables.Table | None
) -> tables.Table | None:
    """Returns the record made of its parts; `before` if no part is newer."""
    items = fleet.replica.items
    keys = [part_key(service, part) for part in range(tables.PARTS)]
    found = [items.get(key) for key in keys]
    if None in found:
        return None
    versions = tuple(item.version for item in found)
    if before is not None and before.versions == versions:
        return before
    parts = [read(fleet, key, tables.decode) for key in keys]
    if None in parts:
        return None
    try:
        return tables.join(service, parts, versions)
    except exceptions.InvalidInput as error:
        fleet.log("store-value-unreadable", key=keys[0], error=error.message)
        return None
