"""Explores the ownership rules in virtual time, under random faults.

The explorer drives the decision functions of `waxwinglever_ownership` with a
model of clocks that drift, a network that delays and loses messages, daemons
that pause and restart, and a store that is down, slow or loses its answers.
After each event it asserts that no point of the hash space has leases of two
nodes. At the end of a run all faults are healed and every slice must be leased
again.
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
from waxwinglever_ownership import changes
from waxwinglever_ownership import elections
from waxwinglever_ownership import leadership
from waxwinglever_ownership import leases
from waxwinglever_ownership import membership
from waxwinglever_peers import messages

CELL = "t/s/0"
# Drift that the design allows for each clock.
MAX_DRIFT = 0.01
TYPICAL_DELAY_S = 0.002
LONG_DELAY_S = 2.5
FAULTY_S = 25.0
HEALED_S = 12.0
CONTROL_S = 0.1
FAULTS = (
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
    """The store: one record, and whether it answers.

    Attributes:
      record: The cell's record.
      version: Its version.
      is_down: Whether calls get no answer and have no effect.
      is_flaky: Whether answers may be lost and writes may be applied late.
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
      offset: Its clock at the start, in seconds.
      rate: Seconds of its clock in one second of real time.
      state: Its membership.
      leader: Its leadership, if it leads.
      paused_until: Real time when a pause ends.
      standing: Whether an election of this node is under way.
      calling: Members with a heartbeat under way.
      lives: Number of restarts.
    """

    name: str
    offset: float
    rate: float
    state: membership.MemberState
    leader: leadership.LeaderState | None = None
    paused_until: float = 0.0
    standing: bool = False
    calling: set[str] = attrs.Factory(set)
    lives: int = 0


@attrs.frozen
class Overlap:
    """Two nodes held leases on one point.

    Attributes:
      at_s: Real time of the run, in seconds.
      nodes: The holders.
      point: The point.
    """

    at_s: float
    nodes: tuple[str, ...]
    point: int


@attrs.define(eq=False)
class World:
    """State of one run.

    Attributes:
      rng: Source of all randomness.
      store: The store.
      nodes: By name.
      now: Real time in seconds.
      queue: Events as (time, number, node name or '', function).
      cuts: Pairs of nodes whose messages are lost.
      healing: Whether faults have ended.
      overlap: The first violation found.
      dispatched: Requests that passed the check at dispatch.
    """

    rng: random.Random
    store: Store
    nodes: dict[str, Node] = attrs.field(factory=dict)
    now: float = 0.0
    queue: list = attrs.Factory(list)
    numbers: Iterator[int] = attrs.Factory(itertools.count)
    cuts: set[tuple[str, str]] = attrs.Factory(set)
    healing: bool = False
    overlap: Overlap | None = None
    dispatched: int = 0


@attrs.frozen
class Result:
    """What a run showed.

    Attributes:
      seed: Seed of the run.
      overlap: The first violation of sole ownership, or None.
      unserved: Slices that had no lease for the longest time of a planned
        handover, long after all faults were healed.
      term: Last term; counts the elections.
      epochs: Assignments made.
      dispatched: Requests that passed the check at dispatch.
    """

    seed: int
    overlap: Overlap | None
    unserved: int
    term: int
    epochs: int
    dispatched: int


def clock_of(world: World, node: Node) -> float:
    """Returns a node's clock."""
    return node.offset + node.rate * world.now


def later(
    world: World, delay_s: float, name: str, call: Callable[[], None]
) -> None:
    """Runs a function after a delay, not before a pause of the node ends."""
    entry = (world.now + delay_s, next(world.numbers), name, call)
    heapq.heappush(world.queue, entry)


def delay(world: World) -> float:
    """Returns the delay of one message; now and then a long one."""
    if not world.healing and world.rng.random() < 0.02:
        return world.rng.uniform(0, LONG_DELAY_S)
    return world.rng.uniform(0.5, 1.5) * TYPICAL_DELAY_S


def is_lost(world: World, a: str, b: str) -> bool:
    """Returns whether a message between two nodes is lost."""
    if (min(a, b), max(a, b)) in world.cuts:
        return True
    return not world.healing and world.rng.random() < 0.01


