"""Exchanges reports on crashes with the other daemons of a service."""

import threading

from waxwinglever_admission import gate
from waxwinglever_front import site as sites
from waxwinglever_model import exceptions
from waxwinglever_model import limits
from waxwinglever_peers import messages


def report_crash(site: sites.Site, verdict: gate.CrashVerdict) -> None:
    """Sends new suspects and convicted requests to the members of the cell.

    It returns once each member has the report or can't be reached, so that a
    caller that retries after the reply reaches a daemon that has the report.
    """
    if not verdict.suspects and not verdict.convicted:
        return
    site.log(
        "backend-crashed",
        suspects=list(verdict.suspects),
        convicted=list(verdict.convicted),
    )
    node = site.node
    broadcast(
        site,
        messages.CrashReport(
            node.tenant,
            node.service,
            suspects=verdict.suspects,
            convicted=verdict.convicted,
        ),
    )


def report_cleared(site: sites.Site, fingerprint: str) -> None:
    """Reports to the other members that a suspect has completed."""
    node = site.node
    broadcast(
        site,
        messages.CrashReport(node.tenant, node.service, cleared=(fingerprint,)),
    )


def broadcast(site: sites.Site, message: messages.CrashReport) -> None:
    """Sends a report to the other members of the cell in parallel."""
    record = site.node.state.record
    if record is None:
        return

    def send(address: str) -> None:
        try:
            site.peers.call(address, message, limits.PEER_TIMEOUT_S)
        except exceptions.PeerUnavailable:
            site.log("crash-report-failed", address=address)

    threads = [
        threading.Thread(target=send, args=(member.peer_address,), daemon=True)
        for member in record.members
        if member.node != site.me.node
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def learn(site: sites.Site, message: messages.CrashReport) -> None:
    """Applies a crash report of another daemon to the local gate."""
    local = site.local
    if local is not None and sites.is_own_service(
        site, message.tenant, message.service
    ):
        gate.apply_crash_report(
            local.gate, message.suspects, message.convicted, message.cleared
        )
