"""When a member takes the next term (rules R4 and R10)."""

import attrs

from waxwinglever_model import cells
from waxwinglever_model import identifiers
from waxwinglever_model import limits
from waxwinglever_peers import messages


def silence_limit_s(
    record: cells.CellRecord | None, node: str, jitter: float
) -> float:
    """Returns how long a member waits for a heartbeat before it stands.

    Args:
      record: The record that the member knows.
      node: Node name of the member.
      jitter: In [0, 1).

    Returns:
      Seconds; later members wait longer, so that few stand at once.
    """
    names = [member.node for member in record.members] if record else []
    rank = names.index(node) if node in names else len(names)
    stagger = min(
        rank * limits.ELECTION_STAGGER_S, limits.ELECTION_STAGGER_MAX_S
    )
    return (
        limits.ELECTION_SILENCE_S + stagger + jitter * limits.ELECTION_JITTER_S
    )


def may_stand(
    record: cells.CellRecord,
    node: str,
    replies: list[messages.ElectionProbeReply],
    retired: frozenset[str],
) -> bool:
    """Returns whether a majority of the recorded members hears no leader.

    Args:
      record: The record that the member knows.
      node: Node name of the member itself, which counts as silent.
      replies: Answers of the other members.
      retired: Nodes that the operators declared lost; they count as silent.
    """
    silent = {reply.node for reply in replies if reply.silent}
    silent |= {node} | retired
    recorded = {member.node for member in record.members}
    return len(silent & recorded) >= cells.majority(len(recorded))


def next_term(
    record: cells.CellRecord, node: str, incarnation: str
) -> cells.CellRecord:
    """Returns the record with the next term; owners and epochs stay."""
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
    """Returns the first record of a cell, with its only member as leader."""
    return cells.CellRecord(
        cell=cell,
        term=1,
        leader=member.node,
        leader_incarnation=member.incarnation,
        nonce=identifiers.new_id(),
        members=(member,),
        slices=cells.even_slices() if keyed else (),
    )
