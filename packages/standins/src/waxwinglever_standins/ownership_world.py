"""A fleet in one thread on a clock of its own, with faults, for exploration.

Every step moves the clock a little and lets each living node do what its
threads would do. Backend servers check at each grant that no other one holds
the same shards, on clocks that run 2% slow.
"""

import random
import types

import attrs

from waxwinglever_assignment import fleet as fleets
from waxwinglever_assignment import holder as holders
from waxwinglever_assignment import loads
from waxwinglever_assignment import planner as planners
from waxwinglever_assignment import promises
from waxwinglever_assignment import replicas
from waxwinglever_assignment import sessions
from waxwinglever_assignment import tables
from waxwinglever_model import exceptions
from waxwinglever_standins import holds as holds_module
from waxwinglever_standins import leased_memory
from waxwinglever_store import leased

SERVICE = "dispatch"
SLOW_CLOCK = 1.02
STEP_S = (0.02, 0.2)
# A node that follows a reader can be behind by this much.
MOST_BEHIND_S = 1.2
BEHIND_SHARE = 0.1
# A server announces itself this often.
ANNOUNCE_S = 1.5
INLINE = types.SimpleNamespace(map=map)


@attrs.define(eq=False)
class Server:
    """A backend server."""

    name: str
    life: int = 1
    holds: list[holds_module.Hold] = attrs.Factory(list)
    late: list[tuple[float, holds_module.Hold, int]] = attrs.Factory(list)


@attrs.define(eq=False)
class Node:
    """A daemon and the server beside it.

    Attributes:
      up: Whether the daemon runs.
      frozen_until_s: The machine stands still before this.
      store_cut: Whether it can't reach the store.
      link_cut: Whether it can't reach other daemons.
      heard_s: When the daemon first hears its server.
      behind_until_s: Until when its reader tells it nothing new.
    """

    name: str
    zone: str
    server: Server
    up: bool = True
    frozen_until_s: float = float("-inf")
    store_cut: bool = False
    link_cut: bool = False
    heard_s: float = 0.0
    behind_until_s: float = float("-inf")
    session: sessions.Session | None = None
    replica: replicas.Replica | None = None
    entry: replicas.Replica | None = None
    fleet: fleets.Fleet | None = None
    holder: holders.Holder | None = None
    planner: planners.Planner | None = None
    voter: promises.Promises | None = None


@attrs.define(eq=False)
class World:
    """The fleet, its clock and its faults.

    Attributes:
      rng: Source of all randomness.
      now_s: The clock.
      memory: The store.
      nodes: All nodes by name.
      lose_share: Share of the store's answers that are lost.
      late_share: Share of the grants that are applied late.
      overlaps: Shards that two servers held, as text.
      pending: Commits that the store carries out later.
    """

    rng: random.Random
    now_s: float = 1_000.0
    memory: leased_memory.Memory | None = None
    nodes: dict[str, Node] = attrs.field(factory=dict)
    lose_share: float = 0.0
    late_share: float = 0.0
    overlaps: list[str] = attrs.Factory(list)
    pending: list[tuple[float, tuple]] = attrs.Factory(list)
    events: list[str] = attrs.Factory(list)


def make_world(seed: int, count: int) -> World:
    """Returns a fleet that has just started."""
    world = World(random.Random(seed))
    world.memory = leased_memory.Memory(now=lambda: world.now_s)
    for number in range(count):
        name = f"n{number}"
        node = Node(name, "abc"[number % 3], Server(name))
        world.nodes[name] = node
        start(world, node)
        node.voter.started_s -= promises.DENIAL_S
        node.holder.latest_end_s = world.now_s
        node.heard_s = world.now_s
    return world