def new_world(seed: int, size: int, slice_count: int) -> World:
    """Returns a cell of `size` members whose first one leads term 1."""
    rng = random.Random(seed)
    names = [f"n{i}" for i in range(size)]
    members = tuple(
        cells.Member(name, f"{name}-0", f"{name}:p", f"{name}:h", "z")
        for name in names
    )
    record = cells.CellRecord(
        CELL, 1, "n0", "n0-0", "w0", members, cells.even_slices(slice_count)
    )
    world = World(rng, Store(record))
    for name in names:
        offset = rng.uniform(0, 1000)
        node = Node(
            name,
            offset,
            1 + rng.uniform(-MAX_DRIFT, MAX_DRIFT),
            new_state(name, 0, offset),
        )
        world.nodes[name] = node
        later(world, rng.uniform(0, CONTROL_S), name, control(world, node, 0))
    first = world.nodes["n0"]
    first.leader = leadership.new_leader(
        record, 1, clock_of(world, first), is_new_cell=True
    )
    return world


def new_state(name: str, life: int, now: float) -> membership.MemberState:
    """Returns the membership of a daemon that has just started."""
    return membership.MemberState(CELL, name, f"{name}-{life}", now)


# Loops of a daemon, as events.


def control(world: World, node: Node, life: int) -> Callable[[], None]:
    """Returns the control loop of one life of a daemon."""

    def run() -> None:
        if node.lives != life:
            return
        now = clock_of(world, node)
        with node.state.lock:
            membership.drop_ended(node.state, now)
        if node.leader is not None and node.leader.stepped_down:
            node.leader = None
            node.state.last_heard = now
        if node.leader is not None:
            lead(world, node, now)
        elif not node.standing:
            jitter = world.rng.random()
            limit = elections.silence_limit_s(
                node.state.record, node.name, jitter
            )
            if now - node.state.last_heard > limit:
                begin_election(world, node, life)
        try_request(world, node, now)
        later(world, CONTROL_S, node.name, run)

    return run


def lead(world: World, node: Node, now: float) -> None:
    """Plans a change of the record and sends heartbeats."""
    leader = node.leader
    ask_to_join(world, leader)
    rules = changes.Rules(keyed=True, move_cost=0.05, max_moves=2)
    record = changes.plan_change(leader, rules, now)
    if record is not None:
        write(world, node, leader, record)
    for member in leader.record.members:
        if member.node not in node.calling:
            node.calling.add(member.node)
            heartbeats(world, node, leader, member.node, node.lives)


def ask_to_join(world: World, leader: leadership.LeaderState) -> None:
    """Lets restarted nodes that reach the leader ask for a new record."""
    for other in world.nodes.values():
        recorded = leader.record.member(other.name)
        if recorded.incarnation == other.state.incarnation:
            continue
        if other.name != leader.node and is_lost(
            world, other.name, leader.node
        ):
            continue
        leader.joins[other.name] = attrs.evolve(
            recorded, incarnation=other.state.incarnation
        )


def heartbeats(
    world: World,
    node: Node,
    leader: leadership.LeaderState,
    name: str,
    life: int,
) -> None:
    """Sends heartbeats to one member until the term ends."""
    if node.lives != life or node.leader is not leader:
        return
    if leader.stepped_down:
        return
    heartbeat(world, node, leader, name, life)
    later(
        world,
        limits.HEARTBEAT_INTERVAL_S,
        node.name,
        lambda: heartbeats(world, node, leader, name, life),
    )


def heartbeat(
    world: World,
    node: Node,
    leader: leadership.LeaderState,
    name: str,
    life: int,
) -> None:
    """Sends one heartbeat and applies its acknowledgement."""
    began = clock_of(world, node)
    message = leadership.next_heartbeat(leader, name, began)
    target = world.nodes[name]
    if message is None:
        return

    def arrive() -> None:
        if is_lost(world, node.name, name) and name != node.name:
            return
        ack = membership.accept_heartbeat(
            target.state, message, clock_of(world, target)
        )
        later(world, delay(world), node.name, lambda: answer(ack))

    def answer(ack: messages.HeartbeatAck) -> None:
        is_late = clock_of(world, node) - began > limits.PEER_TIMEOUT_S
        if is_late or node.lives != life:
            return
        if is_lost(world, node.name, name) and name != node.name:
            return
        leadership.accept_ack(leader, name, ack, clock_of(world, node))

    later(world, delay(world), name, arrive)


def write(
    world: World,
    node: Node,
    leader: leadership.LeaderState,
    record: cells.CellRecord,
) -> None:
    """Writes the pending record until it is confirmed or the term ends."""
    life = node.lives

    def done(version: int | None) -> None:
        if node.lives != life or leader.stepped_down:
            return
        if version is None:
            leadership.step_down(leader)
        else:
            leadership.confirm_change(leader, version)
            for member in leader.record.members:
                heartbeat(world, node, leader, member.node, life)

    def unknown() -> None:
        if node.lives == life and not leader.stepped_down:
            retry_write(world, node, leader, record)

    compare_and_swap(world, node, record, leader.version, done, unknown)


