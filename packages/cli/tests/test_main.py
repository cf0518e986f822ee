"""Tests of waxwinglever_cli.main and its commands."""

import json
import pathlib
import shutil
import tempfile
import types

import testtools
from click import testing

from waxwinglever_cli import exits
from waxwinglever_cli import main
from waxwinglever_cli import settings
from waxwinglever_model import exceptions
from waxwinglever_records import config

ZONES = [{"name": "taraz", "region": "kz-south", "state": "in"}]
PLACEMENT = {"move_cost": 1, "max_moves": 1}
V1 = {
    "schema_version": 1,
    "generation": 1,
    "tenant": "tulpar",
    "zones": ZONES,
    "services": [],
    "placement": PLACEMENT,
}
V2 = {**V1, "schema_version": 2}
STORE = ("--store", "127.0.0.1:1", "--tenant", "tulpar")
DAEMON = ("--daemon", "127.0.0.1:2", "--tenant", "tulpar", "--output", "json")
STATUS = {
    "node": "a",
    "cell": {"term": 3},
    "members": [{"node": "a", "ok": True}, {"node": "b\x1b", "zone": None}],
}


def memory_store() -> types.SimpleNamespace:
    """Returns StoreCalls on a dictionary."""
    entries = {}

    def compare_and_swap(key, value, expected_version):
        version = entries[key].version if key in entries else 0
        if version != expected_version:
            raise exceptions.Conflict("other version", "read it")
        entries[key] = types.SimpleNamespace(value=value, version=version + 1)
        return version + 1

    return types.SimpleNamespace(
        get=entries.get,
        compare_and_swap=compare_and_swap,
        close=lambda: None,
    )


def down(*_):
    raise exceptions.StoreUnavailable("the store is down", "wait")


def fetch(address, path, params):
    if address.endswith(":9"):
        raise exceptions.PeerUnavailable("no answer", "check the daemon")
    if params.get("service") == "none":
        raise exceptions.UnknownService("unknown", "check the name")
    return STATUS if path == "/status" else {"owner": "a", **params}