def start(world: World, node: Node) -> None:
    """Starts the daemon of a node."""
    store = store_for(world, node)

    def log(event: str, **fields) -> None:
        if event not in ("range-held", "voter-silent"):
            world.events.append(
                f"{world.now_s:.2f} {node.name} {event} {fields}"
            )

    def now() -> float:
        return world.now_s

    node.up = True
    node.replica = replicas.Replica(store, fleets.PREFIX, log)
    key = fleets.entry_key(node.name)
    node.entry = replicas.Replica(store, key, log)
    node.fleet = fleets.Fleet(node.replica, log, now=now)
    node.voter = promises.Promises(now=now)
    member = fleets.Member(
        node.name,
        f"{world.rng.random()}",
        node.name,
        node.zone,
        SERVICE,
        slots=10,
    )
    node.heard_s = world.now_s + world.rng.uniform(0.0, ANNOUNCE_S)
    node.session = sessions.Session(
        store,
        member,
        lambda: node.entry.items.get(key),
        log,
        lambda: ask_promises(world, node),
        now=now,
    )
    node.holder = holders.Holder(
        node.name,
        SERVICE,
        node.fleet,
        node.session,
        store,
        orders_for(world, node),
        log,
        now=now,
        callers=INLINE,
    )
    node.planner = planners.Planner(
        node.fleet,
        node.session,
        store,
        lambda: (SERVICE,),
        frozenset,
        lambda: True,
        lambda member: loads.Report(
            {b: world.rng.random() * 4 for b in range(0, 40)}, 0.15
        ),
        lambda voter, owner: ask_word(world, node, voter, owner),
        log,
        now=now,
        askers=INLINE,
    )


def life(node: Node) -> str:
    """Returns the name of the present life of a node's server."""
    return f"{node.name}@{node.server.life}"


def ask_promises(world: World, node: Node) -> bool:
    """Asks the voters for promises, as the platform's adapter does."""
    record = fleets.voters(node.fleet)
    if record is None:
        return False
    agreeing = [
        name
        for name in record.names
        if linked(world, node, name)
        and promises.promise(world.nodes[name].voter, node.name)
    ]
    return promises.is_majority(record.names, agreeing)


def ask_word(world: World, node: Node, voter: str, owner: str) -> float | None:
    """Asks one voter for its word about an owner."""
    if not linked(world, node, voter):
        raise exceptions.PeerUnavailable(f"no way to {voter}", "none")
    return promises.give_word(world.nodes[voter].voter, owner)


def linked(world: World, node: Node, name: str) -> bool:
    """Returns whether a node can call another one now."""
    other = world.nodes[name]
    if name == node.name:
        return True
    cut = node.link_cut or other.link_cut
    return other.up and not cut and world.now_s >= other.frozen_until_s


def store_for(world: World, node: Node) -> leased.LeasedStore:
    """Returns the store as one node reaches it."""
    inner = leased_memory.connect(world.memory)

    def guarded(call, is_commit: bool = False):
        def run(*args):
            if node.store_cut:
                raise leased_memory.unavailable()
            if is_commit and world.rng.random() < world.lose_share:
                if world.rng.random() < 0.5:
                    delay_s = world.rng.uniform(0.5, 6.0)
                    world.pending.append((world.now_s + delay_s, args))
                else:
                    try:
                        call(*args)
                    except exceptions.WaxwingleverError:
                        # The answer would have been an error; it is lost too.
                        pass
                raise leased_memory.unavailable()
            return call(*args)

        return run

    return leased.LeasedStore(
        guarded(inner.get),
        guarded(inner.list_prefix),
        guarded(lambda prefix, after, _: inner.watch(prefix, after, 0)),
        guarded(inner.commit, True),
        guarded(inner.open_lease),
        guarded(inner.renew),
        guarded(inner.end_lease),
    )


def orders_for(world: World, node: Node) -> holders.Orders:
    """Returns the calls to the server beside a node."""

    def grant(item: tables.Range, hold_s: float, _: float) -> None:
        hold = holds_module.Hold(
            item.first,
            item.last,
            item.fence,
            world.now_s + hold_s * SLOW_CLOCK,
        )
        if world.rng.random() < world.late_share:
            delay_s = world.rng.uniform(2.0, 12.0)
            node.server.late.append(
                (world.now_s + delay_s, hold, node.server.life)
            )
            raise exceptions.BackendUnavailable("no answer", "none")
        take(world, node.server, hold)

    def release(item: tables.Range, _: float) -> str:
        server = node.server
        server.holds = holds_module.outside(server.holds, item.first, item.last)
        return "token"

    return holders.Orders(grant, release)


