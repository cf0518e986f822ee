"""Quotas of tenants: accounts of tokens, and the tokens that a node holds.

Load pattern: a tenant sends several times its quota, evenly or through few
nodes, while others stay below theirs. The nodes together must run no more than
the quota, and nobody else may notice.

Each tenant with a limit has an account on one node, the holder. The other nodes
take tokens from it in lots for the next moments. A node that can't reach the
account uses a small quota of its own. All functions here are decisions without
I/O; quota_admission carries them out. Times are seconds of one node's clock.
"""

import bisect
import hashlib
import math
from collections.abc import Collection, Mapping

import attrs

from waxwinglever_relay import routes

# Share of the rate that accounts give out. The rest is for the quotas of nodes
# that can't reach the account, and for two holders at the same time.
GIVEN_SHARE = 0.9
# Share of the rate that the nodes without an account may use together.
LOCAL_SHARE = 0.2
# A node takes tokens for the requests that it expects in this time.
LOT_S = 0.3
# Unused tokens of a lot expire after this time, counted from before they were
# asked for.
LOT_EXPIRY_S = 0.6
# Unused tokens of a node's own quota expire after this time. Kept for longer,
# those of all nodes would be used at once when a link is cut.
LOCAL_EXPIRY_S = 1.0
# An empty account is asked again after this time at the latest.
MAX_SILENCE_S = 0.2
# Times that are named to callers are spread over this time at most. Callers
# wait for a third of their time at most, and most have 2 to 12 s.
MAX_SPREAD_S = 1.0
# A node that asks for several tokens gets none before there are as many as the
# account gets in this time. With single tokens, a tenant of 1,000 requests a
# second that sent 4.7 times as many caused 1,643 calls a second; now 335.
PARCEL_S = 0.02
# An account whose tenant has no burst holds as much as arrives in this time,
# and one token. Requests don't arrive evenly.
MIN_CAPACITY_S = 0.1
# Decay time of the measured demand.
DEMAND_DECAY_S = 1.0
# Pause before an account is asked again that can't be reached.
AWAY_S = 0.5
# The same for a node that says not to hold it. Nodes learn of a change of the
# members within a few tenths of a second of each other.
NOT_HOLDER_S = 0.1

# What becomes of a request, see decide.
TAKEN = "taken"
REFUSED = "refused"
ASK = "ask"
WAIT = "wait"


@attrs.frozen
class Grant:
    """Answer of the holder of an account.

    Attributes:
      tokens: Tokens that are given.
      wait_s: Without tokens, the time until there are some for the asking node.
      is_holder: Whether the answering node holds the account.
    """

    tokens: int = 0
    wait_s: float = 0.0
    is_holder: bool = True


@attrs.define(eq=False)
class Account:
    """Token bucket of one tenant, for all nodes.

    It begins empty, as a new holder can't know what the one before gave out.

    Attributes:
      updated_s: Time up to which tokens were added.
      tokens: Tokens at that time.
      return_s: Earliest time to name in the next answer without tokens.
    """

    updated_s: float
    tokens: float = 0.0
    return_s: float = float("-inf")


@attrs.define(eq=False)
class Lot:
    """What a node holds of a tenant's quota.

    Attributes:
      phase: Where in its period the node's own quota begins, from 0 to 1. It
        must differ between nodes, or their own tokens come all at once.
      expiries_s: When each token expires, the latest first.
      demand: Requests in the last DEMAND_DECAY_S, decayed exponentially.
      demand_s: When the last of them arrived.
      is_asking: Whether an answer of the account is awaited.
      waiting: Requests that wait for the answer.
      ready_s: When the account has tokens again.
      silent_until_s: Until when the account isn't asked.
      away_until_s: Until when the node's own quota is used.
      return_s: Earliest time to name in the next refusal.
      local_next_s: When the next token of the node's own quota is due.
    """

    phase: float = 0.0
    expiries_s: list[float] = attrs.Factory(list)
    demand: float = 0.0
    demand_s: float = float("-inf")
    is_asking: bool = False
    waiting: int = 0
    ready_s: float = float("-inf")
    silent_until_s: float = float("-inf")
    away_until_s: float = float("-inf")
    return_s: float = float("-inf")
    local_next_s: float | None = None


