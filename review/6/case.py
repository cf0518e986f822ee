"""Busy keys move while some connections of one machine are reset."""

import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib-2"))

import standins  # pylint: disable=wrong-import-position

RUN_S = 70.0
# Least time between two resets.
PAUSE_S = 2.0
# How long after the begin of a hand-over the connections are reset.
DELAY_S = 0.1
MOVE_EVERY_S = 2.0
# Share of the machine's connections that are reset each time.
SHARE = 0.5
PER_S = 24
WORK_S = 0.8
BUSY_KEYS = 2_000
BUSY_SHARE = 0.7


def run(fleet):
    for node in fleet.nodes:
        node.instance.work_s = WORK_S
    end_s = standins.now_s() + RUN_S
    busy = [20_000]

    def clients():
        while standins.now_s() < end_s:
            key = random.randint(0, standins.LAST_KEY)
            if random.random() < BUSY_SHARE:
                key = busy[0] + random.randint(0, BUSY_KEYS)
            method, path = random.choice((("GET", "/board/"), ("POST", "/claim/")))
            node = random.choice(fleet.nodes)
            standins.threading.Thread(
                target=standins.send,
                args=(node, method, f"{path}{random.getrandbits(32)}", key),
                daemon=True,
            ).start()
            time.sleep(1 / PER_S)

    def moves():
        while not fleet.stopping.wait(MOVE_EVERY_S):
            busy[0] = random.randint(0, standins.LAST_KEY - BUSY_KEYS)

    standins.threading.Thread(target=clients, daemon=True).start()
    standins.threading.Thread(target=moves, daemon=True).start()
    node = fleet.nodes[0]
    while standins.now_s() < end_s:
        node.instance.releasing.clear()
        if not node.instance.releasing.wait(1.0):
            continue
        time.sleep(DELAY_S)
        if standins.has_trouble():
            count, total = node.proxy.reset(SHARE)
            fleet.record.note(f"{count} of {total} connections of n1 are reset")
        time.sleep(PAUSE_S)


standins.main(
    run,
    (standins.KEYED, standins.KEYED, standins.KEYED, standins.UNKEYED),
    proxied=("n1",),
)
