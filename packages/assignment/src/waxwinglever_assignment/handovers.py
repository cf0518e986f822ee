"""Handovers: ranges that this node releases, and their next owners.

The planner names the next owner of a range in the ownership table. The owner
lets its backend server release the range and writes the next owner.
"""

from collections.abc import Iterator, Mapping
from concurrent import futures

import attrs

from waxwinglever_assignment import commits
from waxwinglever_assignment import fleet_view
from waxwinglever_assignment import grant_state
from waxwinglever_assignment import grants
from waxwinglever_assignment import holds
from waxwinglever_assignment import tables
from waxwinglever_model import exceptions

# The backend server answers a release when all requests for the keys have
# ended.
RELEASE_TIMEOUT_S = 1.5
RELEASE_ATTEMPTS = 2
# How long a released range waits for others, so that they share a transaction.
# It is short beside the 100 ms that other nodes may take to see the new owner.
GATHER_S = 0.01
# Ranges are handed over only if the last confirmation of the session is at most
# this old.
MAX_CONFIRMATION_AGE_S = 1.2


def run_handovers(grant_manager: grant_state.GrantManager) -> None:
    """Hands over ranges until `stopping` is set; runs in a thread."""
    known = -1
    while not grant_manager.stopping.is_set():
        began_s = grant_manager.now()
        try:
            hand_over_ranges(grant_manager)
        except exceptions.WaxwingleverError as error:
            grant_manager.log("ranges-not-handed-over", error=error.message)
        known = grants.wait(grant_manager, known, began_s + grants.RENEW_S)


def hand_over_ranges(grant_manager: grant_state.GrantManager) -> None:
    """Releases the ranges that should move and assigns them to the new owners.

    Raises:
      Conflict: Other nodes changed the table at each attempt.
      StoreUnavailable: The store did not answer.
    """
    member = grant_manager.session.member
    table = grants.usable_table(grant_manager)
    if table is None:
        return
    moving = [
        item
        for item in grants.current_ranges(grant_manager, table)
        if item.to_node
    ]
    if (
        not moving
        or grant_manager.now() - grant_manager.session.confirmed_s
        > MAX_CONFIRMATION_AGE_S
    ):
        # While the store is unavailable, a released range could not be assigned
        # to its new owner and would have no owner that serves it.
        return
    grants.sync_ranges(grant_manager, table)
    fences = {item.fence for item in moving}
    with grant_manager.lock:
        grant_manager.releasing |= fences
        grant_manager.handing_over |= fences
    moved: set[int] = set()
    try:
        for tokens in release_moving(grant_manager, member, moving):
            moved |= reassign(grant_manager, tokens)
    finally:
        with grant_manager.lock:
            grant_manager.handing_over -= fences - moved


def release_moving(
    grant_manager: grant_state.GrantManager,
    member: fleet_view.Member,
    moving: list[tables.Range],
) -> Iterator[dict[int, str]]:
    """Releases ranges whose fences are in `releasing`.

    Yields:
      The handover tokens of ranges that are released, by fence.
    """
    with grant_manager.send_lock:
        # Wait for renewals that are being sent, as they must not arrive after
        # the release. Later ones skip the ranges in `releasing`.
        pass
    unreachable = member.state in (fleet_view.DOWN, fleet_view.STARTING)
    answering = [
        item
        for item in moving
        if not unreachable and item.instance == member.instance
    ]
    # The backend server can't be asked for the others, so wait until all of
    # their grants have expired.
    expired = {
        item.fence: ""
        for item in moving
        if item not in answering
        and not grant_state.may_be_held(grant_manager, item.first, item.last)
    }
    if expired:
        yield expired
    if answering:
        yield from release(grant_manager, answering)


def release(
    grant_manager: grant_state.GrantManager, moving: list[tables.Range]
) -> Iterator[dict[int, str]]:
    """Releases ranges and yields their handover tokens, by fence.

    They are yielded as the answers arrive, those within GATHER_S together: a
    range whose requests have ended must not go without an owner until those of
    another one have ended as well.
    A range whose release is not answered counts as released, with an empty
    token, once none of its shards may be held any more.
    """
    pending = {
        grant_manager.executor.submit(release_range, grant_manager, item): item
        for item in moving
    }
    try:
        while pending:
            futures.wait(pending, return_when=futures.FIRST_COMPLETED)
            done, _ = futures.wait(pending, GATHER_S)
            ended = [(pending.pop(call), call.result()) for call in done]
            tokens = {
                item.fence: token
                for item, token in ended
                if not grant_state.may_be_held(
                    grant_manager, item.first, item.last
                )
            }
            if tokens:
                yield tokens
    finally:
        # No release may be under way when its range can be granted again.
        futures.wait(pending)


