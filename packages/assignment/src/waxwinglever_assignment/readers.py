"""Which nodes watch the store, and how the others get changes from them.

If every node watched the store, each change would cost one call of the store
for each node. Instead, a few nodes of the fleet, its watchers, watch the store.
A few nodes of each zone, its readers, ask a watcher or are one, and all other
nodes (followers) ask a reader of their zone. A watcher whose watch is overdue
refuses a request, and so does a reader that has not heard from a watcher in
time. A node whose reader or watcher fails asks another one, and the store
itself after that: its answer is large and counts as a call.
"""

from collections.abc import Callable, Sequence

import attrs

from waxwinglever_assignment import fleet_view
from waxwinglever_assignment import reader_order
from waxwinglever_assignment import replicas
from waxwinglever_model import clock
from waxwinglever_model import exceptions
from waxwinglever_store import leased

# How long a reader waits for a change before it answers a follower. A reader
# that stops answering delays its followers by FOLLOWER_WAIT_S +
# FOLLOWER_MARGIN_S; the platform allows 2 s until a configuration is active.
# Packets wait for over half a second on a link that is full of bodies.
FOLLOWER_WAIT_S = 0.8
FOLLOWER_MARGIN_S = 0.6
# While a reader waits, it checks this often whether it is still current.
CHECK_S = 0.2
# A copy is current for this long beyond the wait of its watch of the store. The
# response of a watch that waits to its end is not there any sooner.
CURRENT_MARGIN_S = 0.6
# A reader that follows a watcher stays current for this much longer than the
# watcher said. A watcher says CURRENT_MARGIN_S at least, and the next answer
# comes FOLLOWER_WAIT_S later and may be held up.
RELAY_MARGIN_S = 0.4
# A copy whose watch is overdue or has just failed may be current again within
# this time. If it refused its followers at once, all of them turned to the
# store in the moment in which the store cut all watches.
REFUSAL_DELAY_S = 0.2
# The store is watched in such a way that a copy that announces confirmations is
# confirmed at least this often.
MAX_UNCONFIRMED_S = 1.2
# Readers that are asked, without a wait, after the first one has failed. More
# would delay the change by FOLLOWER_MARGIN_S each when all of them are lost.
MAX_REPEATS = 1
# A reader that has failed is not asked again for this long.
AVOID_S = 3.0


class ReaderHistoryGone(leased.HistoryCompacted):
    """A reader no longer has all changes; the store may have them."""


@attrs.define(eq=False)
class FollowerState:
    """The state of a node that gets changes from readers.

    Attributes:
      name: Name of this node.
      zone: Availability zone of this node.
      fleet: View of all members.
      store: The store, watched when there is no reader to ask.
      fetch_changes: Asks a reader for the changes of a prefix after a version
        of an era, for which the reader may wait some seconds; raises
        PeerUnavailable or HistoryCompacted.
      must_watch_store: Returns whether this node must watch the store itself.
      log: Called with an event name and fields.
      now: Returns the time in seconds.
      avoid_until_s: When readers that failed may be asked again, by name.
      reader: Name of the reader that was asked last; '' for the store.
      order_cache: Members and incarnation of the planner, and the readers to
        ask that were found for them.
    """

    name: str
    zone: str
    fleet: fleet_view.FleetView
    store: leased.LeasedStoreClient
    fetch_changes: Callable[
        [fleet_view.Member, str, int, int, float], leased.Changes
    ]
    must_watch_store: Callable[[], bool]
    log: Callable[..., None]
    now: Callable[[], float] = clock.boottime_s
    avoid_until_s: dict[str, float] = attrs.Factory(dict)
    reader: str = ""
    order_cache: tuple[
        Sequence[fleet_view.Member], str, list[fleet_view.Member]
    ] = ((), "", [])


def preferred_readers(follower: FollowerState) -> list[fleet_view.Member]:
    """Returns the readers of a follower, in the order in which to ask them.

    There are none for a node that must watch the store.
    """
    if follower.must_watch_store():
        return []
    members = fleet_view.list_members(follower.fleet)
    planner = fleet_view.planner_incarnation(follower.fleet)
    known_members, known_planner, order = follower.order_cache
    if known_members is not members or known_planner != planner:
        order = reader_order.nodes_to_ask(
            members, planner, follower.name, follower.zone
        )
        follower.order_cache = (members, planner, order)
    return order


def informed_nodes(follower: FollowerState) -> list[fleet_view.Member]:
    """Returns the other nodes that hear of a change first.

    These are the watchers and the readers of this zone.
    """
    members = fleet_view.list_members(follower.fleet)
    planner = fleet_view.planner_incarnation(follower.fleet)
    found = {
        member.name: member
        for member in (
            *reader_order.zone_readers(members, follower.zone),
            *reader_order.watchers(members, planner),
        )
        if member.name != follower.name
    }
    return list(found.values())


