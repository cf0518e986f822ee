"""Tests of waxwinglever_relay.crash_records, with several nodes."""

import random
import types

import attrs
import pytest
import testtools

from waxwinglever_admission import gate as gates
from waxwinglever_admission import gate_state
from waxwinglever_admission import quarantine
from waxwinglever_assignment import fleet_view
from waxwinglever_assignment import replicas
from waxwinglever_model import exceptions
from waxwinglever_relay import backend_state
from waxwinglever_relay import connection_pool
from waxwinglever_relay import crash_records
from waxwinglever_relay import delivery
from waxwinglever_relay import http_client
from waxwinglever_relay import ingress
from waxwinglever_relay import messages
from waxwinglever_relay import routes
from waxwinglever_routing import balancer as balancers
from waxwinglever_standins import memory_leased_store
from waxwinglever_store import leased

LOST = http_client.ResponseLost("reset", "none")
CRASHING = "/jobs/crash"
SERVICE = "intake"
NODES = 10
STEP_S = 0.1
DOWN_S = 1.0
# The platform allows this many further crashes, from CONTACT_S after the third.
CRASHES_BEFORE = 3
CRASHES_AFTER = 3
CONTACT_S = 3.0


def discard(*_, **__) -> None:
    """Accepts and discards a log line."""


@attrs.define(eq=False)
class Node:
    """One node of the fleet.

    Attributes:
      name: Its name.
      local_delivery: Deliveries to its backend server.
      sharing: Its exchange of evidence.
      ingress_router: Routes the requests that begin here.
      up_s: When its backend server is up again.
    """

    name: str
    local_delivery: delivery.LocalDelivery
    sharing: crash_records.CrashSharing
    ingress_router: ingress.IngressRouter
    up_s: float = 0.0


@attrs.define(eq=False)
class Fleet:
    """Nodes with one service, in virtual time.

    Attributes:
      build: The builders of conftest.
      clock: The clock.
      store: The store that all nodes share.
      seed: Seed of the load balancers.
      is_reachable: Whether a server accepts connections after a crash.
      nodes: The nodes by name.
      boots: Starts of backend servers.
      crashes_s: Time of each crash.
      crashed: Servers that have crashed and not restarted yet.
    """

    build: types.SimpleNamespace
    clock: object
    store: memory_leased_store.MemoryLeasedStore
    seed: int = 1
    is_reachable: bool = False
    nodes: dict[str, Node] = attrs.field(factory=dict)
    boots: int = 1
    crashes_s: list[float] = attrs.field(factory=list)
    crashed: set[str] = attrs.field(factory=set)

    def add_node(self, name: str) -> Node:
        """Adds a node, or starts the daemon of a node again."""
        local_delivery, _, _ = self.build.make_local_delivery(
            self.clock, SERVICE, self.store
        )
        fleet = local_delivery.grant_manager.fleet
        gate = local_delivery.backend.gate
        store = memory_leased_store.connect(self.store)
        sharing = crash_records.CrashSharing(
            name, store, fleet.replica, gate, discard, now=self.clock
        )
        crash_records.attach(sharing)
        local_delivery.backend_sender = delivery.BackendSender(
            lambda request, _, caller: self.run(name, request),
            lambda: self.is_reachable,
        )
        router = ingress.IngressRouter(
            name,
            routes.ActiveConfig(),
            fleet,
            local_delivery,
            lambda member, request, caller: delivery.deliver(
                self.nodes[member.name].local_delivery, request, caller
            ),
            discard,
            now=self.clock,
            balancer=balancers.Balancer(
                random.Random(f"{self.seed} {name}"), self.clock
            ),
        )
        node = self.nodes[name] = Node(name, local_delivery, sharing, router)
        self.announce(node)
        store.commit(
            {},
            [
                leased.Write(
                    fleet_view.entry_key(name),
                    fleet_view.encode_member(
                        self.build.make_member(name, SERVICE)
                    ),
                )
            ],
            [],
            1,
        )
        return node

    def announce(self, node: Node) -> None:
        """Announces a new process of the node's backend server."""
        self.boots += 1
        backend_state.apply_announcement(
            node.local_delivery.backend,
            backend_state.Announcement(
                node.name, self.boots, 1, SERVICE, 4, False, 0.0
            ),
        )

    def run(self, name: str, request: messages.Request) -> messages.Response:
        """Runs a request at a backend server."""
        node = self.nodes[name]
        if node.up_s > self.clock.now_s:
            raise connection_pool.ConnectFailed("refused", "none")
        if request.target != CRASHING:
            return self.build.RESPONSE
        self.crashes_s.append(self.clock.now_s)
        self.crashed.add(name)
        node.up_s = self.clock.now_s + DOWN_S
        raise LOST

    def send(self, name: str, target: str = CRASHING, **fields) -> str:
        """Sends a request that begins at a node; returns its outcome."""
        values = {
            "target": target,
            "service": SERVICE,
            "shard": None,
            "keyed": False,
        }
        request = self.build.make_request(self.clock, **(values | fields))
        router = self.nodes[name].ingress_router
        try:
            ingress.handle(router, request, ingress.Attempts(), None)
            return "ran"
        except exceptions.Refusal as error:
            return error.kind

    def step(self, shared: bool = True) -> None:
        """Lets STEP_S pass, restarts servers and exchanges evidence."""
        self.clock.now_s += STEP_S
        for node in self.nodes.values():
            if node.name in self.crashed and self.clock.now_s >= node.up_s:
                self.crashed.remove(node.name)
                self.announce(node)
        if shared:
            self.share()

    def share(self) -> None:
        """Writes the evidence of all nodes and applies it everywhere."""
        for node in self.nodes.values():
            while not node.sharing.outgoing.empty():
                evidence, _ = node.sharing.outgoing.get()
                crash_records.try_write(node.sharing, evidence)
        for node in self.nodes.values():
            replicas.read_prefix(node.sharing.replica)
            crash_records.apply_new_records(node.sharing)


