"""Client of the store over HTTP."""

import json
import time
import urllib.parse

import attrs
import urllib3

from waxwinglever_framing import client as framing_client
from waxwinglever_model import exceptions
from waxwinglever_model import limits
from waxwinglever_store import client

POOL_SIZE = 4
CHUNK_BYTES = 65_536
# JSON encodes a character of one byte in up to 6 bytes.
MAX_ENTRY_RESPONSE_BYTES = 6 * limits.MAX_RECORD_BYTES + 10_000
MAX_LIST_RESPONSE_BYTES = 32 * 1024 * 1024


@attrs.frozen
class Response:
    """A response of the store: its HTTP status and complete body."""

    status: int
    body: bytes


def new_http_client(
    address: str,
    source_address: str | None = None,
    timeout_s: float = limits.STORE_TIMEOUT_S,
) -> client.StoreClient:
    """Returns a client of the store.

    Args:
      address: host:port of the store.
      source_address: Local IP address to connect from; None for any.
      timeout_s: Timeout of each call; for a watch, added to its own timeout.
    """
    host, _, port = address.rpartition(":")
    source = (source_address, 0) if source_address else None
    # The store states the length of all its responses.
    pool = framing_client.FramedConnectionPool(
        host, int(port), maxsize=POOL_SIZE, source_address=source
    )
    # Watches have their own pool, so that they don't displace the connections
    # of short calls.
    watch_pool = framing_client.FramedConnectionPool(
        host, int(port), maxsize=POOL_SIZE, source_address=source
    )

    def request(
        connection_pool: urllib3.HTTPConnectionPool,
        method: str,
        target: str,
        request_timeout_s: float,
        max_bytes: int,
        body: bytes | None = None,
    ) -> Response:
        try:
            response = connection_pool.urlopen(
                method,
                target,
                body=body,
                retries=False,
                redirect=False,
                timeout=urllib3.Timeout(total=request_timeout_s),
                preload_content=False,
            )
            data = read_body(
                response, time.monotonic() + request_timeout_s, max_bytes
            )
        except urllib3.exceptions.HTTPError as error:
            raise unavailable_error(address, str(error)) from error
        return Response(response.status, data)

    def get(key: str) -> client.Entry | None:
        response = request(
            pool, "GET", key_target(key), timeout_s, MAX_ENTRY_RESPONSE_BYTES
        )
        return (
            None if response.status == 404 else parse_entry(address, response)
        )

    def compare_and_swap(key: str, value: str, expected_version: int) -> int:
        data = value.encode("utf-8")
        if len(data) > limits.MAX_RECORD_BYTES:
            raise too_large_error(key, len(data))
        target = key_target(key, version=expected_version)
        response = request(
            pool, "PUT", target, timeout_s, MAX_ENTRY_RESPONSE_BYTES, data
        )
        if response.status == 409:
            raise exceptions.Conflict(
                f"key {key!r} does not have version {expected_version}",
                "read the key again and base the change on its current value",
            )
        if response.status == 413:
            raise too_large_error(key, len(data))
        try:
            return int(parse_object(address, response)["version"])
        except (KeyError, TypeError, ValueError) as error:
            raise malformed_error(address) from error

    def list_prefix(prefix: str) -> list[client.Entry]:
        query = urllib.parse.urlencode({"prefix": prefix})
        response = request(
            pool, "GET", f"/v1/list?{query}", timeout_s, MAX_LIST_RESPONSE_BYTES
        )
        try:
            return [
                client.Entry(**item)
                for item in parse_object(address, response)["entries"]
            ]
        except (KeyError, TypeError, ValueError) as error:
            raise malformed_error(address) from error

    def watch(
        key: str, known_version: int, watch_s: float
    ) -> client.Entry | None:
        response = request(
            watch_pool,
            "GET",
            key_target(key, watch=known_version, timeout_s=watch_s),
            watch_s + timeout_s,
            MAX_ENTRY_RESPONSE_BYTES,
        )
        return (
            None if response.status == 304 else parse_entry(address, response)
        )

    def close() -> None:
        pool.close()
        watch_pool.close()

    return client.StoreClient(get, compare_and_swap, list_prefix, watch, close)


def read_body(
    response: urllib3.BaseHTTPResponse, deadline_s: float, max_bytes: int
) -> bytes:
    """Returns a response's body, read within limits of time and size.

    Args:
      response: The response, whose body is not read yet.
      deadline_s: Deadline on time.monotonic(). It is checked between chunks,
        because the timeout of the socket covers a single receive call only.
      max_bytes: Largest accepted size.

    Raises:
      HTTPError: The body is late, too long or malformed.
    """
    parts = []
    size = 0
    try:
        while chunk := response.read1(CHUNK_BYTES):
            parts.append(chunk)
            size += len(chunk)
            if size > max_bytes:
                raise urllib3.exceptions.HTTPError("the response is too long")
            if time.monotonic() > deadline_s:
                raise urllib3.exceptions.HTTPError("the response is too slow")
    except BaseException:
        response.close()
        raise
    finally:
        response.release_conn()
    return b"".join(parts)


def key_target(key: str, **query: float) -> str:
    """Returns the request target of a key, with optional query parameters."""
    target = f"/v1/keys/{urllib.parse.quote(key)}"
    return f"{target}?{urllib.parse.urlencode(query)}" if query else target


def parse_object(address: str, response: Response) -> dict:
    """Returns the JSON object in a response with status 200.

    Raises:
      StoreUnavailable: The status is not 200, or the body is not an object.
    """
    if response.status == 429:
        raise exceptions.StoreUnavailable(
            f"store at {address} is over its rate limit",
            "call the store less often; try again after a second",
        )
    if response.status != 200:
        raise unavailable_error(address, f"status {response.status}")
    try:
        document = json.loads(response.body)
    except ValueError as error:
        raise malformed_error(address) from error
    if not isinstance(document, dict):
        raise malformed_error(address)
    return document


def parse_entry(address: str, response: Response) -> client.Entry:
    """Returns the entry in a response with status 200.

    Raises:
      StoreUnavailable: The response contains no valid entry.
    """
    try:
        return client.Entry(**parse_object(address, response))
    except (TypeError, ValueError) as error:
        raise malformed_error(address) from error


def unavailable_error(address: str, reason: str) -> exceptions.StoreUnavailable:
    """Returns the error for a call without a valid response."""
    return exceptions.StoreUnavailable(
        f"store at {address} did not answer: {reason}",
        "check that the store runs and is reachable, then try again",
    )


def malformed_error(address: str) -> exceptions.StoreUnavailable:
    """Returns the error for a response that can't be decoded."""
    return unavailable_error(address, "the response is malformed")


def too_large_error(key: str, size: int) -> exceptions.InvalidInput:
    """Returns the error for a value over MAX_RECORD_BYTES."""
    return exceptions.InvalidInput(
        f"value of {size} bytes for key {key!r} is over the limit",
        f"write at most {limits.MAX_RECORD_BYTES} bytes",
    )
