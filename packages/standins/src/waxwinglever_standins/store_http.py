"""HTTP front end of the stand-in store."""

import json

import attrs

from waxwinglever_model import exceptions
from waxwinglever_standins import serving
from waxwinglever_standins import store as store_state

KEYS_PREFIX = "/v1/keys/"
MAX_WATCH_S = 300.0


def handler(store: store_state.Store) -> serving.Handler:
    """Returns the HTTP handler of `store`."""

    def handle(request: serving.Request) -> serving.Response:
        try:
            if request.path == "/faults":
                return handle_faults(store, request)
            if request.path == "/v1/counters":
                with store.lock:
                    return serving.json_response(attrs.asdict(store.counters))
            return handle_call(store, request)
        except store_state.NoResponse as error:
            if error.mode == store_state.REFUSE:
                return serving.error_response(503, "down")
            return serving.Response(delivery=error.mode)
        except store_state.RateLimited:
            return serving.error_response(429, "over the rate limit")
        except exceptions.Conflict as error:
            return serving.error_response(409, str(error))
        except (exceptions.InvalidInput, ValueError) as error:
            return serving.error_response(400, str(error))

    return handle


def handle_faults(
    store: store_state.Store, request: serving.Request
) -> serving.Response:
    """Returns the active faults; a PUT changes them first."""
    if request.method == "PUT":
        document = json.loads(request.body)
        if not isinstance(document, dict):
            raise ValueError("the body is not a JSON object")
        store_state.set_faults(store, document)
    return serving.json_response(attrs.asdict(store.faults))


def handle_call(
    store: store_state.Store, request: serving.Request
) -> serving.Response:
    """Handles a list, get, watch or compare-and-swap."""
    if request.method == "GET" and request.path == "/v1/list":
        store_state.admit(store, request.client, store_state.READ)
        prefix = request.query.get("prefix", "")
        entries = store_state.list_prefix(store, prefix)
        return serving.json_response(
            {"entries": [attrs.asdict(entry) for entry in entries]}
        )
    if not request.path.startswith(KEYS_PREFIX):
        return serving.error_response(404, "no such path")
    key = request.path.removeprefix(KEYS_PREFIX)
    if request.method == "GET":
        store_state.admit(store, request.client, store_state.READ)
        return handle_read(store, request, key)
    if request.method == "PUT":
        store_state.admit(store, request.client, store_state.WRITE)
        return handle_write(store, request, key)
    return serving.error_response(405, "no such method")


def handle_read(
    store: store_state.Store, request: serving.Request, key: str
) -> serving.Response:
    """Handles a get, or a watch if the query has `watch`."""
    if "watch" in request.query:
        entry = store_state.watch(
            store,
            request.client,
            key,
            int(request.query["watch"]),
            min(float(request.query.get("timeout_s", 0)), MAX_WATCH_S),
        )
        absent_response = serving.Response(304)
    else:
        entry = store_state.get(store, key)
        absent_response = serving.error_response(404, "no such key")
    if entry is None:
        return absent_response
    return serving.json_response(attrs.asdict(entry))


def handle_write(
    store: store_state.Store, request: serving.Request, key: str
) -> serving.Response:
    """Handles a compare-and-swap."""
    expected = (
        int(request.query["version"]) if "version" in request.query else 0
    )
    ttl_s = float(request.query["ttl_s"]) if "ttl_s" in request.query else None
    value = request.body.decode("utf-8")
    try:
        version = store_state.compare_and_swap(
            store, key, value, expected, ttl_s
        )
    except exceptions.InvalidInput as error:
        return serving.error_response(413, str(error))
    return serving.json_response({"version": version})
