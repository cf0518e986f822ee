"""The contents of the status page and the gauges of a daemon."""

from waxwinglever_admission import gate
from waxwinglever_front import site as sites
from waxwinglever_model import limits
from waxwinglever_ownership import configs
from waxwinglever_ownership import directory


def unready_reason(site: sites.Site) -> str:
    """Returns why requests can't be routed, or '' if they can."""
    if site.closing:
        return "draining"
    if site.node is None:
        return "the backend server has not announced itself"
    if not configs.generations(site.book):
        return "no configuration accepted"
    if site.node.state.record is None:
        return "no heartbeat of a leader heard"
    return ""


def snapshot(site: sites.Site) -> dict:
    """Returns the daemon's status as JSON values."""
    _, summaries = directory.snapshot(site.lines)
    return {
        "node": site.me.node,
        "incarnation": site.me.incarnation,
        "zone": site.me.zone,
        "peer_address": site.me.peer_address,
        "http_address": site.me.http_address,
        "ready": not unready_reason(site),
        "generations": configs.generations(site.book),
        "config_errors": dict(site.book.errors),
        "zones_out": {
            tenant: sorted(configs.zones_out(site.book, tenant))
            for tenant in configs.generations(site.book)
        },
        "cell": cell_status(site),
        "gate": gate_status(site),
        "cells": [
            {
                "cell": summary.cell,
                "term": summary.term,
                "version": summary.version,
                "leader_address": summary.leader_address,
            }
            for summary in summaries
        ],
    }


def cell_status(site: sites.Site) -> dict | None:
    """Returns this node's view of its cell, or None before it joined."""
    node = site.node
    if node is None:
        return None
    state = node.state
    now = site.now()
    with state.lock:
        record = state.record
        held = [lease for lease in state.held.values() if lease.until > now]
        return {
            "cell": state.cell,
            "term": state.term,
            "leader": state.leader,
            "is_leader": node.leader is not None,
            "record_version": state.version,
            "members": [
                {
                    "node": member.node,
                    "zone": member.zone,
                    "address": member.http_address,
                }
                for member in (record.members if record else ())
            ],
            "slices": len(record.slices) if record else 0,
            "owned": len(held),
            "lease_ends_in_s": round(
                min((lease.until for lease in held), default=now) - now, 3
            ),
            "last_heard_s": round(now - state.last_heard, 3),
            "draining": state.draining,
        }


def gate_status(site: sites.Site) -> dict | None:
    """Returns the state of the backend server's gate, or None without one."""
    local = site.local
    if local is None:
        return None
    gate_state = gate.snapshot(local.gate)
    return {
        "backend": local.address,
        "state": local.state,
        "announced_s": round(site.now() - local.heard_s, 3),
        "is_present": is_present(site),
        "in_flight": gate_state.in_flight,
        "queued": gate_state.waiting,
        "limit": gate_state.limit,
        "suspects": gate_state.suspects,
        "convicted": gate_state.convicted,
    }


def is_present(site: sites.Site) -> bool:
    """Returns whether the backend server recently announced itself as ready."""
    local = site.local
    return (
        local is not None
        and local.state == "ready"
        and site.now() - local.heard_s < limits.BACKEND_ABSENCE_TIMEOUT_S
    )


def update_gauges(site: sites.Site) -> None:
    """Sets the gauges to the current state."""
    traffic_counters = site.traffic_counters
    for name, value in (
        ("control_sent_bytes", traffic_counters.sent_bytes),
        ("control_received_bytes", traffic_counters.received_bytes),
    ):
        site.metrics.set_gauge(name, value, {})
    cell = cell_status(site)
    if cell is not None:
        labels = {"cell": cell["cell"]}
        site.metrics.set_gauge("slices_owned", cell["owned"], labels)
        site.metrics.set_gauge("cell_term", cell["term"], labels)
        site.metrics.set_gauge("is_leader", int(cell["is_leader"]), labels)
    local = gate_status(site)
    if local is not None:
        site.metrics.set_gauge("gate_in_flight", local["in_flight"], {})
        site.metrics.set_gauge("gate_queued", local["queued"], {})
        site.metrics.set_gauge("gate_limit", local["limit"], {})
    for tenant, generation in configs.generations(site.book).items():
        site.metrics.set_gauge(
            "config_generation", generation, {"tenant": tenant}
        )
