"""The messages between daemons."""

import attrs

from waxwinglever_model import cells


@attrs.frozen
class ConfigUpdate:
    """An accepted configuration as it is stored.

    Attributes:
      tenant: Name of the tenant.
      generation: Generation of the configuration.
      value: Stored value, as JSON text.
    """

    tenant: str
    generation: int
    value: str


@attrs.frozen
class SliceLoad:
    """Load of one slice as measured by its owner.

    Attributes:
      ref: The slice.
      requests_per_s: Rate of requests for the slice.
      hot_point: Point of the most frequent key, or None.
      hot_share: Share of the slice's requests for that key, in [0, 1].
    """

    ref: cells.SliceRef
    requests_per_s: float
    hot_point: int | None = None
    hot_share: float = 0.0


@attrs.frozen
class Heartbeat:
    """Renews the leases of a member; sent by the leader.

    The member holds a lease on each slice that the record of `record_version`
    assigns to it, except for those in `withheld`.

    Attributes:
      cell: Name of the cell.
      term: Term of the leader.
      leader: Node name of the leader.
      leader_incarnation: Incarnation of the leader.
      sequence: Increases with each heartbeat to this member in this term.
      base_sequence: Highest sequence that the member acknowledged, or 0. The
        member counts `remaining_s` from just before it sent that
        acknowledgement.
      remaining_s: Remaining time of the leases, in seconds; 0 for no lease.
      record_version: Version of the record under which leases are granted.
      record: The record; None if the member has acknowledged this version.
      withheld: Slices of this member on which no lease is granted.
      revoke: Slices to release once their running requests have finished.
      configs: Configurations newer than the member's.
      directory: Summaries of the tenant's cells; None if the member has
        acknowledged this version.
      directory_version: Version of the leader's directory.
      member: Node name of the receiver. Another node may have got the address
        of a replaced VM, and must not accept leases meant for that VM.
    """

    cell: str
    term: int
    leader: str
    leader_incarnation: str
    sequence: int
    base_sequence: int
    remaining_s: float
    record_version: int
    record: cells.CellRecord | None = None
    withheld: tuple[cells.SliceRef, ...] = ()
    revoke: tuple[cells.SliceRef, ...] = ()
    configs: tuple[ConfigUpdate, ...] = ()
    directory: tuple[cells.CellSummary, ...] | None = None
    directory_version: int = 0
    member: str = attrs.field(kw_only=True)


@attrs.frozen
class HeartbeatAck:
    """Reply to a heartbeat.

    Attributes:
      node: Node name of the member.
      incarnation: Incarnation of the member.
      accepted: Whether the member accepted the heartbeat.
      highest_term: Highest term that the member has received.
      sequence: Sequence of the heartbeat.
      record_version: Version of the record that the member has.
      released: Slices whose leases the member has released.
      generations: Generation of the active configuration at the member, by
        tenant.
      directory_version: Version of the directory that the member has.
      draining: Whether the member is leaving and must own nothing.
      loads: Loads of the busiest slices, or None if no report is due.
    """

    node: str
    incarnation: str
    accepted: bool
    highest_term: int
    sequence: int
    record_version: int = 0
    released: tuple[cells.SliceRef, ...] = ()
    generations: dict[str, int] = attrs.Factory(dict)
    directory_version: int = 0
    draining: bool = False
    loads: tuple[SliceLoad, ...] | None = None


@attrs.frozen
class ElectionProbe:
    """Asks a member whether it receives heartbeats of the cell's leader."""

    cell: str
    term: int
    candidate: str


@attrs.frozen
class ElectionProbeReply:
    """Reply to an election probe.

    Attributes:
      node: Node name of the member.
      silent: Whether the member accepted no heartbeat for ELECTION_TIMEOUT_S.
      highest_term: Highest term that the member has received.
    """

    node: str
    silent: bool
    highest_term: int


@attrs.frozen
class TransferLeadership:
    """Asks a member to start the next term at once; sent before leaving."""

    cell: str
    term: int


@attrs.frozen
class JoinRequest:
    """Asks the leader to record, update or remove a member.

    Attributes:
      cell: Name of the cell.
      member: The member entry to record.
      leaving: Whether to remove the member once it owns nothing.
    """

    cell: str
    member: cells.Member
    leaving: bool = False


@attrs.frozen
class JoinReply:
    """Reply to a join request.

    Attributes:
      accepted: Whether the receiver leads the cell and handles the request.
      leader_address: Peer address of the cell's leader according to the
        receiver.
      recorded: Whether the record already has the requested state.
    """

    accepted: bool
    leader_address: str = ""
    recorded: bool = False


@attrs.frozen
class MapRequest:
    """Asks for the record of the receiver's cell.

    Attributes:
      cell: Name of the cell.
      known_version: Version of the record that the sender has, or 0.
    """

    cell: str
    known_version: int = 0


@attrs.frozen
class MapReply:
    """Reply to a map request.

    Attributes:
      cell: Name of the cell.
      version: Version of the record that the receiver has.
      record: The record; None if it is not newer than the sender's.
    """

    cell: str
    version: int
    record: cells.CellRecord | None = None


@attrs.frozen
class DirectoryExchange:
    """Directory and configurations of a leader; the reply has the same type.

    Attributes:
      lines: Summaries of the tenant's cells.
      generations: Generation that the sender has, by tenant.
      configs: Configurations, in the reply only those that the receiver of
        the reply does not have.
    """

    lines: tuple[cells.CellSummary, ...]
    generations: dict[str, int]
    configs: tuple[ConfigUpdate, ...] = ()


@attrs.frozen
class CrashReport:
    """Fingerprints of requests that ran when a backend server crashed.

    Attributes:
      tenant: Name of the tenant.
      service: Name of the service.
      suspects: Fingerprints of requests that may have caused a crash.
      convicted: Fingerprints of requests that ran alone when a server crashed.
      cleared: Fingerprints of former suspects that have completed.
    """

    tenant: str
    service: str
    suspects: tuple[str, ...] = ()
    convicted: tuple[str, ...] = ()
    cleared: tuple[str, ...] = ()


@attrs.frozen
class Accepted:
    """Reply to a message that needs no specific reply."""


@attrs.frozen
class ErrorReply:
    """Reply to a message that could not be handled.

    Attributes:
      error: Kind of the error; see WaxwingleverError.
      message: What went wrong.
      remedy: What an operator can do about it.
    """

    error: str
    message: str
    remedy: str


Message = (
    Heartbeat
    | HeartbeatAck
    | ElectionProbe
    | ElectionProbeReply
    | TransferLeadership
    | JoinRequest
    | JoinReply
    | MapRequest
    | MapReply
    | DirectoryExchange
    | CrashReport
    | Accepted
    | ErrorReply
)
