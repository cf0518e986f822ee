"""The state of one daemon that its request threads share."""

import threading
from collections.abc import Callable
from concurrent import futures

import attrs

from waxwinglever_admission import gate
from waxwinglever_admission import outcomes
from waxwinglever_backend import calls as backend_calls
from waxwinglever_front import exchange
from waxwinglever_front import places as places_module
from waxwinglever_model import cells
from waxwinglever_model import clock
from waxwinglever_ownership import configs
from waxwinglever_ownership import directory
from waxwinglever_ownership import node as ownership_node
from waxwinglever_peers import links
from waxwinglever_routing import balancer
from waxwinglever_routing import budgets
from waxwinglever_routing import hotkeys
from waxwinglever_routing import record_cache
from waxwinglever_telemetry import metrics

RETRY_RATIO = 0.1
RETRY_BURST = 10
# About 5% of the requests are slower than the hedging delay, and slow nodes add
# to that.
HEDGE_RATIO = 0.1
HEDGE_BURST = 5
# Consecutive timeouts after which the backend server counts as frozen.
FROZEN_AFTER_TIMEOUTS = 3
# Size of the executor for hedged requests. First attempts also run in it, so it
# needs as many threads as there are such requests at a time.
HEDGE_THREADS = 64
# Default of the setting http_threads.
DEFAULT_HTTP_THREADS = 128


@attrs.define(eq=False)
class Local:
    """The backend server beside this daemon.

    Attributes:
      address: host:port of the backend server.
      slots: Number of requests that it can run at once, as announced.
      calls: Functions that send requests to it.
      gate: Admission control for all requests to it.
      outcomes: Outcomes of non-idempotent requests with an id.
      heard_s: When it last announced itself.
      state: What it announced: `starting`, `ready` or `draining`.
      timeouts: Number of consecutive requests without an answer.
      checks_fences: Whether it announced that it checks fences.
    """

    address: str
    slots: int
    calls: backend_calls.BackendCalls
    gate: gate.Gate
    outcomes: outcomes.Outcomes
    heard_s: float
    state: str
    checks_fences: bool
    timeouts: int = 0


@attrs.define(eq=False)
class Site:
    """The state that the threads of the request path share.

    Attributes:
      me: This node as a member of its cell.
      book: The active configurations.
      lines: Directory of the cells.
      peers: Functions that send messages to other daemons.
      forward: Forwards a request to the daemon at an HTTP address.
      metrics: Histograms and counters.
      log: Called with an event name and fields.
      traffic_counters: Byte counts of messages between daemons.
      now: The clock.
      node: This node's membership in its cell, once its backend server
        announced itself.
      local: The backend server beside this daemon, once announced.
      cached: Records of other cells.
      balancers: Load balancers by cell, for services without keys.
      retries: Budget for retries.
      hedges: Budget for hedged requests.
      hedgers: Executor that runs the attempts of hedged requests.
      heat: Request rates and hot keys of this node's slices.
      places: Limits of concurrent requests.
      closing: Whether the daemon takes no new work for its backend server.
      stopping: Set when the daemon's threads must end.
      lock: Guards node, local and balancers.
    """

    me: cells.Member
    book: configs.ConfigBook
    lines: directory.Directory
    peers: links.PeerClient
    forward: Callable[[str, exchange.Request], exchange.Reply]
    metrics: metrics.Metrics
    log: Callable[..., None]
    traffic_counters: links.TrafficCounters = attrs.Factory(
        links.TrafficCounters
    )
    now: Callable[[], float] = clock.boottime_s
    node: ownership_node.CellNode | None = None
    local: Local | None = None
    cached: record_cache.RecordCache = attrs.Factory(record_cache.RecordCache)
    balancers: dict[str, balancer.Balancer] = attrs.Factory(dict)
    retries: budgets.Budget = attrs.Factory(
        lambda: budgets.Budget(RETRY_RATIO, RETRY_BURST)
    )
    hedges: budgets.Budget = attrs.Factory(
        lambda: budgets.Budget(HEDGE_RATIO, HEDGE_BURST)
    )
    hedgers: futures.ThreadPoolExecutor = attrs.Factory(
        lambda: futures.ThreadPoolExecutor(HEDGE_THREADS, "hedge")
    )
    heat: hotkeys.HotKeys = attrs.Factory(hotkeys.HotKeys)
    places: places_module.Places = attrs.Factory(
        lambda: places_module.for_threads(DEFAULT_HTTP_THREADS)
    )
    closing: bool = False
    stopping: threading.Event = attrs.Factory(threading.Event)
    lock: threading.Lock = attrs.Factory(threading.Lock)


def is_own_service(site: Site, tenant: str, service: str) -> bool:
    """Returns whether this node is in the cell of the service."""
    node = site.node
    return node is not None and (node.tenant, node.service) == (
        tenant,
        service,
    )


def balancer_for(site: Site, cell: str) -> balancer.Balancer:
    """Returns the balancer of a cell, creating it on first use."""
    with site.lock:
        found = site.balancers.get(cell)
        if found is None:
            found = site.balancers[cell] = balancer.Balancer()
        return found
