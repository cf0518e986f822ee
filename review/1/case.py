"""REFUSED: a late second answer to a rejection is taken for the retry's."""

import pathlib
import random
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))

import standins  # pylint: disable=wrong-import-position

# The doses of the site file: srv_grey (shed all) x = 0.55 for 8.5 s, garble
# (extra late) share = 0.6, x = 0.03 for 5 s; both more than once.
SHED = 0.55
SHED_S = 8.5
GARBLED_SHARE = 0.6
GARBLE = 0.03
GARBLE_S = 5.0
PAUSE_S = 0.5
TRAFFIC_S = 80.0
CLIENTS = 16


def main():
    rng = random.Random()
    plan = [("bole", "ledger"), ("merkato", "ledger"), ("piassa", "ledger"),
            ("bole", "intake")]
    fleet = standins.Fleet(HERE, plan)
    if not fleet.start():
        raise standins.CannotRun("the daemons don't serve after the start")
    ledger = [n.instance for n in fleet.nodes if n.service == "ledger"]
    for instance in ledger:
        instance.work_s = lambda target: random.uniform(0.04, 0.16)
    began = standins.now()
    end = began + TRAFFIC_S

    def during(length_s):
        """Whether a disruption of this length is on; it comes again and again."""
        return (standins.now() - began) % (length_s + PAUSE_S) < length_s

    if standins.trouble():
        for instance in ledger:
            instance.sheds = lambda: during(SHED_S) and rng.random() < SHED
        for instance in ledger[: round(GARBLED_SHARE * len(ledger))]:
            instance.repeats = (
                lambda kind: during(GARBLE_S) and rng.random() < GARBLE)
    sent = [0]

    def client(number):
        own = random.Random(number)
        while standins.now() < end:
            node = own.choice(fleet.nodes)
            status, request, signed = fleet.call(
                node, own.choice(["/buy/", "/buy/", "/buy/", "/price/"]),
                own.randrange(standins.KEYS))
            sent[0] += 1
            if (status in standins.PROMISES and not signed
                    and request not in fleet.world.safe):
                with fleet.world.lock:
                    runs = list(fleet.world.runs.get(request, ()))
                if runs:
                    fleet.world.find(
                        f"REFUSED {request} got {status} and has run at"
                        f" {runs[0][0]}")
            time.sleep(own.uniform(0.0, 0.05))

    threads = [threading.Thread(target=client, args=(n,), daemon=True)
               for n in range(CLIENTS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(TRAFFIC_S + 10)
    time.sleep(1.5)
    standins.finish(fleet, "REFUSED", f"{sent[0]} requests were sent")


standins.run(main)
