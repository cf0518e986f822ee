"""Stand-in for an application instance, by PROTOCOL.md; a process of its own.

Usage: instance.py JSON, with the fields of Options. It sends its heartbeats to
the control address, serves requests, and appends what it does to the journal,
one JSON object a line.

Signals: SIGUSR1 makes it report `draining` at once (it serves on); SIGTERM makes
it deregister and exit; from SIGUSR2 on and for `unframed_s`, each `unframed_every`th
of its answers has no length and ends with its connection.
"""

import http.client
import http.server
import json
import os
import signal
import sys
import threading
import time
import zlib

HEARTBEAT_TIMEOUT_S = 1.0


class Instance:
    """The state of the instance; `lock` guards it."""

    def __init__(self, options):
        self.id = options["id"]
        self.service = options["service"]
        self.port = options["port"]
        self.control = options["control"]
        self.heartbeat_s = options.get("heartbeat_ms", 500) / 1000
        self.slots = options.get("slots", 9)
        self.work_s = options.get("work_ms", 100) / 1000
        self.sharded = options.get("sharded", False)
        self.body_bytes = options.get("body_bytes", 600)
        self.unframed_every = options.get("unframed_every", 20)
        self.unframed_s = options.get("unframed_s", 5.0)
        self.unframed_from_s = None
        self.counted = 0
        # Between the two halves of an answer.
        self.pause_s = options.get("pause_ms", 0) / 1000
        self.clock_factor = options.get("clock_factor", 1.0)
        self.journal = open(options["journal"], "a", encoding="utf-8")
        self.state = "ready"
        # How far the time of day is off on its machine (clock_step).
        self.born = int(time.time() * 1000) + options.get("clock_step_ms", 0)
        self.sequence = 0
        self.running = 0
        self.grants = []
        self.fences = {}
        self.releases = 0
        self.lock = threading.RLock()
        self.ended = threading.Condition(self.lock)

    def record(self, event, **fields):
        """Appends to the journal; the caller needs no lock."""
        line = json.dumps(
            {"t": time.monotonic(), "instance": self.id, "service": self.service,
             "event": event} | fields
        )
        with self.lock:
            self.journal.write(line + "\n")
            self.journal.flush()

    def holds(self, shard):
        """Returns whether the instance holds a key; needs the lock."""
        now_s = time.monotonic()
        return any(
            first <= shard <= last and end_s > now_s
            for first, last, _, end_s in self.grants
        )

    def subtract(self, first, last):
        """Removes keys from all grants; needs the lock."""
        kept = []
        for low, high, fence, end_s in self.grants:
            if low < first:
                kept.append((low, min(high, first - 1), fence, end_s))
            if high > last:
                kept.append((max(low, last + 1), high, fence, end_s))
        self.grants = kept

    def grant(self, body):
        """Handles a grant; returns the status."""
        arrived_s = time.monotonic()
        first, last, fence = body["from"], body["to"], body["fence"]
        with self.lock:
            seen = max(
                (f for (low, high), f in self.fences.items()
                 if low <= last and first <= high),
                default=-1,
            )
            if seen > fence:
                return 409
            self.fences[first, last] = max(fence, self.fences.get((first, last), -1))
            self.subtract(first, last)
            self.grants.append(
                (first, last, fence,
                 arrived_s + body["holdMs"] / 1000 * self.clock_factor)
            )
            self.record("grant", first=first, last=last, fence=fence,
                        hold_ms=body["holdMs"])
        return 200

    def release(self, body):
        """Handles a release; returns the handover token once work has ended."""
        with self.lock:
            self.subtract(body["from"], body["to"])
            self.record("release", first=body["from"], last=body["to"],
                        fence=body["fence"])
            self.releases += 1
            token = f"{self.id}-{self.born:x}-{self.releases}"
            self.ended.wait_for(lambda: not self.running, 5.0)
        return token

    def refusal(self, headers):
        """Returns why a request isn't run, or None if it has begun to run."""
        request_id = headers.get("Waxwinglever-Request-Id", "")
        expected = headers.get("Waxwinglever-Expected-Instance")
        with self.lock:
            if not request_id:
                return 400
            if expected is not None and expected != self.id:
                return 421
            if self.sharded and not self.holds(
                int(headers.get("Waxwinglever-Shard-Key", -1))
            ):
                return 421
            if self.running >= self.slots:
                return 503
            self.running += 1
        return None


def is_unframed(instance):
    """Returns whether the next answer has no length; called once for each."""
    with instance.lock:
        began_s = instance.unframed_from_s
        if began_s is None or time.monotonic() > began_s + instance.unframed_s:
            return False
        instance.counted += 1
        return instance.counted % instance.unframed_every == 0


def signature(request_id, body):
    """Returns the signature of an answer."""
    return f"{request_id}.{len(body):x}.{zlib.crc32(body):x}"


