"""Single-threaded simulation of a fleet with faults and a simulated clock.

Each step advances the clock a little and runs the work of the threads of each
running daemon once. The backend servers work on random shards that they hold;
a release that comes meanwhile is not answered in time. Each grant is checked
for shards that another backend server still holds or works on. The clocks of
the backend servers run 2% slow.
"""

import collections
import random

import attrs

from waxwinglever_assignment import fleet_view
from waxwinglever_assignment import grant_state
from waxwinglever_assignment import grants
from waxwinglever_assignment import handovers
from waxwinglever_assignment import holds
from waxwinglever_assignment import loads
from waxwinglever_assignment import planner as planners
from waxwinglever_assignment import promises
from waxwinglever_assignment import replicas
from waxwinglever_assignment import sessions
from waxwinglever_assignment import tables
from waxwinglever_model import exceptions
from waxwinglever_standins import granted_ranges as granted_ranges_module
from waxwinglever_standins import inline_executor
from waxwinglever_standins import memory_leased_store
from waxwinglever_standins import simulated_servers
from waxwinglever_store import leased

SERVICE = "dispatch"
START_S = 1_000.0
CLOCK_SLOWDOWN = 1.02
STEP_RANGE_S = (0.02, 0.2)
# Longest time by which the replica of a node that follows a reader can lag.
MAX_REPLICA_LAG_S = 1.2
REPLICA_LAG_PROBABILITY = 0.1
# Interval at which a backend server announces itself to its daemon.
ANNOUNCE_INTERVAL_S = 1.5
# How often a daemon notices that its connections have ended before it uses one.
NOTICED_PROBABILITY = 0.5
# Copies of the store are kept this long, to be restored from.
COPIES_KEPT_S = 12.0
INLINE_EXECUTOR = inline_executor.InlineExecutor()


@attrs.define(eq=False)
class Node:
    """A VM with a daemon and its backend server.

    Attributes:
      name: Name of the node.
      zone: Its availability zone.
      server: The backend server.
      up: Whether the daemon runs.
      frozen_until_s: When the freeze of the VM ends.
      store_cut: Whether the daemon can't reach the store.
      peers_cut: Whether the daemon can't reach other daemons.
      first_announcement_s: When the server first announces itself to the
        daemon.
      process: Number of the process of the server that the daemon's connections
        reach.
      connected_to: Boot number of that process; 0 without a connection.
      replica_lags_until_s: Until when the replica gets no updates from its
        reader.
      session: The daemon's session in the store.
      replica: Replica of the fleet's records.
      entry: Replica of the daemon's own entry.
      fleet: The daemon's view of the fleet.
      grant_manager: Manages the shard ranges of the server.
      planner: Assigns shard ranges to nodes while the daemon is the planner.
      voter: The promises that the daemon has made as a voter.
    """

    name: str
    zone: str
    server: simulated_servers.Server
    up: bool = True
    frozen_until_s: float = float("-inf")
    store_cut: bool = False
    peers_cut: bool = False
    first_announcement_s: float = 0.0
    process: int = 0
    connected_to: int = 0
    replica_lags_until_s: float = float("-inf")
    session: sessions.Session | None = None
    replica: replicas.Replica | None = None
    entry: replicas.Replica | None = None
    fleet: fleet_view.FleetView | None = None
    grant_manager: grant_state.GrantManager | None = None
    planner: planners.Planner | None = None
    voter: promises.VoterState | None = None


