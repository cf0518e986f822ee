"""Tests of waxwinglever_front.dispatch."""

import threading
import typing
from concurrent import futures

import attrs
import testtools

from waxwinglever_admission import gate
from waxwinglever_admission import gate_state
from waxwinglever_admission import tickets
from waxwinglever_backend import client as backend_client
from waxwinglever_front import dispatch
from waxwinglever_model import exceptions
from waxwinglever_ownership import config_cache


def response_lost(connection_broken):
    return backend_client.ResponseLost("lost", "look", connection_broken)


class AtMostOnceTest(testtools.TestCase):
    """Guards against a request with an id that runs twice (G7)."""

    make_front: typing.Any = None

    def setUp(self):
        super().setUp()
        self.front = self.make_front()

    def serve(self, **changes):
        request = self.front.request(**{"request_id": "r1", **changes})
        return dispatch.serve(self.front.context, request, True)

    def ticket(self):
        error = self.assertRaises(exceptions.TicketRequired, self.serve)
        self.assertEqual((428, "not-run"), (error.status, error.outcome))
        return error.ticket

    def test_a_repeated_request_gets_the_kept_response(self):
        ticket = self.ticket()
        self.assertEqual([], self.front.backend_requests)
        first = self.serve(ticket=ticket)
        self.assertEqual(first, self.serve(ticket=ticket))
        self.assertEqual(1, len(self.front.backend_requests))
        self.serve(ticket=ticket, request_id="r2")
        self.assertEqual(2, len(self.front.backend_requests))

    def test_a_stale_ticket_runs_nothing(self):
        current = tickets.parse_ticket(self.ticket())
        for change in (
            {"epoch": 2},
            {"cell": "t/x/0"},
            {"incarnation": "a-9"},
            {"period": 5},
        ):
            stale = tickets.format_ticket(attrs.evolve(current, **change))
            error = self.assertRaises(
                exceptions.TicketRequired, self.serve, ticket=stale
            )
            self.assertEqual(tickets.format_ticket(current), error.ticket)
        self.assertRaises(exceptions.BadRequest, self.serve, ticket="x")
        self.assertEqual([], self.front.backend_requests)

    def test_a_request_with_a_lost_response_is_never_run_again(self):
        ticket = self.ticket()
        self.front.backend_responses = [response_lost(False)]
        for _ in range(2):
            error = self.assertRaises(
                exceptions.OutcomeUnknown, self.serve, ticket=ticket
            )
            self.assertEqual("unknown", error.outcome)
        self.assertEqual(1, len(self.front.backend_requests))

    def test_an_unexpected_error_leaves_the_outcome_unknown(self):
        ticket = self.ticket()
        self.front.backend_responses = [RuntimeError("bug")]
        self.assertRaises(RuntimeError, self.serve, ticket=ticket)
        self.assertRaises(exceptions.OutcomeUnknown, self.serve, ticket=ticket)

    def test_a_request_that_did_not_run_may_be_repeated(self):
        ticket = self.ticket()
        for refusal in (exceptions.BackendUnavailable, exceptions.Overloaded):
            self.front.backend_responses = [refusal("no", "again")]
            self.assertRaises(refusal, self.serve, ticket=ticket)
        self.assertEqual(200, self.serve(ticket=ticket).status)


