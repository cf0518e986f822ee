"""Tests of a node: its message handlers, elections and threads."""

import threading
import typing

import attrs
import testtools

from waxwinglever_model import exceptions
from waxwinglever_ownership import config_cache
from waxwinglever_ownership import control_loop
from waxwinglever_ownership import directory
from waxwinglever_ownership import handlers
from waxwinglever_ownership import leader_loop
from waxwinglever_ownership import leader_state
from waxwinglever_ownership import lifecycle
from waxwinglever_ownership import node
from waxwinglever_ownership import records
from waxwinglever_peers import links
from waxwinglever_peers import messages
from waxwinglever_standins import memory
from waxwinglever_standins import store as store_state


class NodeTest(testtools.TestCase):
    """Guards against obsolete or misdirected messages that change a node.

    Also guards against elections on stale reads, and lost record writes.
    """

    builders: typing.Any = None

    def setUp(self):
        super().setUp()
        self.now = 100.0
        self.sent = []
        self.replies = {}
        self.store = store_state.new_store()

    def call(self, address, message, _):
        """Returns the configured reply of another daemon."""
        self.sent.append((address, message))
        reply = self.replies.get(address)
        if reply is None:
            raise links.unavailable_error(address, "disconnected")
        return reply

    def new_node(self, name="a", restarts=0, stored=None):
        """Returns a node on the shared store; writes the record `stored`."""
        dependencies = node.NodeDependencies(
            store=memory.memory_store(self.store),
            peers=links.PeerClient(self.call, lambda: None),
            log=lambda *_, **__: None,
            now=lambda: self.now,
        )
        cell_node = node.new_node(
            "t",
            "s",
            self.builders.member(name, restarts),
            dependencies,
            config_cache.ConfigCache(),
            directory.CellDirectory(),
        )
        if stored is not None:
            records.write(dependencies.store, stored, 0)
        return cell_node

    def deliver_heartbeat(self, cell_node, **changes):
        """Delivers a heartbeat of leader b and returns the reply."""
        heartbeat = messages.Heartbeat(
            "t/s/0",
            1,
            "b",
            "b-0",
            1,
            0,
            0.0,
            1,
            self.builders.record(),
            member="a",
        )
        return handlers.handle(cell_node, attrs.evolve(heartbeat, **changes))

    def test_a_heartbeat_updates_record_configuration_and_directory(self):
        cell_node = self.new_node()
        update = messages.ConfigUpdate("t", 3, self.builders.config(3))
        ack = self.deliver_heartbeat(
            cell_node, configs=(update,), directory_version=7
        )
        self.assertEqual(
            (True, 1, {"t": 3}, 7),
            (
                ack.accepted,
                ack.record_version,
                ack.generations,
                ack.directory_version,
            ),
        )

    def test_a_heartbeat_for_another_node_or_cell_is_refused(self):
        cell_node = self.new_node()
        update = messages.ConfigUpdate("t", 3, self.builders.config(3))
        for wrong in ({"member": "b"}, {"cell": "t/x/0"}):
            self.assertRaises(
                exceptions.InvalidInput,
                self.deliver_heartbeat,
                cell_node,
                configs=(update,),
                **wrong,
            )
        self.assertEqual({}, config_cache.generations(cell_node.config_cache))

    def test_a_join_is_accepted_by_the_leader_only(self):
        cell_node = self.new_node("a")
        joining = messages.JoinRequest("t/s/0", self.builders.member("d"))
        self.deliver_heartbeat(cell_node)
        self.assertEqual(
            messages.JoinReply(False, "b:p"),
            handlers.handle(cell_node, joining),
        )
        record = self.builders.record()
        cell_node.leader = leader_state.new_leader(record, 1, self.now, True)
        cases = (
            (joining, False),
            (messages.JoinRequest("t/s/0", self.builders.member("b")), True),
            (attrs.evolve(joining, leaving=True), True),
        )
        for request, recorded in cases:
            reply = handlers.handle(cell_node, request)
            self.assertEqual((True, recorded), (reply.accepted, reply.recorded))
        other = attrs.evolve(joining, cell="t/x/0")
        self.assertFalse(handlers.handle(cell_node, other).accepted)

    def test_map_requests_probes_and_unexpected_messages(self):
        cell_node = self.new_node()
        self.deliver_heartbeat(cell_node)
        map_request = messages.MapRequest
        self.assertIsNotNone(
            handlers.handle(cell_node, map_request("t/s/0")).record
        )
        self.assertIsNone(
            handlers.handle(cell_node, map_request("t/s/0", 1)).record
        )
        for wrong in (map_request("t/x/0"), messages.Accepted()):
            self.assertRaises(
                exceptions.InvalidInput, handlers.handle, cell_node, wrong
            )
        probe = messages.ElectionProbe("t/s/0", 1, "c")
        self.assertFalse(handlers.handle(cell_node, probe).silent)
        self.now += 1.0
        self.assertTrue(handlers.handle(cell_node, probe).silent)

    def test_an_election_needs_a_majority(self):
        cell_node = self.new_node("a", stored=self.builders.record())
        self.deliver_heartbeat(cell_node)
        has_leader = messages.ElectionProbeReply("b", False, 1)
        self.replies = {"b:p": has_leader}
        self.assertIsNone(control_loop.run_election(cell_node))
        self.replies = {"b:p": attrs.evolve(has_leader, silent=True)}
        self.assertEqual(2, control_loop.run_election(cell_node).record.term)
        stored, _ = records.read(cell_node.dependencies.store, "t/s/0")
        self.assertEqual((2, "a"), (stored.term, stored.leader))

    def test_only_the_current_leader_can_request_a_takeover(self):
        cell_node = self.new_node()
        self.deliver_heartbeat(cell_node, term=4)
        for cell, term, expected in (
            ("t/s/0", 3, False),
            ("t/x/0", 4, False),
            ("t/s/0", 4, True),
        ):
            handlers.handle(cell_node, messages.TransferLeadership(cell, term))
            self.assertEqual(
                expected, cell_node.takeover_requested, (cell, term)
            )

    def test_a_node_that_rejoins_is_no_longer_leaving(self):
        cell_node = self.new_node()
        record = self.builders.record()
        cell_node.leader = leader_state.new_leader(record, 1, self.now, True)
        for restarts, leaving in ((0, True), (1, False)):
            request = messages.JoinRequest(
                "t/s/0", self.builders.member("b", restarts), leaving
            )
            handlers.handle(cell_node, request)
            self.assertEqual(leaving, "b" in cell_node.leader.pending_leaves)

    def test_a_member_waits_for_the_leader_of_a_new_term(self):
        cell_node = self.new_node(
            "a", stored=self.builders.record(leader="b", term=5)
        )
        self.replies = {
            f"{name}:p": messages.ElectionProbeReply(name, True, 1)
            for name in "bc"
        }
        self.assertIsNone(control_loop.run_election(cell_node))
        self.assertEqual(5, cell_node.state.term)

    def test_a_stale_read_of_the_store_starts_no_election(self):
        cell_node = self.new_node("a", stored=self.builders.record())
        self.deliver_heartbeat(cell_node, term=4, sequence=9)
        cell_node.takeover_requested = True
        self.assertIsNone(control_loop.run_election(cell_node))

    def test_a_node_that_is_not_recorded_asks_to_join(self):
        cell_node = self.new_node("d", stored=self.builders.record(leader="b"))
        self.replies = {"b:p": messages.JoinReply(True, "b:p")}
        self.assertIsNone(control_loop.run_election(cell_node))
        request = messages.JoinRequest("t/s/0", cell_node.local_member)
        self.assertEqual([("b:p", request)], self.sent)

    def test_the_first_node_creates_the_cell(self):
        cell_node = self.new_node("a")
        self.assertIsNone(control_loop.run_election(cell_node))
        config_cache.apply_if_newer(
            cell_node.config_cache, "t", self.builders.config(1)
        )
        leader = control_loop.run_election(cell_node)
        self.assertEqual((1, "a"), (leader.record.term, leader.record.leader))
        late = self.new_node("b")
        config_cache.apply_if_newer(
            late.config_cache, "t", self.builders.config(1)
        )
        self.assertRaises(exceptions.Conflict, control_loop.create_cell, late)

    def test_an_unanswered_write_is_never_abandoned(self):
        cell_node = self.new_node("a", stored=self.builders.record())
        record, version = records.read(cell_node.dependencies.store, "t/s/0")
        leader = leader_state.new_leader(record, version, self.now, True)
        changed = attrs.evolve(record, nonce="w1")
        leader_state.begin_change(leader, changed)
        self.store.faults = attrs.evolve(self.store.faults, lose_answers=1)
        leader_loop.write_change(cell_node, leader, changed)
        self.assertEqual((changed, None), (leader.record, leader.pending))
        self.assertFalse(leader.stepped_down)
        other = attrs.evolve(record, nonce="w2")
        records.write(cell_node.dependencies.store, other, leader.version)
        lost = attrs.evolve(record, nonce="w3")
        leader_state.begin_change(leader, lost)
        leader_loop.write_change(cell_node, leader, lost)
        self.assertTrue(leader.stepped_down)

    def test_the_heartbeat_thread_of_a_member_is_restarted(self):
        # A thread ends when its member is removed from the record. That may
        # be after the member has joined again.
        cell_node = self.new_node("a")
        leader = leader_state.new_leader(
            self.builders.record(), 1, self.now, True
        )
        ended = threading.Thread(target=lambda: None)
        ended.start()
        ended.join()
        threads = {name: ended for name in "abc"}
        leader_loop.start_heartbeat_threads(cell_node, leader, threads)
        started = list(threads.values())
        leader_state.step_down(leader)
        self.assertNotIn(ended, started)
        for thread in started:
            thread.join()

    def test_three_nodes_own_all_slices_also_after_their_leader_is_lost(self):
        nodes = {}
        disconnected = set()

        def call(address, message, _):
            target = nodes.get(address)
            if target is None or target.local_member.node in disconnected:
                raise links.unavailable_error(address, "disconnected")
            return handlers.handle(target, message)

        log = []
        changed = threading.Condition()

        def append_event(event, **fields):
            with changed:
                log.append((event, fields))
                changed.notify_all()

        def wait_until(condition):
            with changed:
                self.assertTrue(changed.wait_for(condition, 20), log[-5:])

        def own_all_slices(names):
            starts = [
                lease.slice_.start
                for cell_node in nodes.values()
                if cell_node.local_member.node in names
                for lease in list(cell_node.state.leases.values())
            ]
            return len(starts) == 64

        for name in "abc":
            cell_node = self.new_node(name)
            cell_node.dependencies = node.NodeDependencies(
                memory.memory_store(self.store),
                links.PeerClient(call, lambda: None),
                append_event,
            )
            cell_node.state.last_heartbeat_s = cell_node.dependencies.now()
            config_cache.apply_if_newer(
                cell_node.config_cache, "t", self.builders.config(1)
            )
            nodes[cell_node.local_member.peer_address] = cell_node
        try:
            for cell_node in nodes.values():
                lifecycle.start(cell_node)
            wait_until(lambda: own_all_slices("abc"))
            wait_until(lambda: any(n.leader for n in nodes.values()))
            (leader_node,) = [n for n in nodes.values() if n.leader]
            disconnected.add(leader_node.local_member.node)
            leader_node.stopping.set()
            wait_until(lambda: own_all_slices(set("abc") - disconnected))
        finally:
            for cell_node in nodes.values():
                cell_node.stopping.set()
                if cell_node.leader is not None:
                    leader_state.step_down(cell_node.leader)
