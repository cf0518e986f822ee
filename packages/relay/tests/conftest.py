"""Builders shared by the tests of waxwinglever_relay."""

import types

import attrs
import pytest

from waxwinglever_admission import gate_state
from waxwinglever_assignment import commits
from waxwinglever_assignment import fleet_view
from waxwinglever_assignment import grant_state
from waxwinglever_assignment import replicas
from waxwinglever_assignment import sessions
from waxwinglever_assignment import tables
from waxwinglever_relay import backend_state
from waxwinglever_relay import delivery
from waxwinglever_relay import ingress
from waxwinglever_relay import messages
from waxwinglever_relay import routes
from waxwinglever_standins import memory_leased_store
from waxwinglever_store import leased

RESPONSE = messages.Response(200, (), b"done")


@attrs.define(eq=False)
class Clock:
    """Clock that a test advances."""

    now_s: float = 100.0

    def __call__(self) -> float:
        return self.now_s


def discard(*_, **__) -> None:
    """Accepts and discards a log line or a change of the node's entry."""


def make_request(clock, **fields) -> messages.Request:
    """Returns an idempotent request to the keyed service."""
    values = {
        "request_id": "r1",
        "method": "GET",
        "target": "/jobs/1",
        "headers": (),
        "body": b"",
        "service": "dispatch",
        "route": "jobs",
        "idempotent": True,
        "shard": 7,
        "caller": "workshop",
        "latency_target_s": clock.now_s + 0.4,
        "deadline_s": clock.now_s + 2.0,
        "keyed": True,
        "max_attempts": 2,
    }
    return messages.Request(**(values | fields))


@attrs.define(eq=False)
class FakeBackend:
    """Backend server with scripted results.

    Attributes:
      results: Responses to return or exceptions to raise, in order; the last
        one is repeated.
      up: Whether connections can be opened.
      requests: Requests that arrived.
    """

    results: list = attrs.field(factory=lambda: [RESPONSE])
    up: bool = True
    requests: list = attrs.field(factory=list)

    def send(self, request, instance_id, caller):
        del instance_id, caller
        self.requests.append(request)
        result = (
            self.results.pop(0) if len(self.results) > 1 else self.results[0]
        )
        if isinstance(result, Exception):
            raise result
        return result


def make_local_delivery(clock, service: str = "dispatch", memory_store=None):
    """Returns a LocalDelivery, its fake backend server and its in-memory store.

    The backend server is ready and holds the shards 0 to 99.
    """
    memory_store = memory_store or memory_leased_store.MemoryLeasedStore(
        now=clock
    )
    fake_backend = FakeBackend()
    backend = backend_state.BackendState(
        "127.0.0.1:1",
        service,
        "a",
        discard,
        discard,
        now=clock,
        gate=gate_state.Gate(backend_state.gate_policy(2, {}), clock),
    )
    backend_state.apply_announcement(
        backend, backend_state.Announcement("i1", 1, 1, service, 2, False, 0.0)
    )
    store = memory_leased_store.connect(memory_store)
    replica = replicas.Replica(store, fleet_view.PREFIX, discard)
    session = sessions.Session(
        store,
        fleet_view.Member("n1", "1", "127.0.0.1:1", "a", service),
        lambda: None,
        discard,
        now=clock,
    )
    grant_manager = grant_state.GrantManager(
        "n1",
        service,
        fleet_view.FleetView(replica, discard, now=clock),
        session,
        store,
        grant_state.GrantCalls(discard, discard, discard),
        discard,
        now=clock,
    )
    grant_manager.ranges[5] = tables.Range(0, 99, "n1", "i1@1", 5)
    grant_manager.grant_end_s[5] = clock.now_s + 1_000.0
    local_delivery = delivery.LocalDelivery(
        backend,
        delivery.BackendSender(fake_backend.send, lambda: fake_backend.up),
        routes.ActiveConfig(),
        grant_manager,
        discard,
        now=clock,
    )
    return local_delivery, fake_backend, memory_store


def make_ingress_router(clock, members=(), table=None):
    """Returns an IngressRouter, a fake backend server and a list.

    The list receives the names of the nodes that requests are forwarded to.
    """
    local_delivery, fake_backend, memory_store = make_local_delivery(clock)
    store = memory_leased_store.connect(memory_store)
    for member in members:
        store.commit(
            {},
            [
                leased.Write(
                    fleet_view.entry_key(member.name),
                    fleet_view.encode_member(member),
                )
            ],
            [],
            1,
        )
    if table is not None:
        commits.create(store, table)
    fleet = local_delivery.grant_manager.fleet
    replicas.read_prefix(fleet.replica)
    sent = []

    def forward(member, request, caller):
        del caller
        sent.append(member.name)
        return fake_backend.send(request, member.name, None)

    ingress_router = ingress.IngressRouter(
        "n0",
        routes.ActiveConfig(),
        fleet,
        local_delivery,
        forward,
        discard,
        now=clock,
    )
    return ingress_router, fake_backend, sent


def make_member(name: str, service: str, **fields) -> fleet_view.Member:
    """Returns a member in the state ready."""
    values = {
        "instance": f"{name}@1",
        "instance_id": name,
        "slots": 2,
        "state": fleet_view.READY,
    }
    return fleet_view.Member(
        name, "1", "127.0.0.1:1", "a", service, **(values | fields)
    )


@pytest.fixture(scope="class", name="build")
def set_build(request):
    """Sets the builders of this file as attribute `build` of a test class."""
    request.cls.build = BUILDERS


BUILDERS = types.SimpleNamespace(
    RESPONSE=RESPONSE,
    Clock=Clock,
    make_local_delivery=make_local_delivery,
    make_member=make_member,
    make_ingress_router=make_ingress_router,
    make_request=make_request,
)
