"""Finds the nodes that may run a request."""

import attrs

from waxwinglever_admission import tickets
from waxwinglever_front import http_messages
from waxwinglever_front import request_context
from waxwinglever_model import cells
from waxwinglever_model import exceptions
from waxwinglever_model import limits
from waxwinglever_ownership import config_cache
from waxwinglever_ownership import directory
from waxwinglever_ownership import node as nodes
from waxwinglever_peers import messages
from waxwinglever_routing import record_cache


@attrs.frozen
class Target:
    """A node that may run the request.

    Attributes:
      member: The node.
      cell: Its cell.
      version: Version of the cell record that lists the node.
    """

    member: cells.Member
    cell: str
    version: int


def find_owner(
    context: request_context.RequestContext, request: http_messages.Request
) -> Target | None:
    """Returns the owner of the request's key, or None if it is not known."""
    for record, version in known_records(context, request):
        item = record.slice_at(request.point)
        if item is None:
            continue
        member = record.member(item.owner)
        if member is not None:
            return Target(member, record.cell, version)
    return None


def candidates(
    context: request_context.RequestContext, request: http_messages.Request
) -> list[Target]:
    """Returns the nodes that accept new requests for a service without keys.

    A request with an id and a ticket may only run on the node that issued the
    ticket, so only that node is returned if it is among them.
    """
    excluded_zones = config_cache.excluded_zones(
        context.config_cache, request.tenant
    )
    found = [
        Target(member, record.cell, version)
        for record, version in known_records(context, request)
        for member in record.members
        if member.zone not in excluded_zones
    ]
    if request.request_id is not None and request.ticket is not None:
        incarnation = tickets.parse_ticket(request.ticket).incarnation
        issuers = [t for t in found if t.member.incarnation == incarnation]
        return issuers or found
    return found


def known_records(
    context: request_context.RequestContext, request: http_messages.Request
) -> list[tuple[cells.CellRecord, int]]:
    """Returns the record and version of each cell of the service.

    Fetches a record if the directory lists a newer version.
    """
    node = context.node
    if request_context.is_own_service(context, request.tenant, request.service):
        with node.state.lock:
            if node.state.record is None:
                return []
            return [(node.state.record, node.state.version)]
    found = []
    for summary in directory.find_cells(
        context.cell_directory, request.tenant, request.service
    ):
        known = record_cache.cached_record(context.record_cache, summary.cell)
        if known is None or known.version < summary.version:
            fetch_record(context, summary)
            known = record_cache.cached_record(
                context.record_cache, summary.cell
            )
        if known is not None:
            found.append((known.record, known.version))
    return found


def refresh_records(
    context: request_context.RequestContext, request: http_messages.Request
) -> None:
    """Fetches newer records of the cells of a service that is not local."""
    if request_context.is_own_service(context, request.tenant, request.service):
        return
    for summary in directory.find_cells(
        context.cell_directory, request.tenant, request.service
    ):
        fetch_record(context, summary)


def fetch_record(
    context: request_context.RequestContext, summary: cells.CellSummary
) -> None:
    """Fetches the record of another cell from its leader or else a member."""
    known_version = record_cache.cached_version(
        context.record_cache, summary.cell
    )
    addresses = [summary.leader_address]
    addresses += [member.peer_address for member in summary.members]
    request = messages.MapRequest(summary.cell, known_version)
    for address in dict.fromkeys(filter(None, addresses)):
        try:
            reply = context.peers.call(address, request, limits.PEER_TIMEOUT_S)
        except exceptions.PeerUnavailable:
            continue
        if not isinstance(reply, messages.MapReply):
            continue
        if reply.record is not None:
            record_cache.update(
                context.record_cache, reply.record, reply.version
            )
        return


def first_cell_name(
    context: request_context.RequestContext, request: http_messages.Request
) -> str:
    """Returns the name of the service's first cell."""
    found = directory.find_cells(
        context.cell_directory, request.tenant, request.service
    )
    if found:
        return found[0].cell
    return nodes.cell_name(request.tenant, request.service)