def retry_write(
    world: World,
    node: Node,
    leader: leadership.LeaderState,
    record: cells.CellRecord,
) -> None:
    """Writes again after an unknown outcome; a fault may replace it."""
    write(world, node, leader, record)


def compare_and_swap(
    world: World,
    node: Node,
    record: cells.CellRecord,
    version: int,
    done: Callable[[int | None], None],
    unknown: Callable[[], None],
) -> None:
    """Sends a write to the store.

    Args:
      world: The run.
      node: The writer.
      record: The new record.
      version: The version that it replaces.
      done: Told the new version, or None for a conflict.
      unknown: Called when no answer came in time.
    """
    store = world.store
    is_answered = [False]
    is_lost_answer = store.is_flaky and world.rng.random() < 0.5
    travel = delay(world)
    if is_lost_answer:
        travel = world.rng.uniform(0, LONG_DELAY_S)

    def apply() -> None:
        if store.is_down:
            return
        if store.version == version:
            store.record, store.version = record, version + 1
            result = store.version
        elif store.record.nonce == record.nonce:
            result = store.version
        else:
            result = None
        if not is_lost_answer:
            later(world, delay(world), node.name, lambda: tell(result))

    def tell(result: int | None) -> None:
        if not is_answered[0]:
            is_answered[0] = True
            done(result)

    def give_up() -> None:
        if not is_answered[0]:
            is_answered[0] = True
            unknown()

    later(world, travel, "", apply)
    later(world, limits.STORE_TIMEOUT_S, node.name, give_up)


def begin_election(world: World, node: Node, life: int) -> None:
    """Reads the record, asks the others and takes the next term."""
    node.standing = True

    def end() -> None:
        if node.lives == life:
            node.standing = False

    def read() -> None:
        if node.lives != life or world.store.is_down:
            end()
            return
        record, version = world.store.record, world.store.version
        state = node.state
        if record.term < state.term:
            end()
            return
        if version > state.version:
            state.record, state.version = record, version
        if record.term > state.term:
            state.term, state.leader = record.term, record.leader
            state.sequence = 0
            state.send_times.clear()
            if record.leader != node.name:
                state.last_heard = clock_of(world, node)
                end()
                return
        replies: list[messages.ElectionProbeReply] = []
        for other in world.nodes.values():
            if other is not node:
                probe(world, node, other, replies)
        later(
            world,
            limits.PEER_TIMEOUT_S,
            node.name,
            lambda: stand(record, version, replies),
        )

    def stand(record, version, replies) -> None:
        if node.lives != life or not elections.may_stand(
            record, node.name, replies, frozenset()
        ):
            end()
            return
        taken = elections.next_term(record, node.name, node.state.incarnation)
        taken = attrs.evolve(taken, nonce=f"w{next(world.numbers)}")

        def won(new_version: int | None) -> None:
            end()
            if node.lives != life or new_version is None:
                return
            node.calling.clear()
            node.leader = leadership.new_leader(
                taken, new_version, clock_of(world, node), is_new_cell=False
            )

        compare_and_swap(world, node, taken, version, won, end)

    later(world, delay(world), node.name, read)


def probe(
    world: World,
    node: Node,
    other: Node,
    replies: list[messages.ElectionProbeReply],
) -> None:
    """Asks another node whether it hears the leader."""

    def arrive() -> None:
        if is_lost(world, node.name, other.name):
            return
        silent = membership.is_silent(other.state, clock_of(world, other))
        reply = messages.ElectionProbeReply(
            other.name, silent, other.state.term
        )
        later(world, delay(world), node.name, lambda: replies.append(reply))

    later(world, delay(world), other.name, arrive)


def try_request(world: World, node: Node, now: float) -> None:
    """Dispatches a request for a random point, which runs for a while."""
    if world.rng.random() > 0.3:
        return
    point = world.rng.choice(world.store.record.slices).start
    state = node.state
    try:
        lease = membership.begin(state, point, now)
    except exceptions.NotOwner:
        return
    world.dispatched += 1
    # Work is cancelled when the lease that it was dispatched under ends.
    longest = (lease.until - now) / node.rate
    run_s = min(longest, world.rng.expovariate(1 / 0.05))
    later(world, run_s, node.name, lambda: membership.finish(state, point))


