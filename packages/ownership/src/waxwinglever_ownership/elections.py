"""Decides when a member may start the next term (rules R4 and R10)."""

import attrs

from waxwinglever_model import cells
from waxwinglever_model import identifiers
from waxwinglever_model import limits
from waxwinglever_peers import messages


def election_timeout_s(
    record: cells.CellRecord | None, node: str, jitter: float
) -> float:
    """Returns the election timeout of a member.

    That is the time without heartbeats after which it becomes a candidate.

    Args:
      record: The newest record that the member has, if any.
      node: Node name of the member.
      jitter: Random number in [0, 1).

    Returns:
      Seconds. Members further down in the record wait longer, so that few
      become candidates at the same time.
    """
    names = [member.node for member in record.members] if record else []
    rank = names.index(node) if node in names else len(names)
    stagger = min(
        rank * limits.ELECTION_STAGGER_S, limits.ELECTION_STAGGER_MAX_S
    )
    return (
        limits.ELECTION_TIMEOUT_S + stagger + jitter * limits.ELECTION_JITTER_S
    )


def has_election_quorum(
    record: cells.CellRecord,
    node: str,
    replies: list[messages.ElectionProbeReply],
    retired: frozenset[str],
) -> bool:
    """Returns whether a majority of the members receives no heartbeats.

    Args:
      record: The current record.
      node: Node name of the candidate, which counts as one of them.
      replies: Replies of the other members to the election probe.
      retired: Nodes that the operators declared lost; they count too.
    """
    silent = {reply.node for reply in replies if reply.silent}
    silent |= {node} | retired
    recorded = {member.node for member in record.members}
    return len(silent & recorded) >= cells.majority(len(recorded))


def next_term(
    record: cells.CellRecord, node: str, incarnation: str
) -> cells.CellRecord:
    """Returns the record with the next term; owners and epochs are kept."""
    return attrs.evolve(
        record,
        term=record.term + 1,
        leader=node,
        leader_incarnation=incarnation,
        nonce=identifiers.new_id(),
    )


def initial_record(
    cell: str, member: cells.Member, keyed: bool
) -> cells.CellRecord:
    """Returns the record of a new cell, whose only member is the leader."""
    return cells.CellRecord(
        cell=cell,
        term=1,
        leader=member.node,
        leader_incarnation=member.incarnation,
        nonce=identifiers.new_id(),
        members=(member,),
        slices=cells.equal_slices() if keyed else (),
    )
