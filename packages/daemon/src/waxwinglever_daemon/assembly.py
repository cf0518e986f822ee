"""Builds a daemon from its components, and drains and closes it."""

import threading

import attrs

from waxwinglever_admission import gate
from waxwinglever_admission import gate_state
from waxwinglever_admission import outcomes
from waxwinglever_backend import http as backend_http
from waxwinglever_daemon import faults
from waxwinglever_daemon import settings as settings_module
from waxwinglever_front import announcements
from waxwinglever_front import concurrency
from waxwinglever_front import crash_reports
from waxwinglever_front import forward
from waxwinglever_front import request_context
from waxwinglever_front import status
from waxwinglever_model import cells
from waxwinglever_model import exceptions
from waxwinglever_model import identifiers
from waxwinglever_ownership import config_cache
from waxwinglever_ownership import directory
from waxwinglever_ownership import handlers
from waxwinglever_ownership import lifecycle
from waxwinglever_ownership import node as nodes
from waxwinglever_peers import links
from waxwinglever_peers import messages
from waxwinglever_routing import hotkeys
from waxwinglever_store import client as store_client
from waxwinglever_store import http as store_http
from waxwinglever_telemetry import logs
from waxwinglever_telemetry import metrics

WATCH_INTERVAL_S = 0.25
DRAIN_POLL_INTERVAL_S = 0.05
# The cold start that applies until a configuration contains the service.
DEFAULT_COLD_START_SLOTS = 2
DEFAULT_COLD_START_S = 10.0


@attrs.define(eq=False)
class Daemon:
    """The components of one daemon.

    Attributes:
      settings: Settings of the daemon.
      context: State that the threads of the request path share.
      store: Client of the platform's store.
      link_faults: Faults that tests inject into the links between daemons.
      server: Listens for messages of other daemons.
      watcher: Thread that watches the backend server.
      lock: Held while an announcement of the backend server is handled.
    """

    settings: settings_module.Settings
    context: request_context.RequestContext
    store: store_client.StoreClient
    link_faults: faults.LinkFaults
    server: links.PeerServer | None = None
    watcher: threading.Thread | None = None
    lock: threading.Lock = attrs.Factory(threading.Lock)


def assemble(settings: settings_module.Settings) -> Daemon:
    """Builds a daemon that listens for messages of other daemons.

    It joins a cell when its backend server announces itself.

    Raises:
      InvalidInput: The peer address can't be bound.
    """
    link_faults = faults.LinkFaults()
    traffic_counters = links.TrafficCounters()
    request_limits = concurrency.limits_for_threads(settings.http_threads)
    host = settings.http_address.rpartition(":")[0]
    log = logs.get_logger()
    context = request_context.RequestContext(
        local_member=cells.Member(
            node=settings.node,
            incarnation=identifiers.new_id(),
            peer_address=settings.peer_address,
            http_address=settings.http_address,
            zone=settings.zone,
        ),
        config_cache=config_cache.ConfigCache(),
        cell_directory=directory.CellDirectory(),
        peers=faults.wrap_client(
            links.new_peer_client(traffic_counters), link_faults
        ),
        forward=faults.wrap_forward(
            forward.make_forwarder(host, request_limits.peer_limits),
            link_faults,
        ),
        metrics=metrics.Metrics(),
        log=log.info,
        traffic_counters=traffic_counters,
        request_limits=request_limits,
    )
    daemon = Daemon(
        settings=settings,
        context=context,
        store=store_http.new_http_client(
            settings.store_address, source_address=host
        ),
        link_faults=link_faults,
    )
    daemon.server = links.serve(
        settings.peer_address,
        lambda message: handle_message(daemon, message),
        lambda error: log.warning("message-refused", error=str(error)),
        traffic_counters,
    )
    daemon.watcher = threading.Thread(
        target=watch_backend, args=(daemon,), name="backend-watch", daemon=True
    )
    daemon.watcher.start()
    return daemon


def handle_message(
    daemon: Daemon, message: messages.Message
) -> messages.Message:
    """Returns the reply to a message of another daemon.

    Raises:
      InvalidInput: This daemon is in no cell, or the message is invalid, or
        handling it failed unexpectedly.
    """
    node = daemon.context.node
    if node is None:
        raise exceptions.InvalidInput(
            f"node {daemon.settings.node} has not joined a cell yet",
            "wait until its backend server has announced itself",
        )
    try:
        return handlers.handle(node, message)
    except exceptions.WaxwingleverError:
        raise
    except Exception as error:  # pylint: disable=broad-exception-caught
        # Any other exception would end the only thread that replies to other
        # daemons.
        daemon.context.log("message-failed", error=repr(error))
        raise exceptions.InvalidInput(
            f"{type(message).__name__} failed: {type(error).__name__}",
            "report the event message-failed in this daemon's log",
        ) from error


