"""Admits requests by the quotas of their tenants; see quotas for the rules."""

import functools
import operator
import random
import threading
from collections.abc import Callable, Sequence

import attrs

from waxwinglever_assignment import fleet_view
from waxwinglever_assignment import sessions
from waxwinglever_model import clock
from waxwinglever_model import exceptions
from waxwinglever_relay import ingress
from waxwinglever_relay import messages
from waxwinglever_relay import quotas
from waxwinglever_relay import routes

# A request waits this long for the answers of an account at most.
ASK_TIMEOUT_S = 0.15
# A request that has waited for the answer to another one asks only if it has
# this much time left. Tokens of an answer that comes too late are lost.
MIN_ASK_S = ASK_TIMEOUT_S / 2
# How often changes of the members are looked for. An account that was held by
# another node in between must begin empty.
REFRESH_S = 0.25
# When the store has not confirmed this node for so long, entries of others may
# have expired as well. They are written again right after the outage.
OUTAGE_S = sessions.LEASE_S - sessions.RENEW_S
# Members whose entries are gone after an outage count as present for this time.
LINGER_S = fleet_view.LINGER_S


@attrs.define(eq=False)
class SharedLot:
    """A lot that several requests use at the same time.

    Attributes:
      lot: The lot.
      changed: Guards it, and is notified of each answer of the account.
    """

    lot: quotas.Lot
    changed: threading.Condition = attrs.Factory(threading.Condition)


@attrs.define(eq=False)
class QuotaAdmission:
    """The quotas as one node knows them.

    Attributes:
      name: Name of this node.
      active_config: The active configuration, with the tenants.
      members: Returns all members; the same tuple until one has changed.
      may_hold: Returns whether other nodes count on this one, so that it may
        hold accounts.
      unconfirmed_s: Returns for how long the store has not confirmed this node.
      ask: Asks a member for tokens of a tenant; returns its Grant or raises
        PeerUnavailable. Takes the number of tokens, and the longest time.
      log: Called with an event name and fields.
      count: Counts an event in a metric, with its labels.
      now: Returns seconds of the boot clock.
      draw: Returns a random number from 0 to 1.
      lots: What this node holds of the tenants' quotas, by tenant.
      accounts: The accounts that this node holds, by tenant.
      lost: Accounts that it has held, and when it did last, by tenant.
      checked_s: When this node last looked at the members and its session.
      holders: Score and name of each account's holder, by tenant.
      candidates: Nodes that may hold accounts, by name.
      lingering_s: Until when a candidate without an entry is one, by name.
      outage_s: When the store was last known to be away.
      seen: Members, configuration and result of may_hold for which the fields
        above were made.
      away_until_s: Until when a node is not asked, as it did not answer.
      lock: Guards the fields from `accounts` on.
    """

    name: str
    active_config: routes.ActiveConfig
    members: Callable[[], Sequence[fleet_view.Member]]
    may_hold: Callable[[], bool]
    unconfirmed_s: Callable[[], float]
    ask: Callable[[fleet_view.Member, str, int, float], quotas.Grant]
    log: Callable[..., None]
    count: Callable[[str, dict[str, str]], None]
    now: Callable[[], float] = clock.boottime_s
    draw: Callable[[], float] = random.random
    lots: dict[str, SharedLot] = attrs.field(factory=dict)
    accounts: dict[str, quotas.Account] = attrs.Factory(dict)
    lost: dict[str, tuple[quotas.Account, float]] = attrs.Factory(dict)
    checked_s: float = float("-inf")
    holders: dict[str, tuple[bytes, str] | None] = attrs.Factory(dict)
    candidates: dict[str, fleet_view.Member] = attrs.Factory(dict)
    lingering_s: dict[str, float] = attrs.Factory(dict)
    outage_s: float = float("-inf")
    seen: tuple[object, ...] = (None, None, None)
    away_until_s: dict[str, float] = attrs.Factory(dict)
    lock: threading.Lock = attrs.Factory(threading.Lock)


def run(admission: QuotaAdmission, stopping: threading.Event) -> None:
    """Keeps the accounts up to date until an event is set."""
    while not stopping.wait(REFRESH_S):
        refresh(admission)


def limited_tenants(
    config: routes.RoutingConfig | None,
) -> dict[str, routes.Tenant]:
    """Returns the tenants with a limit by name."""
    if config is None or not config.tenants:
        return {}
    return {
        name: tenant
        for name, tenant in config.tenants.items()
        if tenant.rate_per_s
    }