def release_range(
    grant_manager: grant_state.GrantManager, item: tables.Range
) -> str:
    """Asks the backend server to release a range.

    A call whose connection breaks is repeated, as the range would otherwise
    have no owner until its hold ends.

    Returns:
      The handover token, or '' without an answer.
    """
    end_s = grant_manager.now() + RELEASE_TIMEOUT_S
    for _ in range(RELEASE_ATTEMPTS):
        left_s = end_s - grant_manager.now()
        if left_s <= 0:
            break
        try:
            return send_release(grant_manager, item, left_s)
        except exceptions.WaxwingleverError as error:
            log_unanswered(grant_manager, item, error)
    return ""


def send_release(
    grant_manager: grant_state.GrantManager,
    item: tables.Range,
    timeout_s: float,
) -> str:
    """Sends one release; returns the handover token.

    Raises:
      BackendUnavailable: The release was not answered.
    """
    book = grant_manager.hold_book
    with grant_manager.lock:
        position = holds.begin_release(book)
    token = grant_manager.grant_calls.release(
        attrs.evolve(item, fence=grants.newest_token(grant_manager, item)),
        timeout_s,
    )
    with grant_manager.lock:
        holds.record_release(book, item.first, item.last, position)
        if item.fence in grant_manager.grant_end_s:
            grant_manager.grant_end_s[item.fence] = float("-inf")
    return token


def log_unanswered(
    grant_manager: grant_state.GrantManager,
    item: tables.Range,
    error: exceptions.WaxwingleverError,
) -> None:
    """Logs a release without an answer, and until when its range is held."""
    with grant_manager.lock:
        end_s = holds.latest_end_s(
            grant_manager.hold_book, item.first, item.last
        )
    grant_manager.log(
        "release-unanswered",
        fence=item.fence,
        first=item.first,
        last=item.last,
        may_hold_s=round(max(0.0, end_s - grant_manager.now()), 3),
        error=error.message,
    )


def reassign(
    grant_manager: grant_state.GrantManager, tokens: Mapping[int, str]
) -> set[int]:
    """Writes the new owners of released ranges to the ownership table.

    Args:
      grant_manager: State of the grants.
      tokens: Handover tokens of the released ranges, by fence.

    Returns:
      Fences of the ranges that have a new owner.

    Raises:
      Conflict: Other nodes changed the table at each attempt.
      StoreUnavailable: The store did not answer.
    """
    table = grants.usable_table(grant_manager)
    if table is None or not tokens:
        return set()
    moved: set[int] = set()

    def reassigned(current: tables.OwnershipTable) -> tables.OwnershipTable:
        changes = reassignments(grant_manager, current, tokens)
        moved.clear()
        moved.update(changes)
        return tables.update_ranges(current, changes)

    commits.update(grant_manager.store, table, reassigned)
    grant_manager.log("ranges-handed-over", fences=sorted(moved))
    return moved


def reassignments(
    grant_manager: grant_state.GrantManager,
    table: tables.OwnershipTable,
    tokens: Mapping[int, str],
) -> dict[int, dict[str, object]]:
    """Returns the changes that assign released ranges, by fence.

    A range whose next owner has no entry is left out, and so is one with shards
    that may be held: the table may have changed since it was released.
    """
    changes = {}
    for item in grants.current_ranges(grant_manager, table):
        if (
            item.fence not in tokens
            or not item.to_node
            or grant_state.may_be_held(grant_manager, item.first, item.last)
        ):
            continue
        target = fleet_view.find_member(grant_manager.fleet, item.to_node)
        if target is None:
            continue
        changes[item.fence] = {
            "node": target.name,
            "instance": target.instance,
            "handover": tokens[item.fence],
            "to_node": tables.NO_OWNER,
        }
    return changes