def make_body(request_id, size):
    """Returns the body of the answer to a request."""
    unit = f"[{request_id}]".encode()
    return (unit * (size // len(unit) + 1))[:size]


def make_handler(instance):
    """Returns the handler class of the instance's server."""

    class Handler(http.server.BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"
        disable_nagle_algorithm = True

        def reply(self, status, headers=(), body=b""):
            self.send_response_only(status)
            for name, value in headers:
                self.send_header(name, value)
            self.send_header("Content-Length", str(len(body)))
            self.end_headers()
            self.wfile.write(body)

        def handle_request(self):
            length = int(self.headers.get("Content-Length", 0))
            body = self.rfile.read(length)
            if len(body) < length:
                self.close_connection = True
                return
            if self.path == "/health":
                ready = instance.state == "ready"
                self.reply(
                    200 if ready else 503,
                    (("Waxwinglever-Instance-Id", instance.id),),
                )
            elif self.path == "/v1/grant":
                self.reply(instance.grant(json.loads(body)))
            elif self.path == "/v1/release":
                token = instance.release(json.loads(body))
                self.reply(200, (("Waxwinglever-Handover", token),))
            else:
                self.run_request(body)

        def run_request(self, body):
            request_id = self.headers.get("Waxwinglever-Request-Id", "")
            status = instance.refusal(self.headers)
            if status is not None:
                self.reply(
                    status,
                    (
                        ("Waxwinglever-Request-Id", request_id),
                        ("Waxwinglever-Not-Executed", "1"),
                    ),
                )
                return
            unframed = is_unframed(instance)
            instance.record(
                "run",
                unframed=unframed,
                request=request_id,
                method=self.command,
                target=self.path,
                body_crc=zlib.crc32(body),
                caller=self.headers.get("Waxwinglever-Caller-Service"),
                shard=self.headers.get("Waxwinglever-Shard-Key"),
            )
            try:
                time.sleep(instance.work_s)
            finally:
                with instance.lock:
                    instance.running -= 1
                    instance.ended.notify_all()
            self.answer(request_id, unframed)

        def answer(self, request_id, unframed):
            answer = make_body(request_id, instance.body_bytes)
            half = len(answer) // 2
            self.send_response_only(200)
            self.send_header("Waxwinglever-Request-Id", request_id)
            self.send_header(
                "Waxwinglever-Response-Signature", signature(request_id, answer)
            )
            if unframed:
                self.close_connection = True
            else:
                self.send_header("Content-Length", str(len(answer)))
            self.end_headers()
            self.wfile.write(answer[:half])
            instance.record(
                "half", request=request_id, bytes=half, unframed=unframed
            )
            time.sleep(instance.pause_s)
            self.wfile.write(answer[half:])
            instance.record("answered", request=request_id, bytes=len(answer))

        do_GET = do_POST = do_PUT = handle_request

        def handle(self):
            try:
                super().handle()
            except OSError:
                self.close_connection = True

        def log_message(self, *_):
            """Writes no log."""

    return Handler


def tell(instance, call, body):
    """Makes a call to the node; returns whether it was acknowledged."""
    host, _, port = instance.control.rpartition(":")
    connection = http.client.HTTPConnection(
        host, int(port), timeout=HEARTBEAT_TIMEOUT_S
    )
    try:
        connection.request(
            "POST",
            f"/v1/instances/{instance.id}/{call}",
            json.dumps(body),
            {"Content-Type": "application/json"},
        )
        status = connection.getresponse().status
        instance.record(call, state=body.get("state"), status=status)
        return 200 <= status < 300
    except (OSError, http.client.HTTPException):
        return False
    finally:
        connection.close()


def heartbeat(instance):
    """Sends one heartbeat; returns whether it was acknowledged."""
    with instance.lock:
        instance.sequence += 1
        body = {
            "service": instance.service,
            "address": f"127.0.0.1:{instance.port}",
            "zone": "almaty-a",
            "version": "v1",
            "slots": instance.slots,
            "state": instance.state,
            "coldRemainingMs": 0,
            "sequence": instance.sequence,
            "born": instance.born,
        }
    return tell(instance, "heartbeat", body)


def main():
    """Runs until it is killed."""
    instance = Instance(json.loads(sys.argv[1]))
    wake = threading.Event()

    def drain(*_):
        instance.state = "draining"
        wake.set()

    def leave(*_):
        instance.state = "leaving"
        wake.set()

    def leave_out_lengths(*_):
        instance.unframed_from_s = time.monotonic()

    signal.signal(signal.SIGUSR1, drain)
    signal.signal(signal.SIGTERM, leave)
    signal.signal(signal.SIGUSR2, leave_out_lengths)

    class Server(http.server.ThreadingHTTPServer):
        daemon_threads = True
        request_queue_size = 128

    server = Server(("127.0.0.1", instance.port), make_handler(instance))
    threading.Thread(target=server.serve_forever, daemon=True).start()
    instance.record("started", pid=os.getpid())
    while True:
        if instance.state == "leaving":
            tell(instance, "deregister", {"born": instance.born})
            os._exit(0)
        heartbeat(instance)
        wake.wait(instance.heartbeat_s)
        wake.clear()


if __name__ == "__main__":
    main()
