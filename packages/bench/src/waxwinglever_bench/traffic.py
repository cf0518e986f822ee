"""Callers of a soak run, and what they learn from the replies."""

import collections
import concurrent.futures
import random
import threading

import attrs

from waxwinglever_bench import audit
from waxwinglever_bench import callers
from waxwinglever_bench import injection
from waxwinglever_bench import watching
from waxwinglever_model import clock
from waxwinglever_standins import backend as backend_state

KEYS = 48
PROBE_KEYS = 32
PROBE_S = 0.4
PAUSE_S = 0.04
MAX_TRIES = 8
CRASH_TRIES = 4
CRASH_PAUSE_S = 1.2
DOUBT_SHARE = 0.2
SLOW_SHARE = 0.1
# Requests with an id that go to the service without keys.
UNKEYED_SHARE = 0.25
SLOW_MS = 250
DRAIN_REQUESTS = 6
DRAIN_HEAD_S = 0.1
TIMEOUT = (("Waxwinglever-Timeout-Ms", "2000"),)
CALL_TIMEOUT_S = 3.0
TICKET_REQUIRED = "ticket-required"


@attrs.frozen
class Drained:
    """What became of the requests that ran during a SIGTERM.

    Attributes:
      node: The daemon.
      began_s: When the requests were sent.
      ended_s: When the last was answered.
      cut: Outcomes of requests that were cut.
      count: Number of the requests.
    """

    node: str
    began_s: float
    ended_s: float
    cut: tuple[callers.Outcome, ...]
    count: int


@attrs.define(eq=False)
class Traffic:
    """What all callers have learned; `lock` guards it.

    Attributes:
      state: The fleet under faults.
      tenant: Name of the tenant.
      keyed: Service that is divided by key.
      unkeyed: Service that is not.
      outcomes: Replies by outcome.
      ends: How the requests with an id ended.
      refused: Requests of which each try was answered not-run.
      wrong: Replies that did not belong to their request.
      owners: Address of the owner by key, from the last replies.
      outages: When a key was not served.
      drained: Requests that ran during a SIGTERM.
    """

    state: injection.SoakState
    tenant: str
    keyed: str
    unkeyed: str
    outcomes: collections.Counter = attrs.Factory(collections.Counter)
    ends: collections.Counter = attrs.Factory(collections.Counter)
    refused: set[str] = attrs.Factory(set)
    wrong: list[str] = attrs.Factory(list)
    owners: dict[str, str] = attrs.Factory(dict)
    outages: list[audit.Span] = attrs.Factory(list)
    drained: list[Drained] = attrs.Factory(list)
    lock: threading.Lock = attrs.Factory(threading.Lock)


def send(traffic: Traffic, address: str, call: callers.Call) -> callers.Outcome:
    """Sends a request and checks that the reply belongs to it."""
    call = attrs.evolve(call, headers=(*call.headers, *TIMEOUT))
    outcome = callers.send(
        traffic.state.fleet.http, address, call, CALL_TIMEOUT_S
    )
    with traffic.lock:
        traffic.outcomes[f"{call.method} {outcome.outcome}"] += 1
        if outcome.status == 200 and not outcome.is_right:
            traffic.wrong.append(
                f"{address}: {call.method} {call.path} key {call.key}:"
                f" {outcome.body[:200]!r}"
            )
        if call.key and outcome.is_right and call.service == traffic.keyed:
            traffic.owners[call.key] = outcome.owner
    return outcome


def pick(traffic: Traffic, rng: random.Random) -> str:
    """Returns the address of a daemon that is not down."""
    return rng.choice(injection.running_addresses(traffic.state))


def run_reader(traffic: Traffic, seed: str) -> None:
    """Reads from both services until the run ends."""
    rng = random.Random(seed)
    number = 0
    while not traffic.state.stopping.wait(PAUSE_S):
        number += 1
        is_keyed = rng.random() < 0.5
        call = callers.Call(
            "GET",
            traffic.tenant,
            traffic.keyed if is_keyed else traffic.unkeyed,
            f"/jobs/{seed}-{number}",
            f"key-{rng.randrange(KEYS)}" if is_keyed else None,
        )
        send(traffic, pick(traffic, rng), call)


def run_once_sender(traffic: Traffic, seed: str) -> None:
    """Sends requests without an id to the service without keys, each once."""
    rng = random.Random(seed)
    number = 0
    while not traffic.state.stopping.wait(2 * PAUSE_S):
        number += 1
        mark = f"{watching.ONCE}{seed}-{number}"
        call = callers.Call(
            "POST",
            traffic.tenant,
            traffic.unkeyed,
            f"/echo/{mark}",
            mark,
            mark.encode() + rng.randbytes(rng.choice((20, 2000, 50_000))),
        )
        outcome = send(traffic, pick(traffic, rng), call)
        if outcome.outcome == "not-run":
            with traffic.lock:
                traffic.refused.add(mark)


def run_writer(traffic: Traffic, seed: str) -> None:
    """Sends requests with an id to both services until the run ends."""
    rng = random.Random(seed)
    number = 0
    with concurrent.futures.ThreadPoolExecutor(2) as executor:
        while not traffic.state.stopping.wait(PAUSE_S):
            number += 1
            request_id = f"{seed}-{number}"
            slow = ()
            if rng.random() < SLOW_SHARE:
                slow = (("Standin-Service-Ms", str(SLOW_MS)),)
            is_keyed = rng.random() > UNKEYED_SHARE
            call = callers.Call(
                "POST",
                traffic.tenant,
                traffic.keyed if is_keyed else traffic.unkeyed,
                f"/claims/{request_id}",
                f"key-{rng.randrange(KEYS)}" if is_keyed else None,
                request_id.encode(),
                (("Waxwinglever-Request-Id", request_id), *slow),
            )
            end = write(traffic, rng, executor, call)
            with traffic.lock:
                traffic.ends[end] += 1
                if end == "not-run":
                    traffic.refused.add(request_id)