@attrs.frozen
class Decision:
    """What becomes of a request.

    Attributes:
      kind: TAKEN, REFUSED, ASK or WAIT.
      expires_s: When the taken token expires; minus infinity for one of the
        node's own quota, which is not given back.
      retry_s: Time until tokens are available, if it is refused.
      count: Number of tokens to ask for.
    """

    kind: str
    expires_s: float = float("-inf")
    retry_s: float = 0.0
    count: int = 0


def score(name: str, tenant: str) -> bytes:
    """Returns the rank of a node among those that may hold an account."""
    # Names contain no line feed.
    text = f"{tenant}\n{name}".encode("utf-8", "surrogateescape")
    return hashlib.blake2b(text, digest_size=8).digest()


def find_holder(
    tenant: str, names: Collection[str]
) -> tuple[bytes, str] | None:
    """Returns the score and the name of the holder by rendezvous hashing."""
    return max(((score(name, tenant), name) for name in names), default=None)


def update_holders(
    holders: Mapping[str, tuple[bytes, str] | None],
    tenants: Collection[str],
    names: Collection[str],
    added: Collection[str],
) -> dict[str, tuple[bytes, str] | None]:
    """Returns the holders of accounts after a change of nodes or tenants.

    Only the added nodes are compared for accounts whose holder is still there,
    so that a change costs little in a large fleet.

    Args:
      holders: Score and name of the previous holders by tenant.
      tenants: The tenants.
      names: All nodes that may hold accounts.
      added: Those that were not among them before.
    """
    found = {}
    for tenant in tenants:
        before = holders.get(tenant)
        if before is None or before[1] not in names:
            found[tenant] = find_holder(tenant, names)
        else:
            best = find_holder(tenant, added)
            found[tenant] = max(before, best) if best else before
    return found


def given_rate_per_s(tenant: routes.Tenant) -> float:
    """Returns the tokens a second that an account gets."""
    return GIVEN_SHARE * tenant.rate_per_s


def refill(account: Account, tenant: routes.Tenant, now_s: float) -> None:
    """Adds the tokens that an account has got up to a time."""
    rate_per_s = given_rate_per_s(tenant)
    capacity = max(tenant.burst, 1.0 + MIN_CAPACITY_S * rate_per_s)
    added = max(0.0, now_s - account.updated_s) * rate_per_s
    account.tokens = min(capacity, account.tokens + added)
    account.updated_s = now_s


def resume(
    account: Account, tenant: routes.Tenant, lost_s: float, now_s: float
) -> None:
    """Takes an account up again that another node may have held meanwhile.

    The other account began empty, so it has given out what it got since then at
    most, and that is missing here. After an outage of the store, entries are
    gone for a moment, and an empty account would refuse all.

    Args:
      account: The account, which changes.
      tenant: The tenant.
      lost_s: When this node has held it last.
      now_s: The time.
    """
    refill(account, tenant, lost_s)
    given = max(0.0, now_s - lost_s) * given_rate_per_s(tenant)
    account.tokens = max(0.0, account.tokens - given)
    account.updated_s = now_s


def give(
    account: Account, tenant: routes.Tenant, count: int, now_s: float
) -> Grant:
    """Returns tokens of an account, or the time until there are some.

    The nodes that ask in vain get times one after the other. Otherwise all of
    them, and their callers, would return for the same token.

    Args:
      account: The account, which changes.
      tenant: The tenant, with its quota as now in force.
      count: Number of tokens that are asked for.
      now_s: The time.
    """
    rate_per_s = given_rate_per_s(tenant)
    refill(account, tenant, now_s)
    parcel = max(1, min(count, int(PARCEL_S * rate_per_s)))
    if account.tokens >= parcel:
        given = min(count, int(account.tokens))
        account.tokens -= given
        return Grant(given)
    ready_s = now_s + (parcel - account.tokens) / rate_per_s
    due_s = max(ready_s, min(account.return_s, now_s + MAX_SPREAD_S))
    account.return_s = due_s + parcel / rate_per_s
    return Grant(0, due_s - now_s)


