"""Starts and stops the threads of a node, and takes it out of its cell."""

import threading
import traceback
from collections.abc import Callable

from waxwinglever_ownership import control_loop
from waxwinglever_ownership import leadership
from waxwinglever_ownership import propagation
from waxwinglever_ownership import node as nodes

LEAVE_RETRY_S = 0.1
THREAD_RESTART_S = 1.0


def start(node: nodes.CellNode) -> None:
    """Starts the threads of the node."""
    for name, target in (
        ("control", control_loop.run_control),
        ("configs", propagation.run_configs),
        ("directory", propagation.run_directory),
    ):
        thread = threading.Thread(
            target=supervise, args=(node, target), name=name, daemon=True
        )
        node.threads.append(thread)
        thread.start()


def supervise(
    node: nodes.CellNode, target: Callable[[nodes.CellNode], None]
) -> None:
    """Runs a thread's function again after an unexpected error.

    A leadership ends with the error, so no state of it is used again.
    """
    while not node.stopping.is_set():
        try:
            target(node)
        except Exception as error:  # pylint: disable=broad-exception-caught
            node.around.log(
                "thread-failed",
                thread=threading.current_thread().name,
                error=repr(error),
                traceback=traceback.format_exc(),
            )
            node.stopping.wait(THREAD_RESTART_S)


def stop(node: nodes.CellNode) -> None:
    """Ends the threads of the node; leases run out by themselves."""
    node.stopping.set()
    with node.state.lock:
        node.state.lock.notify_all()
    leader = node.leader
    if leader is not None:
        leadership.step_down(leader)
    for thread in node.threads:
        thread.join()


def leave(node: nodes.CellNode, timeout_s: float) -> bool:
    """Hands back all slices and leaves the record.

    Args:
      node: The node.
      timeout_s: How long to try; without a store the record stays as it is.

    Returns:
      Whether this node owns nothing and is not recorded any more.
    """
    with node.state.lock:
        node.state.draining = True
        node.leaving = True
        node.state.lock.notify_all()
    deadline = node.around.now() + timeout_s
    while node.around.now() < deadline:
        if node.leader is None:
            control_loop.send_join_request(node)
        if node.is_removed:
            return True
        node.stopping.wait(LEAVE_RETRY_S)
    return False
