"""Tests of waxwinglever_daemon.main, with real processes."""

import contextlib
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import typing

import attrs
import pynng
import testtools
import urllib3

from waxwinglever_daemon import main

TIMEOUT_S = 30
JUNK = (b"", b"\x00" * 8, b"GET", b"\xff" * 70_000, b"POST /s/t/s/ HTTP/9\r\n")


class ProcessTest(testtools.TestCase):
    """Guards against a daemon that stops on its own, or not when asked."""

    make: typing.Any = None

    def setUp(self):
        super().setUp()
        folder = tempfile.mkdtemp()
        self.addCleanup(shutil.rmtree, folder)
        self.path = pathlib.Path(folder) / "settings.json"
        self.http = urllib3.PoolManager(retries=False, timeout=TIMEOUT_S)
        self.addCleanup(self.http.clear)

    def start(self, settings, *options):
        """Starts a daemon with these settings."""
        self.path.write_text(json.dumps(settings), encoding="utf-8")
        # pylint: disable-next=consider-using-with
        process = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "waxwinglever_daemon.main",
                "--settings",
                str(self.path),
                *options,
            ],
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
            env={**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)},
        )
        self.addCleanup(self.end, process)
        return process

    def end(self, process):
        if process.poll() is None:
            process.kill()
        process.communicate()

    def start_serving(self, host, **changes):
        settings = self.make.settings(host, **changes)
        process = self.start(settings)
        for line in process.stdout:
            if json.loads(line)["event"] == "daemon-started":
                return process
        raise AssertionError(process.stderr.read())

    def ask(self, host, path, method="GET", body=None):
        return self.http.request(method, f"http://{host}:8080{path}", body=body)

    def test_check_and_bad_settings_have_their_exit_codes(self):
        good = self.make.settings()
        for settings, options, code, text in (
            (good, ["--check"], 0, "are valid"),
            ({**good, "colour": 1}, ["--check"], 2, "colour"),
            ({**good, "node": "A"}, [], 2, "node"),
            ([], [], 2, "JSON object"),
        ):
            process = self.start(settings, *options)
            out, error = process.communicate(timeout=TIMEOUT_S)
            self.assertEqual(code, process.returncode, error)
            self.assertIn(text, out + error)
            self.assertNotIn("Traceback", error)

    def test_an_address_in_use_is_a_settings_error(self):
        host = "127.61.0.2"
        for port in (8080, 8081):
            with socket.socket() as taken:
                taken.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                taken.bind((host, port))
                taken.listen()
                process = self.start(self.make.settings(host))
                _, error = process.communicate(timeout=TIMEOUT_S)
            self.assertEqual(2, process.returncode, error)
            self.assertIn(f"{host}:{port}", error)
            self.assertNotIn("Traceback", error)

    def test_junk_does_not_stop_it_and_sigterm_does(self):
        host = "127.61.0.3"
        process = self.start_serving(host)
        for port in (8080, 8081):
            for junk in JUNK:
                with socket.create_connection((host, port)) as link:
                    with contextlib.suppress(ConnectionError):
                        link.sendall(junk)
        with pynng.Req0(recv_timeout=TIMEOUT_S * 1000) as link:
            link.dial(f"tcp://{host}:8081", block=True)
            for junk in JUNK:
                link.send(junk)
                self.assertIn(b"ErrorReply", link.recv())
        self.assertEqual(200, self.ask(host, "/healthz").status)
        self.assertEqual(503, self.ask(host, "/readyz").status)
        reply = self.ask(host, "/s/t/s/x")
        self.assertEqual(
            (404, "not-run"),
            (reply.status, reply.headers["Waxwinglever-Outcome"]),
        )
        process.send_signal(signal.SIGTERM)
        self.assertEqual(0, process.wait(TIMEOUT_S))

    def test_a_second_sigterm_stops_a_drain(self):
        host = "127.61.0.4"
        # Without a store the node can't leave, so the drain takes its time.
        process = self.start_serving(host, drain_timeout_s=300)
        body = json.dumps(attrs.asdict(self.make.announcement()))
        reply = self.ask(host, "/announce", "POST", body)
        self.assertEqual(200, reply.status, reply.data)
        process.send_signal(signal.SIGTERM)
        while b"draining" not in self.ask(host, "/readyz").data:
            self.assertIsNone(process.poll())
        process.send_signal(signal.SIGTERM)
        self.assertEqual(main.EXIT_FORCED, process.wait(TIMEOUT_S))
