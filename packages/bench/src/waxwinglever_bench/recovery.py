"""Experiments on recovery: how long until a key is served again."""

from waxwinglever_bench import fleet as fleets
from waxwinglever_bench import load
from waxwinglever_bench import plots
from waxwinglever_bench import scenes
from waxwinglever_model import clock

BOUND_S = 4.0
# Losses over the bound are waited for this long.
GIVE_UP_S = 12.0
LOAD_PER_S = 80.0
LOAD_SECONDS = 12.0


def recovery(scene: scenes.Scene) -> None:
    """Measures each loss of a single process or VM."""
    for what, kinds in (
        ("daemon", ("daemon",)),
        ("backend", ("backend",)),
        ("vm", ("daemon", "backend")),
    ):
        counts = scenes.owned(scene)
        del counts[scenes.leader(scene)]
        victim = max(counts, key=counts.get)
        lose(scene, what, [victim], kinds)
    lose(scene, "leader", [scenes.leader(scene)], ("daemon", "backend"))


def lose(
    scene: scenes.Scene,
    what: str,
    victims: list[str],
    kinds: tuple[str, ...],
) -> None:
    """Kills processes and measures until one key of each is served."""
    counts = scenes.owned(scene)
    keys = [scenes.key_of(scene, name) for name in victims if counts.get(name)]
    asked = next(name for name in scene.unkeyed if name not in victims)
    lost_s = clock.boottime_s()
    for victim in victims:
        for kind in kinds:
            fleets.kill(scene.fleet, f"{kind}/{victim}")
    seconds = scenes.until_served(scene, asked, keys, lost_s, GIVE_UP_S)
    scene.add(f"recovery_{what}_s", seconds, BOUND_S)
    scenes.settle(scene)


def zone_lost(scene: scenes.Scene) -> None:
    """Kills a whole zone under load."""
    # The first node is the leader only by chance; its zone is lost with it.
    zone = scene.fleet.vms[scenes.leader(scene)].zone
    victims = [n for n, vm in scene.fleet.vms.items() if vm.zone == zone]
    left = [n for n in scene.keyed if n not in victims]
    plan = scene.plan(
        scene.tenant.keyed,
        LOAD_PER_S,
        LOAD_SECONDS,
        addresses=tuple(scene.address(name) for name in left),
    )
    running = load.begin(scene.executor, plan)
    lost_s = clock.boottime_s()
    lose(scene, "zone", victims, ("daemon", "backend"))
    result = load.collect(running)
    summary = load.summarize(result.samples)
    scene.add_counts("zone_lost", summary)
    plots.latency_over_time(
        scene.folder / f"{scene.tenant.name}-zone-lost.png",
        f"{scene.tenant.name}: zone {zone} is lost",
        result,
        {"lost": lost_s},
    )


def leader_without_store(scene: scenes.Scene) -> None:
    """Kills the leader while the store is down.

    The design has no election without the store, so the bound is expected to
    be missed for the leader's own keys.
    """
    lead = scenes.leader(scene)
    key = scenes.key_of(scene, lead)
    asked = scene.unkeyed[0]
    fleets.set_store_faults(scene.fleet, down=True)
    lost_s = clock.boottime_s()
    for kind in ("daemon", "backend"):
        fleets.kill(scene.fleet, f"{kind}/{lead}")
    seconds = scenes.until_served(scene, asked, [key], lost_s, GIVE_UP_S)
    scene.add("recovery_leader_store_down_s", seconds, BOUND_S)
    fleets.set_store_faults(scene.fleet, down=False)
    returned_s = clock.boottime_s()
    seconds = scenes.until_served(scene, asked, [key], returned_s, GIVE_UP_S)
    scene.add("recovery_leader_after_store_returned_s", seconds, BOUND_S)
    scenes.settle(scene)
