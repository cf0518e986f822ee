"""Tests of waxwinglever_relay.backend_state."""

import heapq
import itertools
import math
import types

import pytest
import testtools

from waxwinglever_admission import gate as gates
from waxwinglever_admission import gate_state
from waxwinglever_assignment import fleet_view
from waxwinglever_model import exceptions
from waxwinglever_relay import backend_state
from waxwinglever_relay import cold_watch
from waxwinglever_relay import messages


@pytest.mark.usefixtures("build")
class BackendStateTest(testtools.TestCase):
    """Guards against outdated announcements and overload in a cold start."""

    # Set by the fixture.
    build: types.SimpleNamespace = types.SimpleNamespace()

    def setUp(self):
        super().setUp()
        self.clock = self.build.Clock()
        local_delivery, _, _ = self.build.make_local_delivery(self.clock)
        self.backend = local_delivery.backend

    def announce(self, started_ms=1, sequence=2, **fields):
        values = {"draining": False, "cold_start_left_s": 0.0} | fields
        return backend_state.apply_announcement(
            self.backend,
            backend_state.Announcement(
                "i1", started_ms, sequence, "dispatch", 2, **values
            ),
        )

    def test_older_sequence_is_ignored(self):
        self.announce(sequence=5, draining=True)
        self.assertFalse(self.announce(sequence=4))
        self.assertEqual(fleet_view.DRAINING, self.backend.state)

    def test_draining_is_not_revoked_by_a_later_announcement(self):
        self.announce(sequence=5, draining=True)
        self.assertTrue(self.announce(sequence=6))
        self.assertEqual(fleet_view.DRAINING, self.backend.state)

    def test_announcement_of_an_earlier_process_is_ignored(self):
        self.announce(started_ms=10)
        self.assertFalse(self.announce(started_ms=9, sequence=99))
        self.assertEqual("i1@10", self.backend.boot_id)

    def test_new_process_with_the_same_id_resets_the_state(self):
        self.announce(sequence=5, draining=True)
        self.assertTrue(self.announce(started_ms=10, sequence=0))
        self.assertEqual(fleet_view.READY, self.backend.state)

    def test_deregistration_of_another_server_is_ignored(self):
        backend_state.deregister(self.backend, "i0")
        self.assertEqual(fleet_view.READY, self.backend.state)

    def test_process_that_left_before_the_daemon_started_stays_out(self):
        # A late announcement from before says that it is ready.
        for known_first in (True, False):
            clock = self.build.Clock()
            local_delivery, _, _ = self.build.make_local_delivery(clock)
            backend = local_delivery.backend
            left = backend_state.Announcement(
                "i2", 5, 1, "dispatch", 2, False, 0.0
            )
            steps = [
                lambda b=backend: backend_state.adopt_left(b, "i2@5"),
                lambda b=backend, a=left: backend_state.apply_announcement(
                    b, a
                ),
            ]
            for step in steps if known_first else reversed(steps):
                step()
            self.assertEqual(fleet_view.DRAINING, backend.state)
            self.assertEqual(float("-inf"), backend.draining_since_s)
            # The next process is not concerned.
            backend_state.apply_announcement(
                backend,
                backend_state.Announcement(
                    "i3", 9, 1, "dispatch", 2, False, 0.0
                ),
            )
            self.assertEqual(fleet_view.READY, backend.state)

    def test_cold_start_limits_the_request_rate(self):
        self.announce(cold_start_left_s=3.0)
        sends = 0
        end_s = self.clock.now_s + 1.0
        while self.clock.now_s < end_s:
            if backend_state.reserve_cold_send(self.backend, 22.0) is not None:
                sends += 1
            self.clock.now_s += 0.01
        # Reserved requests are sent at most MAX_COLD_WAIT_S later.
        self.assertLessEqual(
            sends, 22.0 * (1.0 + backend_state.MAX_COLD_WAIT_S)
        )

    def test_requests_before_the_notice_count_in_the_cold_start(self):
        # With the pace alone, the second around the notice had too many.
        cold_watch.set_bound(self.backend.watch, 30)
        for _ in range(30):
            self.clock.now_s += 0.005
            self.assertTrue(
                cold_watch.wait_to_send(self.backend.watch, 0.0, lambda: False)
            )
        noticed_s = self.clock.now_s
        backend_state.record_cold(self.backend, "i1", 3.0)
        self.assertTrue(backend_state.is_cold(self.backend))
        sends_s = []
        while self.clock.now_s < noticed_s + 1.5:
            delay_s = backend_state.reserve_cold_send(self.backend, 22.0)
            if delay_s is not None:
                sends_s.append(self.clock.now_s + delay_s)
            self.clock.now_s += 0.01
        rate_per_s = 22.0 * backend_state.COLD_RATE_SHARE
        paid_s = noticed_s - 1.0 + 30 / rate_per_s
        self.assertAlmostEqual(paid_s, sends_s[0], 1)

    def test_cold_server_is_published(self):
        published = []
        self.backend.publish = lambda **fields: published.append(fields["cold"])
        backend_state.record_cold(self.backend, "i0", 3.0)
        backend_state.record_cold(self.backend, "i1", 3.0)
        self.assertEqual([True], published)

    def test_warm_server_has_no_delay(self):
        self.assertEqual(
            0.0, backend_state.reserve_cold_send(self.backend, 1.0)
        )

    def test_announced_slots_are_passed_to_the_gate(self):
        backend_state.apply_announcement(
            self.backend,
            backend_state.Announcement("i1", 1, 9, "dispatch", 7, False, 0.0),
        )
        self.assertEqual(7, self.backend.gate.policy.slots)

    def test_overload_control_sets_the_bands_and_the_queue(self):
        # Slots, and how many requests may wait with and without it.
        for slots, longer, shorter in ((9, 27, 9), (20, 36, 20), (40, 40, 40)):
            policy = backend_state.gate_policy(slots, {"read": 1}, True)
            self.assertIsNotNone(policy.band_settings)
            self.assertEqual(longer, policy.queue_limit)
            policy = backend_state.gate_policy(slots, {"read": 1})
            self.assertIsNone(policy.band_settings)
            self.assertEqual(shorter, policy.queue_limit)

    def test_priorities_may_be_far_apart(self):
        # A difference of more than 511 raised OverflowError, and whatever
        # follows while a configuration is applied was skipped.
        routes = {"a": 0, "b": 1, "c": 1_000, "d": 10**9}
        for cases in (routes, {f"r{n}": 7 * n for n in range(2_000)}):
            weights = backend_state.gate_policy(9, cases).weights
            ordered = [weights[name] for name in sorted(cases, key=cases.get)]
            self.assertEqual(sorted(ordered, reverse=True), ordered)
            self.assertGreater(ordered[0], ordered[1])
            self.assertTrue(all(0 < weight < 1e305 for weight in ordered))
        weights = backend_state.gate_policy(9, routes).weights
        self.assertEqual(
            backend_state.PRIORITY_WEIGHT_FACTOR, weights["a"] / weights["b"]
        )
        self.assertGreater(weights["b"] / weights["c"], 1_000)

    def test_the_switch_takes_effect_without_a_change_of_the_routes(self):
        for is_on in (True, False):
            backend_state.set_route_priorities(self.backend, {"read": 1}, is_on)
            settings = self.backend.gate.policy.band_settings
            self.assertEqual(is_on, settings is not None)


