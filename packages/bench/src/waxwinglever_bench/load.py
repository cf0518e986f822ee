"""Open-loop load from several sender processes.

The send times are drawn before the run, and latency counts from the intended
send time, so that a slow reply delays no later request unnoticed.
"""

import collections
import math
import random
import threading
import time
from collections.abc import Callable
from collections.abc import Iterable
from concurrent import futures

import attrs
from hdrh import histogram
import urllib3

from waxwinglever_bench import callers
from waxwinglever_model import clock

PROCESSES = 4
# Threads of one sender process; each has at most one request running.
THREADS = 48
# The senders build their schedules before the first send.
LEAD_S = 0.4
WARM_UP_S = 1.0
WINDOW_S = 10.0
MAX_LATENCY_US = 120_000_000
POLL_LOAD_S = 0.1
BODY_BYTES = 200

RIGHT = "right"
WRONG = "wrong"
NO_REPLY = "no-reply"

RANDOM = "random"
ROUND_ROBIN = "round-robin"
LEAST_REPORTED = "least-reported"


@attrs.frozen
class Plan:
    """One run of load.

    Attributes:
      addresses: http addresses of the daemons.
      tenant: Name of the tenant.
      service: Name of the service.
      rate_per_s: Mean rate of requests; they arrive independently.
      seconds: Length of the run.
      seed: Seed of send times, keys and bodies.
      keys: Number of different keys; 0 for a service without keys.
      safe_share: Share of GET requests; the others are POST.
      timeout_ms: Timeout of each request.
      client_ms: One-way latency to the clients. It shifts all send times
        alike, so it is added to the latency instead of being waited for.
      policy: RANDOM daemon; or ROUND_ROBIN or LEAST_REPORTED, which choose the
        daemon that runs the request itself.
      backends: Addresses of the backend servers, in the order of the
        daemons; only for LEAST_REPORTED.
      follows_owner: Whether a caller sends the next request for a key to the
        owner that the last reply for it named.
      headers: Further request headers.
      threads: Threads of each sender process.
    """

    addresses: tuple[str, ...]
    tenant: str
    service: str
    rate_per_s: float
    seconds: float
    seed: int = 1
    keys: int = 0
    safe_share: float = 0.8
    timeout_ms: int = 2000
    client_ms: float = 1.0
    policy: str = RANDOM
    backends: tuple[str, ...] = ()
    follows_owner: bool = False
    headers: tuple[tuple[str, str], ...] = ()
    threads: int = THREADS


@attrs.frozen
class Sample:
    """One request.

    Attributes:
      at_s: Intended send time after the start of the run.
      late_s: From the intended to the actual send time.
      latency_s: From the intended send time to the whole reply.
      kind: RIGHT, WRONG (a reply to another request or a broken one),
        NO_REPLY, or the kind of refusal.
    """

    at_s: float
    late_s: float
    latency_s: float
    kind: str


@attrs.frozen
class Result:
    """What a run brought.

    Attributes:
      began_s: Start on clock.boottime_s.
      samples: By intended send time.
    """

    began_s: float
    samples: tuple[Sample, ...]


@attrs.frozen
class Summary:
    """Figures of a run; latencies of right replies in milliseconds.

    Attributes:
      count: Requests.
      kinds: Requests by kind.
      p50_ms: Median.
      p99_ms: 99th percentile.
      p999_ms: 99.9th percentile.
      worst_10s_p99_ms: Highest 99th percentile of any 10 s, in steps of 1 s.
      sent_late_p99_ms: 99th percentile of how late the senders were; it tells
        whether they kept up.
    """

    count: int
    kinds: dict[str, int]
    p50_ms: float
    p99_ms: float
    p999_ms: float
    worst_10s_p99_ms: float
    sent_late_p99_ms: float

    @property
    def errors(self) -> int:
        """Requests without a right reply."""
        return self.count - self.kinds.get(RIGHT, 0)


