"""A gate whose clock and threads a test controls."""

from hypothesis import stateful
from hypothesis import strategies

from waxwinglever_admission import gate
from waxwinglever_admission import gate_state
from waxwinglever_admission import quarantine
from waxwinglever_model import exceptions

POLICY = gate_state.Policy(4, 6, 1, 8.0, {"a": 2.0, "b": 1.0})


class Harness:
    """A gate with a manual clock; it simulates the threads that wait at it."""

    def __init__(self, policy, boot_id="boot-0"):
        self.now_s = 100.0
        self.gate = gate_state.Gate(policy, lambda: self.now_s, boot_id)
        self.waiting = []
        self.running = []
        self.refused = []

    def send(self, fingerprint, request_class="a", timeout_s=10.0):
        request_info = gate_state.RequestInfo(
            request_class, self.now_s + timeout_s, fingerprint
        )
        admission = gate.submit(self.gate, request_info)
        self.waiting.append(admission)
        self.wake()
        return admission

    def wake(self):
        """Polls for each request whose thread was woken or timed out."""
        again = True
        while again:
            again = False
            for admission in list(self.waiting):
                due = self.now_s >= admission.latest_start_s or (
                    self.gate.timer_waiter is admission
                    and self.now_s >= self.gate.timer_s
                )
                if not due and not admission.woken.is_set():
                    continue
                again = True
                try:
                    if gate.poll(self.gate, admission) is None:
                        self.waiting.remove(admission)
                        self.running.append(admission)
                except exceptions.Refusal as error:
                    self.waiting.remove(admission)
                    self.refused.append((admission, error))

    def end(self, admission, completed=True, service_s=None):
        self.running.remove(admission)
        gate.release_slot(self.gate, admission, completed, service_s)
        self.wake()

    def sleep(self, seconds):
        self.now_s += seconds
        self.wake()

    def dispatch_order(self):
        """Ends requests until none waits; returns fingerprints in order."""
        names = []
        while self.waiting:
            before = set(self.running)
            self.end(self.running[0])
            names += [
                a.request_info.fingerprint
                for a in self.running
                if a not in before
            ]
        return names


class GateMachine(stateful.RuleBasedStateMachine):
    """Requests, clock steps, boots, crashes and crash reports in any order."""

    policy = POLICY

    def __init__(self):
        super().__init__()
        self.harness = Harness(self.policy)
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
            self.harness.send(name, request_class, timeout_s)
        except exceptions.Refusal:
            self.harness.wake()

    @stateful.precondition(lambda self: self.harness.running)
    @stateful.rule(
        data=strategies.data(),
        completed=strategies.booleans(),
        service_s=strategies.sampled_from((None, 0.1, 2.0)),
    )
    def end(self, data, completed, service_s):
        admission = data.draw(strategies.sampled_from(self.harness.running))
        self.harness.end(admission, completed, service_s)

    @stateful.rule(seconds=strategies.sampled_from((0.3, 1.0, 2.5, 700.0)))
    def sleep(self, seconds):
        self.harness.sleep(seconds)

    @stateful.rule(event=strategies.sampled_from(("same", "new", "lost")))
    def boot(self, event):
        """Announces the same or a new process, or breaks a connection."""
        self.boots += event == "new"
        if event == "lost":
            gate.record_connection_failure(self.harness.gate)
        else:
            if event == "new":
                # Their process has ended.
                self.suspected.update(
                    a.request_info.fingerprint for a in self.harness.running
                )
            gate.record_boot_id(self.harness.gate, f"boot-{self.boots}")
        self.harness.wake()

    @stateful.rule()
    def crash(self):
        names = [a.request_info.fingerprint for a in self.harness.running]
        known = set(self.suspected)
        verdict = gate.record_crash(self.harness.gate)
        if verdict.convicted:
            assert list(verdict.convicted) == names
            assert known.issuperset(names)
        self.suspected.update(verdict.suspects)
        self.harness.wake()

    @stateful.rule(name=strategies.sampled_from("abcd"))
    def crash_report(self, name):
        self.suspected.add(name)
        gate.apply_crash_report(self.harness.gate, [name], [], [])
        self.harness.wake()

    @stateful.invariant()
    def limit_holds_and_no_slot_is_left_free(self):
        """Compares the state of the gate with that of its threads."""
        state = self.harness.gate
        snapshot = gate.snapshot(state)
        running = set(self.harness.running)
        assert running == set(state.running)
        if running - self.before:
            assert len(running) <= max(snapshot.limit, 1)
        self.before = running
        assert (
            len(self.harness.waiting)
            == snapshot.waiting + snapshot.waiting_suspects
        )
        assert len(self.harness.waiting) <= self.policy.queue_limit
        if (
            snapshot.waiting
            and not snapshot.waiting_suspects
            and not state.exclusive
        ):
            assert len(running) >= snapshot.limit
        if state.exclusive:
            assert running == {state.exclusive}
        for name in set("abcdefgh") - self.suspected:
            assert not quarantine.is_convicted(state.fingerprints, name)

    def teardown(self):
        self.harness.sleep(60.0)
        assert not self.harness.waiting
