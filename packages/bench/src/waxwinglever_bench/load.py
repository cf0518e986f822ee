"""Open-loop load from several sender processes.

The send times are drawn before the run, and latency is measured from the
intended send time. So a request that is sent late because of slow responses to
earlier ones has the delay in its latency.
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
from waxwinglever_framing import client as framing_client
from waxwinglever_model import clock

PROCESSES = 4
# Threads of one sender process; each has at most one request in flight.
THREADS = 48
# Time in which the senders build their schedules before the first send.
START_DELAY_S = 0.4
WARM_UP_S = 1.0
WINDOW_S = 10.0
MAX_LATENCY_US = 120_000_000
LOAD_POLL_INTERVAL_S = 0.1
BODY_BYTES = 200

CORRECT = "right"
INCORRECT = "wrong"
NO_RESPONSE = "no-reply"

RANDOM = "random"
ROUND_ROBIN = "round-robin"
LEAST_REPORTED = "least-reported"


@attrs.frozen
class Plan:
    """Parameters of a load run.

    Attributes:
      addresses: HTTP addresses of the daemons.
      tenant: Name of the tenant.
      service: Name of the service.
      rate_per_s: Mean rate of requests of the Poisson arrivals.
      seconds: Duration of the run.
      seed: Seed of send times, keys and bodies.
      keys: Number of different keys; 0 for a service without keys.
      safe_share: Share of GET requests; the others are POST requests.
      timeout_ms: Timeout of each request.
      client_ms: Emulated one-way latency between clients and daemons. It would
        shift all send times equally, so the senders only add it to the
        measured latency.
      policy: How senders choose a daemon: RANDOM; or ROUND_ROBIN or
        LEAST_REPORTED, with which the chosen daemon doesn't forward requests.
      backends: Addresses of the backend servers, in the order of the
        daemons; only used by LEAST_REPORTED.
      follows_owner: Whether senders send a request to the owner that the last
        response for the same key named.
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
class RequestSample:
    """The measurement of one request.

    Attributes:
      at_s: Intended send time, from the start of the run.
      late_s: Time from the intended to the actual send time.
      latency_s: Time from the intended send time to the end of the response.
      kind: CORRECT, INCORRECT (a corrupt response or one to another request),
        NO_RESPONSE, the kind of refusal, or `status-` and the HTTP status.
    """

    at_s: float
    late_s: float
    latency_s: float
    kind: str


@attrs.frozen
class LoadResult:
    """The result of a load run.

    Attributes:
      began_s: Start of the run, in clock.boottime_s.
      samples: One for each request, in order of the intended send time.
    """

    began_s: float
    samples: tuple[RequestSample, ...]