def handle_announcement(
    daemon: Daemon, announcement: announcements.Announcement
) -> None:
    """Applies an announcement of the backend server.

    The first one connects to the server and joins the cell of its service.

    Raises:
      InvalidInput: The server belongs to another service than before.
    """
    context = daemon.context
    with daemon.lock:
        if context.node is None:
            context.node = join_cell(daemon, announcement)
        elif (context.node.tenant, context.node.service) != (
            announcement.tenant,
            announcement.service,
        ):
            raise exceptions.InvalidInput(
                "this daemon serves"
                f" {context.node.tenant}/{context.node.service}",
                "restart the daemon to serve another service on its VM",
            )
        local_backend = context.local_backend
        if (
            local_backend is None
            or local_backend.address != announcement.address
        ):
            local_backend = context.local_backend = connect_backend(
                daemon, announcement
            )
        if local_backend.slots != announcement.slots:
            local_backend.slots = announcement.slots
            policy = make_policy(context, context.node, local_backend.slots)
            gate.set_policy(local_backend.gate, policy)
        local_backend.last_announced_s = context.now()
        local_backend.state = announcement.state
        local_backend.checks_fences = announcement.checks_fences
    gate.record_boot_id(local_backend.gate, announcement.boot_id)


def join_cell(
    daemon: Daemon, announcement: announcements.Announcement
) -> nodes.CellNode:
    """Joins the cell of the announced service and starts the node's threads."""
    context = daemon.context
    dependencies = nodes.NodeDependencies(
        store=daemon.store,
        peers=context.peers,
        log=context.log,
        loads=lambda: slice_loads(context),
        on_crash_report=lambda report: crash_reports.apply_report(
            context, report
        ),
    )
    node = nodes.new_node(
        announcement.tenant,
        announcement.service,
        context.local_member,
        dependencies,
        context.config_cache,
        context.cell_directory,
    )
    lifecycle.start(node)
    context.log(
        "backend-announced",
        tenant=announcement.tenant,
        service=announcement.service,
        address=announcement.address,
        checks_fences=announcement.checks_fences,
    )
    return node


def slice_loads(
    context: request_context.RequestContext,
) -> tuple[messages.SliceLoad, ...]:
    """Returns the loads of the slices that this node holds."""
    node = context.node
    if node is None:
        return ()
    with node.state.lock:
        held_slices = list(node.state.leases)
    hotkeys.retain_only(context.hot_keys, held_slices)
    return hotkeys.slice_loads(context.hot_keys)


def connect_backend(
    daemon: Daemon, announcement: announcements.Announcement
) -> request_context.LocalBackend:
    """Returns the state for the announced backend server, with a new gate.

    The outcome table is kept when the server returns at another address.
    Tickets of this incarnation of the daemon stay valid, so with a new table
    requests could be executed twice.
    """
    context = daemon.context
    previous = context.local_backend
    return request_context.LocalBackend(
        address=announcement.address,
        slots=announcement.slots,
        client=backend_http.new_http_client(
            announcement.address, connections=announcement.connections
        ),
        gate=gate_state.Gate(
            make_policy(context, context.node, announcement.slots), context.now
        ),
        outcomes=(
            previous.outcomes
            if previous is not None
            else outcomes.OutcomeTable(
                context.local_member.incarnation, context.now
            )
        ),
        last_announced_s=context.now(),
        state=announcement.state,
        checks_fences=announcement.checks_fences,
    )


def make_policy(
    context: request_context.RequestContext,
    node: nodes.CellNode,
    slots: int,
) -> gate_state.Policy:
    """Returns the gate's limits.

    The announced slots are capped by the configured ones. Until a
    configuration contains the service, the default cold start applies.
    """
    service = config_cache.find_service(
        context.config_cache, node.tenant, node.service
    )
    queue_limit = context.request_limits.queue_limit
    if service is None:
        return gate_state.Policy(
            slots=slots,
            queue_limit=queue_limit,
            cold_start_slots=min(DEFAULT_COLD_START_SLOTS, slots),
            cold_start_s=DEFAULT_COLD_START_S,
        )
    slots = min(slots, service.slots)
    return gate_state.Policy(
        slots=slots,
        queue_limit=queue_limit,
        cold_start_slots=min(service.cold_start.initial_slots, slots),
        cold_start_s=service.cold_start.seconds,
        weights={item.name: item.weight for item in service.classes},
    )


