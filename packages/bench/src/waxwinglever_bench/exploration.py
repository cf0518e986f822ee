"""Tests the ownership rules by simulation, under random faults.

A discrete-event simulation in virtual time drives the decision functions of
`waxwinglever_ownership`. It models clocks that drift, a network that delays
and loses messages, daemons that pause and restart, and a store that is down,
slow or loses its responses. After each event it checks that no two nodes hold
leases on the same point of the hash space. At the end of a run all faults are
removed, and every slice must be leased again.
"""

import contextlib
import heapq
import itertools
import random
from collections.abc import Callable
from collections.abc import Iterator
from unittest import mock

import attrs

from waxwinglever_model import cells
from waxwinglever_model import exceptions
from waxwinglever_model import limits
from waxwinglever_ownership import elections
from waxwinglever_ownership import leader_state
from waxwinglever_ownership import leases
from waxwinglever_ownership import membership
from waxwinglever_ownership import record_planning
from waxwinglever_peers import messages

CELL = "t/s/0"
# The largest drift of a clock that the lease durations allow for.
MAX_CLOCK_DRIFT = 0.01
TYPICAL_DELAY_S = 0.002
LONG_DELAY_S = 2.5
FAULT_PHASE_S = 25.0
RECOVERY_PHASE_S = 12.0
CONTROL_INTERVAL_S = 0.1
FAULT_KINDS = (
    "pause",
    "restart",
    "cut",
    "isolate",
    "split",
    "leader-cut",
    "late-write",
    "down",
    "flaky",
    "flaky",
    "drain",
    "race",
)


@attrs.define(eq=False)
class Store:
    """A simulated store that holds the record of one cell.

    Attributes:
      record: The cell's record.
      version: Version of the record.
      is_down: Whether calls get no response and have no effect.
      is_flaky: Whether responses may be lost and writes may be applied late.
    """

    record: cells.CellRecord
    version: int = 1
    is_down: bool = False
    is_flaky: bool = False


@attrs.define(eq=False)
class Node:
    """One simulated daemon.

    Attributes:
      name: Node name.
      offset: Its clock at the start of the run, in seconds.
      rate: Seconds of its clock per second of simulated time.
      state: Its state as a member of the cell.
      leader: Its state as the leader, or None if it doesn't lead.
      paused_until: Simulated time at which a pause ends.
      in_election: Whether this node runs an election.
      heartbeat_targets: Members to which this node sends heartbeats as the
        leader.
      restarts: Number of restarts. Callbacks that were scheduled before a
        restart see that it has changed and do nothing.
    """

    name: str
    offset: float
    rate: float
    state: membership.MemberState
    leader: leader_state.LeaderState | None = None
    paused_until: float = 0.0
    in_election: bool = False
    heartbeat_targets: set[str] = attrs.Factory(set)
    restarts: int = 0


@attrs.frozen
class Overlap:
    """A violation of exclusive ownership: two nodes held leases on one point.

    Attributes:
      at_s: Simulated time, in seconds.
      nodes: Names of the lease holders.
      point: The point of the hash space.
    """

    at_s: float
    nodes: tuple[str, ...]
    point: int


@attrs.define(eq=False)
class Simulation:
    """State of one simulation run.

    Attributes:
      rng: Source of all randomness.
      store: The store.
      nodes: Nodes by name.
      now: Simulated time, in seconds.
      events: Heap of events as (time, sequence number, node name or '',
        callback).
      sequence_numbers: Source of sequence numbers, which order simultaneous
        events and make nonces unique.
      cuts: Pairs of nodes that can't exchange messages.
      faults_ended: Whether all faults have ended.
      overlap: The first violation found.
      dispatched: Requests that passed the ownership check at dispatch.
    """

    rng: random.Random
    store: Store
    nodes: dict[str, Node] = attrs.field(factory=dict)
    now: float = 0.0
    events: list = attrs.Factory(list)
    sequence_numbers: Iterator[int] = attrs.Factory(itertools.count)
    cuts: set[tuple[str, str]] = attrs.Factory(set)
    faults_ended: bool = False
    overlap: Overlap | None = None
    dispatched: int = 0


