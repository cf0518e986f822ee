"""Puts the parts of a daemon together."""

import threading

import attrs

from waxwinglever_admission import gate
from waxwinglever_admission import outcomes
from waxwinglever_backend import http as backend_http
from waxwinglever_daemon import faults
from waxwinglever_daemon import settings as settings_module
from waxwinglever_front import announcements
from waxwinglever_front import crashes
from waxwinglever_front import forward
from waxwinglever_front import places
from waxwinglever_front import site as sites
from waxwinglever_front import status
from waxwinglever_model import cells
from waxwinglever_model import exceptions
from waxwinglever_model import identifiers
from waxwinglever_ownership import configs
from waxwinglever_ownership import directory
from waxwinglever_ownership import handlers
from waxwinglever_ownership import lifecycle
from waxwinglever_ownership import node as ownership_node
from waxwinglever_peers import links
from waxwinglever_peers import messages
from waxwinglever_routing import hotkeys
from waxwinglever_store import calls as store_calls
from waxwinglever_store import http as store_http
from waxwinglever_telemetry import logs
from waxwinglever_telemetry import metrics

WATCH_INTERVAL_S = 0.25
DRAIN_INTERVAL_S = 0.05
# Until a configuration names the service, a new server gets this little.
DEFAULT_COLD_SLOTS = 2
DEFAULT_COLD_S = 10.0


@attrs.define(eq=False)
class Daemon:
    """The parts of one daemon.

    Attributes:
      settings: Its settings.
      site: The request path.
      store: Calls to the store.
      cuts: Links cut by fault injection.
      server: The listening side of the links between daemons.
      watcher: Thread that watches the backend server.
      stopping: Set when the daemon stops.
    """

    settings: settings_module.Settings
    site: sites.Site
    store: store_calls.StoreCalls
    cuts: faults.Cuts
    server: links.PeerServer | None = None
    watcher: threading.Thread | None = None
    lock: threading.Lock = attrs.Factory(threading.Lock)


def assemble(settings: settings_module.Settings) -> Daemon:
    """Returns a daemon that listens to other daemons.

    Raises:
      InvalidInput: The peer address can't be bound.
    """
    cuts = faults.Cuts()
    traffic = links.Traffic()
    held = places.for_threads(settings.http_threads)
    host = settings.http_address.rpartition(":")[0]
    log = logs.logger()
    site = sites.Site(
        me=cells.Member(
            node=settings.node,
            incarnation=identifiers.new_id(),
            peer_address=settings.peer_address,
            http_address=settings.http_address,
            zone=settings.zone,
        ),
        book=configs.ConfigBook(),
        lines=directory.Directory(),
        peers=faults.cut_calls(links.pynng_calls(traffic), cuts),
        forward=faults.cut_forward(
            forward.http_forward(host, held.links), cuts
        ),
        metrics=metrics.Metrics(),
        log=log.info,
        traffic=traffic,
        places=held,
    )
    daemon = Daemon(
        settings=settings,
        site=site,
        store=store_http.http_store(
            settings.store_address, source_address=host
        ),
        cuts=cuts,
    )
    daemon.server = links.serve(
        settings.peer_address,
        lambda message: handle(daemon, message),
        lambda error: log.warning("message-refused", error=str(error)),
        traffic,
    )
    daemon.watcher = threading.Thread(
        target=watch_backend, args=(daemon,), name="backend-watch", daemon=True
    )
    daemon.watcher.start()
    return daemon


def handle(daemon: Daemon, message: messages.Message) -> messages.Message:
    """Returns the answer to a message of another daemon.

    Raises:
      InvalidInput: The message can't be handled.
    """
    node = daemon.site.node
    if node is None:
        raise exceptions.InvalidInput(
            f"node {daemon.settings.node} is in no cell yet",
            "wait until its backend server has announced itself",
        )
    try:
        return handlers.handle(node, message)
    except exceptions.WaxwingleverError:
        raise
    except Exception as error:  # pylint: disable=broad-exception-caught
        # An error that left this function would end the only thread that
        # answers other daemons.
        daemon.site.log("message-failed", error=repr(error))
        raise exceptions.InvalidInput(
            f"{type(message).__name__} failed: {type(error).__name__}",
            "report the log line message-failed of this daemon",
        ) from error


def take_announcement(
    daemon: Daemon, announcement: announcements.Announcement
) -> None:
    """Connects to the backend server and joins the cell of its service.

    Raises:
      InvalidInput: The server is of another service than the one before.
    """
    site = daemon.site
    with daemon.lock:
        if site.node is None:
            site.node = join_cell(daemon, announcement)
        elif (site.node.tenant, site.node.service) != (
            announcement.tenant,
            announcement.service,
        ):
            raise exceptions.InvalidInput(
                f"this daemon serves {site.node.tenant}/{site.node.service}",
                "restart the daemon before its VM gets another service",
            )
        local = site.local
        if local is None or local.address != announcement.address:
            local = site.local = connect(daemon, announcement)
        if local.slots != announcement.slots:
            local.slots = announcement.slots
            policy = make_policy(site, site.node, local.slots)
            gate.set_policy(local.gate, policy)
        local.heard_s = site.now()
        local.state = announcement.state
        local.checks_fences = announcement.checks_fences
    gate.saw_boot(local.gate, announcement.boot_id)


def join_cell(
    daemon: Daemon, announcement: announcements.Announcement
) -> ownership_node.CellNode:
    """Starts this daemon's part in the cell of the service."""
    site = daemon.site
    around = ownership_node.Surroundings(
        store=daemon.store,
        peers=site.peers,
        log=site.log,
        loads=lambda: slice_loads(site),
        on_crash_report=lambda report: crashes.learn(site, report),
    )
    node = ownership_node.new_node(
        announcement.tenant,
        announcement.service,
        site.me,
        around,
        site.book,
        site.lines,
    )
    lifecycle.start(node)
    site.log(
        "backend-announced",
        tenant=announcement.tenant,
        service=announcement.service,
        address=announcement.address,
        checks_fences=announcement.checks_fences,
    )
    return node


