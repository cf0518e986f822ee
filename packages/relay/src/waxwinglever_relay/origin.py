"""The first daemon: finds the node for a request and answers its caller."""

from collections.abc import Callable

import attrs

from waxwinglever_assignment import fleet as fleets
from waxwinglever_assignment import replicas
from waxwinglever_assignment import tables
from waxwinglever_model import clock
from waxwinglever_model import exceptions
from waxwinglever_relay import delivery
from waxwinglever_relay import messages
from waxwinglever_relay import routes
from waxwinglever_routing import balancer as balancers
from waxwinglever_routing import budgets

# Extra sends of all nodes must stay below a fifth of the requests; the share
# of each node leaves room for what instances call themselves.
RETRY_RATIO = 0.1
RETRY_BURST = 4.0
# A request for a range between two owners waits this share of its time to
# the target, as a handover takes about as long as one request runs.
OWNER_WAIT_SHARE = 0.6
# Nodes that may refuse a request before its caller is told.
MAX_REFUSALS = 4
RETRY_AFTER_MS = 200
# Bytes between zones cost money. A node in the same zone is taken when its
# expected time is at most this many times the best one's; photos are tens of
# kilobytes, all other requests about one.
LARGE_BYTES = 8_192
LARGE_NEAR = 2.0
SMALL_NEAR = 1.2


@attrs.define(eq=False)
class Origin:
    """What the threads of the first daemon share.

    Attributes:
      name: Name of this node.
      book: The configuration.
      fleet: What is known of the others.
      desk: Deliveries to the backend server beside this daemon.
      forward: Sends a request to the daemon at an address; returns the Answer
        or raises what that daemon raised. Raises PeerUnavailable when nothing
        was sent.
      log: Called with an event name and fields.
      choices: Choice of nodes for services without keys.
      retries: Budget of extra sends, by service.
    """

    name: str
    book: routes.Book
    fleet: fleets.Fleet
    desk: delivery.Desk
    forward: Callable[
        [fleets.Member, messages.Request, messages.Caller | None],
        messages.Answer,
    ]
    log: Callable[..., None]
    now: Callable[[], float] = clock.boottime_s
    choices: balancers.Balancer = attrs.Factory(balancers.Balancer)
    retries: dict[str, budgets.Budget] = attrs.Factory(dict)


@attrs.define(eq=False)
class Tries:
    """What became of the sends of one request.

    Attributes:
      sent: Backend servers that may have got it.
      refused: Nodes that refused it, by name.
      last: The last refusal.
      path: Each send with its outcome, for the log.
      seen: Count of fleet changes that the last choice was made on.
    """

    sent: int = 0
    refused: list[str] = attrs.Factory(list)
    last: exceptions.Refusal | None = None
    path: list[str] = attrs.field(factory=list)
    seen: int = 0


def handle(
    origin: Origin,
    request: messages.Request,
    tries: Tries,
    caller: messages.Caller | None,
) -> messages.Answer:
    """Gets the answer to a request from a node of its service.

    Args:
      origin: The first daemon.
      request: The request.
      tries: Takes what is done for the request.
      caller: The connection that waits for the answer, if any.

    Raises:
      Refusal: It has not run, or its outcome is unknown.
      CallerLeft: The caller has closed its connection.
    """
    budgets.deposit(budget(origin, request.service))
    while True:
        tries.seen = origin.fleet.replica.changed
        member = choose(origin, request, tries)
        try:
            return send(origin, member, request, caller, tries)
        except exceptions.NotRun as error:
            tries.last = error
            if not may_resend(origin, request, tries, caller):
                raise
        except exceptions.OutcomeUnknown:
            if not may_repeat(origin, request, tries):
                raise


def send(
    origin: Origin,
    member: fleets.Member,
    request: messages.Request,
    caller: messages.Caller | None,
    tries: Tries,
) -> messages.Answer:
    """Sends a request to one node and learns from the outcome."""
    began_s = origin.now()
    balancers.started(origin.choices, member.name)
    succeeded = False
    outcome = "ran"
    try:
        if member.name == origin.name:
            answer = delivery.deliver(origin.desk, request, caller)
        else:
            answer = origin.forward(member, request, caller)
        succeeded = answer.status < 500
        tries.sent += 1
        return answer
    except exceptions.NotRun as error:
        outcome = error.kind
        tries.sent += isinstance(error, messages.Shed)
        tries.refused.append(member.name)
        raise
    except exceptions.PeerUnavailable as error:
        outcome = error.kind
        tries.refused.append(member.name)
        raise no_node(request, error.message) from error
    except exceptions.OutcomeUnknown as error:
        outcome = error.kind
        tries.sent += 1
        raise
    except messages.CallerLeft:
        # Says nothing about the node.
        outcome = "caller-left"
        succeeded = True
        raise
    finally:
        taken_s = origin.now() - began_s
        balancers.ended(origin.choices, member.name, taken_s, succeeded)
        tries.path.append(f"{member.name}:{outcome}:{round(taken_s * 1000)}ms")


