"""Tests of waxwinglever_admission.queueing."""

import collections

import hypothesis
import testtools
from hypothesis import strategies

from waxwinglever_admission import queueing


def serve(queue: queueing.Queue) -> str:
    entry = queueing.head(queue)
    queueing.remove(queue, entry)
    queueing.charge(queue, entry.request_class)
    return entry.item


class QueueingTest(testtools.TestCase):
    """Guards against classes that starve or take more than their share."""

    def test_shares_follow_the_weights(self):
        queue = queueing.Queue({"a": 3.0, "b": 1.0})
        for i in range(40):
            queueing.push(queue, "ab"[i % 2], 1.0, "ab"[i % 2])
        served = collections.Counter(serve(queue) for _ in range(20))
        self.assertEqual({"a": 15, "b": 5}, dict(served))

    def test_an_idle_class_gets_no_credit(self):
        queue = queueing.Queue({})
        for i in range(20):
            queueing.push(queue, "a", i, "a")
        for _ in range(10):
            serve(queue)
        for i in range(10):
            queueing.push(queue, "b", i, "b")
        served = collections.Counter(serve(queue) for _ in range(10))
        self.assertEqual({"a": 5, "b": 5}, dict(served))

    @hypothesis.given(strategies.lists(strategies.integers(0, 5)))
    def test_deadlines_order_a_class_and_ties_keep_their_order(self, deadlines):
        queue = queueing.Queue({})
        for i, deadline_s in enumerate(deadlines):
            queueing.push(queue, "a", deadline_s, (deadline_s, i))
        served = [serve(queue) for _ in deadlines]
        self.assertEqual(sorted(served), served)
        self.assertEqual((0, {}), (queue.size, queue.entries))

    def test_the_entry_that_a_full_queue_displaces(self):
        # Waiting classes, class of the new request, class that is displaced.
        cases = "aaaa:b:a aaaa:a: aabb:a: aabb:c:a aaab:b:a hhhh:a: :a:"
        for case in cases.split():
            waiting, new, expected = case.split(":")
            queue = queueing.Queue({"h": 9.0})
            for i, name in enumerate(waiting):
                queueing.push(queue, name, i, name)
            entry = queueing.choose_displaced(queue, new)
            self.assertEqual(expected, entry.item if entry else "", case)
            if entry:
                latest = waiting.rindex(expected)
                self.assertEqual(latest, entry.deadline_s)
