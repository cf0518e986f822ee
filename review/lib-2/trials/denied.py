"""A trial, no case: a new configuration names routes in Kazakh.

Run it with the folder for record.txt: python3 -S denied.py FOLDER
"""

import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

import standins  # pylint: disable=wrong-import-position

NAMES = {"board": "тақта", "claim": "өтінім"}
ROUNDS = 100


def run(fleet):
    if standins.has_trouble():
        fleet.record.note("the configuration changes")
        fleet.write_config(names=NAMES)
    time.sleep(4.0)
    denied = 0
    for _ in range(ROUNDS):
        for method, path in (("GET", "/board/1"), ("POST", "/claim/1")):
            node = random.choice(fleet.nodes)
            key = random.randint(0, standins.LAST_KEY)
            status = standins.send(node, method, path, key)
            denied += status is not None and (
                300 <= status < 500 and status not in (408, 421, 429)
            )
        time.sleep(0.02)
    total = 2 * ROUNDS
    fleet.record.note(f"{denied} of {total} proper requests ended with a 4xx")
    if denied > 5 + total / 500:
        fleet.record.break_rule(
            "DENIED", f"{denied} of {total} proper requests ended with a 4xx"
        )


standins.main(run, (standins.KEYED, standins.KEYED, standins.UNKEYED))
