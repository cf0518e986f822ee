"""StoreClient on a stand-in store in the same process, for tests."""

import contextlib
import time
from collections.abc import Iterator

from waxwinglever_model import exceptions
from waxwinglever_model import limits
from waxwinglever_standins import serving
from waxwinglever_standins import store as store_state
from waxwinglever_store import client as store_client


def memory_store(
    store: store_state.Store | None = None,
    client: str = "127.0.0.1",
    timeout_s: float = limits.STORE_TIMEOUT_S,
) -> store_client.StoreClient:
    """Returns a StoreClient that operates on `store` directly, without HTTP.

    Args:
      store: The store and its faults, which several clients may share; a new,
        empty store by default.
      client: IP address of this client, for the `blocked_clients` fault.
      timeout_s: Time limit of a call that a fault leaves unanswered.
    """
    store = store or store_state.new_store()

    @contextlib.contextmanager
    def translate_errors(kind: str) -> Iterator[None]:
        delay_s = store.faults.slow_s
        try:
            store_state.admit(store, client, kind)
            yield
        except store_state.RateLimited as error:
            raise exceptions.StoreUnavailable(
                "the store is over its rate limit", "call it less often"
            ) from error
        except store_state.NoResponse as error:
            if error.mode == serving.HANG:
                time.sleep(max(0.0, timeout_s - delay_s))
            raise unavailable_error(error.mode) from error
        if delay_s >= timeout_s:
            raise unavailable_error("slow")

    def get(key: str) -> store_client.Entry | None:
        with translate_errors(store_state.READ):
            return store_state.get(store, key)

    def compare_and_swap(key: str, value: str, expected_version: int) -> int:
        with translate_errors(store_state.WRITE):
            return store_state.compare_and_swap(
                store, key, value, expected_version
            )

    def list_prefix(prefix: str) -> list[store_client.Entry]:
        with translate_errors(store_state.READ):
            return store_state.list_prefix(store, prefix)

    def watch(
        key: str, known_version: int, watch_s: float
    ) -> store_client.Entry | None:
        with translate_errors(store_state.READ):
            return store_state.watch(store, client, key, known_version, watch_s)

    return store_client.StoreClient(
        get, compare_and_swap, list_prefix, watch, lambda: None
    )


def unavailable_error(reason: str) -> exceptions.StoreUnavailable:
    """Returns the error for a call that a fault leaves unanswered."""
    return exceptions.StoreUnavailable(
        f"the store did not answer: {reason}", "try again"
    )
