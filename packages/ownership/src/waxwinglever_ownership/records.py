"""Reads and writes cell records in the store."""

import msgspec

from waxwinglever_model import cells
from waxwinglever_model import exceptions
from waxwinglever_model import limits
from waxwinglever_store import client

PREFIX = "cells/"
DECODER = msgspec.json.Decoder(cells.CellRecord)


def store_key(cell: str) -> str:
    """Returns the store key of a cell's record."""
    return f"{PREFIX}{cell}"


def encode(record: cells.CellRecord) -> str:
    """Returns the record as JSON text.

    Raises:
      InvalidInput: The record is larger than MAX_RECORD_BYTES.
    """
    text = msgspec.json.encode(record).decode("utf-8")
    if len(text) > limits.MAX_RECORD_BYTES:
        raise exceptions.InvalidInput(
            f"record of cell {record.cell} has {len(text)} bytes",
            f"use fewer slices; the limit is {limits.MAX_RECORD_BYTES} bytes",
        )
    return text


def decode(text: str) -> cells.CellRecord:
    """Returns the record that is encoded as JSON text.

    Raises:
      InvalidInput: The text is not a valid cell record.
    """
    try:
        return DECODER.decode(text)
    except (msgspec.DecodeError, ValueError) as error:
        raise exceptions.InvalidInput(
            f"cell record can't be decoded: {error}",
            "run the same release on all daemons; remove the malformed record",
        ) from error


def read(
    store: client.StoreClient, cell: str
) -> tuple[cells.CellRecord | None, int]:
    """Returns a cell's record and its store version; (None, 0) if absent.

    Raises:
      StoreUnavailable: The store did not answer.
      InvalidInput: The record is malformed.
    """
    entry = store.get(store_key(cell))
    if entry is None:
        return None, 0
    return decode(entry.value), entry.version


def write(
    store: client.StoreClient, record: cells.CellRecord, version: int
) -> int:
    """Replaces the record of the given store version; returns the new version.

    A conflict may be due to an earlier attempt of the same write whose
    response was lost. The write then succeeds if the stored record has its
    nonce (R8).

    Raises:
      Conflict: The record was changed by another writer.
      StoreUnavailable: The write may have taken effect; it can be retried.
      InvalidInput: The record is too large, or the stored one is malformed.
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