# Faults.


def inject_fault(world: World) -> None:
    """Starts one random fault, which ends by itself."""
    rng = world.rng
    node = world.nodes[rng.choice(sorted(world.nodes))]
    kind = rng.choice(FAULTS)
    length = rng.uniform(0.2, 5.0)
    if kind == "pause":
        node.paused_until = max(node.paused_until, world.now + length)
    elif kind == "restart":
        restart(world, node)
    elif kind == "cut":
        other = world.nodes[rng.choice(sorted(world.nodes))]
        cut(world, [(node.name, other.name)], length)
    elif kind == "isolate":
        pairs = [(node.name, other) for other in world.nodes]
        cut(world, pairs, length)
    elif kind == "split":
        side = set(rng.sample(sorted(world.nodes), len(world.nodes) // 2))
        rest = set(world.nodes) - side
        cut(world, list(itertools.product(side, rest)), length)
    elif kind == "leader-cut":
        cut_leader(world, length)
    elif kind == "late-write":
        late_write(world)
    elif kind == "down":
        world.store.is_down = True
        later(world, length, "", lambda: set_store(world, "is_down"))
    elif kind == "flaky":
        world.store.is_flaky = True
        later(world, length, "", lambda: set_store(world, "is_flaky"))
    elif kind == "drain":
        node.state.draining = True
        state = node.state
        later(world, length, "", lambda: setattr(state, "draining", False))
    else:
        # Two candidates at once: both believe that nobody leads.
        for other in rng.sample(sorted(world.nodes), 2):
            world.nodes[other].state.last_heard -= 10


def cut_leader(world: World, length: float) -> None:
    """Cuts the leader off from one member, which can then be a rival.

    The members between the two restart around the time of the election, so
    that they forget what they have acknowledged.
    """
    rng = world.rng
    leader = world.store.record.leader
    others = sorted(set(world.nodes) - {leader})
    rival = rng.choice(others)
    cut(world, [(leader, rival)], length)
    if rng.random() < 0.5:
        # The old leader can't learn of the new term from the store.
        later(
            world,
            rng.uniform(0.35, 0.5),
            "",
            lambda: setattr(world.store, "is_down", True),
        )
        later(
            world,
            rng.uniform(1.0, 1.8),
            "",
            lambda: set_store(world, "is_down"),
        )
    world.nodes[rival].state.last_heard -= 10
    for name in others:
        if name != rival:
            node = world.nodes[name]
            # Just silent: it supports the rival but does not stand itself.
            now = clock_of(world, node)
            node.state.last_heard = now - 1.01 * limits.ELECTION_SILENCE_S
            later(
                world,
                rng.uniform(0.3, 0.8),
                "",
                lambda node=node: restart(world, node, pause_s=0.01),
            )


def set_store(world: World, name: str) -> None:
    """Ends a fault of the store."""
    setattr(world.store, name, False)


def cut(world: World, pairs: list[tuple[str, str]], length: float) -> None:
    """Cuts pairs of nodes for a while."""
    ordered = {(min(a, b), max(a, b)) for a, b in pairs if a != b}
    world.cuts |= ordered
    later(world, length, "", lambda: world.cuts.difference_update(ordered))


def late_write(world: World) -> None:
    """Makes a write take effect late, when its slice's owner is back.

    An owner pauses for longer than its lease while answers get lost, and
    leader and owner are cut off from the others soon after it is back.
    """
    rng = world.rng
    leader = world.store.record.leader
    others = sorted(set(world.nodes) - {leader})
    owner = rng.choice(others)
    pause = rng.uniform(1.7, 2.3)
    world.nodes[owner].paused_until = world.now + pause
    world.store.is_flaky = True
    later(world, 4.0, "", lambda: set_store(world, "is_flaky"))
    rest = [name for name in others if name != owner]

    def split() -> None:
        cut(world, list(itertools.product((leader, owner), rest)), 4.0)
        for name in rest:
            world.nodes[name].state.last_heard -= 10

    later(world, pause + rng.uniform(0.1, 1.5), "", split)


def restart(world: World, node: Node, pause_s: float | None = None) -> None:
    """Kills a daemon and starts it again; it remembers nothing.

    Args:
      world: The run.
      node: The daemon.
      pause_s: Time until it runs again; random by default.
    """
    node.lives += 1
    node.leader = None
    node.standing = False
    node.calling = set()
    node.paused_until = 0.0
    node.state = new_state(node.name, node.lives, clock_of(world, node))
    if pause_s is None:
        pause_s = world.rng.uniform(0.0, 3.0)
    node.paused_until = world.now + pause_s
    later(world, pause_s, node.name, control(world, node, node.lives))


# Runs.


def find_overlap(world: World) -> Overlap | None:
    """Returns two nodes with leases on one point, if there are any.

    A paused node counts as long as its lease runs: its backend server may be
    running work that it was given before.
    """
    held = [
        (lease.item, node.name)
        for node in world.nodes.values()
        for lease in node.state.held.values()
        if lease.until > clock_of(world, node)
    ]
    held.sort(key=lambda pair: pair[0].start)
    for (a, name), (b, other) in itertools.pairwise(held):
        if name != other and b.start <= a.last:
            return Overlap(world.now, (name, other), b.start)
    return None


def explore(seed: int, fault_rate: float = 1.0) -> Result:
    """Runs one seed.

    Args:
      seed: Seed of all randomness.
      fault_rate: Faults that start in one second.
    """
    size = (3, 4, 5)[seed % 3]
    world = new_world(seed, size, slice_count=1 + seed % 4)

    def faults() -> None:
        if world.now < FAULTY_S:
            inject_fault(world)
            later(world, world.rng.expovariate(fault_rate), "", faults)

    later(world, 3.0, "", faults)
    served: set[int] = set()
    while world.queue and world.overlap is None:
        at, _, name, call = heapq.heappop(world.queue)
        if at > FAULTY_S + HEALED_S:
            break
        world.now = max(world.now, at)
        if world.now > FAULTY_S and not world.healing:
            heal(world)
        node = world.nodes.get(name)
        if node is not None and node.paused_until > world.now:
            later(world, node.paused_until - world.now, name, call)
            continue
        call()
        world.overlap = find_overlap(world)
        # A planned handover leaves its slice without a lease for a moment.
        if at >= FAULTY_S + HEALED_S - limits.HANDOVER_S:
            served |= leased_starts(world)
    record = world.store.record
    return Result(
        seed,
        world.overlap,
        sum(item.start not in served for item in record.slices),
        record.term,
        record.next_epoch - 1,
        world.dispatched,
    )


def leased_starts(world: World) -> set[int]:
    """Returns the starts of the slices that are leased now."""
    return {
        lease.item.start
        for node in world.nodes.values()
        for lease in node.state.held.values()
        if lease.until > clock_of(world, node)
    }


def heal(world: World) -> None:
    """Ends all faults."""
    world.healing = True
    world.cuts.clear()
    world.store.is_down = world.store.is_flaky = False
    for node in world.nodes.values():
        node.paused_until = 0.0
        node.state.draining = False


# Planted faults: each switches one rule off.


def no_majority_bound(_, now: float) -> float:
    """Grants a full lease whatever the members acknowledged (R3)."""
    del now
    return limits.LEASE_S


def no_wait_after_takeover(leader, node: str, now: float) -> None:
    """Counts unheard owners as silent, and gives their slices away (R4)."""
    del node
    if leader.takeover_at is None:
        leader.takeover_at = now
        for follower in leader.followers.values():
            follower.first_sent -= limits.LEASE_S


def no_wait_for_leases(leader, item: cells.Slice, now: float) -> bool:
    """Gives slices away while leases on them may run (R7)."""
    follower = leader.followers.get(item.owner)
    if follower is None or item.ref in follower.released:
        return True
    # Half of the silence that the rule asks for.
    return leadership.is_silent(leader, item.owner, now + limits.LEASE_S / 2)


def give_up_write(world: World, node: Node, leader, record) -> None:
    """Forgets a write whose answer was lost (R8)."""
    del world, node, record
    leader.pending = None
    leader.held_back = frozenset()


PLANTED = {
    "no-majority-bound": (leases, "remaining_s", no_majority_bound),
    "no-takeover-wait": (leadership, "note_advanced", no_wait_after_takeover),
    "no-lease-wait": (leadership, "is_free", no_wait_for_leases),
    "unknown-write-forgotten": (None, "retry_write", give_up_write),
}


@contextlib.contextmanager
def planted(name: str) -> Iterator[None]:
    """Switches one rule off for the time of the context."""
    target, attribute, replacement = PLANTED[name]
    if target is None:
        with mock.patch.dict(globals(), {attribute: replacement}):
            yield
        return
    with mock.patch.object(target, attribute, replacement):
        yield
