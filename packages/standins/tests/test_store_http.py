"""Tests of waxwinglever_standins.store_http."""

import json

import testtools

from waxwinglever_standins import serving
from waxwinglever_standins import store as store_state
from waxwinglever_standins import store_http

# Each row: method, path, query, body, expected status.
REQUESTS = (
    ("GET", "/v1/keys/absent", {}, b"", 404),
    ("PUT", "/v1/keys/k", {"version": "x"}, b"v", 400),
    ("PUT", "/v1/keys/k", {"version": "0"}, b"\xff", 400),
    ("PUT", "/v1/keys/k", {"version": "0"}, b"x" * 1_000_001, 413),
    ("PUT", "/v1/keys/k", {"version": "7"}, b"v", 409),
    ("PUT", "/v1/keys/k", {"version": "0"}, b"v", 200),
    ("GET", "/v1/keys/k", {"watch": "1", "timeout_s": "0"}, b"", 304),
    ("POST", "/v1/keys/k", {}, b"", 405),
    ("GET", "/other", {}, b"", 404),
    ("PUT", "/faults", {}, b"[]", 400),
    ("PUT", "/faults", {}, b'{"unknown": 1}', 400),
    ("PUT", "/faults", {}, b'{"down_mode": "x"}', 400),
)


class StoreHttpTest(testtools.TestCase):
    """Guards against a wrong HTTP status for an error or a fault."""

    def setUp(self):
        super().setUp()
        self.store = store_state.new_store()
        self.handle = store_http.handler(self.store)

    def send(self, method, path, query=None, body=b""):
        return self.handle(
            serving.Request(method, path, query or {}, {}, body, "127.0.0.1")
        )

    def test_each_request_gets_its_status(self):
        for method, path, query, body, status in REQUESTS:
            response = self.send(method, path, query, body)
            self.assertEqual(status, response.status, (method, path, query))

    def test_faults_do_not_affect_the_paths_of_faults_and_counters(self):
        faults = {"down": True, "blocked_clients": ["127.0.0.1"]}
        self.send("PUT", "/faults", body=json.dumps(faults).encode())
        response = self.send("GET", "/v1/keys/k")
        self.assertEqual(serving.HANG, response.delivery)
        faults_shown = json.loads(self.send("GET", "/faults").body)
        self.assertTrue(faults_shown["down"])
        self.assertEqual(200, self.send("GET", "/v1/counters").status)
        self.send("PUT", "/faults", body=b'{"blocked_clients": []}')
        self.assertEqual(503, self.send("GET", "/v1/keys/k").status)

    def test_reads_and_writes_are_counted_separately(self):
        self.send("PUT", "/v1/keys/k", {"version": "0"}, b"v")
        self.send("GET", "/v1/keys/k")
        self.send("GET", "/v1/list", {"prefix": ""})
        counters = json.loads(self.send("GET", "/v1/counters").body)
        self.assertEqual((2, 1), (counters["reads"], counters["writes"]))
