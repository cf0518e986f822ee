"""An instance crashes and starts again; its new life gets the old grants."""

import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib-2"))

import standins  # pylint: disable=wrong-import-position

DOWN_S = 4.0


def run(fleet):
    workshop = [n for n in fleet.nodes if n.instance.service == standins.UNKEYED]
    # Clients of the other service only: no request meets the crashed instance.
    standins.run_clients(fleet, "GET", "/status/1", 5, workshop, keyed=False)
    instance = fleet.nodes[0].instance
    for _ in range(3):
        time.sleep(4.0)
        if standins.has_trouble():
            instance.crash()
            time.sleep(DOWN_S)
            # Its first heartbeat comes one interval after its start.
            instance.start(first_beat_s=standins.HEARTBEAT_S)
        else:
            time.sleep(DOWN_S)
    time.sleep(4.0)
    if not fleet.all_keys_held():
        fleet.record.note("some keys are held by nobody at the end")


standins.main(run, standins.TEN_NODES)