def refresh(admission: QuotaAdmission) -> None:
    """Finds the accounts that this node holds, after a change."""
    with admission.lock:
        # Read under the lock, or an older state could replace a newer one.
        config = admission.active_config.config
        members = admission.members()
        may_hold = admission.may_hold()
        now_s = admission.now()
        # The state was as last seen until then. A process that was frozen
        # since may have lost its accounts at any time after it.
        last_s, admission.checked_s = admission.checked_s, now_s
        if admission.unconfirmed_s() > OUTAGE_S:
            admission.outage_s = now_s
        # Comparing their contents would cost as much as the fleet is large.
        is_known = all(
            map(operator.is_, admission.seen, (members, config, may_hold))
        )
        if is_known and now_s < min(
            admission.lingering_s.values(), default=float("inf")
        ):
            return
        admission.seen = (members, config, may_hold)
        tenants = limited_tenants(config)
        update_holders(admission, members, tenants, now_s)
        held = {
            tenant
            for tenant, holder in admission.holders.items()
            if may_hold and holder is not None and holder[1] == admission.name
        }
        before = admission.accounts
        if held == before.keys():
            return
        admission.lost = {
            tenant: lost
            for tenant, lost in admission.lost.items()
            if tenant in tenants
        } | {
            tenant: (before[tenant], last_s) for tenant in before.keys() - held
        }
        admission.accounts = {
            tenant: before.get(tenant)
            or take_up(admission, tenants[tenant], now_s)
            for tenant in held
        }
    admission.log(
        "quota-accounts",
        accounts=len(held),
        gained=len(held - before.keys()),
        lost=len(before.keys() - held),
    )


def take_up(
    admission: QuotaAdmission, tenant: routes.Tenant, now_s: float
) -> quotas.Account:
    """Returns an account that this node begins to hold."""
    if tenant.name not in admission.lost:
        return quotas.Account(now_s)
    account, lost_s = admission.lost.pop(tenant.name)
    quotas.resume(account, tenant, lost_s, now_s)
    return account


def update_holders(
    admission: QuotaAdmission,
    members: Sequence[fleet_view.Member],
    tenants: dict[str, routes.Tenant],
    now_s: float,
) -> None:
    """Finds the holders of all accounts; the caller must hold the lock."""
    before = admission.candidates
    present = {member.name: member for member in members}
    until_s = admission.outage_s + LINGER_S
    admission.lingering_s = {
        name: admission.lingering_s.get(name, until_s)
        for name in before.keys() - present.keys()
        if now_s < admission.lingering_s.get(name, until_s)
    }
    admission.candidates = {
        name: member for name, member in present.items() if not member.leaving
    } | {name: before[name] for name in admission.lingering_s}
    admission.holders = quotas.update_holders(
        admission.holders,
        tenants.keys(),
        admission.candidates.keys(),
        admission.candidates.keys() - before.keys(),
    )


def give(admission: QuotaAdmission, tenant: str, count: int) -> quotas.Grant:
    """Returns the answer of this node to one that asks for tokens."""
    refresh(admission)
    found = find_limited_tenant(admission, tenant)
    with admission.lock:
        account = admission.accounts.get(tenant)
        if account is None or found is None:
            return quotas.Grant(is_holder=False)
        return quotas.give(account, found, count, admission.now())


def admit(
    admission: QuotaAdmission, request: messages.Request
) -> Callable[[], None]:
    """Takes a token for a request of a tenant with a limit.

    Returns:
      A function that returns the token, for a request that has not run.

    Raises:
      QuotaExceeded: The tenant is over its quota.
      Unauthorized: The tenant was removed since the request got its route.
    """
    check_present(admission, request.tenant)
    tenant = find_limited_tenant(admission, request.tenant)
    if tenant is None:
        return keep
    shared = admission.lots.get(tenant.name)
    if shared is None:
        shared = admission.lots.setdefault(
            tenant.name, SharedLot(quotas.Lot(admission.draw()))
        )
    decision = take(admission, tenant, shared)
    if decision.kind == quotas.REFUSED:
        admission.count("quota_refusals_total", {"tenant": tenant.name})
        raise exceptions.QuotaExceeded(
            f"tenant {tenant.name} is over its quota",
            "send fewer requests, or order a higher quota",
            max(1, round(decision.retry_s * 1000)),
        )
    return functools.partial(give_back, admission, shared, decision.expires_s)


def keep() -> None:
    """Returns no token, as the request has taken none."""


