"""Tests of waxwinglever_assignment.fleet_view."""

import types

import pytest
import testtools

from waxwinglever_assignment import fleet_view
from waxwinglever_assignment import replicas
from waxwinglever_standins import memory_leased_store
from waxwinglever_store import leased

OPEN = frozenset()


class RunIdTest(testtools.TestCase):
    """Guards against a restarted daemon that takes its ranges for granted."""

    def test_run_id_names_both_runs(self):
        first = fleet_view.run_id("n1@5", "a")
        self.assertNotEqual(first, fleet_view.run_id("n1@5", "b"))
        self.assertNotEqual(first, fleet_view.run_id("n1@6", "a"))
        self.assertEqual("n1@5", fleet_view.run_boot_id(first))

    def test_boot_id_of_an_entry_of_an_earlier_version(self):
        self.assertEqual("n1@5", fleet_view.run_boot_id("n1@5"))


@pytest.mark.usefixtures("build")
class CandidatesTest(testtools.TestCase):
    """Guards against work of each request that grows with the fleet.

    It also guards against requests to nodes that must not get any.
    """

    # Set by the fixture.
    build: types.SimpleNamespace = types.SimpleNamespace()

    def setUp(self):
        super().setUp()
        self.memory_store = memory_leased_store.MemoryLeasedStore()
        self.store = memory_leased_store.connect(self.memory_store)
        self.write("n1", zone="a")
        self.write("n2", zone="b")
        self.write("n3", zone="a", service="other")
        node = self.build.node(self.memory_store, self.build.Clock(), "x")
        self.fleet = node.fleet
        replicas.read_prefix(self.fleet.replica)

    def write(self, name: str, **fields) -> None:
        """Writes the entry of a member."""
        entry = fleet_view.encode_member(self.build.member(name, **fields))
        key = fleet_view.entry_key(name)
        self.store.commit({}, [leased.Write(key, entry)], [], 1)

    def names(self, closed_zones=OPEN) -> set[str]:
        """Returns the names of the candidates."""
        found = fleet_view.list_candidates(self.fleet, "dispatch", closed_zones)
        self.assertEqual(set(found.names), set(found.members))
        self.assertEqual(
            set(found.names),
            {name for zone in found.names_by_zone.values() for name in zone},
        )
        return set(found.names)

    def test_members_are_examined_once_for_many_requests(self):
        calls = []
        find = fleet_view.find_candidates
        self.patch(
            fleet_view,
            "find_candidates",
            lambda *args: calls.append(args) or find(*args),
        )
        for _ in range(100):
            self.assertEqual({"n1", "n2"}, self.names())
        self.assertEqual(1, len(calls))

    def test_changed_member_is_noticed(self):
        self.assertEqual({"n1", "n2"}, self.names())
        self.write("n1", zone="a", state=fleet_view.DRAINING)
        self.write("n4", zone="a")
        replicas.apply_next_changes(self.fleet.replica)
        self.assertEqual({"n2", "n4"}, self.names())
        self.write("n4", zone="a", leaving=True)
        replicas.apply_next_changes(self.fleet.replica)
        self.assertEqual({"n2"}, self.names())

    def test_closed_zone_is_noticed_and_opens_again(self):
        self.assertEqual({"n1", "n2"}, self.names())
        self.assertEqual({"n2"}, self.names(frozenset("a")))
        self.assertEqual({"n1", "n2"}, self.names())
