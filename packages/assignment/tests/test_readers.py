"""Tests of waxwinglever_assignment.readers."""

import threading
import types

import attrs
import pytest
import testtools

from waxwinglever_assignment import fleet_view
from waxwinglever_assignment import reader_order
from waxwinglever_assignment import readers
from waxwinglever_assignment import replicas
from waxwinglever_model import exceptions
from waxwinglever_standins import memory_leased_store
from waxwinglever_store import leased

NAMES = [f"n{number:02}" for number in range(30)]


@pytest.mark.usefixtures("build")
class ReadersTest(testtools.TestCase):
    """Guards against nodes that follow a reader which is out of date."""

    # Set by the fixture.
    build: types.SimpleNamespace = types.SimpleNamespace()

    def setUp(self):
        super().setUp()
        self.clock, self.memory_store = self.build.make_store()
        self.store = memory_leased_store.connect(self.memory_store)
        for name in NAMES:
            member = self.build.member(name)
            self.write(
                fleet_view.entry_key(name), fleet_view.encode_member(member)
            )
        self.node = self.build.node(self.memory_store, self.clock, "n00")
        replicas.read_prefix(self.node.replica)
        self.requests = []
        self.respond = lambda: leased.Changes((), 1)
        self.is_planner = False

    def write(self, key: str, value: bytes) -> None:
        """Writes one key into the store."""
        self.store.commit({}, [leased.Write(key, value)], [], 1)

    def follower(self, name: str) -> readers.FollowerState:
        """Returns the state of a node that may follow a reader."""

        def fetch_changes(reader, prefix, version, era, wait_s):
            del prefix, version, era
            self.requests.append((reader.name, wait_s))
            return self.respond()

        return readers.FollowerState(
            name,
            "a",
            self.node.fleet,
            self.store,
            fetch_changes,
            lambda: self.is_planner,
            self.build.ignore,
            now=self.clock,
        )

    def refuse(self):
        """Responds as a reader that is not current."""
        raise exceptions.PeerUnavailable("not current", "none")

    def test_followers_spread_over_the_readers(self):
        counts = {}
        for name in NAMES:
            reader = readers.choose_reader(self.follower(name))
            if reader is not None:
                counts[reader.name] = counts.get(reader.name, 0) + 1
        self.assertEqual({"n00", "n01", "n02"}, set(counts))
        self.assertLessEqual(
            max(counts.values()), reader_order.NODES_PER_READER
        )

    def test_leaving_node_is_no_reader(self):
        member = self.build.member("n00", leaving=True)
        self.write(
            fleet_view.entry_key("n00"), fleet_view.encode_member(member)
        )
        replicas.apply_next_changes(self.node.replica)
        found = reader_order.zone_readers(
            fleet_view.list_members(self.node.fleet), "a"
        )
        self.assertEqual(["n01", "n02", "n03"], [m.name for m in found])

    def test_planner_reads_the_store(self):
        self.is_planner = True
        self.assertIsNone(readers.choose_reader(self.follower("n20")))

    def test_only_node_of_a_zone_reads_the_store(self):
        follower = self.follower("x")
        follower.zone = "b"
        self.assertIsNone(readers.choose_reader(follower))

    def test_failed_reader_is_replaced_by_the_store_and_another_reader(self):
        follower = self.follower("n20")
        watch = readers.watch(follower, self.node.replica)
        self.respond = self.refuse
        version = self.memory_store.version
        self.write("p/1", b"1")
        for _ in range(5):
            self.assertEqual(1, len(watch("p/", version, 0.0, 1).changes))
        # Each of the three readers was asked once, before the store.
        self.assertEqual(3, len({name for name, _ in self.requests}))
        self.assertEqual(3, len(self.requests))
        self.clock.now_s += readers.AVOID_S
        watch("p/", version, 0.0, 1)
        self.assertEqual(5, len(self.requests))

    def test_another_reader_is_asked_before_the_store(self):
        # The store sends a large value uncompressed. On a full link that took
        # 1.9 s, and then the other reader of the zone had it at once.
        change = leased.Change("p/1", 7, None)
        responses = [self.refuse, lambda: leased.Changes((change,), 7)]

        def respond():
            return responses.pop(0)()

        self.respond = respond
        follower = self.follower("n20")
        self.memory_store.calls.clear()
        found = readers.watch(follower, self.node.replica)("p/", 1, 2.0, 1)
        self.assertEqual((change,), found.changes)
        self.assertEqual([], self.memory_store.calls)
        # A second wait would delay a change that the first reader hid.
        self.assertEqual(
            [readers.FOLLOWER_WAIT_S, 0.0], [wait for _, wait in self.requests]
        )

    def test_store_is_watched_after_several_lost_readers(self):
        # Each reader that is lost delays the change.
        for number in range(30, 100):
            member = self.build.member(f"n{number}")
            self.write(
                fleet_view.entry_key(member.name),
                fleet_view.encode_member(member),
            )
        replicas.apply_next_changes(self.node.replica)
        self.respond = self.refuse
        self.memory_store.calls.clear()
        self.watch_of("n99")("p/", 1, 2.0, 1)
        self.assertEqual(1 + readers.MAX_REPEATS, len(self.requests))
        self.assertEqual(["watch"], self.memory_store.calls)

    def test_readers_are_asked_again_after_the_store_failed(self):
        # On a full link all paths fail, and the store, which sends most, was
        # asked alone for AVOID_S.
        self.respond = self.refuse
        watch = self.watch_of("n20")
        self.memory_store.down = True
        for asked in (2, 4):
            self.assertRaises(
                exceptions.StoreUnavailable, watch, "p/", 1, 2.0, 1
            )
            self.assertEqual(asked, len(self.requests))

    def test_large_change_comes_from_a_reader_although_all_had_failed(self):
        # Every configuration since the version took 8 s from the store
        # on a full link; a reader's answer has 41 KB.
        change = leased.Change("p/large", 9, None)
        responses = [self.refuse, self.refuse]
        self.respond = lambda: (
            responses.pop()() if responses else leased.Changes((change,), 9)
        )
        version = self.memory_store.version
        self.write("p/large", b"x" * (leased.SMALL_ANSWER_BYTES + 1))
        found = self.watch_of("n20")("p/", version, 2.0, 1)
        self.assertEqual((change,), found.changes)

    def test_large_change_comes_from_a_reader_that_is_avoided(self):
        # While all readers were avoided, the store sent the whole value.
        self.respond = self.refuse
        watch = self.watch_of("n20")
        version = self.memory_store.version
        for _ in range(2):
            watch("p/", version, 0.0, 1)
        self.assertEqual(3, len(self.requests))
        change = leased.Change("p/large", 9, None)
        self.respond = lambda: leased.Changes((change,), 9)
        self.write("p/large", b"x" * (leased.SMALL_ANSWER_BYTES + 1))
        self.assertEqual((change,), watch("p/", version, 2.0, 1).changes)

    def test_large_change_comes_from_the_store_if_no_reader_has_it(self):
        self.respond = self.refuse
        version = self.memory_store.version
        self.write("p/large", b"x" * (leased.SMALL_ANSWER_BYTES + 1))
        found = self.watch_of("n20")("p/", version, 2.0, 1)
        self.assertEqual(["p/large"], [c.key for c in found.changes])
        self.assertEqual(4, len(self.requests))

    def test_watch_after_a_lost_reader_does_not_wait(self):
        # A lost watch of the store takes its wait and a margin, at this node
        # and at each daemon that repeats it; a follower whose reader failed was
        # without changes for 8.7 s.
        waits = []

        def watch_store(prefix, version, wait_s, era):
            del prefix, era
            waits.append(wait_s)
            return leased.Changes((), version)

        follower = self.follower("n20")
        follower.store = attrs.evolve(
            self.store, watch=watch_store, watch_small=watch_store
        )
        watch = readers.watch(follower, self.node.replica)
        self.respond = self.refuse
        watch("p/", 1, 2.0, 1)
        self.is_planner = True
        watch("p/", 1, 2.0, 1)
        self.assertEqual([0.0, 2.0], waits)

    def test_readers_are_asked_again_after_the_store_lost_its_history(self):
        # All nodes had met the same gap, and each read the whole prefix from
        # the store, although its reader had done so a moment before.
        change = leased.Change("p/1", 9, None)
        responses = [self.refuse, self.refuse]
        self.respond = lambda: (
            responses.pop()() if responses else leased.Changes((change,), 9)
        )
        calls = []

        def compacted(*_):
            calls.append("watch")
            raise leased.HistoryCompacted("gone", "none")

        follower = self.follower("n20")
        follower.store = attrs.evolve(
            self.store, watch=compacted, watch_small=compacted
        )
        watch = readers.watch(follower, self.node.replica)
        self.assertEqual((change,), watch("p/", 1, 1.0, 1).changes)
        self.assertEqual(["watch"], calls)
        self.respond = self.refuse
        self.assertRaises(leased.HistoryCompacted, watch, "p/", 1, 1.0, 1)

    def test_nodes_with_most_cores_are_readers(self):
        # On a small VM the followers would wait for processor time.
        member = self.build.member("n17", cores=2.0)
        self.write(
            fleet_view.entry_key("n17"), fleet_view.encode_member(member)
        )
        replicas.apply_next_changes(self.node.replica)
        found = reader_order.zone_readers(
            fleet_view.list_members(self.node.fleet), "a"
        )
        self.assertEqual(["n17", "n00", "n01"], [m.name for m in found])

    def test_reader_with_a_short_history_is_asked_again(self):
        def refuse():
            raise leased.HistoryCompacted("gone", "none")

        self.respond = refuse
        watch = self.watch_of("n20")
        for _ in range(2):
            watch("p/", self.memory_store.version, 0.0, 1)
        self.assertEqual(2, len(self.requests))

    def watch_of(self, name: str) -> replicas.Watch:
        """Returns the watch of a node for the copy of this test."""
        return readers.watch(self.follower(name), self.node.replica)

    def ask(self, version: int) -> leased.Changes:
        """Asks the node with the copy of this test for changes."""
        return readers.wait_for_changes(self.node.replica, version, 1, 0.0)

    def test_reader_with_an_overdue_watch_refuses(self):
        # Its session may be confirmed all the while. It answered "no change" to
        # its followers for as long as its own watch hung.
        replica = self.node.replica
        self.assertRaises(
            exceptions.StoreUnavailable, self.ask, replica.version
        )
        self.watch_of("n00")(replica.prefix, replica.version, 0.0, 1)
        self.assertEqual((), self.ask(replica.version).changes)
        self.clock.now_s += readers.CURRENT_MARGIN_S
        self.assertRaises(
            exceptions.StoreUnavailable, self.ask, replica.version
        )

    def ask_while(self, become_current_s: float) -> leased.Changes:
        """Asks the node, whose copy becomes current after a time."""
        replica = self.node.replica
        start_s = self.clock.now_s

        def changes_after(replica, version, era, wait_s):
            del era
            self.clock.now_s += max(wait_s, 0.01)
            if self.clock.now_s >= start_s + become_current_s:
                replica.current_until_s = float("inf")
            return leased.Changes((), version)

        self.patch(replicas, "changes_after", changes_after)
        return readers.wait_for_changes(
            replica, replica.version, 1, readers.FOLLOWER_WAIT_S
        )

    def test_reader_whose_watch_begins_again_keeps_its_followers(self):
        # When the store cut all watches at a time, every follower was refused
        # and turned to the store, with two calls each.
        self.assertEqual((), self.ask_while(0.15).changes)

    def test_reader_whose_watch_stays_overdue_refuses_soon(self):
        start_s = self.clock.now_s
        self.assertRaises(exceptions.StoreUnavailable, self.ask_while, 60.0)
        self.assertLess(
            self.clock.now_s - start_s,
            readers.REFUSAL_DELAY_S + readers.CHECK_S + 0.01,
        )

    def test_reader_is_current_for_the_wait_of_its_watch(self):
        # Refusals made all followers of a reader turn to the store at once.
        replica = self.node.replica
        ages = []

        def watch_store(prefix, version, wait_s, era):
            del prefix, era
            self.clock.now_s += wait_s
            ages.append(readers.is_current(replica))
            return leased.Changes((), version)

        follower = self.follower("n00")
        follower.store = attrs.evolve(self.store, watch=watch_store)
        readers.watch(follower, replica)(replica.prefix, 1, 2.0, 1)
        self.assertEqual([True], ages)

    def test_node_that_follows_another_one_is_no_reader(self):
        # Two nodes with different views of the members, for example while one
        # is leaving, could follow each other and never see a change.
        replica = self.node.replica
        self.watch_of("n00")(replica.prefix, replica.version, 5.0, 1)
        self.assertTrue(readers.is_current(replica))
        self.watch_of("n20")(replica.prefix, replica.version, 5.0, 1)
        self.assertRaises(
            exceptions.StoreUnavailable, self.ask, replica.version
        )

    def test_reader_that_follows_a_watcher_answers_its_followers(self):
        # Each change cost a call of the store for each zone while only nodes
        # that watch the store answered.
        replica = self.node.replica
        self.respond = lambda: leased.Changes((), 1, current_s=0.5)
        self.watch_of("n20")(replica.prefix, replica.version, 1.0, 1)
        found = self.ask(replica.version)
        self.assertEqual((), found.changes)
        # A node that follows this one must not answer others.
        self.assertEqual(0.0, found.current_s)

    def test_reader_without_news_of_its_watcher_refuses(self):
        replica = self.node.replica
        self.respond = lambda: leased.Changes((), 1, current_s=0.5)
        self.watch_of("n20")(replica.prefix, replica.version, 1.0, 1)
        self.clock.now_s += 0.5 + readers.RELAY_MARGIN_S
        self.assertRaises(
            exceptions.StoreUnavailable, self.ask, replica.version
        )

    def test_watcher_says_for_how_long_it_is_current(self):
        replica = self.node.replica
        said = []

        def watch_store(prefix, version, wait_s, era):
            del prefix, wait_s, era
            self.clock.now_s += 0.25
            said.append(self.ask(replica.version).current_s)
            return leased.Changes((), version)

        follower = self.follower("n00")
        follower.store = attrs.evolve(self.store, watch=watch_store)
        readers.watch(follower, replica)(replica.prefix, 1, 1.0, 1)
        self.assertEqual([round(0.75 + readers.CURRENT_MARGIN_S, 3)], said)

    def test_readers_stay_current_between_two_answers_of_a_watcher(self):
        # A watcher says CURRENT_MARGIN_S at least when it answers.
        self.assertGreater(
            readers.CURRENT_MARGIN_S + readers.RELAY_MARGIN_S,
            readers.FOLLOWER_WAIT_S,
        )

    def test_changes_are_handed_out_by_any_copy_that_has_them(self):
        replica = self.node.replica
        version = replica.version
        self.write("waxwinglever/x", b"1")
        replicas.apply_next_changes(replica)
        self.assertFalse(readers.is_current(replica))
        self.assertEqual(1, len(self.ask(version).changes))

    def test_reader_that_has_noticed_a_restore_has_no_changes(self):
        # Its copy is of the era before until it is read anew.
        replica = self.node.replica
        copy = memory_leased_store.copy_store(self.memory_store)
        memory_leased_store.restore_store(self.memory_store, copy)
        replica.store.get("x")
        self.assertRaises(leased.HistoryCompacted, self.ask, replica.version)

    def test_watch_without_a_change_confirms_the_copy_up_to_its_end(self):
        replica = self.node.replica
        asked_s = self.clock.now_s

        def watch_store(prefix, version, wait_s, era):
            del prefix, era
            self.clock.now_s += wait_s + 0.25
            return leased.Changes((), version)

        follower = self.follower("n00")
        follower.store = attrs.evolve(self.store, watch=watch_store)
        replica.watch = readers.watch(follower, replica)
        replicas.apply_next_changes(replica)
        self.assertEqual(asked_s + replicas.WATCH_S, replica.confirmed_s)

    def test_watch_with_a_change_confirms_no_more_than_its_begin(self):
        # What was written after this change may not be among its answer.
        replica = self.node.replica
        asked_s = self.clock.now_s
        key = fleet_view.entry_key("n00")
        item = leased.Item(key, b"{}", replica.version + 1)

        def watch_store(*_):
            self.clock.now_s += 0.5
            return leased.Changes(
                (leased.Change(key, item.version, item),), item.version
            )

        follower = self.follower("n00")
        follower.store = attrs.evolve(self.store, watch=watch_store)
        replica.watch = readers.watch(follower, replica)
        replicas.apply_next_changes(replica)
        self.assertEqual(asked_s, replica.confirmed_s)

    def test_changes_now_and_then_do_not_keep_a_copy_unconfirmed(self):
        # A change just before the end of each watch would do so.
        replica = self.node.replica
        replica.announces = True
        replica.confirmed_s = self.clock.now_s - 1.0
        self.assertAlmostEqual(
            readers.MAX_UNCONFIRMED_S - 1.0, readers.bound_wait(replica, 1.0)
        )
        replica.confirmed_s -= 10.0
        self.assertEqual(0.0, readers.bound_wait(replica, 1.0))

    def test_follower_hears_at_once_that_its_reader_is_confirmed(self):
        # Its own confirmation would be older by up to the wait of its poll.
        replica = self.node.replica
        replica.announces = True
        replica.current_until_s = float("inf")
        replica.confirmed_s = self.clock.now_s - 1.0
        confirmed_s = self.clock.now_s
        timer = threading.Timer(0.05, replicas.confirm, (replica, confirmed_s))
        timer.start()
        self.addCleanup(timer.cancel)
        found = readers.wait_for_changes(
            replica, replica.version, 1, readers.FOLLOWER_WAIT_S
        )
        self.assertEqual(((), confirmed_s), (found.changes, found.confirmed_s))
