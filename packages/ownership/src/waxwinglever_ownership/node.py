"""One daemon's part in its cell: membership, election and leadership.

The control thread runs `run_control`; while the node leads, one thread for
each member runs `run_peer`. Each is a loop that calls, applies the answer and
waits on a condition.
"""

import random
import threading
import traceback
from collections.abc import Callable

import attrs

from waxwinglever_model import cells
from waxwinglever_model import clock
from waxwinglever_model import exceptions
from waxwinglever_model import limits
from waxwinglever_ownership import changes
from waxwinglever_ownership import configs
from waxwinglever_ownership import directory
from waxwinglever_ownership import elections
from waxwinglever_ownership import leadership
from waxwinglever_ownership import membership
from waxwinglever_ownership import records
from waxwinglever_peers import links
from waxwinglever_peers import messages
from waxwinglever_records import config
from waxwinglever_store import calls as store_calls

JOIN_INTERVAL_S = 0.5
CHANGE_INTERVAL_S = 0.1
STORE_RETRY_S = 0.2
# The store is asked for the lines of other cells this often by each leader.
DIRECTORY_INTERVAL_S = 2.0
CONFIG_WATCH_S = 10.0
# A daemon that hears no leader reads the configuration this often.
CONFIG_POLL_S = 2.0
LEAVE_INTERVAL_S = 0.1
THREAD_RESTART_S = 1.0
LOAD_REPORT_S = 2.0


@attrs.frozen
class Surroundings:
    """What a node uses of its daemon.

    Attributes:
      store: Calls to the platform's store.
      peers: Calls to other daemons.
      now: Seconds on this node's clock.
      log: Called with an event name and fields for each notable event.
      loads: Returns the loads of this node's slices.
      on_crash_report: Told of suspects that another daemon reports.
    """

    store: store_calls.StoreCalls
    peers: links.PeerCalls
    log: Callable[..., None]
    now: Callable[[], float] = clock.boottime_s
    loads: Callable[[], tuple[messages.SliceLoad, ...]] = tuple
    on_crash_report: Callable[[messages.CrashReport], None] = lambda _: None


@attrs.define(eq=False)
class CellNode:
    """State of one daemon's part in its cell.

    Attributes:
      tenant: Name of the tenant.
      service: Name of the service.
      me: This node as it is to be recorded.
      around: What the node uses of its daemon.
      book: Configurations in force.
      lines: Lines of the tenant's cells.
      state: Membership in the cell.
      leader: State of the current leadership, while this node leads.
      stand_now: Whether a leaving leader asked this node to stand.
      leaving: Whether this node asks to be removed from the record.
      removed: Whether the leader said that it is not recorded any more.
      next_report: When the loads are reported next, in seconds.
      stopping: Set when the threads must end.
      threads: Control, configuration and directory threads.
    """

    tenant: str
    service: str
    me: cells.Member
    around: Surroundings
    book: configs.ConfigBook
    lines: directory.Directory
    state: membership.MemberState
    leader: leadership.LeaderState | None = None
    stand_now: bool = False
    leaving: bool = False
    removed: bool = False
    next_report: float = 0.0
    stopping: threading.Event = attrs.Factory(threading.Event)
    threads: list[threading.Thread] = attrs.Factory(list)


def cell_name(tenant: str, service: str) -> str:
    """Returns the name of the only cell of a service."""
    return f"{tenant}/{service}/0"


def new_node(
    tenant: str,
    service: str,
    me: cells.Member,
    around: Surroundings,
    book: configs.ConfigBook,
    lines: directory.Directory,
) -> CellNode:
    """Returns a node that has not joined its cell yet."""
    state = membership.MemberState(
        cell=cell_name(tenant, service),
        node=me.node,
        incarnation=me.incarnation,
        last_heard=around.now(),
    )
    return CellNode(tenant, service, me, around, book, lines, state)


def start(node: CellNode) -> None:
    """Starts the threads of the node."""
    for name, target in (
        ("control", run_control),
        ("configs", run_configs),
        ("directory", run_directory),
    ):
        thread = threading.Thread(
            target=supervise, args=(node, target), name=name, daemon=True
        )
        node.threads.append(thread)
        thread.start()


