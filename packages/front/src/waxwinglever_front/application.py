"""The WSGI application for callers; mounted in CherryPy at /s."""

import http
import json
from collections.abc import Callable

from waxwinglever_front import concurrency
from waxwinglever_front import http_codec
from waxwinglever_front import http_messages
from waxwinglever_front import request_context
from waxwinglever_front import router
from waxwinglever_model import exceptions
from waxwinglever_model import limits
from waxwinglever_ownership import config_cache


def make_application(context: request_context.RequestContext) -> Callable:
    """Returns a WSGI application that serves callers and other daemons."""

    def timeout_ms(tenant: str, service: str) -> int:
        item = config_cache.find_service(context.config_cache, tenant, service)
        return item.timeout_ms if item else limits.DEFAULT_TIMEOUT_MS

    def application(environ: dict, start_response: Callable):
        started_s = context.now()
        request = None
        try:
            request = http_codec.parse_request(environ, timeout_ms)
            with concurrency.request_permit(
                context.request_limits, is_forwarded=request.hops > 0
            ):
                response = router.route(context, request)
        except exceptions.Refusal as error:
            response = http_codec.refusal_response(error)
        except Exception as error:  # pylint: disable=broad-exception-caught
            context.log("request-failed", error=repr(error))
            if request is None:
                response = unreadable_request_response(error)
            else:
                response = internal_error_response(error)
        record_metrics(context, request, response, context.now() - started_s)
        status = f"{response.status} {reason_phrase(response.status)}"
        start_response(status, http_codec.response_headers(response))
        return [response.body]

    return application


def unreadable_request_response(error: Exception) -> http_messages.Response:
    """Returns the response to a request that could not be read."""
    return http_codec.refusal_response(
        exceptions.BadRequest(
            f"the request can't be read: {type(error).__name__}",
            "send a complete body of at most"
            f" {limits.MAX_BODY_BYTES} bytes and try again",
        )
    )


def internal_error_response(error: Exception) -> http_messages.Response:
    """Returns the response to an unexpected error; its outcome is unknown."""
    body = {
        "kind": "internal",
        "message": f"the daemon failed: {type(error).__name__}",
        "remedy": "check whether the request took effect; report the log line",
    }
    return http_messages.Response(
        status=500,
        headers=(("Content-Type", "application/json"),),
        body=json.dumps(body).encode("utf-8"),
        outcome="unknown",
    )


def record_metrics(
    context: request_context.RequestContext,
    request: http_messages.Request | None,
    response: http_messages.Response,
    seconds: float,
) -> None:
    """Records the duration and outcome of a request in the metrics."""
    if request is None:
        context.metrics.count("requests_malformed_total", {})
        return
    if request.hops:
        # The daemon that forwarded the request records it.
        return
    context.metrics.observe_request(
        request.tenant,
        request.service,
        request.request_class,
        response.outcome,
        seconds,
    )


def reason_phrase(status: int) -> str:
    """Returns the reason phrase of an HTTP status code."""
    try:
        return http.HTTPStatus(status).phrase
    except ValueError:
        return "Unknown"
