"""The stand-in backend server over HTTP."""

import hashlib
import json
import threading
from collections.abc import Callable

import attrs
import urllib3

from waxwinglever_backend import calls
from waxwinglever_standins import backend as backend_state
from waxwinglever_standins import serving

CONTROL = "/_backend/"
CANCEL = "/_backend/cancel/"
ANNOUNCE_INTERVAL_S = 1.0
ANNOUNCE_TIMEOUT_S = 0.5


def handler(backend: backend_state.Backend) -> serving.Handler:
    """Returns the handler that answers from `backend`."""

    def handle(request: serving.Request) -> serving.Response:
        try:
            if request.path == "/_backend/faults":
                response = faults(backend, request)
            else:
                backend_state.wait_while_frozen(backend)
                is_control = request.path.startswith(CONTROL)
                answer = control if is_control else order
                response = answer(backend, request)
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
    """Returns the response with one more header."""
    return attrs.evolve(response, headers=(*response.headers, (name, value)))


def faults(
    backend: backend_state.Backend, request: serving.Request
) -> serving.Response:
    """Shows the fault switches, after changing them for a PUT."""
    if request.method == "PUT":
        document = json.loads(request.body)
        if not isinstance(document, dict):
            raise ValueError("the body is not a JSON object")
        backend_state.set_faults(backend, document)
    return serving.json_response(attrs.asdict(backend.faults))


def control(
    backend: backend_state.Backend, request: serving.Request
) -> serving.Response:
    """Answers the daemon's and the bench's requests to the server itself."""
    path = request.path
    if request.method == "POST" and path.startswith(CANCEL):
        count = backend_state.cancel(backend, path.removeprefix(CANCEL))
        return serving.json_response({"cancelled": count})
    if request.method == "POST" and path == "/_backend/drain":
        with backend.lock:
            backend.draining = True
        path = "/_backend/health"
    if path == "/_backend/health":
        state = backend_state.state_of(backend)
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
                "executions": [execution(item) for item in ended],
                "running": [execution(item) for item in running],
            }
        )
    return serving.error_response(404, "no such path")


def execution(item: backend_state.Run) -> dict:
    """Returns the log entry of an order."""
    fence = item.work.fence
    return {
        "sequence": item.sequence,
        "call_id": item.work.call_id,
        "request_id": item.work.request_id,
        "key": item.work.key,
        "slice": fence.start if fence else None,
        "epoch": fence.epoch if fence else None,
        "start_ns": item.start_ns,
        "end_ns": item.end_ns,
        "end": item.end,
    }


def order(
    backend: backend_state.Backend, request: serving.Request
) -> serving.Response:
    """Runs an order."""
    ended = backend_state.run(backend, work_of(request))
    if ended.end == backend_state.CRASHED:
        return serving.Response(delivery=serving.CLOSE)
    if ended.end != backend_state.DONE:
        return serving.error_response(504, ended.end)
    if request.path.startswith("/echo"):
        kind = request.headers.get("content-type", "application/octet-stream")
        return serving.Response(200, request.body, (("Content-Type", kind),))
    return serving.json_response(
        {
            "method": request.method,
            "path": request.path,
            "key": ended.work.key,
            "body_sha256": hashlib.sha256(request.body).hexdigest(),
            "body_bytes": len(request.body),
        }
    )


def work_of(request: serving.Request) -> backend_state.Work:
    """Returns what a request asks for; raises ValueError."""
    headers = request.headers
    fence = None
    if "waxwinglever-slice" in headers:
        fence = calls.Fence(
            int(headers["waxwinglever-slice"]),
            int(headers.get("waxwinglever-epoch", 0)),
            int(headers.get("waxwinglever-expires-ns", 0)),
        )
    timeout_ms = headers.get("waxwinglever-timeout-ms")
    service_ms = headers.get("standin-service-ms")
    return backend_state.Work(
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
    document: Callable[[], dict],
    stopped: threading.Event,
) -> None:
    """Announces the server to its daemon once a second until `stopped`.

    Args:
      daemon: host:port of the daemon's HTTP address.
      document: Returns the announcement.
      stopped: Ends the loop.
    """
    host, _, port = daemon.rpartition(":")
    pool = urllib3.HTTPConnectionPool(
        host, int(port), retries=False, timeout=ANNOUNCE_TIMEOUT_S
    )
    while True:
        try:
            pool.request("POST", "/announce", json=document())
        except urllib3.exceptions.HTTPError:
            # The daemon may start later or be down; the next round tries again.
            pass
        if stopped.wait(ANNOUNCE_INTERVAL_S):
            pool.close()
            return