def slice_loads(site: sites.Site) -> tuple[messages.SliceLoad, ...]:
    """Returns the loads of the slices that this node owns."""
    node = site.node
    if node is None:
        return ()
    with node.state.lock:
        held = list(node.state.held)
    hotkeys.retain(site.heat, held)
    return hotkeys.loads(site.heat)


def connect(
    daemon: Daemon, announcement: announcements.Announcement
) -> sites.Local:
    """Returns the gate and the calls for a backend server.

    A server that comes back at another address keeps the table of outcomes:
    tickets of this incarnation stay valid, so a new table would let requests
    run again.
    """
    site = daemon.site
    known = site.local
    return sites.Local(
        address=announcement.address,
        slots=announcement.slots,
        calls=backend_http.http_backend(
            announcement.address, connections=announcement.connections
        ),
        gate=gate.Gate(
            make_policy(site, site.node, announcement.slots), site.now
        ),
        outcomes=(
            known.outcomes
            if known is not None
            else outcomes.Outcomes(site.me.incarnation, site.now)
        ),
        heard_s=site.now(),
        state=announcement.state,
        checks_fences=announcement.checks_fences,
    )


def make_policy(
    site: sites.Site, node: ownership_node.CellNode, slots: int
) -> gate.Policy:
    """Returns the gate's limits: what is announced, within what is configured.

    Until a configuration names the service, the default cold start applies.
    """
    service = configs.service_of(site.book, node.tenant, node.service)
    queue_limit = site.places.queue_limit
    if service is None:
        return gate.Policy(
            slots=slots,
            queue_limit=queue_limit,
            cold_start_slots=min(DEFAULT_COLD_SLOTS, slots),
            cold_start_s=DEFAULT_COLD_S,
        )
    slots = min(slots, service.slots)
    return gate.Policy(
        slots=slots,
        queue_limit=queue_limit,
        cold_start_slots=min(service.cold_start.initial_slots, slots),
        cold_start_s=service.cold_start.seconds,
        weights={item.name: item.weight for item in service.classes},
    )


def apply_config(site: sites.Site) -> None:
    """Brings the gate and the metrics in line with the configuration."""
    with site.book.lock:
        current = list(site.book.configs.values())
    for item in current:
        for service in item.services:
            names = tuple(each.name for each in service.classes)
            site.metrics.set_classes(item.tenant, service.name, names)
    if site.local is not None:
        policy = make_policy(site, site.node, site.local.slots)
        gate.set_policy(site.local.gate, policy)


def watch_backend(daemon: Daemon) -> None:
    """Hands the slices back while the backend server is absent or frozen.

    It also brings the gate in line with the configuration.
    """
    site = daemon.site
    applied: dict[str, int] = {}
    while not site.stopping.wait(WATCH_INTERVAL_S):
        node = site.node
        if node is None:
            continue
        accepted = configs.generations(site.book)
        if accepted != applied and site.local is not None:
            apply_config(site)
            applied = accepted
        drop_lost_epochs(site)
        is_gone = not status.is_present(site) or is_frozen(site)
        with node.state.lock:
            should_drain = is_gone or node.leaving
            if node.state.draining == should_drain:
                continue
            node.state.draining = should_drain
        site.log("draining-changed", draining=should_drain, backend=not is_gone)


def drop_lost_epochs(site: sites.Site) -> None:
    """Forgets outcomes of epochs that the record gives to other nodes."""
    node, local = site.node, site.local
    with node.state.lock:
        record = node.state.record
    if record is None or local is None or not record.slices:
        return
    owned = {
        (record.cell, item.epoch)
        for item in record.slices
        if item.owner == site.me.node
    }
    for cell, epoch in set(local.outcomes.epochs) - owned:
        outcomes.drop_epoch(local.outcomes, cell, epoch)


def is_frozen(site: sites.Site) -> bool:
    """Returns whether the server answers neither requests nor health checks."""
    local = site.local
    if local.timeouts < sites.FROZEN_AFTER_TIMEOUTS:
        return False
    try:
        local.calls.health()
    except exceptions.WaxwingleverError:
        return True
    local.timeouts = 0
    return False


def drain(daemon: Daemon) -> bool:
    """Hands back all slices and leaves the cell; requests in flight finish.

    Returns:
      Whether this node left the record in time.
    """
    site = daemon.site
    site.closing = True
    if site.node is None:
        return True
    timeout_s = daemon.settings.drain_timeout_s
    deadline = site.now() + timeout_s
    has_left = lifecycle.leave(site.node, timeout_s)
    # A service without keys has no slices whose handover waits for requests.
    while is_busy(site) and site.now() < deadline:
        site.stopping.wait(DRAIN_INTERVAL_S)
    return has_left


def is_busy(site: sites.Site) -> bool:
    """Returns whether requests run on the backend server or wait for it."""
    if site.local is None:
        return False
    snapshot = gate.snapshot(site.local.gate)
    return bool(snapshot.in_flight or snapshot.waiting)


def close(daemon: Daemon) -> None:
    """Stops the threads and closes the links."""
    site = daemon.site
    site.stopping.set()
    if site.node is not None:
        lifecycle.stop(site.node)
    daemon.watcher.join()
    daemon.server.close()
    site.peers.close()
    daemon.store.close()
    site.hedgers.shutdown(wait=False, cancel_futures=True)
