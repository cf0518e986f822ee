"""What backend servers of other nodes said of themselves in their answers."""

from waxwinglever_assignment import fleet_view
from waxwinglever_relay import messages

# Notices that are kept; only servers with a limit and those that leave have
# one.
MAX_NOTICES = 1_024


def record(
    notices: dict[str, messages.ServerNotice],
    name: str,
    notice: messages.ServerNotice | None,
) -> None:
    """Records what the backend server of a node says of itself.

    Args:
      notices: The last notice of each node, by its name, oldest first.
      name: Name of the node.
      notice: What the server said, if anything.
    """
    if notice is None:
        notices.pop(name, None)
        return
    if name not in notices and len(notices) >= MAX_NOTICES:
        for oldest in list(notices)[: MAX_NOTICES // 2]:
            notices.pop(oldest, None)
    notices[name] = notice


def leaving_nodes(
    notices: dict[str, messages.ServerNotice],
    candidates: fleet_view.Candidates,
) -> list[str]:
    """Returns the candidates whose backend server said that it leaves.

    Their entry in the store may say so later, or not at all while the store is
    away.
    """
    return [
        name
        for name, notice in list(notices.items())
        if notice.leaving
        and name in candidates.members
        and fleet_view.run_boot_id(candidates.members[name].instance)
        == notice.boot_id
    ]
