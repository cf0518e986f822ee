"""Stand-in for the platform's metadata store, by PROTOCOL.md.

Runs inside the script of a case. It is linearizable, loses nothing and answers
each call, unless a hook of the case says otherwise.
"""

import base64
import http.server
import json
import threading
import time
import urllib.parse

PAGE_ITEMS = 500
MAX_ENTRIES = 32
HISTORY_S = 20.0
EXPIRY_INTERVAL_S = 0.05


class Store:
    """The state of the store; `changed` guards it."""

    def __init__(self):
        self.changed = threading.Condition()
        self.items = {}
        self.events = []
        self.revision = 1
        self.dropped_revision = 0
        self.leases = {}
        self.newest_lease = 1000
        # Called with method, path and decoded body before and after each call;
        # a true result ends the connection without an answer.
        self.before_call = lambda method, path, body: False
        self.after_call = lambda method, path, body, status: False

    def put(self, key, value, lease=0):
        """Writes a key; the caller holds the lock."""
        self.revision += 1
        before = self.items.get(key)
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "creation": before["creation"] if before else self.revision,
            "lease": lease,
        }
        self.items[key] = item
        self.add_event(dict(item))

    def remove(self, key):
        """Removes a key; the caller holds the lock."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.add_event(
                {"key": key, "revision": self.revision, "removed": True}
            )

    def add_event(self, event):
        """Adds an event to the history; the caller holds the lock."""
        now_s = time.monotonic()
        self.events.append((now_s, event))
        while self.events and now_s - self.events[0][0] > HISTORY_S:
            self.dropped_revision = self.events.pop(0)[1]["revision"]
        self.changed.notify_all()

    def expire(self):
        """Ends the leases that have run out; the caller holds the lock."""
        now_s = time.monotonic()
        for lease, (end_s, _) in list(self.leases.items()):
            if end_s <= now_s:
                self.end_lease(lease)

    def end_lease(self, lease):
        """Ends a lease and removes its keys; the caller holds the lock."""
        if self.leases.pop(lease, None) is None:
            return False
        for key in [k for k, i in self.items.items() if i["lease"] == lease]:
            self.remove(key)
        return True

    def operator_put(self, key, document):
        """Writes what the operator writes; returns when it is acknowledged."""
        with self.changed:
            self.put(key, json.dumps(document).encode())

    def value(self, key):
        """Returns the decoded JSON value of a key, or None."""
        with self.changed:
            item = self.items.get(key)
        return None if item is None else json.loads(base64.b64decode(item["value"]))

    # Calls.

    def call(self, method, path, query, body):
        """Runs a call; returns the status and the fields of the answer."""
        with self.changed:
            self.expire()
            if path == "/v1/kv-key":
                item = self.items.get(query["key"])
                if item is None:
                    return 404, {"storeRevision": self.revision}
                return 200, item | {"storeRevision": self.revision}
            if path == "/v1/kv-range":
                after = query.get("after", "")
                found = [
                    self.items[key]
                    for key in sorted(self.items)
                    if key.startswith(query["pathPrefix"]) and key > after
                ]
                return 200, {
                    "items": found[:PAGE_ITEMS],
                    "hasMore": len(found) > PAGE_ITEMS,
                    "storeRevision": self.revision,
                }
            if path == "/v1/kv-watch":
                return self.watch(query)
            if path == "/v1/kv-txn":
                return self.transaction(body)
            if path == "/v1/kv-lease":
                self.newest_lease += 1
                ttl_ms = max(1000, int(body["ttlMs"]))
                self.leases[self.newest_lease] = (
                    time.monotonic() + ttl_ms / 1000,
                    ttl_ms,
                )
                return 200, {"lease": self.newest_lease, "ttlMs": ttl_ms}
            lease = int(path.rpartition("/")[2])
            if path.startswith("/v1/kv-keep/"):
                if lease not in self.leases:
                    return 404, {}
                ttl_ms = self.leases[lease][1]
                self.leases[lease] = (time.monotonic() + ttl_ms / 1000, ttl_ms)
                return 200, {"ttlMs": ttl_ms}
            if path.startswith("/v1/kv-lease-end/"):
                return (200 if self.end_lease(lease) else 404), {}
        return 404, {}

    def watch(self, query):
        """Waits for events; the caller holds the lock."""
        after = int(query["after"])
        prefix = query["pathPrefix"]
        end_s = time.monotonic() + min(30_000, int(query["waitMs"])) / 1000
        if after < self.dropped_revision:
            return 410, {}
        while True:
            found = [
                event
                for _, event in self.events
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            left_s = end_s - time.monotonic()
            if found or left_s <= 0:
                return 200, {"events": found, "storeRevision": self.revision}
            self.changed.wait(left_s)

    def transaction(self, body):
        """Runs a transaction; the caller holds the lock."""
        preconditions, puts = body["precondition"], body["puts"]
        removals = body.get("remove", [])
        if len(preconditions) + len(puts) + len(removals) > MAX_ENTRIES:
            return 400, {}
        if any(put["key"].startswith(("op/", "servers/")) for put in puts):
            return 403, {}
        for row in preconditions:
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                return 412, {
                    "items": [
                        self.items[row["key"]]
                        for row in preconditions
                        if row["key"] in self.items
                    ]
                }
        if any(put["lease"] and put["lease"] not in self.leases for put in puts):
            return 404, {}
        for put in puts:
            self.put(put["key"], base64.b64decode(put["value"]), put["lease"])
        for key in removals:
            self.remove(key)
        return 200, {"revision": self.revision}


def serve(store, host="127.0.0.1"):
    """Starts the store's HTTP server; returns the server and its address."""

    class Handler(http.server.BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"
        disable_nagle_algorithm = True

        def handle_call(self):
            length = int(self.headers.get("Content-Length", 0))
            data = self.rfile.read(length)
            if len(data) < length:
                self.close_connection = True
                return
            body = json.loads(data) if data else {}
            url = urllib.parse.urlsplit(self.path)
            query = dict(urllib.parse.parse_qsl(url.query))
            if store.before_call(self.command, url.path, body):
                self.close_connection = True
                return
            status, fields = store.call(self.command, url.path, query, body)
            if store.after_call(self.command, url.path, body, status):
                self.close_connection = True
                return
            answer = json.dumps(fields).encode()
            self.send_response(status)
            self.send_header("Content-Type", "application/json")
            self.send_header("Content-Length", str(len(answer)))
            self.end_headers()
            self.wfile.write(answer)

        do_GET = do_POST = do_DELETE = handle_call

        def handle(self):
            try:
                super().handle()
            except OSError:
                self.close_connection = True

        def log_message(self, *_):
            """Writes no log."""

    class Server(http.server.ThreadingHTTPServer):
        daemon_threads = True
        request_queue_size = 128

    server = Server((host, 0), Handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()

    def expire():
        while True:
            time.sleep(EXPIRY_INTERVAL_S)
            with store.changed:
                store.expire()

    threading.Thread(target=expire, daemon=True).start()
    return server, f"{host}:{server.server_address[1]}"
