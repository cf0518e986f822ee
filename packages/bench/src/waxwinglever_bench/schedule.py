"""The seeded schedule of faults of a soak run."""

import random
from collections.abc import Sequence

import attrs

# Each cycle ends with a calm, in which a record is applied and a drain is
# judged; both need some seconds without faults.
CYCLE_S = 42.0
FAULTY_S = 26.0
APPLY_AFTER_S = 0.5
DRAIN_AFTER_S = 9.0
MEAN_PAUSE_S = 1.6
SHORTEST_S = 0.3
LONGEST_S = 6.0
COMPANION_SHARE = 0.3
# Faults that hit the leader of the keyed cell, whichever node that is. One
# node in nine leads, and most rules concern a leader that was lost.
LEADER_SHARE = 0.35

KILL_DAEMON = "kill-daemon"
KILL_BACKEND = "kill-backend"
KILL_VM = "kill-vm"
FREEZE_DAEMON = "freeze-daemon"
FREEZE_BACKEND = "freeze-backend"
CUT_PAIR = "cut-pair"
CUT_ONE_SIDE = "cut-one-side"
ISOLATE = "isolate"
CUT_STORE = "cut-store"
STORE_DOWN = "store-down"
STORE_SLOW = "store-slow"
STORE_LOSES = "store-loses-answers"
RACE = "operators-race"
DRAIN = "drain"
CRASH = "crashing-request"
APPLY = "apply-in-calm"
DRAIN_IN_CALM = "drain-in-calm"
KINDS = (
    KILL_DAEMON,
    KILL_DAEMON,
    KILL_BACKEND,
    KILL_VM,
    KILL_VM,
    FREEZE_DAEMON,
    FREEZE_DAEMON,
    FREEZE_BACKEND,
    CUT_PAIR,
    CUT_ONE_SIDE,
    ISOLATE,
    CUT_STORE,
    STORE_DOWN,
    STORE_SLOW,
    STORE_LOSES,
    RACE,
    DRAIN,
    CRASH,
)


@attrs.frozen
class Fault:
    """One fault of the schedule.

    Attributes:
      number: Position in the schedule.
      at_s: When it begins, in seconds from the start of the schedule.
      kind: One of KINDS, or of those of the calm.
      node: The VM that it hits, where the kind has one.
      other: A second VM, for cuts.
      length_s: How long it lasts.
      value: In [0, 1); varies the fault.
      hits_leader: Whether it hits the present leader instead of `node`.
    """

    number: int
    at_s: float
    kind: str
    node: str
    other: str
    length_s: float
    value: float
    hits_leader: bool = False


def make_schedule(
    seed: int, seconds: float, nodes: Sequence[str]
) -> list[Fault]:
    """Returns the faults of a run in order; the same for the same seed.

    Args:
      seed: Seed of all choices.
      seconds: Length of the schedule. It is cut at whole cycles, at least one.
      nodes: Names of the VMs.
    """
    rng = random.Random(seed)
    planned: list[tuple[float, str, float]] = []
    for cycle in range(max(1, int(seconds // CYCLE_S))):
        start_s = cycle * CYCLE_S
        at_s = 0.0
        while (at_s := at_s + rng.expovariate(1 / MEAN_PAUSE_S)) < FAULTY_S - 1:
            count = 2 if rng.random() < COMPANION_SHARE else 1
            for _ in range(count):
                length_s = rng.uniform(SHORTEST_S, LONGEST_S)
                length_s = min(length_s, FAULTY_S - at_s)
                planned.append((start_s + at_s, rng.choice(KINDS), length_s))
        calm_s = start_s + FAULTY_S
        planned.append((calm_s + APPLY_AFTER_S, APPLY, 0.0))
        planned.append((calm_s + DRAIN_AFTER_S, DRAIN_IN_CALM, 0.5))
    schedule = []
    for number, (at_s, kind, length_s) in enumerate(planned):
        node, other = rng.sample(list(nodes), 2)
        value, is_for_leader = rng.random(), rng.random() < LEADER_SHARE
        schedule.append(
            Fault(
                number, at_s, kind, node, other, length_s, value, is_for_leader
            )
        )
    return schedule
