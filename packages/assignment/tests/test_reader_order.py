"""Tests of waxwinglever_assignment.reader_order."""

import types

import attrs
import pytest
import testtools

from waxwinglever_assignment import fleet_view
from waxwinglever_assignment import reader_order


@pytest.mark.usefixtures("build")
class WatchersTest(testtools.TestCase):
    """Guards against calls of the store that grow with zones or nodes."""

    # Set by the fixture.
    build: types.SimpleNamespace = types.SimpleNamespace()

    def members(self, zones: int, nodes: int) -> list[fleet_view.Member]:
        """Returns the members of a fleet, spread over its zones."""
        return [
            self.build.member(f"n{number:03}", zone=f"z{number % zones}")
            for number in range(nodes)
        ]

    def orders(self, members) -> dict[str, list[fleet_view.Member]]:
        """Returns the nodes that each node asks."""
        return {
            member.name: reader_order.nodes_to_ask(
                members, "", member.name, member.zone
            )
            for member in members
        }

    def test_number_of_watchers_does_not_follow_the_zones(self):
        # The store's calls for each change were 6 in a fleet of 24 nodes in 6
        # zones, and 18 in one of 195.
        for zones, nodes, count in ((6, 24, 3), (6, 195, 3), (6, 600, 7)):
            members = self.members(zones, nodes)
            watching = [
                n for n, order in self.orders(members).items() if not order
            ]
            self.assertEqual(count, len(watching))
            zones_left = {m.zone for m in members if m.name in watching}
            self.assertEqual(min(count, zones), len(zones_left))

    def test_planner_is_one_of_the_watchers(self):
        # It watches the store in any case; as a fourth watcher it cost a third
        # more calls.
        members = self.members(6, 24)
        planner = members[20] = attrs.evolve(members[20], incarnation="p")
        found = reader_order.watchers(members, "p")
        self.assertEqual(reader_order.MIN_WATCHERS, len(found))
        self.assertIn(planner, found)

    def test_small_fleet_has_a_watcher_in_each_of_its_zones(self):
        members = self.members(3, 9)
        watching = [n for n, order in self.orders(members).items() if not order]
        self.assertEqual(["n000", "n001", "n002"], watching)

    def test_every_node_is_two_steps_from_the_store_at_most(self):
        members = self.members(6, 195)
        orders = self.orders(members)
        for order in orders.values():
            for reader in order:
                for watcher in orders[reader.name]:
                    self.assertEqual([], orders[watcher.name])

    def test_readers_spread_over_the_watchers(self):
        members = self.members(6, 576)
        asked = [
            order[0].name
            for name, order in self.orders(members).items()
            if order and not self.orders(members)[order[0].name]
        ]
        self.assertEqual(6, len(set(asked)))

    def test_reader_asks_the_watcher_of_its_zone_first(self):
        members = self.members(6, 195)
        watching = {m.name: m.zone for m in reader_order.watchers(members, "")}
        for zone in watching.values():
            reader = reader_order.zone_readers(members, zone)[1]
            order = reader_order.nodes_to_ask(members, "", reader.name, zone)
            self.assertEqual(zone, order[0].zone)