def choose(
    origin: Origin, request: messages.Request, tries: Tries
) -> fleets.Member:
    """Returns the node that a request should be sent to.

    Raises:
      NotOwner: The shard has no owner now.
      BackendUnavailable: No node of the service takes work.
    """
    if request.keyed:
        member = owner(origin, request)
        if member is None:
            raise exceptions.NotOwner(
                f"shard {request.shard} has no owner now",
                "try again",
                retry_after_ms=RETRY_AFTER_MS,
            )
        return member
    found = {
        member.name: member
        for member in fleets.members(origin.fleet)
        if member.service == request.service
        and member.state == fleets.READY
        and not member.leaving
        and member.zone not in origin.book.closed_zones
    }
    zone = origin.desk.backend.zone
    name = balancers.choose_near(
        origin.choices,
        list(found),
        [name for name, member in found.items() if member.zone == zone],
        tries.refused,
        LARGE_NEAR if len(request.body) >= LARGE_BYTES else SMALL_NEAR,
    )
    if name is None:
        raise tries.last or no_node(request, "no backend server takes work")
    return found[name]


def owner(origin: Origin, request: messages.Request) -> fleets.Member | None:
    """Returns the node that owns the shard of a request, or None."""
    table = fleets.table(origin.fleet, request.service)
    if table is None or request.shard is None:
        return None
    item = tables.range_of(table, request.shard)
    return fleets.reachable(origin.fleet, item.node)


def may_resend(
    origin: Origin,
    request: messages.Request,
    tries: Tries,
    caller: messages.Caller | None,
) -> bool:
    """Returns whether a request that was refused should be sent again."""
    if len(tries.refused) >= MAX_REFUSALS:
        return False
    if not has_time(origin, request):
        return False
    if isinstance(tries.last, messages.Shed):
        return tries.sent < request.max_attempts and budgets.withdraw(
            budget(origin, request.service)
        )
    if request.keyed:
        return await_owner(origin, request, tries, caller)
    return not isinstance(tries.last, exceptions.RefusedForGood)


def await_owner(
    origin: Origin,
    request: messages.Request,
    tries: Tries,
    caller: messages.Caller | None,
) -> bool:
    """Waits until the ownership of a shard changes.

    Returns:
      Whether there was a change; False at once when the owner refused the
      request for another reason, or is lost.
    """
    if not isinstance(tries.last, (exceptions.NotOwner, exceptions.Draining)):
        return False
    if owner(origin, request) is None:
        # The range stays without an owner for a second or more.
        return False
    wait_s = (request.target_s - origin.now()) * OWNER_WAIT_SHARE
    replica = origin.fleet.replica
    changed = replicas.wait_change(replica, tries.seen, wait_s) != tries.seen
    if caller is not None and caller.has_left():
        raise messages.caller_left()
    return changed


def may_repeat(origin: Origin, request: messages.Request, tries: Tries) -> bool:
    """Returns whether a request with an unknown outcome may be sent again."""
    return (
        request.repeatable
        and tries.sent < request.max_attempts
        and has_time(origin, request)
        and budgets.withdraw(budget(origin, request.service))
    )


def has_time(origin: Origin, request: messages.Request) -> bool:
    """Returns whether another send could still be in time."""
    end_s = min(request.target_s, request.deadline_s)
    return origin.now() + delivery.MIN_REMAINING_S < end_s


def budget(origin: Origin, service: str) -> budgets.Budget:
    """Returns the budget of extra sends to a service."""
    found = origin.retries.get(service)
    if found is None:
        found = origin.retries.setdefault(
            service, budgets.Budget(RETRY_RATIO, RETRY_BURST)
        )
    return found


def no_node(
    request: messages.Request, why: str
) -> exceptions.BackendUnavailable:
    """Returns the refusal when no node can take a request."""
    return exceptions.BackendUnavailable(
        f"no node of {request.service!r} can take the request: {why}",
        "try again",
        retry_after_ms=RETRY_AFTER_MS,
    )