@attrs.frozen
class RunResult:
    """Outcome of one simulation run.

    Attributes:
      seed: Seed of the run.
      overlap: The first violation of exclusive ownership, or None.
      unserved: Number of slices without a lease in the last HANDOVER_TIMEOUT_S
        of the run, long after all faults ended. A planned handover takes no
        longer.
      term: The last term; a measure of the number of elections.
      epochs: Number of slice assignments.
      dispatched: Requests that passed the ownership check at dispatch.
    """

    seed: int
    overlap: Overlap | None
    unserved: int
    term: int
    epochs: int
    dispatched: int


def node_clock(simulation: Simulation, node: Node) -> float:
    """Returns the time on a node's clock, in seconds."""
    return node.offset + node.rate * simulation.now


def schedule(
    simulation: Simulation,
    delay_s: float,
    name: str,
    callback: Callable[[], None],
) -> None:
    """Schedules a callback, deferred while the named node is paused."""
    entry = (
        simulation.now + delay_s,
        next(simulation.sequence_numbers),
        name,
        callback,
    )
    heapq.heappush(simulation.events, entry)


def message_delay_s(simulation: Simulation) -> float:
    """Returns the delay of one message, in 2% of cases up to LONG_DELAY_S."""
    if not simulation.faults_ended and simulation.rng.random() < 0.02:
        return simulation.rng.uniform(0, LONG_DELAY_S)
    return simulation.rng.uniform(0.5, 1.5) * TYPICAL_DELAY_S


def is_message_lost(simulation: Simulation, a: str, b: str) -> bool:
    """Returns whether a message is lost, because of a cut or at random."""
    if (min(a, b), max(a, b)) in simulation.cuts:
        return True
    return not simulation.faults_ended and simulation.rng.random() < 0.01


def new_simulation(seed: int, size: int, slice_count: int) -> Simulation:
    """Returns a simulation of `size` members; the first one leads term 1."""
    rng = random.Random(seed)
    names = [f"n{i}" for i in range(size)]
    members = tuple(
        cells.Member(name, f"{name}-0", f"{name}:p", f"{name}:h", "z")
        for name in names
    )
    record = cells.CellRecord(
        CELL, 1, "n0", "n0-0", "w0", members, cells.equal_slices(slice_count)
    )
    simulation = Simulation(rng, Store(record))
    for name in names:
        offset = rng.uniform(0, 1000)
        node = Node(
            name,
            offset,
            1 + rng.uniform(-MAX_CLOCK_DRIFT, MAX_CLOCK_DRIFT),
            new_member_state(name, 0, offset),
        )
        simulation.nodes[name] = node
        schedule(
            simulation,
            rng.uniform(0, CONTROL_INTERVAL_S),
            name,
            control_loop(simulation, node, 0),
        )
    first = simulation.nodes["n0"]
    first.leader = leader_state.new_leader(
        record, 1, node_clock(simulation, first), is_new_cell=True
    )
    return simulation


def new_member_state(
    name: str, restarts: int, now: float
) -> membership.MemberState:
    """Returns the member state of a daemon that has just started."""
    return membership.MemberState(CELL, name, f"{name}-{restarts}", now)


# The daemon's loops, as scheduled events.


def control_loop(
    simulation: Simulation, node: Node, restarts: int
) -> Callable[[], None]:
    """Returns the control loop of a daemon; it ends with the next restart."""

    def run() -> None:
        if node.restarts != restarts:
            return
        now = node_clock(simulation, node)
        with node.state.lock:
            membership.drop_expired_leases(node.state, now)
        if node.leader is not None and node.leader.stepped_down:
            node.leader = None
            node.state.last_heartbeat_s = now
        if node.leader is not None:
            run_leader(simulation, node, now)
        elif not node.in_election:
            jitter = simulation.rng.random()
            limit = elections.election_timeout_s(
                node.state.record, node.name, jitter
            )
            if now - node.state.last_heartbeat_s > limit:
                start_election(simulation, node, restarts)
        dispatch_request(simulation, node, now)
        schedule(simulation, CONTROL_INTERVAL_S, node.name, run)

    return run


