"""Tests of waxwinglever_ownership.configs."""

import json
import typing

import testtools

from waxwinglever_ownership import configs


class ConfigsTest(testtools.TestCase):
    """Guards against a configuration that reverts to an older one (G10)."""

    builders: typing.Any = None

    def test_only_a_valid_higher_generation_is_taken(self):
        book = configs.ConfigBook()
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
            self.assertEqual(changed, configs.offer(book, "t", value))
            self.assertEqual({"t": generation}, configs.generations(book))
        self.assertEqual(frozenset({"z"}), configs.zones_out(book, "t"))

    def test_a_rejected_value_is_kept_as_an_error(self):
        book = configs.ConfigBook()
        for tenant, value in (("t", "{"), ("u", self.builders.config(1))):
            self.assertFalse(configs.offer(book, tenant, value))
            self.assertIn(tenant, book.errors)

    def test_updates_contain_only_newer_configurations(self):
        book = configs.ConfigBook()
        configs.offer(book, "t", self.builders.config(3))
        for known, count in (({}, 1), ({"t": 2}, 1), ({"t": 3}, 0)):
            updates = configs.updates_for(book, known, ("t", "u"))
            self.assertEqual(count, len(updates), known)

    def test_rules_follow_the_configuration(self):
        book = configs.ConfigBook()
        self.assertIsNone(configs.rules_for(book, "t", "s"))
        configs.offer(
            book, "t", self.builders.config(1, zone_state="out", retired=["b"])
        )
        rules = configs.rules_for(book, "t", "s")
        self.assertTrue(rules.keyed)
        self.assertEqual(frozenset({"z"}), rules.zones_out)
        self.assertEqual(frozenset({"b"}), rules.retired)
        self.assertIsNone(configs.rules_for(book, "t", "none"))
