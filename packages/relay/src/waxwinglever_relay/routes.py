"""Routing configuration: routes by host and path, services and limits."""

import math
import threading
from collections.abc import Mapping

import attrs

from waxwinglever_model import exceptions

# Kinds of routes. DOWNLOAD stands for large responses, UPLOAD for large bodies.
SAFE = "safe"
UNSAFE = "unsafe"
UPLOAD = "upload"
DOWNLOAD = "download"
KINDS = (SAFE, UNSAFE, UPLOAD, DOWNLOAD)
# Kinds of requests that may be sent again after they may have run.
IDEMPOTENT_KINDS = frozenset((SAFE, DOWNLOAD))
# Whether requests are admitted, refused and placed by overload control.
OVERLOAD_ON = "on"
OVERLOAD_OFF = "off"
OVERLOAD_AUTO = "auto"
OVERLOAD_MODES = (OVERLOAD_ON, OVERLOAD_OFF, OVERLOAD_AUTO)
# After operators close a zone, its backend servers still get requests for this
# long. The platform allows 5 s, in which ranges are handed over.
CLOSED_ZONE_GRACE_S = 2.0


def is_finite(_, attribute: attrs.Attribute, value: float) -> None:
    """Validates that a number is finite; raises ValueError."""
    if not math.isfinite(value):
        raise ValueError(f"{attribute.name!r} must be finite, not {value}")


@attrs.frozen
class TrafficShare:
    """Share of a route's requests that goes to a service."""

    service: str
    weight: float = attrs.field(validator=[is_finite, attrs.validators.ge(0)])


@attrs.frozen
class Route:
    """Route of the requests to one host whose path begins with a prefix.

    Attributes:
      name: Name of the route.
      prefix: Prefix of the path; begins and ends with a slash.
      kind: One of KINDS. Only those of IDEMPOTENT_KINDS may run twice.
      shares: Services that the requests are split among.
      timeout_s: Longest time until the caller gets a response.
      target_s: Target latency.
      priority: 0 for the most urgent requests.
      max_attempts: Maximum number of backend servers that one request may be
        sent to.
      public: Whether requests need no API key.
    """

    name: str
    prefix: str = attrs.field(validator=attrs.validators.matches_re(r"/|/.*/"))
    kind: str = attrs.field(validator=attrs.validators.in_(KINDS))
    shares: tuple[TrafficShare, ...] = attrs.field(
        validator=attrs.validators.min_len(1)
    )
    timeout_s: float = attrs.field(
        validator=[is_finite, attrs.validators.gt(0)]
    )
    target_s: float = attrs.field(validator=[is_finite, attrs.validators.gt(0)])
    priority: int
    max_attempts: int = attrs.field(validator=attrs.validators.ge(1))
    public: bool = False


@attrs.frozen
class Service:
    """Configuration of a service.

    Attributes:
      name: Name of the service.
      keyed: Whether each of its shards is owned by one backend server.
      cold_start_rate_per_s: Requests a second that a backend server can handle
        during its cold start.
      health_path: Path at which its backend servers tell whether they are warm;
        '' if they don't.
    """

    name: str
    keyed: bool
    cold_start_rate_per_s: float
    health_path: str = ""


# For a configuration that doesn't name it.
DEFAULT_HEADER_TIMEOUT_S = 30.0


@attrs.frozen
class Limits:
    """Limits for callers.

    Attributes:
      header_bytes: Maximum size of all headers of a request.
      body_bytes: Maximum size of a body.
      idle_timeout_s: How long an idle connection stays open.
      header_timeout_s: How long the head of a request may take to arrive.
    """

    header_bytes: int = attrs.field(validator=attrs.validators.gt(0))
    body_bytes: int = attrs.field(validator=attrs.validators.ge(0))
    idle_timeout_s: float = attrs.field(
        validator=[is_finite, attrs.validators.gt(0)]
    )
    header_timeout_s: float = attrs.field(
        default=DEFAULT_HEADER_TIMEOUT_S,
        validator=[is_finite, attrs.validators.gt(0)],
    )


@attrs.frozen
class Tenant:
    """An organisation whose requests carry an API key.

    Attributes:
      name: Name of the tenant, which backend servers get in a header.
      api_keys: The keys that identify it; none if all are withdrawn.
      priority: Priority of its requests, in place of that of their routes.
      rate_per_s: Requests a second that all nodes together may run for it; 0
        for no limit.
      burst: Requests that may be run at once beyond that.
    """

    name: str = attrs.field(
        validator=attrs.validators.matches_re(r"[!-~]([ -~]*[!-~])?")
    )
    api_keys: frozenset[str] = attrs.field(
        repr=False,
        validator=attrs.validators.deep_iterable(
            attrs.validators.and_(
                attrs.validators.instance_of(str), attrs.validators.min_len(1)
            )
        ),
    )
    priority: int | None = None
    rate_per_s: float = attrs.field(
        default=0.0, validator=[is_finite, attrs.validators.ge(0)]
    )
    burst: float = attrs.field(
        default=0.0, validator=[is_finite, attrs.validators.ge(0)]
    )


