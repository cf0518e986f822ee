"""Experiments on request executions: ids, crashes, cold starts."""

import collections
import random
import signal
import threading
import time
from concurrent import futures

import attrs

from waxwinglever_bench import callers
from waxwinglever_bench import environment as environments
from waxwinglever_bench import fleet as fleets
from waxwinglever_bench import load
from waxwinglever_standins import backend as backend_state

ID_REQUESTS = 120
ID_SENDERS = 12
ID_ATTEMPTS = 4
# Every second one is a pause instead, from which the daemon resumes after its
# leases have expired.
KILLS = 5
KILL_INTERVAL_S = 2.0
CRASH_BOUND = 2
CRASH_REQUESTS = 6
CRASH_LOAD_PER_S = 60.0
CRASH_SECONDS = 12.0
# Kind of the permanent refusal of a request that crashes servers.
QUARANTINED = "quarantined"
COLD_LOAD_PER_S = 100.0
COLD_SECONDS = 14.0
POLL_INTERVAL_S = 0.1


@attrs.frozen
class RepeatedRequest:
    """A request that was sent several times.

    Attributes:
      request_id: Id of the request.
      outcomes: Outcome header of each attempt; `none` without a response.
    """

    request_id: str
    outcomes: tuple[str, ...]


def at_most_once(environment: environments.Environment) -> None:
    """Checks that requests with an id run at most once while daemons fail.

    Only daemons are killed, because the execution log of a killed backend
    server would be lost.
    """
    rng = random.Random(environment.seed)
    stopping = threading.Event()
    addresses = [
        environment.http_address(name) for name in environment.fleet.vms
    ]

    def send_one(number: int) -> RepeatedRequest:
        own_rng = random.Random(f"{environment.seed}/{number}")
        # Spreads the requests over the time in which daemons are killed.
        time.sleep(KILL_INTERVAL_S * KILLS * ID_SENDERS / ID_REQUESTS)
        return send_with_id(environment, own_rng, f"once-{number}", addresses)

    with futures.ThreadPoolExecutor(ID_SENDERS + 1) as executor:
        killer = executor.submit(kill_daemons, environment, rng, stopping)
        sent = list(executor.map(send_one, range(ID_REQUESTS)))
        stopping.set()
        kills = killer.result()
    environments.restore(environment)
    execution_counts = collections.Counter(
        item["request_id"]
        for name in environment.keyed_nodes
        for item in fleets.execution_log(environment.fleet, name)
        if item["request_id"].startswith("once-")
    )
    environment.add_measurement("at_most_once_requests_count", len(sent))
    environment.add_measurement("at_most_once_kills_count", kills)
    repeated = sum(count > 1 for count in execution_counts.values())
    environment.add_measurement("at_most_once_ran_twice_count", repeated, 0)
    acknowledged = [s for s in sent if "ran" in s.outcomes]
    environment.add_measurement(
        "at_most_once_acknowledged_count", len(acknowledged)
    )
    environment.add_measurement(
        "at_most_once_acknowledged_but_never_ran_count",
        sum(not execution_counts[s.request_id] for s in acknowledged),
        0,
    )
    refused = [s for s in sent if set(s.outcomes) == {"not-run"}]
    environment.add_measurement(
        "at_most_once_refused_not_run_but_ran_count",
        sum(execution_counts[s.request_id] > 0 for s in refused),
        0,
    )


def kill_daemons(
    environment: environments.Environment,
    rng: random.Random,
    stopping: threading.Event,
) -> int:
    """Kills or pauses daemons of the keyed service, one at a time.

    Returns:
      The number of kills and pauses.
    """
    kills = 0
    while kills < KILLS and not stopping.wait(KILL_INTERVAL_S / 5):
        victim = rng.choice(environment.keyed_nodes)
        name = f"daemon/{victim}"
        is_pause = kills % 2 == 1
        if is_pause:
            fleets.send_signal(environment.fleet, name, signal.SIGSTOP)
        else:
            fleets.kill(environment.fleet, name)
        kills += 1
        # Longer than a lease, so that other nodes take over the keys.
        stopping.wait(KILL_INTERVAL_S * 4 / 5)
        if is_pause:
            fleets.send_signal(environment.fleet, name, signal.SIGCONT)
        else:
            fleets.start_daemon(environment.fleet, victim)
    return kills


