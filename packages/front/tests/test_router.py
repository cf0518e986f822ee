"""Tests of waxwinglever_front.router."""

import threading
import typing
from unittest import mock

import attrs
import testtools

from waxwinglever_front import http_codec
from waxwinglever_front import http_messages
from waxwinglever_front import router
from waxwinglever_front import targets
from waxwinglever_model import clock
from waxwinglever_model import exceptions
from waxwinglever_ownership import config_cache
from waxwinglever_routing import balancer
from waxwinglever_routing import budgets

UNKNOWN = exceptions.OutcomeUnknown("lost", "look")


def refused(kind=exceptions.NotOwner):
    return http_codec.refusal_response(kind("no", "again"))


class KeyedTest(testtools.TestCase):
    """Guards against lost, repeated or endless attempts of a keyed request."""

    make_front: typing.Any = None

    def setUp(self):
        super().setUp()
        self.front = self.make_front()

    def route(self, method="POST", **changes):
        return router.route(
            self.front.context, self.front.request(method, **changes)
        )

    def test_own_keys_run_here_and_others_are_forwarded(self):
        self.assertEqual(b"done", self.route().body)
        self.front.assign_all("b")
        response = self.route()
        self.assertEqual(
            (b"far", "b:h", 2),
            (response.body, response.owner, response.map_version),
        )
        self.assertEqual(1, len(self.front.backend_requests))

    def test_a_request_follows_its_key_to_the_next_owner(self):
        self.front.assign_all("b")
        self.front.responses = [refused(), refused(exceptions.Draining)]
        self.assertEqual(b"far", self.route().body)
        self.assertEqual(3, len(self.front.forwarded))

    def test_the_number_of_waiting_requests_is_limited(self):
        self.front.assign_all("b")
        semaphore = threading.BoundedSemaphore(1)
        self.front.context.request_limits = attrs.evolve(
            self.front.context.request_limits, record_waiters=semaphore
        )
        self.front.responses = [refused()]
        with semaphore:
            response = self.route()
        self.assertEqual("not-owner", router.refusal_kind(response))
        self.front.responses = [refused()]
        self.assertEqual(b"far", self.route().body)
        with semaphore:
            pass

    def test_a_forwarded_request_is_never_forwarded_again(self):
        self.front.assign_all("b")
        response = self.route(hops=1)
        self.assertEqual(
            ("not-run", "not-owner"),
            (response.outcome, router.refusal_kind(response)),
        )
        self.assertEqual([], self.front.forwarded)

    def test_only_a_safe_request_is_repeated_after_a_lost_response(self):
        self.front.assign_all("b")
        for method, tokens, attempts in (
            ("POST", 9, 1),
            ("PUT", 9, 1),
            ("GET", 9, 2),
            ("GET", 0, 1),
        ):
            self.front.forwarded.clear()
            self.front.responses = [UNKNOWN]
            self.front.context.retry_budget = budgets.Budget(0.0, tokens)
            response = self.route(method)
            self.assertEqual(attempts, len(self.front.forwarded), method)
            outcome = "ran" if attempts == 2 else "unknown"
            self.assertEqual(outcome, response.outcome)

    def test_a_permanent_refusal_is_returned(self):
        self.front.assign_all("b")
        for kind in (exceptions.ShareExceeded, exceptions.Quarantined):
            self.front.responses = [refused(kind)]
            self.assertEqual(kind.status, self.route().status)

    def test_waiting_for_a_key_without_owner_does_not_spin(self):
        self.front.assign_all("")
        with mock.patch.object(
            targets, "find_owner", wraps=targets.find_owner
        ) as find_owner:
            response = self.route(deadline_s=clock.boottime_s() + 0.4)
        self.assertEqual("not-owner", router.refusal_kind(response))
        self.assertTrue(find_owner.call_count < 20, find_owner.call_count)

    def test_unknown_services_and_missing_keys_are_refused(self):
        for changes, status in (
            ({"tenant": "u"}, 404),
            ({"service": "u"}, 404),
            ({"key": None}, 400),
        ):
            response = self.route(**changes)
            self.assertEqual(
                (status, "not-run"), (response.status, response.outcome)
            )


class UnkeyedTest(testtools.TestCase):
    """Guards against unbounded attempts of a request without a key."""

    make_front: typing.Any = None
    config_value: typing.Any = None

    def setUp(self):
        super().setUp()
        self.front = self.make_front(service="any")
        # The first attempt goes to the other node.
        self.patch(
            balancer,
            "choose",
            lambda _, nodes, exclude: sorted(set(nodes) - set(exclude))[-1],
        )

    def route(self, method="POST", **changes):
        return router.route(
            self.front.context, self.front.request(method, **changes)
        )

    def test_another_node_is_tried_within_the_budget(self):
        for tokens, body in ((1, b"done"), (0, b"")):
            self.front.context.retry_budget = budgets.Budget(0.0, tokens)
            self.front.responses = [refused(exceptions.Overloaded)]
            response = self.route()
            self.assertEqual(
                body, response.body if response.outcome == "ran" else b""
            )

    def test_only_safe_requests_are_hedged(self):
        done = threading.Event()

        def slow(address, request):
            self.front.forwarded.append((address, request))
            done.wait(0.2 if request.method == "POST" else 30)
            return http_messages.Response(200, (), b"far")

        self.front.context.forward = slow
        self.assertEqual(b"far", self.route().body)
        self.assertEqual([], self.front.backend_requests)
        self.assertEqual(b"done", self.route("GET").body)
        done.set()

    def test_a_forwarded_request_runs_here(self):
        self.assertEqual(b"done", self.route(hops=1).body)
        self.assertEqual([], self.front.forwarded)

    def test_a_zone_that_is_out_uses_no_retry_budget(self):
        config_cache.apply_if_newer(
            self.front.context.config_cache, "t", self.config_value(2, "out")
        )
        before = self.front.context.retry_budget.tokens
        response = self.route()
        self.assertEqual("backend-unavailable", router.refusal_kind(response))
        self.assertEqual(before, self.front.context.retry_budget.tokens)
