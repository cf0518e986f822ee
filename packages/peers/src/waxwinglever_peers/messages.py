"""The messages between daemons."""

import attrs

from waxwinglever_model import cells


@attrs.frozen
class ConfigUpdate:
    """An accepted configuration, as the store holds it.

    Attributes:
      tenant: Name of the tenant.
      generation: Number of the accepted configuration.
      value: The store's value, JSON text.
    """

    tenant: str
    generation: int
    value: str


@attrs.frozen
class SliceLoad:
    """Load of one slice, as its owner measures it.

    Attributes:
      ref: The slice.
      requests_per_s: Rate of requests for the slice.
      hot_point: Point of the most frequent key, or None.
      hot_share: Share of the slice's requests that this key has, in [0, 1].
    """

    ref: cells.SliceRef
    requests_per_s: float
    hot_point: int | None = None
    hot_share: float = 0.0


@attrs.frozen
class Heartbeat:
    """From the leader to a member; renews the leases on its slices.

    The member holds a lease on each slice that the record of `record_version`
    assigns to it, but for those in `withheld`.

    Attributes:
      cell: Name of the cell.
      term: Term of the leader.
      leader: Node name of the leader.
      leader_incarnation: Incarnation of the leader.
      sequence: Rises with each heartbeat to this member in this term.
      base_sequence: Last sequence that the member acknowledged, or 0. The
        member counts `remaining_s` from just before it sent that
        acknowledgement.
      remaining_s: Remaining time of the leases, in seconds; 0 for none.
      record_version: Version of the record under which leases are granted.
      record: The record, when the member has not acknowledged this version.
      withheld: Slices of this member without a lease.
      revoke: Slices to hand back once their requests have finished.
      configs: Configurations newer than the member's.
      directory: Lines of the other cells, when they changed.
      directory_version: Version of the leader's directory.
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
    directory: tuple[cells.CellLine, ...] | None = None
    directory_version: int = 0


@attrs.frozen
class HeartbeatAck:
    """Answer to a heartbeat.

    Attributes:
      node: Node name of the member.
      incarnation: Incarnation of the member.
      accepted: Whether the member acknowledges the term.
      highest_term: Highest term that the member has seen.
      sequence: Sequence of the heartbeat.
      record_version: Version of the record that the member has.
      released: Slices that the member has handed back.
      generations: Generation that the member obeys, by tenant.
      directory_version: Version of the directory that the member has.
      draining: Whether the member is leaving and must own nothing.
      loads: Loads of the busiest slices, or None when they are not reported.
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
    """Asks a member whether it hears the leader of the cell."""

    cell: str
    term: int
    candidate: str


@attrs.frozen
class ElectionProbeReply:
    """Answer to an election probe.

    Attributes:
      node: Node name of the member.
      silent: Whether it has heard no leader within the election silence.
      highest_term: Highest term that it has seen.
    """

    node: str
    silent: bool
    highest_term: int


@attrs.frozen
class TransferLeadership:
    """Asks a member to take the next term at once, as the leader leaves."""

    cell: str
    term: int


@attrs.frozen
class JoinRequest:
    """Asks the leader to record, update or remove a member.

    Attributes:
      cell: Name of the cell.
      member: The member as it wants to be recorded.
      leaving: Whether to remove it once it owns nothing.
    """

    cell: str
    member: cells.Member
    leaving: bool = False


@attrs.frozen
class JoinReply:
    """Answer to a join request.

    Attributes:
      accepted: Whether the receiver leads the cell and will record it.
      leader_address: Peer address of the leader that the receiver knows.
      recorded: Whether the record already says what was asked for.
    """

    accepted: bool
    leader_address: str = ""
    recorded: bool = False


@attrs.frozen
class MapRequest:
    """Asks for the record of the receiver's cell, if newer than known."""

    cell: str
    known_version: int = 0


@attrs.frozen
class MapReply:
    """Answer to a map request; `record` is None when none is newer."""

    cell: str
    version: int
    record: cells.CellRecord | None = None


@attrs.frozen
class DirectoryExchange:
    """Cell lines and configurations, between leaders; answered by the same."""

    lines: tuple[cells.CellLine, ...]
    generations: dict[str, int]
    configs: tuple[ConfigUpdate, ...] = ()


@attrs.frozen
class CrashReport:
    """Fingerprints of requests that were running when a server crashed.

    Attributes:
      tenant: Name of the tenant.
      service: Name of the service.
      suspects: Fingerprints that may have caused a crash.
      convicted: Fingerprints that crashed a server alone.
      cleared: Fingerprints that completed after all.
    """

    tenant: str
    service: str
    suspects: tuple[str, ...] = ()
    convicted: tuple[str, ...] = ()
    cleared: tuple[str, ...] = ()


@attrs.frozen
class Accepted:
    """Answer to a message that needs no other."""


@attrs.frozen
class ErrorReply:
    """Typed refusal of a message that can't be handled."""

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
