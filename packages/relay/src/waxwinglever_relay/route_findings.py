"""Finds entries and limits of a routing configuration that can't take effect.

Addresses configurations that daemons accept and that still don't do what was
meant: routes without requests, and limits that contradict each other.
"""

from collections.abc import Iterable, Iterator

from waxwinglever_model import findings
from waxwinglever_relay import memory_budget
from waxwinglever_relay import routes

# Kinds of entries, the first part of each location here. Names follow, and
# after them the attribute, if any.
HOST = "host"
ROUTE = "route"
SERVICE = "service"
TENANT = "tenant"
LIMITS = "limits"
# Host and prefix of a route.
RouteKey = tuple[str, str]


def find_all(
    config: routes.RoutingConfig,
    memory_bytes: float | None = None,
    threads: int = 0,
) -> list[findings.Finding]:
    """Returns all findings.

    Args:
      config: The configuration.
      memory_bytes: Memory of a node, or None if it isn't known.
      threads: Threads of a node; see memory_budget.divide.
    """
    found = list(host_findings(config))
    found += unknown_services(config)
    for host, host_routes in config.hosts.items():
        for route in host_routes:
            found += share_findings(host, route)
            found += limit_findings(host, route)
    found += unused_services(config)
    for tenant in (config.tenants or {}).values():
        found += tenant_findings(tenant)
    if memory_bytes is not None:
        found += body_findings(config.limits, memory_bytes, threads)
    return found


def warning(message: str, remedy: str, *location: str) -> findings.Finding:
    """Returns a finding with which a configuration is accepted."""
    return findings.Finding(findings.WARNING, location, message, remedy)


def base_host(host: str) -> str:
    """Returns the host that is looked up first; see routes.select_route."""
    name, _, port = host.rpartition(":")
    return name or port


def enclosing_prefixes(prefix: str) -> Iterator[str]:
    """Yields the prefixes that match a prefix's paths, longest first."""
    end = len(prefix)
    while end > 0:
        yield prefix[:end]
        end = prefix.rfind("/", 0, end - 1) + 1


def never_matching(
    config: routes.RoutingConfig,
) -> dict[tuple[str, int], tuple[str, str]]:
    """Returns why routes can't match: message and remedy by host and index."""
    found = {}
    prefixes = {
        host: {route.prefix for route in host_routes}
        for host, host_routes in config.hosts.items()
    }
    for host, host_routes in config.hosts.items():
        base = base_host(host)
        hiding = prefixes.get(base, set()) if base != host else set()
        earlier: dict[str, str] = {}
        for index, route in enumerate(host_routes):
            reason = None
            if host != host.lower():
                reason = (
                    f"never matches, as {host!r} isn't in lower case",
                    f"use {host.lower()!r}",
                )
            elif "?" in route.prefix:
                reason = (
                    "never matches, as a path has no '?'",
                    "remove the query from the prefix",
                )
            for prefix in enclosing_prefixes(route.prefix):
                if reason is None and prefix in hiding:
                    reason = (
                        f"never matches, as {base}{prefix} is looked up first",
                        "remove it, or the entry without the port",
                    )
                if reason is None and prefix in earlier:
                    reason = (
                        f"never matches, as route {earlier[prefix]!r} with the"
                        f" prefix {prefix} comes first",
                        "remove one of them or correct the prefix",
                    )
            if reason is not None:
                found[host, index] = reason
            earlier.setdefault(route.prefix, route.name)
    return found


def reachable_routes(
    config: routes.RoutingConfig,
) -> dict[RouteKey, routes.Route]:
    """Returns the routes that requests can be routed by."""
    hidden = never_matching(config)
    return {
        (host, route.prefix): route
        for host, host_routes in config.hosts.items()
        for index, route in enumerate(host_routes)
        if (host, index) not in hidden
    }


