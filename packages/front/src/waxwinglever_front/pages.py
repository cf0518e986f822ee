"""CherryPy pages for operators and for the backend server's announcement."""

import json
from collections.abc import Callable

import attrs
import cherrypy

from waxwinglever_front import announcements
from waxwinglever_front import exchange
from waxwinglever_front import site as sites
from waxwinglever_front import status
from waxwinglever_front import targets
from waxwinglever_model import exceptions

MAX_ANNOUNCEMENT_BYTES = 16 * 1024


def as_json(value: object) -> bytes:
    """Returns a page's body and sets its content type."""
    cherrypy.response.headers["Content-Type"] = "application/json"
    return json.dumps(value).encode("utf-8")


def as_error(error: exceptions.WaxwingleverError, code: int) -> bytes:
    """Returns the page for a typed error."""
    cherrypy.response.status = code
    return as_json(
        {
            "kind": error.kind,
            "message": error.message,
            "remedy": error.remedy,
        }
    )


@attrs.define(eq=False, slots=False)
class Pages:
    """The operators' pages; exposed methods are URLs.

    CherryPy adds attributes to the root object, so the class has no slots.

    Attributes:
      site: The daemon's shared state.
      announce_server: Takes an announcement of the backend server.
    """

    site: sites.Site
    announce_server: Callable[[announcements.Announcement], None]

    @cherrypy.expose
    def healthz(self) -> bytes:
        """Answers while the process serves requests."""
        return as_json({"ok": True})

    @cherrypy.expose
    def readyz(self) -> bytes:
        """Answers 200 once requests can be routed, 503 before and after."""
        why = status.not_ready(self.site)
        if why:
            cherrypy.response.status = 503
        return as_json({"ready": not why, "why": why})

    @cherrypy.expose
    def status(self) -> bytes:
        """Tells the daemon's membership, leases, configuration and load."""
        return as_json(status.snapshot(self.site))

    @cherrypy.expose
    def metrics(self) -> bytes:
        """Returns all metrics in Prometheus' text format."""
        status.update_gauges(self.site)
        cherrypy.response.headers["Content-Type"] = "text/plain; version=0.0.4"
        return self.site.metrics.render()

    @cherrypy.expose
    def owner(
        self, tenant: str = "", service: str = "", key: str = ""
    ) -> bytes:
        """Tells the owner of a key, as this daemon knows it."""
        request = exchange.Request(
            tenant=tenant,
            service=service,
            method="GET",
            path="/",
            headers=(),
            body=b"",
            # The key comes in a header otherwise, which HTTP libraries decode
            # as Latin-1.
            key=key.encode("utf-8").decode("latin-1"),
            request_class="",
            deadline_s=self.site.now(),
        )
        target = targets.owner_of(self.site, request)
        if target is None:
            error = exceptions.NotOwner(
                f"no owner of key {key!r} is known",
                "check tenant and service, or ask again after a handover",
            )
            return as_error(error, 404)
        return as_json(
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
        """Takes the announcement of the backend server on this VM."""
        try:
            body = cherrypy.request.body.read(MAX_ANNOUNCEMENT_BYTES)
            self.announce_server(announcements.parse(body))
        except exceptions.InvalidInput as error:
            return as_error(error, 400)
        return as_json({"ok": True})
