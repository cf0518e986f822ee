"""Experiments on latency: base load, load levels, stragglers, overhead."""

import attrs

from waxwinglever_bench import callers
from waxwinglever_bench import environment as environments
from waxwinglever_bench import fleet as fleets
from waxwinglever_bench import load
from waxwinglever_model import clock

# Target of the design for the 99th percentile of latency.
P99_BOUND_MS = 14.0
# One host can serve this rate beside the senders; the slots allow far more.
BASE_LOAD_PER_S = 150.0
BASE_LOAD_SECONDS = 12.0
# So few that for nearly all requests an earlier response named the owner.
FOLLOW_OWNER_KEYS = 20
LEVELS_PERCENT = (50, 80, 120)
LEVEL_SECONDS = 7.0
# At 120% of the capacity the queueing delay exceeds this within the run.
LEVEL_TIMEOUT_MS = 1000
# Threads of each of two sender processes; more than the requests that can be
# running or queued at once.
LEVEL_THREADS = 400
STRAGGLER_FACTOR = 5.0
# Bound for the 99th percentile with one straggler relative to that without.
STRAGGLER_RATIO_BOUND = 2.0
STRAGGLER_LOAD_SHARE = 0.4
STRAGGLER_SECONDS = 6.0
# Earlier samples are left out, as the daemons have measured too few responses
# until then.
STRAGGLER_WARM_UP_S = 2.0
OVERHEAD_REQUESTS = 300
FULL_LOAD_PER_S = 1500.0
FULL_LOAD_SECONDS = 3.0


def add_summary(
    environment: environments.Environment,
    prefix: str,
    summary: load.Summary,
    p99_bound_ms: float | None = None,
) -> None:
    """Adds the statistics of a load run, with keys that begin with a prefix."""
    environment.add_counts(prefix, summary)
    environment.add_measurement(f"{prefix}_p50_ms", summary.p50_ms)
    environment.add_measurement(
        f"{prefix}_p99_ms", summary.p99_ms, p99_bound_ms
    )
    environment.add_measurement(f"{prefix}_p999_ms", summary.p999_ms)
    environment.add_measurement(
        f"{prefix}_worst_10s_p99_ms", summary.worst_10s_p99_ms
    )
    environment.add_measurement(
        f"{prefix}_sent_late_p99_ms", summary.sent_late_p99_ms
    )


def latency_at_base_load(environment: environments.Environment) -> None:
    """Measures latency at a rate far below the capacity.

    Senders choose a daemon at random, so most requests are forwarded. In the
    last run they send to the owner that an earlier response named.
    """
    environment.add_measurement(
        "latency_service_time_ms", environment.setup.service_ms
    )
    environment.add_measurement("latency_rate_per_s", BASE_LOAD_PER_S)
    for service in (
        environment.tenant.keyed_service,
        environment.tenant.unkeyed_service,
    ):
        plan = environment.load_plan(
            service, BASE_LOAD_PER_S, BASE_LOAD_SECONDS
        )
        summary = load.summarize(load.run(environment.executor, plan).samples)
        add_summary(environment, f"latency_{service}", summary, P99_BOUND_MS)
    service = environment.tenant.keyed_service
    plan = environment.load_plan(
        service,
        BASE_LOAD_PER_S,
        BASE_LOAD_SECONDS,
        keys=FOLLOW_OWNER_KEYS,
        follows_owner=True,
    )
    summary = load.summarize(load.run(environment.executor, plan).samples)
    prefix = f"latency_{service}_sent_to_owner"
    add_summary(environment, prefix, summary, P99_BOUND_MS)


def capacity_per_s(
    environment: environments.Environment, service: str
) -> float:
    """Returns the requests per second for which a service has slots."""
    count = len(environment.nodes_of(service))
    return count * environments.SLOTS / (environment.setup.service_ms / 1000)


def load_levels(environment: environments.Environment) -> None:
    """Measures latency and throughput at shares of the services' capacity."""
    environment.add_measurement(
        "levels_service_time_ms", environment.setup.service_ms
    )
    services = (
        environment.tenant.keyed_service,
        environment.tenant.unkeyed_service,
    )
    for percent in LEVELS_PERCENT:
        runs = {}
        for service in services:
            rate = capacity_per_s(environment, service) * percent / 100
            plan = environment.load_plan(
                service,
                rate,
                LEVEL_SECONDS,
                timeout_ms=LEVEL_TIMEOUT_MS,
                threads=LEVEL_THREADS,
            )
            # Two processes for each service leave CPU time for the fleet.
            runs[service] = load.start(environment.executor, plan, processes=2)
            environment.add_measurement(
                f"level_{percent}_{service}_rate_per_s", rate
            )
        for service, running_load in runs.items():
            result = load.wait_for_result(running_load)
            summary = load.summarize(result.samples)
            add_summary(environment, f"level_{percent}_{service}", summary)
            in_time = sum(
                sample.kind == load.CORRECT
                and sample.at_s + sample.latency_s <= LEVEL_SECONDS
                for sample in result.samples
            )
            environment.add_measurement(
                f"level_{percent}_{service}_served_per_s",
                in_time / LEVEL_SECONDS,
            )


