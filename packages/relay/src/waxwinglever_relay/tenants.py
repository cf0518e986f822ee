"""Tenants: who sends a request, by its API key.

Load pattern: organisations share the backend servers, and some of them send
several times what they have ordered; see quotas.
"""

from collections.abc import Callable

from waxwinglever_model import exceptions
from waxwinglever_relay import routes

# A node confirms its configuration once a second.
UNCONFIRMED_RETRY_AFTER_MS = 500


def identify(
    config: routes.RoutingConfig,
    route: routes.Route,
    credential: str,
    accepts_keys: Callable[[], bool],
) -> routes.Tenant | None:
    """Returns the tenant that sends a request.

    Keys are found by hash, which takes the same time for all unknown ones.

    Args:
      config: The active configuration.
      route: Route of the request.
      credential: API key that the request bears; '' if it has none.
      accepts_keys: Returns whether the configuration is recent enough to accept
        keys by it.

    Returns:
      The tenant; None if the route needs no key. A key that is sent all the
      same is not read then.

    Raises:
      Unauthorized: The key is missing or unknown.
      ConfigOutdated: The key may have been withdrawn.
    """
    if config.tenants is None or route.public:
        return None
    if not accepts_keys():
        raise exceptions.ConfigOutdated(
            "this node can't find out whether the API key is still valid",
            "try again",
            UNCONFIRMED_RETRY_AFTER_MS,
        )
    tenant = config.tenants_by_key.get(credential.strip())
    if tenant is None:
        raise exceptions.Unauthorized(
            "the API key is unknown" if credential else "no API key was sent",
            "send one of the tenant's keys",
        )
    return tenant


def priority(route: routes.Route, tenant: routes.Tenant | None) -> int:
    """Returns the priority of a request: that of its tenant, or its route."""
    if tenant is None or tenant.priority is None:
        return route.priority
    return tenant.priority