@attrs.frozen
class RoutingConfig:
    """One version of the configuration.

    Attributes:
      version: Number of the version; a higher one replaces a lower one.
      hosts: Routes of each host, longest prefix first.
      services: Services by name.
      limits: Limits for callers.
      tenants: Tenants by name, or None if requests need no API key.
      has_downloads: Whether there is a route of the kind DOWNLOAD.
      tenants_by_key: Tenants by API key.
    """

    version: int
    hosts: Mapping[str, tuple[Route, ...]]
    services: Mapping[str, Service]
    limits: Limits
    tenants: Mapping[str, Tenant] | None = None
    has_downloads: bool = attrs.field(init=False)
    tenants_by_key: Mapping[str, Tenant] = attrs.field(init=False, repr=False)

    @has_downloads.default
    def find_downloads(self) -> bool:
        """Returns the value of has_downloads."""
        return any(
            route.kind == DOWNLOAD
            for host_routes in self.hosts.values()
            for route in host_routes
        )

    @tenants_by_key.default
    def index_keys(self) -> dict[str, Tenant]:
        """Returns the value of tenants_by_key."""
        return {
            key: tenant
            for tenant in (self.tenants or {}).values()
            for key in tenant.api_keys
        }


@attrs.define(eq=False)
class ActiveConfig:
    """The active configuration and the state of its traffic splits.

    Attributes:
      config: The active configuration, or None before the first.
      applied_version: Version of the last one whose application was completed.
      closed_zones: Zones whose backend servers get no new requests.
      closed_since_s: When each of them was closed.
      overload_mode: One of OVERLOAD_MODES, see is_overload_controlled.
      split_credits: Number of requests that a service is behind its weighted
        share, by the names of the route and the service.
    """

    config: RoutingConfig | None = None
    applied_version: int | None = None
    closed_zones: frozenset[str] = frozenset()
    closed_since_s: Mapping[str, float] = attrs.Factory(dict)
    overload_mode: str = OVERLOAD_AUTO
    split_credits: dict[tuple[str, str], float] = attrs.Factory(dict)
    lock: threading.Lock = attrs.Factory(threading.Lock)


def activate(active_config: ActiveConfig, config: RoutingConfig) -> bool:
    """Activates a configuration if its version is higher than the active one.

    Returns:
      Whether it was activated.
    """
    with active_config.lock:
        if (
            active_config.config is not None
            and config.version <= active_config.config.version
        ):
            return False
        active_config.config = config
        return True


def is_overload_controlled(active_config: ActiveConfig) -> bool:
    """Returns whether overload control is in force.

    In the mode OVERLOAD_AUTO it is while there are routes for downloads. Sizes
    of responses that differ by orders of magnitude make latencies that one node
    has seen a poor measure of load.
    """
    if active_config.overload_mode != OVERLOAD_AUTO:
        return active_config.overload_mode == OVERLOAD_ON
    config = active_config.config
    return config is not None and config.has_downloads


def close_zones(
    active_config: ActiveConfig, zones: frozenset[str], now_s: float
) -> None:
    """Sets the closed zones; those that were closed already stay so."""
    before = active_config.closed_since_s
    active_config.closed_since_s = {
        zone: before.get(zone, now_s) for zone in zones
    }
    active_config.closed_zones = zones


def is_evacuated(active_config: ActiveConfig, zone: str, now_s: float) -> bool:
    """Returns whether a zone's backend servers get no requests any more."""
    closed_s = active_config.closed_since_s.get(zone)
    return closed_s is not None and now_s - closed_s > CLOSED_ZONE_GRACE_S


def find_route(config: RoutingConfig, host: str, path: str) -> Route | None:
    """Returns the route with the longest matching prefix, or None."""
    for route in config.hosts.get(host, ()):
        if path.startswith(route.prefix):
            return route
    return None


def select_route(config: RoutingConfig, host: str, target: str) -> Route:
    """Returns the route of a request.

    Args:
      config: The configuration.
      host: Host that the caller has named, with or without a port.
      target: Path and query.

    Raises:
      UnknownService: No route matches.
    """
    path = target.partition("?")[0]
    name, _, port = host.lower().rpartition(":")
    route = find_route(config, name or port, path) or find_route(
        config, host.lower(), path
    )
    if route is None:
        raise exceptions.UnknownService(
            f"no route matches host {name or port!r} and this path",
            "check the host and the path, or add a route",
        )
    return route


def pick_service(active_config: ActiveConfig, route: Route) -> str:
    """Returns the next service of a route by smooth weighted round-robin.

    A random choice would deviate from the weights by several per cent within a
    few hundred requests.
    """
    if len(route.shares) == 1:
        return route.shares[0].service
    total = sum(share.weight for share in route.shares) or 1.0
    with active_config.lock:
        for share in route.shares:
            key = (route.name, share.service)
            active_config.split_credits[key] = (
                active_config.split_credits.get(key, 0.0) + share.weight / total
            )
        chosen = max(
            route.shares,
            key=lambda share: active_config.split_credits[
                route.name, share.service
            ],
        )
        active_config.split_credits[route.name, chosen.service] -= 1.0
        return chosen.service
