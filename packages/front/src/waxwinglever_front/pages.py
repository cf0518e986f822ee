"""CherryPy pages for operators and for the backend server's announcement."""

import json
from collections.abc import Callable

import attrs
import cherrypy

from waxwinglever_front import announcements
from waxwinglever_front import http_messages
from waxwinglever_front import request_context
from waxwinglever_front import status
from waxwinglever_front import targets
from waxwinglever_model import exceptions

MAX_ANNOUNCEMENT_BYTES = 16 * 1024


def json_page(value: object) -> bytes:
    """Returns a JSON body and sets the content type of the response."""
    cherrypy.response.headers["Content-Type"] = "application/json"
    return json.dumps(value).encode("utf-8")


def error_page(error: exceptions.WaxwingleverError, code: int) -> bytes:
    """Returns the body for an error and sets the status of the response."""
    cherrypy.response.status = code
    return json_page(
        {
            "kind": error.kind,
            "message": error.message,
            "remedy": error.remedy,
        }
    )


@attrs.define(eq=False, slots=False)
class Pages:
    """The operators' pages; CherryPy serves each exposed method as a URL.

    CherryPy adds attributes to the root object, so the class has no slots.

    Attributes:
      context: The daemon's shared state.
      on_announcement: Called with each announcement of the backend server.
        Raises InvalidInput to reject it.
    """

    context: request_context.RequestContext
    on_announcement: Callable[[announcements.Announcement], None]

    @cherrypy.expose
    def healthz(self) -> bytes:
        """Returns 200 while the process serves requests."""
        return json_page({"ok": True})

    @cherrypy.expose
    def readyz(self) -> bytes:
        """Returns 200 while requests can be routed, else 503 and the reason."""
        reason = status.unready_reason(self.context)
        if reason:
            cherrypy.response.status = 503
        return json_page({"ready": not reason, "why": reason})

    @cherrypy.expose
    def status(self) -> bytes:
        """Returns the daemon's membership, leases, configuration and load."""
        return json_page(status.snapshot(self.context))

    @cherrypy.expose
    def metrics(self) -> bytes:
        """Returns all metrics in the Prometheus text format."""
        status.update_gauges(self.context)
        cherrypy.response.headers["Content-Type"] = "text/plain; version=0.0.4"
        return self.context.metrics.render()

    @cherrypy.expose
    def owner(
        self, tenant: str = "", service: str = "", key: str = ""
    ) -> bytes:
        """Returns the owner of a key as known to this daemon."""
        request = http_messages.Request(
            tenant=tenant,
            service=service,
            method="GET",
            path="/",
            headers=(),
            body=b"",
            # Keys of callers come in a header, which HTTP libraries decode as
            # Latin-1.
            key=key.encode("utf-8").decode("latin-1"),
            request_class="",
            deadline_s=self.context.now(),
        )
        target = targets.find_owner(self.context, request)
        if target is None:
            error = exceptions.NotOwner(
                f"no owner of key {key!r} is known",
                "check tenant and service, or ask again after a handover",
            )
            return error_page(error, 404)
        return json_page(
            {
                "node": target.member.node,
                "zone": target.member.zone,
                "address": target.member.http_address,
                "cell": target.cell,
                "map_version": target.version,
                "point": request.point,
            }
        )

    @cherrypy.expose
    @cherrypy.tools.allow(methods=["POST"])
    def announce(self) -> bytes:
        """Accepts an announcement of the backend server on this VM."""
        try:
            body = cherrypy.request.body.read(MAX_ANNOUNCEMENT_BYTES)
            self.on_announcement(announcements.parse(body))
        except exceptions.InvalidInput as error:
            return error_page(error, 400)
        return json_page({"ok": True})
