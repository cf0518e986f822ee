"""State of the grants to the backend server of a node, and what it says."""

import threading
from collections.abc import Callable
from concurrent import futures

import attrs

from waxwinglever_assignment import fleet_view
from waxwinglever_assignment import holds
from waxwinglever_assignment import sessions
from waxwinglever_assignment import tables
from waxwinglever_model import clock
from waxwinglever_model import exceptions
from waxwinglever_store import leased

# Concurrent calls to the backend server; an unanswered one must not delay the
# renewal of all other ranges.
CALL_THREADS = 4


class FenceTooLow(exceptions.WaxwingleverError):
    """The backend server has seen a higher fence for one of the shards."""

    kind = "fence-too-low"


class NotSent(exceptions.BackendUnavailable):
    """A call was not sent, as no connection could be opened."""


@attrs.frozen
class GrantCalls:
    """Calls to the backend server; each raises BackendUnavailable.

    Attributes:
      is_connected: Returns whether a process of the backend server can still be
        reached; called with its number. A process that can't be shown to be an
        earlier one has a number of its own.
      grant: Grants a range; called with the range, the seconds to hold it, the
        timeout of the call, the number of the process that should get it, and a
        function that returns the fencing token for the process that gets it.
        Raises FenceTooLow, or NotSent.
      release: Releases a range; called with the range and the timeout of the
        call. Returns the handover token.
    """

    is_connected: Callable[[int], bool]
    grant: Callable[
        [tables.Range, float, float, int, Callable[[int], int]], None
    ]
    release: Callable[[tables.Range, float], str]


@attrs.frozen
class FenceUse:
    """The newest token of a fence, and the process that it is for.

    Attributes:
      index: Number of the token.
      process: Number of the process of the backend server.
    """

    index: int
    process: int


@attrs.define(eq=False)
class GrantManager:
    """State of the grants to the backend server of this node.

    Attributes:
      name: Name of this node.
      service: Name of the service of the backend server.
      fleet: View of all members and ownership tables.
      session: The session of this node.
      store: Client of the platform's store.
      grant_calls: Calls to the backend server.
      log: Called with an event name and fields.
      now: Returns the time in seconds.
      grant_end_s: When the grant of each range ends on this node's clock, by
        fence.
      ranges: The ranges of `grant_end_s`, by fence.
      releasing: Fences of ranges that are released or being released.
      handing_over: Fences of ranges that are being handed over, or were and are
        still this node's in its copy of the table. They stay in `releasing`
        even if the copy shows that their move was cancelled: a release that is
        answered already may still move them.
      hold_book: Until when the backend server may hold each shard.
      instance: Id of the run of the backend server that the grants went to.
      fence_uses: The newest token of each fence that was granted.
      lock: Held while the fields above are read or changed.
      send_lock: Held while renewals are sent.
      executor: Threads that call the backend server.
      stopping: Set when the threads must end.
    """

    name: str
    service: str
    fleet: fleet_view.FleetView
    session: sessions.Session
    store: leased.LeasedStoreClient
    grant_calls: GrantCalls
    log: Callable[..., None]
    now: Callable[[], float] = clock.boottime_s
    grant_end_s: dict[int, float] = attrs.field(factory=dict)
    ranges: dict[int, tables.Range] = attrs.field(factory=dict)
    releasing: set[int] = attrs.Factory(set)
    handing_over: set[int] = attrs.Factory(set)
    # The previous run of the daemon may have granted ranges just before.
    hold_book: holds.HoldBook = attrs.Factory(
        lambda self: holds.earlier_run(self.now() + sessions.TAKEOVER_WAIT_S),
        takes_self=True,
    )
    instance: str = ""
    fence_uses: dict[int, FenceUse] = attrs.field(factory=dict)
    lock: threading.Lock = attrs.Factory(threading.Lock)
    send_lock: threading.Lock = attrs.Factory(threading.Lock)
    executor: futures.ThreadPoolExecutor = attrs.Factory(
        lambda: futures.ThreadPoolExecutor(CALL_THREADS, "grants")
    )
    stopping: threading.Event = attrs.Factory(threading.Event)


def held_fence(grant_manager: GrantManager, shard: int) -> int | None:
    """Returns the fence under which the backend server holds a shard, or None.

    Only grants that the backend server has acknowledged count.
    """
    now_s = grant_manager.now()
    with grant_manager.lock:
        for fence, item in grant_manager.ranges.items():
            if item.first <= shard <= item.last:
                if (
                    grant_manager.grant_end_s[fence] > now_s
                    and fence not in grant_manager.releasing
                ):
                    return fence
    return None


def may_be_held(grant_manager: GrantManager, first: int, last: int) -> bool:
    """Returns whether the backend server may still hold any of some shards.

    Unlike in `held_fence`, grants without an answer count, and so do those of
    the daemon's previous run.
    """
    with grant_manager.lock:
        end_s = holds.latest_end_s(grant_manager.hold_book, first, last)
    return end_s > grant_manager.now()


def holds_owned_ranges(grant_manager: GrantManager) -> bool:
    """Returns whether the backend server may hold ranges of this node."""
    table = fleet_view.ownership_table(
        grant_manager.fleet, grant_manager.service
    )
    return table is not None and any(
        may_be_held(grant_manager, item.first, item.last)
        for item in tables.owned_ranges(table, grant_manager.name)
    )


def ranges_held_since_restore(
    grant_manager: GrantManager,
) -> tuple[tables.Range, ...]:
    """Returns the held ranges whose record is older than the store's era.

    Nobody else can have got these ranges, as this node has held them since
    before the restore. The planner writes them to the table again.
    """
    era = grant_manager.store.era()
    now_s = grant_manager.now()
    with grant_manager.lock:
        return tuple(
            item
            for fence, item in grant_manager.ranges.items()
            if not tables.is_current(item, era)
            and fence not in grant_manager.releasing
            and grant_manager.grant_end_s[fence] > now_s
        )


def outdated_eras(grant_manager: GrantManager) -> set[int]:
    """Returns the earlier eras in which held ranges were recorded."""
    return {item.era for item in ranges_held_since_restore(grant_manager)}
