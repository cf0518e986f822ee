"""Finds what a new configuration of a tenant changes for requests.

Addresses changes whose effect isn't seen in a comparison of the texts, such as
a service that is left out, or a zone that gets no requests any more.
"""

from collections.abc import Callable, Iterable

from waxwinglever_model import findings
from waxwinglever_records import config


def compare(
    before: config.Config | None, after: config.Config
) -> list[findings.Difference]:
    """Returns the differences by service, zone and node.

    Args:
      before: The version until now, or None if there is none.
      after: The version from now on.
    """
    old_services = before.services if before else ()
    old_zones = before.zones if before else ()
    found = compare_named(
        "service",
        old_services,
        after.services,
        "served from now on",
        "no longer served: 404",
        service_effects,
    )
    found += compare_named(
        "zone",
        old_zones,
        after.zones,
        "new",
        "removed",
        zone_effects,
    )
    if before is None:
        return found
    if before.tenant != after.tenant:
        found.append(
            findings.Difference(
                "tenant",
                (after.tenant,),
                (f"another tenant instead of {before.tenant}",),
            )
        )
    for service in after.services:
        zones = [
            [zone.name for zone in version.allowed_zones(service.name)]
            for version in (before, after)
        ]
        if before.find_service(service.name) and zones[0] != zones[1]:
            effect = (
                f"may be placed in {', '.join(zones[1]) or 'no zone'} instead"
                f" of {', '.join(zones[0]) or 'no zone'}"
            )
            found.append(
                findings.Difference("placement of", (service.name,), (effect,))
            )
    for node in after.retired:
        if node not in before.retired:
            found.append(difference("node", node, "lost for good"))
    for node in before.retired:
        if node not in after.retired:
            found.append(difference("node", node, "no longer lost for good"))
    moves = [
        *number_effect(
            "cost of a move",
            before.placement.move_cost,
            after.placement.move_cost,
        ),
        *number_effect(
            "moves at a time",
            before.placement.max_moves,
            after.placement.max_moves,
        ),
    ]
    if moves:
        found.append(findings.Difference("placement", (), tuple(moves)))
    return found


def difference(kind: str, name: str, effect: str) -> findings.Difference:
    """Returns a difference with one effect."""
    return findings.Difference(kind, (name,), (effect,))


def compare_named(
    kind: str,
    before: Iterable,
    after: Iterable,
    added: str,
    removed: str,
    effects: Callable[[object, object], list[str]],
) -> list[findings.Difference]:
    """Returns the differences of entries that have a name."""
    old = {item.name: item for item in before}
    new = {item.name: item for item in after}
    found = []
    for name in old | new:
        if name not in old:
            found.append(difference(kind, name, added))
        elif name not in new:
            found.append(difference(kind, name, removed))
        elif old[name] != new[name]:
            found.append(
                findings.Difference(
                    kind, (name,), tuple(effects(old[name], new[name]))
                )
            )
    return found


def service_effects(before: config.Service, after: config.Service) -> list[str]:
    """Returns what changes for the requests to a service."""
    found = []
    if before.kind != after.kind:
        found.append(
            "each key goes to its owner from now on"
            if after.kind == config.KIND_KEYED
            else "any server may run any request from now on"
        )
    for label, old, new in (
        ("least servers", before.instances_min, after.instances_min),
        ("requests at once on a server", before.slots, after.slots),
        (
            "requests at once on a new server",
            before.cold_start.initial_slots,
            after.cold_start.initial_slots,
        ),
        (
            "cold start in seconds",
            before.cold_start.seconds,
            after.cold_start.seconds,
        ),
        ("timeout in ms", before.timeout_ms, after.timeout_ms),
    ):
        found += number_effect(label, old, new)
    old = {item.name: item.weight for item in before.classes}
    new = {item.name: item.weight for item in after.classes}
    for name in old | new:
        found += number_effect(
            f"weight of class {name}", old.get(name), new.get(name)
        )
    if before.checks_fences != after.checks_fences:
        found.append(
            "its servers check fences"
            if after.checks_fences
            else "its servers don't check fences"
        )
    return found or ["its classes are in another order"]


def zone_effects(before: config.Zone, after: config.Zone) -> list[str]:
    """Returns what changes for the requests to a zone."""
    found = []
    if before.state != after.state:
        found.append(
            "gets no new requests from now on"
            if after.state == config.ZONE_OUT
            else "gets requests from now on"
        )
    if before.region != after.region:
        found.append(f"region {after.region} instead of {before.region}")
    return found


def number_effect(
    label: str, before: float | None, after: float | None
) -> list[str]:
    """Returns the change of a number, if there is one."""
    if before == after:
        return []
    old, new = (
        "none" if number is None else f"{number:.12g}"
        for number in (before, after)
    )
    return [f"{label} {new} instead of {old}"]
