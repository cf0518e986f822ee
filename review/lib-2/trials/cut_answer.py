"""A trial, no case: answers without a length end early and are reset later.

Run it with the folder for record.txt: DELAY=0.2 python3 -S cut_answer.py FOLDER
"""

import http.client
import os
import pathlib
import random
import socket
import struct
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

import standins  # pylint: disable=wrong-import-position

# Time between the end of a cut answer and the reset behind it.
DELAY_S = float(os.environ.get("DELAY", "0.2"))
# Share of the answers that are cut.
CUT_SHARE = 0.05
BODY = b"x" * 4_000
CUT_BYTES = 1_500
REQUESTS = 200


def answer(handler, record, cuts):
    """Answers a request without a length; some answers are cut."""
    request_id = handler.headers["Waxwinglever-Request-Id"]
    record.note(f"runs {request_id}")
    is_cut = standins.has_trouble() and random.random() < CUT_SHARE
    head = (
        f"HTTP/1.1 200 OK\r\nWaxwinglever-Request-Id: {request_id}\r\n"
        f"Waxwinglever-Response-Signature: s.{request_id}\r\n\r\n"
    ).encode()
    sock = handler.connection
    handler.close_connection = True
    sock.sendall(head + (BODY[:CUT_BYTES] if is_cut else BODY))
    sock.shutdown(socket.SHUT_WR)
    if is_cut:
        record.note(f"cuts {request_id}")
        cuts.add(request_id)
        time.sleep(DELAY_S)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        handler.rfile.close()
        handler.wfile.close()
        sock.close()


def run(fleet):
    record = fleet.record
    cuts = set()
    handler_class = fleet.nodes[2].instance.server.RequestHandlerClass
    usual = handler_class.run

    def respond(handler):
        if handler.path.startswith("/status/"):
            answer(handler, record, cuts)
        else:
            usual(handler)

    handler_class.do_GET = handler_class.do_POST = respond
    for number in range(REQUESTS):
        request_id = f"{random.getrandbits(64):016x}"
        headers = {
            "Host": standins.HOST,
            "Waxwinglever-Request-Id": request_id,
            "Waxwinglever-Deadline-Ms": "2500",
        }
        node = fleet.nodes[number % 3]
        try:
            status, _, body = standins.call(
                node.callers, "GET", "/status/1", headers
            )
        except (OSError, http.client.HTTPException) as error:
            record.note(f"{request_id} ends with {error!r}")
            continue
        if status == 200 and body != BODY:
            record.break_rule(
                "MIXED", f"{request_id}: 200 with {len(body)} of {len(BODY)} bytes"
            )
    record.note(f"{len(cuts)} answers were cut")


standins.main(run, (standins.KEYED, standins.KEYED, standins.UNKEYED))
