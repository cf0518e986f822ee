"""The schedule of faults of a soak run, drawn from a seed."""

import random
from collections.abc import Sequence

import attrs

# Each cycle ends with a phase without faults, the calm. In it a configuration
# change is applied and a daemon is drained; both need some seconds without
# faults.
CYCLE_S = 42.0
FAULT_PHASE_S = 26.0
APPLY_DELAY_S = 0.5
DRAIN_DELAY_S = 9.0
MEAN_INTERVAL_S = 1.6
MIN_DURATION_S = 0.3
MAX_DURATION_S = 6.0
SIMULTANEOUS_SHARE = 0.3
# Share of faults that hit the leader of the keyed cell. A random node is the
# leader in one case of nine only, and most rules concern the loss of a leader.
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
STORE_LOSES_ANSWERS = "store-loses-answers"
OPERATORS_RACE = "operators-race"
DRAIN = "drain"
CRASHING_REQUEST = "crashing-request"
APPLY_IN_CALM = "apply-in-calm"
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
    STORE_LOSES_ANSWERS,
    OPERATORS_RACE,
    DRAIN,
    CRASHING_REQUEST,
)


@attrs.frozen
class Fault:
    """One fault of the schedule.

    Attributes:
      number: Position in the schedule.
      start_s: Start, in seconds from the start of the schedule.
      kind: One of KINDS, APPLY_IN_CALM or DRAIN_IN_CALM.
      node: Name of the affected VM, for kinds that affect VMs.
      peer_node: Name of a second VM, for cut connections.
      duration_s: Duration.
      variation: A random number in [0, 1) that varies the details of the fault.
      hits_leader: Whether it hits the current leader instead of `node`.
    """

    number: int
    start_s: float
    kind: str
    node: str
    peer_node: str
    duration_s: float
    variation: float
    hits_leader: bool = False


def make_schedule(
    seed: int, seconds: float, nodes: Sequence[str]
) -> list[Fault]:
    """Returns the faults of a run in order; deterministic for a seed.

    Args:
      seed: Seed of all random choices.
      seconds: Length of the schedule, rounded down to whole cycles but at least
        one cycle.
      nodes: Names of the VMs, at least two.
    """
    rng = random.Random(seed)
    planned: list[tuple[float, str, float]] = []
    for cycle in range(max(1, int(seconds // CYCLE_S))):
        cycle_start_s = cycle * CYCLE_S
        offset_s = 0.0
        while (
            offset_s := offset_s + rng.expovariate(1 / MEAN_INTERVAL_S)
        ) < FAULT_PHASE_S - 1:
            count = 2 if rng.random() < SIMULTANEOUS_SHARE else 1
            for _ in range(count):
                duration_s = rng.uniform(MIN_DURATION_S, MAX_DURATION_S)
                duration_s = min(duration_s, FAULT_PHASE_S - offset_s)
                planned.append(
                    (cycle_start_s + offset_s, rng.choice(KINDS), duration_s)
                )
        calm_s = cycle_start_s + FAULT_PHASE_S
        planned.append((calm_s + APPLY_DELAY_S, APPLY_IN_CALM, 0.0))
        planned.append((calm_s + DRAIN_DELAY_S, DRAIN_IN_CALM, 0.5))
    schedule = []
    for number, (start_s, kind, duration_s) in enumerate(planned):
        node, peer_node = rng.sample(list(nodes), 2)
        variation, hits_leader = rng.random(), rng.random() < LEADER_SHARE
        schedule.append(
            Fault(
                number,
                start_s,
                kind,
                node,
                peer_node,
                duration_s,
                variation,
                hits_leader,
            )
        )
    return schedule