class CommandsTest(testtools.TestCase):
    """Guards against commands that fail to write, or hide a failure."""

    def setUp(self):
        super().setUp()
        self.folder = pathlib.Path(tempfile.mkdtemp())
        self.addCleanup(shutil.rmtree, self.folder)
        self.store = memory_store()

    def file(self, content: object) -> str:
        path = self.folder / f"{len(list(self.folder.iterdir()))}.json"
        text = content if isinstance(content, str) else json.dumps(content)
        path.write_text(text, encoding="utf-8")
        return str(path)

    def run_main(self, *arguments: str, code: int = exits.OK) -> str:
        connections = settings.Connections(
            lambda _: self.store, fetch, lambda _: None
        )
        result = testing.CliRunner().invoke(
            main.main, arguments, obj=connections
        )
        self.assertEqual(code, result.exit_code, result.output)
        return result.output

    def stored(self, readable: tuple[int, ...] = (1, 2)) -> config.Config:
        entry = self.store.get(config.store_key("tulpar"))
        return config.parse_value(entry.value, readable)

    def apply(self, *documents: dict) -> None:
        files = [self.file(document) for document in documents]
        self.run_main(*STORE, "apply", *files)

    def test_apply_get_edit_apply(self):
        self.apply(V1, V2)
        document = json.loads(self.run_main(*STORE, "get"))
        self.assertEqual({**V2, "generation": 1}, document)
        document["retired"] = ["node-a"]
        edited = self.file(document)
        diff = self.run_main(*STORE, "diff", edited)
        self.assertIn('+    "node-a"', diff)
        # Version 1 would disappear for the daemons that read only it.
        self.run_main(*STORE, "apply", edited, code=exits.INVALID)
        self.run_main(*STORE, "apply", edited, "--drop-missing", "-m", "why")
        self.assertEqual(2, self.stored().generation)
        self.assertIn("no difference", self.run_main(*STORE, "diff", edited))
        self.assertIn("why", self.run_main(*STORE, "history"))

    def test_apply_refuses_what_it_is_not_based_on(self):
        self.apply(V2)
        self.apply({**V2, "generation": 1})
        for arguments in (
            (self.file(V2),),
            (self.file({**V2, "generation": 2}), "--expect-generation", "1"),
        ):
            output = self.run_main(
                *STORE, "apply", *arguments, code=exits.CONFLICT
            )
            self.assertIn("run `get`", output)
        self.assertEqual(2, self.stored().generation)

    def test_zone_edits_reach_every_document(self):
        self.apply(V1, V2)
        for state in ("out", "in"):
            self.run_main(*STORE, "zone", state, "taraz")
            for readable in ((1,), (2,)):
                self.assertEqual(state, self.stored(readable).zones[0].state)
        again = self.run_main(*STORE, "zone", "in", "taraz")
        self.assertIn("nothing to change", again)
        self.assertEqual(3, self.stored().generation)
        self.run_main(*STORE, "zone", "out", "bole", code=exits.INVALID)

    def test_retire_needs_version_2(self):
        self.apply(V1)
        self.run_main(*STORE, "retire", "node-a", code=exits.INVALID)
        self.apply(V1, V2)
        self.run_main(*STORE, "retire", "node-a")
        self.assertEqual(("node-a",), self.stored().retired)
        self.run_main(*STORE, "retire", "Node A", code=exits.INVALID)

    def test_validate_names_file_and_path(self):
        self.run_main("validate", self.file(V1), self.file(V2))
        bad = self.file({**V2, "zones": [{"name": "X"}]})
        output = self.run_main("validate", bad, code=exits.INVALID)
        self.assertIn(f"{bad}: $.zones[0]", output)
        for files in (
            [self.file("{")],
            [self.file(V2), self.file(V2)],
            [self.file(V1), self.file({**V2, "generation": 2})],
            [self.file({**V2, "generation": "1"})],
        ):
            self.run_main("validate", *files, code=exits.INVALID)

    def test_wrong_usage(self):
        for arguments in (
            ("get",),
            ("--store", "nowhere", "get"),
            ("--tenant", "a/b", "status"),
            ("--store", "127.0.0.1:1", "get"),
            ("--tenant", "other", *STORE[:2], "apply", self.file(V2)),
            ("status",),
            (*DAEMON, "owner", "k", "--service", "none"),
        ):
            self.run_main(*arguments, code=exits.USAGE)

    def test_unavailable_and_unknown_have_their_own_codes(self):
        self.store.compare_and_swap = down
        output = self.run_main(
            *STORE, "apply", self.file(V2), code=exits.WRITE_UNKNOWN
        )
        self.assertIn("nonce", output)
        self.store.get = down
        output = self.run_main(
            *STORE, "--output", "json", "get", code=exits.UNAVAILABLE
        )
        self.assertEqual("store-unavailable", json.loads(output)["kind"])
        self.run_main(
            "--daemon", "127.0.0.1:9", "status", code=exits.UNAVAILABLE
        )

    def test_status_and_owner(self):
        text = self.run_main("--daemon", "127.0.0.1:2", "status")
        self.assertIn("cell.term  3", text)
        self.assertIn("node  ok   zone", text)
        self.assertNotIn("\x1b", text)
        self.assertEqual(STATUS, json.loads(self.run_main(*DAEMON, "status")))
        found = json.loads(
            self.run_main(*DAEMON, "owner", "k", "--service", "s")
        )
        self.assertEqual(
            {"owner": "a", "tenant": "tulpar", "service": "s", "key": "k"},
            found,
        )

    def test_help_lists_each_exit_code(self):
        text = self.run_main("--help")
        for code in range(exits.WRITE_UNKNOWN + 1):
            self.assertIn(f"\n    {code}  ", text)
