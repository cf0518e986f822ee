"""Options that all commands share, and the connections that they open."""

import contextlib
import re
import time
from collections.abc import Callable
from collections.abc import Iterator

import attrs
import click

from waxwinglever_cli import daemon_client
from waxwinglever_model import identifiers
from waxwinglever_store import calls
from waxwinglever_store import http


def open_http_store(address: str) -> calls.StoreCalls:
    """Returns the client of the store at host:port."""
    return http.http_store(address)


@attrs.frozen
class Connections:
    """How the commands reach other processes.

    Attributes:
      open_store: Returns calls.StoreCalls for host:port.
      fetch: Returns a page of a daemon; see daemon_client.fetch.
      sleep: Waits some seconds.
    """

    open_store: Callable[[str], calls.StoreCalls] = open_http_store
    fetch: Callable[[str, str, dict[str, str]], dict] = daemon_client.fetch
    sleep: Callable[[float], None] = time.sleep


@attrs.frozen
class Settings:
    """The global options.

    Attributes:
      store: host:port of the store, or None.
      daemon: host:port of a daemon, or None.
      tenant: Name of the tenant, or None.
      as_json: Whether to print JSON.
      connections: How to reach other processes.
    """

    store: str | None
    daemon: str | None
    tenant: str | None
    as_json: bool
    connections: Connections


def check_address(_, __, text: str | None) -> str | None:
    """Returns host:port as it is, as a callback of click."""
    if text is None:
        return None
    host, _, port = text.rpartition(":")
    valid = re.fullmatch("[0-9]{1,5}", port) and 0 < int(port) < 65536
    if not host or not valid or set(host) & set("/?#@ "):
        raise click.BadParameter(f"{text!r} is not host:port")
    return text


def check_tenant(_, __, text: str | None) -> str | None:
    """Returns a tenant's name as it is, as a callback of click."""
    if text is not None and not identifiers.is_name(text):
        raise click.BadParameter(f"{text!r} is not a name of a tenant")
    return text


@contextlib.contextmanager
def opened_store(settings: Settings) -> Iterator[calls.StoreCalls]:
    """Yields the store's calls and closes them afterwards."""
    if settings.store is None:
        raise click.UsageError("give --store or set WAXWINGLEVER_STORE")
    store = settings.connections.open_store(settings.store)
    try:
        yield store
    finally:
        store.close()


def fetch(settings: Settings, path: str, params: dict[str, str]) -> dict:
    """Returns a page of the daemon."""
    if settings.daemon is None:
        raise click.UsageError("give --daemon or set WAXWINGLEVER_DAEMON")
    return settings.connections.fetch(settings.daemon, path, params)


def tenant(settings: Settings) -> str:
    """Returns the tenant, which the command needs."""
    if settings.tenant is None:
        raise click.UsageError("give --tenant")
    return settings.tenant
