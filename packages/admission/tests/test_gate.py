"""Tests of waxwinglever_admission.gate."""

import threading

import hypothesis
import testtools
from hypothesis import stateful
from hypothesis import strategies

from waxwinglever_admission import gate
from waxwinglever_admission import quarantine
from waxwinglever_model import exceptions

POLICY = gate.Policy(4, 6, 1, 8.0, {"a": 2.0, "b": 1.0})
FULL = gate.Policy(2, 4, 2, 0.0, {"a": 1.0, "b": 1.0})


class Harness:
    """A gate with a clock set by hand, and the threads that wait at it."""

    def __init__(self, policy, boot_id="boot-0"):
        self.now_s = 100.0
        self.gate = gate.Gate(policy, lambda: self.now_s, boot_id)
        self.waiting = []
        self.running = []
        self.refused = []

    def send(self, fingerprint, request_class="a", timeout_s=10.0):
        work = gate.Work(request_class, self.now_s + timeout_s, fingerprint)
        admission = gate.join(self.gate, work)
        self.waiting.append(admission)
        self.wake()
        return admission

    def wake(self):
        """Does what the threads of woken and timed-out requests do."""
        again = True
        while again:
            again = False
            for admission in list(self.waiting):
                due = self.now_s >= admission.latest_start_s or (
                    self.gate.timekeeper is admission
                    and self.now_s >= self.gate.step_s
                )
                if not due and not admission.woken.is_set():
                    continue
                again = True
                try:
                    if gate.look(self.gate, admission) is None:
                        self.waiting.remove(admission)
                        self.running.append(admission)
                except exceptions.Refusal as error:
                    self.waiting.remove(admission)
                    self.refused.append((admission, error))

    def end(self, admission, completed=True, service_s=None):
        self.running.remove(admission)
        gate.leave(self.gate, admission, completed, service_s)
        self.wake()

    def sleep(self, seconds):
        self.now_s += seconds
        self.wake()

    def order(self):
        """Ends requests until none waits; returns the order of dispatch."""
        names = []
        while self.waiting:
            before = set(self.running)
            self.end(self.running[0])
            names += [
                a.work.fingerprint for a in self.running if a not in before
            ]
        return names


class GateTest(testtools.TestCase):
    """Guards against wrong limits, lost deadlines and blocked work."""

    def test_the_ramp_wakes_waiters_although_no_request_ends(self):
        h = Harness(POLICY)
        for i in range(4):
            h.send(str(i), timeout_s=60.0)
        seen = []
        for _ in range(9):
            seen.append(len(h.running))
            h.sleep(1.0)
        self.assertEqual([1, 1, 1, 2, 2, 2, 3, 3, 4], seen)

    def test_limits_after_boots_and_connection_failures(self):
        # A digit is a boot id (lower ones are late), a dash a connection
        # failure, w the length of the ramp.
        cases = "=4 0=4 -=1 -0=4 -1=1 1=1 10=1 1w=4 1w0=4 1w-0=1 1w-1=4"
        for case in cases.split():
            events, limit = case.split("=")
            h = Harness(POLICY, "0")
            h.sleep(8.0)
            for event in events:
                if event == "w":
                    h.sleep(8.0)
                elif event == "-":
                    gate.saw_unreachable(h.gate)
                else:
                    gate.saw_boot(h.gate, event)
            self.assertEqual(int(limit), gate.snapshot(h.gate).limit, case)

    def test_work_that_would_be_late_is_refused_at_once(self):
        h = Harness(FULL)
        h.end(h.send("x"), service_s=1.0)
        h.send("y")
        self.assertRaises(exceptions.Overloaded, h.send, "z", timeout_s=0.9)
        h.send("z", timeout_s=1.1)
        # Both slots are taken: half a service time of waiting is added.
        self.assertRaises(exceptions.Overloaded, h.send, "w", timeout_s=1.4)
        w = h.send("w", timeout_s=1.6)
        self.assertEqual([w], h.waiting)

    def test_an_estimate_that_refuses_everything_is_corrected(self):
        h = Harness(FULL)
        h.end(h.send("x"), service_s=60.0)
        h.send("y", timeout_s=1.0)
        self.assertEqual(1, len(h.running))

    def test_a_late_waiter_is_refused_and_takes_no_slot(self):
        h = Harness(FULL)
        for name in "xyz":
            h.send(name, timeout_s=60.0 if name < "z" else 5.0)
        h.now_s += 5.0
        h.end(h.running[0])
        self.assertEqual(1, len(h.running))
        self.assertEqual(1, len(h.refused))
        _, error = h.refused[0]
        self.assertIsInstance(error, exceptions.Overloaded)

    def test_a_full_queue_displaces_a_class_over_its_share(self):
        h = Harness(FULL)
        for i in range(6):
            h.send(str(i), timeout_s=10.0 + i)
        self.assertRaises(exceptions.Overloaded, h.send, "6")
        h.send("7", "b")
        self.assertEqual(1, len(h.refused))
        admission, error = h.refused[0]
        self.assertEqual("5", admission.work.fingerprint)
        self.assertIsInstance(error, exceptions.OverShare)
        self.assertRaises(exceptions.OverShare, h.send, "8")

    def test_a_closed_gate_refuses_new_and_waiting_work(self):
        h = Harness(FULL)
        for name in "xyz":
            h.send(name)
        gate.close(h.gate)
        h.wake()
        self.assertIsInstance(h.refused[0][1], exceptions.Draining)
        self.assertRaises(exceptions.Draining, h.send, "w")
        self.assertEqual(2, len(h.running))

    def test_a_failed_check_frees_the_slot(self):
        state = gate.Gate(FULL)
        work = gate.Work("a", state.now() + 60.0, "x")

        def check():
            self.assertEqual(1, gate.snapshot(state).in_flight)
            raise exceptions.NotOwner("no lease", "ask the owner")

        def run():
            with gate.admit(state, work, check):
                self.fail("the body ran without ownership")

        self.assertRaises(exceptions.NotOwner, run)
        self.assertEqual(0, gate.snapshot(state).in_flight)


