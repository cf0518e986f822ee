"""The calls of the store, apart from what carries them."""

from collections.abc import Callable

import attrs


@attrs.frozen
class Entry:
    """The value of a key.

    Attributes:
      key: Name of the key.
      value: Text of at most MAX_RECORD_BYTES bytes in UTF-8.
      version: Rises with every write of the key, also across a deletion.
    """

    key: str
    value: str
    version: int = attrs.field(validator=attrs.validators.ge(1))


@attrs.frozen
class StoreCalls:
    """The calls of the store; each raises StoreUnavailable on a failure.

    Attributes:
      get: Returns the entry of a key, or None.
      compare_and_swap: Takes a key, a value and the expected version, 0 for
        an absent key. Returns the new version. Raises Conflict; after
        StoreUnavailable the write may have taken effect. Raises InvalidInput
        for a value that is too long.
      list_prefix: Returns the entries whose keys start with a prefix.
      watch: Takes a key, the known version and a number of seconds. Blocks
        until the key has another version; None when the time ends. A deleted
        key does not end the watch.
      close: Closes all connections.
    """

    get: Callable[[str], Entry | None]
    compare_and_swap: Callable[[str, str, int], int]
    list_prefix: Callable[[str], list[Entry]]
    watch: Callable[[str, int, float], Entry | None]
    close: Callable[[], None]
