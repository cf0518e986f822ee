"""Builders shared by the tests of waxwinglever_assignment."""

import types

import attrs
import pytest

from waxwinglever_assignment import fleet_view
from waxwinglever_assignment import replicas
from waxwinglever_assignment import sessions
from waxwinglever_standins import memory_leased_store


@attrs.define(eq=False)
class Clock:
    """A clock that the test sets."""

    now_s: float = 100.0

    def __call__(self) -> float:
        return self.now_s


def make_store() -> tuple[Clock, memory_leased_store.MemoryLeasedStore]:
    """Returns a store in memory and the clock that it runs on."""
    clock = Clock()
    return clock, memory_leased_store.MemoryLeasedStore(now=clock)


def member(name: str, **fields) -> fleet_view.Member:
    """Returns a ready member; `fields` override the defaults."""
    values = {
        "incarnation": "1",
        "address": f"127.0.0.1:{len(name)}",
        "zone": "a",
        "service": "dispatch",
        "instance": f"{name}@1",
        "instance_id": name,
        "slots": 10,
        "state": fleet_view.READY,
    }
    return fleet_view.Member(name, **(values | fields))


def ignore(event: str, **fields) -> None:
    """Discards a log line."""
    del event, fields


@attrs.define(eq=False)
class Node:
    """A session and its view of the store, without threads."""

    memory_store: memory_leased_store.MemoryLeasedStore
    clock: Clock
    session: sessions.Session
    replica: replicas.Replica
    fleet: fleet_view.FleetView


def node(
    memory_store: memory_leased_store.MemoryLeasedStore, clock: Clock, name: str
) -> Node:
    """Returns a node that uses a store in memory."""
    store = memory_leased_store.connect(memory_store)
    replica = replicas.Replica(store, fleet_view.PREFIX, ignore, now=clock)
    fleet = fleet_view.FleetView(replica, ignore)
    session = sessions.Session(
        store,
        member(name),
        lambda: replica.items.get(fleet_view.entry_key(name)),
        ignore,
        now=clock,
    )
    return Node(memory_store, clock, session, replica, fleet)


@pytest.fixture(scope="class")
def build(request):
    """Sets the builders of this file as `build` on a test class."""
    request.cls.build = types.SimpleNamespace(
        Clock=Clock,
        make_store=make_store,
        member=member,
        ignore=ignore,
        node=node,
    )
