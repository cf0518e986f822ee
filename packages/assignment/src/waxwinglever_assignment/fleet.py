"""What a daemon knows of the others from the store."""

from collections.abc import Callable

import attrs
import msgspec

from waxwinglever_assignment import replicas
from waxwinglever_assignment import tables
from waxwinglever_model import exceptions

PREFIX = "waxwinglever/"
NODES = PREFIX + "nodes/"
TABLES = PREFIX + "ranges/"
SUSPECTS = PREFIX + "suspects/"
PLANNER = PREFIX + "planner"

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
      state: READY, DRAINING or DOWN.
      cold: Whether it is in its cold start.
      leaving: Whether the daemon is about to stop.
    """

    name: str
    incarnation: str
    address: str
    zone: str
    service: str
    instance: str = ""
    instance_id: str = ""
    slots: int = 0
    state: str = DOWN
    cold: bool = False
    leaving: bool = False


def encode_member(member: Member) -> bytes:
    """Returns the bytes of a member's entry."""
    return msgspec.json.encode(member)


def decode_member(data: bytes) -> Member:
    """Returns the member in an entry; raises InvalidInput."""
    try:
        return msgspec.json.decode(data, type=Member)
    except msgspec.MsgspecError as error:
        raise exceptions.InvalidInput(
            f"the entry of a node can't be read: {error}",
            "update the daemons to one version",
        ) from error


@attrs.define(eq=False)
class Fleet:
    """Members and tables, decoded once for each version of their keys.

    Attributes:
      replica: Copy of the store below PREFIX.
      log: Called with an event name and fields.
      decoded: Decoded values and their versions, by key.
    """

    replica: replicas.Replica
    log: Callable[..., None]
    decoded: dict[str, tuple[int, object]] = attrs.Factory(dict)
    member_list: tuple[int, tuple[Member, ...]] = (-1, ())


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
        keys = sorted(k for k in list(fleet.replica.items) if k.startswith(NODES))
        found = (read(fleet, key, decode_member) for key in keys)
        fleet.member_list = (at, tuple(m for m in found if m is not None))
    return fleet.member_list[1]


def member(fleet: Fleet, name: str) -> Member | None:
    """Returns one member, or None when it has no entry."""
    return read(fleet, NODES + name, decode_member)


def table(fleet: Fleet, service: str) -> tables.Table | None:
    """Returns the ownership record of a service, or None."""
    return read(fleet, TABLES + service, tables.decode)


def table_version(fleet: Fleet, service: str) -> int:
    """Returns the store version of that record; 0 when there is none."""
    item = fleet.replica.items.get(TABLES + service)
    return item.version if item is not None else 0
