"""Finds what a new version of a routing configuration changes for requests.

Addresses changes whose effect on the traffic of other routes isn't seen in the
text of the configuration, such as a route that takes paths from another one.
"""

from collections.abc import Callable, Mapping

import attrs

from waxwinglever_model import findings
from waxwinglever_relay import route_findings
from waxwinglever_relay import routes

RouteKey = route_findings.RouteKey
# Paths that a route gains or loses are listed up to this number.
MAX_LISTED_PATHS = 3


@attrs.frozen
class Version:
    """A version with its index of routes.

    Attributes:
      config: The configuration.
      routes_by_key: The routes that requests can be routed by.
    """

    config: routes.RoutingConfig
    routes_by_key: Mapping[RouteKey, routes.Route]


def compare(
    before: routes.RoutingConfig, after: routes.RoutingConfig
) -> list[findings.Difference]:
    """Returns the differences by route, service and tenant.

    A request that either version routes by a route that isn't listed is routed
    by it, unchanged, in the other version too. An API key is never named.
    """
    old = Version(before, route_findings.reachable_routes(before))
    new = Version(after, route_findings.reachable_routes(after))
    return [
        *compare_routes(old, new),
        *compare_entries(
            route_findings.SERVICE,
            before.services,
            after.services,
            service_effects,
        ),
        *compare_tenants(before.tenants, after.tenants),
        *compare_limits(before.limits, after.limits),
    ]


def find_key(version: Version, host: str, prefix: str) -> RouteKey | None:
    """Returns the route of the requests to the path that equals a prefix."""
    for name in (route_findings.base_host(host), host):
        for enclosing in route_findings.enclosing_prefixes(prefix):
            if (name, enclosing) in version.routes_by_key:
                return name, enclosing
    return None


def compare_routes(old: Version, new: Version) -> list[findings.Difference]:
    """Returns the differences by route."""
    effects: dict[RouteKey, list[str]] = {}
    gained: dict[RouteKey, list[str]] = {}
    lost: dict[RouteKey, list[str]] = {}
    keys_apply = old.config.tenants is not None is not new.config.tenants
    hosts_with_port = group_by_base(old, new)
    for key in old.routes_by_key | new.routes_by_key:
        before = old.routes_by_key.get(key)
        after = new.routes_by_key.get(key)
        if before and after:
            if before != after:
                effects[key] = route_effects(before, after, keys_apply) or [
                    "no effect on requests"
                ]
            continue
        host, prefix = key
        effects[key] = moved_effects(old, new, key, keys_apply)
        source, target, other = (
            (new, old, lost) if after else (old, new, gained)
        )
        for name in (host, *hosts_with_port.get(host, ())):
            if find_key(source, name, prefix) == key:
                affected = find_key(target, name, prefix)
                if affected in source.routes_by_key:
                    other.setdefault(affected, []).append(name + prefix)
    for key, paths in gained.items():
        text = "gets the requests to " + list_paths(paths) + " too"
        effects.setdefault(key, []).append(text)
    for key, paths in lost.items():
        text = "no longer gets the requests to " + list_paths(paths)
        effects.setdefault(key, []).append(text)
    return [
        findings.Difference(route_findings.ROUTE, key, tuple(items))
        for key, items in effects.items()
    ]


def group_by_base(old: Version, new: Version) -> dict[str, list[str]]:
    """Returns the hosts that are looked up after another one, by that one."""
    groups: dict[str, list[str]] = {}
    for host in old.config.hosts | new.config.hosts:
        base = route_findings.base_host(host)
        if base != host:
            groups.setdefault(base, []).append(host)
    return groups


def list_paths(paths: list[str]) -> str:
    """Returns the first paths of a list, and the number of the others."""
    text = ", ".join(paths[:MAX_LISTED_PATHS])
    left = len(paths) - MAX_LISTED_PATHS
    return f"{text} and {left} others" if left > 0 else text


def moved_effects(
    old: Version, new: Version, key: RouteKey, keys_apply: bool
) -> list[str]:
    """Returns the effects of a route that only one version has."""
    before_key = find_key(old, *key)
    after_key = find_key(new, *key)
    before = old.routes_by_key.get(before_key)
    after = new.routes_by_key.get(after_key)
    if key in new.routes_by_key:
        if before is None:
            return [f"served by {describe_shares(after)} from now on: no 404"]
        start = f"takes its requests from {''.join(before_key)}"
    else:
        if after is None:
            return ["no longer served: 404"]
        start = f"moves to {''.join(after_key)}"
    return [start, *route_effects(before, after, keys_apply)]


def describe_shares(route: routes.Route) -> str:
    """Returns the services of a route as text."""
    if len(route.shares) == 1:
        return f"service {route.shares[0].service}"
    return "services " + ", ".join(
        f"{share.service} (weight {share.weight:g})" for share in route.shares
    )