def supervise(node: CellNode, target: Callable[[CellNode], None]) -> None:
    """Runs a thread's function again after an unexpected error.

    A leadership ends with the error, so no state of it is used again.
    """
    while not node.stopping.is_set():
        try:
            target(node)
        except Exception as error:  # pylint: disable=broad-exception-caught
            node.around.log(
                "thread-failed",
                thread=threading.current_thread().name,
                error=repr(error),
                traceback=traceback.format_exc(),
            )
            node.stopping.wait(THREAD_RESTART_S)


def stop(node: CellNode) -> None:
    """Ends the threads of the node; leases run out by themselves."""
    node.stopping.set()
    with node.state.lock:
        node.state.lock.notify_all()
    leader = node.leader
    if leader is not None:
        leadership.step_down(leader)
    for thread in node.threads:
        thread.join()


# Messages from other daemons.


def handle(node: CellNode, message: messages.Message) -> messages.Message:
    """Returns the answer to a message of another daemon.

    Raises:
      InvalidInput: The message is an answer, or for another cell.
    """
    match message:
        case messages.Heartbeat():
            return handle_heartbeat(node, message)
        case messages.ElectionProbe():
            return messages.ElectionProbeReply(
                node.me.node,
                membership.is_silent(node.state, node.around.now()),
                node.state.term,
            )
        case messages.TransferLeadership():
            if message.cell == node.state.cell:
                with node.state.lock:
                    node.stand_now = True
                    node.state.lock.notify_all()
            return messages.Accepted()
        case messages.JoinRequest():
            return handle_join(node, message)
        case messages.MapRequest():
            return handle_map(node, message)
        case messages.DirectoryExchange():
            return handle_exchange(node, message)
        case messages.CrashReport():
            node.around.on_crash_report(message)
            return messages.Accepted()
    raise exceptions.InvalidInput(
        f"{type(message).__name__} is not a request",
        "check which program sends to the peer port",
    )


def handle_heartbeat(
    node: CellNode, heartbeat: messages.Heartbeat
) -> messages.HeartbeatAck:
    """Applies a heartbeat, with what it carries, and acknowledges it."""
    for update in heartbeat.configs:
        accept_config(node, update.tenant, update.value)
    if heartbeat.directory is not None:
        directory.learn(node.lines, heartbeat.directory)
    loads = due_loads(node)
    ack = membership.accept_heartbeat(node.state, heartbeat, node.around.now())
    log_ownership(node)
    return attrs.evolve(
        ack,
        generations=configs.generations(node.book),
        directory_version=heartbeat.directory_version,
        loads=loads,
    )


def due_loads(node: CellNode) -> tuple[messages.SliceLoad, ...] | None:
    """Returns the loads of this node's slices, if it is time to report them.

    A report takes about 1.5 KB, too much for each acknowledgement.
    """
    now = node.around.now()
    if now < node.next_report:
        return None
    node.next_report = now + LOAD_REPORT_S
    return node.around.loads()


def handle_join(
    node: CellNode, request: messages.JoinRequest
) -> messages.JoinReply:
    """Notes a join or leave while leading; names the leader otherwise."""
    leader = node.leader
    if leader is None or leader.stepped_down or not is_mine(node, request.cell):
        return messages.JoinReply(False, leader_address(node))
    with leader.lock:
        recorded = leader.record.member(request.member.node)
        if request.leaving:
            if recorded is not None:
                leader.leaving.add(request.member.node)
            is_done = recorded is None
        else:
            is_done = recorded == request.member
            if not is_done:
                leader.joins[request.member.node] = request.member
        leader.lock.notify_all()
    return messages.JoinReply(True, node.me.peer_address, is_done)


def is_mine(node: CellNode, cell: str) -> bool:
    """Returns whether the name is that of this node's cell."""
    return cell == node.state.cell


def leader_address(node: CellNode) -> str:
    """Returns the peer address of the leader that this node hears, or ''."""
    with node.state.lock:
        record = node.state.record
        name = node.state.leader
    member = record.member(name) if record is not None else None
    return member.peer_address if member is not None else ""


def handle_map(
    node: CellNode, request: messages.MapRequest
) -> messages.MapReply:
    """Returns the record of this node's cell if it is newer than known."""
    if not is_mine(node, request.cell):
        raise exceptions.InvalidInput(
            f"node {node.me.node} is not in cell {request.cell!r}",
            "forget the address and read the directory again",
        )
    with node.state.lock:
        record, version = node.state.record, node.state.version
    if record is None or version <= request.known_version:
        return messages.MapReply(request.cell, version)
    return messages.MapReply(request.cell, version, record)


