"""Replays generated load at one gate in virtual time."""

import collections
import heapq
import itertools
import random

import attrs

from waxwinglever_admission import gate
from waxwinglever_admission import gate_state
from waxwinglever_model import exceptions


@attrs.frozen
class Kind:
    """A kind of request, with the figures of docs/hard-load.md.

    Attributes:
      name: Its name.
      rate_per_s: Mean rate at one server.
      work_s: Mean service time at a server of speed 1.
      target_s: When the caller should have the response.
      deadline_s: When the caller stops waiting.
      worth: Worth of a response in time.
      late_worth: Worth of a late response.
      priority: Its priority.
      bursts: Times between which it comes at `burst_factor` times the rate.
      burst_factor: See `bursts`.
    """

    name: str
    rate_per_s: float
    work_s: float
    target_s: float
    deadline_s: float
    worth: float
    late_worth: float
    priority: int = 0
    bursts: tuple[tuple[float, float], ...] = ()
    burst_factor: float = 1.0


@attrs.define(eq=False)
class Server:
    """A server whose work takes longer in spells.

    Attributes:
      speed: Speed outside the spells.
      spells: Whether it has spells of 0.4 s with a third of the speed, for a
        fifth of the time.
      slow_from_s: From when to when it has half the speed.
      slow_until_s: See `slow_from_s`.
    """

    speed: float = 1.0
    spells: bool = True
    slow_from_s: float = 0.0
    slow_until_s: float = 0.0

    def end_s(self, start_s: float, work_s: float) -> float:
        """Returns when work ends that starts at a time."""
        step_s = 0.01
        now_s = start_s
        while True:
            speed = self.speed
            if self.spells and now_s % 2.0 < 0.4:
                speed /= 3.0
            if self.slow_from_s <= now_s < self.slow_until_s:
                speed /= 2.0
            if work_s <= step_s * speed:
                return now_s + work_s / speed
            work_s -= step_s * speed
            now_s += step_s


@attrs.define(eq=False)
class Tally:
    """What became of the requests of a kind."""

    sent: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    returned: int = 0

    def worth(self, kind: Kind) -> float:
        """Returns the mean worth of a request, as a share of the highest."""
        earned = self.in_time * kind.worth + self.late * kind.late_worth
        return earned / (self.sent * kind.worth)


@attrs.define(eq=False)
class Call:
    """One request of a caller, over all its attempts."""

    kind: Kind
    fingerprint: str
    target_s: float
    deadline_s: float
    work_s: float


class Replay:
    """A gate with a clock that the replay sets.

    Attributes:
      response_s: Time from the end of a request until its caller knows.
      wake_delay_s: Longest delay of a woken thread.
      returns: Whether refused callers return.
    """

    def __init__(
        self, policy, kinds, server, seed=1, seconds=20.0, returns=True
    ):
        self.returns = returns
        self.random = random.Random(seed)
        self.now_s = 0.0
        self.gate = gate_state.Gate(policy, lambda: self.now_s, "boot-0")
        self.kinds = kinds
        self.server = server
        self.seconds = seconds
        self.response_s = 0.012
        self.wake_delay_s = 0.01
        self.events = []
        self.order = itertools.count()
        self.waiting = {}
        self.tallies = collections.defaultdict(Tally)
        self.return_times_s = []
        self.max_waiting = 0

    def at(self, time_s, action, *args):
        """Runs an action at a time."""
        heapq.heappush(self.events, (time_s, next(self.order), action, args))

    def run(self):
        """Replays the load; returns the tallies by kind."""
        for kind in self.kinds:
            self.at(0.0, self.arrive, kind)
        while self.events:
            self.now_s, _, action, args = heapq.heappop(self.events)
            action(*args)
            self.wake()
        return self.tallies

    def arrive(self, kind):
        """Sends a new request and plans the next one of its kind."""
        burst = any(start <= self.now_s < end for start, end in kind.bursts)
        rate_per_s = kind.rate_per_s * (kind.burst_factor if burst else 1.0)
        next_s = self.now_s + self.random.expovariate(rate_per_s)
        if next_s < self.seconds:
            self.at(next_s, self.arrive, kind)
        self.tallies[kind.name].sent += 1
        call = Call(
            kind,
            f"{kind.name}-{self.tallies[kind.name].sent}",
            self.now_s + kind.target_s,
            self.now_s + kind.deadline_s,
            self.random.gammavariate(6.0, kind.work_s / 6.0),
        )
        self.send(call)

    def send(self, call):
        """Sends one attempt of a caller."""
        info = gate_state.RequestInfo(
            call.kind.name,
            call.deadline_s,
            call.fingerprint,
            target_s=call.target_s,
            priority=call.kind.priority,
        )
        try:
            admission = gate.submit(self.gate, info)
        except exceptions.Refusal as error:
            self.refuse(call, error)
            return
        self.waiting[admission] = call
        self.at(admission.latest_start_s, lambda: None)

    def refuse(self, call, error):
        """Lets a refused caller return as it is told, if it has the time."""
        delay_s = (error.retry_after_ms or 0) / 1000
        left_s = call.deadline_s - self.now_s
        if self.returns and 0 < delay_s <= left_s / 3:
            self.return_times_s.append(self.now_s + delay_s)
            self.tallies[call.kind.name].returned += 1
            self.at(self.now_s + delay_s, self.send, call)
        else:
            self.tallies[call.kind.name].refused += 1

    def wake(self):
        """Polls for the requests whose thread is due."""
        self.max_waiting = max(
            self.max_waiting, gate.snapshot(self.gate).waiting
        )
        again = True
        while again:
            again = False
            for admission, call in list(self.waiting.items()):
                due = self.now_s >= admission.latest_start_s
                if not due and not admission.woken.is_set():
                    continue
                again = True
                try:
                    is_running = gate.poll(self.gate, admission) is None
                except exceptions.Refusal as error:
                    del self.waiting[admission]
                    self.refuse(call, error)
                    continue
                if is_running:
                    del self.waiting[admission]
                    started_s = self.now_s + self.random.uniform(
                        0.0, self.wake_delay_s
                    )
                    end_s = self.server.end_s(started_s, call.work_s)
                    self.at(end_s, self.end, admission, call, started_s)

    def end(self, admission, call, started_s):
        """Ends a run and counts its response."""
        gate.release_slot(self.gate, admission, True, self.now_s - started_s)
        tally = self.tallies[call.kind.name]
        done_s = self.now_s + self.response_s
        if done_s <= call.target_s:
            tally.in_time += 1
        elif done_s <= call.deadline_s:
            tally.late += 1
        else:
            tally.refused += 1
