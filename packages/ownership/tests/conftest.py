"""Builders for tests, and a simulated cell whose clock the test sets."""

import json
from collections.abc import Iterable

import attrs
import pytest

from waxwinglever_model import cells
from waxwinglever_ownership import leader_state
from waxwinglever_ownership import membership
from waxwinglever_peers import messages

CELL = "t/s/0"


def member(name: str, restarts: int = 0, zone: str = "z") -> cells.Member:
    """Returns a node's member entry after a number of restarts."""
    return cells.Member(
        name, f"{name}-{restarts}", f"{name}:p", f"{name}:h", zone
    )


def record(
    owners: Iterable[str] = "abc", names: Iterable[str] = "abc", **changes
) -> cells.CellRecord:
    """Returns a record with one slice per owner and epochs from 1."""
    owners = list(owners)
    slices = tuple(
        attrs.evolve(item, owner=owner, epoch=index + 1 if owner else 0)
        for index, (item, owner) in enumerate(
            zip(cells.equal_slices(max(1, len(owners))), owners)
        )
    )
    base = cells.CellRecord(
        CELL,
        1,
        "a",
        "a-0",
        "w0",
        tuple(map(member, names)),
        slices,
        len(owners) + 1,
    )
    return attrs.evolve(base, **changes)


def config(
    generation: int, zone_state: str = "in", retired: Iterable[str] = ()
) -> str:
    """Returns the stored value of a configuration with one keyed service."""
    document = {
        "schema_version": 2,
        "generation": generation,
        "tenant": "t",
        "zones": [{"name": "z", "region": "r", "state": zone_state}],
        "services": [
            {
                "name": "s",
                "kind": "keyed",
                "instances_min": 1,
                "slots": 10,
                "cold_start": {"initial_slots": 2, "seconds": 0.0},
                "classes": [{"name": "default", "weight": 1}],
                "timeout_ms": 5000,
                "checks_fences": True,
            }
        ],
        "placement": {"move_cost": 0.05, "max_moves": 4, "rules": []},
        "retired": list(retired),
    }
    return json.dumps(
        {
            "generation": generation,
            "documents": {"2": document},
            "history": [],
        }
    )


@attrs.define(eq=False)
class SimulatedCell:
    """A leader and its members, without threads or network.

    Attributes:
      leader: State of the current leader.
      members: Membership state by node name.
      now: Seconds on the clock of all nodes.
    """

    leader: leader_state.LeaderState
    members: dict[str, membership.MemberState]
    now: float = 100.0

    def next_heartbeat(self, name: str) -> messages.Heartbeat:
        """Returns the leader's next heartbeat to a member."""
        return leader_state.next_heartbeat(self.leader, name, self.now)

    def deliver(self, name, heartbeat) -> messages.HeartbeatAck:
        """Applies a heartbeat at a member and returns the acknowledgement."""
        return membership.apply_heartbeat(
            self.members[name], heartbeat, self.now
        )

    def exchange_heartbeats(self, *names: str, rounds: int = 1) -> None:
        """Sends heartbeats and applies their acknowledgements.

        Args:
          *names: Members that get heartbeats; all if none is given.
          rounds: Heartbeats to each member; the clock advances after each.
        """
        for _ in range(rounds):
            for name in names or tuple(self.members):
                ack = self.deliver(name, self.next_heartbeat(name))
                leader_state.apply_ack(self.leader, name, ack, self.now)
            self.now += 0.01

    def restart(self, name: str, restarts: int = 1) -> None:
        """Replaces a member's state by that of a new incarnation."""
        self.members[name] = membership.MemberState(
            CELL, name, f"{name}-{restarts}", self.now
        )

    def elect(self, name: str, stored: cells.CellRecord | None = None):
        """Makes a member the leader of the next term."""
        before = stored or self.leader.record
        after = attrs.evolve(
            before,
            term=before.term + 1,
            leader=name,
            leader_incarnation=self.members[name].incarnation,
        )
        self.leader = leader_state.new_leader(
            after, self.leader.version + 1, self.now, is_new_cell=False
        )

    def lease_holders(self, index: int) -> set[str]:
        """Returns the members with an unexpired lease on a slice."""
        item = self.leader.record.slices[index]
        return {
            name
            for name, state in self.members.items()
            for lease in state.leases.values()
            if lease.expires_at_s > self.now
            and lease.slice_.start <= item.last
            and item.start <= lease.slice_.last
        }

    def ref(self, index: int) -> cells.SliceRef:
        """Returns the reference of a slice of the record."""
        return self.leader.record.slices[index].ref


@attrs.frozen
class Builders:
    """Functions that create the test data of this package."""

    member = staticmethod(member)
    record = staticmethod(record)
    config = staticmethod(config)

    def cell(self, stored: cells.CellRecord | None = None) -> SimulatedCell:
        """Returns a new cell whose leader is that of the record."""
        stored = stored or record()
        members = {
            item.node: membership.MemberState(
                CELL, item.node, item.incarnation, 100.0
            )
            for item in stored.members
        }
        leader = leader_state.new_leader(stored, 1, 100.0, is_new_cell=True)
        return SimulatedCell(leader, members)


@pytest.fixture(autouse=True)
def builders(request: pytest.FixtureRequest) -> None:
    """Sets the attribute `builders` of each test case."""
    request.instance.builders = Builders()
