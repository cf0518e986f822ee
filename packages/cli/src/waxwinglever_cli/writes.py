"""Changes of a tenant's value in the store."""

import random
from collections.abc import Callable

import attrs

from waxwinglever_cli import exits
from waxwinglever_model import exceptions
from waxwinglever_records import config
from waxwinglever_records import schemas
from waxwinglever_records import value
from waxwinglever_store import calls

EDIT_TRIES = 8
EDIT_PAUSE_S = 0.2
# A write is settled within a few store timeouts of 0.5 s, or the store is
# down for longer than an operator waits.
SETTLE_TRIES = 5
SETTLE_PAUSE_S = 0.3


@attrs.frozen
class Current:
    """The present value of a tenant.

    Attributes:
      text: The value, or None.
      version: Its version in the store, or 0.
      value: The value, structured, or None.
    """

    text: str | None
    version: int
    value: schemas.Value | None

    @property
    def generation(self) -> int:
        return self.value.generation if self.value else 0


@attrs.frozen
class Written:
    """A write that took effect.

    Attributes:
      generation: The generation that it made.
      answer_lost: Whether the first answer of the store was lost.
    """

    generation: int
    answer_lost: bool


def read(store: calls.StoreCalls, tenant: str) -> Current:
    """Returns the present value of a tenant."""
    entry = store.get(config.store_key(tenant))
    if entry is None:
        return Current(None, 0, None)
    return Current(entry.value, entry.version, value.parse(entry.value))


def read_existing(store: calls.StoreCalls, tenant: str) -> Current:
    """Returns the present value; raises InvalidInput when there is none."""
    current = read(store, tenant)
    if current.value is None:
        raise exceptions.InvalidInput(
            f"tenant {tenant!r} has no configuration in the store",
            "check --tenant, or apply a record first",
        )
    return current


def write(
    store: calls.StoreCalls,
    tenant: str,
    current: Current,
    text: str,
    sleep: Callable[[float], None],
) -> Written:
    """Replaces the value and settles a lost answer.

    The same compare-and-swap is safe to repeat, because at most one of the
    tries can find the expected version. The nonce in the history tells
    whether that was one of these tries or another writer.

    Args:
      store: The store.
      tenant: Name of the tenant.
      current: The value that is replaced.
      text: The new value.
      sleep: Waits some seconds.

    Raises:
      Conflict: The write did not take effect because another one did.
      WriteUnknown: The store did not answer in time.
    """
    key = config.store_key(tenant)
    entry = value.parse(text).history[-1]
    for attempt in range(SETTLE_TRIES):
        if attempt:
            sleep(SETTLE_PAUSE_S)
        try:
            store.compare_and_swap(key, text, current.version)
            return Written(entry.generation, attempt > 0)
        except exceptions.Conflict as error:
            if attempt == 0:
                raise lost_race(tenant, current.generation) from error
        except exceptions.StoreUnavailable:
            pass
        try:
            found = store.get(key)
        except exceptions.StoreUnavailable:
            continue
        if found is not None and entry in value.parse(found.value).history:
            return Written(entry.generation, True)
        if (found.version if found else 0) != current.version:
            raise lost_race(tenant, current.generation)
    raise exits.WriteUnknown(
        f"the store did not say whether generation {entry.generation} of"
        f" tenant {tenant!r} took effect (nonce {entry.nonce})",
        "look for the nonce in the output of `history` when the store answers",
    )


def lost_race(tenant: str, generation: int) -> exceptions.Conflict:
    """Returns the error for a change that another one preceded."""
    return exceptions.Conflict(
        f"tenant {tenant!r} is no longer at generation {generation}; nothing"
        " was written",
        "run `diff` and `history`, merge the other change and apply again",
    )


def edit(
    store: calls.StoreCalls,
    tenant: str,
    change: Callable[[dict], bool],
    author: str,
    message: str,
    sleep: Callable[[float], None],
) -> Written | None:
    """Edits every document of a value, again after a lost race.

    Args:
      store: The store.
      tenant: Name of the tenant.
      change: Edits a document in place; returns whether it differs.
      author: Who makes the change.
      message: Why.
      sleep: Waits some seconds.

    Returns:
      None when nothing was to be changed.

    Raises:
      Conflict: The race was lost EDIT_TRIES times.
    """
    for attempt in range(EDIT_TRIES):
        current = read_existing(store, tenant)
        documents = value.documents_of(current.value)
        # `change` relies on the format, and the store may hold anything.
        value.check_documents(documents, current.generation)
        changes = [change(item) for item in documents.values()]
        if not any(changes):
            return None
        text = value.next_value(current.text, documents, author, message)
        try:
            return write(store, tenant, current, text, sleep)
        except exceptions.Conflict:
            if attempt + 1 == EDIT_TRIES:
                raise
            # Racing operators must not stay in step.
            sleep(random.uniform(0, EDIT_PAUSE_S))
    raise AssertionError("not reached")