@pytest.mark.usefixtures("build")
class NoticeTest(testtools.TestCase):
    """Guards against a limit or a leaving server that is not obeyed."""

    # Set by the fixture.
    build: types.SimpleNamespace = types.SimpleNamespace()

    def setUp(self):
        super().setUp()
        self.clock = self.build.Clock()
        local_delivery, _, _ = self.build.make_local_delivery(self.clock)
        self.backend = local_delivery.backend
        self.lines = []
        self.backend.log = lambda event, **fields: self.lines.append(
            (event, fields)
        )

    def answer(self, instance_id="i1", **fields):
        notice = messages.ServerNotice("", **fields)
        backend_state.apply_notice(self.backend, instance_id, notice)

    def announce(self, started_ms, sequence):
        backend_state.apply_announcement(
            self.backend,
            backend_state.Announcement(
                "i1", started_ms, sequence, "dispatch", 2, False, 0.0
            ),
        )

    def rate(self) -> float:
        """Returns the limit that the gate obeys."""
        return gates.snapshot(self.backend.gate).rate_limit_per_s

    def test_limit_holds_for_as_long_as_the_server_names_one(self):
        self.answer(rate_limit_per_s=14.0)
        self.assertEqual(14.0, self.rate())
        self.answer(rate_limit_per_s=21.4)
        self.assertEqual(21.4, self.rate())
        self.answer()
        self.assertEqual(math.inf, self.rate())

    def test_limit_of_another_server_is_ignored(self):
        self.answer("i0", rate_limit_per_s=14.0)
        self.assertEqual(math.inf, self.rate())

    def test_unreadable_limit_leaves_the_one_before(self):
        self.answer(unreadable="'x'")
        self.assertEqual(math.inf, self.rate())
        self.answer(rate_limit_per_s=14.0)
        self.answer(unreadable="'x'")
        self.assertEqual(14.0, self.rate())

    def test_new_process_starts_without_a_limit(self):
        self.answer(rate_limit_per_s=14.0)
        self.announce(9, 1)
        self.assertEqual(math.inf, self.rate())

    def test_restarted_daemon_obeys_what_another_has_heard(self):
        heard = messages.ServerNotice("i1@1", 14.0)
        backend_state.adopt_notice(self.backend, heard)
        self.assertEqual(14.0, self.rate())

    def test_own_answers_count_more_than_what_another_has_heard(self):
        self.answer()
        heard = messages.ServerNotice("i1@1", 14.0)
        backend_state.adopt_notice(self.backend, heard)
        self.assertEqual(math.inf, self.rate())

    def test_what_was_heard_of_an_earlier_process_is_ignored(self):
        heard = messages.ServerNotice("i1@0", 14.0)
        backend_state.adopt_notice(self.backend, heard)
        self.assertEqual(math.inf, self.rate())

    def test_limit_that_changes_in_each_answer_is_logged_once_a_second(self):
        for number in range(50):
            self.answer(rate_limit_per_s=14.0 + number)
        self.assertEqual(["backend-notice"], [event for event, _ in self.lines])
        self.answer()
        self.assertIsNone(self.lines[-1][1]["limit_per_s"])

    def test_server_that_says_it_leaves_drains(self):
        # Its announcements may still say that it is ready.
        self.answer(leaving=True)
        self.assertEqual(fleet_view.DRAINING, self.backend.state)
        self.announce(1, 9)
        self.assertEqual(fleet_view.DRAINING, self.backend.state)

    def test_leaving_is_not_forgotten_for_an_earlier_answer(self):
        self.answer(leaving=True)
        self.answer()
        self.assertTrue(self.backend.notice.leaving)

    def test_restarted_daemon_grants_a_leaving_server_no_grace(self):
        heard = messages.ServerNotice("i1@1", leaving=True)
        backend_state.adopt_notice(self.backend, heard)
        self.assertEqual(float("-inf"), self.backend.draining_since_s)

    def test_leaving_of_an_earlier_process_is_ignored(self):
        heard = messages.ServerNotice("i1@0", leaving=True)
        backend_state.adopt_notice(self.backend, heard)
        self.assertEqual(fleet_view.READY, self.backend.state)


