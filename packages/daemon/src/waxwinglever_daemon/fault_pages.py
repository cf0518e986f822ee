"""HTTP page with which tests inject faults into this daemon's links."""

import json

import attrs
import cherrypy

from waxwinglever_daemon import faults


@attrs.define(eq=False, slots=False)
class FaultPages:
    """The page /faults; mounted only when the settings allow fault injection.

    Attributes:
      link_faults: The faults that the page changes.
    """

    link_faults: faults.LinkFaults

    @cherrypy.expose
    @cherrypy.tools.allow(methods=["PUT"])
    @cherrypy.tools.json_in()
    def index(self) -> bytes:
        """Replaces the faults by those in the JSON body.

        `requests` and `replies` list the addresses to cut, and `delays_ms`
        maps addresses to a one-way latency. An absent `delays_ms` leaves the
        delays unchanged, so that a test can change only the cuts.
        """
        body = cherrypy.request.json
        with self.link_faults.lock:
            self.link_faults.requests = frozenset(body.get("requests", ()))
            self.link_faults.replies = frozenset(body.get("replies", ()))
            if "delays_ms" in body:
                self.link_faults.delays_ms = {
                    address: float(delay_ms)
                    for address, delay_ms in body["delays_ms"].items()
                }
        return json.dumps({"ok": True}).encode("utf-8")
