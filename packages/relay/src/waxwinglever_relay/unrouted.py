"""Requests at a node whose configuration may have been replaced.

The node must not choose their routes. Another one does, if it can be reached
and its own configuration is confirmed; see assignment.freshness.
"""

from waxwinglever_model import exceptions
from waxwinglever_relay import ingress
from waxwinglever_relay import messages
from waxwinglever_relay import quota_admission
from waxwinglever_relay import routes
from waxwinglever_relay import tenants

# Daemons that are asked to handle a request which this one must not route.
MAX_HAND_OVERS = 2
# The watches and polls of a node confirm its configuration once a second.
OUTDATED_RETRY_AFTER_MS = 500


def hand_over(
    ingress_router: ingress.IngressRouter,
    request: messages.Request,
    attempts: ingress.Attempts,
    caller: messages.CallerConnection | None,
) -> messages.Response:
    """Lets another daemon route and handle a request that has no route.

    The arguments and errors are those of ingress.handle.
    """
    reason = "no other node is known"
    for member in ingress_router.informed_nodes()[:MAX_HAND_OVERS]:
        began_s = ingress_router.now()
        outcome = "handed-over"
        try:
            return ingress_router.forward(member, request, caller)
        except (
            exceptions.ConfigOutdated,
            exceptions.Draining,
            exceptions.PeerUnavailable,
        ) as error:
            outcome = error.kind
            reason = f"{member.name} could not take the request either"
        except exceptions.Refusal as error:
            outcome = error.kind
            raise
        finally:
            taken_ms = round((ingress_router.now() - began_s) * 1000)
            attempts.path.append(f"{member.name}:{outcome}:{taken_ms}ms")
    raise outdated_error(reason)


def outdated_error(reason: str) -> exceptions.ConfigOutdated:
    """Returns the error for a request that this node must not route."""
    return exceptions.ConfigOutdated(
        f"the configuration of this node may have been replaced: {reason}",
        "try again",
        OUTDATED_RETRY_AFTER_MS,
    )


def handle_unrouted(
    ingress_router: ingress.IngressRouter,
    request: messages.Request,
    caller: messages.CallerConnection | None,
) -> messages.Response:
    """Returns the response to a request that another daemon must not route.

    Raises:
      Refusal: The request has not run, or its outcome is unknown.
      CallerDisconnected: The caller has closed its connection.
    """
    config = ingress_router.active_config.config
    if config is None or not ingress_router.is_current():
        raise outdated_error("it was not confirmed in time")
    route = routes.select_route(config, request.host, request.target)
    if len(request.body) > config.limits.body_bytes:
        raise exceptions.TooLarge(
            f"the body has more than {config.limits.body_bytes} bytes",
            "send a smaller body",
        )
    tenant = tenants.identify(
        config, route, request.credential, ingress_router.accepts_keys
    )
    request = ingress.apply_route(
        ingress_router, config, route, request, tenant
    )
    return quota_admission.handle(
        ingress_router, request, ingress.Attempts(), caller
    )