@attrs.define(eq=False)
class Simulation:
    """State of the simulation: the fleet, its clock and its faults.

    Attributes:
      rng: Source of all randomness.
      now_s: Simulated time, in seconds.
      store: The simulated store.
      nodes: All nodes by name.
      partition: Names of the nodes that can reach each other, but not the
        remaining nodes, nor these them.
      lost_commit_share: Share of the commits whose response is lost.
      late_grant_share: Share of the grants that are applied late.
      lost_release_share: Share of the releases whose response is lost.
      call_rng: Source of the randomness of work and calls to backend servers.
      overlaps: Descriptions of grants of shards that another server held or
        worked on.
      low_fences: Descriptions of grants whose fence is not above all fences
        under which other servers held the shards.
      highest_fences: Highest fence under which a bucket was granted, and the
        run of the server that got it.
      copies: Time and content of earlier copies of the store.
      delayed_commits: Commits that the store applies later: the time and the
        arguments of the call.
      events: Log lines of the daemons, without the most frequent events.
    """

    rng: random.Random
    now_s: float = START_S
    store: memory_leased_store.MemoryLeasedStore | None = None
    nodes: dict[str, Node] = attrs.field(factory=dict)
    partition: frozenset[str] = frozenset()
    lost_commit_share: float = 0.0
    late_grant_share: float = 0.0
    lost_release_share: float = 0.0
    call_rng: random.Random = attrs.Factory(lambda: random.Random(0))
    overlaps: list[str] = attrs.Factory(list)
    low_fences: list[str] = attrs.Factory(list)
    highest_fences: dict[int, tuple[int, str]] = attrs.Factory(dict)
    copies: collections.deque[tuple[float, memory_leased_store.Copy]] = (
        attrs.Factory(collections.deque)
    )
    delayed_commits: list[tuple[float, tuple]] = attrs.Factory(list)
    events: list[str] = attrs.Factory(list)


def new_simulation(seed: int, node_count: int) -> Simulation:
    """Returns a simulation of a new fleet.

    The daemons skip the waiting times that follow a start.

    Args:
      seed: Seed of all randomness.
      node_count: Number of nodes.
    """
    simulation = Simulation(
        random.Random(seed), call_rng=random.Random(f"calls of {seed}")
    )
    simulation.store = memory_leased_store.MemoryLeasedStore(
        now=lambda: simulation.now_s
    )
    for number in range(node_count):
        name = f"n{number}"
        node = Node(name, "abc"[number % 3], simulated_servers.Server(name))
        simulation.nodes[name] = node
        start_daemon(simulation, node)
        node.voter.started_s -= promises.PROMISE_DENIAL_S
        node.grant_manager.hold_book = holds.HoldBook()
        node.first_announcement_s = simulation.now_s
    return simulation


def start_daemon(simulation: Simulation, node: Node) -> None:
    """Starts or restarts the daemon of a node."""
    store = store_for(simulation, node)

    def log(event: str, **fields) -> None:
        if event not in ("range-held", "voter-silent"):
            simulation.events.append(
                f"{simulation.now_s:.2f} {node.name} {event} {fields}"
            )

    def now() -> float:
        return simulation.now_s

    node.up = True
    node.process = node.connected_to = 0
    node.replica = replicas.Replica(store, fleet_view.PREFIX, log, now=now)
    key = fleet_view.entry_key(node.name)
    node.entry = replicas.Replica(store, key, log, now=now)
    node.fleet = fleet_view.FleetView(node.replica, log, now=now)
    node.voter = promises.VoterState(now=now)
    member = fleet_view.Member(
        node.name,
        f"{simulation.rng.random()}",
        node.name,
        node.zone,
        SERVICE,
        slots=10,
    )
    node.first_announcement_s = simulation.now_s + simulation.rng.uniform(
        0.0, ANNOUNCE_INTERVAL_S
    )
    node.session = sessions.Session(
        store,
        member,
        lambda: replicas.watched_item(node.entry, key),
        log,
        lambda era: request_promises(simulation, node, era),
        lambda: grant_state.outdated_eras(node.grant_manager),
        now=now,
    )
    node.entry.known_listing = lambda: sessions.written_listing(
        node.session, node.entry
    )
    node.grant_manager = grant_state.GrantManager(
        node.name,
        SERVICE,
        node.fleet,
        node.session,
        store,
        backend_calls(simulation, node),
        log,
        now=now,
        executor=INLINE_EXECUTOR,
    )
    node.planner = planners.Planner(
        node.fleet,
        node.session,
        store,
        lambda: (SERVICE,),
        frozenset,
        lambda: True,
        lambda member: make_report(simulation, simulation.nodes[member.name]),
        lambda voter, owner: request_clearance(simulation, node, voter, owner),
        lambda voter, era: request_era_clearance(simulation, node, voter, era),
        log,
        first_start=simulation.now_s == START_S,
        now=now,
        voter_executor=INLINE_EXECUTOR,
    )


