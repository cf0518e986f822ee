"""The daemon's copy of each tenant's accepted configuration."""

import threading
from collections.abc import Iterable

import attrs

from waxwinglever_model import exceptions
from waxwinglever_ownership import changes
from waxwinglever_peers import messages
from waxwinglever_records import config


@attrs.define(eq=False)
class ConfigBook:
    """Accepted configurations; `lock` guards all attributes.

    Attributes:
      configs: Configuration in force, by tenant.
      values: Stored value of each configuration, to be sent to other daemons.
      errors: Why the last rejected value is not in force, by tenant.
      lock: Notified when a configuration comes into force.
    """

    configs: dict[str, config.Config] = attrs.Factory(dict)
    values: dict[str, str] = attrs.Factory(dict)
    errors: dict[str, str] = attrs.Factory(dict)
    lock: threading.Condition = attrs.Factory(threading.Condition)


def offer(book: ConfigBook, tenant: str, value: str) -> bool:
    """Puts a stored value into force if its generation is higher.

    If the value is invalid, the configuration in force stays, and the error is
    kept in `errors`.

    Returns:
      Whether the configuration in force changed.
    """
    with book.lock:
        try:
            newer = config.newer(book.configs.get(tenant), value)
        except exceptions.InvalidInput as error:
            book.errors[tenant] = str(error)
            return False
        if newer is None:
            return False
        if newer.tenant != tenant:
            book.errors[tenant] = (
                f"the configuration is of tenant {newer.tenant!r}; write it"
                f" under {config.store_key(newer.tenant)!r}"
            )
            return False
        book.configs[tenant] = newer
        book.values[tenant] = value
        book.errors.pop(tenant, None)
        book.lock.notify_all()
        return True


def generations(book: ConfigBook) -> dict[str, int]:
    """Returns the generation in force, by tenant."""
    with book.lock:
        return {
            tenant: item.generation for tenant, item in book.configs.items()
        }


def updates_for(
    book: ConfigBook, known: dict[str, int], tenants: Iterable[str]
) -> tuple[messages.ConfigUpdate, ...]:
    """Returns the configurations that are newer than those of a receiver.

    Args:
      book: The configurations.
      known: Generation that the receiver has, by tenant.
      tenants: Names of the tenants to look at.
    """
    with book.lock:
        return tuple(
            messages.ConfigUpdate(
                tenant, book.configs[tenant].generation, book.values[tenant]
            )
            for tenant in tenants
            if tenant in book.configs
            and book.configs[tenant].generation > known.get(tenant, 0)
        )


def service_of(
    book: ConfigBook, tenant: str, service: str
) -> config.Service | None:
    """Returns a service of the configuration in force, or None."""
    with book.lock:
        current = book.configs.get(tenant)
    if current is None:
        return None
    for item in current.services:
        if item.name == service:
            return item
    return None


def zones_out(book: ConfigBook, tenant: str) -> frozenset[str]:
    """Returns the zones that the operators took out of service."""
    with book.lock:
        current = book.configs.get(tenant)
    if current is None:
        return frozenset()
    return frozenset(zone.name for zone in current.zones if zone.state == "out")


def rules_for(
    book: ConfigBook, tenant: str, service: str
) -> changes.Rules | None:
    """Returns the placement rules of a service, or None if it is unknown."""
    item = service_of(book, tenant, service)
    if item is None:
        return None
    with book.lock:
        current = book.configs[tenant]
    allowed = frozenset()
    for rule in current.placement.rules:
        if rule.service == service:
            allowed = frozenset(rule.zones)
    return changes.Rules(
        keyed=item.kind == "keyed",
        zones_out=zones_out(book, tenant),
        allowed_zones=allowed,
        retired=frozenset(current.retired),
        move_cost=current.placement.move_cost,
        max_moves=current.placement.max_moves,
    )