class OverloadTest(testtools.TestCase):
    """Guards against slots that are spent on requests which finish too late."""

    SLOTS = 6
    # Timeout and alternating service times of each route. A request of `read`
    # calls another service in every second case.
    ROUTES = {"read": (1.5, (0.25, 0.65)), "write": (2.0, (0.33, 0.33))}

    def play(self, load: float) -> dict[str, list[float]]:
        """Returns the times of the requests that got a slot, by route.

        A request that reaches its deadline while it runs has an infinite time.

        Args:
          load: Requests that arrive for each one that the slots can serve.
        """
        now_s = 0.0
        gate = gate_state.Gate(
            backend_state.gate_policy(self.SLOTS, {"read": 2, "write": 1}),
            lambda: now_s,
            "i1@1",
        )
        order = itertools.count()
        rate = load * self.SLOTS / 0.42
        events = [
            (index / rate, next(order), "write" if index % 10 < 3 else "read")
            for index in range(int(20 * rate))
        ]
        waiting, running, times = {}, {}, {"read": [], "write": []}
        while events:
            now_s, _, event = heapq.heappop(events)
            if event in self.ROUTES:
                request_info = gate_state.RequestInfo(
                    event, now_s + self.ROUTES[event][0], "f"
                )
                try:
                    admission = gates.submit(gate, request_info)
                except exceptions.Refusal:
                    continue
                waiting[admission] = now_s
                heapq.heappush(
                    events, (admission.latest_start_s, next(order), None)
                )
            elif event is not None:
                gates.release_slot(gate, event, True, running.pop(event))
            for admission in list(waiting):
                due = now_s >= admission.latest_start_s
                if not due and not admission.woken.is_set():
                    continue
                try:
                    if gates.poll(gate, admission) is not None:
                        continue
                    began_s = waiting.pop(admission)
                except exceptions.Refusal:
                    del waiting[admission]
                    continue
                route_times = times[admission.request_class]
                services_s = self.ROUTES[admission.request_class][1]
                service_s = services_s[len(route_times) % 2]
                left_s = admission.request_info.deadline_s - now_s
                route_times.append(
                    now_s + service_s - began_s
                    if service_s <= left_s
                    else float("inf")
                )
                running[admission] = min(service_s, left_s)
                heapq.heappush(
                    events,
                    (now_s + running[admission], next(order), admission),
                )
        return times

    def test_requests_of_low_priority_that_run_finish_in_time(self):
        # With a queue of two for each slot, 0.13 of them met a target of 1.08 s
        # and 0.42 reached their deadline while they ran.
        times = self.play(load=1.5)["read"]
        on_time = [taken_s for taken_s in times if taken_s <= 1.08]
        self.assertGreater(len(on_time), 0.5 * len(times))
        self.assertNotIn(float("inf"), times)

    def test_requests_of_high_priority_finish_in_time(self):
        times = self.play(load=1.5)["write"]
        self.assertLess(max(times), 1.3)
