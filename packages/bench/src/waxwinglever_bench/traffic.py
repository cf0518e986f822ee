"""The load of a soak run, and the results that its senders record."""

import collections
import concurrent.futures
import random
import threading

import attrs

from waxwinglever_bench import audit
from waxwinglever_bench import callers
from waxwinglever_bench import fault_injection
from waxwinglever_bench import monitoring
from waxwinglever_model import clock
from waxwinglever_standins import backend as backend_state

KEYS = 48
PROBE_KEYS = 32
PROBE_INTERVAL_S = 0.4
SEND_INTERVAL_S = 0.04
MAX_ATTEMPTS = 8
CRASH_ATTEMPTS = 4
CRASH_INTERVAL_S = 1.2
DUPLICATE_SHARE = 0.2
SLOW_SHARE = 0.1
# Share of the requests with an id that go to the service without keys.
UNKEYED_SHARE = 0.25
SLOW_MS = 250
DRAIN_REQUESTS = 6
DRAIN_DELAY_S = 0.1
TIMEOUT_HEADERS = (("Waxwinglever-Timeout-Ms", "2000"),)
REQUEST_TIMEOUT_S = 3.0
TICKET_REQUIRED = "ticket-required"


@attrs.frozen
class DrainResult:
    """The requests that were in flight while a daemon was drained.

    Attributes:
      node: Node of the daemon.
      began_s: When the requests were sent.
      ended_s: When the last response arrived.
      aborted: Results of the requests that were aborted or timed out.
      count: Number of the requests.
    """

    node: str
    began_s: float
    ended_s: float
    aborted: tuple[callers.Response, ...]
    count: int


@attrs.define(eq=False)
class Traffic:
    """State that the sender threads share; guarded by `lock`.

    Attributes:
      state: State of the soak run.
      tenant: Name of the tenant.
      keyed_service: Service whose requests are routed by key.
      unkeyed_service: Service without keys.
      outcomes: Number of responses, by method and outcome.
      request_results: Number of requests with an id, by final result.
      refused: Ids or keys of requests that only got `not-run` responses.
      incorrect: Responses that did not belong to their request.
      owners: Address of the owner that the last response for each key named.
      outages: Periods in which a key was not served.
      drains: Drains and the requests that were in flight.
    """

    state: fault_injection.SoakState
    tenant: str
    keyed_service: str
    unkeyed_service: str
    outcomes: collections.Counter = attrs.Factory(collections.Counter)
    request_results: collections.Counter = attrs.Factory(collections.Counter)
    refused: set[str] = attrs.Factory(set)
    incorrect: list[str] = attrs.Factory(list)
    owners: dict[str, str] = attrs.Factory(dict)
    outages: list[audit.Span] = attrs.Factory(list)
    drains: list[DrainResult] = attrs.Factory(list)
    lock: threading.Lock = attrs.Factory(threading.Lock)


def send(
    traffic: Traffic, address: str, request: callers.Request
) -> callers.Response:
    """Sends a request and checks that the response belongs to it."""
    request = attrs.evolve(
        request, headers=(*request.headers, *TIMEOUT_HEADERS)
    )
    response = callers.send(
        traffic.state.fleet.http, address, request, REQUEST_TIMEOUT_S
    )
    with traffic.lock:
        traffic.outcomes[f"{request.method} {response.outcome}"] += 1
        if response.status == 200 and not response.is_correct:
            traffic.incorrect.append(
                f"{address}: {request.method} {request.path} key {request.key}:"
                f" {response.body[:200]!r}"
            )
        if (
            request.key
            and response.is_correct
            and request.service == traffic.keyed_service
        ):
            traffic.owners[request.key] = response.owner
    return response


def choose_daemon(traffic: Traffic, rng: random.Random) -> str:
    """Returns the address of a daemon that is not down."""
    return rng.choice(fault_injection.running_addresses(traffic.state))