@attrs.frozen
class Running:
    """A run of load that was begun."""

    began_s: float
    parts: tuple[futures.Future, ...]


def warm_up() -> None:
    """Keeps a sender process busy until the others have started too."""
    time.sleep(WARM_UP_S)


def start_senders(executor: futures.Executor) -> None:
    """Starts the sender processes, so that no run waits for their start."""
    for part in [executor.submit(warm_up) for _ in range(PROCESSES)]:
        part.result()


def begin(
    executor: futures.Executor, plan: Plan, processes: int = PROCESSES
) -> Running:
    """Starts a run of load in the sender processes."""
    began_s = clock.boottime_s() + LEAD_S
    parts = tuple(
        executor.submit(send_part, plan, index, processes, began_s)
        for index in range(processes)
    )
    return Running(began_s, parts)


def collect(running: Running) -> Result:
    """Waits for the end of a run."""
    samples = [s for part in running.parts for s in part.result()]
    samples.sort(key=lambda sample: sample.at_s)
    return Result(running.began_s, tuple(samples))


def run(executor: futures.Executor, plan: Plan) -> Result:
    """Runs load and returns what it brought."""
    return collect(begin(executor, plan))


def send_times(plan: Plan, rng: random.Random, processes: int) -> list[float]:
    """Returns the send times of one process, in seconds after the start."""
    times = []
    at_s = rng.expovariate(plan.rate_per_s / processes)
    while at_s < plan.seconds:
        times.append(at_s)
        at_s += rng.expovariate(plan.rate_per_s / processes)
    return times


def make_call(plan: Plan, rng: random.Random, name: str) -> callers.Call:
    """Returns a request; its path and body are distinct by `name`."""
    key = f"key-{rng.randrange(plan.keys)}" if plan.keys else None
    headers = (("Waxwinglever-Timeout-Ms", str(plan.timeout_ms)), *plan.headers)
    if rng.random() < plan.safe_share:
        method, path, body = "GET", f"/jobs/{name}", b""
    else:
        method, path = "POST", f"/claims/{name}"
        body = name.encode() + rng.randbytes(BODY_BYTES)
    return callers.Call(
        method, plan.tenant, plan.service, path, key, body, headers
    )


