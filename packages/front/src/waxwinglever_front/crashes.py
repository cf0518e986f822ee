"""Tells the other daemons of a service what may crash a backend server."""

import threading

from waxwinglever_admission import gate
from waxwinglever_front import site as sites
from waxwinglever_model import exceptions
from waxwinglever_model import limits
from waxwinglever_peers import messages


def report(site: sites.Site, verdict: gate.CrashVerdict) -> None:
    """Sends suspects and convictions to the other members of the cell.

    It returns when each has them or can't be reached, so that a caller that
    sends its request again after the answer meets a daemon that knows.
    """
    if not verdict.suspects and not verdict.convicted:
        return
    site.log(
        "backend-crashed",
        suspects=list(verdict.suspects),
        convicted=list(verdict.convicted),
    )
    node = site.node
    tell_all(
        site,
        messages.CrashReport(
            node.tenant,
            node.service,
            suspects=verdict.suspects,
            convicted=verdict.convicted,
        ),
    )


def report_cleared(site: sites.Site, fingerprint: str) -> None:
    """Tells the other members that a suspect has completed."""
    node = site.node
    tell_all(
        site,
        messages.CrashReport(node.tenant, node.service, cleared=(fingerprint,)),
    )


def tell_all(site: sites.Site, message: messages.CrashReport) -> None:
    """Sends a report to the other members of the cell, all at once."""
    record = site.node.state.record
    if record is None:
        return

    def tell(address: str) -> None:
        try:
            site.peers.call(address, message, limits.PEER_TIMEOUT_S)
        except exceptions.PeerUnavailable:
            site.log("crash-report-failed", address=address)

    threads = [
        threading.Thread(target=tell, args=(member.peer_address,), daemon=True)
        for member in record.members
        if member.node != site.me.node
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def learn(site: sites.Site, message: messages.CrashReport) -> None:
    """Takes over the suspects that another daemon reports."""
    local = site.local
    if local is not None and sites.is_own_service(
        site, message.tenant, message.service
    ):
        gate.apply_crash_report(
            local.gate, message.suspects, message.convicted, message.cleared
        )
