"""Page by which failure tests cut and delay this daemon's links."""

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
        """Sets the cut links: {"requests": [...], "replies": [...]}.

        `delays_ms` gives a one-way latency by address. The delays stay as
        they are when it is absent, so that a test can change only the cuts.
        """
        wanted = cherrypy.request.json
        with self.cuts.lock:
            self.cuts.requests = frozenset(wanted.get("requests", ()))
            self.cuts.replies = frozenset(wanted.get("replies", ()))
            if "delays_ms" in wanted:
                self.cuts.delays_ms = {
                    address: float(delay_ms)
                    for address, delay_ms in wanted["delays_ms"].items()
                }
        return json.dumps({"ok": True}).encode("utf-8")
