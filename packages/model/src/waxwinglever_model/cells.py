"""The cell record, its members and slices, and the summary of a cell."""

import bisect

import attrs

from waxwinglever_model import hashing
from waxwinglever_model import limits

NO_OWNER = ""


@attrs.frozen
class Member:
    """One node of a cell.

    Attributes:
      node: Node name; it stays the same when the daemon restarts or the VM is
        replaced.
      incarnation: Random id of the running daemon; new after each restart.
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
    """Identifies one assignment of a slice; see Slice."""

    start: int
    epoch: int


@attrs.frozen
class Slice:
    """A contiguous range of the hash space and its assignment.

    Attributes:
      start: First point of the range.
      last: Last point of the range; inclusive, so that it fits in 64 bits.
      owner: Node name of the owner, or NO_OWNER.
      epoch: Number of the assignment; never reused in a cell. The parts of a
        split slice keep it, so start and epoch together identify a slice.
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
    """State of a cell as kept in the store.

    Attributes:
      cell: Name, `<tenant>/<service>/<number>`.
      term: Number of the term; each new leader starts a higher one.
      leader: Node name of the leader.
      leader_incarnation: Incarnation of the leader.
      nonce: Random id of the write of this record. It shows whether a write
        whose response was lost has taken effect.
      members: Members in order of joining.
      slices: Slices ordered by start, without gaps; empty for a service that
        is not sharded by key.
      next_epoch: Lowest epoch that no slice has had.
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
        """Returns the member with the node name, or None."""
        for member in self.members:
            if member.node == node:
                return member
        return None

    def slice_at(self, point: int) -> Slice | None:
        """Returns the slice that contains a point, or None without slices."""
        index = bisect.bisect_right(self.slices, point, key=slice_start) - 1
        return self.slices[index] if index >= 0 else None


@attrs.frozen
class CellSummary:
    """Summary of a cell, as the nodes of other cells keep it.

    Attributes:
      cell: Name, `<tenant>/<service>/<number>`.
      term: Highest known term.
      version: Version of the cell's record in the store.
      leader_address: Peer address of the leader.
      members: The first members of the record, at most MAX_SUMMARY_MEMBERS.
      keyed: Whether the service is sharded by key.
    """

    cell: str
    term: int
    version: int
    leader_address: str
    members: tuple[Member, ...]
    keyed: bool


# Enough to reach a cell that has lost a zone, and few enough that one message
# can hold the summaries of 120 cells.
MAX_SUMMARY_MEMBERS = 16


def slice_start(item: Slice) -> int:
    """Returns the start of a slice; a key function for sorted slices."""
    return item.start


def majority(count: int) -> int:
    """Returns the smallest number that is more than half of `count`."""
    return count // 2 + 1


def equal_slices(count: int = limits.INITIAL_SLICES) -> tuple[Slice, ...]:
    """Returns `count` slices of even width without owners."""
    bounds = [hashing.SPACE * i // count for i in range(count + 1)]
    return tuple(
        Slice(start, end - 1) for start, end in zip(bounds, bounds[1:])
    )


def summarize(record: CellRecord, version: int) -> CellSummary:
    """Returns the summary of a cell's record.

    Args:
      record: The record.
      version: Store version of the record.
    """
    leader = record.member(record.leader)
    return CellSummary(
        cell=record.cell,
        term=record.term,
        version=version,
        leader_address=leader.peer_address if leader else "",
        members=record.members[:MAX_SUMMARY_MEMBERS],
        keyed=bool(record.slices),
    )
