"""Experiments that measure the time to recovery after processes are killed.

The time to recovery ends when a key of each lost owner is served again.
"""

from waxwinglever_bench import environment as environments
from waxwinglever_bench import fleet as fleets
from waxwinglever_bench import load
from waxwinglever_bench import plots
from waxwinglever_model import clock

RECOVERY_BOUND_S = 4.0
# A recovery that misses its bound is measured up to this time.
RECOVERY_TIMEOUT_S = 12.0
LOAD_PER_S = 80.0
LOAD_DURATION_S = 12.0


def single_losses(environment: environments.Environment) -> None:
    """Measures the recovery from the loss of a daemon, backend server or VM.

    The last loss is that of the VM of the leader.
    """
    for label, process_kinds in (
        ("daemon", ("daemon",)),
        ("backend", ("backend",)),
        ("vm", ("daemon", "backend")),
    ):
        slice_counts = environments.owned_slice_counts(environment)
        del slice_counts[environments.find_leader(environment)]
        victim = max(slice_counts, key=slice_counts.get)
        measure_loss(environment, label, [victim], process_kinds)
    measure_loss(
        environment,
        "leader",
        [environments.find_leader(environment)],
        ("daemon", "backend"),
    )


def measure_loss(
    environment: environments.Environment,
    label: str,
    victims: list[str],
    process_kinds: tuple[str, ...],
) -> None:
    """Kills processes; measures the time until a key of each owner is served.

    Args:
      environment: The environment.
      label: Name of the loss in the measurement's key.
      victims: Names of the VMs whose processes are killed.
      process_kinds: Which processes of a VM are killed: `daemon`, `backend` or
        both.
    """
    slice_counts = environments.owned_slice_counts(environment)
    keys = [
        environments.find_key_owned_by(environment, name)
        for name in victims
        if slice_counts.get(name)
    ]
    probed_node = next(
        name for name in environment.unkeyed_nodes if name not in victims
    )
    lost_s = clock.boottime_s()
    for victim in victims:
        for kind in process_kinds:
            fleets.kill(environment.fleet, f"{kind}/{victim}")
    seconds = environments.measure_recovery_s(
        environment, probed_node, keys, lost_s, RECOVERY_TIMEOUT_S
    )
    environment.add_measurement(
        f"recovery_{label}_s", seconds, RECOVERY_BOUND_S
    )
    environments.restore(environment)


def zone_loss(environment: environments.Environment) -> None:
    """Kills all processes of one zone under load, and plots the latency."""
    # Any node may be the leader, so the leader's zone is looked up.
    zone = environment.fleet.vms[environments.find_leader(environment)].zone
    victims = [n for n, vm in environment.fleet.vms.items() if vm.zone == zone]
    surviving = [n for n in environment.keyed_nodes if n not in victims]
    plan = environment.load_plan(
        environment.tenant.keyed_service,
        LOAD_PER_S,
        LOAD_DURATION_S,
        addresses=tuple(environment.http_address(name) for name in surviving),
    )
    running_load = load.start(environment.executor, plan)
    lost_s = clock.boottime_s()
    measure_loss(environment, "zone", victims, ("daemon", "backend"))
    result = load.wait_for_result(running_load)
    summary = load.summarize(result.samples)
    environment.add_counts("zone_lost", summary)
    plots.plot_latency(
        environment.folder / f"{environment.tenant.name}-zone-lost.png",
        f"{environment.tenant.name}: zone {zone} is lost",
        result,
        {"lost": lost_s},
    )


def leader_loss_without_store(environment: environments.Environment) -> None:
    """Kills the leader while the store is down, and then restores the store.

    An election needs the store, so the leader's own keys are expected to miss
    the bound until the store is restored.
    """
    leader = environments.find_leader(environment)
    key = environments.find_key_owned_by(environment, leader)
    probed_node = environment.unkeyed_nodes[0]
    fleets.set_store_faults(environment.fleet, down=True)
    lost_s = clock.boottime_s()
    for kind in ("daemon", "backend"):
        fleets.kill(environment.fleet, f"{kind}/{leader}")
    seconds = environments.measure_recovery_s(
        environment, probed_node, [key], lost_s, RECOVERY_TIMEOUT_S
    )
    environment.add_measurement(
        "recovery_leader_store_down_s", seconds, RECOVERY_BOUND_S
    )
    fleets.set_store_faults(environment.fleet, down=False)
    returned_s = clock.boottime_s()
    seconds = environments.measure_recovery_s(
        environment, probed_node, [key], returned_s, RECOVERY_TIMEOUT_S
    )
    environment.add_measurement(
        "recovery_leader_after_store_returned_s", seconds, RECOVERY_BOUND_S
    )
    environments.restore(environment)
