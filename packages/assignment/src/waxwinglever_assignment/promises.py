"""Promises of voters that let owners keep ranges during a store outage.

An owner that can't reach the store may keep its ranges while a majority of the
voters promise not to approve a takeover of them. Before the planner takes
ranges over, a majority of the voters must clear the owner: each confirms that
it has no promise to the owner outstanding, and makes none for PROMISE_DENIAL_S.
Two majorities always share a voter, so an owner can't be extended and taken
over at the same time.

The rules and the clocks they rely on:

- The owner counts the duration of a promise from before it sent the request,
  the voter from when it answered, so the promise ends first for the owner.
- Promises extend an owner's session for at most EXTENSION_S after the last
  confirmation by the store. After that its ranges can be taken over without
  asking the voters.
- The list of voters changes at most once in VOTERS_CHANGE_S, which is longer
  than EXTENSION_S. To clear an owner, a majority of the current list and one of
  the previous list are required, as the owner may have either list.
- A promise is made in the name of the era of the store in which the owner's
  ranges were recorded. After a restore of the store the planner may not know
  all owners. It clears all earlier eras: a majority of the voters confirm that
  they have no promise for an earlier era outstanding, and make none again. The
  list of voters may have been restored too. A list that was lost names its
  predecessor, and for PREDECESSOR_S after an owner has seen a new list, it
  needs a majority of both. So the majorities share a voter if the copy is no
  older than VOTERS_CHANGE_S.
- A voter that has just started has no record of its earlier answers. It makes
  no promise until the longest denial has ended, and clears no owner until the
  longest promise has ended. If the store holds no list of voters at its start,
  it has answered no earlier request, as only listed voters are asked.
"""

import threading
from collections.abc import Callable, Sequence

import attrs
import msgspec

from waxwinglever_model import clock
from waxwinglever_model import exceptions

# How long one promise lasts.
PROMISE_S = 2.0
# How long promises may extend a session after its last confirmation by the
# store. Owners must keep their ranges in outages of the store of up to 9 s.
EXTENSION_S = 15.0
# After this time without an entry an owner holds no ranges, whatever the voters
# promised. The margin covers slow clocks of backend servers.
EXPIRED_S = (EXTENSION_S + PROMISE_S) * 1.02 + 0.5
# A voter that cleared an owner for takeover makes no promise to it for this
# long.
PROMISE_DENIAL_S = EXPIRED_S + 2.0
# Least time between two changes of the list of voters.
VOTERS_CHANGE_S = EXPIRED_S + 1.0
# After a change of the list, promises need a majority of the previous list as
# well: the change may be lost in a restore up to VOTERS_CHANGE_S later, and an
# owner may be extended for EXPIRED_S from then.
PREDECESSOR_S = VOTERS_CHANGE_S + EXPIRED_S
# More voters cost messages and hardly add safety: five of nine would have to
# fail at the same time, and EXPIRED_S bounds the wait even then.
MAX_VOTERS = 9


@attrs.frozen
class VoterList:
    """The list of voters in the store.

    Attributes:
      names: Names of the nodes that vote.
      before: Names in the previous list.
      era: Era of the store in which the list was written.
    """

    names: tuple[str, ...]
    before: tuple[str, ...] = ()
    era: int = 0


@attrs.define(eq=False)
class VoterState:
    """The promises and denials of this node as a voter.

    Attributes:
      now: Returns the time in seconds.
      started_s: When the daemon started.
      promise_end_s: When each promise ends, by owner.
      denial_end_s: When each denial of promises ends, by owner.
      era_end_s: When the last promise for each era of the store ends.
      min_era: No promise is made for an earlier era than this.
      lock: Held while promises and denials are read or changed.
    """

    now: Callable[[], float] = clock.boottime_s
    started_s: float = attrs.Factory(lambda self: self.now(), takes_self=True)
    promise_end_s: dict[str, float] = attrs.Factory(dict)
    denial_end_s: dict[str, float] = attrs.Factory(dict)
    era_end_s: dict[int, float] = attrs.Factory(dict)
    min_era: int = 0
    lock: threading.Lock = attrs.Factory(threading.Lock)


