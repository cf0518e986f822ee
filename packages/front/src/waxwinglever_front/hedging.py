"""Hedged requests: a second attempt when the first is slow."""

import queue
from collections.abc import Callable
from concurrent import futures

from waxwinglever_front import exchange


def first_answer(
    executor: futures.Executor,
    first: Callable[[], exchange.Reply],
    second: Callable[[], exchange.Reply],
    delay_s: float,
    may_hedge: Callable[[], bool],
) -> exchange.Reply:
    """Returns the first reply with outcome `ran`, or else the last reply.

    A reply that arrives before the second attempt starts is returned whatever
    its outcome is.

    Args:
      executor: Runs the attempts.
      first: The first attempt.
      second: The second attempt. The request must be safe to run twice.
      delay_s: Delay before the second attempt.
      may_hedge: Returns whether the budget allows a second attempt.
    """
    replies: queue.SimpleQueue[futures.Future] = queue.SimpleQueue()

    def submit(attempt: Callable[[], exchange.Reply]) -> None:
        executor.submit(attempt).add_done_callback(replies.put)

    submit(first)
    running = 1
    try:
        return replies.get(timeout=delay_s).result()
    except queue.Empty:
        pass
    if may_hedge():
        submit(second)
        running += 1
    reply = None
    for _ in range(running):
        reply = replies.get().result()
        if reply.outcome == exchange.RAN:
            return reply
    return reply