def handle_exchange(
    node: CellNode, message: messages.DirectoryExchange
) -> messages.DirectoryExchange:
    """Takes what another leader knows and returns what it lacks."""
    directory.learn(node.lines, message.lines)
    for update in message.configs:
        accept_config(node, update.tenant, update.value)
    return exchange_message(node, message.generations)


def exchange_message(
    node: CellNode, known: dict[str, int]
) -> messages.DirectoryExchange:
    """Returns this node's lines and the configurations newer than known."""
    _, lines = directory.snapshot(node.lines)
    return messages.DirectoryExchange(
        lines,
        configs.generations(node.book),
        configs.updates_for(node.book, known, (node.tenant,)),
    )


def accept_config(node: CellNode, tenant: str, value: str) -> None:
    """Takes a configuration into force if it is newer, and logs it."""
    if configs.offer(node.book, tenant, value):
        node.around.log(
            "config-accepted",
            tenant=tenant,
            generation=configs.generations(node.book)[tenant],
        )


def log_ownership(node: CellNode) -> None:
    """Logs each lease that began or ended since the last call."""
    for change in membership.take_changes(node.state):
        node.around.log(
            change.event,
            cell=node.state.cell,
            start=change.item.start,
            last=change.item.last,
            epoch=change.item.epoch,
            term=change.term,
            at_s=change.at_s,
            reason=change.reason,
        )


# The control thread.


def run_control(node: CellNode) -> None:
    """Joins the cell, waits for silence and leads when elected."""
    while not node.stopping.is_set():
        await_silence(node)
        if node.stopping.is_set():
            return
        try:
            leader = stand(node)
        except (exceptions.StoreUnavailable, exceptions.InvalidInput) as error:
            node.around.log("election-failed", error=str(error))
            node.stopping.wait(STORE_RETRY_S)
            continue
        except exceptions.Conflict:
            # Another candidate was first; its heartbeats are on their way.
            restart_silence(node)
            continue
        if leader is None:
            # An old value of the store or missing support: not at once again.
            node.stopping.wait(STORE_RETRY_S)
        else:
            lead(node, leader)


def await_silence(node: CellNode) -> None:
    """Returns when no leader was heard for the silence limit.

    A node that the record does not hold as it is asks the leader to record
    it meanwhile.
    """
    limit = elections.silence_limit_s(
        node.state.record, node.me.node, random.random()
    )
    next_join = node.around.now()
    while not node.stopping.is_set() and not node.stand_now:
        now = node.around.now()
        if now - node.state.last_heard > limit:
            return
        if now >= next_join:
            ask_to_join(node)
            next_join = now + JOIN_INTERVAL_S
        wait_s = min(node.state.last_heard + limit, next_join) - now
        with node.state.lock:
            if not node.stopping.is_set() and not node.stand_now:
                node.state.lock.wait(max(0.01, wait_s))
        log_expired(node)


def log_expired(node: CellNode) -> None:
    """Drops and logs the leases that ran out without a heartbeat."""
    with node.state.lock:
        membership.drop_ended(node.state, node.around.now())
    log_ownership(node)


def restart_silence(node: CellNode) -> None:
    """Gives another candidate the time to send its first heartbeats."""
    with node.state.lock:
        node.state.last_heard = node.around.now()


def ask_to_join(node: CellNode) -> None:
    """Asks the leader to record this node as it is, or to remove it."""
    record = node.state.record
    known = record.member(node.me.node) if record is not None else None
    if known == node.me and not node.leaving:
        return
    address = leader_address(node)
    if not address:
        return
    request = messages.JoinRequest(node.state.cell, node.me, node.leaving)
    try:
        reply = node.around.peers.call(address, request, limits.PEER_TIMEOUT_S)
    except exceptions.PeerUnavailable:
        return
    if isinstance(reply, messages.JoinReply) and reply.accepted:
        node.removed = node.leaving and reply.recorded


