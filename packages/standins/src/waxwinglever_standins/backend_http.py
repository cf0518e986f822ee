"""HTTP front end of the stand-in backend server."""

import hashlib
import json
import threading
from collections.abc import Callable

import attrs
import urllib3

from waxwinglever_backend import client
from waxwinglever_framing import client as framing_client
from waxwinglever_standins import backend as backend_state
from waxwinglever_standins import serving

CONTROL_PREFIX = "/_backend/"
CANCEL_PREFIX = "/_backend/cancel/"
ANNOUNCE_INTERVAL_S = 1.0
ANNOUNCE_TIMEOUT_S = 0.5


def handler(backend: backend_state.Backend) -> serving.Handler:
    """Returns the HTTP handler of `backend`."""

    def handle(request: serving.Request) -> serving.Response:
        try:
            if request.path == "/_backend/faults":
                response = handle_faults(backend, request)
            else:
                backend_state.wait_while_frozen(backend)
                is_control = request.path.startswith(CONTROL_PREFIX)
                respond = handle_control if is_control else run_request
                response = respond(backend, request)
        except backend_state.Refused as refused:
            response = serving.error_response(503, refused.reason)
            response = with_header(response, "Backend-Refusal", refused.reason)
        except (TypeError, ValueError) as error:
            response = serving.error_response(400, str(error))
        return with_header(response, "Backend-Boot-Id", backend.boot_id)

    return handle


def with_header(
    response: serving.Response, name: str, value: str
) -> serving.Response:
    """Returns a copy of the response with one more header."""
    return attrs.evolve(response, headers=(*response.headers, (name, value)))


def handle_faults(
    backend: backend_state.Backend, request: serving.Request
) -> serving.Response:
    """Returns the active faults; a PUT changes them first."""
    if request.method == "PUT":
        document = json.loads(request.body)
        if not isinstance(document, dict):
            raise ValueError("the body is not a JSON object")
        backend_state.set_faults(backend, document)
    return serving.json_response(attrs.asdict(backend.faults))


def handle_control(
    backend: backend_state.Backend, request: serving.Request
) -> serving.Response:
    """Handles a cancellation or drain, and returns health, load or the log."""
    path = request.path
    if request.method == "POST" and path.startswith(CANCEL_PREFIX):
        count = backend_state.cancel(backend, path.removeprefix(CANCEL_PREFIX))
        return serving.json_response({"cancelled": count})
    if request.method == "POST" and path == "/_backend/drain":
        with backend.lock:
            backend.draining = True
        path = "/_backend/health"
    if path == "/_backend/health":
        state = backend_state.get_state(backend)
        return serving.json_response(
            {"boot_id": backend.boot_id, "state": state}
        )
    if path == "/_backend/load":
        running = backend_state.reported_load(backend)
        return serving.json_response(
            {"running": running, "slots": backend.settings.slots}
        )
    if path == "/_backend/log":
        after = int(request.query.get("after", 0))
        ended, running = backend_state.log_after(backend, after)
        return serving.json_response(
            {
                "boot_id": backend.boot_id,
                "executions": [log_entry(execution) for execution in ended],
                "running": [log_entry(execution) for execution in running],
            }
        )
    return serving.error_response(404, "no such path")


def log_entry(execution: backend_state.Execution) -> dict:
    """Returns the log entry of a running or ended request."""
    fence = execution.call.fence
    return {
        "sequence": execution.sequence,
        "call_id": execution.call.call_id,
        "request_id": execution.call.request_id,
        "key": execution.call.key,
        "slice": fence.start if fence else None,
        "epoch": fence.epoch if fence else None,
        "start_ns": execution.start_ns,
        "end_ns": execution.end_ns,
        "end": execution.end,
    }


def run_request(
    backend: backend_state.Backend, request: serving.Request
) -> serving.Response:
    """Runs a request and returns its response.

    Raises:
      Refused: The request was refused and not run.
      ValueError: A header has an invalid value.
    """
    execution = backend_state.execute(backend, parse_call(request))
    if execution.end == backend_state.CRASHED:
        return serving.Response(delivery=serving.CLOSE)
    if execution.end != backend_state.DONE:
        return serving.error_response(504, execution.end)
    if request.path.startswith("/echo"):
        content_type = request.headers.get(
            "content-type", "application/octet-stream"
        )
        return serving.Response(
            200, request.body, (("Content-Type", content_type),)
        )
    return serving.json_response(
        {
            "method": request.method,
            "path": request.path,
            "key": execution.call.key,
            "body_sha256": hashlib.sha256(request.body).hexdigest(),
            "body_bytes": len(request.body),
        }
    )


def parse_call(request: serving.Request) -> backend_state.BackendCall:
    """Decodes an HTTP request.

    Raises:
      ValueError: A header has an invalid value.
    """
    headers = request.headers
    fence = None
    if "waxwinglever-slice" in headers:
        fence = client.Fence(
            int(headers["waxwinglever-slice"]),
            int(headers.get("waxwinglever-epoch", 0)),
            int(headers.get("waxwinglever-expires-ns", 0)),
        )
    timeout_ms = headers.get("waxwinglever-timeout-ms")
    service_ms = headers.get("standin-service-ms")
    return backend_state.BackendCall(
        call_id=headers.get("waxwinglever-call-id", ""),
        request_id=headers.get("waxwinglever-request-id", ""),
        key=headers.get("waxwinglever-key", ""),
        body=request.body,
        timeout_s=None if timeout_ms is None else int(timeout_ms) / 1000,
        service_s=None if service_ms is None else float(service_ms) / 1000,
        fence=fence,
    )


def announce(
    daemon: str,
    make_announcement: Callable[[], dict],
    stopped: threading.Event,
) -> None:
    """Announces the server to its daemon once a second until `stopped`.

    Args:
      daemon: host:port of the daemon's HTTP address.
      make_announcement: Returns the announcement to send.
      stopped: Ends the loop.
    """
    host, _, port = daemon.rpartition(":")
    pool = framing_client.FramedConnectionPool(
        host, int(port), retries=False, timeout=ANNOUNCE_TIMEOUT_S
    )
    while True:
        try:
            pool.request("POST", "/announce", json=make_announcement())
        except urllib3.exceptions.HTTPError:
            # The daemon may be down or not started yet; the loop retries.
            pass
        if stopped.wait(ANNOUNCE_INTERVAL_S):
            pool.close()
            return
