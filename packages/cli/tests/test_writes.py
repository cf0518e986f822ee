"""Tests of waxwinglever_cli.writes."""

import attrs
import testtools

from waxwinglever_cli import exits
from waxwinglever_cli import writes
from waxwinglever_model import exceptions
from waxwinglever_records import config
from waxwinglever_records import stored_config

DOCUMENT = {
    "schema_version": 2,
    "tenant": "tulpar",
    "zones": [{"name": "taraz", "region": "kz-south"}],
    "services": [],
    "placement": {"move_cost": 1, "max_moves": 1},
}
KEY = config.config_key("tulpar")
DOWN = exceptions.StoreUnavailable("down", "wait")


@attrs.define
class Entry:
    value: str
    version: int


@attrs.define
class ScriptedStore:
    """An in-memory store whose next writes fail as scripted.

    Attributes:
      script: For each write: "lost" (takes effect, response lost), "dropped"
        (no effect, no response), "raced" (another write comes first,
        response lost), "conflict" (another write comes first) or "ok".
      failing_reads: Number of reads that fail after the first write.
      entry: The stored entry, or None.
      writes: Number of writes attempted.
    """

    script: list[str]
    failing_reads: int = 0
    entry: Entry | None = None
    writes: int = 0

    def get(self, key):
        assert key == KEY
        if self.failing_reads and self.writes:
            self.failing_reads -= 1
            raise DOWN
        return self.entry

    def put(self, text, expected):
        version = self.entry.version if self.entry else 0
        if expected != version:
            raise exceptions.Conflict("other version", "read it")
        self.entry = Entry(text, version + 1)
        return version + 1

    def compare_and_swap(self, _, text, expected):
        self.writes += 1
        fault = self.script.pop(0) if self.script else "ok"
        if fault in ("raced", "conflict"):
            self.put(next_text(self.entry), expected)
        if fault in ("lost", "dropped", "raced"):
            if fault == "lost":
                self.put(text, expected)
            raise DOWN
        return self.put(text, expected)


def next_text(entry):
    previous = entry.value if entry else None
    return stored_config.make_next_value(previous, {2: DOCUMENT}, "other", "m")


def no_sleep(_):
    pass


# Script of the writes, number of failing reads, and the result or error.
CASES = (
    (["ok"], 0, (1, False)),
    (["lost"], 0, (1, True)),
    (["dropped", "dropped"], 0, (1, True)),
    (["dropped", "lost"], 0, (1, True)),
    (["lost"], 1, (1, True)),
    (["raced"], 1, exceptions.Conflict),
    (["conflict"], 0, exceptions.Conflict),
    (["raced"], 0, exceptions.Conflict),
    (["dropped", "conflict"], 0, exceptions.Conflict),
    (["dropped"] * 9, 0, exits.WriteUnknown),
    (["lost"] * 9, 99, exits.WriteUnknown),
)


class WriteTest(testtools.TestCase):
    """Guards against a wrong result of a write whose response is lost."""

    def test_each_fault_has_its_result(self):
        for script, failing_reads, expected in CASES:
            store = ScriptedStore(list(script), failing_reads)
            current = writes.read(store, "tulpar")
            text = next_text(None)
            arguments = (store, "tulpar", current, text, no_sleep)
            if isinstance(expected, tuple):
                written = writes.write(*arguments)
                self.assertEqual(expected, attrs.astuple(written))
                self.assertEqual(text, store.entry.value)
            else:
                self.assertRaises(expected, writes.write, *arguments)
                if store.entry and expected is exceptions.Conflict:
                    self.assertNotEqual(text, store.entry.value)


class EditTest(testtools.TestCase):
    """Guards against edits lost in a conflict or retried forever."""

    def edit(self, store):
        def retire_node(document):
            document["retired"] = ["node-a"]
            return True

        return writes.edit_documents(
            store, "tulpar", retire_node, "a", "m", no_sleep
        )

    def test_an_edit_is_retried_on_the_new_value_after_a_conflict(self):
        store = ScriptedStore(["ok", "conflict", "conflict"])
        store.compare_and_swap(KEY, next_text(None), 0)
        self.assertEqual(4, self.edit(store).generation)
        parsed = config.parse_value(store.entry.value)
        self.assertEqual((4, ("node-a",)), (parsed.generation, parsed.retired))

    def test_the_number_of_attempts_is_bounded(self):
        store = ScriptedStore(["ok"] + ["conflict"] * 99)
        store.compare_and_swap(KEY, next_text(None), 0)
        self.assertRaises(exceptions.Conflict, self.edit, store)
        self.assertEqual(1 + writes.MAX_EDIT_ATTEMPTS, store.writes)

    def test_a_missing_value_is_refused(self):
        self.assertRaises(exceptions.InvalidInput, self.edit, ScriptedStore([]))
