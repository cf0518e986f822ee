"""Tests of waxwinglever_ownership.node."""

import threading
import typing

import attrs
import testtools

from waxwinglever_model import exceptions
from waxwinglever_ownership import lifecycle
from waxwinglever_ownership import leader_loop
from waxwinglever_ownership import handlers
from waxwinglever_ownership import control_loop
from waxwinglever_ownership import configs
from waxwinglever_ownership import directory
from waxwinglever_ownership import leadership
from waxwinglever_ownership import node
from waxwinglever_ownership import records
from waxwinglever_peers import links
from waxwinglever_peers import messages
from waxwinglever_standins import memory
from waxwinglever_standins import store


class NodeTest(testtools.TestCase):
    """Guards against a wrong answer to a message or of the store."""

    builders: typing.Any = None

    def setUp(self):
        super().setUp()
        self.now = 100.0
        self.sent = []
        self.answers = {}
        self.store = store.new_store()

    def call(self, address, message, _):
        """Answers as another daemon does, from `answers`."""
        self.sent.append((address, message))
        answer = self.answers.get(address)
        if answer is None:
            raise links.unavailable(address, "cut")
        return answer

    def new_node(self, name="a", life=0, stored=None):
        """Returns a node on the shared store, with a record if given."""
        around = node.Surroundings(
            store=memory.memory_store(self.store),
            peers=links.PeerCalls(self.call, lambda: None),
            log=lambda *_, **__: None,
            now=lambda: self.now,
        )
        made = node.new_node(
            "t",
            "s",
            self.builders.member(name, life),
            around,
            configs.ConfigBook(),
            directory.Directory(),
        )
        if stored is not None:
            records.write(around.store, stored, 0)
        return made

    def heard(self, made, **changes):
        """Lets a node get a heartbeat of leader b."""
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
        return handlers.handle(made, attrs.evolve(heartbeat, **changes))

    def test_a_heartbeat_brings_record_configuration_and_directory(self):
        made = self.new_node()
        update = messages.ConfigUpdate("t", 3, self.builders.config(3))
        ack = self.heard(made, configs=(update,), directory_version=7)
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
        made = self.new_node()
        update = messages.ConfigUpdate("t", 3, self.builders.config(3))
        for wrong in ({"member": "b"}, {"cell": "t/x/0"}):
            self.assertRaises(
                exceptions.InvalidInput,
                self.heard,
                made,
                configs=(update,),
                **wrong,
            )
        self.assertEqual({}, configs.generations(made.book))

    def test_a_join_is_answered_by_the_leader_only(self):
        made = self.new_node("a")
        joining = messages.JoinRequest("t/s/0", self.builders.member("d"))
        self.heard(made)
        self.assertEqual(
            messages.JoinReply(False, "b:p"), handlers.handle(made, joining)
        )
        record = self.builders.record()
        made.leader = leadership.new_leader(record, 1, self.now, True)
        cases = (
            (joining, False),
            (messages.JoinRequest("t/s/0", self.builders.member("b")), True),
            (attrs.evolve(joining, leaving=True), True),
        )
        for request, recorded in cases:
            reply = handlers.handle(made, request)
            self.assertEqual((True, recorded), (reply.accepted, reply.recorded))
        other = attrs.evolve(joining, cell="t/x/0")
        self.assertFalse(handlers.handle(made, other).accepted)

    def test_maps_probes_and_answers(self):
        made = self.new_node()
        self.heard(made)
        ask = messages.MapRequest
        self.assertIsNotNone(handlers.handle(made, ask("t/s/0")).record)
        self.assertIsNone(handlers.handle(made, ask("t/s/0", 1)).record)
        for wrong in (ask("t/x/0"), messages.Accepted()):
            self.assertRaises(
                exceptions.InvalidInput, handlers.handle, made, wrong
            )
        probe = messages.ElectionProbe("t/s/0", 1, "c")
        self.assertFalse(handlers.handle(made, probe).silent)
        self.now += 1.0
        self.assertTrue(handlers.handle(made, probe).silent)

    def test_a_member_stands_only_with_a_majority(self):
        made = self.new_node("a", stored=self.builders.record())
        self.heard(made)
        hearing = messages.ElectionProbeReply("b", False, 1)
        self.answers = {"b:p": hearing}
        self.assertIsNone(control_loop.run_election(made))
        self.answers = {"b:p": attrs.evolve(hearing, silent=True)}
        self.assertEqual(2, control_loop.run_election(made).record.term)
        stored, _ = records.read(made.around.store, "t/s/0")
        self.assertEqual((2, "a"), (stored.term, stored.leader))

    def test_only_the_present_leader_hands_over(self):
        made = self.new_node()
        self.heard(made, term=4)
        for cell, term, expected in (
            ("t/s/0", 3, False),
            ("t/x/0", 4, False),
            ("t/s/0", 4, True),
        ):
            handlers.handle(made, messages.TransferLeadership(cell, term))
            self.assertEqual(expected, made.takeover_requested, (cell, term))

    def test_a_node_that_returns_is_no_longer_leaving(self):
        made = self.new_node()
        record = self.builders.record()
        made.leader = leadership.new_leader(record, 1, self.now, True)
        for life, leaving in ((0, True), (1, False)):
            request = messages.JoinRequest(
                "t/s/0", self.builders.member("b", life), leaving
            )
            handlers.handle(made, request)
            self.assertEqual(leaving, "b" in made.leader.leaving)

    def test_a_member_waits_for_the_leader_of_a_new_term(self):
        made = self.new_node(
            "a", stored=self.builders.record(leader="b", term=5)
        )
        self.answers = {
            f"{name}:p": messages.ElectionProbeReply(name, True, 1)
            for name in "bc"
        }
        self.assertIsNone(control_loop.run_election(made))
        self.assertEqual(5, made.state.term)

    def test_an_old_value_of_the_store_starts_no_election(self):
        made = self.new_node("a", stored=self.builders.record())
        self.heard(made, term=4, sequence=9)
        made.takeover_requested = True
        self.assertIsNone(control_loop.run_election(made))

    def test_a_node_that_is_not_recorded_asks_to_join(self):
        made = self.new_node("d", stored=self.builders.record(leader="b"))
        self.answers = {"b:p": messages.JoinReply(True, "b:p")}
        self.assertIsNone(control_loop.run_election(made))
        request = messages.JoinRequest("t/s/0", made.me)
        self.assertEqual([("b:p", request)], self.sent)

    def test_the_first_node_creates_the_cell(self):
        made = self.new_node("a")
        self.assertIsNone(control_loop.run_election(made))
        configs.offer(made.book, "t", self.builders.config(1))
        leader = control_loop.run_election(made)
        self.assertEqual((1, "a"), (leader.record.term, leader.record.leader))
        late = self.new_node("b")
        configs.offer(late.book, "t", self.builders.config(1))
        self.assertRaises(exceptions.Conflict, control_loop.create_cell, late)

    def test_an_unanswered_write_is_never_given_up(self):
        made = self.new_node("a", stored=self.builders.record())
        record, version = records.read(made.around.store, "t/s/0")
        leader = leadership.new_leader(record, version, self.now, True)
        changed = attrs.evolve(record, nonce="w1")
        leadership.begin_change(leader, changed)
        self.store.faults = attrs.evolve(self.store.faults, lose_answers=1)
        leader_loop.write_change(made, leader, changed)
        self.assertEqual((changed, None), (leader.record, leader.pending))
        self.assertFalse(leader.stepped_down)
        other = attrs.evolve(record, nonce="w2")
        records.write(made.around.store, other, leader.version)
        lost = attrs.evolve(record, nonce="w3")
        leadership.begin_change(leader, lost)
        leader_loop.write_change(made, leader, lost)
        self.assertTrue(leader.stepped_down)

    def test_the_thread_of_a_member_is_started_again(self):
        # It ends when its member leaves the record, and may see that only
        # after the member has joined again.
        made = self.new_node("a")
        leader = leadership.new_leader(
            self.builders.record(), 1, self.now, True
        )
        ended = threading.Thread(target=lambda: None)
        ended.start()
        ended.join()
        peers = {name: ended for name in "abc"}
        leader_loop.start_heartbeat_threads(made, leader, peers)
        started = list(peers.values())
        leadership.step_down(leader)
        self.assertNotIn(ended, started)
        for thread in started:
            thread.join()

    def test_three_nodes_serve_a_cell_and_survive_their_leader(self):
        nodes = {}
        cut = set()

        def call(address, message, _):
            target = nodes.get(address)
            if target is None or target.me.node in cut:
                raise links.unavailable(address, "cut")
            return handlers.handle(target, message)

        log = []
        changed = threading.Condition()

        def note(event, **fields):
            with changed:
                log.append((event, fields))
                changed.notify_all()

        def wait_for(check):
            with changed:
                self.assertTrue(changed.wait_for(check, 20), log[-5:])

        def served_by(names):
            held = [
                lease.item.start
                for made in nodes.values()
                if made.me.node in names
                for lease in list(made.state.held.values())
            ]
            return len(held) == 64

        for name in "abc":
            made = self.new_node(name)
            made.around = node.Surroundings(
                memory.memory_store(self.store),
                links.PeerCalls(call, lambda: None),
                note,
            )
            made.state.last_heard = made.around.now()
            configs.offer(made.book, "t", self.builders.config(1))
            nodes[made.me.peer_address] = made
        try:
            for made in nodes.values():
                lifecycle.start(made)
            wait_for(lambda: served_by("abc"))
            wait_for(lambda: any(n.leader for n in nodes.values()))
            (head,) = [n for n in nodes.values() if n.leader]
            cut.add(head.me.node)
            head.stopping.set()
            wait_for(lambda: served_by(set("abc") - cut))
        finally:
            for made in nodes.values():
                made.stopping.set()
                if made.leader is not None:
                    leadership.step_down(made.leader)
