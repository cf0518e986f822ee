"""Promises between daemons that carry owners through an outage of the store.

An owner that can't reach the store may go on while more than half of the
voters promise that they help nobody to take its ranges away. Whoever takes
ranges away first gets the word of more than half of the voters that they have
no such promise outstanding, and from then on they make none for that owner.
The two majorities have a voter in common.

The rules, and the clocks that they lean on:

- A promise is counted by the owner from before it asked, and by the voter from
  when it answered, so the owner's view of it ends first.
- An owner lives on promises for EXTENSION_S after the store last confirmed it,
  and no longer. After that its ranges can be taken without any word.
- The list of voters changes at most once in CHANGE_S, which is longer than
  that. A majority of both the new list and the one before is asked until then,
  as an owner may know either.
- A voter that has just started has forgotten what it said before. It makes no
  promise before the longest denial has ended, and gives no word before the
  longest promise has. A voter that finds no list of voters in the store when
  it starts has said nothing before, as only voters on a list are asked.
"""

import threading
from collections.abc import Callable, Sequence

import attrs
import msgspec

from waxwinglever_model import clock
from waxwinglever_model import exceptions

# How long one promise lasts.
PROMISE_S = 2.0
# How long an owner may live on promises after the store last confirmed it.
# Outages on the platform's standard days last up to 9 s.
EXTENSION_S = 15.0
# After this time without an entry an owner holds nothing, whoever promised.
# The rest covers slow clocks of backend servers.
EXPIRED_S = (EXTENSION_S + PROMISE_S) * 1.02 + 0.5
# A voter that gave its word makes no promise for that owner for this long.
DENIAL_S = EXPIRED_S + 2.0
CHANGE_S = EXPIRED_S + 1.0
# More voters cost messages and hardly add safety: five may be lost of nine
# only together, and then EXPIRED_S still bounds the wait.
MOST_VOTERS = 9


@attrs.frozen
class Voters:
    """The record of the nodes that promise.

    Attributes:
      names: Names of the nodes.
      before: The list that was in force before.
    """

    names: tuple[str, ...]
    before: tuple[str, ...] = ()


@attrs.define(eq=False)
class Promises:
    """What this node has promised.

    Attributes:
      started_s: When this life of the daemon began.
      given: Until when each promise lasts, by owner.
      denied: Until when no promise is made, by owner.
    """

    now: Callable[[], float] = clock.boottime_s
    started_s: float = attrs.Factory(lambda self: self.now(), takes_self=True)
    given: dict[str, float] = attrs.Factory(dict)
    denied: dict[str, float] = attrs.Factory(dict)
    lock: threading.Lock = attrs.Factory(threading.Lock)


def encode(voters: Voters) -> bytes:
    """Returns the bytes of the record."""
    return msgspec.json.encode(voters)


def decode(data: bytes) -> Voters:
    """Returns the record in a value of the store; raises InvalidInput."""
    try:
        return msgspec.json.decode(data, type=Voters)
    except msgspec.MsgspecError as error:
        raise exceptions.InvalidInput(
            f"the list of voters can't be read: {error}",
            "update the daemons to one version",
        ) from error


def begin(state: Promises, has_list: bool) -> None:
    """Takes whether the store held a list of voters as this voter started."""
    if not has_list:
        with state.lock:
            state.started_s = float("-inf")


def promise(state: Promises, owner: str) -> bool:
    """Promises for PROMISE_S to help nobody take the owner's ranges away."""
    with state.lock:
        now_s = state.now()
        if now_s - state.started_s < DENIAL_S:
            return False
        if now_s < state.denied.get(owner, float("-inf")):
            return False
        state.given[owner] = now_s + PROMISE_S
        return True


def give_word(state: Promises, owner: str) -> float | None:
    """Denies an owner further promises.

    Returns:
      Seconds that an earlier promise still lasts; None when this node has
      started too recently to know.
    """
    with state.lock:
        now_s = state.now()
        state.denied[owner] = now_s + DENIAL_S
        if now_s - state.started_s < PROMISE_S:
            return None
        return max(0.0, state.given.get(owner, now_s) - now_s)


def is_majority(names: Sequence[str], agreeing: Sequence[str]) -> bool:
    """Returns whether more than half of the names agree; true for no names."""
    return not names or 2 * len(set(names) & set(agreeing)) > len(names)


def next_voters(
    record: Voters | None, present: Sequence[tuple[str, str]]
) -> Voters | None:
    """Returns the record as it should be, or None when it may stay.

    Args:
      record: The record in force.
      present: Name and zone of the nodes with an entry.
    """
    zones: dict[str, list[str]] = {}
    for name, zone in sorted(present):
        zones.setdefault(zone, []).append(name)
    kept = set(record.names) if record is not None else set()
    for names in zones.values():
        # Voters stay while they are present; a change costs time.
        names.sort(key=lambda name: (name not in kept, name))
    wanted: list[str] = []
    while len(wanted) < MOST_VOTERS and any(zones.values()):
        for zone in sorted(zones):
            if zones[zone] and len(wanted) < MOST_VOTERS:
                wanted.append(zones[zone].pop(0))
    names = tuple(sorted(wanted))
    if not names or (record is not None and names == record.names):
        return None
    return Voters(names, record.names if record is not None else ())