def send_with_id(
    environment: environments.Environment,
    rng: random.Random,
    request_id: str,
    addresses: list[str],
) -> RepeatedRequest:
    """Sends a request several times at once, to different daemons.

    All attempts carry the ticket that the first response granted.
    """
    request = callers.Request(
        "POST",
        environment.tenant.name,
        environment.tenant.keyed_service,
        f"/purchases/{request_id}",
        f"key-{rng.randrange(environments.KEYS)}",
        request_id.encode(),
        (
            ("Waxwinglever-Request-Id", request_id),
            ("Waxwinglever-Timeout-Ms", "1500"),
            ("Standin-Service-Ms", "30"),
        ),
    )

    def send(address: str, ticket: str) -> callers.Response:
        headers = request.headers
        if ticket:
            headers = (*headers, ("Waxwinglever-Ticket", ticket))
        return callers.send(
            environment.fleet.http,
            address,
            attrs.evolve(request, headers=headers),
            timeout_s=3.0,
        )

    ticket = ""
    outcomes = []
    for _ in range(ID_ATTEMPTS):
        first = send(rng.choice(addresses), "")
        outcomes.append(first.outcome)
        if first.ticket:
            ticket = first.ticket
            break
        time.sleep(0.3)
    if ticket:
        chosen = rng.sample(addresses, ID_ATTEMPTS)
        with futures.ThreadPoolExecutor(ID_ATTEMPTS) as executor:
            responses = list(
                executor.map(lambda address: send(address, ticket), chosen)
            )
        # A late attempt with the same ticket must get the recorded outcome.
        responses.append(send(rng.choice(addresses), ticket))
        outcomes += [response.outcome for response in responses]
    return RepeatedRequest(request_id, tuple(outcomes))


def crash(environment: environments.Environment) -> None:
    """Repeats a request that crashes servers, beside normal load."""
    service = environment.tenant.unkeyed_service
    names = environment.unkeyed_nodes
    # Long enough that others are in flight when a server crashes.
    headers = (("Standin-Service-Ms", "100"),)
    plan = environment.load_plan(
        service, CRASH_LOAD_PER_S, CRASH_SECONDS, headers=headers
    )
    running_load = load.start(environment.executor, plan)
    stopping = threading.Event()
    crashing_request = callers.Request(
        "POST",
        environment.tenant.name,
        service,
        "/claims/crash",
        None,
        backend_state.CRASH_MARKER,
        (("Waxwinglever-Timeout-Ms", "2000"),),
    )
    with futures.ThreadPoolExecutor(1) as executor:
        watcher = executor.submit(restart_crashed, environment, names, stopping)
        time.sleep(2.0)
        kinds = []
        for number in range(CRASH_REQUESTS):
            address = environment.http_address(names[number % len(names)])
            response = callers.send(
                environment.fleet.http, address, crashing_request
            )
            kinds.append(load.classify(response))
            time.sleep(1.0)
        result = load.wait_for_result(running_load)
        stopping.set()
        crashes = watcher.result()
    summary = load.summarize(result.samples)
    environment.add_measurement("crash_sends_count", len(kinds))
    environment.add_measurement(
        "crash_server_crashes_count", crashes, CRASH_BOUND
    )
    environment.add_measurement(
        "crash_refused_for_good_count", kinds.count(QUARANTINED)
    )
    environment.add_counts("crash_bystanders", summary)
    environment.add_measurement(
        "crash_bystanders_refused_for_good_count",
        summary.kinds.get(QUARANTINED, 0),
        0,
    )
    at_end = [s for s in result.samples if s.at_s > CRASH_SECONDS - 2]
    environment.add_measurement(
        "crash_bystander_errors_last_2s_count",
        load.summarize(at_end).errors,
        0,
    )
    environments.restore(environment)


def restart_crashed(
    environment: environments.Environment,
    names: list[str],
    stopping: threading.Event,
) -> int:
    """Restarts backend servers that ended, until `stopping` is set.

    Returns:
      The number of servers that ended with the stand-in's crash status.
    """
    crashes = 0
    while not stopping.wait(POLL_INTERVAL_S):
        for name in names:
            process = environment.fleet.processes[f"backend/{name}"]
            if process.poll() is not None:
                crashes += process.returncode == backend_state.CRASH_STATUS
                fleets.start_backend(environment.fleet, name)
    return crashes


def cold_start(environment: environments.Environment) -> None:
    """Restarts half of the servers, which crash if overloaded while cold."""
    services = (
        environment.tenant.keyed_service,
        environment.tenant.unkeyed_service,
    )
    victims = environment.keyed_nodes[::2] + environment.unkeyed_nodes[::2]
    running_loads = [
        load.start(
            environment.executor,
            environment.load_plan(service, COLD_LOAD_PER_S, COLD_SECONDS),
            processes=2,
        )
        for service in services
    ]
    stopping = threading.Event()
    with futures.ThreadPoolExecutor(1) as executor:
        time.sleep(2.0)
        for name in victims:
            fleets.kill(environment.fleet, f"backend/{name}")
            fleets.start_backend(environment.fleet, name)
        watcher = executor.submit(
            restart_crashed, environment, list(environment.fleet.vms), stopping
        )
        collected = [load.wait_for_result(each) for each in running_loads]
        stopping.set()
        crashes = watcher.result()
    environment.add_measurement(
        "cold_start_restarted_servers_count", len(victims)
    )
    environment.add_measurement("cold_start_crashes_count", crashes, 0)
    for service, result in zip(services, collected):
        summary = load.summarize(result.samples)
        environment.add_counts(f"cold_start_{service}", summary)
        environment.add_measurement(
            f"cold_start_{service}_p99_ms", summary.p99_ms
        )
