"""Claims of ranges whose owners run anew, under new fences."""

from collections.abc import Collection, Mapping

import attrs

from waxwinglever_assignment import commits
from waxwinglever_assignment import fleet_view
from waxwinglever_assignment import grant_state
from waxwinglever_assignment import tables


@attrs.frozen
class Restart:
    """A backend server that runs anew.

    Attributes:
      instance: Its current run.
      earlier: Runs that the ownership table names for its ranges.
    """

    instance: str
    earlier: frozenset[str]


def claim_ranges(
    grant_manager: grant_state.GrantManager,
    table: tables.OwnershipTable,
    instance: str,
    used_up: Collection[int] = (),
) -> None:
    """Claims this node's ranges for the current run of its backend server.

    The previous run held them under its own fences and has ended. After a power
    failure many owners claim at the same time, each in most parts of the table,
    so that one of them succeeds at a time. It claims for the others as well.

    Args:
      grant_manager: State of the grants.
      table: The newest table that this node has.
      instance: The current run of the backend server.
      used_up: Fences of this node whose tokens are used up.

    Raises:
      Conflict: Other nodes changed the table at each attempt.
      StoreUnavailable: The store did not answer.
    """
    restarts = find_restarts(grant_manager, table)

    def claimed(current: tables.OwnershipTable) -> tables.OwnershipTable:
        changes = {}
        for item in current.ranges:
            if not tables.is_current(item, current.era):
                continue
            if item.node == grant_manager.name:
                is_new = item.instance != instance or item.fence in used_up
                run = instance if is_new else ""
            else:
                run = "" if item.to_node else find_run(restarts, item)
            if run:
                changes[item.fence] = {
                    "instance": run,
                    "handover": "",
                    "to_node": "",
                }
        return tables.update_ranges(current, changes)

    if commits.update(grant_manager.store, table, claimed):
        grant_manager.log(
            "ranges-claimed", instance=instance, others=sorted(restarts)
        )


def find_restarts(
    grant_manager: grant_state.GrantManager, table: tables.OwnershipTable
) -> dict[str, Restart]:
    """Returns the other owners that must claim their ranges, by name.

    The entries are read after the table, so they are as new as it at least, and
    the runs that the table names are earlier ones.
    """
    recorded: dict[str, set[str]] = {}
    for item in table.ranges:
        recorded.setdefault(item.node, set()).add(item.instance)
    found = {}
    for member in fleet_view.list_members(grant_manager.fleet):
        earlier = recorded.get(member.name, set()) - {member.instance}
        if (
            earlier
            and member.name != grant_manager.name
            and member.service == grant_manager.service
            and member.instance
            and member.state != fleet_view.DOWN
        ):
            found[member.name] = Restart(member.instance, frozenset(earlier))
    return found


def find_run(restarts: Mapping[str, Restart], item: tables.Range) -> str:
    """Returns the run to claim a range for, or '' if it must not be claimed.

    A table that came with a conflict may be newer than the entries. Its record
    may name a run that is later than the one in the entry.
    """
    restart = restarts.get(item.node)
    if restart is None or item.instance not in restart.earlier:
        return ""
    return restart.instance
