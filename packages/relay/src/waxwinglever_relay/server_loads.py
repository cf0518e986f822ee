"""The load of the local backend server, as this node reports it to others.

It addresses bursts and slow spells, which other nodes can't see in time from
the latencies of their own few requests.
"""

from collections.abc import Callable

import attrs

from waxwinglever_admission import gate as gates
from waxwinglever_admission import gate_state
from waxwinglever_model import clock
from waxwinglever_relay import messages

# The server states its load in each answer. What it said earlier than this is
# not passed on.
MAX_STATED_AGE_S = 2.0


@attrs.frozen
class StatedLoad:
    """What a backend server states of its own load.

    Attributes:
      running: Requests that run on it.
      waiting: Requests that wait there.
      slots: Requests that it runs at the same time.
      slowness: How long work takes on its machine now; 100 is usual.
    """

    running: int
    waiting: int
    slots: int
    slowness: int


@attrs.define(eq=False)
class StatedLoads:
    """The last statement of the local backend server.

    Attributes:
      now: Returns seconds of the boot clock.
      last: The statement and when it came, or None.
    """

    now: Callable[[], float] = clock.boottime_s
    last: tuple[StatedLoad, float] | None = None


def observe(stated_loads: StatedLoads, stated: StatedLoad | None) -> None:
    """Records what the backend server has stated, if anything."""
    if stated is not None:
        stated_loads.last = (stated, stated_loads.now())


def current_load(
    gate: gate_state.Gate, stated_loads: StatedLoads
) -> messages.ServerLoad:
    """Returns the load of the backend server as of now.

    The counts are those of the gate, through which all requests pass; the
    server's own are as old as its last answer. Only the server knows how slow
    its machine is.
    """
    snapshot = gates.snapshot(gate)
    waiting = snapshot.waiting + snapshot.waiting_suspects
    slots = max(1, snapshot.limit)
    wait_s = 0.0
    if waiting or snapshot.in_flight >= slots:
        wait_s = snapshot.service_s * (waiting + 1) / slots
    if waiting and snapshot.rate_limit_per_s:
        wait_s = max(wait_s, (waiting + 1) / snapshot.rate_limit_per_s)
    slowness, age_s = 100, 0.0
    if stated_loads.last is not None:
        stated, stated_s = stated_loads.last
        stated_age_s = stated_loads.now() - stated_s
        if stated_age_s <= MAX_STATED_AGE_S:
            slowness, age_s = stated.slowness, stated_age_s
    return messages.ServerLoad(
        snapshot.in_flight,
        waiting,
        slots,
        round(wait_s * 1000),
        round(snapshot.service_s * 1000),
        slowness,
        round(age_s * 1000),
    )