def run_leader(simulation: Simulation, node: Node, now: float) -> None:
    """Writes the next planned change and starts missing heartbeat loops."""
    leader = node.leader
    add_joins(simulation, leader)
    constraints = record_planning.PlacementConstraints(
        keyed=True, move_cost=0.05, max_moves=2
    )
    record = record_planning.plan_change(leader, constraints, now)
    if record is not None:
        write_record(simulation, node, leader, record)
    for member in leader.record.members:
        if member.node not in node.heartbeat_targets:
            node.heartbeat_targets.add(member.node)
            heartbeat_loop(simulation, node, leader, member.node, node.restarts)


def add_joins(simulation: Simulation, leader: leader_state.LeaderState) -> None:
    """Adds join requests of restarted nodes that can reach the leader."""
    for other in simulation.nodes.values():
        recorded = leader.record.member(other.name)
        if recorded.incarnation == other.state.incarnation:
            continue
        if other.name != leader.node and is_message_lost(
            simulation, other.name, leader.node
        ):
            continue
        leader.pending_joins[other.name] = attrs.evolve(
            recorded, incarnation=other.state.incarnation
        )


def heartbeat_loop(
    simulation: Simulation,
    node: Node,
    leader: leader_state.LeaderState,
    name: str,
    restarts: int,
) -> None:
    """Sends heartbeats to one member until the leader steps down."""
    if node.restarts != restarts or node.leader is not leader:
        return
    if leader.stepped_down:
        return
    send_heartbeat(simulation, node, leader, name, restarts)
    schedule(
        simulation,
        limits.HEARTBEAT_INTERVAL_S,
        node.name,
        lambda: heartbeat_loop(simulation, node, leader, name, restarts),
    )


def send_heartbeat(
    simulation: Simulation,
    node: Node,
    leader: leader_state.LeaderState,
    name: str,
    restarts: int,
) -> None:
    """Sends one heartbeat and applies its acknowledgement."""
    began = node_clock(simulation, node)
    message = leader_state.next_heartbeat(leader, name, began)
    target = simulation.nodes[name]
    if message is None:
        return

    def deliver() -> None:
        if is_message_lost(simulation, node.name, name) and name != node.name:
            return
        ack = membership.apply_heartbeat(
            target.state, message, node_clock(simulation, target)
        )
        schedule(
            simulation,
            message_delay_s(simulation),
            node.name,
            lambda: receive_ack(ack),
        )

    def receive_ack(ack: messages.HeartbeatAck) -> None:
        is_late = node_clock(simulation, node) - began > limits.PEER_TIMEOUT_S
        if is_late or node.restarts != restarts:
            return
        if is_message_lost(simulation, node.name, name) and name != node.name:
            return
        leader_state.apply_ack(leader, name, ack, node_clock(simulation, node))

    schedule(simulation, message_delay_s(simulation), name, deliver)


def write_record(
    simulation: Simulation,
    node: Node,
    leader: leader_state.LeaderState,
    record: cells.CellRecord,
) -> None:
    """Writes the pending record, again after each unknown outcome.

    The leader steps down on a conflict.
    """
    restarts = node.restarts

    def on_result(version: int | None) -> None:
        if node.restarts != restarts or leader.stepped_down:
            return
        if version is None:
            leader_state.step_down(leader)
        else:
            leader_state.confirm_change(leader, version)
            for member in leader.record.members:
                send_heartbeat(simulation, node, leader, member.node, restarts)

    def on_timeout() -> None:
        if node.restarts == restarts and not leader.stepped_down:
            retry_write(simulation, node, leader, record)

    compare_and_swap(
        simulation, node, record, leader.version, on_result, on_timeout
    )


def retry_write(
    simulation: Simulation,
    node: Node,
    leader: leader_state.LeaderState,
    record: cells.CellRecord,
) -> None:
    """Writes again after an unknown outcome.

    A function of its own so that MUTATIONS can replace it.
    """
    write_record(simulation, node, leader, record)