def stand(node: CellNode) -> leadership.LeaderState | None:
    """Takes the next term if a majority hears no leader (R4, R10).

    Returns:
      The state of the new leadership, or None when this node must not lead.

    Raises:
      StoreUnavailable: The store did not answer.
      Conflict: Another candidate was first.
    """
    is_asked = node.stand_now
    node.stand_now = False
    record, version = records.read(node.around.store, node.state.cell)
    if record is None:
        return create_cell(node)
    with node.state.lock:
        if record.term < node.state.term:
            # An old value: the store has served a higher term before.
            return None
        if node.state.record is None or version > node.state.version:
            node.state.record, node.state.version = record, version
        is_new_term = record.term > node.state.term
        if is_new_term:
            # Somebody took this term already: wait for its heartbeats first.
            node.state.term = record.term
            node.state.leader = record.leader
            node.state.sequence = 0
            node.state.send_times.clear()
    if record.member(node.me.node) is None or node.leaving:
        restart_silence(node)
        ask_to_join(node)
        return None
    if is_new_term and record.leader != node.me.node:
        restart_silence(node)
        return None
    if not is_asked and not has_support(node, record):
        return None
    taken = elections.next_term(record, node.me.node, node.me.incarnation)
    version = records.write(node.around.store, taken, version)
    return begin_leadership(node, taken, version, is_new_cell=False)


def create_cell(node: CellNode) -> leadership.LeaderState | None:
    """Creates the cell's record with this node as its only member."""
    rules = configs.rules_for(node.book, node.tenant, node.service)
    if rules is None:
        # The configuration thread reads it from the store.
        return None
    record = elections.first_record(node.state.cell, node.me, rules.keyed)
    version = records.write(node.around.store, record, 0)
    return begin_leadership(node, record, version, is_new_cell=True)


def begin_leadership(
    node: CellNode,
    record: cells.CellRecord,
    version: int,
    is_new_cell: bool,
) -> leadership.LeaderState:
    """Returns the state of a leadership that the store has confirmed."""
    node.around.log(
        "leader-began", cell=record.cell, term=record.term, reason="elected"
    )
    return leadership.new_leader(
        record, version, node.around.now(), is_new_cell
    )


