"""The contents of the status page and the gauges of a daemon."""

from waxwinglever_admission import gate
from waxwinglever_front import request_context
from waxwinglever_model import limits
from waxwinglever_ownership import config_cache
from waxwinglever_ownership import directory


def unready_reason(context: request_context.RequestContext) -> str:
    """Returns why requests can't be routed, or '' if they can."""
    if context.is_draining:
        return "draining"
    if context.node is None:
        return "the backend server has not announced itself"
    if not config_cache.generations(context.config_cache):
        return "no configuration accepted"
    if context.node.state.record is None:
        return "no heartbeat of a leader heard"
    return ""


def snapshot(context: request_context.RequestContext) -> dict:
    """Returns the daemon's status as JSON values."""
    _, summaries = directory.snapshot(context.cell_directory)
    return {
        "node": context.local_member.node,
        "incarnation": context.local_member.incarnation,
        "zone": context.local_member.zone,
        "peer_address": context.local_member.peer_address,
        "http_address": context.local_member.http_address,
        "ready": not unready_reason(context),
        "generations": config_cache.generations(context.config_cache),
        "config_errors": dict(context.config_cache.errors),
        "zones_out": {
            tenant: sorted(
                config_cache.excluded_zones(context.config_cache, tenant)
            )
            for tenant in config_cache.generations(context.config_cache)
        },
        "cell": cell_status(context),
        "gate": gate_status(context),
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


def cell_status(context: request_context.RequestContext) -> dict | None:
    """Returns this node's view of its cell, or None before it joined."""
    node = context.node
    if node is None:
        return None
    state = node.state
    now = context.now()
    with state.lock:
        record = state.record
        held = [
            lease for lease in state.leases.values() if lease.expires_at_s > now
        ]
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
                min((lease.expires_at_s for lease in held), default=now) - now,
                3,
            ),
            "last_heard_s": round(now - state.last_heartbeat_s, 3),
            "draining": state.draining,
        }


def gate_status(context: request_context.RequestContext) -> dict | None:
    """Returns the state of the backend server's gate, or None without one."""
    local_backend = context.local_backend
    if local_backend is None:
        return None
    gate_state = gate.snapshot(local_backend.gate)
    return {
        "backend": local_backend.address,
        "state": local_backend.state,
        "announced_s": round(context.now() - local_backend.last_announced_s, 3),
        "is_present": backend_is_ready(context),
        "in_flight": gate_state.in_flight,
        "queued": gate_state.waiting,
        "limit": gate_state.limit,
        "suspects": gate_state.suspects,
        "convicted": gate_state.convicted,
    }


def backend_is_ready(context: request_context.RequestContext) -> bool:
    """Returns whether the backend server recently announced itself as ready."""
    local_backend = context.local_backend
    return (
        local_backend is not None
        and local_backend.state == "ready"
        and context.now() - local_backend.last_announced_s
        < limits.BACKEND_ABSENCE_TIMEOUT_S
    )


def update_gauges(context: request_context.RequestContext) -> None:
    """Sets the gauges to the current state."""
    traffic_counters = context.traffic_counters
    for name, value in (
        ("control_sent_bytes", traffic_counters.sent_bytes),
        ("control_received_bytes", traffic_counters.received_bytes),
    ):
        context.metrics.set_gauge(name, value, {})
    cell = cell_status(context)
    if cell is not None:
        labels = {"cell": cell["cell"]}
        context.metrics.set_gauge("slices_owned", cell["owned"], labels)
        context.metrics.set_gauge("cell_term", cell["term"], labels)
        context.metrics.set_gauge("is_leader", int(cell["is_leader"]), labels)
    local_backend = gate_status(context)
    if local_backend is not None:
        context.metrics.set_gauge(
            "gate_in_flight", local_backend["in_flight"], {}
        )
        context.metrics.set_gauge("gate_queued", local_backend["queued"], {})
        context.metrics.set_gauge("gate_limit", local_backend["limit"], {})
    for tenant, generation in config_cache.generations(
        context.config_cache
    ).items():
        context.metrics.set_gauge(
            "config_generation", generation, {"tenant": tenant}
        )
