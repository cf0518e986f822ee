"""A trial, no case: an instance starts twice within a step of its clock.

Run it with the folder for record.txt: python3 -S clock.py FOLDER
"""

import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

import standins  # pylint: disable=wrong-import-position

# The largest step of clock_step in the site files, backward.
STEP_MS = 3_260
UP_S = 1.0
DOWN_S = 0.5
INSTANCE_ID = "i-kept"


def run(fleet):
    instance = fleet.nodes[2].instance
    instance.crash()
    time.sleep(DOWN_S)
    instance.start(instance_id=INSTANCE_ID)
    time.sleep(UP_S)
    instance.crash()
    time.sleep(DOWN_S)
    step_ms = STEP_MS if standins.has_trouble() else 0
    instance.start(
        instance_id=INSTANCE_ID, born=int(time.time() * 1000) - step_ms
    )
    standins.run_clients(fleet, "POST", "/photo/1", 20, keyed=False)
    time.sleep(6.0)
    instance.state = "draining"
    if instance.beat() != 200:
        raise RuntimeError("the heartbeat was not acknowledged")
    bound_s = instance.acked_s + standins.DRAIN_S
    time.sleep(6.0)
    late = [
        request_id
        for at_s, request_id in instance.arrivals
        if at_s > bound_s and fleet.sent_s[request_id] > bound_s
    ]
    if late:
        fleet.record.break_rule(
            "DRAIN", f"{len(late)} requests reached {instance.incarnation} late"
        )


standins.main(
    run,
    (standins.KEYED, standins.KEYED, standins.UNKEYED, standins.UNKEYED),
)
