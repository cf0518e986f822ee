"""Backend servers of the simulated fleet: what they hold, and their work."""

import random

import attrs

from waxwinglever_standins import granted_ranges as granted_ranges_module

# How often a backend server begins to work on a shard, per range that it holds
# and step, and for how long.
WORK_PROBABILITY = 0.05
WORK_RANGE_S = (0.05, 1.5)
# Longest time from the start of a backend server to its first announcement. Its
# daemon hears late announcements of the run before until then.
MAX_UNHEARD_S = 3.0


@attrs.frozen
class Work:
    """Work of a backend server on one shard.

    Attributes:
      shard: The shard.
      fence: Fencing token of the grant under which it began.
      end_s: When it ends, at the latest with the hold of the shard.
    """

    shard: int
    fence: int
    end_s: float


@attrs.define(eq=False)
class Server:
    """A simulated backend server.

    Attributes:
      name: Name of its node.
      boot_number: Number of its current run; a restart increases it.
      heard_boot_number: Number of the run that announced itself last.
      announced_s: When the current run announces itself first.
      granted_ranges: Shard ranges that it holds.
      work: Its work on shards, also on those released meanwhile.
      late_grants: Grants that are applied later: the time, the range, and
        the `boot_number` that the grant was sent to.
    """

    name: str
    boot_number: int = 1
    heard_boot_number: int = 1
    announced_s: float = float("-inf")
    granted_ranges: list[granted_ranges_module.GrantedRange] = attrs.Factory(
        list
    )
    work: list[Work] = attrs.Factory(list)
    late_grants: list[tuple[float, granted_ranges_module.GrantedRange, int]] = (
        attrs.Factory(list)
    )


def server_boot_id(server: Server) -> str:
    """Returns the id of the current run of a backend server."""
    return f"{server.name}@{server.boot_number}"


def heard_boot_id(server: Server, now_s: float) -> str:
    """Returns the id of the run that announced itself last."""
    if now_s >= server.announced_s:
        server.heard_boot_number = server.boot_number
    return f"{server.name}@{server.heard_boot_number}"


def works_on(server: Server, first: int, last: int, now_s: float) -> list[Work]:
    """Returns the work of a server that still runs on some shards."""
    return [
        work
        for work in server.work
        if first <= work.shard <= last and work.end_s > now_s
    ]


def begin_work(server: Server, rng: random.Random, now_s: float) -> None:
    """Lets a server begin to work on random shards that it holds."""
    server.work = [work for work in server.work if work.end_s > now_s]
    for item in server.granted_ranges:
        if item.expires_s > now_s:
            if rng.random() < WORK_PROBABILITY:
                end_s = now_s + rng.uniform(*WORK_RANGE_S)
                server.work.append(
                    Work(
                        rng.randint(item.first, item.last),
                        item.fence,
                        min(end_s, item.expires_s),
                    )
                )


def restart_server(server: Server, rng: random.Random, now_s: float) -> None:
    """Restarts a backend server; it holds nothing and is heard later."""
    heard_boot_id(server, now_s)
    server.boot_number += 1
    server.announced_s = now_s + rng.uniform(0.0, MAX_UNHEARD_S)
    server.granted_ranges.clear()
    server.work.clear()