def take(world: World, server: Server, hold: holds_module.Hold) -> None:
    """Lets a server hold shards, and looks for another one that does."""
    for node in world.nodes.values():
        if node.server is server:
            continue
        for other in node.server.holds:
            meets = other.first <= hold.last and hold.first <= other.last
            if meets and other.end_s > world.now_s:
                world.overlaps.append(
                    f"{world.now_s:.2f}: {server.name} fence {hold.fence}"
                    f" beside {node.name} fence {other.fence}"
                    f" until {other.end_s:.2f}"
                )
    server.holds = [
        other
        for other in server.holds
        if other.fence != hold.fence
        or other.last < hold.first
        or other.first > hold.last
    ] + [hold]


def step(world: World) -> None:
    """Moves the clock and lets every node act once."""
    world.now_s += world.rng.uniform(*STEP_S)
    inner = leased_memory.connect(world.memory)
    for due in [p for p in world.pending if p[0] <= world.now_s]:
        world.pending.remove(due)
        if not world.memory.down:
            attempt(lambda due=due: inner.commit(*due[1]))
    for node in world.nodes.values():
        server = node.server
        for due in [late for late in server.late if late[0] <= world.now_s]:
            server.late.remove(due)
            if due[2] == server.life and due[1].end_s > world.now_s:
                take(world, server, due[1])
    nodes = list(world.nodes.values())
    world.rng.shuffle(nodes)
    for node in nodes:
        if node.up and world.now_s >= node.frozen_until_s:
            act(world, node)


def act(world: World, node: Node) -> None:
    """Does what the threads of one daemon would do."""
    replica = node.replica
    session = node.session
    if world.now_s >= node.heard_s:
        sessions.announce(
            session,
            instance=life(node),
            instance_id=node.name,
            state=fleets.READY,
        )
    if world.rng.random() < 0.5:
        try:
            sessions.confirm(session)
        except leased.LeaseEnded:
            sessions.forget(session)
        except exceptions.WaxwingleverError:
            session.doubtful = True
            sessions.extend(session)
    attempt(lambda: refresh(node.entry))
    if world.now_s >= node.behind_until_s or node.planner.leading:
        attempt(lambda: refresh(replica))
        if world.rng.random() < BEHIND_SHARE:
            behind_s = world.rng.uniform(0.0, MOST_BEHIND_S)
            node.behind_until_s = world.now_s + behind_s
    attempt(lambda: holders.renew(node.holder))
    attempt(lambda: holders.hand_over(node.holder))
    if world.rng.random() < 0.5:
        node.planner.reports = {
            name: node.planner.ask(None) for name in world.nodes
        }
        attempt(lambda: planners.plan_all(node.planner))


def refresh(replica: replicas.Replica) -> None:
    """Brings a copy of the store up to date."""
    if replica.synced:
        replicas.follow(replica)
    else:
        replicas.load(replica)


def attempt(call) -> None:
    """Runs a call that may fail; its thread would try again later."""
    try:
        call()
    except leased.HistoryGone:
        raise
    except exceptions.WaxwingleverError:
        # The threads of the daemon log it and repeat the call.
        pass


def held_buckets(world: World) -> set[int]:
    """Returns the buckets of shards that some server holds."""
    held = set()
    for node in world.nodes.values():
        for hold in node.server.holds:
            if hold.end_s > world.now_s:
                first = loads.bucket_of(hold.first)
                held |= set(range(first, loads.bucket_of(hold.last) + 1))
    return held


def served_share(world: World) -> float:
    """Returns the share of buckets that some server holds."""
    return len(held_buckets(world)) / loads.BUCKETS
