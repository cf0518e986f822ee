"""The interface of the store's client, independent of the transport."""

from collections.abc import Callable

import attrs


@attrs.frozen
class Entry:
    """A key with its value.

    Attributes:
      key: Name of the key.
      value: Text of at most MAX_RECORD_BYTES bytes in UTF-8.
      version: Increases with every write of the key, even if the key was
        deleted in between.
    """

    key: str
    value: str
    version: int = attrs.field(validator=attrs.validators.ge(1))


@attrs.frozen
class StoreClient:
    """Functions of the store's client.

    All but `close` raise StoreUnavailable if a call fails.

    Attributes:
      get: Returns the entry of a key, or None.
      compare_and_swap: Writes a key and returns its new version. The arguments
        are the key, the value and the expected version, 0 for an absent key.
        Raises Conflict if the version differs, and InvalidInput for a value
        that is too long. After StoreUnavailable the write may have taken
        effect.
      list_prefix: Returns the entries whose keys start with a prefix.
      watch: Blocks until a key has another version than the known one, and
        returns the entry, or None after a timeout. The arguments are the key,
        the known version and the timeout in seconds. A deletion of the key
        does not end the watch.
      close: Closes all connections.
    """

    get: Callable[[str], Entry | None]
    compare_and_swap: Callable[[str, str, int], int]
    list_prefix: Callable[[str], list[Entry]]
    watch: Callable[[str, int, float], Entry | None]
    close: Callable[[], None]
