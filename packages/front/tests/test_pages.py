"""Tests of waxwinglever_front.pages."""

import io
import json
import typing

import cherrypy
import testtools

from waxwinglever_front import pages
from waxwinglever_model import exceptions


class PagesTest(testtools.TestCase):
    """Guards against pages that fail or report a wrong state."""

    make_front: typing.Any = None
    environ: typing.Any = None

    def setUp(self):
        super().setUp()
        self.front = self.make_front()
        self.announcements = []
        root = pages.Pages(self.front.context, self.on_announcement)
        config = {"/": {"log.screen": False}}
        self.app = cherrypy.Application(root, "", config)

    def on_announcement(self, announcement):
        if announcement.service != "keyed":
            raise exceptions.InvalidInput("other service", "restart")
        self.announcements.append(announcement)

    def load(self, path, method="GET", body=b""):
        """Returns the status and the text of a page."""
        environ = self.environ(path, method, body)
        environ.update(
            SCRIPT_NAME="",
            SERVER_NAME="h",
            SERVER_PORT="80",
            SERVER_PROTOCOL="HTTP/1.1",
            REMOTE_ADDR="127.0.0.1",
            HTTP_HOST="h",
        )
        environ["wsgi.url_scheme"] = "http"
        environ["wsgi.version"] = (1, 0)
        for name in ("multithread", "multiprocess", "run_once"):
            environ[f"wsgi.{name}"] = False
        environ["wsgi.errors"] = io.StringIO()
        started = []
        chunks = self.app(environ, lambda *given: started.append(given))
        text = b"".join(chunks).decode()
        return int(started[0][0].split()[0]), text

    def test_health_readiness_and_metrics(self):
        self.assertEqual(200, self.load("/healthz")[0])
        self.assertEqual(200, self.load("/readyz")[0])
        self.assertEqual(200, self.load("/status")[0])
        self.assertIn("slices_owned", self.load("/metrics")[1])
        self.front.context.is_draining = True
        status, text = self.load("/readyz")
        self.assertEqual((503, "draining"), (status, json.loads(text)["why"]))

    def test_the_owner_of_a_key(self):
        path = "/owner?tenant=t&service=keyed&key=k"
        status, text = self.load(path)
        self.assertEqual((200, "a"), (status, json.loads(text)["node"]))
        self.front.assign_all("")
        self.assertEqual(404, self.load(path)[0])
        self.assertEqual(404, self.load("/owner?tenant=u")[0])

    def test_an_announcement_is_accepted_or_refused(self):
        good = {
            "tenant": "t",
            "service": "keyed",
            "address": "127.0.0.1:9",
            "boot_id": "b",
            "slots": 1,
            "connections": 1,
            "checks_fences": True,
            "state": "ready",
        }
        for body, expected in (
            (good, 200),
            ({**good, "service": "any"}, 400),
            ({**good, "slots": 0}, 400),
            (["x" * pages.MAX_ANNOUNCEMENT_BYTES], 400),
        ):
            status, text = self.load(
                "/announce", "POST", json.dumps(body).encode()
            )
            self.assertEqual(expected, status, text)
        self.assertEqual(1, len(self.announcements))
        self.assertEqual(405, self.load("/announce")[0])