def apply_configs(context: request_context.RequestContext) -> None:
    """Applies the active configurations to the gate and the metrics."""
    with context.config_cache.lock:
        current_configs = list(context.config_cache.configs.values())
    for config in current_configs:
        for service in config.services:
            class_names = tuple(item.name for item in service.classes)
            context.metrics.set_classes(
                config.tenant, service.name, class_names
            )
    if context.local_backend is not None:
        policy = make_policy(context, context.node, context.local_backend.slots)
        gate.set_policy(context.local_backend.gate, policy)


def watch_backend(daemon: Daemon) -> None:
    """Runs until the daemon stops; checks the backend server regularly.

    While the server is absent or frozen, or this node leaves its cell, the
    node is marked as draining so that its slices move to other nodes. Each
    pass also applies new configurations and drops the outcomes of slices that
    this node lost.
    """
    context = daemon.context
    applied_generations: dict[str, int] = {}
    while not context.stopping.wait(WATCH_INTERVAL_S):
        node = context.node
        if node is None:
            continue
        generations = config_cache.generations(context.config_cache)
        if (
            generations != applied_generations
            and context.local_backend is not None
        ):
            apply_configs(context)
            applied_generations = generations
        drop_lost_epochs(context)
        is_unavailable = not status.backend_is_ready(context) or is_frozen(
            context
        )
        with node.state.lock:
            should_drain = is_unavailable or node.leaving
            if node.state.draining == should_drain:
                continue
            node.state.draining = should_drain
        context.log(
            "draining-changed",
            draining=should_drain,
            backend=not is_unavailable,
        )


def drop_lost_epochs(context: request_context.RequestContext) -> None:
    """Drops the outcomes of epochs that the record assigns to other nodes."""
    node, local_backend = context.node, context.local_backend
    with node.state.lock:
        record = node.state.record
    if record is None or local_backend is None or not record.slices:
        return
    owned = {
        (record.cell, item.epoch)
        for item in record.slices
        if item.owner == context.local_member.node
    }
    for cell, epoch in set(local_backend.outcomes.epochs) - owned:
        outcomes.drop_epoch(local_backend.outcomes, cell, epoch)


def is_frozen(context: request_context.RequestContext) -> bool:
    """Returns whether the backend server is frozen.

    That is the case when MAX_CONSECUTIVE_TIMEOUTS requests in a row timed out
    and a health check fails too. A health check that succeeds resets the count.
    """
    local_backend = context.local_backend
    if (
        local_backend.consecutive_timeouts
        < request_context.MAX_CONSECUTIVE_TIMEOUTS
    ):
        return False
    try:
        local_backend.client.health()
    except exceptions.WaxwingleverError:
        return True
    local_backend.consecutive_timeouts = 0
    return False


def drain(daemon: Daemon) -> bool:
    """Leaves the cell, which hands over all slices, and finishes requests.

    Returns:
      Whether this node left the cell within drain_timeout_s.
    """
    context = daemon.context
    context.is_draining = True
    if context.node is None:
        return True
    timeout_s = daemon.settings.drain_timeout_s
    deadline = context.now() + timeout_s
    has_left = lifecycle.leave(context.node, timeout_s)
    # Handing over slices waits for their requests, but a service without keys
    # has no slices.
    while is_busy(context) and context.now() < deadline:
        context.stopping.wait(DRAIN_POLL_INTERVAL_S)
    return has_left


def is_busy(context: request_context.RequestContext) -> bool:
    """Returns whether requests are in flight or queued at the gate."""
    if context.local_backend is None:
        return False
    snapshot = gate.snapshot(context.local_backend.gate)
    return bool(snapshot.in_flight or snapshot.waiting)


def close(daemon: Daemon) -> None:
    """Stops the threads and closes all connections."""
    context = daemon.context
    context.stopping.set()
    if context.node is not None:
        lifecycle.stop(context.node)
    daemon.watcher.join()
    daemon.server.close()
    context.peers.close()
    daemon.store.close()
    context.hedge_executor.shutdown(wait=False, cancel_futures=True)