def request_promises(simulation: Simulation, node: Node, era: int) -> bool:
    """Asks the voters for promises, as the platform's adapter does.

    Returns:
      Whether majorities of the voters, and of those before a recent change,
      made the promise.
    """
    record = fleet_view.recent_voter_list(node.fleet)
    if record is None:
        return False
    agreeing = [
        name
        for name in {*record.names, *record.before}
        if can_reach(simulation, node, name)
        and promises.promise(simulation.nodes[name].voter, node.name, era)
    ]
    return promises.is_majority(
        record.names, agreeing
    ) and promises.is_majority(record.before, agreeing)


def request_clearance(
    simulation: Simulation, node: Node, voter: str, owner: str
) -> float | None:
    """Requests clearance: that a voter makes no more promises to an owner.

    Returns:
      Seconds until an earlier promise ends; None if the voter started too
      recently to have a record of its promises.

    Raises:
      PeerUnavailable: The voter can't be reached.
    """
    if not can_reach(simulation, node, voter):
        raise exceptions.PeerUnavailable(
            f"node {voter} can't be reached", "none"
        )
    return promises.clear_takeover(simulation.nodes[voter].voter, owner)


def request_era_clearance(
    simulation: Simulation, node: Node, voter: str, era: int
) -> float | None:
    """Requests that a voter makes no more promises for earlier eras.

    Returns:
      The same as request_clearance.

    Raises:
      PeerUnavailable: The voter can't be reached.
    """
    if not can_reach(simulation, node, voter):
        raise exceptions.PeerUnavailable(
            f"node {voter} can't be reached", "none"
        )
    return promises.clear_earlier_eras(simulation.nodes[voter].voter, era)


def can_reach(simulation: Simulation, node: Node, name: str) -> bool:
    """Returns whether a node can call another one.

    Neither node may be cut off from others, both must be on the same side of a
    partition, and the other one has to run and not be frozen. A node can always
    call itself.
    """
    other = simulation.nodes[name]
    if name == node.name:
        return True
    separated = (node.name in simulation.partition) != (
        name in simulation.partition
    )
    cut = separated or node.peers_cut or other.peers_cut
    return other.up and not cut and simulation.now_s >= other.frozen_until_s


def store_for(simulation: Simulation, node: Node) -> leased.LeasedStoreClient:
    """Returns a store client for one node, with faults injected.

    A lost commit is applied at once or later, or fails; the caller gets
    StoreUnavailable in each case. Watches return at once.
    """
    memory_store = memory_leased_store.connect(simulation.store)

    def with_faults(call, is_commit: bool = False):
        def call_with_faults(*args):
            if node.store_cut:
                raise memory_leased_store.unavailable_error()
            if (
                is_commit
                and simulation.rng.random() < simulation.lost_commit_share
            ):
                if simulation.rng.random() < 0.5:
                    delay_s = simulation.rng.uniform(0.5, 6.0)
                    simulation.delayed_commits.append(
                        (simulation.now_s + delay_s, args)
                    )
                else:
                    try:
                        call(*args)
                    except exceptions.WaxwingleverError:
                        # The error response is lost like any other.
                        pass
                raise memory_leased_store.unavailable_error()
            return call(*args)

        return call_with_faults

    return leased.LeasedStoreClient(
        with_faults(memory_store.get),
        with_faults(memory_store.list_prefix),
        with_faults(
            lambda prefix, after, _, era: memory_store.watch(
                prefix, after, 0, era
            )
        ),
        with_faults(
            lambda prefix, after, _, era: memory_store.watch_small(
                prefix, after, 0, era
            )
        ),
        with_faults(memory_store.commit, True),
        with_faults(memory_store.open_lease),
        with_faults(memory_store.renew),
        with_faults(memory_store.end_lease),
        era=memory_store.era,
    )