def compare_and_swap(
    simulation: Simulation,
    node: Node,
    record: cells.CellRecord,
    version: int,
    on_result: Callable[[int | None], None],
    on_timeout: Callable[[], None],
) -> None:
    """Sends a compare-and-swap of the cell's record to the store.

    A write with the nonce of the stored record has been applied before and
    succeeds.

    Args:
      simulation: The simulation.
      node: The writer.
      record: The new record.
      version: The version that it replaces.
      on_result: Called with the new version, or None after a conflict.
      on_timeout: Called if no response arrives within STORE_TIMEOUT_S.
    """
    store = simulation.store
    is_finished = [False]
    loses_response = store.is_flaky and simulation.rng.random() < 0.5
    write_delay_s = message_delay_s(simulation)
    if loses_response:
        write_delay_s = simulation.rng.uniform(0, LONG_DELAY_S)

    def apply_write() -> None:
        if store.is_down:
            return
        if store.version == version:
            store.record, store.version = record, version + 1
            result = store.version
        elif store.record.nonce == record.nonce:
            result = store.version
        else:
            result = None
        if not loses_response:
            schedule(
                simulation,
                message_delay_s(simulation),
                node.name,
                lambda: return_result(result),
            )

    def return_result(result: int | None) -> None:
        if not is_finished[0]:
            is_finished[0] = True
            on_result(result)

    def time_out() -> None:
        if not is_finished[0]:
            is_finished[0] = True
            on_timeout()

    schedule(simulation, write_delay_s, "", apply_write)
    schedule(simulation, limits.STORE_TIMEOUT_S, node.name, time_out)


def start_election(simulation: Simulation, node: Node, restarts: int) -> None:
    """Starts an election: reads the record, probes nodes, writes a new term."""
    node.in_election = True

    def end_election() -> None:
        if node.restarts == restarts:
            node.in_election = False

    def read_record() -> None:
        if node.restarts != restarts or simulation.store.is_down:
            end_election()
            return
        record, version = simulation.store.record, simulation.store.version
        state = node.state
        if record.term < state.term:
            end_election()
            return
        if version > state.version:
            state.record, state.version = record, version
        if record.term > state.term:
            state.term, state.leader = record.term, record.leader
            state.sequence = 0
            state.send_times.clear()
            if record.leader != node.name:
                state.last_heartbeat_s = node_clock(simulation, node)
                end_election()
                return
        replies: list[messages.ElectionProbeReply] = []
        for other in simulation.nodes.values():
            if other is not node:
                send_probe(simulation, node, other, replies)
        schedule(
            simulation,
            limits.PEER_TIMEOUT_S,
            node.name,
            lambda: write_term(record, version, replies),
        )

    def write_term(record, version, replies) -> None:
        if node.restarts != restarts or not elections.has_election_quorum(
            record, node.name, replies, frozenset()
        ):
            end_election()
            return
        new_record = elections.next_term(
            record, node.name, node.state.incarnation
        )
        new_record = attrs.evolve(
            new_record, nonce=f"w{next(simulation.sequence_numbers)}"
        )

        def on_result(new_version: int | None) -> None:
            end_election()
            if node.restarts != restarts or new_version is None:
                return
            node.heartbeat_targets.clear()
            node.leader = leader_state.new_leader(
                new_record,
                new_version,
                node_clock(simulation, node),
                is_new_cell=False,
            )

        compare_and_swap(
            simulation, node, new_record, version, on_result, end_election
        )

    schedule(simulation, message_delay_s(simulation), node.name, read_record)


def send_probe(
    simulation: Simulation,
    node: Node,
    other: Node,
    replies: list[messages.ElectionProbeReply],
) -> None:
    """Sends an election probe and collects the reply."""

    def deliver() -> None:
        if is_message_lost(simulation, node.name, other.name):
            return
        silent = membership.is_leader_lost(
            other.state, node_clock(simulation, other)
        )
        reply = messages.ElectionProbeReply(
            other.name, silent, other.state.term
        )
        schedule(
            simulation,
            message_delay_s(simulation),
            node.name,
            lambda: replies.append(reply),
        )

    schedule(simulation, message_delay_s(simulation), other.name, deliver)


