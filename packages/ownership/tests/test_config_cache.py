"""Tests of waxwinglever_ownership.config_cache."""

import json
import typing

import testtools

from waxwinglever_ownership import config_cache


class ConfigCacheTest(testtools.TestCase):
    """Guards against a configuration that reverts to an older one (G10)."""

    builders: typing.Any = None

    def test_only_a_valid_higher_generation_is_activated(self):
        cache = config_cache.ConfigCache()
        malformed = json.loads(self.builders.config(9))
        malformed["documents"]["2"]["zones"] = 7
        steps = (
            (self.builders.config(3), True, 3),
            (self.builders.config(3, zone_state="out"), False, 3),
            (self.builders.config(2), False, 3),
            (json.dumps(malformed), False, 3),
            ("{", False, 3),
            (self.builders.config(4, zone_state="out"), True, 4),
        )
        for value, changed, generation in steps:
            self.assertEqual(
                changed, config_cache.apply_if_newer(cache, "t", value)
            )
            self.assertEqual({"t": generation}, config_cache.generations(cache))
        self.assertEqual(
            frozenset({"z"}), config_cache.excluded_zones(cache, "t")
        )

    def test_the_error_of_a_rejected_value_is_kept(self):
        cache = config_cache.ConfigCache()
        for tenant, value in (("t", "{"), ("u", self.builders.config(1))):
            self.assertFalse(config_cache.apply_if_newer(cache, tenant, value))
            self.assertIn(tenant, cache.errors)

    def test_updates_contain_only_newer_configurations(self):
        cache = config_cache.ConfigCache()
        config_cache.apply_if_newer(cache, "t", self.builders.config(3))
        for known, count in (({}, 1), ({"t": 2}, 1), ({"t": 3}, 0)):
            updates = config_cache.updates_for(cache, known, ("t", "u"))
            self.assertEqual(count, len(updates), known)

    def test_constraints_follow_the_configuration(self):
        cache = config_cache.ConfigCache()
        self.assertIsNone(config_cache.constraints_for(cache, "t", "s"))
        config_cache.apply_if_newer(
            cache, "t", self.builders.config(1, zone_state="out", retired=["b"])
        )
        constraints = config_cache.constraints_for(cache, "t", "s")
        self.assertTrue(constraints.keyed)
        self.assertEqual(frozenset({"z"}), constraints.excluded_zones)
        self.assertEqual(frozenset({"b"}), constraints.retired)
        self.assertIsNone(config_cache.constraints_for(cache, "t", "none"))
