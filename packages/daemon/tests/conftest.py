"""A daemon's parts without its threads, links and processes."""

import json

import attrs
import pytest

from waxwinglever_daemon import assembly
from waxwinglever_daemon import faults
from waxwinglever_daemon import settings
from waxwinglever_front import announcements
from waxwinglever_front import site as sites
from waxwinglever_model import cells
from waxwinglever_ownership import configs
from waxwinglever_ownership import directory
from waxwinglever_peers import links
from waxwinglever_standins import memory
from waxwinglever_telemetry import metrics

HOST = "127.61.0.1"


def settings_of(host: str = HOST, **changes) -> dict:
    """Returns the JSON values of a daemon's settings."""
    base = {
        "node": "a",
        "zone": "z",
        "http_address": f"{host}:8080",
        "peer_address": f"{host}:8081",
        "store_address": f"{host}:7000",
    }
    return {**base, **changes}


def config_value(generation: int, slots: int) -> str:
    """Returns a configuration with one keyed service."""
    service = {
        "name": "s",
        "kind": "keyed",
        "instances_min": 1,
        "slots": slots,
        "cold_start": {"initial_slots": 2, "seconds": 0.0},
        "classes": [{"name": "default", "weight": 1}],
        "timeout_ms": 5000,
        "checks_fences": True,
    }
    document = {
        "schema_version": 2,
        "generation": generation,
        "tenant": "t",
        "zones": [{"name": "z", "region": "r", "state": "in"}],
        "services": [service],
        "placement": {"move_cost": 0.05, "max_moves": 4, "rules": []},
        "retired": [],
    }
    return json.dumps(
        {
            "generation": generation,
            "documents": {"2": document},
            "history": [],
        }
    )


def announcement(**changes) -> announcements.Announcement:
    """Returns what the backend server announces."""
    base = announcements.Announcement(
        "t", "s", f"{HOST}:9000", "boot", 10, 5, True, "ready"
    )
    return attrs.evolve(base, **changes)


def new_daemon() -> assembly.Daemon:
    """Returns a daemon that listens to nothing and reaches nobody."""

    def call(address, *_):
        raise links.unavailable(address, "cut")

    made = settings.parse(json.dumps(settings_of(drain_timeout_s=1)))
    site = sites.Site(
        cells.Member("a", "a-0", made.peer_address, made.http_address, "z"),
        configs.ConfigBook(),
        directory.Directory(),
        links.PeerCalls(call, lambda: None),
        call,
        metrics.Metrics(),
        lambda *_, **__: None,
    )
    return assembly.Daemon(made, site, memory.memory_store(), faults.Cuts())


@attrs.frozen
class Builders:
    """What the tests of this package build their cases with."""

    settings = staticmethod(settings_of)
    config = staticmethod(config_value)
    announcement = staticmethod(announcement)
    daemon = staticmethod(new_daemon)


@pytest.fixture(autouse=True)
def builders(request: pytest.FixtureRequest) -> None:
    """Gives each test case the builders."""
    request.instance.make = Builders()
