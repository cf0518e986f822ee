"""Which nodes watch the store, and how the others follow them.

A change that every node watches for costs one call of the store a node. So a
few nodes of each zone, its readers, watch the store, and the others ask one of
them. A reader that isn't sure to be current refuses; who gets no answer
watches the store once, and then asks another reader.
"""

from collections.abc import Callable, Sequence

import attrs

from waxwinglever_assignment import fleet as fleets
from waxwinglever_assignment import replicas
from waxwinglever_assignment import sessions
from waxwinglever_model import clock
from waxwinglever_model import exceptions
from waxwinglever_store import leased

# Each follower holds two of a reader's threads.
NODES_PER_READER = 12
# How long a reader waits for a change. A reader that falls silent leaves its
# followers behind for this time and SLACK_S; the platform allows 2 s until a
# configuration is in force.
WAIT_S = 0.8
SLACK_S = 0.4
# A reader looks this often whether it is still current.
CHECK_S = 0.2
# A reader is current while the store has confirmed its session within this
# time. It is confirmed twice a second.
CURRENT_S = 1.0
# A reader that has failed is not asked for this long.
AVOID_S = 3.0


@attrs.define(eq=False)
class Following:
    """How a node follows its reader.

    Attributes:
      name: Name of this node.
      zone: Its zone.
      fleet: What is known of the others.
      store: The store, for the time without a reader.
      ask: Asks a reader for the changes of a prefix after a version; raises
        PeerUnavailable, or HistoryGone.
      must_read: Returns whether this node has to watch the store itself.
      log: Called with an event name and fields.
      avoided: Until when readers that failed are not asked, by name.
      reader: Name of the reader that was asked last; '' for the store.
    """

    name: str
    zone: str
    fleet: fleets.Fleet
    store: leased.LeasedStore
    ask: Callable[[fleets.Member, str, int], leased.Changes]
    must_read: Callable[[], bool]
    log: Callable[..., None]
    now: Callable[[], float] = clock.boottime_s
    avoided: dict[str, float] = attrs.Factory(dict)
    reader: str = ""


def readers_of(
    members: Sequence[fleets.Member], zone: str
) -> list[fleets.Member]:
    """Returns the readers of a zone: its strongest nodes."""
    present = [m for m in members if m.zone == zone]
    staying = [m for m in present if not m.leaving]
    count = -(-len(present) // NODES_PER_READER)
    staying.sort(key=lambda member: (-member.cores, member.name))
    return staying[:count]


def reader_of(following: Following) -> fleets.Member | None:
    """Returns the reader to ask, or None to watch the store."""
    if following.must_read():
        return None
    members = fleets.members(following.fleet)
    found = readers_of(members, following.zone)
    if following.name in [member.name for member in found]:
        return None
    # All nodes agree on the order, so the followers spread evenly.
    place = sum(
        member.zone == following.zone and member.name < following.name
        for member in members
    )
    now_s = following.now()
    for turn in range(len(found)):
        reader = found[(place + turn) % len(found)]
        if following.avoided.get(reader.name, now_s) <= now_s:
            return reader
    return None


def watch(following: Following) -> replicas.Watch:
    """Returns the watch of a node that follows its reader."""

    def call(prefix: str, version: int, wait_s: float) -> leased.Changes:
        reader = reader_of(following)
        note_reader(following, reader.name if reader else "")
        if reader is not None:
            try:
                return following.ask(reader, prefix, version)
            except leased.HistoryGone:
                # The store may still know them.
                pass
            except exceptions.PeerUnavailable as error:
                following.avoided[reader.name] = following.now() + AVOID_S
                following.log(
                    "reader-lost", reader=reader.name, error=error.message
                )
        return following.store.watch(prefix, version, wait_s)

    return call


def note_reader(following: Following, name: str) -> None:
    """Logs where this node learns of changes, when that has changed."""
    if name != following.reader:
        following.log("reader-chosen", reader=name, before=following.reader)
        following.reader = name


def serve(
    session: sessions.Session, replica: replicas.Replica, version: int
) -> leased.Changes:
    """Answers a follower; waits for a change.

    Raises:
      StoreUnavailable: This node isn't sure to be current.
      HistoryGone: Not all of these changes are known here.
    """
    end_s = session.now() + WAIT_S
    while True:
        if not is_current(session) or replica.lost:
            raise exceptions.StoreUnavailable(
                f"node {session.member.name} is not sure to be current",
                "watch the store",
            )
        found = replicas.changes_after(replica, version, CHECK_S)
        if found.changes or session.now() >= end_s:
            return found


def is_current(session: sessions.Session) -> bool:
    """Returns whether the store itself has confirmed this node lately."""
    return session.confirmed_directly and (
        session.now() - session.confirmed_s < CURRENT_S
    )
