"""Page by which failure tests cut this daemon's links."""

import json

import attrs
import cherrypy

from waxwinglever_daemon import faults


@attrs.define(eq=False, slots=False)
class FaultPages:
    """The page /faults; mounted only when the settings allow it.

    Attributes:
      cuts: The links that are cut.
    """

    cuts: faults.Cuts

    @cherrypy.expose
    @cherrypy.tools.allow(methods=["PUT"])
    @cherrypy.tools.json_in()
    def index(self) -> bytes:
        """Sets the cut links: {"requests": [...], "replies": [...]}."""
        wanted = cherrypy.request.json
        with self.cuts.lock:
            self.cuts.requests = frozenset(wanted.get("requests", ()))
            self.cuts.replies = frozenset(wanted.get("replies", ()))
        return json.dumps({"ok": True}).encode("utf-8")