class QuarantineTest(testtools.TestCase):
    """Guards against convicting the innocent and against repeated crashes."""

    def crashed(self, *names):
        """Returns a gate at which `names` were in flight in a crash."""
        h = Harness(FULL)
        for name in names:
            h.send(name)
        news = gate.saw_crash(h.gate)
        self.assertEqual(gate.CrashNews(suspects=names), news)
        # The other connection reports the same crash.
        self.assertEqual(gate.CrashNews(), gate.saw_crash(h.gate))
        for admission in list(h.running):
            h.end(admission, completed=False)
        gate.saw_boot(h.gate, "boot-1")
        h.wake()
        return h

    def test_a_suspect_that_crashes_alone_is_convicted(self):
        h = self.crashed("x", "y")
        h.send("x")
        h.send("y")
        h.send("z")
        self.assertEqual(["x"], [a.work.fingerprint for a in h.running])
        news = gate.saw_crash(h.gate)
        self.assertEqual(gate.CrashNews(convicted=("x",)), news)
        h.end(h.running[0], completed=False)
        self.assertRaises(exceptions.RefusedForGood, h.send, "x")

    def test_a_late_report_does_not_hide_the_next_crash(self):
        h = Harness(FULL)
        h.send("x")
        h.send("y")
        gate.saw_crash(h.gate)
        h.end(h.running[0], completed=False)
        gate.saw_boot(h.gate, "boot-1")
        h.send("z")
        self.assertEqual(gate.CrashNews(), gate.saw_crash(h.gate))
        h.end(h.running[0], completed=False)
        news = gate.saw_crash(h.gate)
        self.assertEqual(gate.CrashNews(suspects=("z",)), news)

    def test_a_suspect_that_completes_is_cleared(self):
        h = self.crashed("x")
        admission = h.send("x")
        h.end(admission)
        self.assertTrue(admission.cleared)
        self.assertEqual(0, gate.snapshot(h.gate).suspects)

    def test_suspects_and_ordinary_work_alternate(self):
        policy = gate.Policy(1, 20, 1, 0.0)
        h = Harness(policy)
        h.send("first")
        gate.learn(h.gate, ["s0", "s1", "s2"], [], [])
        for i in range(6):
            h.send(f"o{i}")
        for i in range(3):
            h.send(f"s{i}")
        self.assertEqual(
            ["s0", "o0", "o1", "s1", "o2", "o3", "s2", "o4", "o5"], h.order()
        )

    def test_a_suspect_that_cannot_start_holds_others_for_a_bounded_time(self):
        h = Harness(FULL)
        h.send("long", timeout_s=60.0)
        gate.learn(h.gate, ["s"], [], [])
        h.send("s", timeout_s=60.0)
        h.send("o", timeout_s=60.0)
        self.assertEqual(1, len(h.running))
        h.sleep(gate.HOLD_S)
        names = [a.work.fingerprint for a in h.running]
        self.assertEqual(["long", "o"], names)

    def test_a_turn_that_ends_unused_lets_ordinary_work_go_on(self):
        h = Harness(FULL)
        gate.learn(h.gate, ["s", "t"], [], [])
        h.send("long", timeout_s=60.0)
        h.send("s", timeout_s=1.0)
        h.send("t", timeout_s=60.0)
        h.send("o", timeout_s=60.0)
        h.sleep(1.0)
        self.assertEqual(2, len(h.running))

    def test_news_from_other_daemons_reaches_waiting_requests(self):
        h = Harness(FULL)
        for name in "pqxyz":
            h.send(name)
        gate.learn(h.gate, ["x"], ["y"], [])
        h.wake()
        self.assertEqual(1, len(h.refused))
        admission, error = h.refused[0]
        self.assertEqual("y", admission.work.fingerprint)
        self.assertIsInstance(error, exceptions.RefusedForGood)
        self.assertEqual(1, gate.snapshot(h.gate).waiting_suspects)
        gate.learn(h.gate, [], [], ["x"])
        self.assertEqual(0, gate.snapshot(h.gate).waiting_suspects)