def route_effects(
    before: routes.Route, after: routes.Route, keys_apply: bool
) -> list[str]:
    """Returns what changes for requests that move between two routes.

    Args:
      before: Their route until now.
      after: Their route from now on.
      keys_apply: Whether both versions have tenants.
    """
    found = []
    if describe_shares(before) != describe_shares(after):
        found.append(f"moves to {describe_shares(after)}")
    if before.kind != after.kind:
        found.append(f"kind {after.kind} instead of {before.kind}")
        was_idempotent = before.kind in routes.IDEMPOTENT_KINDS
        is_idempotent = after.kind in routes.IDEMPOTENT_KINDS
        if is_idempotent and not was_idempotent:
            found.append("may run twice from now on")
        elif was_idempotent and not is_idempotent:
            found.append("runs once at most from now on")
    if before.public != after.public:
        if not keys_apply:
            found.append(f"public: {yes_or_no(after.public)}")
        elif after.public:
            found.append("needs no API key from now on")
        else:
            found.append("needs an API key from now on")
    for name, label, factor in (
        ("timeout_s", "timeout in ms", 1000),
        ("target_s", "target in ms", 1000),
        ("priority", "priority", 1),
        ("max_attempts", "attempts", 1),
    ):
        found += number_effect(
            label,
            getattr(before, name) * factor,
            getattr(after, name) * factor,
        )
    if before.name != after.name:
        found.append(f"named {after.name} instead of {before.name}")
    return found


def yes_or_no(value: bool) -> str:
    """Returns a truth value as a word."""
    return "yes" if value else "no"


def number_effect(
    label: str, before: float | None, after: float | None
) -> list[str]:
    """Returns the change of a number, if there is one."""
    if before == after:
        return []
    return [f"{label} {describe(after)} instead of {describe(before)}"]


def describe(number: float | None) -> str:
    """Returns a number as text."""
    return "none" if number is None else f"{number:.12g}"


def compare_entries(
    kind: str,
    before: Mapping[str, object],
    after: Mapping[str, object],
    effects: Callable[[object | None, object | None], list[str]],
) -> list[findings.Difference]:
    """Returns the differences of entries that are identified by a name."""
    return [
        findings.Difference(
            kind, (name,), tuple(effects(before.get(name), after.get(name)))
        )
        for name in before | after
        if before.get(name) != after.get(name)
    ]


def service_effects(
    before: routes.Service | None, after: routes.Service | None
) -> list[str]:
    """Returns what changes for the requests to a service."""
    if before is None:
        return ["new"]
    if after is None:
        return ["removed: its servers get no requests"]
    found = []
    if before.keyed != after.keyed:
        found.append(
            "each key goes to its owner from now on"
            if after.keyed
            else "any server may get any request from now on"
        )
    found += number_effect(
        "requests a second to a cold server",
        before.cold_start_rate_per_s,
        after.cold_start_rate_per_s,
    )
    if before.health_path != after.health_path:
        found.append(
            f"asked at {after.health_path} whether it is warm"
            if after.health_path
            else "no longer asked whether it is warm"
        )
    return found


def compare_tenants(
    before: Mapping[str, routes.Tenant] | None,
    after: Mapping[str, routes.Tenant] | None,
) -> list[findings.Difference]:
    """Returns the differences by tenant."""
    found = compare_entries(
        route_findings.TENANT, before or {}, after or {}, tenant_effects
    )
    if (before is None) != (after is None):
        verb = "need no" if after is None else "need an"
        found.insert(
            0,
            findings.Difference(
                "tenants",
                (),
                (f"routes that aren't public {verb} API key from now on",),
            ),
        )
    return found


def tenant_effects(
    before: routes.Tenant | None, after: routes.Tenant | None
) -> list[str]:
    """Returns what changes for a tenant; never names a key."""
    if before is None:
        return [f"new, with {len(after.api_keys)} API keys"]
    if after is None:
        return ["removed: requests with its API keys get 401"]
    found = []
    withdrawn = len(before.api_keys - after.api_keys)
    added = len(after.api_keys - before.api_keys)
    if withdrawn:
        found.append(f"{withdrawn} API keys withdrawn: they get 401")
    if added:
        found.append(f"{added} API keys added")
    found += number_effect("priority", before.priority, after.priority)
    found += number_effect(
        "requests a second (0: no limit)", before.rate_per_s, after.rate_per_s
    )
    return found + number_effect("burst", before.burst, after.burst)


def compare_limits(
    before: routes.Limits, after: routes.Limits
) -> list[findings.Difference]:
    """Returns the difference of the limits, if there is one."""
    effects = []
    for name, label, factor in (
        ("header_bytes", "bytes of a head", 1),
        ("body_bytes", "bytes of a body", 1),
        ("idle_timeout_s", "ms that an idle connection stays open", 1000),
        ("header_timeout_s", "ms for a head to arrive", 1000),
    ):
        effects += number_effect(
            label,
            getattr(before, name) * factor,
            getattr(after, name) * factor,
        )
    if not effects:
        return []
    return [findings.Difference(route_findings.LIMITS, (), tuple(effects))]