def backend_calls(simulation: Simulation, node: Node) -> grant_state.GrantCalls:
    """Returns a node's calls to its backend server; some grants come late."""

    def is_connected(process: int) -> bool:
        is_noticed = simulation.call_rng.random() < NOTICED_PROBABILITY
        if node.connected_to != node.server.boot_number and is_noticed:
            node.connected_to = 0
        return process == node.process and node.connected_to > 0

    def grant(
        item: tables.Range, hold_s: float, _: float, __: int, use_token
    ) -> None:
        if not node.connected_to:
            node.process += 1
            node.connected_to = node.server.boot_number
        item = attrs.evolve(item, fence=use_token(node.process))
        if node.connected_to != node.server.boot_number:
            node.connected_to = 0
            raise exceptions.BackendUnavailable("the process ended", "none")
        granted_range = granted_ranges_module.GrantedRange(
            item.first,
            item.last,
            item.fence,
            simulation.now_s + hold_s * CLOCK_SLOWDOWN,
        )
        if simulation.rng.random() < simulation.late_grant_share:
            delay_s = simulation.rng.uniform(2.0, 12.0)
            node.server.late_grants.append(
                (
                    simulation.now_s + delay_s,
                    granted_range,
                    node.server.boot_number,
                )
            )
            raise exceptions.BackendUnavailable("no answer", "none")
        apply_grant(simulation, node.server, granted_range)

    def release(item: tables.Range, _: float) -> str:
        server = node.server
        server.granted_ranges = granted_ranges_module.subtract_range(
            server.granted_ranges, item.first, item.last
        )
        if (
            simulated_servers.works_on(
                server, item.first, item.last, simulation.now_s
            )
            or simulation.call_rng.random() < simulation.lost_release_share
        ):
            raise exceptions.BackendUnavailable("no answer", "none")
        return "token"

    return grant_state.GrantCalls(is_connected, grant, release)


def apply_grant(
    simulation: Simulation,
    server: simulated_servers.Server,
    granted_range: granted_ranges_module.GrantedRange,
) -> None:
    """Adds a shard range to a server and records overlaps with others."""
    for node in simulation.nodes.values():
        if node.server is server:
            continue
        for other in node.server.granted_ranges:
            overlapping = (
                other.first <= granted_range.last
                and granted_range.first <= other.last
            )
            if overlapping and other.expires_s > simulation.now_s:
                simulation.overlaps.append(
                    f"{simulation.now_s:.2f}: {server.name}"
                    f" fence {granted_range.fence}"
                    f" beside {node.name} fence {other.fence}"
                    f" until {other.expires_s:.2f}"
                )
        for work in simulated_servers.works_on(
            node.server,
            granted_range.first,
            granted_range.last,
            simulation.now_s,
        ):
            simulation.overlaps.append(
                f"{simulation.now_s:.2f}: {server.name}"
                f" fence {granted_range.fence}"
                f" beside work of {node.name} on {work.shard}"
                f" fence {work.fence} until {work.end_s:.2f}"
            )
    record_fences(simulation, server, granted_range)
    server.granted_ranges = [
        other
        for other in server.granted_ranges
        if other.fence != granted_range.fence
        or other.last < granted_range.first
        or other.first > granted_range.last
    ] + [granted_range]


def record_fences(
    simulation: Simulation,
    server: simulated_servers.Server,
    granted_range: granted_ranges_module.GrantedRange,
) -> None:
    """Records a grant whose fence another run has reached for its shards."""
    run = simulated_servers.server_boot_id(server)
    for bucket in range(
        loads.bucket_of(granted_range.first),
        loads.bucket_of(granted_range.last) + 1,
    ):
        fence, holder = simulation.highest_fences.get(bucket, (-1, ""))
        if holder != run and fence >= granted_range.fence:
            simulation.low_fences.append(
                f"{simulation.now_s:.2f}: {run}"
                f" fence {granted_range.fence} after {holder} fence {fence}"
            )
        elif granted_range.fence > fence:
            simulation.highest_fences[bucket] = (
                granted_range.fence,
                run,
            )


def restore_store(simulation: Simulation, age_s: float) -> None:
    """Restores the store from the newest copy that has at least an age."""
    before_s = simulation.now_s - age_s
    candidates = [c for taken_s, c in simulation.copies if taken_s <= before_s]
    if candidates:
        memory_leased_store.restore_store(simulation.store, candidates[-1])


def run_for(simulation: Simulation, duration_s: float) -> set[int]:
    """Runs the simulation; returns the buckets held in its last second."""
    held: set[int] = set()
    end_s = simulation.now_s + duration_s
    while simulation.now_s < end_s:
        step(simulation)
        if simulation.now_s >= end_s - 1.0:
            held |= held_buckets(simulation)
    return held


