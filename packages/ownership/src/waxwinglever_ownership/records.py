"""Cell records in the store."""

import msgspec

from waxwinglever_model import cells
from waxwinglever_model import exceptions
from waxwinglever_model import limits
from waxwinglever_store import calls

PREFIX = "cells/"
DECODER = msgspec.json.Decoder(cells.CellRecord)


def store_key(cell: str) -> str:
    """Returns the store's key of a cell's record."""
    return f"{PREFIX}{cell}"


def encode(record: cells.CellRecord) -> str:
    """Returns the record as JSON text.

    Raises:
      InvalidInput: The record is over the store's limit for values.
    """
    text = msgspec.json.encode(record).decode("utf-8")
    if len(text) > limits.MAX_RECORD_BYTES:
        raise exceptions.InvalidInput(
            f"record of cell {record.cell} has {len(text)} bytes",
            f"keep records under {limits.MAX_RECORD_BYTES} bytes: fewer slices",
        )
    return text


def decode(text: str) -> cells.CellRecord:
    """Returns the record in JSON text.

    Raises:
      InvalidInput: The text is not a cell record.
    """
    try:
        return DECODER.decode(text)
    except (msgspec.DecodeError, ValueError) as error:
        raise exceptions.InvalidInput(
            f"cell record can't be decoded: {error}",
            "run the same release on all daemons; remove the broken record",
        ) from error


def read(
    store: calls.StoreCalls, cell: str
) -> tuple[cells.CellRecord | None, int]:
    """Returns a cell's record and its version; (None, 0) when absent.

    Raises:
      StoreUnavailable: The store did not answer.
      InvalidInput: The record is broken.
    """
    entry = store.get(store_key(cell))
    if entry is None:
        return None, 0
    return decode(entry.value), entry.version


def write(
    store: calls.StoreCalls, record: cells.CellRecord, version: int
) -> int:
    """Writes a record over the given version and returns the new one.

    A conflict may come from an earlier try of the same write whose answer was
    lost, so the nonce in the store decides (R8).

    Raises:
      Conflict: Another writer was first.
      StoreUnavailable: The write may have taken effect; try again.
    """
    try:
        return store.compare_and_swap(
            store_key(record.cell), encode(record), version
        )
    except exceptions.Conflict:
        current, current_version = read(store, record.cell)
        if current is not None and current.nonce == record.nonce:
            return current_version
        raise
