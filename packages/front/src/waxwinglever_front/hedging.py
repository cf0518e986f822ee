"""Hedged requests: starts a second attempt when the first is slow."""

import queue
from collections.abc import Callable
from concurrent import futures

from waxwinglever_front import http_messages


def run_hedged(
    executor: futures.Executor,
    first: Callable[[], http_messages.Response],
    second: Callable[[], http_messages.Response],
    delay_s: float,
    may_hedge: Callable[[], bool],
) -> http_messages.Response:
    """Returns the first response with outcome `ran`, or else the last response.

    A response that arrives before the second attempt starts is returned
    whatever its outcome is.

    Args:
      executor: Runs the attempts.
      first: The first attempt.
      second: The second attempt. The request must be safe to run twice.
      delay_s: Delay before the second attempt.
      may_hedge: Returns whether the budget allows a second attempt.
    """
    responses: queue.SimpleQueue[futures.Future] = queue.SimpleQueue()

    def submit(attempt: Callable[[], http_messages.Response]) -> None:
        executor.submit(attempt).add_done_callback(responses.put)

    submit(first)
    running = 1
    try:
        return responses.get(timeout=delay_s).result()
    except queue.Empty:
        pass
    if may_hedge():
        submit(second)
        running += 1
    response = None
    for _ in range(running):
        response = responses.get().result()
        if response.outcome == http_messages.OUTCOME_RAN:
            return response
    return response
