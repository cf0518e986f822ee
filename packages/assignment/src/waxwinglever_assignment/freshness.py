"""How long a node may act on its copy of the operators' records.

A link that is full delays a change for longer than any fixed wait, so that a
change arrives in time can't be promised. What can be promised is that a node
doesn't act on records that may have been replaced: its copy is *confirmed* up
to a time if it had all changes of the store then, and it may be acted on for a
set time after that. Whoever writes a change gets the acknowledgement after the
confirmation of each copy that lacks it.

Confirmations come with each answer of a reader or the store, and as statements
with the answers of other daemons. A statement is a few bytes, so it arrives
where a configuration doesn't.
"""

import threading
import zlib
from collections.abc import Callable, Mapping

import attrs

from waxwinglever_assignment import replicas
from waxwinglever_model import clock
from waxwinglever_store import leased


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
    return freshness.now() - confirmed_s(freshness) <= freshness.bound_s


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
