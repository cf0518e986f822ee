"""Exchanges reports on crashes with the other daemons of a service."""

import threading

from waxwinglever_admission import gate
from waxwinglever_admission import gate_state
from waxwinglever_front import request_context
from waxwinglever_model import exceptions
from waxwinglever_model import limits
from waxwinglever_peers import messages


def report_crash(
    context: request_context.RequestContext, verdict: gate_state.CrashVerdict
) -> None:
    """Sends new suspects and convicted requests to the members of the cell.

    It returns once each member has the report or can't be reached, so that a
    caller that retries after the response reaches a daemon that has the report.
    """
    if not verdict.suspects and not verdict.convicted:
        return
    context.log(
        "backend-crashed",
        suspects=list(verdict.suspects),
        convicted=list(verdict.convicted),
    )
    node = context.node
    broadcast(
        context,
        messages.CrashReport(
            node.tenant,
            node.service,
            suspects=verdict.suspects,
            convicted=verdict.convicted,
        ),
    )


def report_cleared(
    context: request_context.RequestContext, fingerprint: str
) -> None:
    """Reports to the other members that a suspect has completed."""
    node = context.node
    broadcast(
        context,
        messages.CrashReport(node.tenant, node.service, cleared=(fingerprint,)),
    )


def broadcast(
    context: request_context.RequestContext, message: messages.CrashReport
) -> None:
    """Sends a report to the other members of the cell in parallel."""
    record = context.node.state.record
    if record is None:
        return

    def send(address: str) -> None:
        try:
            context.peers.call(address, message, limits.PEER_TIMEOUT_S)
        except exceptions.PeerUnavailable:
            context.log("crash-report-failed", address=address)

    threads = [
        threading.Thread(target=send, args=(member.peer_address,), daemon=True)
        for member in record.members
        if member.node != context.local_member.node
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def apply_report(
    context: request_context.RequestContext, message: messages.CrashReport
) -> None:
    """Applies a crash report of another daemon to the local gate."""
    local_backend = context.local_backend
    if local_backend is not None and request_context.is_own_service(
        context, message.tenant, message.service
    ):
        gate.apply_crash_report(
            local_backend.gate,
            message.suspects,
            message.convicted,
            message.cleared,
        )
