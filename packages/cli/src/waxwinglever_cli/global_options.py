"""Global options, and access to the store and to daemons."""

import contextlib
import re
import time
from collections.abc import Callable
from collections.abc import Iterator

import attrs
import click

from waxwinglever_cli import daemon_client
from waxwinglever_model import identifiers
from waxwinglever_store import client
from waxwinglever_store import http


def open_http_store(address: str) -> client.StoreClient:
    """Returns a client of the store at host:port."""
    return http.new_http_client(address)


@attrs.frozen
class Connections:
    """Functions through which commands reach other processes and wait.

    Tests replace them.

    Attributes:
      open_store: Returns a client of the store at host:port.
      fetch: Returns a JSON page of a daemon; see daemon_client.fetch.
      sleep: Sleeps for a number of seconds.
    """

    open_store: Callable[[str], client.StoreClient] = open_http_store
    fetch: Callable[[str, str, dict[str, str]], dict] = daemon_client.fetch
    sleep: Callable[[float], None] = time.sleep


@attrs.frozen
class GlobalOptions:
    """The values of the global options.

    Attributes:
      store: host:port of the store, or None.
      daemon: host:port of a daemon, or None.
      tenant: Name of the tenant, or None.
      as_json: Whether to print JSON.
      connections: Access to other processes.
    """

    store: str | None
    daemon: str | None
    tenant: str | None
    as_json: bool
    connections: Connections


def validate_address(_, __, text: str | None) -> str | None:
    """Checks that an option is host:port, as a click callback.

    Raises:
      BadParameter: It is not.
    """
    if text is None:
        return None
    host, _, port = text.rpartition(":")
    is_valid_port = re.fullmatch("[0-9]{1,5}", port) and 0 < int(port) < 65536
    if not host or not is_valid_port or set(host) & set("/?#@ "):
        raise click.BadParameter(f"{text!r} is not host:port")
    return text


def validate_tenant(_, __, text: str | None) -> str | None:
    """Checks that an option is the name of a tenant, as a click callback.

    Raises:
      BadParameter: It is not.
    """
    if text is not None and not identifiers.is_name(text):
        raise click.BadParameter(f"{text!r} is not a valid name of a tenant")
    return text


@contextlib.contextmanager
def opened_store(global_options: GlobalOptions) -> Iterator[client.StoreClient]:
    """Yields a client of the store and closes it afterwards.

    Raises:
      UsageError: --store is missing.
    """
    if global_options.store is None:
        raise click.UsageError("give --store or set WAXWINGLEVER_STORE")
    store = global_options.connections.open_store(global_options.store)
    try:
        yield store
    finally:
        store.close()


def fetch_from_daemon(
    global_options: GlobalOptions, path: str, params: dict[str, str]
) -> dict:
    """Returns a JSON page of the daemon.

    Raises:
      UsageError: --daemon is missing.
    """
    if global_options.daemon is None:
        raise click.UsageError("give --daemon or set WAXWINGLEVER_DAEMON")
    return global_options.connections.fetch(global_options.daemon, path, params)


def require_tenant(global_options: GlobalOptions) -> str:
    """Returns the name of the tenant.

    Raises:
      UsageError: --tenant is missing.
    """
    if global_options.tenant is None:
        raise click.UsageError("give --tenant")
    return global_options.tenant
