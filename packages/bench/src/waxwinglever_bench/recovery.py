"""Experiments that measure the time to recovery after processes are killed.

The time to recovery ends when a key of each lost owner is served again.
"""

from waxwinglever_bench import fleet as fleets
from waxwinglever_bench import load
from waxwinglever_bench import plots
from waxwinglever_bench import scenes
from waxwinglever_model import clock

RECOVERY_BOUND_S = 4.0
# A recovery that misses its bound is measured up to this time.
RECOVERY_TIMEOUT_S = 12.0
LOAD_PER_S = 80.0
LOAD_DURATION_S = 12.0


def single_losses(scene: scenes.Scene) -> None:
    """Measures the recovery from the loss of a daemon, backend server or VM.

    The last loss is that of the VM of the leader.
    """
    for label, process_kinds in (
        ("daemon", ("daemon",)),
        ("backend", ("backend",)),
        ("vm", ("daemon", "backend")),
    ):
        owned_counts = scenes.owned(scene)
        del owned_counts[scenes.leader(scene)]
        victim = max(owned_counts, key=owned_counts.get)
        measure_loss(scene, label, [victim], process_kinds)
    measure_loss(scene, "leader", [scenes.leader(scene)], ("daemon", "backend"))


def measure_loss(
    scene: scenes.Scene,
    label: str,
    victims: list[str],
    process_kinds: tuple[str, ...],
) -> None:
    """Kills processes and measures until one key of each owner is served.

    Args:
      scene: The scene.
      label: Name of the loss in the measurement's key.
      victims: Names of the VMs whose processes are killed.
      process_kinds: Which processes of a VM are killed: `daemon`, `backend` or
        both.
    """
    owned_counts = scenes.owned(scene)
    keys = [
        scenes.key_of(scene, name) for name in victims if owned_counts.get(name)
    ]
    probed_node = next(name for name in scene.unkeyed if name not in victims)
    lost_s = clock.boottime_s()
    for victim in victims:
        for kind in process_kinds:
            fleets.kill(scene.fleet, f"{kind}/{victim}")
    seconds = scenes.until_served(
        scene, probed_node, keys, lost_s, RECOVERY_TIMEOUT_S
    )
    scene.add(f"recovery_{label}_s", seconds, RECOVERY_BOUND_S)
    scenes.settle(scene)


def zone_loss(scene: scenes.Scene) -> None:
    """Kills all processes of one zone under load, and plots the latency."""
    # Any node may be the leader, so the leader's zone is looked up.
    zone = scene.fleet.vms[scenes.leader(scene)].zone
    victims = [n for n, vm in scene.fleet.vms.items() if vm.zone == zone]
    surviving = [n for n in scene.keyed if n not in victims]
    plan = scene.plan(
        scene.tenant.keyed,
        LOAD_PER_S,
        LOAD_DURATION_S,
        addresses=tuple(scene.address(name) for name in surviving),
    )
    running = load.begin(scene.executor, plan)
    lost_s = clock.boottime_s()
    measure_loss(scene, "zone", victims, ("daemon", "backend"))
    result = load.collect(running)
    summary = load.summarize(result.samples)
    scene.add_counts("zone_lost", summary)
    plots.plot_latency(
        scene.folder / f"{scene.tenant.name}-zone-lost.png",
        f"{scene.tenant.name}: zone {zone} is lost",
        result,
        {"lost": lost_s},
    )


def leader_loss_without_store(scene: scenes.Scene) -> None:
    """Kills the leader while the store is down, and then restores the store.

    An election needs the store, so the leader's own keys are expected to miss
    the bound until the store is back.
    """
    leader = scenes.leader(scene)
    key = scenes.key_of(scene, leader)
    probed_node = scene.unkeyed[0]
    fleets.set_store_faults(scene.fleet, down=True)
    lost_s = clock.boottime_s()
    for kind in ("daemon", "backend"):
        fleets.kill(scene.fleet, f"{kind}/{leader}")
    seconds = scenes.until_served(
        scene, probed_node, [key], lost_s, RECOVERY_TIMEOUT_S
    )
    scene.add("recovery_leader_store_down_s", seconds, RECOVERY_BOUND_S)
    fleets.set_store_faults(scene.fleet, down=False)
    returned_s = clock.boottime_s()
    seconds = scenes.until_served(
        scene, probed_node, [key], returned_s, RECOVERY_TIMEOUT_S
    )
    scene.add(
        "recovery_leader_after_store_returned_s", seconds, RECOVERY_BOUND_S
    )
    scenes.settle(scene)