def step(simulation: Simulation) -> None:
    """Advances the clock, applies due events and runs each daemon once."""
    simulation.now_s += simulation.rng.uniform(*STEP_RANGE_S)
    simulation.copies.append(
        (simulation.now_s, memory_leased_store.copy_store(simulation.store))
    )
    while simulation.copies[0][0] < simulation.now_s - COPIES_KEPT_S:
        simulation.copies.popleft()
    memory_store = memory_leased_store.connect(simulation.store)
    for due in [
        commit
        for commit in simulation.delayed_commits
        if commit[0] <= simulation.now_s
    ]:
        simulation.delayed_commits.remove(due)
        if not simulation.store.down:
            attempt(lambda due=due: memory_store.commit(*due[1]))
    for node in simulation.nodes.values():
        server = node.server
        for due in [
            grant
            for grant in server.late_grants
            if grant[0] <= simulation.now_s
        ]:
            server.late_grants.remove(due)
            if (
                due[2] == server.boot_number
                and due[1].expires_s > simulation.now_s
            ):
                apply_grant(simulation, server, due[1])
        simulated_servers.begin_work(
            server, simulation.call_rng, simulation.now_s
        )
    nodes = list(simulation.nodes.values())
    simulation.rng.shuffle(nodes)
    for node in nodes:
        if node.up and simulation.now_s >= node.frozen_until_s:
            run_daemon(simulation, node)


def run_daemon(simulation: Simulation, node: Node) -> None:
    """Runs the work of the threads of one daemon once."""
    replica = node.replica
    session = node.session
    if simulation.now_s >= node.first_announcement_s:
        sessions.publish_server(
            session,
            simulated_servers.heard_boot_id(node.server, simulation.now_s),
            instance_id=node.name,
            state=fleet_view.READY,
        )
    if simulation.rng.random() < 0.5:
        try:
            sessions.confirm(session)
            sessions.request_extensions(session, is_confirmed=True)
        except leased.LeaseExpired:
            sessions.reset_lease(session)
        except leased.StoreRestored:
            sessions.forget_lease(session)
        except exceptions.WaxwingleverError:
            session.must_read_entry = True
            sessions.request_extensions(session, is_confirmed=False)
    attempt(lambda: refresh(node.entry))
    if simulation.now_s >= node.replica_lags_until_s or node.planner.is_planner:
        attempt(lambda: refresh(replica))
        if simulation.rng.random() < REPLICA_LAG_PROBABILITY:
            lag_s = simulation.rng.uniform(0.0, MAX_REPLICA_LAG_S)
            node.replica_lags_until_s = simulation.now_s + lag_s
    attempt(lambda: grants.renew_grants(node.grant_manager))
    attempt(lambda: handovers.hand_over_ranges(node.grant_manager))
    if simulation.rng.random() < 0.5:
        node.planner.reports = fetch_reports(simulation, node)
        node.planner.asked = set(simulation.nodes)
        attempt(lambda: planners.run_pass(node.planner))


def make_report(simulation: Simulation, node: Node) -> loads.LoadReport:
    """Returns the load report of a node, with random rates."""
    return loads.LoadReport(
        {bucket: simulation.rng.random() * 4 for bucket in range(0, 40)},
        0.15,
        node.grant_manager.store.era(),
        grant_state.ranges_held_since_restore(node.grant_manager),
    )


def fetch_reports(
    simulation: Simulation, node: Node
) -> dict[str, loads.LoadReport]:
    """Returns the load reports of all daemons that a node can reach."""
    return {
        name: make_report(simulation, other)
        for name, other in simulation.nodes.items()
        if can_reach(simulation, node, name)
    }


def refresh(replica: replicas.Replica) -> None:
    """Updates a replica from the store."""
    if not replica.synced:
        replicas.read_prefix(replica)
        return
    try:
        replicas.apply_next_changes(replica)
    except (leased.HistoryCompacted, leased.StoreRestored):
        replicas.read_prefix(replica)


def attempt(call) -> None:
    """Runs a call and ignores its errors."""
    try:
        call()
    except exceptions.WaxwingleverError:
        # In a daemon the thread logs the error and retries the call later.
        pass


def held_buckets(simulation: Simulation) -> set[int]:
    """Returns the buckets with shards that some server holds."""
    held = set()
    for node in simulation.nodes.values():
        for granted_range in node.server.granted_ranges:
            if granted_range.expires_s > simulation.now_s:
                first = loads.bucket_of(granted_range.first)
                held |= set(
                    range(first, loads.bucket_of(granted_range.last) + 1)
                )
    return held


def held_share(simulation: Simulation) -> float:
    """Returns the fraction of buckets with shards that some server holds."""
    return len(held_buckets(simulation)) / loads.BUCKETS
