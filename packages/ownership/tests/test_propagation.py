"""Tests of waxwinglever_ownership.propagation."""

import testtools

from waxwinglever_model import cells
from waxwinglever_model import exceptions
from waxwinglever_model import limits
from waxwinglever_ownership import config_cache
from waxwinglever_ownership import directory
from waxwinglever_ownership import leader_state
from waxwinglever_ownership import node as nodes
from waxwinglever_ownership import propagation
from waxwinglever_records import stored_config
from waxwinglever_store import client

CONFIG_BOUND_S = 7.0
# Allows for the heartbeats to the members and for a loaded VM.
MARGIN_S = 2.0
DOCUMENT = {
    "schema_version": 2,
    "tenant": "t",
    "zones": [{"name": "z", "region": "r"}],
    "services": [],
    "placement": {"move_cost": 1, "max_moves": 1},
}


class LostWatchTest(testtools.TestCase):
    """Guards against a configuration that is late because a watch was lost.

    A store that hangs while a watch begins never answers it, and the client
    can't tell such a watch from one without changes. With watches of 10.5 s,
    a configuration became active only after 8 s in the soak run of seed 1.
    """

    def test_a_lost_watch_ends_within_the_bound(self):
        waited_s = []

        def watch(key, known_version, timeout_s):
            if not waited_s:
                waited_s.append(timeout_s + limits.STORE_TIMEOUT_S)
                raise exceptions.StoreUnavailable("no answer", "try again")
            node.stopping.set()
            text = stored_config.make_next_value(None, {2: DOCUMENT}, "a", "m")
            return client.Entry(key, text, known_version + 1)

        def unused(*_):
            raise exceptions.StoreUnavailable("not used", "none")

        store = client.StoreClient(unused, unused, unused, watch, unused)
        node = self.leading_node(store)
        propagation.run_configs(node)
        self.assertEqual({"t": 1}, config_cache.generations(node.config_cache))
        total_s = sum(waited_s) + nodes.STORE_RETRY_S + MARGIN_S
        self.assertTrue(total_s < CONFIG_BOUND_S, total_s)

    def leading_node(self, store):
        """Returns a node that leads its cell."""
        local_member = cells.Member("n", "i", "n:1", "n:2", "z")
        dependencies = nodes.NodeDependencies(
            store, None, lambda *_, **__: None
        )
        node = nodes.new_node(
            "t",
            "s",
            local_member,
            dependencies,
            config_cache.ConfigCache(),
            directory.CellDirectory(),
        )
        record = cells.CellRecord("t/s/0", 1, "n", "i", "w", (local_member,))
        node.leader = leader_state.new_leader(record, 1, 0.0, True)
        return node