def stragglers(environment: environments.Environment) -> None:
    """Compares the product with baselines while some servers are slow."""
    service = environment.tenant.unkeyed_service
    names = environment.unkeyed_nodes
    rate = capacity_per_s(environment, service) * STRAGGLER_LOAD_SHARE
    environment.add_measurement(
        "stragglers_service_time_ms", environment.setup.service_ms
    )
    environment.add_measurement("stragglers_rate_per_s", rate)
    plan = environment.load_plan(
        service,
        rate,
        STRAGGLER_SECONDS,
        safe_share=1.0,
        backends=tuple(environment.fleet.vms[n].backend_address for n in names),
    )
    # POST requests are never hedged.
    policies = {
        "product": plan,
        "no_hedging": attrs.evolve(plan, safe_share=0.0),
        "round_robin": attrs.evolve(plan, policy=load.ROUND_ROBIN),
        "least_reported": attrs.evolve(plan, policy=load.LEAST_REPORTED),
    }
    for policy, each in policies.items():
        baseline_p99_ms = None
        for slow in (0, 1, 2):
            set_slow_servers(environment, names, slow)
            result = load.run(environment.executor, each)
            measured = [
                sample
                for sample in result.samples
                if sample.at_s >= STRAGGLER_WARM_UP_S
            ]
            summary = load.summarize(measured)
            baseline_p99_ms = (
                summary.p99_ms if baseline_p99_ms is None else baseline_p99_ms
            )
            prefix = f"stragglers_{policy}_{slow}_slow"
            environment.add_measurement(f"{prefix}_p50_ms", summary.p50_ms)
            environment.add_measurement(f"{prefix}_p99_ms", summary.p99_ms)
            environment.add_measurement(
                f"{prefix}_errors_count", summary.errors
            )
            if policy == "product" and slow == 1:
                environment.add_measurement(
                    f"{prefix}_p99_ratio",
                    summary.p99_ms / baseline_p99_ms,
                    STRAGGLER_RATIO_BOUND,
                )
    set_slow_servers(environment, names, 0)


def set_slow_servers(
    environment: environments.Environment, names: list[str], slow: int
) -> None:
    """Slows the given number of servers down and resets the others."""
    for index, name in enumerate(names):
        factor = STRAGGLER_FACTOR if index < slow else 1.0
        fleets.set_backend_faults(environment.fleet, name, slow_factor=factor)


def overhead(environment: environments.Environment) -> None:
    """Measures the latency that daemons add, and one daemon's throughput."""
    owner = environment.keyed_nodes[0]
    zone = environment.fleet.vms[owner].zone
    # A daemon in the same zone, so that no emulated latency is included.
    other = next(
        name
        for name in environment.keyed_nodes[1:]
        if environment.fleet.vms[name].zone == zone
    )
    key = environments.find_key_owned_by(environment, owner)
    backend = environment.fleet.vms[owner].backend_address
    urls = {
        "direct": f"http://{backend}",
        "owner": f"http://{environment.http_address(owner)}"
        f"/s/{environment.tenant.name}/{environment.tenant.keyed_service}",
        "other": f"http://{environment.http_address(other)}"
        f"/s/{environment.tenant.name}/{environment.tenant.keyed_service}",
    }
    latencies_ms = {
        route: sequential_latencies_ms(environment, url, key)
        for route, url in urls.items()
    }
    for route in ("owner", "other"):
        for index, name in enumerate(("p50", "p99")):
            added_ms = (
                latencies_ms[route][index] - latencies_ms["direct"][index]
            )
            environment.add_measurement(
                f"overhead_{route}_added_{name}_ms", added_ms
            )
    node = environment.unkeyed_nodes[0]
    plan = environment.load_plan(
        environment.tenant.unkeyed_service,
        FULL_LOAD_PER_S,
        FULL_LOAD_SECONDS,
        addresses=(environment.http_address(node),),
        headers=(("Waxwinglever-Hops", "1"), ("Standin-Service-Ms", "0")),
        # Two processes send as many requests at once as the server has slots.
        threads=environments.SLOTS // 2,
    )
    result = load.wait_for_result(
        load.start(environment.executor, plan, processes=2)
    )
    served = sum(sample.kind == load.CORRECT for sample in result.samples)
    end_s = max(sample.at_s + sample.latency_s for sample in result.samples)
    environment.add_measurement(
        "overhead_one_daemon_full_load_per_s", served / end_s
    )


def sequential_latencies_ms(
    environment: environments.Environment, url: str, key: str
) -> list[float]:
    """Returns the p50 and p99 latency of sequential requests, in ms.

    Raises:
      RuntimeError: A response had another status than 200.
    """
    latencies = []
    for number in range(OVERHEAD_REQUESTS):
        began_s = clock.boottime_s()
        response = environment.fleet.http.request(
            "POST",
            f"{url}/claims/{number}",
            body=b"x" * load.BODY_BYTES,
            headers={callers.KEY_HEADER: key, "Standin-Service-Ms": "0"},
        )
        ended_s = clock.boottime_s()
        if response.status != 200:
            raise RuntimeError(f"{url} responded with status {response.status}")
        latencies.append(ended_s - began_s)
    return load.percentiles_ms(latencies, (50.0, 99.0))
