"""How long a node may act on its copy of the operators' records.

A link that is full delays a change for longer than any fixed wait, so that a
change arrives in time can't be promised. What can be promised is that a node
doesn't act on records that may have been replaced: its copy is *confirmed* up
to a time if it had all changes of the store then, and it may be acted on for a
set time after that. Whoever writes a change gets the acknowledgement after the
confirmation of each copy that lacks it.

Confirmations come with each answer of a reader or the store, and as statements
with the answers of other daemons. A statement is a few bytes, so it arrives
where a configuration doesn't. While no node can confirm its copy, as the store
is away, all go on with what they have.
"""

import random
import threading
import zlib
from collections.abc import Callable, Mapping, Sequence

import attrs

from waxwinglever_assignment import fleet_view
from waxwinglever_assignment import replicas
from waxwinglever_model import clock
from waxwinglever_model import exceptions
from waxwinglever_store import leased

# Fraction of the set time after which a node asks others for statements. The
# watches of a node with an idle link confirm its copy once a second.
ASK_SHARE = 0.65
# How often the age of the confirmation is checked.
CHECK_S = 0.1
ASKED_AT_A_TIME = 3
# Pause after statements that didn't confirm the copy.
REPEAT_S = 0.4
# A node goes on for this long after others have said that they can't confirm
# their copies either, counted from its question.
EXCUSE_S = 2.0


@attrs.frozen
class Statement:
    """What a daemon says of its copy of the operators' records.

    Attributes:
      state: Names the content of the copy; equal for equal content.
      version: Number of the newest configuration that the daemon has heard of.
      confirmed_in_s: Time from the arrival of the request until the copy was
        last confirmed, negative if that was before, or None if it never was.
    """

    state: str
    version: int
    confirmed_in_s: float | None = None


@attrs.define(eq=False)
class Freshness:
    """What a node knows of the age of the records that it acts on.

    Attributes:
      replica: The node's copy of the operators' records.
      bound_s: How long the records may be acted on after a confirmation.
      log: Called with an event name and fields.
      now: Returns the time in seconds.
      state: Names the records that are applied.
      version: Number of the configuration among them, or 0.
      applied_revision: Revision of the copy that they belong to.
      newest_version: Number of the newest configuration heard of.
      own_confirmed_s: When the copy was last confirmed while it was applied.
      heard_confirmed_s: The same by the statements of other daemons.
      key_bound_s: How long API keys may be accepted after a confirmation; None
        to accept them while the records may be acted on.
      refused: Whether the newest configuration can't be read, so that the keys
        that it withdraws aren't known.
      excused_until_s: Until when the records may be acted on without a
        confirmation.
      informed_s: When another daemon last had a recent confirmation, by its
        name.
      lock: Guards the fields above.
    """

    replica: replicas.Replica
    bound_s: float
    log: Callable[..., None]
    now: Callable[[], float] = clock.boottime_s
    state: str = ""
    version: int = 0
    applied_revision: int = -1
    newest_version: int = 0
    own_confirmed_s: float = float("-inf")
    heard_confirmed_s: float = float("-inf")
    excused_until_s: float = float("-inf")
    informed_s: dict[str, float] = attrs.Factory(dict)
    key_bound_s: float | None = None
    refused: bool = False
    lock: threading.Lock = attrs.Factory(threading.Lock)


def name_state(items: Mapping[str, leased.Item], era: int) -> str:
    """Returns a name for the content of a copy, which copies of it share."""
    versions = sorted((key, item.version) for key, item in items.items())
    return f"{era}.{zlib.crc32(repr(versions).encode()):x}"


def record_applied(
    freshness: Freshness,
    items: Mapping[str, leased.Item],
    era: int,
    revision: int,
    version: int,
) -> None:
    """Records that the content of the copy at a revision is acted on.

    Args:
      freshness: The state.
      items: The content.
      era: Era of the store that it belongs to.
      revision: Revision of the copy.
      version: Number of the active configuration, or 0.
    """
    state = name_state(items, era)
    with freshness.lock:
        freshness.applied_revision = revision
        freshness.version = version
        freshness.newest_version = max(freshness.newest_version, version)
        if state != freshness.state:
            freshness.state = state
            freshness.heard_confirmed_s = float("-inf")


def confirmed_s(freshness: Freshness) -> float:
    """Returns when the applied records were last known to be the newest."""
    with freshness.lock:
        # In this order: a later content of the copy is confirmed later.
        copy_s = freshness.replica.confirmed_s
        if freshness.replica.revision == freshness.applied_revision:
            freshness.own_confirmed_s = copy_s
        return max(freshness.own_confirmed_s, freshness.heard_confirmed_s)


