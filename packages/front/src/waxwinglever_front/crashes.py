"""Tells the other daemons of a service what may crash a backend server."""

import threading

from waxwinglever_admission import gate
from waxwinglever_front import site as sites
from waxwinglever_model import exceptions
from waxwinglever_model import limits
from waxwinglever_peers import messages


def report(site: sites.Site, news: gate.CrashNews) -> None:
    """Sends suspects and convictions to the other members of the cell.

    It returns when each has them or can't be reached, so that a caller that
    sends its request again after the answer meets a daemon that knows.
    """
    if not news.suspects and not news.convicted:
        return
    site.log(
        "backend-crashed",
        suspects=list(news.suspects),
        convicted=list(news.convicted),
    )
    node = site.node
    record = node.state.record if node is not None else None
    if record is None:
        return
    message = messages.CrashReport(
        node.tenant,
        node.service,
        tuple(news.suspects),
        tuple(news.convicted),
    )

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
        gate.learn(
            local.gate, message.suspects, message.convicted, message.cleared
        )
