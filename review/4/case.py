"""DENIED: the unread body of a request is taken for the next request."""

import http.client
import pathlib
import random
import socket
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))

import standins  # pylint: disable=wrong-import-position

USERS = 24
ROUNDS = 5
# Of the site: configApplyMs.
APPLY_S = 2.0
# The mean size of the site's purchases.
BODY = b"p" * 1_200
DEADLINE_MS = 1_200


def send(fleet, sock, path, chunked):
    """Sends one request on a kept connection.

    Returns (status, id of the request, id in the answer, body, whether the
    connection closes).
    """
    request = f"{random.getrandbits(64):016x}"
    target = f"{path}{request}"
    with fleet.world.lock:
        fleet.world.sent[request] = ("POST", target, BODY)
    framing = (
        "Transfer-Encoding: chunked" if chunked
        else f"Content-Length: {len(BODY)}")
    head = (
        f"POST {target} HTTP/1.1\r\nHost: {standins.HOST}\r\n"
        f"{standins.ID}: {request}\r\n{standins.DEADLINE}: {DEADLINE_MS}\r\n"
        f"{framing}\r\n\r\n").encode()
    body = BODY
    if chunked:
        body = b"%x\r\n%s\r\n0\r\n\r\n" % (len(BODY), BODY)
    fleet.record.write(f"user sends {request} POST {path}")
    answer = None
    try:
        sock.sendall(head + body)
        answer = http.client.HTTPResponse(sock)
        answer.begin()
        data = answer.read()
    except (OSError, http.client.HTTPException):
        fleet.record.write(f"user gets no answer for {request}")
        return 0, request, None, b"", True
    named = answer.getheader(standins.ID)
    fleet.record.write(
        f"user gets {answer.status} for {request}; the answer names"
        f" {named}; body {data[:60]!r}; close {answer.will_close}")
    return answer.status, request, named, data, answer.will_close


def main():
    plan = [("bole", "ledger"), ("merkato", "ledger"), ("piassa", "ledger"),
            ("bole", "intake")]
    fleet = standins.Fleet(HERE, plan)
    if not fleet.start():
        raise standins.CannotRun("the daemons don't serve after the start")
    time.sleep(3.5)
    if standins.trouble():
        fleet.record.write("the operator's next version drops the route scan")
        fleet.write_config(without=("scan",))
    time.sleep(APPLY_S + 0.5)
    firsts, seconds = [], []
    denied = []

    def user(number):
        own = random.Random(number)
        node = fleet.nodes[number % len(fleet.nodes)]
        host, _, port = node.listen["callers"].rpartition(":")
        for _ in range(ROUNDS):
            with socket.create_connection((host, int(port)), 1.0) as sock:
                sock.settimeout(DEADLINE_MS / 1000 + 0.3)
                status, *_, closes = send(fleet, sock, "/scan/", True)
                firsts.append(status)
                if closes:
                    continue
                time.sleep(own.uniform(0.1, 0.5))
                status, request, named, data, _ = send(
                    fleet, sock, "/hand/", False)
                seconds.append(status)
                if status == 400 and named is None:
                    denied.append(request)
                    fleet.record.write(
                        f"{request}, which all configurations allow, is ended"
                        f" with 400, {data[:60]!r}; it can't be sent again")
            time.sleep(own.uniform(0.1, 0.5))

    users = [threading.Thread(target=user, args=(n,), daemon=True)
             for n in range(USERS)]
    for thread in users:
        thread.start()
    for thread in users:
        thread.join(60)
    sent = len(firsts) + len(seconds)
    if len(denied) > 5 + sent / 500:
        fleet.world.find(
            f"DENIED {len(denied)} proper requests of {sent} got 400, the"
            " answer to the rest of the request before them")
    standins.finish(
        fleet, "DENIED",
        f"first requests: { {s: firsts.count(s) for s in sorted(set(firsts))} };"
        f" second requests: { {s: seconds.count(s) for s in sorted(set(seconds))} }")


standins.run(main)