def is_current(freshness: Freshness) -> bool:
    """Returns whether the applied records may be acted on."""
    now_s = freshness.now()
    return (
        now_s - confirmed_s(freshness) <= freshness.bound_s
        or now_s < freshness.excused_until_s
    )


def accepts_keys(freshness: Freshness) -> bool:
    """Returns whether API keys may be accepted by the applied records.

    A key may have been withdrawn while the store was out of reach, so there is
    no excuse as in is_current.
    """
    return not freshness.refused and (
        freshness.key_bound_s is None
        or freshness.now() - confirmed_s(freshness) <= freshness.key_bound_s
    )


def make_statement(freshness: Freshness, arrived_s: float) -> Statement:
    """Returns the statement of this node for a request that arrived."""
    known_s = confirmed_s(freshness) - arrived_s
    with freshness.lock:
        return Statement(
            freshness.state,
            freshness.newest_version,
            round(known_s, 3) if known_s > float("-inf") else None,
        )


def hear(freshness: Freshness, statement: Statement, asked_s: float) -> None:
    """Takes the statement of another daemon into account.

    Args:
      freshness: The state.
      statement: The statement.
      asked_s: When the request was sent that it came in answer to. The request
        arrived later, so the copy was confirmed no earlier than this shows.
    """
    hear_version(freshness, statement.version)
    with freshness.lock:
        if (
            statement.confirmed_in_s is not None
            and statement.state == freshness.state
        ):
            heard_s = min(asked_s + statement.confirmed_in_s, freshness.now())
            freshness.heard_confirmed_s = max(
                freshness.heard_confirmed_s, heard_s
            )


def hear_version(freshness: Freshness, version: int) -> None:
    """Records the number of a configuration that another daemon has named."""
    with freshness.lock:
        if version <= freshness.newest_version:
            return
        freshness.newest_version = version
    freshness.log(
        "configuration-announced", version=version, active=freshness.version
    )


def run(
    freshness: Freshness,
    sources: Callable[[], Sequence[fleet_view.Member]],
    ask: Callable[[fleet_view.Member], Statement],
    run_all: Callable[..., object],
    stopping: threading.Event,
) -> None:
    """Asks other daemons whenever no confirmation comes by itself.

    Args:
      freshness: The state.
      sources: Returns the daemons that are likely to know, except this one;
        none if this node is alone.
      ask: Returns the statement of a daemon or raises PeerUnavailable.
      run_all: Calls a function with each element, in parallel.
      stopping: Ends the task when it is set.
    """
    while not stopping.wait(CHECK_S):
        if is_recent(freshness, confirmed_s(freshness)):
            continue
        members = order_sources(freshness, sources())[:ASKED_AT_A_TIME]
        ask_all(freshness, members, ask, run_all)
        if not is_recent(freshness, confirmed_s(freshness)):
            stopping.wait(REPEAT_S)


def is_recent(freshness: Freshness, time_s: float) -> bool:
    """Returns whether a confirmation is so recent that none is asked for."""
    bound_s = freshness.bound_s
    if freshness.key_bound_s is not None:
        bound_s = min(bound_s, freshness.key_bound_s)
    return freshness.now() - time_s < ASK_SHARE * bound_s


def order_sources(
    freshness: Freshness, members: Sequence[fleet_view.Member]
) -> list[fleet_view.Member]:
    """Returns daemons to ask, those that knew something last time first."""
    return sorted(
        random.sample(members, len(members)),
        key=lambda member: -freshness.informed_s.get(member.name, 0.0),
    )


def ask_all(
    freshness: Freshness,
    members: Sequence[fleet_view.Member],
    ask: Callable[[fleet_view.Member], Statement],
    run_all: Callable[..., object],
) -> None:
    """Asks daemons for their statements; see run.

    A daemon that can't confirm its own copy either, and has heard of no newer
    configuration, excuses this node, unless another one can: then the store is
    away for all of them. Without any answer the link of this node is the likely
    reason, and it isn't excused.
    """
    asked_s = freshness.now()

    def ask_one(member: fleet_view.Member) -> bool:
        """Returns whether an answer shows that this node must not go on."""
        try:
            statement = ask(member)
        except exceptions.PeerUnavailable:
            return False
        hear(freshness, statement, asked_s)
        is_informed = statement.confirmed_in_s is not None and is_recent(
            freshness, asked_s + statement.confirmed_in_s
        )
        with freshness.lock:
            if is_informed:
                freshness.informed_s[member.name] = asked_s
            elif freshness.newest_version <= freshness.version:
                freshness.excused_until_s = asked_s + EXCUSE_S
                return False
            return True

    if not members:
        freshness.excused_until_s = asked_s + EXCUSE_S
    elif any(list(run_all(ask_one, members))):
        freshness.excused_until_s = float("-inf")
