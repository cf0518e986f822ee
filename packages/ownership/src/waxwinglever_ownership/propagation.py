"""Keeps configurations and the directory up to date.

They come from the store and from the leaders of other cells.
"""

import random

from waxwinglever_model import cells
from waxwinglever_model import exceptions
from waxwinglever_model import limits
from waxwinglever_ownership import config_cache
from waxwinglever_ownership import directory
from waxwinglever_ownership import membership
from waxwinglever_ownership import node as nodes
from waxwinglever_ownership import records
from waxwinglever_peers import messages
from waxwinglever_records import config

# Interval at which each leader reads the directory from the store.
DIRECTORY_INTERVAL_S = 2.0
# A watch whose response is lost can't be told from one without a change until
# it times out, so the timeout must stay well below the 7 s in which a new
# configuration must become active. 120 leaders cause 40 reads per second.
CONFIG_WATCH_TIMEOUT_S = 3.0
# Interval at which a member without a leader reads the configuration.
CONFIG_POLL_INTERVAL_S = 2.0


def build_directory_exchange(
    node: nodes.CellNode, known: dict[str, int]
) -> messages.DirectoryExchange:
    """Returns this node's directory and its newer configurations.

    Args:
      node: The node.
      known: Generation that the receiver has, by tenant.
    """
    _, summaries = directory.snapshot(node.directory)
    return messages.DirectoryExchange(
        summaries,
        config_cache.generations(node.config_cache),
        config_cache.updates_for(node.config_cache, known, (node.tenant,)),
    )


def apply_config(node: nodes.CellNode, tenant: str, value: str) -> None:
    """Activates a stored configuration if it is newer, and logs it."""
    if config_cache.apply_if_newer(node.config_cache, tenant, value):
        node.dependencies.log(
            "config-accepted",
            tenant=tenant,
            generation=config_cache.generations(node.config_cache)[tenant],
        )


def run_configs(node: nodes.CellNode) -> None:
    """Keeps the tenant's configuration up to date.

    The leader watches the store. Other members get the configuration in
    heartbeats, and poll the store only while they receive none.
    """
    version = 0
    while not node.stopping.is_set():
        key = config.config_key(node.tenant)
        try:
            if node.leader is not None:
                entry = node.dependencies.store.watch(
                    key, version, CONFIG_WATCH_TIMEOUT_S
                )
            elif needs_config_poll(node):
                entry = node.dependencies.store.get(key)
            else:
                entry = None
        except exceptions.StoreUnavailable:
            entry = None
            node.stopping.wait(nodes.STORE_RETRY_S)
        if entry is not None:
            version = entry.version
            apply_config(node, node.tenant, entry.value)
        if node.leader is None:
            node.stopping.wait(
                CONFIG_POLL_INTERVAL_S * random.uniform(0.5, 1.0)
            )


def needs_config_poll(node: nodes.CellNode) -> bool:
    """Returns whether the node lacks a configuration or heartbeats."""
    if node.tenant not in config_cache.generations(node.config_cache):
        return True
    return membership.is_leader_lost(node.state, node.dependencies.now())


def run_directory(node: nodes.CellNode) -> None:
    """Keeps the directory of the tenant's cells up to date.

    The leader reads it from the store or, while the store is down, from the
    leaders of other cells. Other members get it in heartbeats, and read the
    store only while their directory is empty.
    """
    while not node.stopping.is_set():
        if node.leader is not None:
            try:
                load_directory(node)
            except exceptions.StoreUnavailable:
                exchange_directories(node)
        elif not node.directory.summaries:
            try:
                load_directory(node)
            except exceptions.StoreUnavailable:
                pass
        node.stopping.wait(DIRECTORY_INTERVAL_S * random.uniform(0.8, 1.0))


def load_directory(node: nodes.CellNode) -> None:
    """Merges the records of the tenant's cells into the directory.

    Raises:
      StoreUnavailable: The store did not answer.
    """
    prefix = records.store_key(f"{node.tenant}/")
    summaries = []
    for entry in node.dependencies.store.list_prefix(prefix):
        try:
            record = records.decode(entry.value)
        except exceptions.InvalidInput as error:
            node.dependencies.log(
                "record-ignored", key=entry.key, error=str(error)
            )
            continue
        summaries.append(cells.summarize(record, entry.version))
    directory.merge(node.directory, summaries)


def exchange_directories(node: nodes.CellNode) -> None:
    """Exchanges directories and configurations with other cells' leaders."""
    _, summaries = directory.snapshot(node.directory)
    for summary in summaries:
        if nodes.is_own_cell(node, summary.cell) or not summary.leader_address:
            continue
        message = build_directory_exchange(node, {})
        try:
            reply = node.dependencies.peers.call(
                summary.leader_address, message, limits.PEER_TIMEOUT_S
            )
        except exceptions.PeerUnavailable:
            continue
        if isinstance(reply, messages.DirectoryExchange):
            directory.merge(node.directory, reply.lines)
            for update in reply.configs:
                apply_config(node, update.tenant, update.value)
