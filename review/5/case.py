"""FAILBACK: an instance that becomes cold while it serves gets full load."""

import collections
import pathlib
import random
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))

import standins  # pylint: disable=wrong-import-position

# Of the site: cold_s, cold_per_s; of its bounds: coldOver, coldSlack.
COLD_S = 3.0
BOUND = 22.0 * 1.5 + 5
# The pages: "crashes at a rate well above" coldPerS. Here: over the bound by a
# quarter of it.
CRASH_ABOVE = BOUND * 1.25
DOWN_S = 3.0
TIMES = 6
# The intake instances of the site get about 100 requests a second each.
PER_S = 95.0
CLIENTS = 24
# An answer takes about 0.1 s.
PAUSE_S = CLIENTS / PER_S - 0.1


def main():
    rng = random.Random()
    plan = [("bole", "ledger"), ("merkato", "ledger"), ("piassa", "ledger"),
            ("bole", "intake")]
    fleet = standins.Fleet(HERE, plan)
    if not fleet.start():
        raise standins.CannotRun("the daemons don't serve after the start")
    instance = fleet.nodes[3].instance
    instance.work_s = lambda target: random.uniform(0.03, 0.12)
    lock = threading.Lock()
    sent_s = {}
    cold_arrivals = collections.deque()
    worst = [0]

    def on_arrival(at, request):
        if at is not instance or not instance.cold_ms() or not request:
            return
        arrived = standins.now()
        with lock:
            cold_arrivals.append((arrived, sent_s.get(request, arrived)))
            while cold_arrivals[0][0] < arrived - 1.0:
                cold_arrivals.popleft()
            # Counted are requests that were sent and arrived in that second.
            count = sum(sent >= arrived - 1.0 for _, sent in cold_arrivals)
            worst[0] = max(worst[0], count)
        if count > CRASH_ABOVE:
            with lock:
                cold_arrivals.clear()
            fleet.world.find(
                f"FAILBACK {instance.name}, cold for {instance.cold_ms()} ms"
                f" more, got {count} requests in one second, {BOUND:g} are"
                " allowed; it crashes")
            instance.crash(DOWN_S)

    fleet.world.on_arrival = on_arrival
    stop = threading.Event()

    def client(number):
        own = random.Random(number)
        while not stop.wait(own.expovariate(1 / PAUSE_S)):
            fleet.call(
                own.choice(fleet.nodes), "/hand/", own.randrange(standins.KEYS),
                on_send=lambda name: sent_s.__setitem__(name, standins.now()))

    threads = [threading.Thread(target=client, args=(n,), daemon=True)
               for n in range(CLIENTS)]
    for thread in threads:
        thread.start()
    time.sleep(4.0)
    for _ in range(TIMES):
        time.sleep(rng.uniform(0.0, standins.BEAT_S))
        if standins.trouble():
            instance.cold_until = standins.now() + COLD_S
            fleet.record.write(
                f"{instance.name} becomes cold; its health path and its"
                " heartbeats say so")
        time.sleep(COLD_S + DOWN_S + 3.0)
    stop.set()
    for thread in threads:
        thread.join(5)
    with fleet.world.lock:
        lost = [r for r in fleet.world.lost if r not in fleet.world.safe]
    standins.finish(
        fleet, "FAILBACK",
        f"{TIMES} times cold, at most {worst[0]} requests in one second;"
        f" {len(lost)} requests that may run once were lost at work")


standins.run(main)