def note_arrival(lot: Lot, now_s: float) -> None:
    """Counts a request in the demand of a node."""
    passed_s = max(0.0, now_s - lot.demand_s)
    lot.demand = lot.demand * math.exp(-passed_s / DEMAND_DECAY_S) + 1.0
    lot.demand_s = now_s


def decide(
    lot: Lot,
    tenant: routes.Tenant,
    members: int,
    now_s: float,
    may_ask: bool = True,
) -> Decision:
    """Returns what becomes of a request of a tenant.

    After ASK the caller asks the account, calls `answer` and decides again.
    After WAIT it does so when the answer to another request has come.

    Args:
      lot: What the node holds, which changes.
      tenant: The tenant.
      members: Number of nodes that may receive requests of the tenant.
      now_s: The time.
      may_ask: Whether the request may still wait for an answer.
    """
    while lot.expiries_s:
        expires_s = lot.expiries_s.pop()
        if now_s < expires_s:
            return Decision(TAKEN, expires_s)
    if now_s < lot.away_until_s or not may_ask:
        return decide_locally(lot, tenant, members, now_s)
    if now_s < lot.silent_until_s:
        return refuse(lot, tenant, lot.ready_s, now_s)
    if lot.is_asking:
        return Decision(WAIT)
    lot.is_asking = True
    expected = lot.demand / DEMAND_DECAY_S * LOT_S
    return Decision(ASK, count=max(1, 1 + lot.waiting, int(expected)))


def answer(lot: Lot, grant: Grant | None, asked_s: float, now_s: float) -> None:
    """Takes the answer of an account into account.

    Args:
      lot: What the node holds, which changes.
      grant: The answer; None if there was none in time.
      asked_s: When it was asked for.
      now_s: The time.
    """
    lot.is_asking = False
    if grant is None:
        lot.away_until_s = now_s + AWAY_S
    elif not grant.is_holder:
        lot.away_until_s = now_s + NOT_HOLDER_S
    elif grant.tokens > 0:
        lot.expiries_s[:0] = [asked_s + LOT_EXPIRY_S] * grant.tokens
    else:
        lot.ready_s = now_s + grant.wait_s
        lot.silent_until_s = now_s + min(grant.wait_s, MAX_SILENCE_S)


def decide_locally(
    lot: Lot, tenant: routes.Tenant, members: int, now_s: float
) -> Decision:
    """Returns what becomes of a request while the account can't be reached.

    The tokens of the node's own quota come at fixed times and expire soon, so
    that all nodes together never use more than LOCAL_SHARE at once.
    """
    period_s = max(1, members) / (LOCAL_SHARE * tenant.rate_per_s)
    if lot.local_next_s is None:
        lot.local_next_s = now_s + lot.phase * period_s
    # A raised quota takes effect at once.
    next_s = min(lot.local_next_s, now_s + period_s)
    expired_s = now_s - LOCAL_EXPIRY_S - next_s
    if expired_s > 0:
        next_s += math.ceil(expired_s / period_s) * period_s
    lot.local_next_s = next_s
    if next_s <= now_s:
        lot.local_next_s += period_s
        return Decision(TAKEN)
    # The account may be back before.
    ready_s = min(next_s, max(now_s, lot.away_until_s))
    return refuse(lot, tenant, ready_s, now_s)


def refuse(
    lot: Lot, tenant: routes.Tenant, ready_s: float, now_s: float
) -> Decision:
    """Returns a refusal with a time of its own, not before tokens are ready."""
    due_s = max(ready_s, min(lot.return_s, now_s + MAX_SPREAD_S))
    lot.return_s = due_s + 1.0 / given_rate_per_s(tenant)
    return Decision(REFUSED, retry_s=due_s - now_s)


def put_back(lot: Lot, expires_s: float, now_s: float) -> None:
    """Returns the token of a request that has not run and never will."""
    if now_s < expires_s:
        bisect.insort(lot.expiries_s, expires_s, key=lambda time_s: -time_s)
