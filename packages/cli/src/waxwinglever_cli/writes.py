"""Reads and writes a tenant's configuration value in the store."""

import random
from collections.abc import Callable

import attrs

from waxwinglever_cli import exits
from waxwinglever_model import exceptions
from waxwinglever_records import config
from waxwinglever_records import schemas
from waxwinglever_records import stored_config
from waxwinglever_store import client

MAX_EDIT_ATTEMPTS = 8
MAX_EDIT_BACKOFF_S = 0.2
# A store call times out after 0.5 s. If the outcome of a write is still unknown
# after these attempts, the store is down for longer than an operator waits.
MAX_WRITE_ATTEMPTS = 5
WRITE_RETRY_INTERVAL_S = 0.3


@attrs.frozen
class StoredValue:
    """The value of a tenant as read from the store.

    Attributes:
      text: The value as JSON, or None if there is none.
      version: The value's version in the store, or 0.
      value: The parsed value, or None.
    """

    text: str | None
    version: int
    value: schemas.StoredConfig | None

    @property
    def generation(self) -> int:
        return self.value.generation if self.value else 0


@attrs.frozen
class WriteResult:
    """A write that took effect.

    Attributes:
      generation: The generation that was written.
      answer_lost: Whether the store's response to the write was lost at first.
    """

    generation: int
    answer_lost: bool


def read(store: client.StoreClient, tenant: str) -> StoredValue:
    """Reads the value of a tenant from the store."""
    entry = store.get(config.config_key(tenant))
    if entry is None:
        return StoredValue(None, 0, None)
    return StoredValue(
        entry.value,
        entry.version,
        stored_config.parse_stored_config(entry.value),
    )


def read_existing(store: client.StoreClient, tenant: str) -> StoredValue:
    """Reads the value of a tenant; raises InvalidInput if there is none."""
    current = read(store, tenant)
    if current.value is None:
        raise exceptions.InvalidInput(
            f"tenant {tenant!r} has no configuration in the store",
            "check --tenant, or apply a document first",
        )
    return current


def write(
    store: client.StoreClient,
    tenant: str,
    current: StoredValue,
    text: str,
    sleep: Callable[[float], None],
) -> WriteResult:
    """Replaces the value, and determines the outcome if a response is lost.

    The same compare-and-swap is safe to repeat, because at most one attempt
    can find the expected version. If the version has changed, the nonce in
    the history shows whether one of these attempts or another writer changed
    it.

    Args:
      store: The store.
      tenant: Name of the tenant.
      current: The value to replace.
      text: The new value.
      sleep: Sleeps for a number of seconds.

    Raises:
      Conflict: Nothing was written because another writer changed the value.
      WriteUnknown: The store was unavailable, and the outcome is unknown.
    """
    key = config.config_key(tenant)
    entry = stored_config.parse_stored_config(text).history[-1]
    for attempt in range(MAX_WRITE_ATTEMPTS):
        if attempt:
            sleep(WRITE_RETRY_INTERVAL_S)
        try:
            store.compare_and_swap(key, text, current.version)
            return WriteResult(entry.generation, attempt > 0)
        except exceptions.Conflict as error:
            if attempt == 0:
                raise conflict_error(tenant, current.generation) from error
        except exceptions.StoreUnavailable:
            pass
        try:
            stored = store.get(key)
        except exceptions.StoreUnavailable:
            continue
        if (
            stored is not None
            and entry in stored_config.parse_stored_config(stored.value).history
        ):
            return WriteResult(entry.generation, True)
        if (stored.version if stored else 0) != current.version:
            raise conflict_error(tenant, current.generation)
    raise exits.WriteUnknown(
        f"the store did not confirm the write of generation {entry.generation}"
        f" of tenant {tenant!r}, which may have taken effect"
        f" (nonce {entry.nonce})",
        "when the store is available, look for the nonce in the output of"
        " `history`",
    )


def conflict_error(tenant: str, generation: int) -> exceptions.Conflict:
    """Returns the error for a write that conflicts with another one."""
    return exceptions.Conflict(
        f"tenant {tenant!r} is no longer at generation {generation}; nothing"
        " was written",
        "run `diff` and `history`, merge the other change and apply again",
    )


def edit_documents(
    store: client.StoreClient,
    tenant: str,
    edit_document: Callable[[dict], bool],
    author: str,
    message: str,
    sleep: Callable[[float], None],
) -> WriteResult | None:
    """Edits all documents of a value, and retries after a conflict.

    Args:
      store: The store.
      tenant: Name of the tenant.
      edit_document: Edits a document in place; returns whether it changed.
      author: Author recorded in the history.
      message: Reason recorded in the history.
      sleep: Sleeps for a number of seconds.

    Returns:
      The result of the write, or None if no document changed.

    Raises:
      InvalidInput: There is no value, or its documents are invalid.
      Conflict: Each of MAX_EDIT_ATTEMPTS attempts conflicted with another
        write.
      WriteUnknown: The store was unavailable, and the outcome is unknown.
    """
    for attempt in range(MAX_EDIT_ATTEMPTS):
        current = read_existing(store, tenant)
        documents = stored_config.editable_documents(current.value)
        # edit_document relies on the format, but the store may contain an
        # invalid value.
        stored_config.check_documents(documents, current.generation)
        changed = [edit_document(item) for item in documents.values()]
        if not any(changed):
            return None
        text = stored_config.make_next_value(
            current.text, documents, author, message
        )
        try:
            return write(store, tenant, current, text, sleep)
        except exceptions.Conflict:
            if attempt + 1 == MAX_EDIT_ATTEMPTS:
                raise
            # A random backoff, so that concurrent edits don't conflict again.
            sleep(random.uniform(0, MAX_EDIT_BACKOFF_S))
    raise AssertionError("not reached")
