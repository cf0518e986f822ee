"""The state of one daemon that its request threads share."""

import threading
from collections.abc import Callable
from concurrent import futures

import attrs

from waxwinglever_admission import gate_state
from waxwinglever_admission import outcomes
from waxwinglever_backend import client as backend_client
from waxwinglever_front import concurrency
from waxwinglever_front import http_messages
from waxwinglever_model import cells
from waxwinglever_model import clock
from waxwinglever_ownership import config_cache
from waxwinglever_ownership import directory
from waxwinglever_ownership import node as nodes
from waxwinglever_peers import links
from waxwinglever_routing import balancer
from waxwinglever_routing import budgets
from waxwinglever_routing import hotkeys
from waxwinglever_routing import record_cache as record_caches
from waxwinglever_telemetry import metrics

RETRY_RATIO = 0.1
RETRY_BURST = 10
# About 5% of the requests are slower than the hedging delay, and slow nodes add
# to that.
HEDGE_RATIO = 0.1
HEDGE_BURST = 5
# Consecutive timeouts after which the backend server counts as frozen.
MAX_CONSECUTIVE_TIMEOUTS = 3
# Size of the executor for hedged requests. First attempts also run in it, so it
# needs as many threads as there are such requests at a time.
HEDGE_THREADS = 64
# Default of the setting http_threads.
DEFAULT_HTTP_THREADS = 128


@attrs.define(eq=False)
class LocalBackend:
    """The backend server beside this daemon.

    Attributes:
      address: host:port of the backend server.
      slots: Number of requests that it can run at once, as announced.
      client: Functions that send requests to it.
      gate: Admission control for all requests to it.
      outcomes: Outcomes of requests with an id and an unsafe method.
      last_announced_s: When it last announced itself.
      state: What it announced: `starting`, `ready` or `draining`.
      consecutive_timeouts: Number of consecutive requests without a response.
      checks_fences: Whether it announced that it checks fences.
    """

    address: str
    slots: int
    client: backend_client.BackendClient
    gate: gate_state.Gate
    outcomes: outcomes.OutcomeTable
    last_announced_s: float
    state: str
    checks_fences: bool
    consecutive_timeouts: int = 0


@attrs.define(eq=False)
class RequestContext:
    """The state that the threads of the request path share.

    Attributes:
      local_member: This node as a member of its cell.
      config_cache: The active configurations.
      cell_directory: Summaries of all known cells.
      peers: Functions that send messages to other daemons.
      forward: Forwards a request to the daemon at an HTTP address.
      metrics: Histograms and counters.
      log: Called with an event name and fields.
      traffic_counters: Byte counts of messages between daemons.
      now: The clock.
      node: This node's membership in its cell, once its backend server
        announced itself.
      local_backend: The backend server beside this daemon, once announced.
      record_cache: Records of other cells.
      balancers: Load balancers by cell, for services without keys.
      retry_budget: Limits retries to a share of the requests.
      hedge_budget: Limits second attempts to a share of the requests.
      hedge_executor: Executor that runs the attempts of hedged requests.
      hot_keys: Request rates and hot keys of this node's slices.
      request_limits: Limits of concurrent requests.
      is_draining: Whether the daemon refuses new requests for its backend
        server.
      stopping: Set when the daemon's threads must end.
      lock: Guards `balancers`.
    """

    local_member: cells.Member
    config_cache: config_cache.ConfigCache
    cell_directory: directory.CellDirectory
    peers: links.PeerClient
    forward: Callable[[str, http_messages.Request], http_messages.Response]
    metrics: metrics.Metrics
    log: Callable[..., None]
    traffic_counters: links.TrafficCounters = attrs.Factory(
        links.TrafficCounters
    )
    now: Callable[[], float] = clock.boottime_s
    node: nodes.CellNode | None = None
    local_backend: LocalBackend | None = None
    record_cache: record_caches.RecordCache = attrs.Factory(
        record_caches.RecordCache
    )
    balancers: dict[str, balancer.Balancer] = attrs.Factory(dict)
    retry_budget: budgets.Budget = attrs.Factory(
        lambda: budgets.Budget(RETRY_RATIO, RETRY_BURST)
    )
    hedge_budget: budgets.Budget = attrs.Factory(
        lambda: budgets.Budget(HEDGE_RATIO, HEDGE_BURST)
    )
    hedge_executor: futures.ThreadPoolExecutor = attrs.Factory(
        lambda: futures.ThreadPoolExecutor(HEDGE_THREADS, "hedge")
    )
    hot_keys: hotkeys.HotKeys = attrs.Factory(hotkeys.HotKeys)
    request_limits: concurrency.RequestLimits = attrs.Factory(
        lambda: concurrency.limits_for_threads(DEFAULT_HTTP_THREADS)
    )
    is_draining: bool = False
    stopping: threading.Event = attrs.Factory(threading.Event)
    lock: threading.Lock = attrs.Factory(threading.Lock)


def is_own_service(context: RequestContext, tenant: str, service: str) -> bool:
    """Returns whether this node is in the cell of the service."""
    node = context.node
    return node is not None and (node.tenant, node.service) == (
        tenant,
        service,
    )


def balancer_for(context: RequestContext, cell: str) -> balancer.Balancer:
    """Returns the balancer of a cell, creating it on first use."""
    with context.lock:
        found = context.balancers.get(cell)
        if found is None:
            found = context.balancers[cell] = balancer.Balancer()
        return found