def has_support(node: CellNode, record: cells.CellRecord) -> bool:
    """Asks the other members whether they hear the leader (R10)."""
    replies: list[messages.ElectionProbeReply] = []
    probe = messages.ElectionProbe(
        node.state.cell, node.state.term, node.me.node
    )

    def ask(address: str) -> None:
        try:
            reply = node.around.peers.call(
                address, probe, limits.PEER_TIMEOUT_S
            )
        except exceptions.PeerUnavailable:
            return
        if isinstance(reply, messages.ElectionProbeReply):
            replies.append(reply)

    threads = [
        threading.Thread(target=ask, args=(member.peer_address,), daemon=True)
        for member in record.members
        if member.node != node.me.node
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    rules = configs.rules_for(node.book, node.tenant, node.service)
    retired = rules.retired if rules is not None else frozenset()
    return elections.may_stand(record, node.me.node, replies, retired)


# Leadership.


def lead(node: CellNode, leader: leadership.LeaderState) -> None:
    """Leads the cell until a higher term is seen or the node stops."""
    node.leader = leader
    peers: dict[str, threading.Thread] = {}
    try:
        while not leader.stepped_down and not node.stopping.is_set():
            start_peers(node, leader, peers)
            rules = configs.rules_for(node.book, node.tenant, node.service)
            with leader.lock:
                note_own_membership(node, leader)
            if rules is not None:
                record = changes.plan_change(leader, rules, node.around.now())
                if record is not None:
                    write_change(node, leader, record)
                    continue
            if node.leaving and transfer(node, leader):
                break
            with leader.lock:
                if not leader.stepped_down:
                    leader.lock.wait(CHANGE_INTERVAL_S)
    finally:
        leadership.step_down(leader)
        node.leader = None
        for thread in peers.values():
            thread.join()
        node.around.log(
            "leader-ended",
            cell=leader.record.cell,
            term=leader.record.term,
            reason="stopping" if node.stopping.is_set() else "higher term",
        )
        restart_silence(node)


def note_own_membership(node: CellNode, leader: leadership.LeaderState) -> None:
    """Records the leader's own incarnation and address when they differ."""
    recorded = leader.record.member(node.me.node)
    if recorded != node.me and not node.leaving:
        leader.joins[node.me.node] = node.me
    elif node.leaving:
        leader.leaving.add(node.me.node)


def start_peers(
    node: CellNode,
    leader: leadership.LeaderState,
    peers: dict[str, threading.Thread],
) -> None:
    """Starts the thread of each member that has none."""
    with leader.lock:
        members = {member.node: member for member in leader.record.members}
    for name, thread in list(peers.items()):
        if name not in members and not thread.is_alive():
            del peers[name]
    for name in members:
        if name not in peers:
            peers[name] = threading.Thread(
                target=run_peer,
                args=(node, leader, name),
                name=f"peer-{name}",
                daemon=True,
            )
            peers[name].start()


def run_peer(node: CellNode, leader: leadership.LeaderState, name: str) -> None:
    """Sends heartbeats to one member until it leaves or the term ends."""
    while not leader.stepped_down:
        with leader.lock:
            member = leader.record.member(name)
        if member is None:
            return
        began = node.around.now()
        heartbeat = leadership.next_heartbeat(leader, name, began)
        if heartbeat is None:
            return
        heartbeat = attach_news(node, leader, name, heartbeat)
        try:
            if name == node.me.node:
                reply = handle_heartbeat(node, heartbeat)
            else:
                reply = node.around.peers.call(
                    member.peer_address, heartbeat, limits.PEER_TIMEOUT_S
                )
        except exceptions.WaxwingleverError:
            reply = None
        if isinstance(reply, messages.HeartbeatAck):
            leadership.accept_ack(leader, name, reply, node.around.now())
        wait_for_next_heartbeat(node, leader, name, heartbeat, began)


def wait_for_next_heartbeat(
    node: CellNode,
    leader: leadership.LeaderState,
    name: str,
    heartbeat: messages.Heartbeat,
    began: float,
) -> None:
    """Waits for the interval, or less when the member must hear of a change."""
    with leader.lock:
        while not leader.stepped_down:
            left = began + limits.HEARTBEAT_INTERVAL_S - node.around.now()
            if left <= 0:
                return
            if has_news(leader, name, heartbeat):
                return
            leader.lock.wait(left)


def has_news(
    leader: leadership.LeaderState, name: str, heartbeat: messages.Heartbeat
) -> bool:
    """Returns whether a change concerns the member since its heartbeat."""
    if leader.version != heartbeat.record_version:
        return True
    revoked = {
        item.ref
        for item in leader.record.slices
        if item.owner == name and item.ref in leader.revoking
    }
    return revoked != set(heartbeat.revoke)


def attach_news(
    node: CellNode,
    leader: leadership.LeaderState,
    name: str,
    heartbeat: messages.Heartbeat,
) -> messages.Heartbeat:
    """Adds the configurations and the directory that the member lacks."""
    with leader.lock:
        follower = leadership.follower_of(leader, name)
        known, known_version = follower.generations, follower.directory_version
    version, lines = directory.snapshot(node.lines)
    return attrs.evolve(
        heartbeat,
        configs=configs.updates_for(node.book, known, (node.tenant,)),
        directory=lines if known_version != version else None,
        directory_version=version,
    )


def write_change(
    node: CellNode, leader: leadership.LeaderState, record: cells.CellRecord
) -> None:
    """Writes the pending record until it is confirmed or the term ends.

    An unconfirmed write is never given up: the store may apply it late, and a
    successor would then read owners that this leader does not know of.
    """
    while not leader.stepped_down and not node.stopping.is_set():
        try:
            version = records.write(node.around.store, record, leader.version)
        except exceptions.StoreUnavailable as error:
            node.around.log("record-write-unknown", error=str(error))
            with leader.lock:
                if not leader.stepped_down:
                    leader.lock.wait(STORE_RETRY_S)
            continue
        except exceptions.Conflict:
            leadership.step_down(leader)
            return
        log_assignments(node, leader.record, record)
        leadership.confirm_change(leader, version)
        return


def log_assignments(
    node: CellNode, before: cells.CellRecord, after: cells.CellRecord
) -> None:
    """Logs each change of ownership that the store has confirmed."""
    known = {item.ref: item.owner for item in before.slices}
    for item in after.slices:
        if item.ref not in known and item.owner != cells.NO_OWNER:
            node.around.log(
                "slice-assigned",
                cell=after.cell,
                start=item.start,
                last=item.last,
                owner=item.owner,
                epoch=item.epoch,
                term=after.term,
            )
    members = {member.node for member in before.members}
    for name in {member.node for member in after.members} ^ members:
        node.around.log(
            "member-joined" if name not in members else "member-left",
            cell=after.cell,
            member=name,
            term=after.term,
        )


def transfer(node: CellNode, leader: leadership.LeaderState) -> bool:
    """Hands the leadership over when this leaving node owns nothing.

    Returns:
      Whether the node may stop leading.
    """
    with leader.lock:
        record = leader.record
        is_ready = leader.pending is None and not changes.owns_any(
            record, node.me.node
        )
        silent = {
            member.node
            for member in record.members
            if leadership.is_silent(leader, member.node, node.around.now())
        }
    if not is_ready:
        return False
    for member in record.members:
        if member.node in silent or member.node == node.me.node:
            continue
        request = messages.TransferLeadership(record.cell, record.term)
        try:
            node.around.peers.call(
                member.peer_address, request, limits.PEER_TIMEOUT_S
            )
            return True
        except exceptions.PeerUnavailable:
            continue
    # The only member has nobody to hand over to.
    node.removed = True
    return True


def leave(node: CellNode, timeout_s: float) -> bool:
    """Hands back all slices and leaves the record.

    Args:
      node: The node.
      timeout_s: How long to try; without a store the record stays as it is.

    Returns:
      Whether this node owns nothing and is not recorded any more.
    """
    with node.state.lock:
        node.state.draining = True
        node.leaving = True
        node.state.lock.notify_all()
    deadline = node.around.now() + timeout_s
    while node.around.now() < deadline:
        if node.leader is None:
            ask_to_join(node)
        if node.removed:
            return True
        node.stopping.wait(LEAVE_INTERVAL_S)
    return False


# Configuration and directory.


def run_configs(node: CellNode) -> None:
    """Keeps the configuration up to date.

    The leader watches the store. Other members get it in heartbeats, and read
    the store at a limited rate while they hear no leader.
    """
    version = 0
    while not node.stopping.is_set():
        key = config.store_key(node.tenant)
        try:
            if node.leader is not None:
                entry = node.around.store.watch(key, version, CONFIG_WATCH_S)
            elif is_uninformed(node):
                entry = node.around.store.get(key)
            else:
                entry = None
        except exceptions.StoreUnavailable:
            entry = None
            node.stopping.wait(STORE_RETRY_S)
        if entry is not None:
            version = entry.version
            accept_config(node, node.tenant, entry.value)
        if node.leader is None:
            node.stopping.wait(CONFIG_POLL_S * random.uniform(0.5, 1.0))


def is_uninformed(node: CellNode) -> bool:
    """Returns whether the node has or gets no configuration."""
    if node.tenant not in configs.generations(node.book):
        return True
    return membership.is_silent(node.state, node.around.now())


def run_directory(node: CellNode) -> None:
    """While leading, learns of other cells from the store and from leaders."""
    while not node.stopping.is_set():
        if node.leader is not None:
            try:
                read_directory(node)
            except exceptions.StoreUnavailable:
                exchange_directories(node)
        elif not node.lines.lines:
            try:
                read_directory(node)
            except exceptions.StoreUnavailable:
                pass
        node.stopping.wait(DIRECTORY_INTERVAL_S * random.uniform(0.8, 1.0))


def read_directory(node: CellNode) -> None:
    """Learns the lines of the tenant's cells from the store."""
    prefix = records.store_key(f"{node.tenant}/")
    lines = []
    for entry in node.around.store.list_prefix(prefix):
        try:
            record = records.decode(entry.value)
        except exceptions.InvalidInput as error:
            node.around.log("record-ignored", key=entry.key, error=str(error))
            continue
        lines.append(cells.line_of(record, entry.version))
    directory.learn(node.lines, lines)


def exchange_directories(node: CellNode) -> None:
    """Exchanges lines and configurations with the leaders of other cells."""
    _, lines = directory.snapshot(node.lines)
    for line in lines:
        if is_mine(node, line.cell) or not line.leader_address:
            continue
        message = exchange_message(node, {})
        try:
            reply = node.around.peers.call(
                line.leader_address, message, limits.PEER_TIMEOUT_S
            )
        except exceptions.PeerUnavailable:
            continue
        if isinstance(reply, messages.DirectoryExchange):
            directory.learn(node.lines, reply.lines)
            for update in reply.configs:
                accept_config(node, update.tenant, update.value)
