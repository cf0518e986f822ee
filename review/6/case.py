"""Busy keys move while connections of one machine at a time are reset."""

import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib-2"))

import standins  # pylint: disable=wrong-import-position

RUN_S = 88.0
# Least time between two resets.
PAUSE_S = 1.0
# How long after the begin of a hand-over the connections are reset.
DELAY_S = 0.1
MOVE_EVERY_S = 3.0
# Share of the machine's connections that are reset each time.
SHARE = 0.5
PER_S = 60
WORK_S = 0.8
BUSY_KEYS = 200
BUSY_SHARE = 0.43


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
    keyed = fleet.nodes[:6]
    while standins.now_s() < end_s:
        for node in keyed:
            node.instance.releasing.clear()
        node = None
        while node is None and standins.now_s() < end_s:
            time.sleep(0.01)
            node = next((n for n in keyed if n.instance.releasing.is_set()), None)
        if node is None:
            break
        time.sleep(DELAY_S)
        if standins.has_trouble():
            count, total = node.proxy.reset(SHARE)
            fleet.record.note(f"{count} of {total} connections of {node.name} are reset")
        time.sleep(PAUSE_S)


standins.main(
    run,
    standins.TEN_NODES,
    proxied=("n1", "n2", "n3", "n4", "n5", "n6"),
)