def send_part(
    plan: Plan, index: int, processes: int, began_s: float
) -> list[Sample]:
    """Sends the requests of one process; runs in that process."""
    rng = random.Random(f"{plan.seed}/{index}")
    pool = urllib3.PoolManager(
        num_pools=64, maxsize=plan.threads, retries=False
    )
    stopping = threading.Event()
    choose, headers = chooser(plan, index, rng, pool, stopping)
    work = iter(enumerate(send_times(plan, rng, processes)))
    lock = threading.Lock()
    samples: list[Sample] = []
    owners: dict[str, str] = {}

    def send_next() -> bool:
        with lock:
            number, at_s = next(work, (0, None))
            if at_s is None:
                return False
            call = make_call(plan, rng, f"{plan.seed}-{index}-{number}")
        call = attrs.evolve(call, headers=(*call.headers, *headers))
        time.sleep(max(0.0, began_s + at_s - clock.boottime_s()))
        address = owners.get(call.key) or choose()
        late_s = clock.boottime_s() - began_s - at_s
        outcome = callers.send(
            pool, address, call, timeout_s=plan.timeout_ms / 1000 + 1
        )
        latency_s = clock.boottime_s() - began_s - at_s
        if plan.follows_owner:
            owners[call.key] = outcome.owner
        latency_s += 2 * plan.client_ms / 1000
        samples.append(Sample(at_s, late_s, latency_s, kind_of(outcome)))
        return True

    def work_off() -> None:
        while send_next():
            pass

    threads = [threading.Thread(target=work_off) for _ in range(plan.threads)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    stopping.set()
    pool.clear()
    return samples


def chooser(
    plan: Plan,
    index: int,
    rng: random.Random,
    pool: urllib3.PoolManager,
    stopping: threading.Event,
) -> tuple[Callable[[], str], tuple[tuple[str, str], ...]]:
    """Returns the choice of a daemon and the headers that go with it.

    The baselines send with a hop count, at which a daemon serves the request
    itself instead of choosing a node.
    """
    lock = threading.Lock()
    serve_itself = (("Waxwinglever-Hops", "1"),)
    draw = random.Random(f"{plan.seed}/{index}/daemon")
    if plan.policy == RANDOM:

        def at_random() -> str:
            with lock:
                return draw.choice(plan.addresses)

        return at_random, ()
    if plan.policy == ROUND_ROBIN:
        # Each process starts elsewhere, so that they don't go in step.
        turn = rng.randrange(len(plan.addresses))

        def next_one() -> str:
            nonlocal turn
            with lock:
                turn = (turn + 1) % len(plan.addresses)
                return plan.addresses[turn]

        return next_one, serve_itself
    loads = dict.fromkeys(plan.addresses, 0)

    def poll() -> None:
        while not stopping.wait(POLL_LOAD_S):
            for address, backend in zip(plan.addresses, plan.backends):
                try:
                    answer = pool.request(
                        "GET", f"http://{backend}/_backend/load", timeout=1.0
                    )
                    loads[address] = answer.json()["running"]
                except (urllib3.exceptions.HTTPError, ValueError, KeyError):
                    loads[address] = math.inf

    threading.Thread(target=poll, daemon=True).start()

    def least_reported() -> str:
        with lock:
            return min(loads, key=lambda name: (loads[name], draw.random()))

    return least_reported, serve_itself


def kind_of(outcome: callers.Outcome) -> str:
    """Returns the kind under which a sample is counted."""
    if outcome.is_right:
        return RIGHT
    if outcome.status == 0:
        return NO_REPLY
    if outcome.status == 200:
        return WRONG
    return outcome.kind or f"status-{outcome.status}"


def percentiles_ms(
    seconds: Iterable[float], wanted: tuple[float, ...]
) -> list[float]:
    """Returns percentiles of durations in milliseconds; 0 without any."""
    counts = histogram.HdrHistogram(1, MAX_LATENCY_US, 3)
    for item in seconds:
        counts.record_value(min(MAX_LATENCY_US, max(1, round(item * 1e6))))
    return [counts.get_value_at_percentile(p) / 1000 for p in wanted]


def right_latencies(samples: Iterable[Sample]) -> list[float]:
    """Returns the latencies of the right replies, in seconds."""
    return [sample.latency_s for sample in samples if sample.kind == RIGHT]


def worst_window_ms(samples: Iterable[Sample]) -> float:
    """Returns the highest p99 of any window of WINDOW_S, in steps of 1 s."""
    samples = list(samples)
    if not samples:
        return 0.0
    end_s = max(sample.at_s for sample in samples)
    starts = range(max(1, math.ceil(end_s - WINDOW_S) + 1))
    return max(
        percentiles_ms(
            right_latencies(
                s for s in samples if start <= s.at_s < start + WINDOW_S
            ),
            (99.0,),
        )[0]
        for start in starts
    )


def summarize(samples: Iterable[Sample]) -> Summary:
    """Returns the figures of samples."""
    samples = list(samples)
    p50_ms, p99_ms, p999_ms = percentiles_ms(
        right_latencies(samples), (50.0, 99.0, 99.9)
    )
    (late_ms,) = percentiles_ms((s.late_s for s in samples), (99.0,))
    return Summary(
        count=len(samples),
        kinds=dict(collections.Counter(sample.kind for sample in samples)),
        p50_ms=p50_ms,
        p99_ms=p99_ms,
        p999_ms=p999_ms,
        worst_10s_p99_ms=worst_window_ms(samples),
        sent_late_p99_ms=late_ms,
    )
