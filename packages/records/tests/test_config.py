"""Tests of waxwinglever_records.config."""

import copy
import json

import attrs
import hypothesis
import testtools
from hypothesis import strategies

from waxwinglever_model import exceptions
from waxwinglever_records import config

PLACEMENT = {
    "move_cost": 1.5,
    "max_moves": 4,
    "rules": [{"service": "ledger", "zones": ["bole"]}],
}
ZONES = [
    {"name": "bole", "region": "addis", "state": "in"},
    {"name": "piassa", "region": "addis", "state": "out"},
]
V1 = {
    "schema_version": 1,
    "generation": 3,
    "tenant": "association",
    "zones": ZONES,
    "services": [
        {
            "name": "ledger",
            "kind": "keyed",
            "instances_min": 6,
            "slots": 10,
            "cold_start_slots": 2,
            "cold_start_s": 5,
            "classes": ["purchase"],
            "timeout_ms": 900,
        }
    ],
    "placement": PLACEMENT,
}
V2 = {
    "schema_version": 2,
    "generation": 3,
    "tenant": "association",
    "zones": ZONES,
    "services": [
        {
            "name": "ledger",
            "kind": "keyed",
            "instances_min": 6,
            "slots": 10,
            "cold_start": {"initial_slots": 2, "seconds": 5},
            "classes": [{"name": "purchase", "weight": 1}],
            "timeout_ms": 900,
        }
    ],
    "placement": PLACEMENT,
}
# Path of a change to V2, the new value, and the start of the error message.
INVALID_CHANGES = (
    (("schema_version",), 9, "$.schema_version: unknown schema version"),
    (("schema_version",), True, "$.schema_version: unknown schema version"),
    (("zones", 0, "state"), "off", "$.zones[0].state: 'off'"),
    (("zones", 1, "name"), "bole", "$.zones[1]: 'bole' is listed twice"),
    (("zones", 1, "name"), "Bole", "$.zones[1].name: 'Bole' is not a name"),
    (("zones",), "bole", "$.zones: a str"),
    (("services", 0, "timeout_s"), 1, "$.services[0].timeout_s: unknown key"),
    (("services", 0, "timeout_ms"), 0.5, "$.services[0].timeout_ms: a float"),
    (("services", 0, "timeout_ms"), 60_001, "$.services[0].timeout_ms: 60001"),
    (
        ("services", 0, "classes", 0, "weight"),
        0,
        "$.services[0].classes[0].weight: 0.0 is out of range",
    ),
    (
        ("services", 0, "cold_start", "initial_slots"),
        11,
        "$.services[0].cold_start.initial_slots: 11 is over",
    ),
    (("services", 0, "classes"), [], "$.services[0].classes: no class"),
    (
        ("placement", "rules", 0, "zones"),
        ["bole", "merkato"],
        "$.placement.rules[0].zones[1]: zone 'merkato' does not exist",
    ),
    (
        ("placement", "rules", 0, "service"),
        "x",
        "$.placement.rules[0].service: service 'x' does not exist",
    ),
    (("retired",), ["a", ""], "$.retired[1]: '' is not a name"),
    (("retired",), ["a", "a"], "$.retired[1]: 'a' is listed twice"),
)
JSON_VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(max_size=5),
    lambda inner: strategies.lists(inner, max_size=3)
    | strategies.dictionaries(strategies.text(max_size=5), inner, max_size=3),
    max_leaves=8,
)


def with_change(document: dict, path: tuple, item: object) -> dict:
    document = copy.deepcopy(document)
    parent = document
    for key in path[:-1]:
        parent = parent[key]
    parent[path[-1]] = item
    return document


def value_text(generation: int, **documents: dict) -> str:
    return json.dumps(
        {
            "generation": generation,
            "documents": {
                key.removeprefix("v"): {**item, "generation": generation}
                for key, item in documents.items()
            },
            "history": [],
        }
    )


class DocumentTest(testtools.TestCase):
    """Guards against accepted invalid documents and errors without a path."""

    def test_both_versions_give_the_same_config(self):
        old = config.parse_document(V1)
        new = config.parse_document(V2)
        self.assertEqual(attrs.evolve(old, schema_version=2), new)
        self.assertEqual(1.0, old.find_service("ledger").classes[0].weight)

    def test_the_error_names_each_invalid_field(self):
        for path, item, expected in INVALID_CHANGES:
            error = self.assertRaises(
                exceptions.InvalidInput,
                config.parse_document,
                with_change(V2, path, item),
            )
            self.assertTrue(str(error).startswith(expected), str(error))

    def test_a_wrong_unit_names_the_right_key(self):
        document = with_change(V1, ("services", 0, "timeout_s"), 1)
        error = self.assertRaises(
            exceptions.InvalidInput, config.parse_document, document
        )
        self.assertEqual("use timeout_ms, in milliseconds", error.remedy)

    def test_a_rule_limits_zones_unless_its_list_is_empty(self):
        with_rule = config.parse_document(V2)
        self.assertEqual(with_rule.zones[:1], with_rule.allowed_zones("ledger"))
        without_zones = with_change(V2, ("placement", "rules", 0, "zones"), [])
        self.assertEqual(
            with_rule.zones,
            config.parse_document(without_zones).allowed_zones("ledger"),
        )

    @hypothesis.given(
        strategies.sampled_from([change[0] for change in INVALID_CHANGES]),
        JSON_VALUES,
    )
    def test_arbitrary_content_raises_only_invalid_input(self, path, item):
        try:
            config.parse_value(value_text(1, v2=with_change(V2, path, item)))
        except exceptions.InvalidInput:
            pass


class ValueTest(testtools.TestCase):
    """Guards against readers that fail on a value or return to an older one."""

    def test_the_newest_known_version_is_read(self):
        text = value_text(4, v1=V1, v2=V2, v7={"future": True})
        for readable, expected in (((1, 2), 2), ((1,), 1)):
            parsed = config.parse_value(text, readable)
            self.assertEqual(expected, parsed.schema_version)

    def test_invalid_values_are_refused(self):
        wrong_generation = value_text(4, v2=V2).replace(
            '"generation": 4', '"generation": 5', 1
        )
        for text in (
            value_text(4, v7=V2),
            value_text(4, v1=V2),
            wrong_generation,
            " " * 1_000_001,
        ):
            self.assertRaises(exceptions.InvalidInput, config.parse_value, text)

    @hypothesis.given(JSON_VALUES)
    def test_arbitrary_json_raises_only_invalid_input(self, content):
        for text in (
            json.dumps(content),
            json.dumps({"generation": 1, "documents": {"2": content}}),
            json.dumps({"generation": 1, "documents": content}),
        ):
            self.assertRaises(exceptions.InvalidInput, config.parse_value, text)

    @hypothesis.given(strategies.text())
    def test_arbitrary_text_raises_only_invalid_input(self, text):
        self.assertRaises(exceptions.InvalidInput, config.parse_value, text)

    @hypothesis.given(strategies.lists(strategies.integers(1, 9)))
    def test_generations_never_go_back(self, generations):
        current = None
        for generation in generations:
            found = config.parse_if_newer(
                current, value_text(generation, v2=V2)
            )
            highest = current.generation if current else 0
            self.assertEqual(generation > highest, found is not None)
            current = found or current
        if generations:
            self.assertEqual(max(generations), current.generation)

    def test_another_tenant_is_refused(self):
        current = config.parse_document(V2)
        text = value_text(9, v2={**V2, "tenant": "tulpar"})
        self.assertRaises(
            exceptions.InvalidInput, config.parse_if_newer, current, text
        )
