"""The daemon's copy of each tenant's active configuration."""

import threading
from collections.abc import Iterable

import attrs

from waxwinglever_model import exceptions
from waxwinglever_ownership import record_planning
from waxwinglever_peers import messages
from waxwinglever_records import config


@attrs.define(eq=False)
class ConfigCache:
    """Active configurations; `lock` guards all attributes.

    Attributes:
      configs: Active configuration, by tenant.
      values: Stored value of each configuration, to be sent to other daemons.
      errors: Why the last rejected value is not active, by tenant.
      lock: Notified when a configuration becomes active.
    """

    configs: dict[str, config.Config] = attrs.Factory(dict)
    values: dict[str, str] = attrs.Factory(dict)
    errors: dict[str, str] = attrs.Factory(dict)
    lock: threading.Condition = attrs.Factory(threading.Condition)


def apply_if_newer(cache: ConfigCache, tenant: str, value: str) -> bool:
    """Activates a stored value if its generation is higher.

    If the value is invalid, the active configuration stays, and the error is
    kept in `errors`.

    Returns:
      Whether the active configuration changed.
    """
    with cache.lock:
        try:
            newer = config.parse_if_newer(cache.configs.get(tenant), value)
        except exceptions.InvalidInput as error:
            cache.errors[tenant] = str(error)
            return False
        if newer is None:
            return False
        if newer.tenant != tenant:
            cache.errors[tenant] = (
                f"the configuration is of tenant {newer.tenant!r}; write it"
                f" under {config.config_key(newer.tenant)!r}"
            )
            return False
        cache.configs[tenant] = newer
        cache.values[tenant] = value
        cache.errors.pop(tenant, None)
        cache.lock.notify_all()
        return True


def generations(cache: ConfigCache) -> dict[str, int]:
    """Returns the active generation, by tenant."""
    with cache.lock:
        return {
            tenant: item.generation for tenant, item in cache.configs.items()
        }


def updates_for(
    cache: ConfigCache, known: dict[str, int], tenants: Iterable[str]
) -> tuple[messages.ConfigUpdate, ...]:
    """Returns the configurations that are newer than those of a receiver.

    Args:
      cache: The configurations.
      known: Generation that the receiver has, by tenant.
      tenants: Names of the tenants to look at.
    """
    with cache.lock:
        return tuple(
            messages.ConfigUpdate(
                tenant, cache.configs[tenant].generation, cache.values[tenant]
            )
            for tenant in tenants
            if tenant in cache.configs
            and cache.configs[tenant].generation > known.get(tenant, 0)
        )


def find_service(
    cache: ConfigCache, tenant: str, service: str
) -> config.Service | None:
    """Returns a service of the active configuration, or None."""
    with cache.lock:
        current = cache.configs.get(tenant)
    if current is None:
        return None
    for item in current.services:
        if item.name == service:
            return item
    return None


def excluded_zones(cache: ConfigCache, tenant: str) -> frozenset[str]:
    """Returns the zones that the operators took out of service."""
    with cache.lock:
        current = cache.configs.get(tenant)
    if current is None:
        return frozenset()
    return frozenset(zone.name for zone in current.zones if zone.state == "out")


def constraints_for(
    cache: ConfigCache, tenant: str, service: str
) -> record_planning.PlacementConstraints | None:
    """Returns the placement constraints of a service, or None if unknown."""
    item = find_service(cache, tenant, service)
    if item is None:
        return None
    with cache.lock:
        current = cache.configs[tenant]
    allowed = frozenset()
    for rule in current.placement.rules:
        if rule.service == service:
            allowed = frozenset(rule.zones)
    return record_planning.PlacementConstraints(
        keyed=item.kind == "keyed",
        excluded_zones=excluded_zones(cache, tenant),
        allowed_zones=allowed,
        retired=frozenset(current.retired),
        move_cost=current.placement.move_cost,
        max_moves=current.placement.max_moves,
    )