def choose_reader(follower: FollowerState) -> fleet_view.Member | None:
    """Returns the reader to ask, or None to watch the store."""
    now_s = follower.now()
    for reader in preferred_readers(follower):
        if follower.avoid_until_s.get(reader.name, now_s) <= now_s:
            return reader
    return None


def watch(follower: FollowerState, replica: replicas.Replica) -> replicas.Watch:
    """Returns a watch for a copy that asks a reader, or else watches the store.

    It records until when the copy is current. A copy that follows a node which
    follows another one is not: two nodes with different views of the members
    might follow each other. The watch raises StoreUnavailable, StoreRestored
    and HistoryCompacted as LeasedStoreClient.watch does.
    """

    def watch_once(
        prefix: str, version: int, wait_s: float, era: int
    ) -> leased.Changes:
        if follower.store.era() != era:
            # The session's calls have shown a restore of the store. The reader
            # may not know of it yet.
            raise leased.StoreRestored(
                f"the store is in era {follower.store.era()}, the copy in"
                f" era {era}",
                "list again",
            )
        if preferred_readers(follower):
            replica.watches_store = False
            try:
                return follow(follower, replica, prefix, version, wait_s, era)
            except ReaderHistoryGone:
                # The store may have a longer history than the reader.
                pass
        log_reader_change(follower, "")
        wait_s = bound_wait(replica, wait_s)
        mark_watching(follower, replica, wait_s)
        return watch_store(
            follower, follower.store.watch, prefix, version, wait_s, era
        )

    return watch_once


def bound_wait(replica: replicas.Replica, wait_s: float) -> float:
    """Returns how long to watch the store, if its copy announces confirmations.

    A watch that returns a change shows no more than that the copy was current
    when the watch began. The next one is shorter, so that the copy is confirmed
    in time even if there are changes now and then.
    """
    if not replica.announces:
        return wait_s
    left_s = replica.confirmed_s + MAX_UNCONFIRMED_S - replica.now()
    return min(wait_s, max(0.0, left_s))


def watch_store(
    follower: FollowerState,
    call: Callable[[str, int, float, int], leased.Changes],
    prefix: str,
    version: int,
    wait_s: float,
    era: int,
) -> leased.Changes:
    """Watches the store by one of its calls.

    Returns:
      The changes, with the time at which the copy had all of them.
    """
    asked_s = follower.now()
    found = call(prefix, version, wait_s, era)
    # Without a change, the store has answered when the wait was over.
    waited = not found.changes and follower.now() - asked_s >= wait_s
    return attrs.evolve(
        found, confirmed_s=asked_s + (wait_s if waited else 0.0)
    )


def follow(
    follower: FollowerState,
    replica: replicas.Replica,
    prefix: str,
    version: int,
    wait_s: float,
    era: int,
) -> leased.Changes:
    """Returns the changes that a reader has, or the store if several failed.

    Raises:
      ReaderHistoryGone: A reader does not have all changes.
      HistoryCompacted: The readers failed, and neither they nor the store have
        all changes.
      StoreUnavailable: The readers failed, and the store did not answer.
    """

    def ask() -> leased.Changes | None:
        asked_s = follower.now()
        found = ask_readers(follower, prefix, version, era, FOLLOWER_WAIT_S)
        if found is not None:
            replica.current_until_s = (
                asked_s + found.current_s + RELAY_MARGIN_S
                if found.current_s > 0
                else float("-inf")
            )
        return found

    asks_reader = choose_reader(follower) is not None
    found = ask()
    if found is not None:
        return found
    # A reader that was lost just now may have hidden a change.
    left_s = 0.0 if asks_reader else wait_s
    mark_watching(follower, replica, left_s)
    try:
        return catch_up(follower, prefix, version, left_s, era)
    except leased.HistoryCompacted:
        # The readers have met the same gap, and have read the store again by
        # now. If each follower did, it would cost a list of each node.
        replica.watches_store = False
        follower.avoid_until_s.clear()
        found = ask()
        if found is None:
            raise
        return found


def mark_watching(
    follower: FollowerState, replica: replicas.Replica, wait_s: float
) -> None:
    """Records that a watch of the store begins, which waits for `wait_s`."""
    replica.watches_store = True
    replica.current_until_s = follower.now() + wait_s + CURRENT_MARGIN_S