class GateMachine(stateful.RuleBasedStateMachine):
    """Requests, time, boots, crashes and news in any order."""

    def __init__(self):
        super().__init__()
        self.h = Harness(POLICY)
        self.boots = 0
        self.before = set()
        self.suspected = set()

    @stateful.rule(
        name=strategies.sampled_from("abcdefgh"),
        request_class=strategies.sampled_from(("a", "b", "other")),
        timeout_s=strategies.sampled_from((0.5, 3.0, 30.0)),
    )
    def send(self, name, request_class, timeout_s):
        try:
            self.h.send(name, request_class, timeout_s)
        except exceptions.Refusal:
            self.h.wake()

    @stateful.precondition(lambda self: self.h.running)
    @stateful.rule(
        data=strategies.data(),
        completed=strategies.booleans(),
        service_s=strategies.sampled_from((None, 0.1, 2.0)),
    )
    def end(self, data, completed, service_s):
        admission = data.draw(strategies.sampled_from(self.h.running))
        self.h.end(admission, completed, service_s)

    @stateful.rule(seconds=strategies.sampled_from((0.3, 1.0, 2.5, 700.0)))
    def sleep(self, seconds):
        self.h.sleep(seconds)

    @stateful.rule(event=strategies.sampled_from(("same", "new", "lost")))
    def boot(self, event):
        self.boots += event == "new"
        if event == "lost":
            gate.saw_unreachable(self.h.gate)
        else:
            gate.saw_boot(self.h.gate, f"boot-{self.boots}")
        self.h.wake()

    @stateful.rule()
    def crash(self):
        names = [a.work.fingerprint for a in self.h.running]
        known = set(self.suspected)
        news = gate.saw_crash(self.h.gate)
        if news.convicted:
            assert list(news.convicted) == names
            assert known.issuperset(names)
        self.suspected.update(news.suspects)
        self.h.wake()

    @stateful.rule(name=strategies.sampled_from("abcd"))
    def news(self, name):
        self.suspected.add(name)
        gate.learn(self.h.gate, [name], [], [])
        self.h.wake()

    @stateful.invariant()
    def limit_holds_and_no_slot_is_left_free(self):
        """Compares the gate with what its threads see."""
        state = self.h.gate
        shot = gate.snapshot(state)
        running = set(self.h.running)
        assert running == set(state.running)
        if running - self.before:
            assert len(running) <= max(shot.limit, 1)
        self.before = running
        assert len(self.h.waiting) == shot.waiting + shot.waiting_suspects
        assert len(self.h.waiting) <= POLICY.queue_limit
        if shot.waiting and not shot.waiting_suspects and not state.alone:
            assert len(running) >= shot.limit
        if state.alone:
            assert running == {state.alone}
        for name in set("abcdefgh") - self.suspected:
            assert not quarantine.is_convicted(state.fingerprints, name)

    def teardown(self):
        self.h.sleep(60.0)
        assert not self.h.waiting


class GateMachineTest(testtools.TestCase):
    """Guards against a broken limit, a lost waiter or a false conviction."""

    def test_the_invariants_hold_in_any_order(self):
        stateful.run_state_machine_as_test(
            GateMachine,
            settings=hypothesis.settings(
                deadline=None, max_examples=200, stateful_step_count=60
            ),
        )


class ThreadsTest(testtools.TestCase):
    """Guards against a limit that races break and a wake-up that is lost."""

    def test_every_admit_of_many_threads_ends(self):
        state = gate.Gate(gate.Policy(4, 100, 1, 0.05, {"a": 2.0}))
        gate.learn(state, ["3-1", "5-2"], [], [])
        in_flight = []

        def run(number):
            for i in range(20):
                work = gate.Work("a", state.now() + 60.0, f"{number}-{i}")
                with gate.admit(state, work, lambda: None):
                    in_flight.append(gate.snapshot(state).in_flight)

        threads = [
            threading.Thread(target=run, args=(n,), daemon=True)
            for n in range(20)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join(60)
        self.assertEqual([], [t for t in threads if t.is_alive()])
        self.assertEqual(400, len(in_flight))
        self.assertTrue(max(in_flight) <= 4)
        shot = gate.snapshot(state)
        self.assertEqual((0, 0), (shot.suspects, shot.waiting))
