"""The cell record and what it is made of."""

import bisect

import attrs

from waxwinglever_model import hashing
from waxwinglever_model import limits

NO_OWNER = ""


@attrs.frozen
class Member:
    """One node of a cell.

    Attributes:
      node: Name of the VM's slot; the same after a restart of the daemon.
      incarnation: Random id of this life of the daemon.
      peer_address: host:port for messages between daemons.
      http_address: host:port for callers and forwarded requests.
      zone: Availability zone.
    """

    node: str
    incarnation: str
    peer_address: str
    http_address: str
    zone: str


@attrs.frozen
class SliceRef:
    """Identifies one assignment of one slice."""

    start: int
    epoch: int


@attrs.frozen
class Slice:
    """A contiguous range of the hash space and its assignment.

    Attributes:
      start: First point of the range.
      last: Last point of the range, inclusive, so that it fits 64 bits.
      owner: Node name, or NO_OWNER.
      epoch: Number of this assignment; never reused in a cell. The parts of
        a split slice keep it, so start and epoch together identify a slice.
    """

    start: int
    last: int
    owner: str = NO_OWNER
    epoch: int = 0

    def __attrs_post_init__(self):
        if not 0 <= self.start <= self.last < hashing.SPACE:
            raise ValueError(f"[{self.start}, {self.last}] is not a slice")

    @property
    def ref(self) -> "SliceRef":
        return SliceRef(self.start, self.epoch)


@attrs.frozen
class CellRecord:
    """What the store keeps of a cell.

    Attributes:
      cell: Name, `<tenant>/<service>/<number>`.
      term: Number of the leadership.
      leader: Node name of the leader.
      leader_incarnation: Incarnation of the leader.
      nonce: Random id of the write that made this record; resolves a lost
        answer.
      members: In order of joining.
      slices: Ordered by start, without gaps; empty for a service that is not
        divided by key.
      next_epoch: The lowest epoch that no slice has had.
    """

    cell: str
    term: int
    leader: str
    leader_incarnation: str
    nonce: str
    members: tuple[Member, ...] = ()
    slices: tuple[Slice, ...] = ()
    next_epoch: int = 1

    def member(self, node: str) -> Member | None:
        """Returns the member of that name, or None."""
        for member in self.members:
            if member.node == node:
                return member
        return None

    def slice_at(self, point: int) -> Slice | None:
        """Returns the slice that holds a point of the hash space."""
        index = bisect.bisect_right(self.slices, point, key=slice_start) - 1
        return self.slices[index] if index >= 0 else None


@attrs.frozen
class CellLine:
    """What a node keeps of each cell but its own.

    Attributes:
      cell: Name, `<tenant>/<service>/<number>`.
      term: Highest known term.
      version: Version of the cell's record in the store.
      leader_address: Peer address of the leader.
      members: Some of the members, at most MAX_LINE_MEMBERS.
      keyed: Whether the service is divided by key.
    """

    cell: str
    term: int
    version: int
    leader_address: str
    members: tuple[Member, ...]
    keyed: bool


# Enough to reach a cell that lost a zone, small enough for 120 lines in one
# message.
MAX_LINE_MEMBERS = 16


def slice_start(item: Slice) -> int:
    """Returns the start of a slice, as the sort key."""
    return item.start


def majority(count: int) -> int:
    """Returns the smallest number that is more than half of `count`."""
    return count // 2 + 1


def even_slices(count: int = limits.INITIAL_SLICES) -> tuple[Slice, ...]:
    """Returns `count` slices of even width without owners."""
    bounds = [hashing.SPACE * i // count for i in range(count + 1)]
    return tuple(Slice(a, b - 1) for a, b in zip(bounds, bounds[1:]))


def line_of(record: CellRecord, version: int) -> CellLine:
    """Returns the line that other cells keep of `record`."""
    leader = record.member(record.leader)
    return CellLine(
        cell=record.cell,
        term=record.term,
        version=version,
        leader_address=leader.peer_address if leader else "",
        members=record.members[:MAX_LINE_MEMBERS],
        keyed=bool(record.slices),
    )
