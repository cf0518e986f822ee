"""Decides which long responses may take memory, by class.

Addresses a crowd of large responses of one route, most of them read slowly,
beside responses of other routes. A response that finds no room by its deadline
is lost although its request has run, so the crowd must not take the room of the
others. A class is the name of a route. All functions are decisions without I/O
on state that the caller guards; times are seconds of one clock.

A class that has no other response always gets what fits. Up to its equal share
of the room a class also gets what fits. Beyond that it must leave room for a
response of another class that is below its share. With one class there is
nothing to share, and nothing changes.
"""

import attrs

# A class counts for this time after its last long response. Nearly all routes
# that are in use have one in ten minutes; a longer time would keep room free
# for routes that operators have removed.
KEEP_S = 600.0
# Most classes that are known at a time, as each draw may look at all of them.
MAX_CLASSES = 256
# Share of the room that a class must leave to others at most. Otherwise a
# response of another route that is as large as the room would keep it all free.
MAX_RESERVED_SHARE = 0.5


@attrs.define(eq=False)
class ClassUse:
    """What one class uses of the room.

    Attributes:
      held_bytes: Bytes that its responses hold.
      largest_bytes: Size of its largest response since it is known, as far as
        it has drawn.
      used_s: When one of its responses last asked for room.
      waiting_bytes: What each of its responses that wait asks for.
      lost: Responses that found no room by their deadline.
    """

    held_bytes: int = 0
    largest_bytes: int = 0
    used_s: float = float("-inf")
    waiting_bytes: list[int] = attrs.field(factory=list)
    lost: int = 0


@attrs.define(eq=False)
class Shares:
    """What all classes use of the room.

    Attributes:
      classes: The known classes by name.
    """

    classes: dict[str, ClassUse] = attrs.field(factory=dict)


def note_request(
    shares: Shares, name: str, response_bytes: int, now_s: float
) -> ClassUse:
    """Records that a response of a class asks for room; returns the class.

    Args:
      shares: The state, which changes.
      name: The class.
      response_bytes: Size of the response, as far as it is known.
      now_s: The time.
    """
    use = shares.classes.get(name)
    if use is None:
        forget_unused(shares, now_s)
        use = shares.classes[name] = ClassUse()
    use.largest_bytes = max(use.largest_bytes, response_bytes)
    use.used_s = now_s
    return use


def forget_unused(shares: Shares, now_s: float) -> None:
    """Forgets classes without responses, to make room for another one."""
    unused = sorted(
        (use.used_s, name)
        for name, use in shares.classes.items()
        if not use.held_bytes and not use.waiting_bytes
    )
    surplus = len(shares.classes) + 1 - MAX_CLASSES
    for index, (used_s, name) in enumerate(unused):
        if index < surplus or now_s - used_s > KEEP_S:
            del shares.classes[name]


def may_draw(
    shares: Shares,
    name: str,
    own_bytes: int,
    size: int,
    room: float,
    now_s: float,
) -> bool:
    """Returns whether a response may take memory that is free.

    Args:
      shares: The state.
      name: Class of the response, which is known.
      own_bytes: What the response holds already.
      size: What it asks for in addition.
      room: What all long responses together may hold now.
      now_s: The time.
    """
    use = shares.classes[name]
    held_bytes = sum(other.held_bytes for other in shares.classes.values())
    free = room - held_bytes - size
    if free < 0:
        return False
    if use.held_bytes == own_bytes:
        return True
    others = [
        other
        for other in shares.classes.values()
        if other is not use and is_counted(other, now_s)
    ]
    share = room / (1 + len(others))
    if use.held_bytes + size <= share:
        return True
    return free >= reserved_bytes(others, share, room)


def is_counted(use: ClassUse, now_s: float) -> bool:
    """Returns whether a class has a share of the room."""
    return bool(use.held_bytes) or now_s - use.used_s <= KEEP_S


def reserved_bytes(others: list[ClassUse], share: float, room: float) -> float:
    """Returns the room that a class over its share leaves to the others.

    That is enough for a share or for the largest response of one of the others
    that is below its share.
    """
    needed = max(
        (
            max(share, other.largest_bytes, *other.waiting_bytes)
            for other in others
            if other.held_bytes < share
        ),
        default=0,
    )
    return min(needed, room * MAX_RESERVED_SHARE)