def run_reader(traffic: Traffic, seed: str) -> None:
    """Reads from both services until the run ends."""
    rng = random.Random(seed)
    number = 0
    while not traffic.state.stopping.wait(SEND_INTERVAL_S):
        number += 1
        is_keyed = rng.random() < 0.5
        request = callers.Request(
            "GET",
            traffic.tenant,
            traffic.keyed_service if is_keyed else traffic.unkeyed_service,
            f"/jobs/{seed}-{number}",
            f"key-{rng.randrange(KEYS)}" if is_keyed else None,
        )
        send(traffic, choose_daemon(traffic, rng), request)


def run_single_attempt_sender(traffic: Traffic, seed: str) -> None:
    """Sends requests without an id to the service without keys, until the end.

    Each request is sent once; its key identifies it in the execution log.
    """
    rng = random.Random(seed)
    number = 0
    while not traffic.state.stopping.wait(2 * SEND_INTERVAL_S):
        number += 1
        key = f"{monitoring.SINGLE_ATTEMPT_PREFIX}{seed}-{number}"
        request = callers.Request(
            "POST",
            traffic.tenant,
            traffic.unkeyed_service,
            f"/echo/{key}",
            key,
            key.encode() + rng.randbytes(rng.choice((20, 2000, 50_000))),
        )
        response = send(traffic, choose_daemon(traffic, rng), request)
        if response.outcome == "not-run":
            with traffic.lock:
                traffic.refused.add(key)


def run_writer(traffic: Traffic, seed: str) -> None:
    """Sends requests with an id to both services until the run ends."""
    rng = random.Random(seed)
    number = 0
    with concurrent.futures.ThreadPoolExecutor(2) as executor:
        while not traffic.state.stopping.wait(SEND_INTERVAL_S):
            number += 1
            request_id = f"{seed}-{number}"
            service_time = ()
            if rng.random() < SLOW_SHARE:
                service_time = (("Standin-Service-Ms", str(SLOW_MS)),)
            is_keyed = rng.random() > UNKEYED_SHARE
            request = callers.Request(
                "POST",
                traffic.tenant,
                traffic.keyed_service if is_keyed else traffic.unkeyed_service,
                f"/claims/{request_id}",
                f"key-{rng.randrange(KEYS)}" if is_keyed else None,
                request_id.encode(),
                (("Waxwinglever-Request-Id", request_id), *service_time),
            )
            result = send_with_retries(traffic, rng, executor, request)
            with traffic.lock:
                traffic.request_results[result] += 1
                if result == "not-run":
                    traffic.refused.add(request_id)


def send_with_retries(
    traffic: Traffic,
    rng: random.Random,
    executor: concurrent.futures.Executor,
    request: callers.Request,
) -> str:
    """Sends a request with an id, with the retries that docs/design.md allows.

    Section 10 states the rules. The first response grants a ticket, which all
    further attempts carry. At random, two attempts are sent at once, or one
    more after a success. A new ticket is used only if no attempt with the old
    one may have run.

    Returns:
      `ran`, `not-run` when no attempt can have run, `refused` when the
      request was refused permanently, or `unknown`.
    """
    ticket = ""
    may_have_run = has_run = False
    for _ in range(MAX_ATTEMPTS):
        headers = request.headers
        if ticket:
            headers = (*headers, ("Waxwinglever-Ticket", ticket))
        attempt = attrs.evolve(request, headers=headers)
        count = 2 if ticket and rng.random() < DUPLICATE_SHARE else 1
        attempts = [
            executor.submit(send, traffic, choose_daemon(traffic, rng), attempt)
            for _ in range(count)
        ]
        responses = [each.result() for each in attempts]
        if any(each.outcome == "ran" for each in responses):
            if has_run or rng.random() > DUPLICATE_SHARE:
                return "ran"
            has_run = True
            continue
        # An attempt without a ticket is never executed.
        may_have_run |= bool(ticket) and any(
            each.outcome in ("unknown", "none") for each in responses
        )
        if any(each.outcome == "refused" for each in responses):
            return "ran" if has_run else "refused"
        new_tickets = [e.ticket for e in responses if e.kind == TICKET_REQUIRED]
        if new_tickets and (may_have_run or has_run):
            return "ran" if has_run else "unknown"
        if new_tickets:
            ticket = new_tickets[0]
        elif traffic.state.stopping.wait(rng.uniform(0.05, 0.4)):
            break
    if has_run:
        return "ran"
    return "unknown" if may_have_run else "not-run"


