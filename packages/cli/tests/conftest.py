"""Runs the program with an in-memory store and a fake daemon."""

import json
import pathlib
import types

import attrs
import pytest
from click import testing

from waxwinglever_cli import exits
from waxwinglever_cli import global_options
from waxwinglever_cli import main
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
STATUS = {
    "node": "a",
    "cell": {"term": 3},
    "members": [{"node": "a", "ok": True}, {"node": "b\x1b", "zone": None}],
}


def memory_store() -> types.SimpleNamespace:
    """Returns a fake of StoreClient that keeps entries in a dictionary."""
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


def fetch_page(address, path, params):
    if address.endswith(":9"):
        raise exceptions.PeerUnavailable("no answer", "check the daemon")
    if params.get("service") == "none":
        raise exceptions.UnknownService("unknown", "check the name")
    return STATUS if path == "/status" else {"owner": "a", **params}


@attrs.define
class ProgramRunner:
    """Runs the program in a folder; holds its store and example documents."""

    folder: pathlib.Path
    store: types.SimpleNamespace = attrs.field(factory=memory_store)
    v1: dict = attrs.field(factory=V1.copy)
    v2: dict = attrs.field(factory=V2.copy)
    status: dict = attrs.field(factory=STATUS.copy)

    def write_file(self, content: object) -> str:
        path = self.folder / f"{len(list(self.folder.iterdir()))}.json"
        text = content if isinstance(content, str) else json.dumps(content)
        path.write_text(text, encoding="utf-8")
        return str(path)

    def run(self, *arguments: str, code: int = exits.OK) -> str:
        connections = global_options.Connections(
            lambda _: self.store, fetch_page, lambda _: None
        )
        result = testing.CliRunner().invoke(
            main.main, arguments, obj=connections
        )
        assert result.exit_code == code, result.output
        return result.output

    def stored_config(
        self, readable: tuple[int, ...] = (1, 2)
    ) -> config.Config:
        entry = self.store.get(config.config_key("tulpar"))
        return config.parse_value(entry.value, readable)

    def apply(self, *documents: dict) -> None:
        files = [self.write_file(document) for document in documents]
        self.run("--store", "127.0.0.1:1", "apply", *files)


@pytest.fixture(autouse=True)
def program(request: pytest.FixtureRequest, tmp_path: pathlib.Path) -> None:
    """Sets the attribute `program` of each test case to a new runner."""
    request.instance.program = ProgramRunner(tmp_path)