def dispatch_request(simulation: Simulation, node: Node, now: float) -> None:
    """Dispatches a request for a random slice with a probability of 0.3.

    The request ends after a random time. Does nothing if the node doesn't own
    the slice.
    """
    if simulation.rng.random() > 0.3:
        return
    point = simulation.rng.choice(simulation.store.record.slices).start
    state = node.state
    try:
        lease = membership.begin_request(state, point, now)
    except exceptions.NotOwner:
        return
    simulation.dispatched += 1
    # A request is cancelled when its lease at dispatch expires.
    max_run_s = (lease.expires_at_s - now) / node.rate
    run_s = min(max_run_s, simulation.rng.expovariate(1 / 0.05))
    schedule(
        simulation,
        run_s,
        node.name,
        lambda: membership.finish_request(state, point),
    )


# Faults.


def inject_fault(simulation: Simulation) -> None:
    """Starts one random fault and schedules its end."""
    rng = simulation.rng
    node = simulation.nodes[rng.choice(sorted(simulation.nodes))]
    kind = rng.choice(FAULT_KINDS)
    duration_s = rng.uniform(0.2, 5.0)
    if kind == "pause":
        node.paused_until = max(node.paused_until, simulation.now + duration_s)
    elif kind == "restart":
        restart(simulation, node)
    elif kind == "cut":
        other = simulation.nodes[rng.choice(sorted(simulation.nodes))]
        cut_messages(simulation, [(node.name, other.name)], duration_s)
    elif kind == "isolate":
        pairs = [(node.name, other) for other in simulation.nodes]
        cut_messages(simulation, pairs, duration_s)
    elif kind == "split":
        side = set(
            rng.sample(sorted(simulation.nodes), len(simulation.nodes) // 2)
        )
        rest = set(simulation.nodes) - side
        cut_messages(
            simulation, list(itertools.product(side, rest)), duration_s
        )
    elif kind == "leader-cut":
        cut_leader(simulation, duration_s)
    elif kind == "late-write":
        delay_write(simulation)
    elif kind == "down":
        simulation.store.is_down = True
        schedule(
            simulation,
            duration_s,
            "",
            lambda: clear_store_fault(simulation, "is_down"),
        )
    elif kind == "flaky":
        simulation.store.is_flaky = True
        schedule(
            simulation,
            duration_s,
            "",
            lambda: clear_store_fault(simulation, "is_flaky"),
        )
    elif kind == "drain":
        node.state.draining = True
        state = node.state
        schedule(
            simulation,
            duration_s,
            "",
            lambda: setattr(state, "draining", False),
        )
    else:
        # Two nodes time out and start an election at the same time.
        for other in rng.sample(sorted(simulation.nodes), 2):
            simulation.nodes[other].state.last_heartbeat_s -= 10


def cut_leader(simulation: Simulation, duration_s: float) -> None:
    """Cuts the connection between the leader and one member, the rival.

    The rival starts an election. The other members, which reach both, restart
    around the time of the election and so lose their record of the
    heartbeats that they have acknowledged.
    """
    rng = simulation.rng
    leader = simulation.store.record.leader
    others = sorted(set(simulation.nodes) - {leader})
    rival = rng.choice(others)
    cut_messages(simulation, [(leader, rival)], duration_s)
    if rng.random() < 0.5:
        # While the store is down, the old leader can't read the new term.
        schedule(
            simulation,
            rng.uniform(0.35, 0.5),
            "",
            lambda: setattr(simulation.store, "is_down", True),
        )
        schedule(
            simulation,
            rng.uniform(1.0, 1.8),
            "",
            lambda: clear_store_fault(simulation, "is_down"),
        )
    simulation.nodes[rival].state.last_heartbeat_s -= 10
    for name in others:
        if name != rival:
            node = simulation.nodes[name]
            # The last heartbeat is just old enough for the node to support the
            # rival's election, but not to start its own.
            now = node_clock(simulation, node)
            node.state.last_heartbeat_s = now - 1.01 * limits.ELECTION_TIMEOUT_S
            schedule(
                simulation,
                rng.uniform(0.3, 0.8),
                "",
                lambda node=node: restart(simulation, node, pause_s=0.01),
            )


def clear_store_fault(simulation: Simulation, name: str) -> None:
    """Clears one fault flag of the store."""
    setattr(simulation.store, name, False)


def cut_messages(
    simulation: Simulation, pairs: list[tuple[str, str]], duration_s: float
) -> None:
    """Drops all messages between pairs of nodes for `duration_s` seconds."""
    ordered = {(min(a, b), max(a, b)) for a, b in pairs if a != b}
    simulation.cuts |= ordered
    schedule(
        simulation,
        duration_s,
        "",
        lambda: simulation.cuts.difference_update(ordered),
    )


def delay_write(simulation: Simulation) -> None:
    """Delays a write that reassigns a slice until its old owner has resumed.

    An owner pauses for longer than its lease while the store loses responses.
    Soon after the pause, the leader and the owner are cut off from the other
    members.
    """
    rng = simulation.rng
    leader = simulation.store.record.leader
    others = sorted(set(simulation.nodes) - {leader})
    owner = rng.choice(others)
    pause = rng.uniform(1.7, 2.3)
    simulation.nodes[owner].paused_until = simulation.now + pause
    simulation.store.is_flaky = True
    schedule(
        simulation, 4.0, "", lambda: clear_store_fault(simulation, "is_flaky")
    )
    rest = [name for name in others if name != owner]

    def split() -> None:
        cut_messages(
            simulation, list(itertools.product((leader, owner), rest)), 4.0
        )
        for name in rest:
            simulation.nodes[name].state.last_heartbeat_s -= 10

    schedule(simulation, pause + rng.uniform(0.1, 1.5), "", split)


def restart(
    simulation: Simulation, node: Node, pause_s: float | None = None
) -> None:
    """Kills a daemon and starts it again with no state.

    Args:
      simulation: The simulation.
      node: The daemon.
      pause_s: Seconds until it runs again; random by default.
    """
    node.restarts += 1
    node.leader = None
    node.in_election = False
    node.heartbeat_targets = set()
    node.paused_until = 0.0
    node.state = new_member_state(
        node.name, node.restarts, node_clock(simulation, node)
    )
    if pause_s is None:
        pause_s = simulation.rng.uniform(0.0, 3.0)
    node.paused_until = simulation.now + pause_s
    schedule(
        simulation,
        pause_s,
        node.name,
        control_loop(simulation, node, node.restarts),
    )


# Runs.


def find_overlap(simulation: Simulation) -> Overlap | None:
    """Returns the first overlap of two nodes' leases, or None.

    The lease of a paused node counts until it expires: its backend server may
    still run requests that were dispatched before the pause.
    """
    held = [
        (lease.slice_, node.name)
        for node in simulation.nodes.values()
        for lease in node.state.leases.values()
        if lease.expires_at_s > node_clock(simulation, node)
    ]
    held.sort(key=lambda pair: pair[0].start)
    for (a, name), (b, other) in itertools.pairwise(held):
        if name != other and b.start <= a.last:
            return Overlap(simulation.now, (name, other), b.start)
    return None


def explore(seed: int, fault_rate: float = 1.0) -> RunResult:
    """Runs one simulation, which stops at the first overlap of leases.

    Args:
      seed: Seed of all randomness; it sets the numbers of nodes and slices.
      fault_rate: Mean number of faults that start per second.
    """
    size = (3, 4, 5)[seed % 3]
    simulation = new_simulation(seed, size, slice_count=1 + seed % 4)

    def inject_next() -> None:
        if simulation.now < FAULT_PHASE_S:
            inject_fault(simulation)
            schedule(
                simulation,
                simulation.rng.expovariate(fault_rate),
                "",
                inject_next,
            )

    schedule(simulation, 3.0, "", inject_next)
    served_starts: set[int] = set()
    while simulation.events and simulation.overlap is None:
        at_s, _, name, callback = heapq.heappop(simulation.events)
        if at_s > FAULT_PHASE_S + RECOVERY_PHASE_S:
            break
        simulation.now = max(simulation.now, at_s)
        if simulation.now > FAULT_PHASE_S and not simulation.faults_ended:
            end_faults(simulation)
        node = simulation.nodes.get(name)
        if node is not None and node.paused_until > simulation.now:
            schedule(
                simulation, node.paused_until - simulation.now, name, callback
            )
            continue
        callback()
        simulation.overlap = find_overlap(simulation)
        # A planned handover leaves its slice without a lease for at most
        # HANDOVER_TIMEOUT_S.
        if at_s >= FAULT_PHASE_S + RECOVERY_PHASE_S - limits.HANDOVER_TIMEOUT_S:
            served_starts |= leased_slice_starts(simulation)
    record = simulation.store.record
    return RunResult(
        seed,
        simulation.overlap,
        sum(item.start not in served_starts for item in record.slices),
        record.term,
        record.next_epoch - 1,
        simulation.dispatched,
    )


def leased_slice_starts(simulation: Simulation) -> set[int]:
    """Returns the start points of the slices that are leased now."""
    return {
        lease.slice_.start
        for node in simulation.nodes.values()
        for lease in node.state.leases.values()
        if lease.expires_at_s > node_clock(simulation, node)
    }


def end_faults(simulation: Simulation) -> None:
    """Ends all faults: cuts, faults of the store, pauses and drains."""
    simulation.faults_ended = True
    simulation.cuts.clear()
    simulation.store.is_down = simulation.store.is_flaky = False
    for node in simulation.nodes.values():
        node.paused_until = 0.0
        node.state.draining = False


# Mutations: each one disables one ownership rule, to check that the simulation
# detects its absence. R3 to R8 are rules of docs/design.md.


def skip_majority_bound(_, now: float) -> float:
    """Grants a full lease whatever the members have acknowledged (R3)."""
    del now
    return limits.LEASE_DURATION_S


def skip_takeover_wait(leader, node: str, now: float) -> None:
    """Reassigns slices of owners that haven't acknowledged the term (R4)."""
    del node
    if leader.takeover_at is None:
        leader.takeover_at = now
        for follower in leader.followers.values():
            follower.first_sent -= limits.LEASE_DURATION_S


def skip_lease_wait(leader, item: cells.Slice, now: float) -> bool:
    """Reassigns slices whose leases may not have expired yet (R7)."""
    follower = leader.followers.get(item.owner)
    if follower is None or item.ref in follower.released:
        return True
    # Half of the time without a response that the rule requires.
    return leader_state.is_unresponsive(
        leader, item.owner, now + limits.LEASE_DURATION_S / 2
    )


def drop_pending_write(
    simulation: Simulation, node: Node, leader, record
) -> None:
    """Drops the pending write after an unknown outcome (R8)."""
    del simulation, node, record
    leader.pending = None
    leader.suspended_slices = frozenset()


MUTATIONS = {
    "no-majority-bound": (leases, "remaining_s", skip_majority_bound),
    "no-takeover-wait": (
        leader_state,
        "record_term_acknowledgement",
        skip_takeover_wait,
    ),
    "no-lease-wait": (leader_state, "is_free", skip_lease_wait),
    "unknown-write-forgotten": (None, "retry_write", drop_pending_write),
}


@contextlib.contextmanager
def mutated(name: str) -> Iterator[None]:
    """Disables one ownership rule within the context.

    Args:
      name: A key of MUTATIONS.
    """
    target, attribute, replacement = MUTATIONS[name]
    if target is None:
        with mock.patch.dict(globals(), {attribute: replacement}):
            yield
        return
    with mock.patch.object(target, attribute, replacement):
        yield