def write(
    traffic: Traffic,
    rng: random.Random,
    executor: concurrent.futures.Executor,
    call: callers.Call,
) -> str:
    """Sends one request with an id as section 10 of docs/design.md says.

    All tries carry one ticket. Now and then two are sent at once through two
    daemons, or one more after the answer. A new ticket is taken only while no
    try is in doubt.

    Returns:
      `ran`, `not-run` when each try was refused, `unknown` or `refused`.
    """
    ticket = ""
    is_doubtful = has_run = False
    for _ in range(MAX_TRIES):
        headers = call.headers
        if ticket:
            headers = (*headers, ("Waxwinglever-Ticket", ticket))
        attempt = attrs.evolve(call, headers=headers)
        count = 2 if ticket and rng.random() < DOUBT_SHARE else 1
        tries = [
            executor.submit(send, traffic, pick(traffic, rng), attempt)
            for _ in range(count)
        ]
        outcomes = [each.result() for each in tries]
        if any(each.outcome == "ran" for each in outcomes):
            if has_run or rng.random() > DOUBT_SHARE:
                return "ran"
            has_run = True
            continue
        # A try without a ticket never runs.
        is_doubtful |= bool(ticket) and any(
            each.outcome in ("unknown", "none") for each in outcomes
        )
        if any(each.outcome == "refused" for each in outcomes):
            return "ran" if has_run else "refused"
        fresh = [e.ticket for e in outcomes if e.kind == TICKET_REQUIRED]
        if fresh and (is_doubtful or has_run):
            return "ran" if has_run else "unknown"
        if fresh:
            ticket = fresh[0]
        elif traffic.state.stopping.wait(rng.uniform(0.05, 0.4)):
            break
    if has_run:
        return "ran"
    return "unknown" if is_doubtful else "not-run"


def send_crashing(traffic: Traffic, key: str, number: int) -> None:
    """Sends a request that crashes its backend server, again and again."""
    rng = random.Random(number)
    call = callers.Call(
        "POST",
        traffic.tenant,
        traffic.keyed,
        "/claims/crash",
        key,
        backend_state.CRASH_BYTES + str(number).encode(),
    )
    for _ in range(CRASH_TRIES):
        outcome = send(traffic, pick(traffic, rng), call)
        if outcome.outcome == "refused":
            with traffic.lock:
                traffic.ends["crashing request refused for good"] += 1
            return
        if traffic.state.stopping.wait(CRASH_PAUSE_S):
            return


def run_prober(traffic: Traffic, keys: list[str], seed: str) -> None:
    """Reads keys in turn and notes when each is not served.

    A key counts as not served when tries through two daemons fail. The time
    runs from the failed try to the next good one.
    """
    rng = random.Random(seed)
    failed_since: dict[str, float] = {}
    while not traffic.state.stopping.wait(PROBE_S / len(keys)):
        keys.append(key := keys.pop(0))
        began_s = clock.boottime_s()
        if any(probe(traffic, pick(traffic, rng), key) for _ in range(2)):
            if key in failed_since:
                since_s = failed_since.pop(key)
                now = clock.boottime_s()
                with traffic.lock:
                    traffic.outages.append(audit.Span(key, since_s, now))
        else:
            failed_since.setdefault(key, began_s)
    with traffic.lock:
        for key, since_s in failed_since.items():
            now = clock.boottime_s()
            traffic.outages.append(audit.Span(key, since_s, now))


def probe(traffic: Traffic, address: str, key: str) -> bool:
    """Returns whether a key is served through a daemon within a second."""
    call = callers.Call("GET", traffic.tenant, traffic.keyed, "/probe", key)
    call = attrs.evolve(call, headers=(("Waxwinglever-Timeout-Ms", "700"),))
    fleet = traffic.state.fleet
    return callers.send(fleet.http, address, call, 1.0).is_right


def drain_under_load(traffic: Traffic, node: str, length_s: float) -> None:
    """Ends a daemon by SIGTERM while it runs requests, and restarts it."""
    state = traffic.state
    if not injection.reserve_vm(state, node):
        return
    vm = state.fleet.vms[node]
    with traffic.lock:
        owned = [k for k, a in traffic.owners.items() if a == vm.http_address]
    slow = (("Standin-Service-Ms", str(SLOW_MS)),)
    service = traffic.keyed if vm.service == traffic.keyed else traffic.unkeyed
    calls = [
        callers.Call(
            "POST", traffic.tenant, service, f"/slow/{n}", key, b"x", slow
        )
        for n, key in enumerate(
            (owned if service == traffic.keyed else [None] * DRAIN_REQUESTS)[
                :DRAIN_REQUESTS
            ]
        )
    ]
    began_s = clock.boottime_s()
    with concurrent.futures.ThreadPoolExecutor(DRAIN_REQUESTS) as executor:
        tries = [
            executor.submit(send, traffic, vm.http_address, call)
            for call in calls
        ]
        state.stopping.wait(DRAIN_HEAD_S)
        drainer = threading.Thread(
            target=injection.drain, args=(state, node, length_s)
        )
        drainer.start()
        outcomes = [each.result() for each in tries]
        ended_s = clock.boottime_s()
        drainer.join()
    cut = tuple(
        o
        for o in outcomes
        if o.outcome in ("none", "unknown") or o.status == 504
    )
    with traffic.lock:
        traffic.drained.append(
            Drained(node, began_s, ended_s, cut, len(outcomes))
        )
