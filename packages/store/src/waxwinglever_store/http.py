"""The store's calls over HTTP."""

import json
import time
import urllib.parse

import attrs
import urllib3

from waxwinglever_model import exceptions
from waxwinglever_model import limits
from waxwinglever_store import calls

CONNECTIONS = 4
CHUNK_BYTES = 65_536
# JSON escapes a character of one byte with up to 6 bytes.
MAX_ENTRY_ANSWER_BYTES = 6 * limits.MAX_RECORD_BYTES + 10_000
MAX_LIST_ANSWER_BYTES = 32 * 1024 * 1024


@attrs.frozen
class Reply:
    """An answer of the store."""

    status: int
    body: bytes


def http_store(
    address: str,
    source_address: str | None = None,
    timeout_s: float = limits.STORE_TIMEOUT_S,
) -> calls.StoreCalls:
    """Returns calls to the store at host:port.

    Args:
      address: host:port of the store.
      source_address: Local IP number to connect from, or None.
      timeout_s: Bound of each call; a watch gets its own time in addition.
    """
    host, _, port = address.rpartition(":")
    source = (source_address, 0) if source_address else None
    pool = urllib3.HTTPConnectionPool(
        host, int(port), maxsize=CONNECTIONS, source_address=source
    )
    # Waiting watches have their own connections, so that they don't push the
    # connections of short calls out of the pool.
    watch_pool = urllib3.HTTPConnectionPool(
        host, int(port), maxsize=CONNECTIONS, source_address=source
    )

    def request(
        used: urllib3.HTTPConnectionPool,
        method: str,
        target: str,
        total_s: float,
        max_bytes: int,
        body: bytes | None = None,
    ) -> Reply:
        try:
            response = used.urlopen(
                method,
                target,
                body=body,
                retries=False,
                redirect=False,
                timeout=urllib3.Timeout(total=total_s),
                preload_content=False,
            )
            data = read_body(response, time.monotonic() + total_s, max_bytes)
        except urllib3.exceptions.HTTPError as error:
            raise unavailable(address, str(error)) from error
        return Reply(response.status, data)

    def get(key: str) -> calls.Entry | None:
        reply = request(
            pool, "GET", key_target(key), timeout_s, MAX_ENTRY_ANSWER_BYTES
        )
        return None if reply.status == 404 else entry_of(address, reply)

    def compare_and_swap(key: str, value: str, expected_version: int) -> int:
        data = value.encode("utf-8")
        if len(data) > limits.MAX_RECORD_BYTES:
            raise too_large(key, len(data))
        target = key_target(key, version=expected_version)
        reply = request(
            pool, "PUT", target, timeout_s, MAX_ENTRY_ANSWER_BYTES, data
        )
        if reply.status == 409:
            raise exceptions.Conflict(
                f"key {key!r} does not have version {expected_version}",
                "read it again and decide anew",
            )
        if reply.status == 413:
            raise too_large(key, len(data))
        try:
            return int(document_of(address, reply)["version"])
        except (KeyError, TypeError, ValueError) as error:
            raise malformed(address) from error

    def list_prefix(prefix: str) -> list[calls.Entry]:
        query = urllib.parse.urlencode({"prefix": prefix})
        reply = request(
            pool, "GET", f"/v1/list?{query}", timeout_s, MAX_LIST_ANSWER_BYTES
        )
        try:
            return [
                calls.Entry(**item)
                for item in document_of(address, reply)["entries"]
            ]
        except (KeyError, TypeError, ValueError) as error:
            raise malformed(address) from error

    def watch(
        key: str, known_version: int, watch_s: float
    ) -> calls.Entry | None:
        reply = request(
            watch_pool,
            "GET",
            key_target(key, watch=known_version, timeout_s=watch_s),
            watch_s + timeout_s,
            MAX_ENTRY_ANSWER_BYTES,
        )
        return None if reply.status == 304 else entry_of(address, reply)

    def close() -> None:
        pool.close()
        watch_pool.close()

    return calls.StoreCalls(get, compare_and_swap, list_prefix, watch, close)


def read_body(
    response: urllib3.BaseHTTPResponse, deadline_s: float, max_bytes: int
) -> bytes:
    """Reads a body within bounds of time and size.

    Args:
      response: The response, not read yet.
      deadline_s: On time.monotonic(). The check is made between chunks, as
        the timeout of the socket covers one receive call only.
      max_bytes: Largest accepted size.

    Raises:
      HTTPError: The body is late, too long or broken.
    """
    parts = []
    size = 0
    try:
        while chunk := response.read1(CHUNK_BYTES):
            parts.append(chunk)
            size += len(chunk)
            if size > max_bytes:
                raise urllib3.exceptions.HTTPError("the answer is too long")
            if time.monotonic() > deadline_s:
                raise urllib3.exceptions.HTTPError("the answer is too slow")
    except BaseException:
        response.close()
        raise
    finally:
        response.release_conn()
    return b"".join(parts)


def key_target(key: str, **query: float) -> str:
    """Returns the request target of a key."""
    target = f"/v1/keys/{urllib.parse.quote(key)}"
    return f"{target}?{urllib.parse.urlencode(query)}" if query else target


def document_of(address: str, reply: Reply) -> dict:
    """Returns the JSON object of an answer with status 200.

    Raises:
      StoreUnavailable: The status or the body is another.
    """
    if reply.status == 429:
        raise exceptions.StoreUnavailable(
            f"store at {address} is over its rate limit",
            "call it less often; try again after a second",
        )
    if reply.status != 200:
        raise unavailable(address, f"status {reply.status}")
    try:
        document = json.loads(reply.body)
    except ValueError as error:
        raise malformed(address) from error
    if not isinstance(document, dict):
        raise malformed(address)
    return document


def entry_of(address: str, reply: Reply) -> calls.Entry:
    """Returns the entry in an answer; raises StoreUnavailable."""
    try:
        return calls.Entry(**document_of(address, reply))
    except (TypeError, ValueError) as error:
        raise malformed(address) from error


def unavailable(address: str, why: str) -> exceptions.StoreUnavailable:
    """Returns the error for a call without an answer."""
    return exceptions.StoreUnavailable(
        f"store at {address} did not answer: {why}",
        "check that it runs and is reachable, then try again",
    )


def malformed(address: str) -> exceptions.StoreUnavailable:
    """Returns the error for an answer that can't be read."""
    return unavailable(address, "the answer is malformed")


def too_large(key: str, size: int) -> exceptions.InvalidInput:
    """Returns the error for a value over the limit."""
    return exceptions.InvalidInput(
        f"value of {size} bytes for key {key!r} is over the limit",
        f"write at most {limits.MAX_RECORD_BYTES} bytes",
    )