class DispatchTest(testtools.TestCase):
    """Guards against requests that must not run here (G4, G8, R12)."""

    make_front: typing.Any = None
    config_value: typing.Any = None

    def test_the_timeout_ends_with_the_lease_and_the_fence_is_sent(self):
        front = self.make_front()
        (lease,) = front.context.node.state.leases.values()
        lease.expires_at_s = front.context.now() + 5
        dispatch.serve(front.context, front.request(), True)
        (backend_request,) = front.backend_requests
        self.assertTrue(0 < backend_request.timeout_ms <= 5000)
        self.assertEqual(
            int(lease.expires_at_s * 1e9), backend_request.fence.expires_ns
        )
        self.assertEqual(
            (0, 1), (backend_request.fence.start, backend_request.fence.epoch)
        )
        self.assertEqual({}, dict(front.context.node.state.in_flight))

    def test_a_request_whose_lease_ends_in_the_queue_is_not_run(self):
        front = self.make_front()
        running, free = threading.Event(), threading.Event()

        def slow():
            running.set()
            free.wait(30)

        front.backend_responses = [slow]
        local_backend = front.context.local_backend
        gate.set_policy(local_backend.gate, gate_state.Policy(1, 9, 1, 0.0))
        with futures.ThreadPoolExecutor(2) as executor:
            first = executor.submit(
                dispatch.serve, front.context, front.request(), True
            )
            running.wait(30)
            queued = executor.submit(
                dispatch.serve, front.context, front.request(body=b"2"), True
            )
            while not gate.snapshot(local_backend.gate).waiting:
                running.wait(0.01)
            front.assign_all("b")
            free.set()
            self.assertEqual(200, first.result().status)
            self.assertIsInstance(queued.exception(), exceptions.NotOwner)
        self.assertEqual(1, len(front.backend_requests))
        self.assertEqual({}, dict(front.context.node.state.in_flight))

    def test_a_service_without_keys_stops_when_its_zone_is_out(self):
        front = self.make_front(service="any")
        request = front.request()
        dispatch.serve(front.context, request, False)
        self.assertIsNone(front.backend_requests[0].fence)
        config_cache.apply_if_newer(
            front.context.config_cache, "t", self.config_value(2, "out")
        )
        self.assertRaises(
            exceptions.Draining, dispatch.serve, front.context, request, False
        )
        config_cache.apply_if_newer(
            front.context.config_cache, "t", self.config_value(3)
        )
        front.context.is_draining = True
        self.assertRaises(
            exceptions.Draining, dispatch.serve, front.context, request, False
        )
        front.context.is_draining = False
        front.context.node.state.draining = True
        self.assertRaises(
            exceptions.Draining, dispatch.serve, front.context, request, False
        )
        self.assertEqual(1, len(front.backend_requests))

    def test_another_service_is_not_run(self):
        front = self.make_front()
        for request in (
            front.request(service="any"),
            front.request(tenant="u"),
        ):
            self.assertRaises(
                exceptions.BackendUnavailable,
                dispatch.serve,
                front.context,
                request,
                False,
            )

    def test_suspects_are_reported_before_the_response(self):
        front = self.make_front()
        front.backend_responses = [response_lost(True)]
        self.assertRaises(
            exceptions.OutcomeUnknown,
            dispatch.serve,
            front.context,
            front.request(),
            True,
        )
        ((address, report),) = front.peer_messages
        self.assertEqual(("b:p", 1), (address, len(report.suspects)))

    def test_the_backend_server_can_not_set_headers_of_the_daemon(self):
        front = self.make_front()
        headers = (("Waxwinglever-Outcome", "not-run"), ("X-A", "1"))
        front.backend_responses = [
            backend_client.BackendResponse(200, headers, b"", "boot")
        ]
        response = dispatch.serve(front.context, front.request(), True)
        self.assertEqual((("X-A", "1"),), response.headers)

    def test_a_timeout_cancels_the_call_and_is_no_crash(self):
        front = self.make_front()
        front.backend_responses = [response_lost(False)]
        self.assertRaises(
            exceptions.OutcomeUnknown,
            dispatch.serve,
            front.context,
            front.request(),
            True,
        )
        self.assertEqual(
            [("cancel", front.backend_requests[0].call_id)], front.events
        )
        self.assertEqual(
            ([], 1),
            (
                front.peer_messages,
                front.context.local_backend.consecutive_timeouts,
            ),
        )
        dispatch.serve(front.context, front.request(), True)
        self.assertEqual(0, front.context.local_backend.consecutive_timeouts)