@pytest.mark.usefixtures("build")
class CrashRecordsTest(testtools.TestCase):
    """Guards against a request that crashes one backend server after the other.

    Also against good requests that are refused because of crashes.
    """

    # Set by the fixture.
    build: types.SimpleNamespace = types.SimpleNamespace()

    def start_fleet(self, seed: int = 1, is_reachable: bool = False) -> Fleet:
        """Returns a fleet of NODES nodes."""
        now = self.build.Clock()
        store = memory_leased_store.MemoryLeasedStore(now=now)
        fleet = Fleet(self.build, now, store, seed, is_reachable)
        for number in range(NODES):
            fleet.add_node(f"m{number}")
        fleet.share()
        return fleet

    def repeat_crashing_request(
        self, fleet: Fleet, steps: int = 100, shared: bool = True, **fields
    ) -> None:
        """Sends the crashing request at all nodes, in each step."""
        for _ in range(steps):
            for number, name in enumerate(sorted(fleet.nodes)):
                caller = ("intake", "dispatch")[number % 2]
                fleet.send(name, caller=caller, **fields)
            fleet.step(shared)

    def late_crashes(self, fleet: Fleet) -> int:
        """Returns the crashes after the time that the platform allows."""
        known_s = fleet.crashes_s[CRASHES_BEFORE - 1 :][:1]
        return sum(
            at_s > known_s[0] + CONTACT_S for at_s in fleet.crashes_s if known_s
        )

    def test_all_nodes_soon_refuse_a_request_that_crashes_servers(self):
        for seed in range(5):
            for is_reachable in (False, True):
                for idempotent in (False, True):
                    fleet = self.start_fleet(seed, is_reachable)
                    self.repeat_crashing_request(fleet, idempotent=idempotent)
                    case = (seed, is_reachable, idempotent, fleet.crashes_s)
                    self.assertLessEqual(
                        self.late_crashes(fleet), CRASHES_AFTER, case
                    )
                    self.assertLess(len(fleet.crashes_s), 3 * NODES, case)
                    for name in fleet.nodes:
                        self.assertEqual("quarantined", fleet.send(name), case)

    def test_slowly_repeated_request_crashes_three_servers_at_most(self):
        for is_reachable in (False, True):
            fleet = self.start_fleet(is_reachable=is_reachable)
            for number in range(3 * NODES):
                fleet.send(f"m{number % NODES}", idempotent=False)
                for _ in range(15):
                    fleet.step()
            self.assertLessEqual(len(fleet.crashes_s), CRASHES_BEFORE)

    def test_restarted_daemons_still_refuse_the_request(self):
        fleet = self.start_fleet()
        self.repeat_crashing_request(fleet)
        crashes = len(fleet.crashes_s)
        for name in list(fleet.nodes):
            fleet.add_node(name)
            fleet.share()
        self.repeat_crashing_request(fleet)
        self.assertEqual(crashes, len(fleet.crashes_s))

    def test_without_the_store_each_node_learns_from_its_own_requests(self):
        fleet = self.start_fleet()
        self.repeat_crashing_request(fleet, shared=False)
        self.assertLessEqual(len(fleet.crashes_s), 2 * NODES)

    def test_evidence_is_written_again_after_an_outage_of_the_store(self):
        fleet = self.start_fleet()
        node = fleet.nodes["m0"]
        fleet.send("m0", idempotent=False)
        reporting = [
            n for n in fleet.nodes.values() if not n.sharing.outgoing.empty()
        ][0]
        evidence, _ = reporting.sharing.outgoing.get()
        fleet.store.down = True
        self.assertFalse(crash_records.try_write(reporting.sharing, evidence))
        fleet.store.down = False
        self.assertTrue(crash_records.try_write(reporting.sharing, evidence))
        fleet.share()
        gate = node.local_delivery.backend.gate
        fingerprint = next(iter(evidence.chains))
        self.assertEqual(1, gates.known_chain(gate, fingerprint))

    def test_popular_request_survives_crashes_of_all_servers(self):
        # It is in flight everywhere, which says nothing about it.
        fleet = self.start_fleet()
        target = "/jobs/popular"
        request = self.build.make_request(fleet.clock, target=target)
        fingerprint = messages.fingerprint(request)
        for _ in range(5):
            gate_list = [
                node.local_delivery.backend.gate
                for node in fleet.nodes.values()
            ]
            for gate in gate_list:
                info = gate_state.RequestInfo(
                    "jobs", fleet.clock.now_s + 9.0, fingerprint
                )
                admission = gates.submit(gate, info)
                gates.record_crash(gate)
                gates.release_slot(gate, admission, False, None)
            for node in fleet.nodes.values():
                fleet.announce(node)
            fleet.step()
            for name in fleet.nodes:
                self.assertEqual("ran", fleet.send(name, target))
                fleet.step()
        for gate in gate_list:
            self.assertEqual(0, gates.snapshot(gate).suspects)

    def test_request_in_flight_at_one_crash_is_not_slowed_elsewhere(self):
        fleet = self.start_fleet()
        evidence = quarantine.make_evidence("b", [("x", 0), ("y", 0)])
        crash_records.report(fleet.nodes["m0"].sharing, evidence)
        fleet.share()
        gate = fleet.nodes["m1"].local_delivery.backend.gate
        for name in ("other", "x"):
            info = gate_state.RequestInfo("jobs", fleet.clock.now_s + 9.0, name)
            gates.submit(gate, info)
        self.assertEqual(2, gates.snapshot(gate).in_flight)

    def test_unreadable_record_is_skipped(self):
        fleet = self.start_fleet()
        memory_leased_store.connect(fleet.store).commit(
            {},
            [leased.Write(crash_records.PREFIX + "a/b/c", b"{")],
            [],
            1,
        )
        fleet.send("m0")
        fleet.share()
        self.assertEqual("ran", fleet.send("m0", "/jobs/good"))