def encode(voters: VoterList) -> bytes:
    """Returns a list of voters, encoded for the store."""
    return msgspec.json.encode(voters)


def decode(data: bytes) -> VoterList:
    """Decodes a list of voters from the store; raises InvalidInput."""
    try:
        return msgspec.json.decode(data, type=VoterList)
    except msgspec.MsgspecError as error:
        raise exceptions.InvalidInput(
            f"the list of voters in the store can't be decoded: {error}",
            "run the same version of all daemons",
        ) from error


def record_startup_list(state: VoterState, has_list: bool) -> None:
    """Lifts the wait after a start when the store held no list of voters.

    Args:
      state: The state of this voter.
      has_list: Whether the store held a list of voters when it started.
    """
    if not has_list:
        with state.lock:
            state.started_s = float("-inf")


def promise(state: VoterState, owner: str, era: int) -> bool:
    """Promises for PROMISE_S not to clear an owner for takeover.

    Args:
      state: The state of this voter.
      owner: Name of the owner.
      era: Era of the store in which the owner's ranges were recorded.

    Returns:
      Whether the promise was made. It is refused after a denial, for an era
      that was cleared, and while this voter has started too recently.
    """
    with state.lock:
        now_s = state.now()
        if now_s - state.started_s < PROMISE_DENIAL_S:
            return False
        if now_s < state.denial_end_s.get(owner, float("-inf")):
            return False
        if era < state.min_era:
            return False
        state.promise_end_s[owner] = now_s + PROMISE_S
        state.era_end_s[era] = now_s + PROMISE_S
        return True


def clear_takeover(state: VoterState, owner: str) -> float | None:
    """Denies an owner further promises for PROMISE_DENIAL_S.

    Returns:
      Seconds until an earlier promise ends, 0 when there is none; None when
      this voter has started so recently that a promise from before its start
      may be outstanding.
    """
    with state.lock:
        now_s = state.now()
        state.denial_end_s[owner] = now_s + PROMISE_DENIAL_S
        if now_s - state.started_s < PROMISE_S:
            return None
        return max(0.0, state.promise_end_s.get(owner, now_s) - now_s)


def clear_earlier_eras(state: VoterState, era: int) -> float | None:
    """Denies all owners further promises for the eras before this one.

    Returns:
      Seconds until the last of these promises ends, 0 when there is none; None
      when this voter has started so recently that a promise from before its
      start may be outstanding.
    """
    with state.lock:
        now_s = state.now()
        state.min_era = max(state.min_era, era)
        if now_s - state.started_s < PROMISE_S:
            return None
        return max(
            [0.0]
            + [
                end_s - now_s
                for promised, end_s in state.era_end_s.items()
                if promised < era
            ]
        )


def is_majority(names: Sequence[str], agreeing: Sequence[str]) -> bool:
    """Returns whether more than half of the names are in `agreeing`.

    An empty list of names needs no majority, so the result is True.
    """
    return not names or 2 * len(set(names) & set(agreeing)) > len(names)


def next_voters(
    record: VoterList | None,
    present: Sequence[tuple[str, str]],
    era: int = 0,
) -> VoterList | None:
    """Returns the next list of voters, or None to keep the current one.

    Args:
      record: The current list of voters, or None.
      present: Name and zone of each node with an entry.
      era: Era of the store.
    """
    zones: dict[str, list[str]] = {}
    for name, zone in sorted(present):
        zones.setdefault(zone, []).append(name)
    current = set(record.names) if record is not None else set()
    for names in zones.values():
        # Prefer current voters, as the list can't change again for a while.
        names.sort(key=lambda name: (name not in current, name))
    chosen: list[str] = []
    while len(chosen) < MAX_VOTERS and any(zones.values()):
        for zone in sorted(zones):
            if zones[zone] and len(chosen) < MAX_VOTERS:
                chosen.append(zones[zone].pop(0))
    names = tuple(sorted(chosen))
    if not names or (record is not None and names == record.names):
        return None
    return VoterList(names, record.names if record is not None else (), era)
