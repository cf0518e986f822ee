"""Tests of waxwinglever_ownership.records."""

import typing

import attrs
import testtools

from waxwinglever_model import exceptions
from waxwinglever_ownership import records
from waxwinglever_standins import memory
from waxwinglever_standins import store as store_state


class RecordsTest(testtools.TestCase):
    """Guards against a lost response that is taken for a conflict (R8)."""

    builders: typing.Any = None

    def test_a_retried_write_is_identified_by_its_nonce(self):
        state = store_state.new_store()
        store = memory.memory_store(state)
        record = self.builders.record()
        state.faults = attrs.evolve(state.faults, lose_answers=1)
        self.assertRaises(
            exceptions.StoreUnavailable, records.write, store, record, 0
        )
        version = records.write(store, record, 0)
        self.assertEqual((record, version), records.read(store, record.cell))
        other = attrs.evolve(record, nonce="w1")
        self.assertRaises(
            exceptions.Conflict, records.write, store, other, version - 1
        )

    def test_an_absent_or_malformed_record(self):
        store = memory.memory_store()
        self.assertEqual((None, 0), records.read(store, "t/s/0"))
        for text in ("", "[]", '{"cell": 1}', "{"):
            self.assertRaises(exceptions.InvalidInput, records.decode, text)