def ask_readers(
    follower: FollowerState, prefix: str, version: int, era: int, wait_s: float
) -> leased.Changes | None:
    """Returns the changes that a reader has, or None if several failed.

    Only the first reader waits for a change, up to `wait_s`: it may have hidden
    one if it fails.

    Raises:
      ReaderHistoryGone: A reader does not have all changes.
    """
    for _ in range(1 + MAX_REPEATS):
        reader = choose_reader(follower)
        log_reader_change(follower, reader.name if reader else "")
        if reader is None:
            return None
        found = ask_reader(follower, reader, prefix, version, era, wait_s)
        if found is not None:
            return found
        wait_s = 0.0
    return None


def catch_up(
    follower: FollowerState, prefix: str, version: int, wait_s: float, era: int
) -> leased.Changes:
    """Returns the store's changes, for a follower whose readers have failed.

    The store's answer is uncompressed and has every value since the version. A
    large one would fill a slow link for seconds, so the readers are asked for
    it once more: the link may have been the reason why they failed.

    Raises:
      HistoryCompacted: Neither a reader nor the store has all changes.
      StoreUnavailable: The store did not answer.
    """
    try:
        try:
            return watch_store(
                follower,
                follower.store.watch_small,
                prefix,
                version,
                wait_s,
                era,
            )
        except leased.AnswerTooLarge as error:
            follower.log(
                "store-answer-too-large",
                prefix=prefix,
                version=version,
                error=error.message,
            )
            follower.avoid_until_s.clear()
            found = ask_readers(follower, prefix, version, era, 0.0)
            if found is not None and found.changes:
                return found
            return watch_store(
                follower, follower.store.watch, prefix, version, 0.0, era
            )
    except exceptions.StoreUnavailable:
        # All paths may fail alike because the link of this node is full.
        follower.avoid_until_s.clear()
        raise


def ask_reader(
    follower: FollowerState,
    reader: fleet_view.Member,
    prefix: str,
    version: int,
    era: int,
    wait_s: float,
) -> leased.Changes | None:
    """Returns the changes that a reader has, or None if it failed.

    A reader that failed is not chosen again for AVOID_S.

    Raises:
      ReaderHistoryGone: The reader does not have all changes.
    """
    asked_s = follower.now()
    try:
        return follower.fetch_changes(reader, prefix, version, era, wait_s)
    except leased.HistoryCompacted as error:
        raise ReaderHistoryGone(error.message, error.remedy) from error
    except exceptions.PeerUnavailable as error:
        follower.avoid_until_s[reader.name] = follower.now() + AVOID_S
        follower.log(
            "reader-lost",
            reader=reader.name,
            prefix=prefix,
            version=version,
            taken_s=round(follower.now() - asked_s, 3),
            error=error.message,
        )
        return None


def log_reader_change(follower: FollowerState, name: str) -> None:
    """Records the reader in use and logs a change of it."""
    if name != follower.reader:
        follower.log("reader-chosen", reader=name, before=follower.reader)
        follower.reader = name


def wait_for_changes(
    replica: replicas.Replica, version: int, era: int, wait_s: float
) -> leased.Changes:
    """Waits for changes after a version, on behalf of a follower.

    Args:
      replica: The copy whose changes the follower gets.
      version: Store version that the follower has.
      era: Era of the store that this version belongs to.
      wait_s: How long to wait, at most FOLLOWER_WAIT_S.

    Returns:
      The changes, none if there were none in time, and for how long the copy is
      current if it watches the store.

    Raises:
      StoreUnavailable: There are no changes here, but the copy may be out of
        date.
      HistoryCompacted: Some of these changes are no longer in the history, or
        this node is in another era.
    """
    arrived_s = replica.now()
    end_s = arrived_s + min(wait_s, FOLLOWER_WAIT_S)
    last_current_s = arrived_s
    known_s = replica.confirmed_s
    while True:
        if replica.store.era() != replica.era:
            raise leased.HistoryCompacted(
                f"this node has no changes of era {era} any more",
                "watch the store",
            )
        left_s = end_s - replica.now()
        found = replicas.changes_after(
            replica, version, era, max(0.0, min(CHECK_S, left_s))
        )
        if replica.watches_store:
            found = attrs.evolve(
                found,
                current_s=round(
                    max(0.0, replica.current_until_s - arrived_s), 3
                ),
            )
        if found.changes or (replica.announces and found.confirmed_s > known_s):
            return found
        now_s = replica.now()
        if is_current(replica):
            last_current_s = now_s
        elif now_s >= min(end_s, last_current_s + REFUSAL_DELAY_S):
            raise exceptions.StoreUnavailable(
                "the copy of this node may be out of date", "watch the store"
            )
        if now_s >= end_s:
            return found


def is_current(replica: replicas.Replica) -> bool:
    """Returns whether a change in the store would have reached the copy.

    That is so while the watch of the store is not overdue, that of this node or
    of the node that it follows.
    """
    return not replica.disconnected and replica.now() < replica.current_until_s
