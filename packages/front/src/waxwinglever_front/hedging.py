"""Hedged requests: a second try when the first is slow."""

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
    """Returns the first reply that ran, or the last one.

    Args:
      executor: Runs the tries.
      first: The first try.
      second: The second try, only for requests that may run twice.
      delay_s: When the second try starts, in seconds after the first.
      may_hedge: Whether the budget allows a second try.
    """
    replies: queue.SimpleQueue[futures.Future] = queue.SimpleQueue()

    def begin(call: Callable[[], exchange.Reply]) -> None:
        executor.submit(call).add_done_callback(replies.put)

    begin(first)
    running = 1
    try:
        return replies.get(timeout=delay_s).result()
    except queue.Empty:
        pass
    if may_hedge():
        begin(second)
        running += 1
    reply = None
    for _ in range(running):
        reply = replies.get().result()
        if reply.outcome == exchange.RAN:
            return reply
    return reply
