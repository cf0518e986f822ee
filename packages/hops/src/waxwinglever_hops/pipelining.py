"""Requests that a client sends on a connection before the first is answered.

Handled one after the other, each would wait for all before it: with four
requests of 0.2 s at a time, the last one has used 0.6 s of its deadline when it
begins. Those that may run twice are begun as they arrive. Others wait until the
ones before them are answered, as a response may close the connection, and the
client then sends what came behind it again.

The thread of the connection reads the requests and writes the responses, in the
order of the requests. Each request that is begun beside others has a thread.
"""

import collections
import os
import select
import threading
from collections.abc import Callable

import attrs

# Requests of one connection that are handled at the same time.
MAX_BEGUN = 16
# Name of the threads.
TASK = "pipelined"


@attrs.define(eq=False)
class Begun:
    """A request that was begun, and its response once there is one.

    Attributes:
      answer: Writes the response. Called with what the handler returned or
        raised, whether other responses follow, and whether the client may send
        further requests. Returns whether it still may. A response of None is
        not written, as the connection has failed.
      response: What the handler returned, or the exception that it raised.
      has_ended: Whether the handler has ended.
    """

    answer: Callable[[object, bool, bool], bool]
    response: object = None
    has_ended: bool = False


@attrs.define(eq=False)
class Pipeline:
    """The requests of one connection that are not answered yet.

    Attributes:
      slots: Bounds the requests that a server handles in threads of their own.
      begun: The requests, in the order of their responses.
      may_read: Whether the client may send further requests.
      is_broken: Whether no more responses can be written.
      wake_fd: Is written when a handler has ended; None before the first.
      lock: Held while `wake_fd` is written or closed.
    """

    slots: threading.Semaphore
    begun: collections.deque[Begun] = attrs.Factory(collections.deque)
    may_read: bool = True
    is_broken: bool = False
    wake_fd: int | None = None
    lock: threading.Lock = attrs.field(factory=threading.Lock)


def begin(
    pipeline: Pipeline,
    handle: Callable[[], object],
    answer: Callable[[object, bool, bool], bool],
) -> bool:
    """Begins a request in a thread of its own.

    Args:
      pipeline: The pipeline of its connection.
      handle: Returns the response.
      answer: See Begun.

    Returns:
      Whether there was room for it.
    """
    if len(pipeline.begun) >= MAX_BEGUN or not pipeline.slots.acquire(
        blocking=False
    ):
        return False
    if pipeline.wake_fd is None:
        pipeline.wake_fd = os.eventfd(0, os.EFD_CLOEXEC | os.EFD_NONBLOCK)
    item = Begun(answer)

    def run() -> None:
        try:
            item.response = handle()
        except Exception as error:  # pylint: disable=broad-exception-caught
            item.response = error
        finally:
            pipeline.slots.release()
            with pipeline.lock:
                item.has_ended = True
                os.eventfd_write(pipeline.wake_fd, 1)

    try:
        threading.Thread(target=run, name=TASK, daemon=True).start()
    except RuntimeError:
        # The machine has no room for another thread.
        pipeline.slots.release()
        return False
    pipeline.begun.append(item)
    return True


def answer_ended(pipeline: Pipeline) -> None:
    """Writes the responses that are next in order and ready.

    Once the connection has failed, they are discarded.
    """
    while pipeline.begun and pipeline.begun[0].has_ended:
        item = pipeline.begun.popleft()
        try:
            pipeline.may_read = item.answer(
                None if pipeline.is_broken else item.response,
                bool(pipeline.begun),
                pipeline.may_read,
            )
        except BaseException:
            pipeline.may_read = False
            pipeline.is_broken = True
            raise


def answer_all(pipeline: Pipeline) -> None:
    """Waits for all responses and writes them."""
    answer_ended(pipeline)
    while pipeline.begun:
        wait(pipeline, None)
        answer_ended(pipeline)


def wait(pipeline: Pipeline, fileno: int | None) -> bool:
    """Waits until a handler has ended or a descriptor is readable.

    Returns:
      Whether the descriptor is readable.
    """
    poller = select.poll()
    poller.register(pipeline.wake_fd, select.POLLIN)
    if fileno is not None:
        poller.register(fileno, select.POLLIN)
    ready = {ready_fd for ready_fd, _ in poller.poll()}
    if pipeline.wake_fd in ready:
        os.eventfd_read(pipeline.wake_fd)
    return fileno in ready


def serve(
    pipeline: Pipeline,
    fileno: int,
    has_buffered: Callable[[], bool],
    read_request: Callable[[], bool],
) -> bool:
    """Handles the requests that have arrived on a connection.

    Args:
      pipeline: Its pipeline, which is empty.
      fileno: Descriptor of the connection.
      has_buffered: Returns whether bytes of a next request were received.
      read_request: Reads a request and begins or answers it; returns whether
        the client may send another one.

    Returns:
      Whether the connection can be used on.
    """
    try:
        pipeline.may_read = read_request()
        while pipeline.begun:
            answer_ended(pipeline)
            if not pipeline.begun:
                break
            if not pipeline.may_read or len(pipeline.begun) >= MAX_BEGUN:
                wait(pipeline, None)
            elif has_buffered() or wait(pipeline, fileno):
                pipeline.may_read = read_request() and pipeline.may_read
    except BaseException:
        pipeline.may_read = False
        pipeline.is_broken = True
        raise
    finally:
        close(pipeline)
    return pipeline.may_read


def close(pipeline: Pipeline) -> None:
    """Waits for handlers that are left; they may use the connection."""
    while pipeline.begun:
        pipeline.is_broken = True
        answer_ended(pipeline)
        if pipeline.begun:
            wait(pipeline, None)
    if pipeline.wake_fd is not None:
        with pipeline.lock:
            os.close(pipeline.wake_fd)
