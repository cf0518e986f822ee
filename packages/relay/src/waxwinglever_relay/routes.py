"""The configuration that requests are routed by."""

import threading
from collections.abc import Mapping

import attrs

# What may happen to a request that has been sent to a backend server.
SAFE = "safe"
UNSAFE = "unsafe"
UPLOAD = "upload"
KINDS = (SAFE, UNSAFE, UPLOAD)


@attrs.frozen
class Share:
    """A service that gets a share of a route's requests."""

    service: str
    weight: float = attrs.field(validator=attrs.validators.ge(0))


@attrs.frozen
class Route:
    """Requests of one host whose path begins with a prefix.

    Attributes:
      name: Name of the route.
      prefix: Prefix of the path; begins and ends with a slash.
      kind: SAFE, UNSAFE or UPLOAD. Only SAFE requests may run twice.
      shares: Services that the requests go to.
      timeout_s: Longest time that a caller may be kept waiting.
      target_s: Time within which an answer is worth most.
      rank: 0 for the most urgent.
      max_attempts: Backend servers that one request may be sent to.
    """

    name: str
    prefix: str = attrs.field(validator=attrs.validators.matches_re(r"/|/.*/"))
    kind: str = attrs.field(validator=attrs.validators.in_(KINDS))
    shares: tuple[Share, ...] = attrs.field(
        validator=attrs.validators.min_len(1)
    )
    timeout_s: float = attrs.field(validator=attrs.validators.gt(0))
    target_s: float = attrs.field(validator=attrs.validators.gt(0))
    rank: int
    max_attempts: int = attrs.field(validator=attrs.validators.ge(1))


@attrs.frozen
class Service:
    """What the configuration says of a service.

    Attributes:
      name: Name of the service.
      keyed: Whether its shards are owned by one backend server each.
      cold_rate: Requests a second that a cold backend server bears.
    """

    name: str
    keyed: bool
    cold_rate: float


@attrs.frozen
class Limits:
    """What callers may send, and how slowly.

    Attributes:
      header_bytes: Largest block of headers.
      body_bytes: Largest body.
      idle_timeout_s: How long an unused connection stays open.
    """

    header_bytes: int
    body_bytes: int
    idle_timeout_s: float


@attrs.frozen
class Config:
    """One version of the configuration.

    Attributes:
      version: Number of the version; a higher one replaces a lower one.
      hosts: Routes of each host, longest prefix first.
      services: Services by name.
      limits: Limits for callers.
    """

    version: int
    hosts: Mapping[str, tuple[Route, ...]]
    services: Mapping[str, Service]
    limits: Limits


@attrs.define(eq=False)
class Book:
    """The configuration in force.

    Attributes:
      config: The newest version, or None before the first.
      closed_zones: Zones whose backend servers get no new work.
      balance: How far each share of a route is behind its weight.
    """

    config: Config | None = None
    closed_zones: frozenset[str] = frozenset()
    balance: dict[tuple[str, str], float] = attrs.Factory(dict)
    lock: threading.Lock = attrs.Factory(threading.Lock)


def accept(book: Book, config: Config) -> bool:
    """Takes a configuration into force unless it is old; never goes back."""
    with book.lock:
        if book.config is not None and config.version <= book.config.version:
            return False
        book.config = config
        return True


def find(config: Config, host: str, path: str) -> Route | None:
    """Returns the route with the longest prefix of the path, or None."""
    for route in config.hosts.get(host, ()):
        if path.startswith(route.prefix):
            return route
    return None


def pick_service(book: Book, route: Route) -> str:
    """Returns the service whose share of the route is furthest behind.

    Drawing by chance would be off by several per cent within a few hundred
    requests.
    """
    if len(route.shares) == 1:
        return route.shares[0].service
    total = sum(share.weight for share in route.shares) or 1.0
    with book.lock:
        for share in route.shares:
            key = (route.name, share.service)
            book.balance[key] = (
                book.balance.get(key, 0.0) + share.weight / total
            )
        chosen = max(
            route.shares,
            key=lambda share: book.balance[route.name, share.service],
        )
        book.balance[route.name, chosen.service] -= 1.0
        return chosen.service
