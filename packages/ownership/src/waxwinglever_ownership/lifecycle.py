"""Starts and stops the threads of a node, and makes it leave its cell."""

import threading
import traceback
from collections.abc import Callable

from waxwinglever_ownership import control_loop
from waxwinglever_ownership import leader_state
from waxwinglever_ownership import node as nodes
from waxwinglever_ownership import propagation

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
    """Runs a thread's function, and again after an unexpected error.

    A leadership ends with the error, so its state is not used again.
    """
    while not node.stopping.is_set():
        try:
            target(node)
        except Exception as error:  # pylint: disable=broad-exception-caught
            node.dependencies.log(
                "thread-failed",
                thread=threading.current_thread().name,
                error=repr(error),
                traceback=traceback.format_exc(),
            )
            node.stopping.wait(THREAD_RESTART_S)


def stop(node: nodes.CellNode) -> None:
    """Stops the threads of the node; its leases are left to expire."""
    node.stopping.set()
    with node.state.lock:
        node.state.lock.notify_all()
    leader = node.leader
    if leader is not None:
        leader_state.step_down(leader)
    for thread in node.threads:
        thread.join()


def leave(node: nodes.CellNode, timeout_s: float) -> bool:
    """Releases all slices and asks to be removed from the record.

    Args:
      node: The node.
      timeout_s: How long to try. The record can't change while the store is
        down.

    Returns:
      Whether the node owns no slice and has left the record (see
      `CellNode.is_removed`) within the time.
    """
    with node.state.lock:
        node.state.draining = True
        node.leaving = True
        node.state.lock.notify_all()
    deadline = node.dependencies.now() + timeout_s
    while node.dependencies.now() < deadline:
        if node.leader is None:
            control_loop.send_join_request(node)
        if node.is_removed:
            return True
        node.stopping.wait(LEAVE_RETRY_S)
    return False