def check_present(admission: QuotaAdmission, name: str) -> None:
    """Raises Unauthorized if the tenant of a request was removed.

    A request gets its tenant before its body is read, which may take long. A
    configuration without tenants limits nobody.
    """
    config = admission.active_config.config
    if not name or config is None or config.tenants is None:
        return
    if name not in config.tenants:
        raise exceptions.Unauthorized(
            f"the tenant {name} was removed",
            "send a key of another tenant",
        )


def find_limited_tenant(
    admission: QuotaAdmission, name: str
) -> routes.Tenant | None:
    """Returns the tenant of a name if it has a limit."""
    config = admission.active_config.config
    if not name or config is None or config.tenants is None:
        return None
    tenant = config.tenants.get(name)
    return tenant if tenant is not None and tenant.rate_per_s else None


def take(
    admission: QuotaAdmission, tenant: routes.Tenant, shared: SharedLot
) -> quotas.Decision:
    """Takes a token; asks the account if there is none, or waits for that.

    Returns:
      A decision that is TAKEN or REFUSED.
    """
    began_s = admission.now()
    give_up_s = began_s + ASK_TIMEOUT_S
    timeout_s = ASK_TIMEOUT_S
    with shared.changed:
        quotas.note_arrival(shared.lot, began_s)
    while True:
        members = len(admission.candidates)
        with shared.changed:
            now_s = admission.now()
            left_s = give_up_s - now_s
            may_ask = left_s >= MIN_ASK_S or (
                left_s > 0 and shared.lot.is_asking
            )
            decision = quotas.decide(
                shared.lot, tenant, members, now_s, may_ask
            )
            if decision.kind == quotas.WAIT:
                shared.lot.waiting += 1
                shared.changed.wait(left_s)
                shared.lot.waiting -= 1
        if decision.kind == quotas.ASK:
            ask_account(
                admission, tenant.name, shared, decision.count, timeout_s
            )
        elif decision.kind != quotas.WAIT:
            return decision
        timeout_s = give_up_s - admission.now()


def ask_account(
    admission: QuotaAdmission,
    tenant: str,
    shared: SharedLot,
    count: int,
    timeout_s: float,
) -> None:
    """Asks the holder of an account for tokens and records the answer."""
    asked_s = admission.now()
    grant = None
    try:
        grant = request_grant(admission, tenant, count, asked_s, timeout_s)
    finally:
        with shared.changed:
            quotas.answer(shared.lot, grant, asked_s, admission.now())
            shared.changed.notify_all()


def request_grant(
    admission: QuotaAdmission,
    tenant: str,
    count: int,
    now_s: float,
    timeout_s: float,
) -> quotas.Grant | None:
    """Returns the answer of an account's holder, or None without one.

    A holder that does not answer within a part of ASK_TIMEOUT_S is not known to
    be away. It counts as one that has no token at this moment.
    """
    refresh(admission)
    holder = admission.holders.get(tenant)
    if holder is None:
        return None
    name = holder[1]
    if name == admission.name:
        return give(admission, tenant, count)
    member = admission.candidates.get(name)
    if member is None or now_s < admission.away_until_s.get(name, now_s):
        return None
    outcome = "away"
    try:
        grant = admission.ask(member, tenant, count, timeout_s)
        outcome = "granted" if grant.tokens else "empty"
        if not grant.is_holder:
            outcome = "not-holder"
        return grant
    except exceptions.PeerUnavailable as error:
        is_late = admission.now() >= now_s + timeout_s
        if is_late and timeout_s < ASK_TIMEOUT_S:
            outcome = "late"
            return quotas.Grant()
        admission.away_until_s[name] = admission.now() + quotas.AWAY_S
        admission.log("quota-account-away", holder=name, why=error.message)
        return None
    finally:
        admission.count("quota_calls_total", {"outcome": outcome})


def give_back(
    admission: QuotaAdmission, shared: SharedLot, expires_s: float
) -> None:
    """Returns the token of a request that has not run."""
    with shared.changed:
        quotas.put_back(shared.lot, expires_s, admission.now())


def handle(
    ingress_router: ingress.IngressRouter,
    request: messages.Request,
    attempts: ingress.Attempts,
    caller: messages.CallerConnection | None,
) -> messages.Response:
    """Returns the response to a request of a tenant within its quota.

    The arguments and errors are those of ingress.handle, and QuotaExceeded.
    """
    return_token = ingress_router.admit(request)
    try:
        return ingress.handle(ingress_router, request, attempts, caller)
    except exceptions.NotExecuted:
        if not attempts.may_have_run:
            return_token()
        raise
