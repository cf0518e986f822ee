"""The WSGI application for callers; mounted in CherryPy at /s."""

import http
import json
from collections.abc import Callable

from waxwinglever_front import exchange
from waxwinglever_front import places
from waxwinglever_front import router
from waxwinglever_front import site as sites
from waxwinglever_front import wire
from waxwinglever_model import exceptions
from waxwinglever_model import limits
from waxwinglever_ownership import configs


def make_application(site: sites.Site) -> Callable:
    """Returns a WSGI application that serves callers and other daemons."""

    def timeout_ms(tenant: str, service: str) -> int:
        item = configs.service_of(site.book, tenant, service)
        return item.timeout_ms if item else limits.DEFAULT_TIMEOUT_MS

    def application(environ: dict, start_response: Callable):
        started_s = site.now()
        request = None
        try:
            request = wire.parse_request(environ, timeout_ms)
            with places.request_permit(
                site.places, is_forwarded=request.hops > 0
            ):
                reply = router.route(site, request)
        except exceptions.Refusal as error:
            reply = wire.refusal_reply(error)
        except Exception as error:  # pylint: disable=broad-exception-caught
            site.log("request-failed", error=repr(error))
            if request is None:
                reply = unreadable_request_reply(error)
            else:
                reply = internal_error_reply(error)
        record_metrics(site, request, reply, site.now() - started_s)
        status = f"{reply.status} {reason_phrase(reply.status)}"
        start_response(status, wire.reply_headers(reply))
        return [reply.body]

    return application


def unreadable_request_reply(error: Exception) -> exchange.Reply:
    """Returns the reply to a request that could not be read."""
    return wire.refusal_reply(
        exceptions.BadRequest(
            f"the request can't be read: {type(error).__name__}",
            "send a complete body of at most"
            f" {limits.MAX_BODY_BYTES} bytes and try again",
        )
    )


def internal_error_reply(error: Exception) -> exchange.Reply:
    """Returns the reply to an unexpected error; its outcome is unknown."""
    body = {
        "kind": "internal",
        "message": f"the daemon failed: {type(error).__name__}",
        "remedy": "check whether the request took effect; report the log line",
    }
    return exchange.Reply(
        status=500,
        headers=(("Content-Type", "application/json"),),
        body=json.dumps(body).encode("utf-8"),
        outcome="unknown",
    )


def record_metrics(
    site: sites.Site,
    request: exchange.Request | None,
    reply: exchange.Reply,
    seconds: float,
) -> None:
    """Records the duration and outcome of a request in the metrics."""
    if request is None:
        site.metrics.count("requests_malformed_total", {})
        return
    if request.hops:
        # The daemon that forwarded the request records it.
        return
    site.metrics.observe_request(
        request.tenant,
        request.service,
        request.request_class,
        reply.outcome,
        seconds,
    )


def reason_phrase(status: int) -> str:
    """Returns the reason phrase of an HTTP status code."""
    try:
        return http.HTTPStatus(status).phrase
    except ValueError:
        return "Unknown"