def send_crashing_request(traffic: Traffic, key: str, number: int) -> None:
    """Repeats a request that crashes its backend server until it is refused.

    Gives up after CRASH_ATTEMPTS, or when the run ends.
    """
    rng = random.Random(number)
    request = callers.Request(
        "POST",
        traffic.tenant,
        traffic.keyed_service,
        "/claims/crash",
        key,
        backend_state.CRASH_MARKER + str(number).encode(),
    )
    for _ in range(CRASH_ATTEMPTS):
        response = send(traffic, choose_daemon(traffic, rng), request)
        if response.outcome == "refused":
            with traffic.lock:
                traffic.request_results[
                    "crashing request refused for good"
                ] += 1
            return
        if traffic.state.stopping.wait(CRASH_INTERVAL_S):
            return


def run_prober(traffic: Traffic, keys: list[str], seed: str) -> None:
    """Requests keys in turn and records their outages.

    A key counts as unserved when the attempts through two daemons fail. The
    outage lasts from the failed attempt to the next success.
    """
    rng = random.Random(seed)
    unserved_since: dict[str, float] = {}
    while not traffic.state.stopping.wait(PROBE_INTERVAL_S / len(keys)):
        keys.append(key := keys.pop(0))
        began_s = clock.boottime_s()
        if any(
            probe(traffic, choose_daemon(traffic, rng), key) for _ in range(2)
        ):
            if key in unserved_since:
                since_s = unserved_since.pop(key)
                now = clock.boottime_s()
                with traffic.lock:
                    traffic.outages.append(audit.Span(key, since_s, now))
        else:
            unserved_since.setdefault(key, began_s)
    with traffic.lock:
        for key, since_s in unserved_since.items():
            now = clock.boottime_s()
            traffic.outages.append(audit.Span(key, since_s, now))


def probe(traffic: Traffic, address: str, key: str) -> bool:
    """Returns whether a daemon serves a request for a key within a second."""
    request = callers.Request(
        "GET", traffic.tenant, traffic.keyed_service, "/probe", key
    )
    request = attrs.evolve(
        request, headers=(("Waxwinglever-Timeout-Ms", "700"),)
    )
    fleet = traffic.state.fleet
    return callers.send(fleet.http, address, request, 1.0).is_correct


def drain_under_load(traffic: Traffic, node: str, duration_s: float) -> None:
    """Stops a daemon with SIGTERM while requests are in flight; restarts it.

    Does nothing if too many VMs of the cell are down.
    """
    state = traffic.state
    if not fault_injection.reserve_vm(state, node):
        return
    vm = state.fleet.vms[node]
    with traffic.lock:
        owned = [k for k, a in traffic.owners.items() if a == vm.http_address]
    service_time = (("Standin-Service-Ms", str(SLOW_MS)),)
    service = (
        traffic.keyed_service
        if vm.service == traffic.keyed_service
        else traffic.unkeyed_service
    )
    requests = [
        callers.Request(
            "POST",
            traffic.tenant,
            service,
            f"/slow/{n}",
            key,
            b"x",
            service_time,
        )
        for n, key in enumerate(
            (
                owned
                if service == traffic.keyed_service
                else [None] * DRAIN_REQUESTS
            )[:DRAIN_REQUESTS]
        )
    ]
    began_s = clock.boottime_s()
    with concurrent.futures.ThreadPoolExecutor(DRAIN_REQUESTS) as executor:
        attempts = [
            executor.submit(send, traffic, vm.http_address, request)
            for request in requests
        ]
        state.stopping.wait(DRAIN_DELAY_S)
        drainer = threading.Thread(
            target=fault_injection.drain, args=(state, node, duration_s)
        )
        drainer.start()
        responses = [each.result() for each in attempts]
        ended_s = clock.boottime_s()
        drainer.join()
    aborted = tuple(
        each
        for each in responses
        if each.outcome in ("none", "unknown") or each.status == 504
    )
    with traffic.lock:
        traffic.drains.append(
            DrainResult(node, began_s, ended_s, aborted, len(responses))
        )