@attrs.frozen
class Summary:
    """Statistics of a load run. Latencies are those of correct responses.

    Attributes:
      count: Number of requests.
      kinds: Number of requests by kind.
      p50_ms: Median latency.
      p99_ms: 99th percentile of the latency.
      p999_ms: 99.9th percentile of the latency.
      worst_10s_p99_ms: Highest 99th percentile of the latency in any window of
        10 s, in steps of 1 s.
      sent_late_p99_ms: 99th percentile of the delay of sends, which shows
        whether the senders kept up.
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
        """Number of requests without a correct response."""
        return self.count - self.kinds.get(CORRECT, 0)


@attrs.frozen
class RunningLoad:
    """A load run in progress.

    Attributes:
      began_s: Start of the run, in clock.boottime_s.
      senders: Futures of the samples of each sender process.
    """

    began_s: float
    senders: tuple[futures.Future, ...]


def warm_up() -> None:
    """Occupies a sender process until the others have started too."""
    time.sleep(WARM_UP_S)


def start_senders(executor: futures.Executor) -> None:
    """Starts the sender processes, so that no run waits for their start."""
    for sender in [executor.submit(warm_up) for _ in range(PROCESSES)]:
        sender.result()


def start(
    executor: futures.Executor, plan: Plan, processes: int = PROCESSES
) -> RunningLoad:
    """Starts a load run in the given number of sender processes."""
    began_s = clock.boottime_s() + START_DELAY_S
    senders = tuple(
        executor.submit(run_sender, plan, index, processes, began_s)
        for index in range(processes)
    )
    return RunningLoad(began_s, senders)


def wait_for_result(running_load: RunningLoad) -> LoadResult:
    """Waits for the end of a run and returns its result."""
    samples = [s for sender in running_load.senders for s in sender.result()]
    samples.sort(key=lambda sample: sample.at_s)
    return LoadResult(running_load.began_s, tuple(samples))


def run(executor: futures.Executor, plan: Plan) -> LoadResult:
    """Starts a load run, waits for its end and returns its result."""
    return wait_for_result(start(executor, plan))


def send_times(plan: Plan, rng: random.Random, processes: int) -> list[float]:
    """Draws the send times of one process, in seconds from the start."""
    times = []
    at_s = rng.expovariate(plan.rate_per_s / processes)
    while at_s < plan.seconds:
        times.append(at_s)
        at_s += rng.expovariate(plan.rate_per_s / processes)
    return times


def make_request(plan: Plan, rng: random.Random, name: str) -> callers.Request:
    """Returns a random request.

    `name` is part of the path, and of the body of a POST.
    """
    key = f"key-{rng.randrange(plan.keys)}" if plan.keys else None
    headers = (("Waxwinglever-Timeout-Ms", str(plan.timeout_ms)), *plan.headers)
    if rng.random() < plan.safe_share:
        method, path, body = "GET", f"/jobs/{name}", b""
    else:
        method, path = "POST", f"/claims/{name}"
        body = name.encode() + rng.randbytes(BODY_BYTES)
    return callers.Request(
        method, plan.tenant, plan.service, path, key, body, headers
    )


def run_sender(
    plan: Plan, index: int, processes: int, began_s: float
) -> list[RequestSample]:
    """Sends the requests of one sender process; runs in that process.

    Args:
      plan: Parameters of the load run.
      index: Number of this process.
      processes: Number of processes that share the load.
      began_s: Start of the run, in clock.boottime_s.

    Returns:
      A sample for each request.
    """
    rng = random.Random(f"{plan.seed}/{index}")
    pool = framing_client.new_pool_manager(
        framing_client.FramedConnectionPool,
        num_pools=64,
        maxsize=plan.threads,
        retries=False,
    )
    stopping = threading.Event()
    choose, headers = daemon_chooser(plan, index, rng, pool, stopping)
    schedule = iter(enumerate(send_times(plan, rng, processes)))
    lock = threading.Lock()
    samples: list[RequestSample] = []
    owners: dict[str, str] = {}

    def send_next() -> bool:
        with lock:
            number, at_s = next(schedule, (0, None))
            if at_s is None:
                return False
            request = make_request(plan, rng, f"{plan.seed}-{index}-{number}")
        request = attrs.evolve(request, headers=(*request.headers, *headers))
        time.sleep(max(0.0, began_s + at_s - clock.boottime_s()))
        address = owners.get(request.key) or choose()
        late_s = clock.boottime_s() - began_s - at_s
        response = callers.send(
            pool, address, request, timeout_s=plan.timeout_ms / 1000 + 1
        )
        latency_s = clock.boottime_s() - began_s - at_s
        if plan.follows_owner:
            owners[request.key] = response.owner
        latency_s += 2 * plan.client_ms / 1000
        samples.append(
            RequestSample(at_s, late_s, latency_s, classify(response))
        )
        return True

    def send_until_done() -> None:
        while send_next():
            pass

    threads = [
        threading.Thread(target=send_until_done) for _ in range(plan.threads)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    stopping.set()
    pool.clear()
    return samples


def daemon_chooser(
    plan: Plan,
    index: int,
    rng: random.Random,
    pool: urllib3.PoolManager,
    stopping: threading.Event,
) -> tuple[Callable[[], str], tuple[tuple[str, str], ...]]:
    """Returns a function that chooses a daemon, and headers to send to it.

    The baseline policies send a hop count with which a daemon serves the
    request itself instead of forwarding it.
    """
    lock = threading.Lock()
    no_forwarding = (("Waxwinglever-Hops", "1"),)
    daemon_rng = random.Random(f"{plan.seed}/{index}/daemon")
    if plan.policy == RANDOM:

        def next_random() -> str:
            with lock:
                return daemon_rng.choice(plan.addresses)

        return next_random, ()
    if plan.policy == ROUND_ROBIN:
        # A random start keeps the processes from choosing the same daemons.
        position = rng.randrange(len(plan.addresses))

        def next_in_turn() -> str:
            nonlocal position
            with lock:
                position = (position + 1) % len(plan.addresses)
                return plan.addresses[position]

        return next_in_turn, no_forwarding
    loads = dict.fromkeys(plan.addresses, 0)

    def poll_loads() -> None:
        while not stopping.wait(LOAD_POLL_INTERVAL_S):
            for address, backend in zip(plan.addresses, plan.backends):
                try:
                    response = pool.request(
                        "GET", f"http://{backend}/_backend/load", timeout=1.0
                    )
                    loads[address] = response.json()["running"]
                except (urllib3.exceptions.HTTPError, ValueError, KeyError):
                    loads[address] = math.inf

    threading.Thread(target=poll_loads, daemon=True).start()

    def least_reported() -> str:
        with lock:
            return min(
                loads, key=lambda name: (loads[name], daemon_rng.random())
            )

    return least_reported, no_forwarding


def classify(response: callers.Response) -> str:
    """Returns the kind under which a sample is counted."""
    if response.is_correct:
        return CORRECT
    if response.status == 0:
        return NO_RESPONSE
    if response.status == 200:
        return INCORRECT
    return response.kind or f"status-{response.status}"


def percentiles_ms(
    seconds: Iterable[float], wanted: tuple[float, ...]
) -> list[float]:
    """Returns percentiles of durations, in ms; 0 if there are none."""
    durations = histogram.HdrHistogram(1, MAX_LATENCY_US, 3)
    for item in seconds:
        durations.record_value(min(MAX_LATENCY_US, max(1, round(item * 1e6))))
    return [durations.get_value_at_percentile(p) / 1000 for p in wanted]


def correct_latencies_s(samples: Iterable[RequestSample]) -> list[float]:
    """Returns the latencies of the correct responses, in seconds."""
    return [sample.latency_s for sample in samples if sample.kind == CORRECT]


def worst_window_ms(samples: Iterable[RequestSample]) -> float:
    """Returns the highest p99 in any window of WINDOW_S, in steps of 1 s."""
    samples = list(samples)
    if not samples:
        return 0.0
    end_s = max(sample.at_s for sample in samples)
    starts = range(max(1, math.ceil(end_s - WINDOW_S) + 1))
    return max(
        percentiles_ms(
            correct_latencies_s(
                s for s in samples if start_s <= s.at_s < start_s + WINDOW_S
            ),
            (99.0,),
        )[0]
        for start_s in starts
    )


def summarize(samples: Iterable[RequestSample]) -> Summary:
    """Returns the statistics of samples."""
    samples = list(samples)
    p50_ms, p99_ms, p999_ms = percentiles_ms(
        correct_latencies_s(samples), (50.0, 99.0, 99.9)
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