def host_findings(
    config: routes.RoutingConfig,
) -> Iterator[findings.Finding]:
    """Yields routes that can't match, and hosts without a route."""
    for (host, index), reason in never_matching(config).items():
        yield warning(*reason, ROUTE, host, config.hosts[host][index].prefix)
    for host, host_routes in config.hosts.items():
        if not host_routes:
            yield warning(
                "has no route, so that all requests get 404",
                "add a route or remove the host",
                HOST,
                host,
            )


def unknown_services(
    config: routes.RoutingConfig,
) -> Iterator[findings.Finding]:
    """Yields services that routes name and the configuration lacks."""
    for host, host_routes in config.hosts.items():
        for route in host_routes:
            for share in route.shares:
                if share.service not in config.services:
                    yield findings.Finding(
                        findings.ERROR,
                        (ROUTE, host, route.prefix),
                        f"route {route.name} refers to the unknown service"
                        f" {share.service}",
                        "add the service or correct the route",
                    )


def share_findings(
    host: str, route: routes.Route
) -> Iterator[findings.Finding]:
    """Yields shares of a traffic split that get no requests."""
    if len(route.shares) == 1:
        return
    location = ROUTE, host, route.prefix, "shares"
    if not any(share.weight for share in route.shares):
        yield warning(
            f"all weights are 0, so that {route.shares[0].service} gets all"
            " requests",
            "set the weights",
            *location,
        )
        return
    for share in route.shares:
        if not share.weight:
            yield warning(
                f"the weight of service {share.service} is 0, so that it gets"
                " no requests",
                "remove the share or set its weight",
                *location,
            )


def limit_findings(
    host: str, route: routes.Route
) -> Iterator[findings.Finding]:
    """Yields limits of a route that contradict each other."""
    if route.timeout_s < route.target_s:
        yield warning(
            f"the timeout of {route.timeout_s * 1000:g} ms is below the target"
            f" of {route.target_s * 1000:g} ms",
            "raise the timeout or lower the target",
            *(ROUTE, host, route.prefix, "timeout_s"),
        )
    if route.max_attempts > 1 and route.kind not in routes.IDEMPOTENT_KINDS:
        yield warning(
            f"{route.max_attempts} attempts, but a request of the kind"
            f" {route.kind} is sent again only if a server refused it",
            "use 1, or a kind that may run twice",
            *(ROUTE, host, route.prefix, "max_attempts"),
        )


def unused_services(
    config: routes.RoutingConfig,
) -> Iterator[findings.Finding]:
    """Yields services that no route names."""
    used = {
        share.service
        for host_routes in config.hosts.values()
        for route in host_routes
        for share in route.shares
    }
    for name in config.services:
        if name not in used:
            yield warning(
                "no route names this service",
                "add a route or remove the service",
                SERVICE,
                name,
            )


def tenant_findings(tenant: routes.Tenant) -> Iterable[findings.Finding]:
    """Returns limits of a tenant that contradict each other."""
    location = TENANT, tenant.name, "burst"
    if not tenant.rate_per_s and tenant.burst:
        return [
            warning(
                f"a burst of {tenant.burst:g} has no effect with a rate of 0,"
                " which is no limit",
                "set the rate or remove the burst",
                *location,
            )
        ]
    if tenant.rate_per_s and 0 < tenant.burst < 1:
        return [
            warning(
                f"a burst of {tenant.burst:g} is below one request, so that"
                " nodes use another one",
                "use 1 or more",
                *location,
            )
        ]
    return []


def body_findings(
    limits: routes.Limits, memory_bytes: float, threads: int
) -> Iterable[findings.Finding]:
    """Returns a body limit that the memory of a node has no room for."""
    division = memory_budget.divide(memory_bytes, threads)
    room = int(division.budget_bytes * memory_budget.BODIES_SHARE)
    if limits.body_bytes <= max(room, memory_budget.SMALL_BYTES):
        return []
    return [
        warning(
            f"bodies of {limits.body_bytes} bytes are allowed, but a node with"
            f" {memory_bytes / 1e6:g} MB has room for {room}",
            "lower the limit or give the nodes more memory",
            LIMITS,
            "body_bytes",
        )
    ]
